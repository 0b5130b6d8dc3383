#include "hyssopcross/claims/Claims.h"
#include "Transitions.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>
#include <xxhash.h>

namespace hyssopcross::claims {

namespace {

bool isUsableKey(std::string_view Key, size_t MaxBytes) {
  auto IsGraphic = [](char C) { return C > ' ' && C <= '~'; };
  return !Key.empty() && Key.size() <= MaxBytes &&
         std::all_of(Key.begin(), Key.end(), IsGraphic);
}

/// Answers an arrival that gets no claim.
void answerArrival(Context &Ctx, const MoneyArrived &Event, AnswerKind Kind,
                   Duration RetryAfter,
                   const std::optional<RecordedAnswer> &Result = {}) {
  Claim Unclaimed;
  Unclaimed.m_Arrival = Event;
  Unclaimed.m_Result = Result;
  answer(Ctx, Unclaimed, Kind, RetryAfter);
}

/// Answers an arrival whose key has a claim alive in this process.
void answerFromAlive(Context &Ctx, const MoneyArrived &Event,
                     const Claim &Alive) {
  if (Ctx.m_State.m_Policy.m_CompareDigest &&
      Alive.m_Arrival.m_Digest != Event.m_Digest)
    answerArrival(Ctx, Event, AnswerKind::OtherRequest, {});
  else if (Alive.m_Sent && Alive.m_Result)
    answerArrival(Ctx, Event, AnswerKind::Recorded, {}, Alive.m_Result);
  else
    answerArrival(Ctx, Event, AnswerKind::InProgress, retryAfter(Ctx.m_State));
}

/// Refuses an arrival before its row was read: a repeat cannot be told that
/// its key did not run.
void refuseArrival(Context &Ctx, const MoneyArrived &Event, AnswerKind Kind) {
  answerArrival(Ctx, Event, Event.m_Repeat ? AnswerKind::Unresolved : Kind,
                retryAfter(Ctx.m_State));
}

void startClaim(Context &Ctx, const MoneyArrived &Event, std::string RowKey) {
  ClaimState &State = Ctx.m_State;
  Claim &New = State.m_Claims[Event.m_Call];
  New.m_Arrival = Event;
  New.m_Attempt = State.m_Process + "." + std::to_string(++State.m_LastAttempt);
  New.m_SendBy = Ctx.m_Now.m_Now + (Event.m_Deadline - Ctx.m_Now.m_Wall) -
                 State.m_Policy.m_SendMargin;
  New.m_AnswerBy = New.m_SendBy + State.m_Policy.m_SendMargin;
  setTimer(Ctx, New, New.m_AnswerBy);
  State.m_ByRow.emplace(std::move(RowKey), Event.m_Call);
  State.m_Counters.m_Claims++;
  if (State.m_Policy.m_ClaimBeforeSend) {
    queueWrite(Ctx, New, State.m_Policy.m_GroupWindow);
    return;
  }
  New.m_Phase = ClaimPhase::Claimed;
  Ctx.m_Actions.push_back(StartCall{Event.m_Call});
}

void handle(Context &Ctx, const MoneyArrived &Event) {
  ClaimState &State = Ctx.m_State;
  HYSSOPCROSS_INVARIANT(!State.m_Claims.contains(Event.m_Call),
                        "call ids are not reused");
  if (!isUsableKey(Event.m_Key, State.m_Policy.m_KeyBytes)) {
    answerArrival(Ctx, Event, AnswerKind::NoKey, {});
    return;
  }
  std::string RowKey = rowKey(Event.m_Service, Event.m_Key);
  auto Alive = State.m_ByRow.find(RowKey);
  if (Alive != State.m_ByRow.end())
    answerFromAlive(Ctx, Event, State.m_Claims.at(Alive->second));
  else if (Event.m_Deadline - State.m_Policy.m_SendMargin <= Ctx.m_Now.m_Wall)
    refuseArrival(Ctx, Event, AnswerKind::DeadlinePassed);
  else if (State.m_Claims.size() >= State.m_Policy.m_MaxClaims)
    refuseArrival(Ctx, Event, AnswerKind::Refused);
  else
    startClaim(Ctx, Event, std::move(RowKey));
}

/// Whether the deadline leaves time for a send, by both clocks: either may
/// have stood still while the process was frozen.
bool withinSendWindow(const Context &Ctx, const Claim &Of) {
  const ClaimPolicy &Policy = Ctx.m_State.m_Policy;
  if (!Policy.m_CheckSendWindow)
    return true;
  WallTime WallLimit = Of.m_Arrival.m_Deadline - Policy.m_SendMargin;
  return Ctx.m_Now.m_Now < Of.m_SendBy && Ctx.m_Now.m_Wall < WallLimit;
}

void handle(Context &Ctx, const SendAsked &Event) {
  auto Found = Ctx.m_State.m_Claims.find(Event.m_Call);
  if (Found == Ctx.m_State.m_Claims.end() || Found->second.m_Answered ||
      Found->second.m_Phase != ClaimPhase::Claimed || Found->second.m_Sent) {
    Ctx.m_Actions.push_back(DenySend{Event.m_Call});
    return;
  }
  Claim &Of = Found->second;
  if (!withinSendWindow(Ctx, Of)) {
    Ctx.m_Actions.push_back(DenySend{Event.m_Call});
    startWithdrawal(Ctx, Of, AnswerKind::DeadlinePassed,
                    retryAfter(Ctx.m_State));
    return;
  }
  Of.m_Sent = true;
  Of.m_Sending = true;
  Ctx.m_Actions.push_back(AllowSend{Event.m_Call, Of.m_Attempt});
}

void sendCompleted(Context &Ctx, Claim &Of, const RecordedAnswer &Result) {
  Of.m_Result = Result;
  if (!Of.m_Answered)
    answer(Ctx, Of, AnswerKind::Completed, {});
  startRecording(Ctx, Of);
}

void sendBroken(Context &Ctx, Claim &Of) {
  if (!Of.m_Answered)
    answer(Ctx, Of, AnswerKind::Broken, retryAfter(Ctx.m_State));
  forget(Ctx, Of.m_Arrival.m_Call);
}

void sendNotRun(Context &Ctx, Claim &Of) {
  Of.m_Sent = false;
  if (Of.m_Answered)
    startWithdrawal(Ctx, Of, AnswerKind::DeadlinePassed,
                    retryAfter(Ctx.m_State));
}

void handle(Context &Ctx, const SendEnded &Event) {
  auto Found = Ctx.m_State.m_Claims.find(Event.m_Call);
  if (Found == Ctx.m_State.m_Claims.end())
    return;
  Claim &Of = Found->second;
  HYSSOPCROSS_INVARIANT(Of.m_Sending, "a send that ends was allowed");
  Of.m_Sending = false;
  switch (Event.m_End) {
  case SendEnd::Completed:
    sendCompleted(Ctx, Of, Event.m_Answer);
    return;
  case SendEnd::NotRun:
    sendNotRun(Ctx, Of);
    return;
  case SendEnd::Broken:
    sendBroken(Ctx, Of);
    return;
  }
}

void handle(Context &Ctx, const CallRefused &Event) {
  auto Found = Ctx.m_State.m_Claims.find(Event.m_Call);
  if (Found == Ctx.m_State.m_Claims.end() ||
      Found->second.m_Phase != ClaimPhase::Claimed)
    return;
  Claim &Of = Found->second;
  if (!Of.m_Sent)
    startWithdrawal(Ctx, Of, AnswerKind::Refused, Event.m_RetryAfter);
  else if (!Of.m_Answered)
    answer(Ctx, Of, AnswerKind::TimedOut, retryAfter(Ctx.m_State));
}

void handle(Context &Ctx, const SweeperChanged &Event) {
  changeSweeper(Ctx, Event);
}

/// The caller has waited as long as it may.
void answerLate(Context &Ctx, Claim &Of) {
  if (Of.m_Phase == ClaimPhase::Claiming && Of.m_Queued && !Of.m_MayExist) {
    refuseUnclaimed(Ctx, Of, AnswerKind::DeadlinePassed);
    return;
  }
  if (Of.m_Phase == ClaimPhase::Claimed && !Of.m_Sent) {
    startWithdrawal(Ctx, Of, AnswerKind::DeadlinePassed,
                    retryAfter(Ctx.m_State));
    return;
  }
  answer(Ctx, Of, Of.m_Sent ? AnswerKind::TimedOut : AnswerKind::Unresolved,
         retryAfter(Ctx.m_State));
}

void retryNow(Context &Ctx, Claim &Of) {
  Of.m_RetryAt.reset();
  if (Of.m_Phase == ClaimPhase::Storing)
    putResult(Ctx, Of);
  else
    readOwnRow(Ctx, Of);
}

void fireTimer(Context &Ctx, CallId Call) {
  auto Found = Ctx.m_State.m_Claims.find(Call);
  if (Found == Ctx.m_State.m_Claims.end())
    return;
  Claim &Of = Found->second;
  if (Of.m_RetryAt && *Of.m_RetryAt <= Ctx.m_Now.m_Now)
    retryNow(Ctx, Of);
  if (!Of.m_Answered && Of.m_AnswerBy <= Ctx.m_Now.m_Now)
    answerLate(Ctx, Of);
}

void handle(Context &Ctx, const Woke &) {
  auto &Timers = Ctx.m_State.m_Timers;
  while (!Timers.empty() && Timers.begin()->first <= Ctx.m_Now.m_Now) {
    CallId Call = Timers.begin()->second;
    Timers.erase(Timers.begin());
    fireTimer(Ctx, Call);
  }
}

/// Takes the claims that wait for a request.
std::vector<CallId> takeWaiting(ClaimState &State, records::RequestId Request) {
  auto Node = State.m_Waiting.extract(Request);
  return Node ? std::move(Node.mapped()) : std::vector<CallId>();
}

void rowRead(Context &Ctx, Claim &Of, const records::RowRead &Event) {
  switch (Of.m_Phase) {
  case ClaimPhase::Checking:
    checkRead(Ctx, Of, Event);
    return;
  case ClaimPhase::Recording:
    recordingRead(Ctx, Of, Event);
    return;
  case ClaimPhase::Withdrawing:
    withdrawalRead(Ctx, Of, Event);
    return;
  default:
    HYSSOPCROSS_INVARIANT(false, "a read belongs to a phase that asks for it");
  }
}

void writeEnded(Context &Ctx, Claim &Of, records::CommitEnd End) {
  switch (Of.m_Phase) {
  case ClaimPhase::Claiming:
    claimWriteEnded(Ctx, Of, End);
    return;
  case ClaimPhase::Recording:
    recordingWriteEnded(Ctx, Of, End);
    return;
  case ClaimPhase::Withdrawing:
    withdrawalWriteEnded(Ctx, Of, End);
    return;
  default:
    HYSSOPCROSS_INVARIANT(false, "a write belongs to a phase that makes one");
  }
}

void handle(Context &Ctx, const records::RowRead &Event) {
  for (CallId Call : takeWaiting(Ctx.m_State, Event.m_Request)) {
    auto Found = Ctx.m_State.m_Claims.find(Call);
    if (Found != Ctx.m_State.m_Claims.end())
      rowRead(Ctx, Found->second, Event);
  }
}

void handle(Context &Ctx, const records::RowsScanned &Event) {
  sweepScanned(Ctx, Event);
}

void handle(Context &Ctx, const records::CommitEnded &Event) {
  if (sweepCommitted(Ctx, Event))
    return;
  std::vector<CallId> Calls = takeWaiting(Ctx.m_State, Event.m_Request);
  if (!Calls.empty())
    Ctx.m_State.m_CommitsInFlight--;
  for (CallId Call : Calls) {
    auto Found = Ctx.m_State.m_Claims.find(Call);
    if (Found != Ctx.m_State.m_Claims.end())
      writeEnded(Ctx, Found->second, Event.m_End);
  }
}

void handle(Context &Ctx, const records::ObjectEnded &Event) {
  for (CallId Call : takeWaiting(Ctx.m_State, Event.m_Request)) {
    auto Found = Ctx.m_State.m_Claims.find(Call);
    if (Found == Ctx.m_State.m_Claims.end())
      continue;
    if (Found->second.m_Phase == ClaimPhase::Fetching)
      recordedFetched(Ctx, Found->second, Event);
    else
      resultStored(Ctx, Found->second, Event);
  }
}

void scheduleWake(Context &Ctx) {
  ClaimState &State = Ctx.m_State;
  std::optional<TimePoint> Next = nextScan(State);
  auto Consider = [&](TimePoint At) { Next = Next ? std::min(*Next, At) : At; };
  if (!State.m_Timers.empty())
    Consider(State.m_Timers.begin()->first);
  if (!State.m_Queue.empty() &&
      State.m_CommitsInFlight < State.m_Policy.m_CommitsInFlight)
    Consider(State.m_Queue.begin()->first);
  if (!Next || State.m_WakeAt == Next)
    return;
  State.m_WakeAt = Next;
  Ctx.m_Actions.push_back(WakeAt{*Next});
}

} // namespace

void step(ClaimState &State, const Event &Event, const records::Instant &Now,
          std::vector<Action> &Actions) {
  Context Ctx{State, Now, Actions};
  if (std::holds_alternative<Woke>(Event))
    State.m_WakeAt.reset();
  std::visit([&](const auto &Value) { handle(Ctx, Value); }, Event);
  startScans(Ctx);
  flushQueue(Ctx);
  scheduleWake(Ctx);
  HYSSOPCROSS_INVARIANT(State.m_ByRow.size() == State.m_Claims.size(),
                        "a key has at most one claim alive in a process");
  HYSSOPCROSS_INVARIANT(State.m_Timers.size() <= 2 * State.m_Claims.size(),
                        "claims that are forgotten leave no timers");
}

std::string rowKey(std::string_view Service, std::string_view Key) {
  constexpr size_t HashDigits = 16;
  static constexpr char Digits[] = "0123456789abcdef";
  uint64_t Hash = XXH64(Key.data(), Key.size(), 0);
  std::string Text = "claim/" + std::string(Service) + "/";
  for (size_t I = HashDigits; I > 0; --I)
    Text += Digits[(Hash >> (4 * (I - 1))) & 0xfU];
  return Text + "/" + std::string(Key);
}

} // namespace hyssopcross::claims
