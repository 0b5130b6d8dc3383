#include "hyssopcross/uploads/Uploads.h"
#include "Transitions.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>

namespace hyssopcross::uploads {

namespace {

bool isUsableKey(std::string_view Key, size_t MaxBytes) {
  auto IsGraphic = [](char C) { return C > ' ' && C <= '~'; };
  return !Key.empty() && Key.size() <= MaxBytes &&
         std::all_of(Key.begin(), Key.end(), IsGraphic);
}

bool saysNotRun(AnswerKind Kind) {
  return Kind == AnswerKind::NoKey || Kind == AnswerKind::OtherUpload ||
         Kind == AnswerKind::Refused || Kind == AnswerKind::DeadlinePassed;
}

void setTimer(Context &Ctx, const Upload &Of, TimePoint At) {
  Ctx.m_State.m_Timers.emplace(At, Of.m_Arrival.m_Call);
}

void send(Context &Ctx, Upload &Of) {
  Of.m_SendAt.reset();
  Of.m_SendOpen = true;
  Of.m_Sends++;
  Ctx.m_Actions.push_back(SendUpload{
      Of.m_Arrival.m_Call, identityOf(Ctx.m_State, Of.m_Arrival.m_Head,
                                      std::to_string(Of.m_Sends))});
}

void handle(Context &Ctx, const UploadArrived &Event) {
  UploadState &State = Ctx.m_State;
  HYSSOPCROSS_INVARIANT(!State.m_Uploads.contains(Event.m_Call),
                        "call ids are not reused");
  Upload &New = State.m_Uploads[Event.m_Call];
  New.m_Arrival = Event;
  if (!isUsableKey(Event.m_Head.m_Key, State.m_Policy.m_KeyBytes)) {
    answerNotTaken(Ctx, New, AnswerKind::NoKey);
    return;
  }
  Duration Left = Event.m_Deadline - Ctx.m_Now.m_Wall;
  if (Left <= Duration::zero()) {
    answerNotTaken(Ctx, New, AnswerKind::DeadlinePassed);
    return;
  }
  New.m_AnswerBy = Ctx.m_Now.m_Now + Left;
  // With little time in all, half of it is for sending.
  New.m_HoldAt =
      New.m_AnswerBy - std::min(State.m_Policy.m_HoldReserve, Left / 2);
  setTimer(Ctx, New, New.m_HoldAt);
  setTimer(Ctx, New, New.m_AnswerBy);
  send(Ctx, New);
}

/// Sends again if there is a try and time left, else holds.
void sendAgainOrHold(Context &Ctx, Upload &Of, bool PoolRefused) {
  if (Of.m_Phase != UploadPhase::Sending)
    return;
  const UploadPolicy &Policy = Ctx.m_State.m_Policy;
  std::uniform_real_distribution<double> Jitter(0.5, 1.5);
  TimePoint Next =
      Ctx.m_Now.m_Now + std::chrono::duration_cast<Duration>(
                            Policy.m_SendPause * Jitter(Ctx.m_State.m_Random));
  if (PoolRefused || Of.m_Sends >= Policy.m_MaxSends || Next >= Of.m_HoldAt) {
    startHolding(Ctx, Of);
    return;
  }
  Of.m_SendAt = Next;
  setTimer(Ctx, Of, Next);
}

void sendAnswered(Context &Ctx, Upload &Of, const ServerAnswer &Answered) {
  if (judge(Ctx.m_State, Of.m_Arrival.m_Head, Answered) ==
      Verdict::Unconfirmed) {
    Ctx.m_State.m_Counters.m_Unconfirmed++;
    Of.m_MayHaveRun = true;
    sendAgainOrHold(Ctx, Of, false);
    return;
  }
  Answer Said;
  Said.m_Answer = Answered;
  answer(Ctx, Of, std::move(Said));
}

void handle(Context &Ctx, const SendEnded &Event) {
  auto Found = Ctx.m_State.m_Uploads.find(Event.m_Call);
  if (Found == Ctx.m_State.m_Uploads.end())
    return;
  Upload &Of = Found->second;
  Of.m_SendOpen = false;
  Of.m_RetryAfter = std::max(Of.m_RetryAfter, Event.m_RetryAfter);
  switch (Event.m_End) {
  case SendEnd::Answered:
    sendAnswered(Ctx, Of, Event.m_Answer);
    return;
  case SendEnd::NotRun:
    sendAgainOrHold(Ctx, Of, Event.m_RetryAfter > Duration::zero());
    return;
  case SendEnd::Broken:
    Of.m_MayHaveRun = true;
    sendAgainOrHold(Ctx, Of, false);
    return;
  }
}

void handle(Context &Ctx, const DeliveryEnded &Event) {
  deliveryEnded(Ctx, Event);
}

void handle(Context &Ctx, const ReceiptAsked &Event) {
  Upload &New = Ctx.m_State.m_Uploads[Event.m_Call];
  New.m_Arrival.m_Call = Event.m_Call;
  New.m_Phase = UploadPhase::ReadingReceipt;
  records::RequestId Request = ++Ctx.m_State.m_LastRequest;
  Ctx.m_State.m_WaitingCalls[Request] = Event.m_Call;
  Ctx.m_Actions.push_back(
      records::ReadRow{Request, rowKey(Event.m_Service, Event.m_Key)});
}

void answerReceipt(Context &Ctx, Upload &Of, const records::RowRead &Read) {
  Answer Said;
  Said.m_Kind = AnswerKind::NoReceipt;
  if (!Read.m_Reached) {
    Said.m_Kind = AnswerKind::ReceiptUnavailable;
    Said.m_RetryAfter = retryAfter(Ctx.m_State);
  }
  if (Read.m_Row) {
    auto Found = readReceipt(Read.m_Row->m_Value);
    if (Found) {
      Said.m_Kind = AnswerKind::ReceiptFound;
      Said.m_Receipt = std::move(Found).value();
    }
  }
  answer(Ctx, Of, std::move(Said));
}

void handle(Context &Ctx, const DelivererChanged &Event) {
  changeDeliverer(Ctx, Event);
}

void fireTimer(Context &Ctx, Upload &Of) {
  TimePoint Now = Ctx.m_Now.m_Now;
  if (Now >= Of.m_AnswerBy) {
    answerNotTaken(Ctx, Of, AnswerKind::DeadlinePassed);
    return;
  }
  if (Of.m_Phase != UploadPhase::Sending)
    return;
  if (Now >= Of.m_HoldAt)
    startHolding(Ctx, Of);
  else if (Of.m_SendAt && Now >= *Of.m_SendAt)
    send(Ctx, Of);
}

void handle(Context &Ctx, const Woke &) {
  auto &Timers = Ctx.m_State.m_Timers;
  while (!Timers.empty() && Timers.begin()->first <= Ctx.m_Now.m_Now) {
    CallId Call = Timers.begin()->second;
    Timers.erase(Timers.begin());
    auto Found = Ctx.m_State.m_Uploads.find(Call);
    if (Found != Ctx.m_State.m_Uploads.end())
      fireTimer(Ctx, Found->second);
  }
}

/// Takes the call that waits for a request; none if it was answered since.
Upload *takeCall(UploadState &State, records::RequestId Request) {
  auto Node = State.m_WaitingCalls.extract(Request);
  if (!Node)
    return nullptr;
  auto Found = State.m_Uploads.find(Node.mapped());
  if (Found == State.m_Uploads.end())
    return nullptr;
  Found->second.m_Request = 0;
  return &Found->second;
}

std::optional<DeliveryId> takeDelivery(UploadState &State,
                                       records::RequestId Request) {
  auto Node = State.m_WaitingDeliveries.extract(Request);
  return Node ? std::optional(Node.mapped()) : std::nullopt;
}

void handle(Context &Ctx, const records::RowRead &Event) {
  if (auto Id = takeDelivery(Ctx.m_State, Event.m_Request))
    receiptRead(Ctx, *Id, Event);
  else if (Upload *Of = takeCall(Ctx.m_State, Event.m_Request)) {
    if (Of->m_Phase == UploadPhase::ReadingReceipt)
      answerReceipt(Ctx, *Of, Event);
    else
      holdChecked(Ctx, *Of, Event);
  }
}

void handle(Context &Ctx, const records::RowsScanned &Event) {
  dueScanned(Ctx, Event);
}

void handle(Context &Ctx, const records::CommitEnded &Event) {
  if (auto Id = takeDelivery(Ctx.m_State, Event.m_Request))
    deliveryCommitted(Ctx, *Id, Event.m_End);
  else if (Upload *Of = takeCall(Ctx.m_State, Event.m_Request))
    holdCommitted(Ctx, *Of, Event.m_End);
}

void handle(Context &Ctx, const records::ObjectEnded &Event) {
  if (auto Object = Ctx.m_State.m_Abandoned.extract(Event.m_Request))
    Ctx.m_Actions.push_back(records::RemoveObject{Object.mapped()});
  if (auto Id = takeDelivery(Ctx.m_State, Event.m_Request))
    bodyFetched(Ctx, *Id, Event);
  else if (Upload *Of = takeCall(Ctx.m_State, Event.m_Request))
    bodyStored(Ctx, *Of, Event);
}

void scheduleWake(Context &Ctx) {
  UploadState &State = Ctx.m_State;
  std::optional<TimePoint> Next = nextScan(State);
  if (!State.m_Timers.empty()) {
    TimePoint First = State.m_Timers.begin()->first;
    Next = Next ? std::min(*Next, First) : First;
  }
  if (!Next || State.m_WakeAt == Next)
    return;
  State.m_WakeAt = Next;
  Ctx.m_Actions.push_back(WakeAt{*Next});
}

void clearTimers(Context &Ctx, const Upload &Of) {
  CallId Call = Of.m_Arrival.m_Call;
  Ctx.m_State.m_Timers.erase({Of.m_HoldAt, Call});
  Ctx.m_State.m_Timers.erase({Of.m_AnswerBy, Call});
  if (Of.m_SendAt)
    Ctx.m_State.m_Timers.erase({*Of.m_SendAt, Call});
}

} // namespace

void answer(Context &Ctx, Upload &Of, Answer Said) {
  HYSSOPCROSS_INVARIANT(!saysNotRun(Said.m_Kind) || !Of.m_MayHaveRun,
                        "not-run is not said of an upload that may be stored");
  HYSSOPCROSS_INVARIANT(!saysNotRun(Said.m_Kind) || !Of.m_MayBeHeld,
                        "not-run is not said of an upload that may be held");
  Said.m_Call = Of.m_Arrival.m_Call;
  Ctx.m_Actions.push_back(std::move(Said));
  if (Of.m_Phase == UploadPhase::Storing && Of.m_Request != 0)
    Ctx.m_State.m_Abandoned[Of.m_Request] = Of.m_ObjectKey;
  clearTimers(Ctx, Of);
  CallId Call = Of.m_Arrival.m_Call;
  Ctx.m_State.m_Uploads.erase(Call);
}

void answerNotTaken(Context &Ctx, Upload &Of, AnswerKind NotRunKind) {
  bool RowOpen = Of.m_Phase == UploadPhase::Recording && Of.m_Request != 0;
  bool Certain =
      !Of.m_MayHaveRun && !Of.m_MayBeHeld && !Of.m_SendOpen && !RowOpen;
  Answer Said;
  Said.m_Kind = Certain ? NotRunKind : AnswerKind::Unresolved;
  bool IsFinal = Said.m_Kind == AnswerKind::NoKey ||
                 Said.m_Kind == AnswerKind::OtherUpload;
  if (!IsFinal)
    Said.m_RetryAfter = std::max(Of.m_RetryAfter, retryAfter(Ctx.m_State));
  answer(Ctx, Of, std::move(Said));
}

std::string identityOf(const UploadState &State, const UploadHead &Head,
                       std::string_view Distinct) {
  if (State.m_Policy.m_SameIdentity)
    return Head.m_Key;
  return Head.m_Key + "#" + State.m_Process + "." + std::string(Distinct);
}

Duration retryAfter(UploadState &State) {
  std::uniform_real_distribution<double> Jitter(1.0, 1.5);
  return std::chrono::duration_cast<Duration>(State.m_Policy.m_RetryAfter *
                                              Jitter(State.m_Random));
}

Verdict judge(const UploadState &State, const UploadHead &Head,
              const ServerAnswer &Answer) {
  constexpr uint16_t FirstSuccess = 200;
  constexpr uint16_t FirstRedirect = 300;
  constexpr uint16_t FirstServerFault = 500;
  if (Answer.m_Status >= FirstServerFault || Answer.m_Status < FirstSuccess)
    return Verdict::Unconfirmed;
  if (Answer.m_Status >= FirstRedirect)
    return Verdict::RefusedForGood;
  bool Matches = Answer.m_StoredDigest == Head.m_Digest &&
                 Answer.m_StoredLength == Head.m_Length;
  bool Confirmed = Matches || !State.m_Policy.m_CheckReceipt;
  return Confirmed ? Verdict::Stored : Verdict::Unconfirmed;
}

void step(UploadState &State, const Event &Event, const records::Instant &Now,
          std::vector<Action> &Actions) {
  Context Ctx{State, Now, Actions};
  if (std::holds_alternative<Woke>(Event))
    State.m_WakeAt.reset();
  std::visit([&](const auto &Value) { handle(Ctx, Value); }, Event);
  startScans(Ctx);
  scheduleWake(Ctx);
  HYSSOPCROSS_INVARIANT(State.m_Timers.size() <= 3 * State.m_Uploads.size(),
                        "calls that are answered leave no timers");
}

std::string rowKey(std::string_view Service, std::string_view Key) {
  return "upload/" + std::string(Service) + "/" + std::string(Key);
}

const char *heldStateName(HeldState State) {
  switch (State) {
  case HeldState::Held:
    return "held";
  case HeldState::Delivered:
    return "delivered";
  case HeldState::Rejected:
    return "rejected";
  }
  return "held";
}

} // namespace hyssopcross::uploads
