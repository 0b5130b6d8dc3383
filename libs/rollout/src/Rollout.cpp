#include "hyssopcross/rollout/Rollout.h"
#include <algorithm>
#include <array>
#include <cmath>

namespace hyssopcross::rollout {

namespace {

/// Shares of the steps after the verdict.
constexpr std::array<double, 3> StepShares = {0.25, 0.6, 1};
/// Steps end after this many times their shortest time, however few answers
/// they brought.
constexpr int MaxStepTimes = 3;
/// Part of the accepting evidence that must be left at each further step, when
/// many more answers have come in.
constexpr double ConfirmedPart = 0.5;
/// Part of the time to the deadline that a step takes if that is less than the
/// time of a step, and the least that it takes.
constexpr double StepPart = 0.03;
constexpr Duration MinStepTime = std::chrono::milliseconds(300);
/// Interval in which VMs report their counts, for the bound on a burst.
constexpr double ReportSeconds = 0.5;
/// Smallest change of the trial share that is announced, relative to it.
constexpr double ShareChange = 0.2;

double toSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

Duration reservedOf(const Rollout &Of, const RolloutPolicy &Policy) {
  return std::clamp(scale(Of.m_Order.m_Time, Policy.m_ReservedPart),
                    Policy.m_MinReserved, Policy.m_MaxReserved);
}

/// Shortest time of a step; that of a short order is shorter too, since all
/// steps must end before its deadline.
Duration stepTime(const Rollout &Of, const RolloutPolicy &Policy) {
  return std::clamp(scale(Of.m_Order.m_Time, StepPart), MinStepTime,
                    Policy.m_StepTime);
}

void addRoutes(std::map<uint32_t, Sides> &To,
               const std::map<uint32_t, Sides> &From) {
  for (const auto &[Route, Each] : From) {
    To[Route].m_New += Each.m_New;
    To[Route].m_Old += Each.m_Old;
  }
}

void add(VmCounts &To, const VmCounts &From) {
  To.m_Received += From.m_Received;
  To.m_Sent += From.m_Sent;
  addRoutes(To.m_Routes, From.m_Routes);
}

/// Requests that the new version may have got by now.
double allowedSends(const VmCounts &Total, const RolloutPolicy &Policy) {
  return Policy.m_ShareUsed * Policy.m_ExposeShare *
             static_cast<double>(Total.m_Received) +
         Policy.m_SlackUsed * Policy.m_ExposeSlack;
}

/// The share before the verdict, from the rate of requests so far.
double trialShare(const Rollout &Of, const VmCounts &Total,
                  const RolloutPolicy &Policy, TimePoint Now) {
  if (static_cast<double>(Total.m_Sent) >= allowedSends(Total, Policy))
    return 0;
  Duration Passed = Now - Of.m_OrderedAt;
  if (Passed < Policy.m_RateTime || Total.m_Received == 0)
    return Policy.m_FirstShare;
  double Expected = static_cast<double>(Total.m_Received) *
                    toSeconds(Of.m_Order.m_Time) / toSeconds(Passed);
  return std::min(Policy.m_MaxTrialShare,
                  Policy.m_ShareUsed * Policy.m_ExposeShare +
                      Policy.m_SlackUsed * Policy.m_ExposeSlack /
                          std::max(1.0, Expected));
}

/// Answers of the new version that the trial is expected to bring, of which a
/// route has its part.
double expectedNew(const Rollout &Of, const VmCounts &Total,
                   const RolloutPolicy &Policy, TimePoint Now) {
  double Passed = std::max(1.0, toSeconds(Now - Of.m_OrderedAt));
  double Time = toSeconds(Of.m_Order.m_Time - reservedOf(Of, Policy));
  double Share = std::max(Of.m_Share, Policy.m_FirstShare);
  return static_cast<double>(Total.m_Received) / Passed * Time *
         std::min(Share, Policy.m_MaxTrialShare);
}

void updateTests(Rollout &Of, const VmCounts &Total,
                 const RolloutPolicy &Policy, TimePoint Now) {
  Sides Whole;
  double All = 0;
  for (const auto &[Route, Each] : Total.m_Routes) {
    Whole.m_New += Each.m_New;
    Whole.m_Old += Each.m_Old;
    All += static_cast<double>(Each.m_New.m_Answers + Each.m_Old.m_Answers);
  }
  double Expected = expectedNew(Of, Total, Policy, Now);
  update(Of.m_Whole, {Whole, Expected, 0, Policy.m_Tests.m_TimeMemory},
         Policy.m_Tests);
  double Reference = oldTimeMean(Of.m_Whole);
  for (const auto &[Route, Each] : Total.m_Routes) {
    double Part =
        static_cast<double>(Each.m_New.m_Answers + Each.m_Old.m_Answers) /
        std::max(1.0, All);
    update(Of.m_Routes[Route],
           {Each, Expected * Part, Reference, Policy.m_Tests.m_RouteTimeMemory},
           Policy.m_Tests);
  }
}

bool isBad(const Rollout &Of, const RolloutPolicy &Policy) {
  // With more routes, one of them looks bad by chance more often.
  double Needed = Policy.m_Tests.m_Reject +
                  std::log(1.0 + static_cast<double>(Of.m_Routes.size()));
  if (evidenceAgainst(Of.m_Whole) >= Needed)
    return true;
  return std::any_of(
      Of.m_Routes.begin(), Of.m_Routes.end(),
      [&](const auto &Each) { return evidenceAgainst(Each.second) >= Needed; });
}

bool isGood(const Rollout &Of, double Needed) {
  if (evidenceFor(Of.m_Whole) < Needed)
    return false;
  return std::all_of(Of.m_Routes.begin(), Of.m_Routes.end(),
                     [&](const auto &Each) {
                       return !hasOwnVerdict(Each.second) ||
                              evidenceFor(Each.second) >= Needed;
                     });
}

bool takeStep(Rollout &Of, uint32_t Step, double Share, const char *Why,
              TimePoint Now) {
  Of.m_Step = Step;
  Of.m_Share = Share;
  Of.m_Why = Why;
  Of.m_StepAt = Now;
  Of.m_AnswersAtStep = Of.m_Whole.m_Seen.m_New.m_Answers;
  return true;
}

bool continueTrial(Rollout &Of, const VmCounts &Total,
                   const RolloutPolicy &Policy, TimePoint Now) {
  if (Now - Of.m_OrderedAt >=
          scale(Of.m_Order.m_Time, Policy.m_EarliestVerdict) &&
      isGood(Of, Policy.m_Tests.m_Accept))
    return takeStep(Of, TrialStep + 1, StepShares[0], "good", Now);
  double Share = trialShare(Of, Total, Policy, Now);
  if (Share == Of.m_Share ||
      (Share > 0 && Of.m_Share > 0 &&
       std::abs(Share - Of.m_Share) < ShareChange * Of.m_Share))
    return false;
  Of.m_Share = Share;
  Of.m_Why = Share > 0 ? "rate" : "exposure";
  return true;
}

} // namespace

const char *stateName(State Of) {
  switch (Of) {
  case State::Running:
    return "running";
  case State::Completed:
    return "completed";
  case State::RolledBack:
    return "rolled_back";
  }
  return "unknown";
}

void recordCounts(Rollout &Of, uint32_t Vm, const VmCounts &News) {
  VmCounts &Known = Of.m_Vms[Vm];
  if (News.m_Incarnation < Known.m_Incarnation)
    return;
  if (News.m_Incarnation > Known.m_Incarnation)
    add(Of.m_Ended, Known);
  else if (News.m_Received < Known.m_Received || News.m_Step < Known.m_Step)
    return;
  Known = News;
}

VmCounts totalOf(const Rollout &Of) {
  VmCounts Total = Of.m_Ended;
  for (const auto &[Vm, Each] : Of.m_Vms) {
    add(Total, Each);
    Total.m_OldInFlight += Each.m_OldInFlight;
  }
  return Total;
}

bool applyOutcome(Rollout &Of, State Outcome, const char *Why) {
  if (Of.m_State != State::Running || Outcome == State::Running)
    return false;
  Of.m_State = Outcome;
  Of.m_Share = Outcome == State::Completed ? 1 : 0;
  Of.m_Why = Why;
  return true;
}

bool applyStep(Rollout &Of, uint32_t Step, double Share, TimePoint Now) {
  if (Of.m_State != State::Running || Step < Of.m_Step || Step > LastStep ||
      (Step == Of.m_Step && Share == Of.m_Share))
    return false;
  if (Step == Of.m_Step) {
    Of.m_Share = Share;
    return true;
  }
  return takeStep(Of, Step, Share, "announced", Now);
}

bool evaluate(Rollout &Of, const FleetView &Fleet, const RolloutPolicy &Policy,
              TimePoint Now) {
  if (Of.m_State != State::Running)
    return false;
  VmCounts Total = totalOf(Of);
  updateTests(Of, Total, Policy, Now);
  if (isBad(Of, Policy))
    return applyOutcome(Of, State::RolledBack, "bad");
  if (!Fleet.m_Decides)
    return false;
  TimePoint LatestStart = Of.deadline() - reservedOf(Of, Policy);
  if (Now >= Of.deadline() - Policy.m_MinReserved / 2 ||
      (Of.m_Step <= TrialStep && Now >= LatestStart))
    return applyOutcome(Of, State::RolledBack,
                        Of.m_Step <= TrialStep ? "too_little_evidence"
                                               : "not_drained");
  if (Of.m_Step == WaitStep)
    return Fleet.m_HasServers &&
           takeStep(Of, TrialStep, trialShare(Of, Total, Policy, Now),
                    "ordered", Now);
  if (Of.m_Step == TrialStep)
    return continueTrial(Of, Total, Policy, Now);
  uint64_t Answers = Of.m_Whole.m_Seen.m_New.m_Answers - Of.m_AnswersAtStep;
  // A service with few requests brings few answers in any step.
  bool IsLong = Now - Of.m_StepAt >= MaxStepTimes * stepTime(Of, Policy);
  if (Now - Of.m_StepAt < stepTime(Of, Policy))
    return false;
  // In the last step every request is exposed, so there is no time to wait.
  if (Of.m_Step >= LastStep)
    return evidenceFor(Of.m_Whole) <= 0 &&
           applyOutcome(Of, State::RolledBack, "not_confirmed");
  if (!isGood(Of, ConfirmedPart * Policy.m_Tests.m_Accept))
    return (IsLong || Now >= LatestStart) &&
           applyOutcome(Of, State::RolledBack, "not_confirmed");
  if (!IsLong && Now < LatestStart && Answers < Policy.m_StepAnswers)
    return false;
  return takeStep(Of, Of.m_Step + 1, StepShares[Of.m_Step - TrialStep], "good",
                  Now);
}

bool isDrained(const Rollout &Of, const FleetView &Fleet,
               const RolloutPolicy &Policy, TimePoint Now) {
  if (Of.m_State != State::Running || Of.m_Step != LastStep ||
      Now - Of.m_StepAt < stepTime(Of, Policy) ||
      !isGood(Of, ConfirmedPart * Policy.m_Tests.m_Accept))
    return false;
  size_t Drained = 0;
  for (const auto &[Vm, Each] : Of.m_Vms) {
    if (Now - Each.m_HeardAt >= Policy.m_SilentTime)
      continue;
    if (Each.m_Step != LastStep || Each.m_OldInFlight > 0)
      return false;
    ++Drained;
  }
  return Drained >= Fleet.m_Vms;
}

double localShare(const Rollout &Of, double OwnPerSecond, size_t Vms,
                  const RolloutPolicy &Policy) {
  if (Of.m_State != State::Running || Of.m_Step != TrialStep)
    return Of.m_Share;
  double Spare = (1 - Policy.m_SlackUsed) * Policy.m_ExposeSlack / 2;
  double Steady = Policy.m_ShareUsed * Policy.m_ExposeShare;
  double Extra =
      Spare / (ReportSeconds * static_cast<double>(std::max<size_t>(1, Vms)) *
               std::max(1.0, OwnPerSecond));
  return std::min(Of.m_Share, Steady + Extra);
}

bool takeShare(ShareState &State, double Share) {
  State.m_Accumulated += Share;
  if (State.m_Accumulated < 1)
    return false;
  State.m_Accumulated -= 1;
  return true;
}

size_t trialServers(double Share, size_t OldServers, size_t NewServers) {
  auto Carrying = static_cast<size_t>(
      std::ceil(Share * static_cast<double>(std::max<size_t>(1, OldServers))));
  return std::clamp<size_t>(Carrying, 1, std::max<size_t>(1, NewServers));
}

} // namespace hyssopcross::rollout
