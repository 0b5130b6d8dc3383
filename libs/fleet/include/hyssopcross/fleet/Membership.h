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
  /// Interval between heartbeats to each VM.
  Duration m_Heartbeat = std::chrono::milliseconds(500);
  /// A VM that has not been heard for this long receives no callers and holds
  /// no duties. The value allows for four lost heartbeats in a row and stays
  /// well under the six seconds for which callers may be sent to a failed VM.
  Duration m_FailureTimeout = std::chrono::milliseconds(2200);
  /// How long heartbeats to a silent VM continue, so that both sides of a
  /// partition reconnect after it heals.
  Duration m_ForgetAfter = std::chrono::seconds(120);
  /// Number of servers of a data centre per VM that checks them.
  uint32_t m_ServersPerChecker = 14;
  /// Number of VMs in a large fleet that receive every check result in addition
  /// to the VMs that use the server. They take over when the checker stops
  /// reporting; two may fail at once.
  uint32_t m_CheckStandbys = 3;
  /// Number of VMs that follow the store, each in a different data centre if
  /// there are enough of them. With three, two may fail at once.
  uint32_t m_Followers = 3;
  /// If no VM is known to follow the store, the VMs of each data centre start
  /// to follow it one after another, ordered by rank. The first few start at
  /// short intervals, so that a VM which can reach the store is found soon. The
  /// rest start at long intervals, because the store is then likely to be down
  /// for all VMs.
  Duration m_TakeoverStep = std::chrono::milliseconds(80);
  uint32_t m_FastTakeoverCount = 4;
  Duration m_TakeoverSlowStep = std::chrono::seconds(1);
  /// Age at which the last response of the store to any follower becomes stale.
  /// Followers take turns to confirm it every 0.5 s. Two confirmations may be
  /// missed, and the rest of the two-second limit is enough to read a change.
  Duration m_ConfirmationAge = std::chrono::milliseconds(1300);
  /// Number of servers of each service that a VM sends to, in its own data
  /// centre and in others. Among ten servers of which a third are slow, there
  /// is nearly always a fast, idle one; a larger subset would only add
  /// messages.
  uint32_t m_LocalServers = 10;
  uint32_t m_RemoteServers = 3;
  /// Number of VMs in other data centres that receive each batch of reports. If
  /// there are more VMs, each receives only every second, third, ... batch.
  uint32_t m_RemoteReceivers = 14;
  /// Number of VMs from which a fleet is large: heartbeats are sent half as
  /// often and only within the data centre, and other data centres receive
  /// digests.
  uint32_t m_LargeFleetThreshold = 30;
  /// In a large fleet, a VM of another data centre that has not been heard for
  /// this long holds no duties. The value allows for one lost digest plus the
  /// usual age of the heartbeat and of the digest, and stays within the seven
  /// seconds for which callers may be sent to a failed VM.
  Duration m_RemoteFailureTimeout = std::chrono::milliseconds(4500);
  /// Number of VMs in each data centre of a large fleet that send its digest to
  /// the other data centres. With three, two may fail at once.
  uint32_t m_Relays = 3;
  /// Number of VMs in each other data centre that a relay sends each digest to.
  uint32_t m_DigestReceivers = 2;
  /// Number of VMs in each other data centre of a large fleet that receive what
  /// goes to all VMs and pass it on. With two, one of them may be gone or
  /// frozen.
  uint32_t m_PassOnReceivers = 2;
  /// A VM that has not run for this long was frozen. The value exceeds the
  /// pauses of a process whose CPU allowance is used up, and is short compared
  /// with the age at which a confirmation of the store becomes stale.
  Duration m_FreezeGap = std::chrono::milliseconds(400);
  /// Time after a freeze in which a VM passes nothing on: what waited at its
  /// socket may be as old as the freeze.
  Duration m_FreezePause = std::chrono::milliseconds(200);
  /// Number of contacts in each further data centre that a new VM receives.
  uint32_t m_Contacts = 2;
  /// Interval between digests of a relay. During the bootstrap period, a digest
  /// is sent with each heartbeat.
  Duration m_DigestInterval = std::chrono::seconds(2);
  /// A digest is forwarded within a data centre if none of the same origin was
  /// received for this long. Each interval brings digests from about two of the
  /// relays of one origin.
  Duration m_DigestForwardInterval = std::chrono::milliseconds(900);
  /// If no relay of a data centre has been heard for this long, a VM greets a
  /// VM there itself. The value is one and a half digest intervals, well before
  /// all VMs there would count as failed.
  Duration m_DigestTimeout = std::chrono::seconds(3);
  /// Number of other VMs listed in a heartbeat, so that every VM learns of all
  /// the others: many during the bootstrap period, few afterwards.
  uint32_t m_BootstrapGossipHosts = 24;
  uint32_t m_GossipHosts = 2;
  /// Time after its start in which a VM treats the fleet as new. With 24 hosts
  /// in each greeting and heartbeat, a fleet of 130 VMs is fully known after a
  /// second.
  Duration m_BootstrapPeriod = std::chrono::seconds(4);
  /// Time after its start in which a VM underestimates the size of the fleet,
  /// because it has heard from few others. In a fleet of 100 VMs, most are
  /// heard in the first second.
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
  /// CPU allowance of the process, in thousandths of a core.
  uint32_t m_MilliCores = 1;
};

