#include "Retries.h"
#include "Budgets.h"
#include "Latency.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::balancing {

namespace {

/// Retries made for the call so far, here and at earlier hops. A nested call
/// may bring one attempt for each level above it, which is no retry.
uint32_t retriesSoFar(const CallState &Call) {
  const CallArrived &Arrival = Call.m_Arrival;
  uint32_t Levels = Arrival.m_Depth > 0 ? Arrival.m_Depth - 1 : 0;
  uint32_t Earlier =
      Arrival.m_PriorAttempts > Levels ? Arrival.m_PriorAttempts - Levels : 0;
  return Earlier + Call.m_Tries - 1;
}

bool isAllowed(const Context &Step, const CallState &Call,
               const AttemptEnded &Last) {
  bool NotRun =
      Last.m_End == AttemptEnd::Shed || Last.m_End == AttemptEnd::NotSent;
  if (NotRun)
    return Last.m_ServerFault;
  if (!Step.switches().m_RetryOnlyNotRun)
    return true;
  return Last.m_End == AttemptEnd::Broken && Call.m_Arrival.m_Depth <= 1 &&
         Step.m_State.m_Entry.m_Class == catalogue::ServiceClass::Lookup;
}

} // namespace

void earnRetry(Context &Step) {
  earn(Step.m_State.m_RetryBudget, Step.policy().m_RetryShare,
       Step.policy().m_RetryBurst);
}

bool takeRetry(Context &Step, const CallState &Call, const AttemptEnded &Last) {
  PoolState &State = Step.m_State;
  const PoolPolicy &Policy = State.m_Policy;
  if (!Policy.m_Switches.m_Retry || !State.m_InService || State.m_Released)
    return false;
  if (!isAllowed(Step, Call, Last))
    return false;
  uint32_t Most = Call.m_Arrival.m_Depth > 1 ? Policy.m_MaxNestedRetries
                                             : Policy.m_MaxRetries;
  if (retriesSoFar(Call) >= Most)
    return false;
  if (Step.m_Now + meanServiceTime(State) > Call.m_Arrival.m_Deadline)
    return false;
  if (!spend(State.m_RetryBudget, Policy.m_Switches.m_RetryBudget))
    return false;
  HYSSOPCROSS_INVARIANT(
      isWithin(State.m_RetryBudget, Policy.m_RetryShare, Policy.m_RetryBurst),
      "retries keep to their budget");
  ++State.m_Counters.m_Retries;
  return true;
}

} // namespace hyssopcross::balancing
