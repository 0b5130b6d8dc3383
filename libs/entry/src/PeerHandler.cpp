#include "hyssopcross/entry/PeerHandler.h"
#include "WireCodec.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/catalogue/Codec.h"

namespace hyssopcross::entry {

namespace {

void logMalformed(const char *Kind, const Error &Why) {
  logEvent(LogLevel::Warning, "peer_message_malformed",
           {{"kind", Kind}, {"error", Why.m_Message}});
}

} // namespace

PeerHandler::PeerHandler(Control &Routing) : m_Control(Routing) {}

void PeerHandler::heartbeat(const peer::wire::Heartbeat &Message) {
  auto Bundle = fromWire(Message);
  if (!Bundle)
    return logMalformed("heartbeat", Bundle.error());
  m_Control.receive(std::move(Bundle.value()));
}

void PeerHandler::requestVmList(const peer::wire::VmListRequest &Message) {
  m_Control.receive(fromWire(Message));
}

void PeerHandler::answerVmList(const peer::wire::VmListAnswer &Message) {
  auto Answer = fromWire(Message);
  if (!Answer)
    return logMalformed("vm_list", Answer.error());
  m_Control.receive(std::move(Answer.value()));
}

void PeerHandler::ownership(const peer::wire::OwnershipMessage &Message) {
  auto Known = fromWire(Message);
  if (!Known)
    return logMalformed("ownership", Known.error());
  m_Control.receive(std::move(Known.value()));
}

void PeerHandler::announceCatalogue(const std::string &Sender,
                                    int64_t Version) {
  if (auto Checked = checkCounts({Version}); !Checked)
    return logMalformed("catalogue_version", Checked.error());
  m_Control.receiveVersion(Sender, static_cast<uint64_t>(Version));
}

void PeerHandler::fetchCatalogue(std::string &Document) {
  catalogue::CatalogueRef Current = m_Control.currentCatalogue();
  if (Current)
    Document = catalogue::writeJson(*Current);
}

void PeerHandler::poolDigests(
    const std::vector<peer::wire::PoolDigest> &Digests) {
  for (const peer::wire::PoolDigest &Each : Digests) {
    auto Servers = fromWire(Each.servers);
    if (!Servers)
      return logMalformed("pool_digest", Servers.error());
    m_Control.receiveDigest(fromWire(Each.pool), std::move(Servers.value()));
  }
}

void PeerHandler::queueing(const peer::wire::Pool &Pool, bool IsQueueing) {
  m_Control.receiveQueueing(fromWire(Pool), IsQueueing);
}

void PeerHandler::askPull(const peer::wire::Pool &Origin,
                          const peer::wire::Pool &Target, int32_t FreeSlots) {
  if (auto Checked = checkCounts({FreeSlots}); !Checked)
    return logMalformed("pull", Checked.error());
  m_Control.receivePull(fromWire(Origin), fromWire(Target),
                        static_cast<uint32_t>(FreeSlots));
}

} // namespace hyssopcross::entry
