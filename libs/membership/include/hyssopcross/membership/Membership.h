#ifndef HYSSOPCROSS_MEMBERSHIP_MEMBERSHIP_H
#define HYSSOPCROSS_MEMBERSHIP_MEMBERSHIP_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/membership/Messages.h"
#include <map>
#include <set>
#include <variant>

namespace hyssopcross::membership {

/// Settings of the decisions, the same on every VM.
///
/// Traffic: the VMs of a data centre stand on m_Neighbours rings, each in the
/// order of a rendezvous rank of its own, and a VM sends to its successor on
/// each. One VM of a data centre is its relay to another one. A VM also writes
/// to one VM at a time that the list names and that it has not heard. All of
/// these share m_BytesPerSecond, whatever the number of VMs; with more VMs,
/// what changes is the time until a change has reached all.
struct MembershipPolicy {
  Duration m_Interval = std::chrono::milliseconds(1000);
  /// Silence after which a neighbour is suspect. At least two intervals.
  Duration m_DetectionTime = std::chrono::milliseconds(3000);
  /// Time that a suspect VM has to refute before it counts as dead.
  Duration m_SuspicionTime = std::chrono::milliseconds(2000);
  /// Time without a beat after which a whole data centre counts as not heard.
  Duration m_DataCentreSilence = std::chrono::seconds(10);
  uint32_t m_Neighbours = 3;
  /// Other data centres that a relay writes to in one interval, in turn.
  uint32_t m_RelayTargetsPerInterval = 2;
  /// Bytes of heartbeats that a VM sends per second, to all receivers
  /// together, averaged over a few intervals.
  uint32_t m_BytesPerSecond = 1200;
  /// Times that a VM sends a change on.
  uint32_t m_ChangeSends = 8;
  uint32_t m_PollersPerDataCentre = 2;
  Duration m_PollInterval = std::chrono::seconds(5);
  Duration m_CataloguePollInterval = std::chrono::seconds(1);
  /// Time after which a dead VM is forgotten.
  Duration m_ForgetAfter = std::chrono::minutes(10);
  /// A step that comes this much later than the last one means that the
  /// process was frozen.
  Duration m_FreezeGap = std::chrono::milliseconds(2000);

  // Switches that only tests turn off.
  bool m_IgnoreOldIncarnations = true;
  bool m_DetectOwnFreeze = true;
  bool m_RefuteSuspicion = true;
  bool m_KeepLeaving = true;
  bool m_ForwardChanges = true;
  bool m_ForgetDead = true;
  bool m_LimitBytes = true;
};

/// What is known of another VM.
struct Member {
  VmInfo m_Info;
  uint64_t m_Counter = 0;
  VmStatus m_Status = VmStatus::Alive;
  /// When its counter, status or incarnation last changed here.
  TimePoint m_ChangedAt;
  /// When it was last heard directly. A VM that has just become ours to watch
  /// is credited with some time, since it may not know that yet.
  TimePoint m_HeardAt;
  /// Its view hash differed from ours in its last heartbeat.
  bool m_ViewDiffers = true;
  /// Times that the last change is still to be sent on.
  uint32_t m_SendsLeft = 0;
};

/// What is known of a data centre as a whole.
struct DataCentreState {
  uint64_t m_Beat = 0;
  TimePoint m_HeardAt;
};

/// A VM that the platform's list names.
struct ListedVm {
  store::VmRecord m_Record;
  /// The incarnation that was known when the list first called it leaving.
  uint64_t m_LeavingIncarnation = 0;
};

/// Everything that the decisions depend on. Owned by the host, changed only by
/// step(). Its size is bounded by the number of VMs seen within m_ForgetAfter.
struct MembershipState {
  MembershipState(VmInfo Self, MembershipPolicy Policy, TimePoint Now);

