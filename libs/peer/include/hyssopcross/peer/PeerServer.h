#ifndef HYSSOPCROSS_PEER_PEERSERVER_H
#define HYSSOPCROSS_PEER_PEERSERVER_H

#include "Peer.h"
#include "hyssopcross/base/Error.h"
#include "hyssopcross/base/Settings.h"
#include <memory>

namespace hyssopcross::peer {

/// Serves the Peer interface to other entry VMs, with a thread for each
/// connection. Destroying it closes the listener and the connections and waits
/// for handlers that still run.
class PeerServer {
public:
  /// Returns once the server listens. The handler is called from many threads
  /// at once. Fails if the address can't be bound.
  static Result<std::unique_ptr<PeerServer>>
  start(const Address &Listen, std::shared_ptr<wire::PeerIf> Handler);

  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

private:
  struct Implementation;
  explicit PeerServer(std::unique_ptr<Implementation> State);

  std::unique_ptr<Implementation> m_State;
};

} // namespace hyssopcross::peer

#endif
