#ifndef HYSSOPCROSS_UPLOADS_EVENTS_H
#define HYSSOPCROSS_UPLOADS_EVENTS_H

#include "hyssopcross/records/Store.h"
#include <variant>

namespace hyssopcross::uploads {

/// Identifies a call within the process. The host assigns it and does not
/// reuse it.
using CallId = uint64_t;

/// Identifies the delivery of a held upload within the process.
using DeliveryId = uint64_t;

/// What makes an upload apart from its body.
struct UploadHead {
  std::string m_Service;
  /// The caller's idempotency key: the identity of the upload for good.
  std::string m_Key;
  std::string m_Method;
  std::string m_Path;
  std::string m_ContentType;
  /// The digest of the body, as in the Content-Digest header, and its length
  /// in bytes.
  std::string m_Digest;
  uint64_t m_Length = 0;

  friend bool operator==(const UploadHead &, const UploadHead &) = default;
};

/// What a backend server answered. A success counts only with the digest and
/// the length of what it stored.
struct ServerAnswer {
  uint16_t m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
  std::string m_StoredDigest;
  uint64_t m_StoredLength = 0;
};

// Events, from the host. The store's answers are records::RowRead,
// RowsScanned, CommitEnded and ObjectEnded.

/// An upload has been received whole; its body matches its digest. The host
/// keeps the body until the call is answered and no HoldBody is open.
struct UploadArrived {
  CallId m_Call = 0;
  UploadHead m_Head;
  WallTime m_Deadline;
};

/// How sending an upload to a backend server ended.
enum class SendEnd {
  /// A whole, matching answer arrived.
  Answered,
  /// Proof that it did not run; also if the pool refused it.
  NotRun,
  /// It was sent and no whole answer arrived.
  Broken,
};

/// A SendUpload has ended. RetryAfter is the pool's, if it refused the call.
struct SendEnded {
  CallId m_Call = 0;
  SendEnd m_End = SendEnd::Answered;
  ServerAnswer m_Answer;
  Duration m_RetryAfter{};
};

/// A DeliverUpload has ended.
struct DeliveryEnded {
  DeliveryId m_Delivery = 0;
  SendEnd m_End = SendEnd::Answered;
  ServerAnswer m_Answer;
};

/// A caller asks what became of an upload that was held.
struct ReceiptAsked {
  CallId m_Call = 0;
  std::string m_Service;
  std::string m_Key;
};

/// Whether this process delivers the service's held uploads. The host sets it
/// for the owner of one pool; more than one is harmless.
struct DelivererChanged {
  std::string m_Service;
  bool m_Deliver = false;
};

/// The time named by the last WakeAt action has come.
struct Woke {};

using Event =
    std::variant<UploadArrived, SendEnded, DeliveryEnded, ReceiptAsked,
                 DelivererChanged, Woke, records::RowRead, records::RowsScanned,
                 records::CommitEnded, records::ObjectEnded>;

// Actions, to the host.

/// Put the call to the pool, under this identity towards the backend server,
/// which stores an identity once. Answered with SendEnded.
struct SendUpload {
  CallId m_Call = 0;
  std::string m_Identity;
};

/// Put the call's body into the object store. Answered with
/// records::ObjectEnded.
struct HoldBody {
  records::RequestId m_Request = 0;
  CallId m_Call = 0;
  std::string m_ObjectKey;
};

/// Send a held upload to a backend server. Answered with DeliveryEnded.
struct DeliverUpload {
  DeliveryId m_Delivery = 0;
  UploadHead m_Head;
  std::string m_Identity;
  std::string m_Body;
};

/// Where an upload that was held stands.
enum class HeldState { Held, Delivered, Rejected };

/// What is recorded about an upload that was held.
struct Receipt {
  HeldState m_State = HeldState::Held;
  UploadHead m_Head;
  /// The status of the backend server that took or rejected it; zero before.
  uint16_t m_Status = 0;
  WallTime m_HeldAt;
  std::string m_ObjectKey;
};

/// What the caller is told. docs/CALLERS.md gives status code and outcome.
enum class AnswerKind {
  /// 'completed': the backend server's own answer; a success was confirmed.
  Answered,
  /// 202 'completed': held for sure, and delivered later; ask for the receipt.
  Held,
  /// 400 'not-run': no idempotency key, or an unusable one.
  NoKey,
  /// 422 'not-run': the key names an upload with another body.
  OtherUpload,
  /// 503 'not-run': no backend server took it and it could not be held.
  Refused,
  /// 504 'not-run': the deadline passed before it was sent or held.
  DeadlinePassed,
  /// 503 'unknown': it may have been stored or held; send it again.
  Unresolved,
  /// 200: the receipt that was asked for.
  ReceiptFound,
  /// 404: nothing was held under the key.
  NoReceipt,
  /// 503: the receipt cannot be read now.
  ReceiptUnavailable,
};

/// Answer the caller now; the call's only answer.
struct Answer {
  CallId m_Call = 0;
  AnswerKind m_Kind = AnswerKind::Answered;
  /// Set for Answered.
  ServerAnswer m_Answer;
  /// Set for Held and ReceiptFound.
  std::optional<Receipt> m_Receipt;
  /// When the caller should come back; zero for answers that are final.
  Duration m_RetryAfter{};
};

/// Send Woke at this time. Replaces an earlier WakeAt.
struct WakeAt {
  TimePoint m_Time;
};

using Action =
    std::variant<SendUpload, HoldBody, DeliverUpload, Answer, WakeAt,
                 records::ReadRow, records::ScanRows, records::CommitRows,
                 records::GetObject, records::RemoveObject>;

} // namespace hyssopcross::uploads

#endif