  VmInfo m_Self;
  MembershipPolicy m_Policy;
  uint64_t m_Counter = 0;
  bool m_Leaving = false;
  TimePoint m_LastStep;
  TimePoint m_NextBeat;
  TimePoint m_NextExpiry;
  TimePoint m_NextListPoll;
  /// The poller to ask next, if the last one did not answer.
  uint64_t m_ListTurn = 0;
  TimePoint m_NextCataloguePoll;
  /// False from a freeze until a neighbour is heard again.
  bool m_Fresh = true;
  TimePoint m_FrozenUntil;
  /// Bytes that may still be sent; negative after a large message.
  int64_t m_ByteCredit = 0;
  std::map<std::string, Member> m_Members;
  std::map<std::string, DataCentreState> m_DataCentres;
  std::map<std::string, ListedVm> m_Listed;
  /// The list's records of the own data centre, and the hash over them.
  std::vector<store::VmRecord> m_List;
  uint64_t m_ListHash = 0;
  /// Members that send their heartbeats to this VM.
  std::set<std::string> m_Watched;
  /// The receivers of this VM's heartbeats in its data centre.
  std::vector<std::string> m_Neighbours;
  /// Former receivers that may still expect heartbeats, and until when they
  /// get them.
  std::map<std::string, TimePoint> m_FormerNeighbours;
  /// Other data centres for which this VM is the relay.
  std::vector<std::string> m_Relayed;
  /// Data centres that are not heard.
  std::set<std::string> m_Silent;
  /// This VM polls the platform for its data centre.
  bool m_IsPoller = false;
  bool m_TopologyStale = true;
  uint64_t m_ViewHash = 0;
  /// Where the rotating part of digests and of contacts goes on.
  std::string m_RotationCursor;
  std::string m_ContactCursor;
  std::string m_BeatCursor;
  uint64_t m_RelayTurn = 0;
};

// Events, from the host.

/// A heartbeat has arrived.
struct HeartbeatArrived {
  Heartbeat m_Message;
};

/// The answer to PollVmList; no value if the platform was not reached.
struct VmListFetched {
  std::optional<std::vector<store::VmRecord>> m_Records;
};

/// A VM of the data centre asks for the list.
struct VmListRequested {
  VmListRequest m_Message;
};

/// A poller has answered.
struct VmListAnswered {
  VmListAnswer m_Message;
};

/// This VM begins to stop: it becomes Leaving and says so at once.
struct StopRequested {};

/// The time named by the last WakeAt action has come. A host may send it more
/// often.
struct Woke {};

using Event = std::variant<HeartbeatArrived, VmListFetched, VmListRequested,
                           VmListAnswered, StopRequested, Woke>;

// Actions, to the host. Messages are sent once and may be lost.

struct SendHeartbeat {
  std::string m_To;
  std::string m_PeerAddress;
  Heartbeat m_Message;
};

/// Fetch the platform's list and answer with VmListFetched.
struct PollVmList {};

/// Read the catalogue's head row; its slice takes the answer.
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

/// view() gives another result than before.
struct ViewChanged {};

/// Another run of this name has a higher incarnation, for instance because the
/// calendar clock was set back; this VM goes on with the given one.
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

/// Applies one event and appends the actions that follow from it. The first
/// event of a state is Woke. Deterministic; not thread-safe for one state.
void step(MembershipState &State, const Event &Event, TimePoint Now,
          std::vector<Action> &Actions);

/// An entry VM as the rest of the program sees it.
struct MemberView {
  VmInfo m_Info;
  VmStatus m_Status = VmStatus::Alive;
  /// Time since something was last learned of it.
  Duration m_Age{};
};

/// Who is there, at one instant.
struct View {
  std::string m_Self;
  /// False while this VM cannot know whether the view is current, because it
  /// was frozen and has heard no neighbour since.
  bool m_Fresh = true;
  /// All VMs that are not forgotten, this one included, by name. Those of a
  /// data centre that is not heard are Suspect.
  std::vector<MemberView> m_Members;
};

/// The view at this instant.
View view(const MembershipState &State, TimePoint Now);

/// The status of a VM at this instant; Dead if it is not known.
VmStatus statusOf(const MembershipState &State, std::string_view Name,
                  TimePoint Now);

/// Whether this VM is one of those that poll the platform for its data centre.
bool isPoller(const MembershipState &State);

} // namespace hyssopcross::membership

#endif
