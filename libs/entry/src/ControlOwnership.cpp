#include "WireCodec.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/entry/Control.h"

namespace hyssopcross::entry {

using balancing::PoolId;

namespace {

/// Pause between two digests of a pool to its successor.
constexpr Duration DigestPause = std::chrono::seconds(2);

/// Time after the start before a VM takes pools of other data centres.
constexpr Duration ForeignPoolWait = std::chrono::seconds(30);

/// How long slots count as taken after a planned hand-over.
constexpr Duration HandOverInFlight = std::chrono::milliseconds(300);

ownership::CommitEnd toOwnership(records::CommitEnd End) {
  switch (End) {
  case records::CommitEnd::Committed:
    return ownership::CommitEnd::Committed;
  case records::CommitEnd::Conflict:
    return ownership::CommitEnd::Conflict;
  case records::CommitEnd::Unavailable:
    return ownership::CommitEnd::Unavailable;
  case records::CommitEnd::Unknown:
    break;
  }
  return ownership::CommitEnd::Unknown;
}

} // namespace

void Control::stepOwnership(const ownership::Event &Event) {
  std::vector<ownership::Action> Actions;
  {
    std::lock_guard Lock(m_OwnershipMutex);
    step(m_Ownership, Event, m_Parts.m_Clock.now(), Actions);
  }
  for (const ownership::Action &Next : Actions)
    std::visit([this](const auto &Known) { carryOut(Known); }, Next);
}

void Control::carryOut(const ownership::ReadLease &Action) {
  m_Parts.m_Store.run(
      records::ReadRow{Action.m_Request, Action.m_Key},
      [this](records::RowRead Read) {
        post([this, Read = std::move(Read)] {
          if (Read.m_Reached)
            stepOwnership(ownership::ReadSucceeded{Read.m_Request, Read.m_Row});
          else
            stepOwnership(ownership::ReadFailed{Read.m_Request});
        });
      });
}

void Control::carryOut(const ownership::CommitLease &Action) {
  m_Parts.m_Store.run(records::CommitRows{Action.m_Request, Action.m_Writes},
                      [this](records::CommitEnded Ended) {
                        post([this, Ended] {
                          stepOwnership(ownership::CommitEnded{
                              Ended.m_Request, toOwnership(Ended.m_End)});
                        });
                      });
}

void Control::carryOut(const ownership::SendMessage &Action) {
  ownership::Message Message = Action.m_Message;
  if (auto *Offer = std::get_if<ownership::HandOverOffer>(&Message))
    Offer->m_Digest = digestOf(Offer->m_Pool);
  sendPeer(peerAddressOf(Action.m_To),
           [Wire = toWire(Message)](peer::wire::PeerClient &Peer) {
             Peer.ownership(Wire);
           });
}

void Control::carryOut(const ownership::LeaseChanged &Action) {
  logEvent(LogLevel::Info, "lease_changed",
           {{"service", Action.m_Pool.m_Service},
            {"data_centre", Action.m_Pool.m_DataCentre},
            {"status", ownership::leaseStatusName(Action.m_Status)},
            {"epoch", Action.m_Epoch}});
  m_PublishDue = true;
  if (Action.m_Status == ownership::LeaseStatus::NotOwner)
    m_Parts.m_Pools.remove(Action.m_Pool);
  else if (std::shared_ptr<PoolHost> Host = m_Parts.m_Pools.find(Action.m_Pool))
    Host->apply(balancing::Woke{});
}

void Control::carryOut(const ownership::TookOver &Action) {
  if (!m_Follower.m_Current)
    return;
  auto Entry = m_Follower.m_Current->m_Services.find(Action.m_Pool.m_Service);
  if (Entry == m_Follower.m_Current->m_Services.end())
    return;
  TimePoint Now = m_Parts.m_Clock.now();
  // A silent predecessor's lease has run out, and with it the deadlines of
  // what it sent, but for those that are longer than the lease.
  Duration Left =
      Entry->second.m_Limits.m_Timeout - m_Settings.m_Ownership.m_TimeToLive;
  balancing::TookOver Digest;
  Digest.m_Digest = m_Digests[Action.m_Pool];
  Digest.m_Until =
      Now + (Action.m_Planned ? HandOverInFlight : std::max(Left, Duration{}));
  Digest.m_Exact = Action.m_Planned;
  m_Digests.erase(Action.m_Pool);
  logEvent(LogLevel::Info, "pool_taken",
           {{"service", Action.m_Pool.m_Service},
            {"data_centre", Action.m_Pool.m_DataCentre},
            {"epoch", Action.m_Epoch},
            {"predecessor", Action.m_Predecessor},
            {"planned", Action.m_Planned ? "true" : "false"}});
  m_Parts.m_Pools.add(Action.m_Pool, Entry->second, serversOf(Action.m_Pool),
                      Digest);
  learn({Action.m_Pool, m_Settings.m_Self.m_Name, Action.m_Epoch});
}

void Control::carryOut(const ownership::OwnerLearned &Action) {
  learn({Action.m_Pool, Action.m_Owner, Action.m_Epoch});
}

void Control::carryOut(const ownership::RowRejected &Action) {
  logEvent(LogLevel::Error, "lease_row_rejected",
           {{"service", Action.m_Pool.m_Service},
            {"data_centre", Action.m_Pool.m_DataCentre},
            {"reason", Action.m_Reason}});
}

void Control::carryOut(const ownership::Drained &) {
  logEvent(LogLevel::Info, "leases_released", {});
  m_Drained = true;
}

void Control::carryOut(const ownership::WakeAt &Action) {
  m_Timers.schedule("ownership", Action.m_Time, [this] {
    stepOwnership(ownership::Woke{});
    if (m_PublishDue)
      publish();
  });
}

void Control::learn(const addresses::OwnerEntry &Entry) {
  TimePoint Now = m_Parts.m_Clock.now();
  if (!addresses::mergeOwner(m_Owners, Entry, Now))
    return;
  m_ChangedAt = Now;
  m_PublishDue = true;
}

void Control::updateCandidates() {
  ownership::CandidatesChanged Event;
  membership::View Members =
      membership::view(m_Membership, m_Parts.m_Clock.now());
  if (!Members.m_Fresh)
    return;
  if (m_Follower.m_Current) {
    for (const membership::MemberView &Each : Members.m_Members) {
      const membership::VmInfo &Info = Each.m_Info;
      if (Each.m_Status != membership::VmStatus::Alive ||
          m_Follower.m_Current->m_VmsOut.contains(Info.m_Name) ||
          !inService(Info.m_DataCentre))
        continue;
      Event.m_Candidates.push_back({Info.m_Name, Info.m_Incarnation,
                                    Info.m_DataCentre, Info.m_PeerAddress});
    }
  }
  stepOwnership(Event);
  updatePoolIds();
}

std::set<std::string> Control::staffedDataCentres() const {
  std::set<std::string> Staffed{m_Settings.m_Self.m_DataCentre};
  TimePoint Now = m_Parts.m_Clock.now();
  for (const membership::MemberView &Each :
       membership::view(m_Membership, Now).m_Members)
    if (Each.m_Status == membership::VmStatus::Alive ||
        Each.m_Status == membership::VmStatus::Suspect)
      Staffed.insert(Each.m_Info.m_DataCentre);
  // A listed VM that was not heard yet counts until it had time to be heard.
  if (Now - m_StartedAt < ForeignPoolWait)
    for (const store::VmRecord &Each : m_WholeList)
      if (Each.m_Role == store::VmRole::Entry)
        Staffed.insert(Each.m_DataCentre);
  return Staffed;
}

void Control::updatePoolIds() {
  if (!m_Follower.m_Current)
    return;
  const catalogue::Catalogue &Current = *m_Follower.m_Current;
  std::set<std::string> Staffed = staffedDataCentres();
  std::set<PoolId> Wanted;
  for (const store::VmRecord &Each : m_Records)
    if (Each.m_Role == store::VmRole::Backend &&
        Current.m_Services.contains(Each.m_Service))
      Wanted.insert({Each.m_Service, m_Settings.m_Self.m_DataCentre});
  for (const store::VmRecord &Each : m_WholeList)
    if (Each.m_Role == store::VmRole::Backend &&
        Current.m_Services.contains(Each.m_Service) &&
        !Staffed.contains(Each.m_DataCentre) && inService(Each.m_DataCentre))
      Wanted.insert({Each.m_Service, Each.m_DataCentre});
  stepOwnership(ownership::PoolsChanged{{Wanted.begin(), Wanted.end()}});
}

void Control::updateServers() {
  for (const auto &[Id, Host] : m_Parts.m_Pools.all())
    Host->apply(balancing::ServersListed{serversOf(Id)});
}

std::vector<balancing::ServerRecord>
Control::serversOf(const PoolId &Pool) const {
  const std::vector<store::VmRecord> &Records =
      Pool.m_DataCentre == m_Settings.m_Self.m_DataCentre ? m_Records
                                                          : m_WholeList;
  std::vector<balancing::ServerRecord> Servers;
  for (const store::VmRecord &Each : Records)
    if (Each.m_Role == store::VmRole::Backend &&
        Each.m_Service == Pool.m_Service &&
        Each.m_DataCentre == Pool.m_DataCentre)
      Servers.push_back(
          {Each.m_Address, Each.m_State == store::VmState::Leaving});
  return Servers;
}

std::vector<balancing::ServerDigest>
Control::digestOf(const PoolId &Pool) const {
  std::shared_ptr<PoolHost> Host = m_Parts.m_Pools.find(Pool);
  if (!Host)
    return {};
  return Host->inspect([](const balancing::PoolState &State) {
    return balancing::digest(State);
  });
}

void Control::sendDigests() {
  std::map<std::string, std::vector<peer::wire::PoolDigest>> BySuccessor;
  for (const auto &[Id, Host] : m_Parts.m_Pools.all()) {
    std::optional<std::string> Successor =
        ownership::successorOf(m_Ownership, Id);
    if (!Successor)
      continue;
    peer::wire::PoolDigest Digest;
    Digest.pool = toWire(Id);
    Digest.servers = toWire(digestOf(Id));
    BySuccessor[*Successor].push_back(std::move(Digest));
  }
  for (const auto &[Successor, Digests] : BySuccessor)
    sendPeer(peerAddressOf(Successor),
             [Digests = Digests](peer::wire::PeerClient &Peer) {
               Peer.poolDigests(Digests);
             });
  m_Timers.schedule("digests", m_Parts.m_Clock.now() + DigestPause,
                    [this] { sendDigests(); });
}

} // namespace hyssopcross::entry
