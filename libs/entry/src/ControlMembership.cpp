#include "WireCodec.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/entry/Control.h"

namespace hyssopcross::entry {

namespace {

/// Share of a heartbeat for the owners of pools, in bytes.
constexpr size_t OwnerDigestBytes = 80;

/// Catalogue versions of other VMs passed on in a heartbeat.
constexpr size_t VersionsInHeartbeat = 4;

/// How long the platform's list counts for VMs that were not heard.
constexpr Duration ListFreshness = std::chrono::seconds(30);

std::string describe(const std::vector<catalogue::VmVersion> &Versions) {
  std::string Text;
  for (const catalogue::VmVersion &Each : Versions)
    Text += Each.m_Vm + ":" + std::to_string(Each.m_Version) + ",";
  return Text;
}

} // namespace

void Control::stepMembership(const membership::Event &Event) {
  std::vector<membership::Action> Actions;
  step(m_Membership, Event, m_Parts.m_Clock.now(), Actions);
  for (const membership::Action &Next : Actions)
    std::visit([this](const auto &Known) { carryOut(Known); }, Next);
}

void Control::carryOut(const membership::SendHeartbeat &Action) {
  HeartbeatBundle Bundle;
  Bundle.m_Heartbeat = Action.m_Message;
  Bundle.m_Owners = addresses::nextOwnerDigest(m_Owners, OwnerDigestBytes);
  Bundle.m_Versions = catalogue::versionsToPass(
      m_InForce, Action.m_To, VersionsInHeartbeat, m_Parts.m_Clock.now());
  Bundle.m_Versions.push_back(
      {m_Settings.m_Self.m_Name, catalogue::currentVersion(m_Follower)});
  sendPeer(Action.m_PeerAddress,
           [Wire = toWire(Bundle)](peer::wire::PeerClient &Peer) {
             Peer.heartbeat(Wire);
           });
}

void Control::carryOut(const membership::PollVmList &) { fetchVmList(); }

void Control::fetchVmList() {
  m_Parts.m_StoreThreads.post([this] {
    auto Fetched = m_Parts.m_VmList.fetch();
    if (!Fetched) {
      logEvent(LogLevel::Warning, "vm_list_not_read",
               {{"error", Fetched.error().m_Message}});
      post([this] { stepMembership(membership::VmListFetched{}); });
      return;
    }
    post([this, Records = std::move(Fetched.value())] {
      m_WholeList = Records;
      m_WholeListAt = m_Parts.m_Clock.now();
      updateLive();
      stepMembership(membership::VmListFetched{Records});
      updatePoolIds();
      updateServers();
    });
  });
}

void Control::carryOut(const membership::PollCatalogueHead &) {
  // The follower polls by itself on the VMs that membership names.
}

void Control::carryOut(const membership::SendVmListRequest &Action) {
  sendPeer(Action.m_PeerAddress,
           [Wire = toWire(Action.m_Message)](peer::wire::PeerClient &Peer) {
             Peer.requestVmList(Wire);
           });
}

void Control::carryOut(const membership::SendVmListAnswer &Action) {
  sendPeer(Action.m_PeerAddress,
           [Wire = toWire(Action.m_Message)](peer::wire::PeerClient &Peer) {
             Peer.answerVmList(Wire);
           });
}

void Control::carryOut(const membership::VmListChanged &Action) {
  m_Records = Action.m_Records;
  updatePoolIds();
  updateServers();
}

void Control::carryOut(const membership::ViewChanged &) {
  m_ChangedAt = m_Parts.m_Clock.now();
  m_PublishDue = true;
  updateLive();
  stepFollower(catalogue::NeighboursChanged{m_Membership.m_Neighbours});
  stepFollower(catalogue::PollerChanged{membership::isPoller(m_Membership)});
  updateCandidates();
}

void Control::updateLive() {
  TimePoint Now = m_Parts.m_Clock.now();
  std::set<std::string> Live;
  std::set<std::string> Known;
  for (const membership::MemberView &Each :
       membership::view(m_Membership, Now).m_Members) {
    Known.insert(Each.m_Info.m_Name);
    uint64_t &Incarnation = m_Incarnations[Each.m_Info.m_Name];
    if (Incarnation != 0 && Incarnation != Each.m_Info.m_Incarnation)
      catalogue::forgetVm(m_InForce, Each.m_Info.m_Name);
    Incarnation = Each.m_Info.m_Incarnation;
    if (Each.m_Status == membership::VmStatus::Alive)
      Live.insert(Each.m_Info.m_Name);
  }
  std::erase_if(m_Incarnations, [&Known](const auto &Each) {
    return !Known.contains(Each.first);
  });
  // A VM that the platform lists and that was not heard yet may still take
  // part; without it, a version would count as in force too early.
  if (Now - m_WholeListAt < ListFreshness)
    for (const store::VmRecord &Each : m_WholeList)
      if (Each.m_Role == store::VmRole::Entry &&
          Each.m_State == store::VmState::Live && !Known.contains(Each.m_Name))
        Live.insert(Each.m_Name);
  catalogue::setLive(m_InForce, std::move(Live));
}

void Control::carryOut(const membership::IncarnationRaised &Action) {
  logEvent(LogLevel::Warning, "incarnation_raised",
           {{"incarnation", Action.m_Incarnation}});
}

void Control::carryOut(const membership::WakeAt &Action) {
  m_Timers.schedule("membership", Action.m_Time, [this] {
    stepMembership(membership::Woke{});
    if (m_PublishDue)
      publish();
  });
}

void Control::heard(const HeartbeatBundle &Bundle) {
  logEvent(LogLevel::Debug, "heartbeat_heard",
           {{"sender", Bundle.m_Heartbeat.m_From.m_Name},
            {"entries", Bundle.m_Heartbeat.m_Entries.size()},
            {"owners", Bundle.m_Owners.size()},
            {"versions", describe(Bundle.m_Versions)}});
  stepMembership(membership::HeartbeatArrived{Bundle.m_Heartbeat});
  for (const addresses::OwnerEntry &Each : Bundle.m_Owners)
    learn(Each);
  TimePoint Now = m_Parts.m_Clock.now();
  for (const catalogue::VmVersion &Each : Bundle.m_Versions) {
    catalogue::observe(m_InForce, Each, Now);
    if (Each.m_Vm == Bundle.m_Heartbeat.m_From.m_Name)
      stepFollower(catalogue::PeerVersion{Each.m_Vm, Each.m_Version});
  }
}

} // namespace hyssopcross::entry
