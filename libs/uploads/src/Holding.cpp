#include "Transitions.h"

namespace hyssopcross::uploads {

namespace {

const UploadHead &headOf(const Upload &Of) { return Of.m_Arrival.m_Head; }

records::RequestId awaitRequest(Context &Ctx, Upload &Of) {
  Of.m_Request = ++Ctx.m_State.m_LastRequest;
  Ctx.m_State.m_WaitingCalls[Of.m_Request] = Of.m_Arrival.m_Call;
  return Of.m_Request;
}

Receipt heldReceipt(const Upload &Of) {
  return {HeldState::Held, headOf(Of), 0, Of.m_HeldAt, Of.m_ObjectKey};
}

void answerHeld(Context &Ctx, Upload &Of, Receipt Value) {
  Ctx.m_State.m_Counters.m_Held++;
  Answer Said;
  Said.m_Kind = AnswerKind::Held;
  Said.m_Receipt = std::move(Value);
  answer(Ctx, Of, std::move(Said));
}

void commitRows(Context &Ctx, Upload &Of) {
  Of.m_Phase = UploadPhase::Recording;
  const UploadHead &Head = headOf(Of);
  records::CommitRows Commit;
  Commit.m_Request = awaitRequest(Ctx, Of);
  Commit.m_Writes = {
      {rowKey(Head.m_Service, Head.m_Key), 0, writeReceipt(heldReceipt(Of))},
      {dueRowKey(Head.m_Service, Of.m_HeldAt, Head.m_Key), 0,
       writeDueRow({Head.m_Key, 0})}};
  Ctx.m_Actions.push_back(std::move(Commit));
}

void check(Context &Ctx, Upload &Of) {
  Of.m_Phase = UploadPhase::Checking;
  const UploadHead &Head = headOf(Of);
  Ctx.m_Actions.push_back(records::ReadRow{awaitRequest(Ctx, Of),
                                           rowKey(Head.m_Service, Head.m_Key)});
}

void dropBody(Context &Ctx, const Upload &Of) {
  if (!Of.m_MayBeHeld)
    Ctx.m_Actions.push_back(records::RemoveObject{Of.m_ObjectKey});
}

} // namespace

void startHolding(Context &Ctx, Upload &Of) {
  if (!Ctx.m_State.m_Policy.m_Hold) {
    answerNotTaken(Ctx, Of, AnswerKind::Refused);
    return;
  }
  // Its own object for each try: removing it harms no other holder.
  Of.m_ObjectKey = "upload/" + headOf(Of).m_Service + "/" +
                   Ctx.m_State.m_Process + "." +
                   std::to_string(++Ctx.m_State.m_LastObject);
  Of.m_HeldAt = Ctx.m_Now.m_Wall;
  Of.m_Phase = UploadPhase::Storing;
  Ctx.m_Actions.push_back(
      HoldBody{awaitRequest(Ctx, Of), Of.m_Arrival.m_Call, Of.m_ObjectKey});
}

void bodyStored(Context &Ctx, Upload &Of, const records::ObjectEnded &End) {
  if (End.m_End != records::ObjectEnd::Done) {
    dropBody(Ctx, Of);
    answerNotTaken(Ctx, Of, AnswerKind::Refused);
    return;
  }
  commitRows(Ctx, Of);
  if (!Ctx.m_State.m_Policy.m_RecordBeforeHeld)
    answerHeld(Ctx, Of, heldReceipt(Of));
}

void holdCommitted(Context &Ctx, Upload &Of, records::CommitEnd End) {
  switch (End) {
  case records::CommitEnd::Committed:
    answerHeld(Ctx, Of, heldReceipt(Of));
    return;
  case records::CommitEnd::Unavailable:
    dropBody(Ctx, Of);
    answerNotTaken(Ctx, Of, AnswerKind::Refused);
    return;
  case records::CommitEnd::Conflict:
    check(Ctx, Of);
    return;
  case records::CommitEnd::Unknown:
    if (!Ctx.m_State.m_Policy.m_ReadBackLostWrites) {
      answerNotTaken(Ctx, Of, AnswerKind::Refused);
      return;
    }
    Of.m_MayBeHeld = true;
    check(Ctx, Of);
    return;
  }
}

void holdChecked(Context &Ctx, Upload &Of, const records::RowRead &Read) {
  if (!Read.m_Reached) {
    dropBody(Ctx, Of);
    answerNotTaken(Ctx, Of, AnswerKind::Refused);
    return;
  }
  if (!Read.m_Row) {
    commitRows(Ctx, Of);
    return;
  }
  auto Found = readReceipt(Read.m_Row->m_Value);
  if (!Found) {
    answerNotTaken(Ctx, Of, AnswerKind::Refused);
    return;
  }
  bool Own = Found.value().m_ObjectKey == Of.m_ObjectKey;
  Of.m_MayBeHeld = Of.m_MayBeHeld && Own;
  if (!Own)
    dropBody(Ctx, Of);
  bool Same = Found.value().m_Head == headOf(Of) ||
              !Ctx.m_State.m_Policy.m_CompareDigest;
  if (Same) {
    answerHeld(Ctx, Of, Found.value());
    return;
  }
  answerNotTaken(Ctx, Of, AnswerKind::OtherUpload);
}

} // namespace hyssopcross::uploads
