#ifndef HYSSOPCROSS_GATEWAY_NODE_H
#define HYSSOPCROSS_GATEWAY_NODE_H

#include "hyssopcross/gateway/PlatformCodec.h"
#include "hyssopcross/gateway/Settings.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace hyssopcross::gateway {

/// One entry VM: accepts callers' requests, selects backend servers, follows
/// the store and shares its observations with the other VMs. Runs on one event
/// loop; all methods must be called on the loop's thread.
class Node {
public:
  /// The clock, loop and codec must outlive the node.
  Node(boost::asio::io_context &Loop, const Clock &Time, Settings Given,
       const PlatformCodec &Codec);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Binds all addresses and starts following the store. Fails if an address
  /// cannot be bound.
  Result<void> start();

  /// Applies the settings that may change at run time: bounds, budgets and
  /// intervals. Addresses and names are not changed.
  void reload(const Settings &Given);

  /// Counts an exception that left a handler of the event loop, and logs it at
  /// a bounded rate.
  void noteLoopException(std::string_view What);

  /// Starts a graceful shutdown. Calls Ended once all work is done, at the
  /// latest when the grace period is over.
  void stop(std::function<void()> Ended);

private:
  struct Parts;
  std::unique_ptr<Parts> m_Parts;
};

} // namespace hyssopcross::gateway

#endif
