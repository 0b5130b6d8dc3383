#ifndef HYSSOPCROSS_FLEET_MEMBERSHIP_H
#define HYSSOPCROSS_FLEET_MEMBERSHIP_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/dispatch/Servers.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross::fleet {

using dispatch::VmKey;

struct FleetPolicy {
  /// Between two heartbeats to each VM.
  Duration m_Heartbeat = std::chrono::milliseconds(500);
  /// Silence after which a VM gets no callers and no duties. Four lost
  /// heartbeats in a row, and well under the six seconds for which callers may
  /// be sent to a VM that is gone.
  Duration m_FailureTimeout = std::chrono::milliseconds(2200);
  /// How long a silent VM still gets heartbeats, so that both sides meet again
  /// after a partition.
  Duration m_ForgetAfter = std::chrono::seconds(120);
  /// Servers of a data centre for each VM that checks them.
  uint32_t m_ServersPerChecker = 14;
  /// VMs of a large fleet that hear of every check beside those that use the
  /// server, and step in when the checker falls silent: two may fail at once.
  uint32_t m_CheckStandbys = 3;
  /// VMs that follow the store, each in a data centre of its own where there
  /// are as many. With three, two may fail at once.
  uint32_t m_Followers = 3;
  /// VMs that hear nobody follow the store start to do so one after another, in
  /// each data centre by rank: the first few quickly, so that one that the
  /// store does answer is soon found; then slowly, as the store is down for
  /// all.
  Duration m_TakeoverStep = std::chrono::milliseconds(80);
  uint32_t m_FastTakeoverCount = 4;
  Duration m_TakeoverSlowStep = std::chrono::seconds(1);
  /// Age at which the last answer of the store to any follower no longer
  /// counts. Followers confirm it every 0.5 s in turn; two may be missed, and
  /// what is left of two seconds is enough to read a change.
  Duration m_ConfirmationAge = std::chrono::milliseconds(1300);
  /// Servers of each service that a VM sends to, in its own data centre and
  /// beyond it. Among ten servers of which a third are slow, one that is fast
  /// and idle is nearly always there; more would only make more messages.
  uint32_t m_LocalServers = 10;
  uint32_t m_RemoteServers = 3;
  /// Other data centres' VMs that get each batch of reports; with more VMs,
  /// each gets every second, third ... batch.
  uint32_t m_RemoteReceivers = 14;
  /// VMs from which on heartbeats are sent half as often, and stay within the
  /// data centre: other data centres get digests.
  uint32_t m_LargeFleetThreshold = 30;
  /// Silence after which a VM of another data centre of a large fleet gets no
  /// duties: a lost digest beside the usual age of its heartbeat and of the
  /// digest, and within the seven seconds for which callers may be sent to a VM
  /// that is gone.
  Duration m_RemoteFailureTimeout = std::chrono::milliseconds(4500);
  /// VMs of each data centre of a large fleet that send its digest to the
  /// others. With three, two may fail at once.
  uint32_t m_Relays = 3;
  /// VMs of each other data centre that a relay sends each digest to.
  uint32_t m_DigestReceivers = 2;
  /// VMs of each further data centre that a VM new to the fleet is told of.
  uint32_t m_Contacts = 2;
  /// Between two digests of a relay; while the fleet is new, each heartbeat
  /// comes with one.
  Duration m_DigestInterval = std::chrono::seconds(2);
  /// A digest is passed on within a data centre if none of the same origin was
  /// heard for this long: of the relays of one origin, about two are heard in
  /// each interval.
  Duration m_DigestForwardInterval = std::chrono::milliseconds(900);
  /// Silence of all relays of a data centre after which a VM asks one there
  /// itself: an interval and a half, and well before all of them would
  /// count as gone.
  Duration m_DigestTimeout = std::chrono::seconds(3);
  /// Other VMs named in a heartbeat, so that all come to know all: many while
  /// the fleet is new to this VM, few later.
  uint32_t m_BootstrapGossipHosts = 24;
  uint32_t m_GossipHosts = 2;
  /// How long the fleet counts as new. With 24 names in each greeting and
  /// heartbeat, all of 130 VMs are known after a second.
  Duration m_BootstrapPeriod = std::chrono::seconds(4);
  /// Time after its start in which a VM takes itself for one of a few, since it
  /// has heard few others: most of 100 VMs are heard in the first second.
  Duration m_StartupGracePeriod = std::chrono::seconds(1);
};

/// An entry VM as it describes itself.
struct VmInfo {
  std::string m_Name;
  /// IPv4 address; ports are the same on all VMs.
  std::string m_Host;
  std::string m_DataCentre;
  int64_t m_Incarnation = 0;
  bool m_Ready = false;
  bool m_Leaving = false;
  /// Thousandths of a core that the process may use.
  uint32_t m_MilliCores = 1;
};

/// What is known of another VM.
struct Peer {
  VmInfo m_Info;
  TimePoint m_HeardAt{};
  int64_t m_Sequence = 0;
  /// Known by address only: listed, but not heard yet.
  bool m_Heard = false;
  bool m_Alive = false;
  /// Follows the store itself, and the store answers it. As of m_HeardAt.
  bool m_StoreAnswers = false;
  /// When the store last answered it, as far as told.
  TimePoint m_StoreConfirmedAt{};
};

/// What a VM knows of the fleet. Changed only through the functions below.
struct Fleet {
  VmInfo m_Self;
  VmKey m_SelfKey = 0;
  /// By host.
  std::map<std::string, Peer, std::less<>> m_Peers;
  /// When a digest of another data centre was last heard, by its name.
  std::map<std::string, TimePoint, std::less<>> m_DigestHeardAt;
  /// Grows with every change of who is alive or leaving.
  uint64_t m_Version = 1;
};

