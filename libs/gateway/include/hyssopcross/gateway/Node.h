#ifndef HYSSOPCROSS_GATEWAY_NODE_H
#define HYSSOPCROSS_GATEWAY_NODE_H

#include "hyssopcross/gateway/PlatformCodec.h"
#include "hyssopcross/gateway/Settings.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace hyssopcross::gateway {

/// One entry VM: takes callers' requests, chooses backend servers, follows the
/// store and exchanges what it sees with the other VMs. Runs on one event loop;
/// all calls are made on its thread.
class Node {
public:
  /// Clock, loop and dialect outlive the node.
  Node(boost::asio::io_context &Loop, const Clock &Time, Settings Given,
       const PlatformCodec &Codec);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Binds all addresses and starts to follow the store. Fails if an address
  /// cannot be bound.
  Result<void> start();

  /// Takes over what may change while running: bounds, budgets, intervals.
  /// Addresses and names stay.
  void reload(const Settings &Given);

  /// Starts a graceful shutdown; Ended is called once nothing is left to do,
  /// at the latest when the grace time is over.
  void stop(std::function<void()> Ended);

private:
  struct Parts;
  std::unique_ptr<Parts> m_Parts;
};

} // namespace hyssopcross::gateway

#endif
