#ifndef HYSSOPCROSS_FAULTSOAK_PROXY_H
#define HYSSOPCROSS_FAULTSOAK_PROXY_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Error.h"
#include "hyssopcross/base/Settings.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>

namespace hyssopcross::faultsoak {

/// What a proxy does to the bytes of its connections.
enum class LinkState {
  Whole,
  /// Bytes arrive later in both directions.
  Delayed,
  /// Bytes of one direction are held until the link is whole again.
  CutForward,
  CutBackward,
  /// Bytes of both directions are held; new connections hang.
  Silent,
  /// New connections are reset.
  Refusing,
};

/// Passes TCP connections on to a fixed address of this machine and harms them
/// on request. Lives on one event loop, which must outlive it.
class Proxy {
public:
  Proxy(boost::asio::io_context &Loop, Address At, Address To);
  Proxy(const Proxy &) = delete;
  Proxy &operator=(const Proxy &) = delete;

  /// Starts to accept; fails if the address cannot be bound.
  Result<void> listen();
  /// Changes the state of the link. Delay counts where bytes are delayed.
  void setState(LinkState State, Duration Delay = {});
  /// Resets all connections that are open.
  void resetAll();

private:
  class Connection;
  void accept();

  boost::asio::io_context &m_Loop;
  Address m_At;
  Address m_To;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::set<std::shared_ptr<Connection>> m_Connections;
  LinkState m_State = LinkState::Whole;
  Duration m_Delay{};
};

} // namespace hyssopcross::faultsoak

#endif
