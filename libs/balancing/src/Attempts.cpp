#include "Attempts.h"
#include "Calls.h"
#include "Hedging.h"
#include "Invariants.h"
#include "Latency.h"
#include "Queue.h"
#include "Retries.h"
#include "Servers.h"
#include "Warmup.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::balancing {

namespace {

void countCompletion(Context &Step, ServerState &Server, Duration Latency) {
  recordLatency(Step, Server, Latency);
  bool Warm = Server.m_Stage == ServerStage::Warm;
  if (Warm && hasJumped(Step.policy(), Server)) {
    dropToAllowance(Step, Server);
    return;
  }
  if (Server.m_Stage == ServerStage::Suspect &&
      isSlow(Step.policy(), Server, Latency)) {
    restartStep(Step, Server);
    return;
  }
  recordGoodCompletion(Step, Server, Latency);
}

void countGivenUp(Context &Step, ServerState &Server, Duration Age) {
  recordLowerBound(Step, Server, Age);
  if (Server.m_Stage == ServerStage::Warm && hasJumped(Step.policy(), Server))
    dropToAllowance(Step, Server);
}

/// Whether the call's deadline has passed: then the attempt may have failed for
/// want of time, which is not the server's fault.
bool isOutOfTime(const Context &Step, const AttemptState &Attempt) {
  auto Call = Step.m_State.m_Calls.find(Attempt.m_Call);
  return Call != Step.m_State.m_Calls.end() &&
         Call->second.m_Arrival.m_Deadline <= Step.m_Now;
}

/// Lets the end of an attempt count for its server. What was sent before the
/// server's last change says nothing about it now.
void countForServer(Context &Step, ServerState &Server,
                    const AttemptState &Attempt, const AttemptEnded &Event) {
  bool SameProcess =
      Attempt.m_BootId.empty() || Attempt.m_BootId == Server.m_BootId;
  bool SinceChange = Attempt.m_Started >= Server.m_StepSince;
  if (!SameProcess || (!SinceChange && Server.m_Stage != ServerStage::Warm))
    return;
  Duration Age = Step.m_Now - Attempt.m_Started;
  if (Event.m_End != AttemptEnd::Completed && isOutOfTime(Step, Attempt)) {
    countGivenUp(Step, Server, Age);
    return;
  }
  switch (Event.m_End) {
  case AttemptEnd::Completed:
    countCompletion(Step, Server, Age);
    break;
  case AttemptEnd::Cancelled:
    countGivenUp(Step, Server, Age);
    break;
  case AttemptEnd::Shed:
  case AttemptEnd::NotSent:
  case AttemptEnd::Broken:
    if (SinceChange && Event.m_ServerFault)
      dropToAllowance(Step, Server);
    break;
  }
}

void settleServer(Context &Step, const AttemptState &Attempt,
                  const AttemptEnded &Event) {
  auto Server = Step.m_State.m_Servers.find(Attempt.m_Server);
  HYSSOPCROSS_INVARIANT(Server != Step.m_State.m_Servers.end(),
                        "a server with attempts is known");
  std::erase_if(Server->second.m_Running, [&Event](const ServerAttempt &Known) {
    return Known.m_Id == Event.m_Attempt;
  });
  if (Event.m_Report)
    applyReport(Step, Server->second, *Event.m_Report, ReportSource::Answer);
  countForServer(Step, Server->second, Attempt, Event);
  refreshConnections(Step, Server->first, Server->second);
}

void retryOrEnd(Context &Step, CallId Id, const AttemptEnded &Event) {
  CallState &Call = Step.m_State.m_Calls.at(Id);
  if (takeRetry(Step, Call, Event)) {
    enqueue(Step, Id, QueueEnd::Front);
    return;
  }
  refuseCall(Step, Id, RefusalReason::Overloaded);
}

void settleCall(Context &Step, CallId Id, const AttemptEnded &Event) {
  auto Known = Step.m_State.m_Calls.find(Id);
  if (Known == Step.m_State.m_Calls.end())
    return;
  CallState &Call = Known->second;
  std::erase(Call.m_Running, Event.m_Attempt);
  if (Event.m_End == AttemptEnd::Completed) {
    earnRetry(Step);
    finishCall(Step, Id, Event.m_Attempt);
    return;
  }
  bool NotRun =
      Event.m_End == AttemptEnd::Shed || Event.m_End == AttemptEnd::NotSent;
  if (!NotRun)
    Call.m_MayHaveRun = Event.m_Attempt;
  if (Call.m_Running.empty())
    retryOrEnd(Step, Id, Event);
}

} // namespace

void sendAttempt(Context &Step, CallId Id, ServerRef Server, AttemptKind Kind) {
  PoolState &State = Step.m_State;
  CallState &Call = State.m_Calls.at(Id);
  checkSend(Step, Call, *Server.m_Server);
  bool Hedge = Kind == AttemptKind::Hedge;
  AttemptId Attempt = ++State.m_LastAttempt;
  AttemptState &Running = State.m_Attempts[Attempt];
  Running.m_Call = Id;
  Running.m_Server = *Server.m_Id;
  Running.m_BootId = Server.m_Server->m_BootId;
  Running.m_Started = Step.m_Now;
  Running.m_Hedge = Hedge;
  Server.m_Server->m_Running.push_back({Attempt, Step.m_Now});
  Server.m_Server->m_LastSend = Step.m_Now;
  Call.m_Running.push_back(Attempt);
  ++Call.m_Sent;
  if (!Hedge)
    ++Call.m_Tries;
  Call.m_Hedged = Call.m_Hedged || Hedge;
  ++State.m_Counters.m_Attempts;
  Step.m_Actions.emplace_back(SendAttempt{Id, Attempt, *Server.m_Id, Hedge});
  if (!Call.m_Hedged)
    armHedge(Step, Attempt, Running);
}

void endAttempt(Context &Step, const AttemptEnded &Event) {
  auto Known = Step.m_State.m_Attempts.find(Event.m_Attempt);
  HYSSOPCROSS_INVARIANT(Known != Step.m_State.m_Attempts.end(),
                        "an attempt ends once");
  disarmHedge(Step, Event.m_Attempt, Known->second);
  AttemptState Attempt = std::move(Known->second);
  Step.m_State.m_Attempts.erase(Known);
  settleServer(Step, Attempt, Event);
  settleCall(Step, Attempt.m_Call, Event);
}

} // namespace hyssopcross::balancing
