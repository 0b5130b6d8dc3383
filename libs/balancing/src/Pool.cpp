#include "hyssopcross/balancing/Pool.h"
#include "Admission.h"
#include "Attempts.h"
#include "Calls.h"
#include "Context.h"
#include "Dispatch.h"
#include "Hedging.h"
#include "Invariants.h"
#include "Probing.h"
#include "Servers.h"
#include "Spill.h"
#include "Warmup.h"

namespace hyssopcross::balancing {

namespace {

void apply(Context &Step, const CallArrived &Event) { admitCall(Step, Event); }

void apply(Context &Step, const CallAbandoned &Event) {
  abandonCall(Step, Event.m_Call);
}

void apply(Context &Step, const AttemptEnded &Event) {
  endAttempt(Step, Event);
}

void apply(Context &Step, const ProbeEnded &Event) { endProbe(Step, Event); }

void apply(Context &Step, const ConnectionsChanged &Event) {
  auto Server = Step.m_State.m_Servers.find(Event.m_Server);
  if (Server != Step.m_State.m_Servers.end())
    Server->second.m_OpenConnections = Event.m_Open;
}

void apply(Context &Step, const ServersListed &Event) {
  applyList(Step, Event.m_Servers);
}

void apply(Context &Step, const EntryChanged &Event) {
  PoolState &State = Step.m_State;
  bool Returned = Event.m_InService && !State.m_InService;
  State.m_Entry = Event.m_Entry;
  State.m_InService = Event.m_InService;
  State.m_NextProbe.reset();
  for (auto &[Id, Server] : State.m_Servers)
    clampLimit(Step, Server);
  if (Returned)
    makeAllCold(Step);
  refreshAllConnections(Step);
  if (!isServing(State))
    turnAwayQueue(Step);
}

void apply(Context &Step, const LeaseChanged &Event) {
  Step.m_State.m_Confirmed = Event.m_Confirmed;
  Step.m_State.m_NextProbe.reset();
  refreshAllConnections(Step);
}

void apply(Context &Step, const TookOver &Event) { applyDigest(Step, Event); }

void apply(Context &Step, const Released &) {
  Step.m_State.m_Released = true;
  refreshAllConnections(Step);
  turnAwayQueue(Step);
}

void apply(Context &Step, const PeersListed &Event) { applyPeers(Step, Event); }

void apply(Context &Step, const PeerQueueing &Event) {
  applyPeerQueueing(Step, Event);
}

void apply(Context &Step, const PullAsked &Event) { answerPull(Step, Event); }

void apply(Context &Step, const Woke &) { Step.m_State.m_WakeAt.reset(); }

} // namespace

void step(PoolState &State, const Event &Event, TimePoint Now,
          std::vector<Action> &Actions) {
  Context Step{State, Now, Actions};
  ++State.m_Steps;
  releaseAssumed(Step);
  std::visit([&Step](const auto &Known) { apply(Step, Known); }, Event);
  refuseExpired(Step);
  dispatchQueue(Step);
  trimQueue(Step);
  sendDueHedges(Step);
  announce(Step);
  offerSlots(Step);
  sendDueProbes(Step);
  scheduleWake(Step);
  checkState(Step);
}

} // namespace hyssopcross::balancing
