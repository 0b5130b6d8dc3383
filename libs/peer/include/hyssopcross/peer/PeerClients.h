#ifndef HYSSOPCROSS_PEER_PEERCLIENTS_H
#define HYSSOPCROSS_PEER_PEERCLIENTS_H

#include "Peer.h"
#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Error.h"
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace hyssopcross::peer {

/// Kept connections to other entry VMs. Safe from any thread.
class PeerClients {
public:
  PeerClients();
  ~PeerClients();

  /// Calls one function of the Peer interface at the peer with the given
  /// address, host:port. Fails with Unavailable if the peer was not reached,
  /// and with Unknown if the request may have reached it but no answer came
  /// within the timeout.
  Result<void> call(const std::string &PeerAddress, Duration Timeout,
                    const std::function<void(wire::PeerClient &)> &Function);

private:
  class Connection;

  std::unique_ptr<Connection> takeIdle(const std::string &PeerAddress);
  void keepIdle(const std::string &PeerAddress,
                std::unique_ptr<Connection> Used);

  std::mutex m_Mutex;
  std::map<std::string, std::vector<std::unique_ptr<Connection>>> m_Idle;
};

} // namespace hyssopcross::peer

#endif
