#include "Calls.h"
#include "Admission.h"
#include "Queue.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::balancing {

namespace {

void cancelRunning(Context &Step, const CallState &Call) {
  if (!Step.switches().m_CancelLoser)
    return;
  for (AttemptId Attempt : Call.m_Running) {
    Step.m_State.m_Attempts.at(Attempt).m_Cancelled = true;
    Step.m_Actions.emplace_back(CancelAttempt{Attempt});
  }
}

/// Forgets a call, which happens once for each.
void closeCall(Context &Step, CallId Call) {
  auto Known = Step.m_State.m_Calls.find(Call);
  HYSSOPCROSS_INVARIANT(Known != Step.m_State.m_Calls.end(),
                        "a call ends once");
  dequeue(Step, Call);
  cancelRunning(Step, Known->second);
  Step.m_State.m_Calls.erase(Known);
}

} // namespace

void openCall(Context &Step, const CallArrived &Arrival) {
  auto [Known, Added] = Step.m_State.m_Calls.try_emplace(Arrival.m_Call);
  HYSSOPCROSS_INVARIANT(Added, "a call arrives once");
  Known->second.m_Arrival = Arrival;
  ++Step.m_State.m_Counters.m_Arrived;
}

void finishCall(Context &Step, CallId Call, AttemptId Attempt) {
  closeCall(Step, Call);
  ++Step.m_State.m_Counters.m_Finished;
  Step.m_Actions.emplace_back(FinishCall{Call, Attempt});
}

void refuseCall(Context &Step, CallId Call, RefusalReason Reason) {
  std::optional<AttemptId> MayHaveRun =
      Step.m_State.m_Calls.at(Call).m_MayHaveRun;
  if (MayHaveRun) {
    finishCall(Step, Call, *MayHaveRun);
    return;
  }
  HYSSOPCROSS_INVARIANT(Step.m_State.m_Calls.at(Call).m_Running.empty(),
                        "a call is refused only if it cannot run any more");
  closeCall(Step, Call);
  ++Step.m_State.m_Counters.m_Refused;
  Step.m_Actions.emplace_back(
      RefuseCall{Call, Reason, retryAfter(Step, Reason)});
}

void handOverCall(Context &Step, CallId Call, const PoolId &Pool) {
  const CallState &Known = Step.m_State.m_Calls.at(Call);
  HYSSOPCROSS_INVARIANT(Known.m_Sent == 0 && !Known.m_Arrival.m_HandedOver,
                        "a call is handed over once and before any attempt");
  closeCall(Step, Call);
  ++Step.m_State.m_Counters.m_HandedOver;
  Step.m_Actions.emplace_back(HandOverCall{Call, Pool});
}

void abandonCall(Context &Step, CallId Call) {
  if (!Step.m_State.m_Calls.contains(Call))
    return;
  closeCall(Step, Call);
  ++Step.m_State.m_Counters.m_Abandoned;
}

} // namespace hyssopcross::balancing
