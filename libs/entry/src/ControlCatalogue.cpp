#include "hyssopcross/base/Log.h"
#include "hyssopcross/catalogue/Codec.h"
#include "hyssopcross/entry/Control.h"

namespace hyssopcross::entry {

namespace {

/// Time allowed for a peer to send its catalogue.
constexpr Duration FetchTimeout = std::chrono::milliseconds(800);

/// Fetches that wait for a thread.
constexpr size_t MaxWaitingFetches = 64;

catalogue::CatalogueRef readDocument(const std::string &Text) {
  if (Text.empty())
    return nullptr;
  auto Read = catalogue::readJson(Text);
  if (Read)
    return std::make_shared<const catalogue::Catalogue>(
        std::move(Read.value()));
  logEvent(LogLevel::Error, "peer_catalogue_rejected",
           {{"error", Read.error().m_Message}});
  return nullptr;
}

} // namespace

bool Control::inService(const std::string &DataCentre) const {
  if (!m_Follower.m_Current)
    return false;
  auto Found = m_Follower.m_Current->m_DataCentres.find(DataCentre);
  return Found != m_Follower.m_Current->m_DataCentres.end() &&
         Found->second.m_InService;
}

void Control::stepFollower(const catalogue::FollowerEvent &Event) {
  std::vector<catalogue::FollowerAction> Actions;
  step(m_Follower, Event, {m_Parts.m_Clock.now(), m_Parts.m_Clock.wallNow()},
       Actions);
  for (const catalogue::FollowerAction &Next : Actions)
    std::visit([this](const auto &Known) { carryOut(Known); }, Next);
}

void Control::carryOut(const catalogue::InstallCatalogue &Action) {
  const catalogue::Catalogue &Current = *Action.m_Catalogue;
  logEvent(LogLevel::Info, "catalogue_in_force",
           {{"version", Current.m_Version}});
  TimePoint Now = m_Parts.m_Clock.now();
  m_ChangedAt = Now;
  m_PublishDue = true;
  catalogue::observe(m_InForce, {m_Settings.m_Self.m_Name, Current.m_Version},
                     Now);
  std::set<balancing::PoolId> Kept;
  for (const auto &[Service, Entry] : Current.m_Services)
    for (const auto &[DataCentre, Each] : Current.m_DataCentres)
      Kept.insert({Service, DataCentre});
  addresses::retainPools(m_Owners, Kept);
  for (const auto &[Id, Host] : m_Parts.m_Pools.all()) {
    auto Entry = Current.m_Services.find(Id.m_Service);
    if (Entry == Current.m_Services.end())
      m_Parts.m_Pools.remove(Id);
    else
      Host->apply(
          balancing::EntryChanged{Entry->second, inService(Id.m_DataCentre)});
  }
  updateCandidates();
}

void Control::carryOut(const catalogue::AnnounceVersion &Action) {
  sendPeer(peerAddressOf(Action.m_Peer),
           [Self = m_Settings.m_Self.m_Name,
            Version = Action.m_Version](peer::wire::PeerClient &Peer) {
             Peer.announceCatalogue(Self, static_cast<int64_t>(Version));
           });
}

void Control::carryOut(const catalogue::FetchFromPeer &Action) {
  std::string PeerAddress = peerAddressOf(Action.m_Peer);
  auto Fetch = [this, Peer = Action.m_Peer, PeerAddress] {
    std::string Text;
    auto Called = m_Parts.m_Peers.call(PeerAddress, FetchTimeout,
                                       [&Text](peer::wire::PeerClient &Client) {
                                         Client.fetchCatalogue(Text);
                                       });
    catalogue::CatalogueRef Document = Called ? readDocument(Text) : nullptr;
    post([this, Peer, Document] {
      stepFollower(catalogue::PeerCatalogue{Peer, Document});
    });
  };
  if (!m_Parts.m_PeerThreads.post(Fetch, MaxWaitingFetches))
    post([this, Peer = Action.m_Peer] {
      stepFollower(catalogue::PeerCatalogue{Peer, nullptr});
    });
}

void Control::carryOut(const catalogue::TakeWork &Action) {
  if (m_TakesWork != Action.m_Take)
    logEvent(LogLevel::Warning, "takes_work",
             {{"value", Action.m_Take ? "true" : "false"}});
  m_TakesWork = Action.m_Take;
  m_PublishDue = true;
}

void Control::carryOut(const catalogue::FollowerWakeAt &Action) {
  m_Timers.schedule("follower", Action.m_Time, [this] {
    stepFollower(catalogue::FollowerWoke{});
    if (m_PublishDue)
      publish();
  });
}

void Control::carryOut(const records::ReadRow &Action) {
  m_Parts.m_Store.run(Action, [this](records::RowRead Read) {
    post([this, Read = std::move(Read)] { stepFollower(Read); });
  });
}

} // namespace hyssopcross::entry