VmKey vmKey(std::string_view Host);

/// Adds a VM that is known by address only. Returns false if it was known.
bool addPeerAddress(Fleet &State, std::string_view Host, TimePoint Now);

/// What a heartbeat changed.
enum class PeerChange { Nothing, Joined, Restarted, Changed };

/// Takes in a VM's description of itself. An older incarnation is ignored.
PeerChange updatePeer(Fleet &State, const VmInfo &Info, TimePoint Now);

/// Notes that a VM sent something that is newer than what it sent before;
/// false for a late or repeated datagram, or an unknown sender.
bool acceptSequence(Fleet &State, std::string_view Host, int64_t Incarnation,
                    int64_t Sequence, TimePoint Now);

/// Whether the fleet is so large that heartbeats are sent half as often, and
/// digests in place of them to other data centres.
bool isLarge(const Fleet &State, const FleetPolicy &Policy);

/// Marks VMs that have fallen silent; returns their hosts.
std::vector<std::string> expirePeers(Fleet &State, const FleetPolicy &Policy,
                                     TimePoint Now);

/// VMs that are alive or were named but not heard, this one included: the
/// number by which shared allowances are divided.
uint32_t quotaDivisor(const Fleet &State);

/// The place of this VM among those that could take on a duty, by rendezvous
/// hash: 0 is the VM whose duty it is. VMs of the data centre come first; VMs
/// that leave come last.
uint32_t dutyRank(const Fleet &State, std::string_view Duty,
                  std::string_view DataCentre);

/// Whether this VM is one of those that follow the store.
bool isFollower(const Fleet &State, const FleetPolicy &Policy);

/// How long this VM waits, once nobody is heard to follow the store, before it
/// does so itself.
Duration followTakeoverDelay(const Fleet &State, const FleetPolicy &Policy);

/// Whether the store has answered another VM that follows it just now.
bool hasFreshFollower(const Fleet &State, const FleetPolicy &Policy,
                      TimePoint Now);

/// The place of this VM among those that follow the store and are answered.
struct FollowerSlot {
  uint32_t m_Index = 0;
  uint32_t m_Count = 1;
};
FollowerSlot followerSlot(const Fleet &State, const FleetPolicy &Policy,
                          TimePoint Now);

/// What a VM asks another one for.
enum class SyncKind {
  /// What it has missed lately: those that follow the store have it first.
  Changes,
  /// Everything: any VM that is ready has it, and a fleet that starts must not
  /// take it all from the followers.
  Whole,
};

/// A ready VM that can tell what the store holds: of the same data centre if
/// there is one; for changes, rather one that follows the store. Draw is from 0
/// to 1 and picks among equals. Null if there is none.
const Peer *selectSyncSource(const Fleet &State, SyncKind Need,
                             double RandomFraction);

/// The places of a service's servers on a ring, sorted. A server's place
/// follows from its id alone, so one that comes or goes moves no other.
struct ServiceRing {
  std::vector<uint32_t> m_All;
  std::map<std::string, std::vector<uint32_t>, std::less<>> m_InDataCentre;
  /// For each data centre that has any: the servers of the others.
  std::map<std::string, std::vector<uint32_t>, std::less<>> m_Remote;
};
using RingsByService = std::map<std::string, ServiceRing, std::less<>>;

/// Places the servers of each service. Those that can get nothing have no
/// place: a VM whose data centre is out then uses as many others instead.
RingsByService buildRings(const dispatch::ServerView &View);

/// Whether a VM sends to a server. All VMs compute it alike: each uses the ten
/// servers of its data centre and the three beyond it that follow its own place
/// on the ring, and only the VMs that use a server need to know what is in
/// flight there. VMs of neighbouring places share most of their servers, so
/// what is told of neighbouring servers goes to few VMs.
bool usesServer(std::string_view VmHost, std::string_view VmDataCentre,
                const dispatch::Server &Target, const ServiceRing &Ring,
                const FleetPolicy &Policy);

/// How many servers are listed, for sizing the groups in which they are
/// checked.
struct CheckGroups {
  /// By data centre and service.
  std::map<std::pair<std::string, std::string>, uint32_t> m_Listed;
  /// By data centre: servers of services of which a VM uses all there are.
  std::map<std::string, uint32_t> m_FullyUsed;
};
CheckGroups groupServers(const dispatch::ServerView &View,
                         const FleetPolicy &Policy);

/// The duty to check a server, together with some others: its neighbours on the
/// ring, which the same VMs use; or, where all VMs of a data centre use a
/// service's servers, any others like it.
std::string checkDuty(const dispatch::Server &Target, const CheckGroups &Groups,
                      const FleetPolicy &Policy);

/// Whether a VM checks servers that are its duty, SinceStart after its start.
/// At first all duties seem to be its own, so it checks only what it uses
/// itself.
bool mayCheck(bool UsesServer, Duration SinceStart, const FleetPolicy &Policy);

/// The hosts of the first Count other VMs in the order of dutyRank.
std::vector<std::string> dutyStandbys(const Fleet &State, std::string_view Duty,
                                      std::string_view DataCentre,
                                      size_t Count);

/// The hosts to name to a caller of a data centre: the ready VMs there, or all
/// ready ones if fewer than MinLocal are left. At most Limit.
std::vector<std::string> hostsForCaller(const Fleet &State,
                                        std::string_view DataCentre,
                                        size_t MinLocal, size_t Limit);

} // namespace hyssopcross::fleet

#endif
