#include "Dispatch.h"
#include "Admission.h"
#include "Attempts.h"
#include "Baselines.h"
#include "Calls.h"
#include "Choice.h"
#include "Hedging.h"
#include "Queue.h"
#include "Spill.h"
#include <algorithm>

namespace hyssopcross::balancing {

namespace {

/// When to look again at something that is due and could not be done.
constexpr Duration OverdueWake = std::chrono::milliseconds(1);

void refuseQueue(Context &Step, RefusalReason Reason) {
  for (CallId Call : oldestFirst(Step.m_State))
    refuseCall(Step, Call, Reason);
}

Choice choose(Context &Step) {
  return Step.isBaseline() ? chooseByBaseline(Step) : chooseServer(Step);
}

std::optional<TimePoint> nextDue(const PoolState &State, TimePoint Now) {
  std::optional<TimePoint> Next = nextSpillTime(State, Now);
  if (!State.m_Queue.m_Deadlines.empty())
    keepEarlier(Next, State.m_Queue.m_Deadlines.begin()->m_At);
  if (!State.m_Hedges.empty())
    keepEarlier(Next, State.m_Hedges.begin()->m_At);
  if (State.m_NextProbe != TimePoint::max())
    keepEarlier(Next, State.m_NextProbe);
  keepEarlier(Next, State.m_ServerReadyAt);
  keepEarlier(Next, State.m_AssumedUntil);
  return Next;
}

} // namespace

void admitCall(Context &Step, const CallArrived &Arrival) {
  openCall(Step, Arrival);
  earnHedge(Step);
  if (Arrival.m_HandedOver)
    useOffer(Step);
  if (!isServing(Step.m_State)) {
    turnAway(Step, Arrival.m_Call);
    return;
  }
  sendCallProbes(Step);
  enqueue(Step, Arrival.m_Call,
          Arrival.m_HandedOver ? QueueEnd::Front : QueueEnd::Back);
  refuseExpired(Step);
  dispatchQueue(Step);
  refuseIfLate(Step, Arrival.m_Call);
}

void dispatchQueue(Context &Step) {
  PoolState &State = Step.m_State;
  State.m_ServerReadyAt.reset();
  while (std::optional<CallId> Call = nextInTurn(State)) {
    if (!Step.isBaseline() && isConcurrencyReached(State))
      return;
    Choice Found = choose(Step);
    if (!Found.m_AnyUsable) {
      refuseQueue(Step, RefusalReason::NoServer);
      return;
    }
    if (!Found.m_Best.m_Server) {
      State.m_ServerReadyAt = Found.m_ReadyAt;
      return;
    }
    takeTurn(Step, *Call);
    sendAttempt(Step, *Call, Found.m_Best, AttemptKind::Queued);
  }
}

void scheduleWake(Context &Step) {
  PoolState &State = Step.m_State;
  std::optional<TimePoint> Next = nextDue(State, Step.m_Now);
  if (!Next)
    return;
  TimePoint Time = *Next > Step.m_Now ? *Next : Step.m_Now + OverdueWake;
  bool Pending = State.m_WakeAt && *State.m_WakeAt > Step.m_Now;
  if (Pending && *State.m_WakeAt <= Time)
    return;
  State.m_WakeAt = Time;
  Step.m_Actions.emplace_back(WakeAt{Time});
}

} // namespace hyssopcross::balancing
