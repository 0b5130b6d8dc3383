#ifndef HYSSOPCROSS_MEMBERSHIP_MEMBERSHIP_H
#define HYSSOPCROSS_MEMBERSHIP_MEMBERSHIP_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/membership/Messages.h"
#include <map>
#include <set>
#include <variant>

namespace hyssopcross::membership {

/// Settings of the membership protocol. They must be the same on every VM.
///
/// Traffic: the VMs of a data centre form m_Neighbours rings, each ordered by a
/// separate rendezvous ranking, and a VM sends heartbeats to its successor on
/// each ring. For every other data centre, one VM acts as the relay to it. A VM
/// also sends to one VM at a time that the platform's list contains but that it
/// has not heard from. All of this traffic shares m_BytesPerSecond, regardless
/// of the number of VMs; with more VMs, a change takes longer to reach all.
struct MembershipPolicy {
  Duration m_Interval = std::chrono::milliseconds(1000);
  /// Time without a heartbeat after which a neighbour is suspect. At least two
  /// intervals.
  Duration m_DetectionTime = std::chrono::milliseconds(3000);
  /// Time that a suspect VM has to refute the suspicion before it is considered
  /// dead.
  Duration m_SuspicionTime = std::chrono::milliseconds(2000);
  /// Time without a new heartbeat count after which a whole data centre is
  /// considered unreachable.
  Duration m_DataCentreSilence = std::chrono::seconds(10);
  uint32_t m_Neighbours = 3;
  /// Other data centres that a relay sends to in one interval, in round-robin
  /// order.
  uint32_t m_RelayTargetsPerInterval = 2;
  /// Limit on the heartbeat bytes that a VM sends per second to all receivers
  /// together, averaged over a few intervals.
  uint32_t m_BytesPerSecond = 1200;
  /// Number of times that a VM forwards a change.
  uint32_t m_ForwardsPerChange = 8;
  uint32_t m_PollersPerDataCentre = 2;
  Duration m_PollInterval = std::chrono::seconds(5);
  Duration m_CataloguePollInterval = std::chrono::seconds(1);
  /// Time after which a dead VM is removed from the member table.
  Duration m_ForgetAfter = std::chrono::minutes(10);
  /// A gap of this length between two steps means that the process was frozen.
  Duration m_FreezeGap = std::chrono::milliseconds(2000);

  // Only tests disable these.
  bool m_IgnoreOldIncarnations = true;
  bool m_DetectOwnFreeze = true;
  bool m_RefuteSuspicion = true;
  bool m_KeepLeaving = true;
  bool m_ForwardChanges = true;
  bool m_ForgetDead = true;
  bool m_LimitBytes = true;
};

/// What this VM knows about another VM.
struct Member {
  VmInfo m_Info;
  uint64_t m_Counter = 0;
  VmStatus m_Status = VmStatus::Alive;
  /// When this VM last changed the counter, status or incarnation.
  TimePoint m_ChangedAt;
  /// When its last direct heartbeat arrived. Set to a time in the future for a
  /// VM that this one has just begun to watch, because that VM may not know yet
  /// that it must send heartbeats here.
  TimePoint m_HeardAt;
  /// The view hash in its last heartbeat differed from the local one.
  bool m_ViewDiffers = true;
  /// Number of times that the last change remains to be forwarded.
  uint32_t m_ForwardsLeft = 0;
};

/// What this VM knows about a data centre as a whole.
struct DataCentreState {
  uint64_t m_Beat = 0;
  TimePoint m_HeardAt;
};

/// An entry VM in the platform's list.
struct ListedVm {
  store::VmRecord m_Record;
  /// The incarnation that was known when the list first marked the VM as
  /// leaving.
  uint64_t m_LeavingIncarnation = 0;
};

/// The complete state of the membership protocol. Owned by the host and
/// modified only by step(). Its size is bounded by the number of VMs seen
/// within m_ForgetAfter.
struct MembershipState {
  MembershipState(VmInfo Self, MembershipPolicy Policy, TimePoint Now);

