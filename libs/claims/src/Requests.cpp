#include "Transitions.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::claims {

namespace {

std::string ownKey(const Claim &Of) {
  return rowKey(Of.m_Arrival.m_Service, Of.m_Arrival.m_Key);
}

records::RequestId awaitRequest(Context &Ctx, const Claim &Of) {
  records::RequestId Request = ++Ctx.m_State.m_LastRequest;
  Ctx.m_State.m_Waiting[Request] = {Of.m_Arrival.m_Call};
  return Request;
}

RowState rowStateOf(ClaimPhase Phase) {
  if (Phase == ClaimPhase::Recording)
    return RowState::Done;
  if (Phase == ClaimPhase::Withdrawing)
    return RowState::Released;
  return RowState::Claimed;
}

store::Write makeWrite(const Claim &Of) {
  ClaimRow Row;
  Row.m_Digest = Of.m_Arrival.m_Digest;
  Row.m_Attempt = Of.m_Attempt;
  Row.m_Deadline = Of.m_Arrival.m_Deadline;
  Row.m_State = rowStateOf(Of.m_Phase);
  if (Of.m_Result)
    Row.m_Answer = *Of.m_Result;
  Row.m_ObjectKey = Of.m_ObjectKey;
  return {ownKey(Of), Of.m_ExpectedVersion, writeRow(Row)};
}

void sendGroup(Context &Ctx) {
  ClaimState &State = Ctx.m_State;
  records::CommitRows Commit;
  Commit.m_Request = ++State.m_LastRequest;
  std::vector<CallId> Calls;
  while (!State.m_Queue.empty() && Calls.size() < State.m_Policy.m_GroupRows) {
    Claim &Next = State.m_Claims.at(State.m_Queue.begin()->second);
    State.m_Queue.erase(State.m_Queue.begin());
    Next.m_Queued = false;
    Calls.push_back(Next.m_Arrival.m_Call);
    Commit.m_Writes.push_back(makeWrite(Next));
  }
  State.m_Counters.m_Transactions++;
  State.m_Counters.m_RowWrites += Calls.size();
  State.m_CommitsInFlight++;
  State.m_Waiting[Commit.m_Request] = std::move(Calls);
  Ctx.m_Actions.push_back(std::move(Commit));
}

} // namespace

void readOwnRow(Context &Ctx, Claim &Of) {
  Ctx.m_State.m_Counters.m_Reads++;
  Ctx.m_Actions.push_back(records::ReadRow{awaitRequest(Ctx, Of), ownKey(Of)});
}

void queueWrite(Context &Ctx, Claim &Of, Duration Window) {
  HYSSOPCROSS_INVARIANT(!Of.m_Queued, "a claim has one write at a time");
  Of.m_Queued = true;
  Ctx.m_State.m_Queue.emplace(Ctx.m_Now.m_Now + Window, Of.m_Arrival.m_Call);
}

void unqueueWrite(Context &Ctx, Claim &Of) {
  if (!Of.m_Queued)
    return;
  std::erase_if(Ctx.m_State.m_Queue, [&](const auto &Entry) {
    return Entry.second == Of.m_Arrival.m_Call;
  });
  Of.m_Queued = false;
}

void putResult(Context &Ctx, Claim &Of) {
  Ctx.m_Actions.push_back(records::PutObject{
      awaitRequest(Ctx, Of), Of.m_ObjectKey, Of.m_Result->m_Body});
}

void fetchRecorded(Context &Ctx, Claim &Of, std::string_view ObjectKey) {
  Ctx.m_Actions.push_back(
      records::GetObject{awaitRequest(Ctx, Of), std::string(ObjectKey)});
}

void retryLater(Context &Ctx, Claim &Of) {
  const ClaimPolicy &Policy = Ctx.m_State.m_Policy;
  if (Ctx.m_Now.m_Now >= Of.m_GiveUpAt) {
    Ctx.m_State.m_Counters.m_Dropped++;
    forget(Ctx, Of.m_Arrival.m_Call);
    return;
  }
  Duration Pause = std::max(Of.m_RetryPause, Policy.m_RetryPause);
  Of.m_RetryPause = std::min(2 * Pause, Policy.m_RetryPauseMax);
  std::uniform_real_distribution<double> Jitter(0.5, 1.5);
  Pause = std::chrono::duration_cast<Duration>(Pause *
                                               Jitter(Ctx.m_State.m_Random));
  Of.m_RetryAt = Ctx.m_Now.m_Now + Pause;
  setTimer(Ctx, Of, *Of.m_RetryAt);
}

void setTimer(Context &Ctx, const Claim &Of, TimePoint At) {
  Ctx.m_State.m_Timers.emplace(At, Of.m_Arrival.m_Call);
}

void clearTimers(Context &Ctx, const Claim &Of) {
  Ctx.m_State.m_Timers.erase({Of.m_AnswerBy, Of.m_Arrival.m_Call});
  if (Of.m_RetryAt)
    Ctx.m_State.m_Timers.erase({*Of.m_RetryAt, Of.m_Arrival.m_Call});
}

void flushQueue(Context &Ctx) {
  ClaimState &State = Ctx.m_State;
  while (!State.m_Queue.empty() &&
         State.m_CommitsInFlight < State.m_Policy.m_CommitsInFlight) {
    bool Full = State.m_Queue.size() >= State.m_Policy.m_GroupRows;
    if (!Full && State.m_Queue.begin()->first > Ctx.m_Now.m_Now)
      return;
    sendGroup(Ctx);
  }
}

} // namespace hyssopcross::claims
