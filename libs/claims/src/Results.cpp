#include "Transitions.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::claims {

namespace {

void startRead(Context &Ctx, Claim &Of) {
  Of.m_Phase = ClaimPhase::Recording;
  readOwnRow(Ctx, Of);
}

} // namespace

void startRecording(Context &Ctx, Claim &Of) {
  HYSSOPCROSS_INVARIANT(Of.m_Sent && Of.m_Result,
                        "only a result that was received is recorded");
  const ClaimPolicy &Policy = Ctx.m_State.m_Policy;
  Of.m_GiveUpAt = Ctx.m_Now.m_Now + Policy.m_RetryFor;
  const std::string &Body = Of.m_Result->m_Body;
  if (Body.size() <= Policy.m_InlineBytes && isUtf8(Body)) {
    startRead(Ctx, Of);
    return;
  }
  Of.m_ObjectKey = "answer/" + Of.m_Arrival.m_Service + "/" + Of.m_Attempt;
  Of.m_Phase = ClaimPhase::Storing;
  putResult(Ctx, Of);
}

void resultStored(Context &Ctx, Claim &Of, const records::ObjectEnded &End) {
  if (End.m_End == records::ObjectEnd::Done)
    startRead(Ctx, Of);
  else
    retryLater(Ctx, Of);
}

void recordingRead(Context &Ctx, Claim &Of, const records::RowRead &Read) {
  if (!Read.m_Reached) {
    retryLater(Ctx, Of);
    return;
  }
  Of.m_ExpectedVersion = 0;
  if (Read.m_Row) {
    auto Row = readRow(Read.m_Row->m_Value);
    bool Own = Row && Row.value().m_Attempt == Of.m_Attempt;
    if (!Own || Row.value().m_State == RowState::Done) {
      // Another's row can only be there if this one's has expired.
      if (!Own)
        Ctx.m_State.m_Counters.m_Dropped++;
      forget(Ctx, Of.m_Arrival.m_Call);
      return;
    }
    HYSSOPCROSS_INVARIANT(Row.value().m_State == RowState::Claimed,
                          "a claim that was sent is not released");
    Of.m_ExpectedVersion = Read.m_Row->m_Version;
  }
  queueWrite(Ctx, Of, Ctx.m_State.m_Policy.m_RecordWindow);
}

void recordingWriteEnded(Context &Ctx, Claim &Of, records::CommitEnd End) {
  switch (End) {
  case records::CommitEnd::Committed:
    forget(Ctx, Of.m_Arrival.m_Call);
    return;
  case records::CommitEnd::Unavailable:
    retryLater(Ctx, Of);
    return;
  case records::CommitEnd::Conflict:
  case records::CommitEnd::Unknown:
    readOwnRow(Ctx, Of);
    return;
  }
}

} // namespace hyssopcross::claims
