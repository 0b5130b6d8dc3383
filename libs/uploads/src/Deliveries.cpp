#include "Transitions.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::uploads {

namespace {

Delivery &find(Context &Ctx, DeliveryId Id) {
  auto Found = Ctx.m_State.m_Deliveries.find(Id);
  HYSSOPCROSS_INVARIANT(Found != Ctx.m_State.m_Deliveries.end(),
                        "a delivery is open until its last request ends");
  return Found->second;
}

/// Leaves the upload to a later look at the rows.
void drop(Context &Ctx, DeliveryId Id) { Ctx.m_State.m_Deliveries.erase(Id); }

records::RequestId awaitRequest(Context &Ctx, DeliveryId Id) {
  records::RequestId Request = ++Ctx.m_State.m_LastRequest;
  Ctx.m_State.m_WaitingDeliveries[Request] = Id;
  return Request;
}

void commit(Context &Ctx, DeliveryId Id, std::vector<store::Write> Writes) {
  find(Ctx, Id).m_Committing = true;
  Ctx.m_Actions.push_back(
      records::CommitRows{awaitRequest(Ctx, Id), std::move(Writes)});
}

bool isOpen(const UploadState &State, const std::string &Service,
            const std::string &Key) {
  for (const auto &[Id, Each] : State.m_Deliveries)
    if (Each.m_Service == Service && Each.m_Key == Key)
      return true;
  return false;
}

void startDelivery(Context &Ctx, const std::string &Service,
                   const std::string &DueKey, const store::Row &Row) {
  auto Due = dueTime(Service, DueKey);
  auto Value = readDueRow(Row.m_Value);
  if (!Due || !Value || *Due > Ctx.m_Now.m_Wall ||
      isOpen(Ctx.m_State, Service, Value.value().m_Key))
    return;
  DeliveryId Id = ++Ctx.m_State.m_LastDelivery;
  Delivery &New = Ctx.m_State.m_Deliveries[Id];
  New.m_Service = Service;
  New.m_Key = Value.value().m_Key;
  New.m_DueKey = DueKey;
  New.m_DueVersion = Row.m_Version;
  New.m_Tries = Value.value().m_Tries;
  Ctx.m_Actions.push_back(
      records::ReadRow{awaitRequest(Ctx, Id), rowKey(Service, New.m_Key)});
}

/// The receipt has been kept long enough, or there is none.
void forgetReceipt(Context &Ctx, DeliveryId Id, bool HasRow) {
  Delivery &Of = find(Ctx, Id);
  std::vector<store::Write> Writes = {
      {Of.m_DueKey, Of.m_DueVersion, std::nullopt}};
  if (HasRow)
    Writes.push_back(
        {rowKey(Of.m_Service, Of.m_Key), Of.m_RowVersion, std::nullopt});
  Of.m_Obsolete = Of.m_Receipt.m_ObjectKey;
  commit(Ctx, Id, std::move(Writes));
}

/// Moves the due row to a later instant, after a pause that grows.
void deliverLater(Context &Ctx, DeliveryId Id) {
  Delivery &Of = find(Ctx, Id);
  const UploadPolicy &Policy = Ctx.m_State.m_Policy;
  constexpr uint32_t MaxDoublings = 10;
  Duration Pause =
      Policy.m_DeliveryPause * (1U << std::min(Of.m_Tries, MaxDoublings));
  WallTime Due = Ctx.m_Now.m_Wall + std::min(Pause, Policy.m_DeliveryPauseMax);
  std::string NewKey = dueRowKey(Of.m_Service, Due, Of.m_Key);
  if (NewKey == Of.m_DueKey) {
    drop(Ctx, Id);
    return;
  }
  commit(Ctx, Id,
         {{Of.m_DueKey, Of.m_DueVersion, std::nullopt},
          {NewKey, 0, writeDueRow({Of.m_Key, Of.m_Tries + 1})}});
}

void recordEnd(Context &Ctx, DeliveryId Id, HeldState State,
               const ServerAnswer &Answered) {
  Delivery &Of = find(Ctx, Id);
  Of.m_Receipt.m_State = State;
  Of.m_Receipt.m_Status = Answered.m_Status;
  if (State == HeldState::Delivered) {
    Ctx.m_State.m_Counters.m_Delivered++;
    Of.m_Obsolete = Of.m_Receipt.m_ObjectKey;
    Of.m_Receipt.m_ObjectKey.clear();
  }
  WallTime Expiry = Ctx.m_Now.m_Wall + Ctx.m_State.m_Policy.m_Retention;
  commit(Ctx, Id,
         {{rowKey(Of.m_Service, Of.m_Key), Of.m_RowVersion,
           writeReceipt(Of.m_Receipt)},
          {Of.m_DueKey, Of.m_DueVersion, std::nullopt},
          {dueRowKey(Of.m_Service, Expiry, Of.m_Key), 0,
           writeDueRow({Of.m_Key, 0})}});
}

} // namespace

