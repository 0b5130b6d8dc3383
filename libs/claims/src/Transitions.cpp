#include "Transitions.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::claims {

namespace {

bool saysNotRun(AnswerKind Kind) {
  switch (Kind) {
  case AnswerKind::NoKey:
  case AnswerKind::OtherRequest:
  case AnswerKind::StoreDown:
  case AnswerKind::Refused:
  case AnswerKind::DeadlinePassed:
    return true;
  case AnswerKind::Completed:
  case AnswerKind::Recorded:
  case AnswerKind::InProgress:
  case AnswerKind::Broken:
  case AnswerKind::TimedOut:
  case AnswerKind::Unresolved:
    return false;
  }
  return false;
}

/// The row is this claim's.
void becomeClaimed(Context &Ctx, Claim &Of) {
  Of.m_MayExist = false;
  if (Of.m_Answered || Ctx.m_Now.m_Now >= Of.m_SendBy) {
    startWithdrawal(Ctx, Of, AnswerKind::DeadlinePassed,
                    retryAfter(Ctx.m_State));
    return;
  }
  Of.m_Phase = ClaimPhase::Claimed;
  Ctx.m_Actions.push_back(StartCall{Of.m_Arrival.m_Call});
}

void claimAgain(Context &Ctx, Claim &Of, uint64_t ExpectedVersion) {
  Of.m_Phase = ClaimPhase::Claiming;
  Of.m_ExpectedVersion = ExpectedVersion;
  queueWrite(Ctx, Of, Duration::zero());
}

void check(Context &Ctx, Claim &Of) {
  Of.m_Phase = ClaimPhase::Checking;
  readOwnRow(Ctx, Of);
}

/// The store was not reached while the claim was being made.
void giveUpClaiming(Context &Ctx, Claim &Of) {
  if (!Of.m_MayExist) {
    refuseUnclaimed(Ctx, Of, AnswerKind::StoreDown);
    return;
  }
  if (!Of.m_Answered)
    answer(Ctx, Of, AnswerKind::Unresolved, retryAfter(Ctx.m_State));
  startWithdrawal(Ctx, Of, AnswerKind::StoreDown, {});
}

void answerForeign(Context &Ctx, Claim &Of, AnswerKind Kind) {
  bool Final = Kind == AnswerKind::OtherRequest;
  if (!Of.m_Answered)
    answer(Ctx, Of, Kind, Final ? Duration() : retryAfter(Ctx.m_State));
  forget(Ctx, Of.m_Arrival.m_Call);
}

} // namespace

void answer(Context &Ctx, Claim &Of, AnswerKind Kind, Duration RetryAfter) {
  HYSSOPCROSS_INVARIANT(!Of.m_Answered, "a call is answered once");
  HYSSOPCROSS_INVARIANT(!saysNotRun(Kind) || !Of.m_Sent,
                        "not-run is not said of a call that was sent");
  Of.m_Answered = true;
  Answer Said{Of.m_Arrival.m_Call, Kind, {}, RetryAfter};
  bool HasAnswer =
      Kind == AnswerKind::Completed || Kind == AnswerKind::Recorded;
  if (HasAnswer && Of.m_Result)
    Said.m_Answer = *Of.m_Result;
  Ctx.m_Actions.push_back(std::move(Said));
}

void refuseUnclaimed(Context &Ctx, Claim &Of, AnswerKind Kind) {
  bool Unsure = Of.m_Arrival.m_Repeat && !Of.m_RowRead;
  if (!Of.m_Answered)
    answer(Ctx, Of, Unsure ? AnswerKind::Unresolved : Kind,
           retryAfter(Ctx.m_State));
  forget(Ctx, Of.m_Arrival.m_Call);
}

