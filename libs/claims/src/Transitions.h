#ifndef HYSSOPCROSS_CLAIMS_TRANSITIONS_H
#define HYSSOPCROSS_CLAIMS_TRANSITIONS_H

#include "ClaimRow.h"
#include "hyssopcross/claims/Claims.h"

namespace hyssopcross::claims {

/// One step: the state, the instant, and the actions so far.
struct Context {
  ClaimState &m_State;
  const records::Instant &m_Now;
  std::vector<Action> &m_Actions;
};

// Answering and forgetting (Transitions.cpp).

/// Answers the caller; not twice, and not 'not-run' after a send that may have
/// run.
void answer(Context &Ctx, Claim &Of, AnswerKind Kind, Duration RetryAfter);
/// Refuses a call whose claim certainly does not exist.
void refuseUnclaimed(Context &Ctx, Claim &Of, AnswerKind Kind);
/// Forgets the claim; its row stays as it is.
void forget(Context &Ctx, CallId Call);
/// The usual Retry-After, jittered.
Duration retryAfter(ClaimState &State);

// The claim before the send (Transitions.cpp).

void claimWriteEnded(Context &Ctx, Claim &Of, records::CommitEnd End);
void checkRead(Context &Ctx, Claim &Of, const records::RowRead &Read);
void recordedFetched(Context &Ctx, Claim &Of, const records::ObjectEnded &End);
/// Answers from a row that belongs to another attempt, or claims it anew if
/// that attempt released it.
void resolveForeignRow(Context &Ctx, Claim &Of, const ClaimRow &Row,
                       uint64_t Version);

// After the send (Results.cpp).

void startRecording(Context &Ctx, Claim &Of);
void resultStored(Context &Ctx, Claim &Of, const records::ObjectEnded &End);
void recordingRead(Context &Ctx, Claim &Of, const records::RowRead &Read);
void recordingWriteEnded(Context &Ctx, Claim &Of, records::CommitEnd End);

// Instead of the send (Withdrawals.cpp).

/// Withdraws a claim that was not sent; the caller is told Kind when the
/// withdrawal took effect.
void startWithdrawal(Context &Ctx, Claim &Of, AnswerKind Kind,
                     Duration RetryAfter);
void withdrawalRead(Context &Ctx, Claim &Of, const records::RowRead &Read);
void withdrawalWriteEnded(Context &Ctx, Claim &Of, records::CommitEnd End);

// Requests to the store (Requests.cpp).

void readOwnRow(Context &Ctx, Claim &Of);
void queueWrite(Context &Ctx, Claim &Of, Duration Window);
void unqueueWrite(Context &Ctx, Claim &Of);
void putResult(Context &Ctx, Claim &Of);
void fetchRecorded(Context &Ctx, Claim &Of, std::string_view ObjectKey);
/// Tries the claim's current request again after a growing pause; forgets the
/// claim once it has been tried for too long.
void retryLater(Context &Ctx, Claim &Of);
void setTimer(Context &Ctx, const Claim &Of, TimePoint At);
/// Removes the claim's timers.
void clearTimers(Context &Ctx, const Claim &Of);
/// Sends what is queued and due, as far as transactions are free.
void flushQueue(Context &Ctx);

// Expired rows (Sweep.cpp).

void changeSweeper(Context &Ctx, const SweeperChanged &Change);
void startScans(Context &Ctx);
bool sweepScanned(Context &Ctx, const records::RowsScanned &Scanned);
bool sweepCommitted(Context &Ctx, const records::CommitEnded &Ended);
std::optional<TimePoint> nextScan(const ClaimState &State);

} // namespace hyssopcross::claims

#endif