/// State of another VM as known to this one.
struct Peer {
  VmInfo m_Info;
  TimePoint m_HeardAt{};
  int64_t m_Sequence = 0;
  /// Sequence number of its newest datagram for all VMs that this VM received
  /// from it or passed on by another VM. It is kept apart from m_Sequence: a
  /// datagram that is passed on arrives later than one that was sent after it
  /// directly, and neither may cause the other one to be rejected.
  int64_t m_PassedOnSequence = 0;
  /// Which of that number and the 63 before it have been received; the lowest
  /// bit stands for the newest.
  uint64_t m_PassedOnSeen = 0;
  /// False while only the address is known: another VM listed it, but it has
  /// not been heard yet.
  bool m_Heard = false;
  bool m_Alive = false;
  /// Whether it follows the store itself and the store responds to it, as of
  /// m_HeardAt.
  bool m_StoreAnswers = false;
  /// When the store last responded to it, as far as it has reported.
  TimePoint m_StoreConfirmedAt{};
};

/// Membership state of the fleet as seen by one VM. Modify only through the
/// functions below.
struct Fleet {
  VmInfo m_Self;
  VmKey m_SelfKey = 0;
  /// Peers by host.
  std::map<std::string, Peer, std::less<>> m_Peers;
  /// When a digest of another data centre was last received, by the name of the
  /// data centre.
  std::map<std::string, TimePoint, std::less<>> m_DigestHeardAt;
  /// Incremented whenever the set of VMs that are alive or leaving changes.
  uint64_t m_Version = 1;
};

VmKey vmKey(std::string_view Host);

/// Adds a VM of which only the address is known. Returns false if it was
/// already known.
bool addPeerAddress(Fleet &State, std::string_view Host, TimePoint Now);

/// Effect of a heartbeat on the state of its sender.
enum class PeerChange { Nothing, Joined, Restarted, Changed };

/// Applies the description that a VM sent of itself. An older incarnation is
/// ignored.
PeerChange updatePeer(Fleet &State, const VmInfo &Info, TimePoint Now);

/// Records the sequence number of a datagram. Returns false for a late or
/// duplicate datagram or an unknown sender.
bool acceptSequence(Fleet &State, std::string_view Host, int64_t Incarnation,
                    int64_t Sequence, TimePoint Now);

/// What a datagram for all VMs is to a VM that receives it from its origin or
/// passed on by another VM.
enum class BroadcastAge {
  /// Newer than all others of its origin.
  Newest,
  /// First copy, but overtaken by a later datagram: the two went through
  /// different VMs. What does not depend on the order still applies.
  Overtaken,
  /// Another copy, much too late, or of an unknown origin.
  Rejected,
};

/// When a VM last ran and when it last ran again after a freeze.
struct RunTimes {
  TimePoint m_RanAt{};
  TimePoint m_ThawedAt{};
};

/// Records that this VM runs. Must be called several times within the gap that
/// counts as a freeze, and before datagrams are read.
void noteRunning(RunTimes &State, const FleetPolicy &Policy, TimePoint Now);

/// Records the sequence number of a datagram for all VMs by its origin. Does
/// not count as having heard the origin.
BroadcastAge acceptBroadcast(Fleet &State, std::string_view Origin,
                             int64_t Incarnation, int64_t Sequence);

/// Whether the fleet is large: heartbeats are sent half as often, and other
/// data centres receive digests instead.
bool isLarge(const Fleet &State, const FleetPolicy &Policy);

/// Marks VMs that have exceeded their failure timeout as not alive and returns
/// their hosts.
std::vector<std::string> expirePeers(Fleet &State, const FleetPolicy &Policy,
                                     TimePoint Now);

