#include "hyssopcross/entry/Control.h"
#include "WireCodec.h"
#include "hyssopcross/base/Log.h"

namespace hyssopcross::entry {

using balancing::PoolId;

namespace {

/// Time allowed for a message to another VM.
constexpr Duration PeerTimeout = std::chrono::milliseconds(500);

/// Messages to other VMs that wait for a thread.
constexpr size_t MaxWaitingMessages = 512;

ownership::Identity identity(const membership::VmInfo &Self) {
  return {Self.m_Name, Self.m_Incarnation, Self.m_DataCentre,
          Self.m_PeerAddress};
}

} // namespace

Control::Control(ControlSettings Settings, ControlParts Parts)
    : m_Settings(std::move(Settings)), m_Parts(Parts),
      m_Membership(m_Settings.m_Self, m_Settings.m_Membership,
                   Parts.m_Clock.now()),
      m_Follower(m_Settings.m_Follower, m_Settings.m_Seed),
      m_ChangedAt(Parts.m_Clock.now()), m_StartedAt(Parts.m_Clock.now()),
      m_Ownership(identity(m_Settings.m_Self), m_Settings.m_Ownership,
                  Parts.m_Clock.now(), m_Settings.m_Seed + 1),
      m_Published(std::make_shared<addresses::RoutingView>()),
      m_Timers(Parts.m_Loop, Parts.m_Clock) {}

void Control::start() {
  post([this] {
    fetchVmList();
    stepMembership(membership::Woke{});
    stepFollower(catalogue::FollowerWoke{});
    stepOwnership(ownership::Woke{});
    updateCandidates();
    sendDigests();
    publish();
  });
}

void Control::post(std::function<void()> Task) {
  m_Timers.post([this, Task = std::move(Task)] {
    Task();
    if (m_PublishDue)
      publish();
  });
}

void Control::sendPeer(const std::string &PeerAddress,
                       std::function<void(peer::wire::PeerClient &)> Send) {
  m_Parts.m_PeerThreads.post(
      [this, PeerAddress, Send = std::move(Send)] {
        auto Sent = m_Parts.m_Peers.call(PeerAddress, PeerTimeout, Send);
        if (!Sent)
          logEvent(LogLevel::Debug, "peer_not_reached",
                   {{"peer", PeerAddress}, {"error", Sent.error().m_Message}});
      },
      MaxWaitingMessages);
}

std::shared_ptr<const addresses::RoutingView> Control::routing() const {
  std::lock_guard Lock(m_PublishedMutex);
  return m_Published;
}

catalogue::CatalogueRef Control::currentCatalogue() const {
  std::lock_guard Lock(m_PublishedMutex);
  return m_Catalogue;
}

void Control::listPeers() {
  for (const auto &[Id, Host] : m_Parts.m_Pools.all()) {
    balancing::PeersListed Peers;
    for (const auto &[Other, Owner] : m_Owners.m_Owners)
      if (Other.m_Service == Id.m_Service && Other != Id &&
          !Owner.m_Owner.empty() && inService(Other.m_DataCentre))
        Peers.m_Pools.push_back(Other);
    Host->apply(Peers);
  }
}

void Control::publish() {
  m_PublishDue = false;
  listPeers();
  auto View = std::make_shared<addresses::RoutingView>();
  View->m_Self = m_Settings.m_Self.m_Name;
  View->m_DataCentre = m_Settings.m_Self.m_DataCentre;
  membership::View Members =
      membership::view(m_Membership, m_Parts.m_Clock.now());
  View->m_Current = Members.m_Fresh && m_TakesWork;
  addresses::setMembers(*View, Members);
  View->m_Owners = m_Owners;
  if (m_Follower.m_Current)
    View->m_Catalogue = *m_Follower.m_Current;
  View->m_Distances = m_Settings.m_Distances;
  View->m_ChangedAt = m_ChangedAt;
  View->m_Policy = m_Settings.m_Addresses;
  std::lock_guard Lock(m_PublishedMutex);
  m_Published = std::move(View);
  m_Catalogue = m_Follower.m_Current;
}

LeaseStanding Control::standing(const PoolId &Pool) const {
  std::lock_guard Lock(m_OwnershipMutex);
  switch (ownership::leaseStatus(m_Ownership, Pool, m_Parts.m_Clock.now())) {
  case ownership::LeaseStatus::Confirmed:
    return LeaseStanding::Confirmed;
  case ownership::LeaseStatus::Unconfirmed:
    return LeaseStanding::Unconfirmed;
  case ownership::LeaseStatus::NotOwner:
    break;
  }
  return LeaseStanding::NotOwner;
}

void Control::beginStop() {
  post([this] {
    stepMembership(membership::StopRequested{});
    stepOwnership(ownership::StopRequested{});
  });
}

void Control::receive(HeartbeatBundle Bundle) {
  post([this, Bundle = std::move(Bundle)] { heard(Bundle); });
}

void Control::receive(membership::VmListRequest Message) {
  post([this, Message = std::move(Message)] {
    stepMembership(membership::VmListRequested{Message});
  });
}

void Control::receive(membership::VmListAnswer Message) {
  post([this, Message = std::move(Message)] {
    stepMembership(membership::VmListAnswered{Message});
  });
}

void Control::receive(ownership::Message Message) {
  post([this, Message = std::move(Message)] {
    if (const auto *Offer = std::get_if<ownership::HandOverOffer>(&Message))
      m_Digests[Offer->m_Pool] = Offer->m_Digest;
    stepOwnership(ownership::MessageArrived{Message});
  });
}

void Control::receiveDigest(const PoolId &Pool,
                            std::vector<balancing::ServerDigest> Digest) {
  post([this, Pool, Digest = std::move(Digest)] { m_Digests[Pool] = Digest; });
}

void Control::receiveVersion(const std::string &Peer, uint64_t Version) {
  post([this, Peer, Version] {
    catalogue::observe(m_InForce, {Peer, Version}, m_Parts.m_Clock.now());
    stepFollower(catalogue::PeerVersion{Peer, Version});
  });
}

void Control::receiveQueueing(const PoolId &Pool, bool Queueing) {
  for (const auto &[Id, Host] : m_Parts.m_Pools.all())
    if (Id.m_Service == Pool.m_Service && Id != Pool)
      Host->apply(balancing::PeerQueueing{Pool, Queueing});
}

void Control::receivePull(const PoolId &Origin, const PoolId &Target,
                          uint32_t FreeSlots) {
  if (std::shared_ptr<PoolHost> Host = m_Parts.m_Pools.find(Target))
    Host->apply(balancing::PullAsked{Origin, FreeSlots});
}

void Control::accepted(catalogue::CatalogueRef Version) {
  post([this, Version = std::move(Version)] {
    stepFollower(catalogue::VersionAccepted{Version});
  });
}

void Control::announceQueueing(const PoolId &Pool, bool Queueing) {
  std::shared_ptr<const addresses::RoutingView> View = routing();
  peer::wire::Pool Wire = toWire(Pool);
  for (const auto &[Id, Owner] : View->m_Owners.m_Owners) {
    auto Member = View->m_Members.find(Owner.m_Owner);
    if (Id.m_Service != Pool.m_Service || Id == Pool ||
        Member == View->m_Members.end())
      continue;
    sendPeer(Member->second.m_PeerAddress,
             [Wire, Queueing](peer::wire::PeerClient &Peer) {
               Peer.queueing(Wire, Queueing);
             });
  }
}

void Control::askPull(const PoolId &Pool, const PoolId &Target,
                      uint32_t FreeSlots) {
  std::shared_ptr<const addresses::RoutingView> View = routing();
  auto Owner = View->m_Owners.m_Owners.find(Target);
  if (Owner == View->m_Owners.m_Owners.end())
    return;
  auto Member = View->m_Members.find(Owner->second.m_Owner);
  if (Member == View->m_Members.end())
    return;
  sendPeer(Member->second.m_PeerAddress,
           [Origin = toWire(Pool), Wire = toWire(Target),
            FreeSlots](peer::wire::PeerClient &Peer) {
             Peer.askPull(Origin, Wire, static_cast<int32_t>(FreeSlots));
           });
}

catalogue::InForceStatus Control::inForceStatus(uint64_t Version) {
  return m_Timers.ask(
      [this, Version] { return catalogue::inForce(m_InForce, Version); });
}

membership::View Control::members() {
  return m_Timers.ask(
      [this] { return membership::view(m_Membership, m_Parts.m_Clock.now()); });
}

std::string Control::peerAddressOf(const std::string &Vm) const {
  auto Found = m_Membership.m_Members.find(Vm);
  return Found == m_Membership.m_Members.end()
             ? std::string()
             : Found->second.m_Info.m_PeerAddress;
}

} // namespace hyssopcross::entry
