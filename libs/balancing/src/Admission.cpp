#include "Admission.h"
#include "Calls.h"
#include "Choice.h"
#include "Latency.h"
#include "Queue.h"
#include "Warmup.h"
#include <algorithm>

namespace hyssopcross::balancing {

namespace {

constexpr double NanosecondsPerSecond = 1e9;

double perSecond(Duration Interval) {
  return NanosecondsPerSecond /
         static_cast<double>(std::max(Interval, Duration(1)).count());
}

double serverCapacity(const PoolState &State, const ServerState &Server,
                      TimePoint Now, bool LessAssumed) {
  if (!mayServe(State, Server))
    return 0;
  uint32_t Slots = concurrencyLimit(State, Server);
  if (LessAssumed)
    Slots -= std::min(Slots, Server.m_AssumedInFlight);
  double Rate = Slots * perSecond(expectedServiceTime(State, Server, Now));
  Duration Spacing = sendSpacing(State, Server);
  return Spacing == Duration::zero() ? Rate
                                     : std::min(Rate, perSecond(Spacing));
}

Duration drainTime(double Calls, double Rate) {
  return scale(std::chrono::seconds(1), Calls / Rate);
}

} // namespace

double capacityPerSecond(const PoolState &State, TimePoint Now,
                         bool LessAssumed) {
  double Rate = 0;
  for (const auto &[Id, Server] : State.m_Servers)
    Rate += serverCapacity(State, Server, Now, LessAssumed);
  uint32_t Concurrency = State.m_Entry.m_Limits.m_Concurrency;
  if (Concurrency == 0)
    return Rate;
  return std::min(Rate, Concurrency * perSecond(meanServiceTime(State)));
}

Duration expectedWait(const PoolState &State, TimePoint Now, size_t Ahead) {
  auto Calls = static_cast<double>(Ahead + 1);
  double Rate = capacityPerSecond(State, Now, State.m_AssumedUntil.has_value());
  if (Rate > 0)
    return drainTime(Calls, Rate);
  Rate = capacityPerSecond(State, Now, false);
  if (Rate <= 0)
    return Duration::max();
  return (*State.m_AssumedUntil - Now) + drainTime(Calls, Rate);
}

Duration retryAfter(Context &Step, RefusalReason Reason) {
  const PoolPolicy &Policy = Step.policy();
  Duration Base = Policy.m_NoServerRetryAfter;
  bool Drains = Reason != RefusalReason::NoServer &&
                Reason != RefusalReason::OutOfService;
  if (Drains)
    Base = expectedWait(Step.m_State, Step.m_Now, Step.m_State.m_Queue.size());
  Base = std::clamp(Base, Policy.m_MinRetryAfter, Policy.m_MaxRetryAfter);
  double Jitter = Policy.m_RetryAfterJitter * drawUnit(Step.m_State);
  return scale(Base, 1.0 + Jitter);
}

void refuseIfLate(Context &Step, CallId Call) {
  PoolState &State = Step.m_State;
  auto Known = State.m_Calls.find(Call);
  if (Known == State.m_Calls.end() || !Known->second.m_Queued ||
      !Step.switches().m_RefuseEarly)
    return;
  Duration Left = Known->second.m_Arrival.m_Deadline - Step.m_Now;
  Duration Needed = meanServiceTime(State);
  Duration Wait = expectedWait(State, Step.m_Now, callsBefore(State, Call));
  if (Left < Needed || Wait > Left - Needed)
    refuseCall(Step, Call, RefusalReason::Overloaded);
}

void refuseExpired(Context &Step) {
  if (!Step.switches().m_HonourDeadline)
    return;
  const std::set<Timer> &Deadlines = Step.m_State.m_Queue.m_Deadlines;
  while (!Deadlines.empty() && Deadlines.begin()->m_At <= Step.m_Now)
    refuseCall(Step, Deadlines.begin()->m_Id, RefusalReason::DeadlinePassed);
}

void trimQueue(Context &Step) {
  if (!Step.switches().m_BoundQueue)
    return;
  const QueueState &Queue = Step.m_State.m_Queue;
  while (Queue.size() > Step.limits().m_Queue) {
    RefusalReason Reason = Queue.m_Shares.size() > 1
                               ? RefusalReason::OverLimit
                               : RefusalReason::Overloaded;
    refuseCall(Step, newestOfLongest(Step.m_State), Reason);
  }
}

} // namespace hyssopcross::balancing
