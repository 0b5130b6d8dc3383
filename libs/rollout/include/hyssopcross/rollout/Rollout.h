#ifndef HYSSOPCROSS_ROLLOUT_ROLLOUT_H
#define HYSSOPCROSS_ROLLOUT_ROLLOUT_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/rollout/Evidence.h"
#include <map>
#include <string>
#include <string_view>

namespace hyssopcross::rollout {

/// State of a roll-out as published in the store.
enum class State { Running, Completed, RolledBack };

const char *stateName(State Of);

struct RolloutPolicy {
  /// Share of the requests of a service that a version may get while it is not
  /// known to be good, and requests that do not count against this share.
  double m_ExposeShare = 0.1;
  double m_ExposeSlack = 50;
  /// Time within which a bad version must be taken out. The VM that finds it
  /// bad repeats its message to the others for this long.
  Duration m_RollbackTime = std::chrono::seconds(5);
  /// Parts of the share and of the slack that are used. The rest covers
  /// requests that other VMs have sent but not reported yet, and the last
  /// steps.
  double m_ShareUsed = 0.75;
  double m_SlackUsed = 0.6;
  /// Share with which a roll-out begins, until the rate of requests is known.
  double m_FirstShare = 0.03;
  /// Largest share before the verdict: the old version must get enough requests
  /// to be compared with.
  double m_MaxTrialShare = 0.5;
  Duration m_RateTime = std::chrono::seconds(2);
  /// Part of the time to the deadline that passes before a version is found to
  /// be good, so that a fault that begins later is still seen.
  double m_EarliestVerdict = 0.65;
  /// Shortest time and fewest answers of the new version in each step after the
  /// verdict.
  Duration m_StepTime = std::chrono::seconds(1);
  uint64_t m_StepAnswers = 8;
  /// Part of the time to the deadline, and bounds of that time, reserved for
  /// the last step and for writing the outcome.
  double m_ReservedPart = 0.12;
  Duration m_MinReserved = std::chrono::seconds(2);
  Duration m_MaxReserved = std::chrono::seconds(8);
  /// How long the counts of a silent VM hold up the end of a roll-out.
  Duration m_SilentTime = std::chrono::seconds(10);
  TestPolicy m_Tests;
};

/// An order of the operators.
struct Order {
  std::string m_Service;
  /// Version that all requests of the service move to.
  std::string m_To;
  Duration m_Time{};
};

/// What one VM has counted since it learned of the order. Totals, so that a
/// lost report is made up for by the next one.
struct VmCounts {
  int64_t m_Incarnation = 0;
  /// Requests for the service, and attempts sent to the ordered version.
  uint64_t m_Received = 0;
  uint64_t m_Sent = 0;
  /// Attempts in flight at servers of other versions.
  uint32_t m_OldInFlight = 0;
  /// Last step that the VM applies.
  uint32_t m_Step = 0;
  std::map<uint32_t, Sides> m_Routes;
  TimePoint m_HeardAt{};
};

/// Steps of a roll-out. The share of the trial step depends on the rate of
/// requests; the last step leaves no requests to other versions.
inline constexpr uint32_t WaitStep = 0;
inline constexpr uint32_t TrialStep = 1;
inline constexpr uint32_t LastStep = 4;

/// The roll-out of one service as one VM sees it.
struct Rollout {
  Order m_Order;
  TimePoint m_OrderedAt{};
  State m_State = State::Running;
  uint32_t m_Step = WaitStep;
  TimePoint m_StepAt{};
  uint64_t m_AnswersAtStep = 0;
  double m_Share = 0;
  /// Why the roll-out has its present step or outcome; a stable name.
  const char *m_Why = "";
  /// Counts by VM, with the own ones. Of VMs that restarted, in m_Ended.
  std::map<uint32_t, VmCounts> m_Vms;
  VmCounts m_Ended;
  std::map<uint32_t, RouteTests> m_Routes;
  RouteTests m_Whole;

  TimePoint deadline() const { return m_OrderedAt + m_Order.m_Time; }
};

/// Replaces the counts of a VM. Older counts of the same incarnation are
/// ignored.
void recordCounts(Rollout &Of, uint32_t Vm, const VmCounts &News);

/// The counts of all VMs together.
VmCounts totalOf(const Rollout &Of);

/// Inputs of a decision apart from the counts.
struct FleetView {
  /// Servers of the ordered version are registered.
  bool m_HasServers = false;
  /// This VM decides on steps: it is first in rank and hears more than half of
  /// the VMs.
  bool m_Decides = false;
  /// The VMs that must have reported that they send nothing to other versions.
  size_t m_Vms = 1;
};

/// Applies the counts to the tests and takes the next step or finds the outcome
/// RolledBack. Any VM may find that a version is bad; only the one that decides
/// takes steps. Returns whether the step, the share or the outcome has changed.
bool evaluate(Rollout &Of, const FleetView &Fleet, const RolloutPolicy &Policy,
              TimePoint Now);

/// Applies a step that the VM which decides has announced. Returns whether it
/// changed anything.
bool applyStep(Rollout &Of, uint32_t Step, double Share, TimePoint Now);

/// Ends a roll-out. RolledBack is final; Completed is ignored after it unless
/// the store holds it. Returns whether it changed anything.
bool applyOutcome(Rollout &Of, State Outcome, const char *Why);

/// Whether the roll-out may be completed: no VM has requests in flight at
/// servers of other versions or will send any, since all apply the last step,
/// and the answers of that step confirm the verdict.
bool isDrained(const Rollout &Of, const FleetView &Fleet,
               const RolloutPolicy &Policy, TimePoint Now);

/// Share of its own requests that a VM sends to the ordered version. It is less
/// than that of the step while the VM alone has a burst of requests, so that
/// all VMs together stay within the slack between two reports.
double localShare(const Rollout &Of, double OwnPerSecond, size_t Vms,
                  const RolloutPolicy &Policy);

/// Position of a VM in the sequence of its requests; every request adds the
/// share, and each whole one is sent to the ordered version.
struct ShareState {
  double m_Accumulated = 0;
};

bool takeShare(ShareState &State, double Share);

/// Servers of the ordered version that get requests before the verdict: as many
/// as carry the usual load of a server with this share, so that faults which
/// need load appear.
size_t trialServers(double Share, size_t OldServers, size_t NewServers);

} // namespace hyssopcross::rollout

#endif