void changeDeliverer(Context &Ctx, const DelivererChanged &Change) {
  if (!Change.m_Deliver) {
    Ctx.m_State.m_Scans.erase(Change.m_Service);
    return;
  }
  auto [Entry, New] = Ctx.m_State.m_Scans.try_emplace(Change.m_Service);
  if (New)
    Entry->second.m_NextScan = Ctx.m_Now.m_Now;
}

void startScans(Context &Ctx) {
  for (auto &[Service, Scan] : Ctx.m_State.m_Scans) {
    if (Scan.m_Request != 0 || Scan.m_NextScan > Ctx.m_Now.m_Now)
      continue;
    Scan.m_Request = ++Ctx.m_State.m_LastRequest;
    Scan.m_NextScan = Ctx.m_Now.m_Now + Ctx.m_State.m_Policy.m_ScanPause;
    Ctx.m_Actions.push_back(records::ScanRows{
        Scan.m_Request, duePrefix(Service), Ctx.m_State.m_Policy.m_ScanRows});
  }
}

void dueScanned(Context &Ctx, const records::RowsScanned &Scanned) {
  UploadState &State = Ctx.m_State;
  for (auto &[Service, Scan] : State.m_Scans) {
    if (Scan.m_Request != Scanned.m_Request)
      continue;
    Scan.m_Request = 0;
    for (const auto &[DueKey, Row] : Scanned.m_Rows)
      if (State.m_Deliveries.size() < State.m_Policy.m_MaxDeliveries)
        startDelivery(Ctx, Service, DueKey, Row);
    return;
  }
}

void receiptRead(Context &Ctx, DeliveryId Id, const records::RowRead &Read) {
  if (!Read.m_Reached) {
    drop(Ctx, Id);
    return;
  }
  if (!Read.m_Row) {
    forgetReceipt(Ctx, Id, false);
    return;
  }
  auto Found = readReceipt(Read.m_Row->m_Value);
  if (!Found) {
    drop(Ctx, Id);
    return;
  }
  Delivery &Of = find(Ctx, Id);
  Of.m_RowVersion = Read.m_Row->m_Version;
  Of.m_Receipt = std::move(Found).value();
  if (Of.m_Receipt.m_State != HeldState::Held) {
    forgetReceipt(Ctx, Id, true);
    return;
  }
  Ctx.m_Actions.push_back(
      records::GetObject{awaitRequest(Ctx, Id), Of.m_Receipt.m_ObjectKey});
}

void bodyFetched(Context &Ctx, DeliveryId Id, const records::ObjectEnded &End) {
  Delivery &Of = find(Ctx, Id);
  if (End.m_End != records::ObjectEnd::Done ||
      End.m_Body.size() != Of.m_Receipt.m_Head.m_Length) {
    deliverLater(Ctx, Id);
    return;
  }
  std::string Distinct = "held" + std::to_string(Of.m_Tries);
  Ctx.m_Actions.push_back(DeliverUpload{
      Id, Of.m_Receipt.m_Head,
      identityOf(Ctx.m_State, Of.m_Receipt.m_Head, Distinct), End.m_Body});
}

void deliveryEnded(Context &Ctx, const DeliveryEnded &Ended) {
  Delivery &Of = find(Ctx, Ended.m_Delivery);
  HYSSOPCROSS_INVARIANT(!Of.m_Committing, "a delivery ends once");
  Verdict Judged = Verdict::Unconfirmed;
  if (Ended.m_End == SendEnd::Answered)
    Judged = judge(Ctx.m_State, Of.m_Receipt.m_Head, Ended.m_Answer);
  switch (Judged) {
  case Verdict::Stored:
    recordEnd(Ctx, Ended.m_Delivery, HeldState::Delivered, Ended.m_Answer);
    return;
  case Verdict::RefusedForGood:
    recordEnd(Ctx, Ended.m_Delivery, HeldState::Rejected, Ended.m_Answer);
    return;
  case Verdict::Unconfirmed:
    deliverLater(Ctx, Ended.m_Delivery);
    return;
  }
}

void deliveryCommitted(Context &Ctx, DeliveryId Id, records::CommitEnd End) {
  // If it is not certain, a later look at the rows finds out.
  const Delivery &Of = find(Ctx, Id);
  if (End == records::CommitEnd::Committed && !Of.m_Obsolete.empty())
    Ctx.m_Actions.push_back(records::RemoveObject{Of.m_Obsolete});
  drop(Ctx, Id);
}

std::optional<TimePoint> nextScan(const UploadState &State) {
  std::optional<TimePoint> Next;
  for (const auto &[Service, Scan] : State.m_Scans)
    if (Scan.m_Request == 0)
      Next = Next ? std::min(*Next, Scan.m_NextScan) : Scan.m_NextScan;
  return Next;
}

} // namespace hyssopcross::uploads