/// Number of VMs by which fleet-wide quotas are divided: this VM and all that
/// are alive or were listed but not heard yet.
uint32_t quotaDivisor(const Fleet &State);

/// Rank of this VM among the candidates for a duty, by rendezvous hashing; the
/// VM of rank 0 holds the duty. VMs of the given data centre rank first,
/// leaving VMs last.
uint32_t dutyRank(const Fleet &State, std::string_view Duty,
                  std::string_view DataCentre);

/// Whether this VM is selected to follow the store.
bool isFollower(const Fleet &State, const FleetPolicy &Policy);

/// How long this VM waits before it follows the store itself, once no other VM
/// is known to follow it.
Duration followTakeoverDelay(const Fleet &State, const FleetPolicy &Policy);

/// Whether the store has recently responded to another VM that follows it.
bool hasFreshFollower(const Fleet &State, const FleetPolicy &Policy,
                      TimePoint Now);

/// Position of this VM among the followers with a recent response of the store.
struct FollowerSlot {
  uint32_t m_Index = 0;
  uint32_t m_Count = 1;
};
FollowerSlot followerSlot(const Fleet &State, const FleetPolicy &Policy,
                          TimePoint Now);

/// What a VM requests from another one.
enum class SyncKind {
  /// Recent changes, which followers of the store have first.
  Changes,
  /// Full tables. Any ready VM has them, and VMs of a starting fleet must not
  /// all load them from the followers.
  Whole,
};

/// Selects a ready VM to synchronize tables from: one of the same data centre
/// if possible and, for changes, preferably a follower of the store.
/// RandomFraction is between 0 and 1 and selects among equal candidates.
/// Returns null if there is none.
const Peer *selectSyncSource(const Fleet &State, SyncKind Kind,
                             double RandomFraction);

/// Sorted positions of a service's servers on a hash ring. A position depends
/// only on the server's id, so adding or removing a server moves no other.
struct ServiceRing {
  std::vector<uint32_t> m_All;
  std::map<std::string, std::vector<uint32_t>, std::less<>> m_InDataCentre;
  /// For each data centre that has servers: the positions of the servers of all
  /// others.
  std::map<std::string, std::vector<uint32_t>, std::less<>> m_Remote;
};
using RingsByService = std::map<std::string, ServiceRing, std::less<>>;

/// Builds the hash ring of each service. Servers that are out of service have
/// no position, so a VM whose data centre is out uses as many servers of other
/// data centres instead.
RingsByService buildRings(const dispatch::ServerView &View);

/// Whether a VM sends requests to a server. All VMs compute the same result:
/// each VM uses the ten servers of its own data centre and the three others
/// that follow its own position on the ring. Only the VMs that use a server
/// need its number of requests in flight. VMs with adjacent positions share
/// most of their servers, so reports about adjacent servers go to few VMs.
bool usesServer(std::string_view VmHost, std::string_view VmDataCentre,
                const dispatch::Server &Target, const ServiceRing &Ring,
                const FleetPolicy &Policy);

/// Number of listed servers, from which the number of health check groups is
/// computed.
struct CheckGroups {
  /// Servers by data centre and service.
  std::map<std::pair<std::string, std::string>, uint32_t> m_Listed;
  /// By data centre: servers of services that are small enough for a VM to use
  /// all of their servers.
  std::map<std::string, uint32_t> m_FullyUsed;
};
CheckGroups groupServers(const dispatch::ServerView &View,
                         const FleetPolicy &Policy);

/// Name of the duty to check a server, shared by a group of servers. A group
/// holds neighbours on the ring, which the same VMs use. If all VMs of a data
/// centre use all servers of a service, the group may hold servers of any such
/// services.
std::string checkDuty(const dispatch::Server &Target, const CheckGroups &Groups,
                      const FleetPolicy &Policy);

/// Whether a VM performs the checks that are its duty, SinceStart after its
/// start. A VM that has just started seems to hold every duty, so it checks
/// only the servers that it uses.
bool mayCheck(bool UsesServer, Duration SinceStart, const FleetPolicy &Policy);

/// Hosts of the first Count other VMs in the order of dutyRank.
std::vector<std::string> dutyStandbys(const Fleet &State, std::string_view Duty,
                                      std::string_view DataCentre,
                                      size_t Count);

/// Hosts to return to a caller of a data centre: the ready VMs there, or all
/// ready VMs if fewer than MinLocal are left. At most Limit.
std::vector<std::string> hostsForCaller(const Fleet &State,
                                        std::string_view DataCentre,
                                        size_t MinLocal, size_t Limit);

} // namespace hyssopcross::fleet

#endif
