#ifndef HYSSOPCROSS_UPLOADS_TRANSITIONS_H
#define HYSSOPCROSS_UPLOADS_TRANSITIONS_H

#include "ReceiptRow.h"
#include "hyssopcross/uploads/Uploads.h"

namespace hyssopcross::uploads {

/// One step: the state, the instant, and the actions so far.
struct Context {
  UploadState &m_State;
  const records::Instant &m_Now;
  std::vector<Action> &m_Actions;
};

/// The identity of an upload towards backend servers.
std::string identityOf(const UploadState &State, const UploadHead &Head,
                       std::string_view Distinct);

/// The usual Retry-After, jittered.
Duration retryAfter(UploadState &State);

/// Whether an answer confirms that the whole body was stored, or is a final
/// refusal by the backend server.
enum class Verdict { Stored, RefusedForGood, Unconfirmed };
Verdict judge(const UploadState &State, const UploadHead &Head,
              const ServerAnswer &Answer);

// Holding (Holding.cpp).

void startHolding(Context &Ctx, Upload &Of);
void bodyStored(Context &Ctx, Upload &Of, const records::ObjectEnded &End);
void holdCommitted(Context &Ctx, Upload &Of, records::CommitEnd End);
void holdChecked(Context &Ctx, Upload &Of, const records::RowRead &Read);

// Answering (Uploads.cpp).

void answer(Context &Ctx, Upload &Of, Answer Said);
/// Answers that nobody took it: 'not-run' if that is certain.
void answerNotTaken(Context &Ctx, Upload &Of, AnswerKind NotRunKind);

// Deliveries of held uploads (Deliveries.cpp).

void changeDeliverer(Context &Ctx, const DelivererChanged &Change);
void startScans(Context &Ctx);
void dueScanned(Context &Ctx, const records::RowsScanned &Scanned);
void receiptRead(Context &Ctx, DeliveryId Id, const records::RowRead &Read);
void bodyFetched(Context &Ctx, DeliveryId Id, const records::ObjectEnded &End);
void deliveryEnded(Context &Ctx, const DeliveryEnded &Ended);
void deliveryCommitted(Context &Ctx, DeliveryId Id, records::CommitEnd End);
std::optional<TimePoint> nextScan(const UploadState &State);

} // namespace hyssopcross::uploads

#endif
