#include "Transitions.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::claims {

namespace {

void finish(Context &Ctx, Claim &Of) {
  Ctx.m_State.m_Counters.m_Withdrawn++;
  if (!Of.m_Answered)
    answer(Ctx, Of, Of.m_RefusalKind, Of.m_RefusalRetryAfter);
  forget(Ctx, Of.m_Arrival.m_Call);
}

void writeReleased(Context &Ctx, Claim &Of, uint64_t ExpectedVersion) {
  Of.m_ExpectedVersion = ExpectedVersion;
  queueWrite(Ctx, Of, Ctx.m_State.m_Policy.m_GroupWindow);
}

void answerUnresolved(Context &Ctx, Claim &Of) {
  if (!Of.m_Answered)
    answer(Ctx, Of, AnswerKind::Unresolved, retryAfter(Ctx.m_State));
}

/// The claim has no row. A write that was lost may still create one, unless a
/// released row is put in its way.
void withdrawAbsent(Context &Ctx, Claim &Of) {
  bool MayAppear = Of.m_MayExist && Of.m_LostVersion == 0;
  if (MayAppear && Ctx.m_State.m_Policy.m_FenceLostWrites)
    writeReleased(Ctx, Of, 0);
  else
    finish(Ctx, Of);
}

void withdrawForeign(Context &Ctx, Claim &Of, const ClaimRow &Row,
                     uint64_t Version) {
  bool MayReplace = Of.m_MayExist && Of.m_LostVersion == Version;
  if (Row.m_State == RowState::Released && MayReplace &&
      Ctx.m_State.m_Policy.m_FenceLostWrites) {
    writeReleased(Ctx, Of, Version);
    return;
  }
  if (Row.m_State == RowState::Released || Of.m_Answered) {
    finish(Ctx, Of);
    return;
  }
  resolveForeignRow(Ctx, Of, Row, Version);
}

} // namespace

void startWithdrawal(Context &Ctx, Claim &Of, AnswerKind Kind,
                     Duration RetryAfter) {
  HYSSOPCROSS_INVARIANT(!Of.m_Sent, "a claim that was sent is not withdrawn");
  const ClaimPolicy &Policy = Ctx.m_State.m_Policy;
  Of.m_Phase = ClaimPhase::Withdrawing;
  Of.m_RefusalKind = Kind;
  Of.m_RefusalRetryAfter = RetryAfter;
  Of.m_GiveUpAt = Ctx.m_Now.m_Now + Policy.m_RetryFor;
  clearTimers(Ctx, Of);
  Of.m_AnswerBy = Ctx.m_Now.m_Now + Policy.m_WithdrawWait;
  setTimer(Ctx, Of, Of.m_AnswerBy);
  if (!Policy.m_WithdrawBeforeNotRun && !Of.m_Answered)
    answer(Ctx, Of, Kind, RetryAfter);
  readOwnRow(Ctx, Of);
}

void withdrawalRead(Context &Ctx, Claim &Of, const records::RowRead &Read) {
  if (!Read.m_Reached) {
    answerUnresolved(Ctx, Of);
    retryLater(Ctx, Of);
    return;
  }
  if (!Read.m_Row) {
    withdrawAbsent(Ctx, Of);
    return;
  }
  auto Row = readRow(Read.m_Row->m_Value);
  if (!Row) {
    answerUnresolved(Ctx, Of);
    forget(Ctx, Of.m_Arrival.m_Call);
    return;
  }
  if (Row.value().m_Attempt != Of.m_Attempt) {
    withdrawForeign(Ctx, Of, Row.value(), Read.m_Row->m_Version);
    return;
  }
  HYSSOPCROSS_INVARIANT(Row.value().m_State != RowState::Done,
                        "a claim with a result is not withdrawn");
  if (Row.value().m_State == RowState::Released)
    finish(Ctx, Of);
  else
    writeReleased(Ctx, Of, Read.m_Row->m_Version);
}

void withdrawalWriteEnded(Context &Ctx, Claim &Of, records::CommitEnd End) {
  switch (End) {
  case records::CommitEnd::Committed:
    finish(Ctx, Of);
    return;
  case records::CommitEnd::Unavailable:
    answerUnresolved(Ctx, Of);
    retryLater(Ctx, Of);
    return;
  case records::CommitEnd::Conflict:
  case records::CommitEnd::Unknown:
    readOwnRow(Ctx, Of);
    return;
  }
}

} // namespace hyssopcross::claims