  VmInfo m_Self;
  MembershipPolicy m_Policy;
  uint64_t m_Counter = 0;
  bool m_Leaving = false;
  TimePoint m_LastStep;
  TimePoint m_NextHeartbeat;
  TimePoint m_NextExpiry;
  TimePoint m_NextListPoll;
  /// Selects the poller to ask next; advances until one answers.
  uint64_t m_PollerTurn = 0;
  TimePoint m_NextCataloguePoll;
  /// False from a freeze until a heartbeat arrives at least m_Interval later.
  bool m_Fresh = true;
  TimePoint m_FrozenUntil;
  /// Bytes that may be sent now; negative after a large message.
  int64_t m_ByteCredit = 0;
  std::map<std::string, Member> m_Members;
  std::map<std::string, DataCentreState> m_DataCentres;
  std::map<std::string, ListedVm> m_ListedVms;
  /// The list's records that are relevant to the local data centre, and their
  /// hash.
  std::vector<store::VmRecord> m_List;
  uint64_t m_ListHash = 0;
  /// Members that send their heartbeats to this VM.
  std::set<std::string> m_Watched;
  /// Receivers of this VM's heartbeats in its data centre.
  std::vector<std::string> m_Neighbours;
  /// Former receivers that may still expect heartbeats, with the time until
  /// which they are sent some.
  std::map<std::string, TimePoint> m_FormerNeighbours;
  /// Other data centres for which this VM is the relay.
  std::vector<std::string> m_RelayedDataCentres;
  /// Data centres that are unreachable.
  std::set<std::string> m_UnreachableDataCentres;
  /// This VM polls the platform on behalf of its data centre.
  bool m_IsPoller = false;
  bool m_TopologyStale = true;
  uint64_t m_ViewHash = 0;
  /// The last names sent or contacted, from which the next rotation over
  /// members, contacts and data centres continues.
  std::string m_RotationCursor;
  std::string m_ContactCursor;
  std::string m_BeatCursor;
  uint64_t m_RelayTurn = 0;
};

// Events, sent by the host.

struct HeartbeatArrived {
  Heartbeat m_Message;
};

/// The result of PollVmList; no value if the platform was not reachable.
struct VmListFetched {
  std::optional<std::vector<store::VmRecord>> m_Records;
};

/// Another VM of the data centre has requested the list.
struct VmListRequested {
  VmListRequest m_Message;
};

/// A poller has answered a SendVmListRequest.
struct VmListAnswered {
  VmListAnswer m_Message;
};

/// This VM is shutting down: it becomes Leaving and announces it at once.
struct StopRequested {};

/// The time given by the last WakeAt action has come. A host may send this
/// event more often.
struct Woke {};

using Event = std::variant<HeartbeatArrived, VmListFetched, VmListRequested,
                           VmListAnswered, StopRequested, Woke>;

// Actions, performed by the host. Messages are sent once and may be lost.

struct SendHeartbeat {
  std::string m_To;
  std::string m_PeerAddress;
  Heartbeat m_Message;
};

/// Fetch the platform's list and answer with VmListFetched.
struct PollVmList {};

/// Read the catalogue's head row; the catalogue slice handles the result.
struct PollCatalogueHead {};

struct SendVmListRequest {
  std::string m_To;
  std::string m_PeerAddress;
  VmListRequest m_Message;
};

struct SendVmListAnswer {
  std::string m_To;
  std::string m_PeerAddress;
  VmListAnswer m_Message;
};

/// The platform's records of this data centre have changed, backend servers
/// included.
struct VmListChanged {
  std::vector<store::VmRecord> m_Records;
};

/// The result of view() has changed.
struct ViewChanged {};

/// Another run of a VM with this name has a higher incarnation, for instance
/// because the calendar clock was set back; this VM continues with the given
/// incarnation.
struct IncarnationRaised {
  uint64_t m_Incarnation = 0;
};

/// Send Woke at this time. Replaces an earlier WakeAt.
struct WakeAt {
  TimePoint m_Time;
};

using Action = std::variant<SendHeartbeat, PollVmList, PollCatalogueHead,
                            SendVmListRequest, SendVmListAnswer, VmListChanged,
                            ViewChanged, IncarnationRaised, WakeAt>;

/// Applies one event and appends the resulting actions. The first event of a
/// state must be Woke. Deterministic; not thread-safe for one state.
void step(MembershipState &State, const Event &Event, TimePoint Now,
          std::vector<Action> &Actions);

/// An entry VM as reported to the rest of the program.
struct MemberView {
  VmInfo m_Info;
  VmStatus m_Status = VmStatus::Alive;
  /// Time since the last new information about the VM.
  Duration m_Age{};
};

/// A snapshot of the known entry VMs.
struct View {
  std::string m_Self;
  /// False while the view may be out of date because this VM was frozen and has
  /// not heard from another VM since.
  bool m_Fresh = true;
  /// All VMs in the member table and this one, sorted by name. Live VMs of an
  /// unreachable data centre are Suspect.
  std::vector<MemberView> m_Members;
};

View view(const MembershipState &State, TimePoint Now);

/// The current status of a VM; Dead if the VM is not known.
VmStatus statusOf(const MembershipState &State, std::string_view Name,
                  TimePoint Now);

/// Whether this VM polls the platform on behalf of its data centre.
bool isPoller(const MembershipState &State);

} // namespace hyssopcross::membership

#endif
