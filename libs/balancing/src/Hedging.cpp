#include "Hedging.h"
#include "Attempts.h"
#include "Budgets.h"
#include "Choice.h"
#include "Latency.h"
#include "Spill.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>

namespace hyssopcross::balancing {

namespace {

bool hedges(const Context &Step) {
  return Step.switches().m_Hedge && !Step.isBaseline() &&
         Step.m_State.m_Entry.m_Class == catalogue::ServiceClass::Lookup;
}

bool isWorthHedging(const Context &Step, const AttemptState &Attempt) {
  auto Call = Step.m_State.m_Calls.find(Attempt.m_Call);
  return isServing(Step.m_State) && Call != Step.m_State.m_Calls.end() &&
         !Attempt.m_Cancelled && Call->second.m_Running.size() == 1 &&
         Call->second.m_Arrival.m_Deadline > Step.m_Now;
}

/// Sends a second attempt; false if there is no slot or budget for it now.
bool sendHedge(Context &Step, const AttemptState &Attempt) {
  PoolState &State = Step.m_State;
  const PoolPolicy &Policy = State.m_Policy;
  if (State.m_Queue.size() > 0 || isConcurrencyReached(State))
    return false;
  ServerRef Server = chooseForHedge(Step, Attempt.m_Server);
  if (!Server.m_Server)
    return false;
  if (!spend(State.m_HedgeBudget, Policy.m_Switches.m_HedgeBudget))
    return false;
  HYSSOPCROSS_INVARIANT(
      isWithin(State.m_HedgeBudget, Policy.m_HedgeShare, Policy.m_HedgeBurst),
      "hedges keep to their budget");
  ++State.m_Counters.m_Hedges;
  sendAttempt(Step, Attempt.m_Call, Server, AttemptKind::Hedge);
  return true;
}

} // namespace

void earnHedge(Context &Step) {
  if (hedges(Step))
    earn(Step.m_State.m_HedgeBudget, Step.policy().m_HedgeShare,
         Step.policy().m_HedgeBurst);
}

void armHedge(Context &Step, AttemptId Id, AttemptState &Attempt) {
  if (!hedges(Step))
    return;
  const PoolPolicy &Policy = Step.policy();
  Duration Delay = latencyQuantile(
      Step.m_State.m_Latency, Policy.m_HedgeQuantile, Policy.m_HedgeMinSamples);
  if (Delay == Duration::zero())
    return;
  Attempt.m_HedgeAt = Step.m_Now + std::max(Delay, Policy.m_MinHedgeDelay);
  Step.m_State.m_Hedges.insert({*Attempt.m_HedgeAt, Id});
}

void disarmHedge(Context &Step, AttemptId Id, AttemptState &Attempt) {
  if (Attempt.m_HedgeAt)
    Step.m_State.m_Hedges.erase({*Attempt.m_HedgeAt, Id});
  Attempt.m_HedgeAt.reset();
}

void sendDueHedges(Context &Step) {
  std::set<Timer> &Hedges = Step.m_State.m_Hedges;
  while (!Hedges.empty() && Hedges.begin()->m_At <= Step.m_Now) {
    AttemptId Id = Hedges.begin()->m_Id;
    AttemptState &Attempt = Step.m_State.m_Attempts.at(Id);
    disarmHedge(Step, Id, Attempt);
    if (isWorthHedging(Step, Attempt) && !sendHedge(Step, Attempt))
      armHedge(Step, Id, Attempt);
  }
}

} // namespace hyssopcross::balancing
