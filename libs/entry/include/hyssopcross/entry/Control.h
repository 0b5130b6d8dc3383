#ifndef HYSSOPCROSS_ENTRY_CONTROL_H
#define HYSSOPCROSS_ENTRY_CONTROL_H

#include "hyssopcross/addresses/Addresses.h"
#include "hyssopcross/catalogue/Follower.h"
#include "hyssopcross/entry/HeartbeatBundle.h"
#include "hyssopcross/entry/Pools.h"
#include "hyssopcross/entry/StoreAccess.h"
#include "hyssopcross/entry/Timers.h"
#include "hyssopcross/membership/Membership.h"
#include "hyssopcross/ownership/Ownership.h"
#include "hyssopcross/peer/PeerClients.h"
#include <atomic>
#include <future>

namespace hyssopcross::entry {

/// What the control part of a VM is built with.
struct ControlSettings {
  membership::VmInfo m_Self;
  membership::MembershipPolicy m_Membership;
  ownership::OwnershipPolicy m_Ownership;
  catalogue::FollowerPolicy m_Follower;
  addresses::AddressPolicy m_Addresses;
  addresses::Distances m_Distances;
  uint64_t m_Seed = 0;
};

/// What the control part uses; all of it outlives the control part.
struct ControlParts {
  const Clock &m_Clock;
  boost::asio::io_context &m_Loop;
  StoreAccess &m_Store;
  store::VmList &m_VmList;
  Workers &m_StoreThreads;
  peer::PeerClients &m_Peers;
  Workers &m_PeerThreads;
  Pools &m_Pools;
};

/// Hosts the decisions about membership, ownership and the catalogue on the
/// event loop, and publishes what calls need. Functions are safe from any
/// thread; those that take an event return at once. Destroyed when the loop no
/// longer runs.
class Control {
public:
  Control(ControlSettings Settings, ControlParts Parts);

  /// Begins; call once.
  void start();

  /// What routing depends on, as of now.
  std::shared_ptr<const addresses::RoutingView> routing() const;

  /// The standing of this VM's lease on a pool at this instant.
  LeaseStanding standing(const balancing::PoolId &Pool) const;

  /// Whether this VM may take new work, by the catalogue that it has.
  bool takesWork() const { return m_TakesWork; }

  /// Leaves the answers and gives up all pools; drained() tells when done.
  void beginStop();
  bool drained() const { return m_Drained; }

  // Events from other VMs.
  void receive(HeartbeatBundle Bundle);
  void receive(membership::VmListRequest Message);
  void receive(membership::VmListAnswer Message);
  void receive(ownership::Message Message);
  void receiveDigest(const balancing::PoolId &Pool,
                     std::vector<balancing::ServerDigest> Digest);
  void receiveVersion(const std::string &Peer, uint64_t Version);
  void receiveQueueing(const balancing::PoolId &Pool, bool Queueing);
  void receivePull(const balancing::PoolId &Origin,
                   const balancing::PoolId &Target, uint32_t FreeSlots);

  // Events from this VM.
  void accepted(catalogue::CatalogueRef Version);
  void announceQueueing(const balancing::PoolId &Pool, bool Queueing);
  void askPull(const balancing::PoolId &Pool, const balancing::PoolId &Target,
               uint32_t FreeSlots);

  /// The catalogue in force here; null if there is none.
  catalogue::CatalogueRef currentCatalogue() const;

  /// Which live VMs have confirmed a version. Waits for the loop, so not to be
  /// called on its thread.
  catalogue::InForceStatus inForceStatus(uint64_t Version);

  /// The VMs as this one sees them. Waits for the loop, so not to be called on
  /// its thread.
  membership::View members();

private:
  void post(std::function<void()> Task);
  void sendPeer(const std::string &PeerAddress,
                std::function<void(peer::wire::PeerClient &)> Send);

  void stepMembership(const membership::Event &Event);
  void carryOut(const membership::SendHeartbeat &Action);
  void carryOut(const membership::PollVmList &Action);
  void carryOut(const membership::PollCatalogueHead &Action);
  void carryOut(const membership::SendVmListRequest &Action);
  void carryOut(const membership::SendVmListAnswer &Action);
  void carryOut(const membership::VmListChanged &Action);
  void carryOut(const membership::ViewChanged &Action);
  void carryOut(const membership::IncarnationRaised &Action);
  void carryOut(const membership::WakeAt &Action);
  void fetchVmList();
  void updateLive();
  void heard(const HeartbeatBundle &Bundle);

  void stepOwnership(const ownership::Event &Event);
  void carryOut(const ownership::ReadLease &Action);
  void carryOut(const ownership::CommitLease &Action);
  void carryOut(const ownership::SendMessage &Action);
  void carryOut(const ownership::LeaseChanged &Action);
  void carryOut(const ownership::TookOver &Action);
  void carryOut(const ownership::OwnerLearned &Action);
  void carryOut(const ownership::RowRejected &Action);
  void carryOut(const ownership::Drained &Action);
  void carryOut(const ownership::WakeAt &Action);
  void updateCandidates();
  void updatePoolIds();
  std::set<std::string> staffedDataCentres() const;
  void updateServers();
  void sendDigests();
  void learn(const addresses::OwnerEntry &Entry);
  std::vector<balancing::ServerRecord>
  serversOf(const balancing::PoolId &Pool) const;
  std::vector<balancing::ServerDigest>
  digestOf(const balancing::PoolId &Pool) const;

  void stepFollower(const catalogue::FollowerEvent &Event);
  void carryOut(const catalogue::InstallCatalogue &Action);
  void carryOut(const catalogue::AnnounceVersion &Action);
  void carryOut(const catalogue::FetchFromPeer &Action);
  void carryOut(const catalogue::TakeWork &Action);
  void carryOut(const catalogue::FollowerWakeAt &Action);
  void carryOut(const records::ReadRow &Action);
  bool inService(const std::string &DataCentre) const;

  std::string peerAddressOf(const std::string &Vm) const;
  void listPeers();
  void publish();

  ControlSettings m_Settings;
  ControlParts m_Parts;

  // Used on the loop's thread only.
  membership::MembershipState m_Membership;
  catalogue::FollowerState m_Follower;
  catalogue::InForceState m_InForce;
  /// The run of each VM whose catalogue version is known.
  std::map<std::string, uint64_t> m_Incarnations;
  addresses::OwnerTable m_Owners;
  std::vector<store::VmRecord> m_Records;
  std::vector<store::VmRecord> m_WholeList;
  TimePoint m_WholeListAt;
  std::map<balancing::PoolId, std::vector<balancing::ServerDigest>> m_Digests;
  TimePoint m_ChangedAt;
  TimePoint m_StartedAt;
  bool m_PublishDue = false;

  mutable std::mutex m_OwnershipMutex;
  ownership::OwnershipState m_Ownership;

  mutable std::mutex m_PublishedMutex;
  std::shared_ptr<const addresses::RoutingView> m_Published;
  catalogue::CatalogueRef m_Catalogue;

  std::atomic<bool> m_TakesWork{false};
  std::atomic<bool> m_Drained{false};
  Timers m_Timers;
};

} // namespace hyssopcross::entry

#endif
