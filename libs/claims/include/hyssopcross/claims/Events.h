#ifndef HYSSOPCROSS_CLAIMS_EVENTS_H
#define HYSSOPCROSS_CLAIMS_EVENTS_H

#include "hyssopcross/records/Store.h"
#include <variant>

namespace hyssopcross::claims {

/// Identifies a call within the process. The host assigns it and does not
/// reuse it.
using CallId = uint64_t;

/// An answer of a backend server, as it is recorded under its claim.
struct RecordedAnswer {
  uint16_t m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;

  friend bool operator==(const RecordedAnswer &,
                         const RecordedAnswer &) = default;
};

// Events, from the host. The store's answers are records::RowRead,
// RowsScanned, CommitEnded and ObjectEnded.

/// A request of a money service wants to run.
struct MoneyArrived {
  CallId m_Call = 0;
  std::string m_Service;
  /// The caller's idempotency key; empty if it sent none.
  std::string m_Key;
  /// Digest over everything that makes the request: method, path and body.
  std::string m_Digest;
  WallTime m_Deadline;
  /// Set if the caller says that it sent this key before: a refusal then
  /// cannot promise that the key did not run, unless its row was read.
  bool m_Repeat = false;
};

/// The host is about to send the call to a backend server. Answered within
/// the same step with AllowSend or DenySend.
struct SendAsked {
  CallId m_Call = 0;
};

/// How a send that was allowed has ended.
enum class SendEnd {
  /// A whole, matching answer arrived.
  Completed,
  /// Proof that the request did not run: not a byte of it left, or the server
  /// refused it by contract.
  NotRun,
  /// It was sent and no whole answer arrived.
  Broken,
};

/// A send that was allowed has ended. The answer is set if it completed.
struct SendEnded {
  CallId m_Call = 0;
  SendEnd m_End = SendEnd::Completed;
  RecordedAnswer m_Answer;
};

/// The pool refused the call, so it will not be sent again. RetryAfter is the
/// pool's.
struct CallRefused {
  CallId m_Call = 0;
  Duration m_RetryAfter{};
};

/// Whether this process removes the service's expired claims. The host sets it
/// for one process per service, for example the owner of the first pool; more
/// than one is harmless.
struct SweeperChanged {
  std::string m_Service;
  bool m_Sweep = false;
};

/// The time named by the last WakeAt action has come.
struct Woke {};

using Event =
    std::variant<MoneyArrived, SendAsked, SendEnded, CallRefused,
                 SweeperChanged, Woke, records::RowRead, records::RowsScanned,
                 records::CommitEnded, records::ObjectEnded>;

// Actions, to the host.

/// The claim is recorded: put the call to the pool. It asks with SendAsked
/// right before each send.
struct StartCall {
  CallId m_Call = 0;
};

/// The send may go out now. The host answers with SendEnded.
struct AllowSend {
  CallId m_Call = 0;
  /// Identifies the claim towards the backend server and in logs.
  std::string m_Attempt;
};

/// The send must not go out. The call's answer follows; take it out of the
/// pool.
struct DenySend {
  CallId m_Call = 0;
};

/// What the caller is told. Each kind has one status code and outcome, see
/// docs/CALLERS.md.
enum class AnswerKind {
  /// 'completed': the answer of this call's own send.
  Completed,
  /// 'completed': the answer recorded by an earlier call under the key.
  Recorded,
  /// 400 'not-run': the request has no idempotency key, or an unusable one.
  NoKey,
  /// 422 'not-run': the key names a request with another digest.
  OtherRequest,
  /// 409 'unknown': a claim without a result; it may have run or still run.
  InProgress,
  /// 503 'not-run': the store cannot record the claim now.
  StoreDown,
  /// 503 'not-run': the pool refused the call, or too many claims are open.
  Refused,
  /// 504 'not-run': the deadline passed before anything was sent.
  DeadlinePassed,
  /// 502 'unknown': sent, and no whole answer arrived.
  Broken,
  /// 504 'unknown': sent, and no answer within the deadline.
  TimedOut,
  /// 503 'unknown': not sent, but the claim could not be withdrawn, or an
  /// earlier request under the key could not be ruled out.
  Unresolved,
};

/// Answer the caller now; the call's only answer.
struct Answer {
  CallId m_Call = 0;
  AnswerKind m_Kind = AnswerKind::Completed;
  /// Set for Completed and Recorded.
  RecordedAnswer m_Answer;
  /// When the caller should come back; zero for answers that are final.
  Duration m_RetryAfter{};
};

/// Send Woke at this time. Replaces an earlier WakeAt.
struct WakeAt {
  TimePoint m_Time;
};

using Action =
    std::variant<StartCall, AllowSend, DenySend, Answer, WakeAt,
                 records::ReadRow, records::ScanRows, records::CommitRows,
                 records::PutObject, records::GetObject, records::RemoveObject>;

} // namespace hyssopcross::claims

#endif
