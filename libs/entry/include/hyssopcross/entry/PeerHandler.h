#ifndef HYSSOPCROSS_ENTRY_PEERHANDLER_H
#define HYSSOPCROSS_ENTRY_PEERHANDLER_H

#include "Peer.h"
#include "hyssopcross/entry/Control.h"

namespace hyssopcross::entry {

/// Answers what other entry VMs send. Malformed messages are logged and
/// dropped. Safe from any thread.
class PeerHandler final : public peer::wire::PeerIf {
public:
  explicit PeerHandler(Control &Routing);

  void heartbeat(const peer::wire::Heartbeat &Message) override;
  void requestVmList(const peer::wire::VmListRequest &Message) override;
  void answerVmList(const peer::wire::VmListAnswer &Message) override;
  void ownership(const peer::wire::OwnershipMessage &Message) override;
  void announceCatalogue(const std::string &Sender, int64_t Version) override;
  void fetchCatalogue(std::string &Document) override;
  void poolDigests(const std::vector<peer::wire::PoolDigest> &Digests) override;
  void queueing(const peer::wire::Pool &Pool, bool IsQueueing) override;
  void askPull(const peer::wire::Pool &Origin, const peer::wire::Pool &Target,
               int32_t FreeSlots) override;

private:
  Control &m_Control;
};

} // namespace hyssopcross::entry

#endif