void forget(Context &Ctx, CallId Call) {
  auto Found = Ctx.m_State.m_Claims.find(Call);
  HYSSOPCROSS_INVARIANT(Found != Ctx.m_State.m_Claims.end(),
                        "a claim is forgotten once");
  Claim &Of = Found->second;
  HYSSOPCROSS_INVARIANT(Of.m_Answered, "a call is answered");
  unqueueWrite(Ctx, Of);
  clearTimers(Ctx, Of);
  Ctx.m_State.m_ByRow.erase(rowKey(Of.m_Arrival.m_Service, Of.m_Arrival.m_Key));
  Ctx.m_State.m_Claims.erase(Found);
}

Duration retryAfter(ClaimState &State) {
  std::uniform_real_distribution<double> Jitter(1.0, 1.5);
  return std::chrono::duration_cast<Duration>(State.m_Policy.m_RetryAfter *
                                              Jitter(State.m_Random));
}

void claimWriteEnded(Context &Ctx, Claim &Of, records::CommitEnd End) {
  switch (End) {
  case records::CommitEnd::Committed:
    becomeClaimed(Ctx, Of);
    return;
  case records::CommitEnd::Unavailable:
    giveUpClaiming(Ctx, Of);
    return;
  case records::CommitEnd::Conflict:
    check(Ctx, Of);
    return;
  case records::CommitEnd::Unknown:
    Of.m_MayExist = true;
    Of.m_LostVersion = Of.m_ExpectedVersion;
    Ctx.m_State.m_Counters.m_LostWrites++;
    if (Ctx.m_State.m_Policy.m_ReadBackLostWrites)
      check(Ctx, Of);
    else
      refuseUnclaimed(Ctx, Of, AnswerKind::StoreDown);
    return;
  }
}

void checkRead(Context &Ctx, Claim &Of, const records::RowRead &Read) {
  if (!Read.m_Reached) {
    giveUpClaiming(Ctx, Of);
    return;
  }
  Of.m_RowRead = true;
  if (!Read.m_Row) {
    if (Of.m_Answered)
      startWithdrawal(Ctx, Of, AnswerKind::DeadlinePassed,
                      retryAfter(Ctx.m_State));
    else
      claimAgain(Ctx, Of, 0);
    return;
  }
  auto Row = readRow(Read.m_Row->m_Value);
  if (!Row)
    answerForeign(Ctx, Of, AnswerKind::InProgress);
  else if (Row.value().m_Attempt == Of.m_Attempt)
    becomeClaimed(Ctx, Of);
  else
    resolveForeignRow(Ctx, Of, Row.value(), Read.m_Row->m_Version);
}

void resolveForeignRow(Context &Ctx, Claim &Of, const ClaimRow &Row,
                       uint64_t Version) {
  const ClaimPolicy &Policy = Ctx.m_State.m_Policy;
  if (Policy.m_CompareDigest && Row.m_Digest != Of.m_Arrival.m_Digest) {
    answerForeign(Ctx, Of, AnswerKind::OtherRequest);
    return;
  }
  switch (Row.m_State) {
  case RowState::Claimed:
    if (Policy.m_NeverTakeOver)
      answerForeign(Ctx, Of, AnswerKind::InProgress);
    else
      claimAgain(Ctx, Of, Version);
    return;
  case RowState::Released:
    if (Of.m_Answered)
      startWithdrawal(Ctx, Of, AnswerKind::DeadlinePassed,
                      retryAfter(Ctx.m_State));
    else
      claimAgain(Ctx, Of, Version);
    return;
  case RowState::Done:
    Of.m_Result = Row.m_Answer;
    if (Row.m_ObjectKey.empty() || Of.m_Answered) {
      answerForeign(Ctx, Of, AnswerKind::Recorded);
      return;
    }
    Of.m_Phase = ClaimPhase::Fetching;
    fetchRecorded(Ctx, Of, Row.m_ObjectKey);
    return;
  }
}

void recordedFetched(Context &Ctx, Claim &Of, const records::ObjectEnded &End) {
  bool Done = End.m_End == records::ObjectEnd::Done;
  if (Done)
    Of.m_Result->m_Body = End.m_Body;
  answerForeign(Ctx, Of, Done ? AnswerKind::Recorded : AnswerKind::Unresolved);
}

} // namespace hyssopcross::claims
