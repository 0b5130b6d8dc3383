#include "hyssopcross/uploads/Answers.h"
#include "hyssopcross/uploads/Uploads.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::uploads {

AnswerText describe(AnswerKind Kind) {
  using protocol::Outcome;
  switch (Kind) {
  case AnswerKind::Answered:
    return {0, Outcome::Completed, "", ""};
  case AnswerKind::Held:
    return {202, Outcome::Completed, "held",
            "the upload is held and will be delivered; ask for its receipt"};
  case AnswerKind::NoKey:
    return {400, Outcome::NotRun, "missing-idempotency-key",
            "the Idempotency-Key header must be 1 to 200 visible ASCII "
            "characters"};
  case AnswerKind::OtherUpload:
    return {422, Outcome::NotRun, "idempotency-key-reused",
            "the idempotency key names another upload"};
  case AnswerKind::Refused:
    return {503, Outcome::NotRun, "overloaded",
            "no backend server can take the upload now and it cannot be held"};
  case AnswerKind::DeadlinePassed:
    return {504, Outcome::NotRun, "deadline-passed",
            "the deadline passed before the upload was sent"};
  case AnswerKind::Unresolved:
    return {503, Outcome::Unknown, "unresolved",
            "the upload may or may not be stored; repeat with the same key"};
  case AnswerKind::ReceiptFound:
    return {200, Outcome::Completed, "receipt", "the upload was held"};
  case AnswerKind::NoReceipt:
    return {404, Outcome::Completed, "no-receipt",
            "no upload was held under the key"};
  case AnswerKind::ReceiptUnavailable:
    return {503, Outcome::NotRun, "store-unavailable",
            "the receipt cannot be read now"};
  }
  return {};
}

std::string receiptJson(const Receipt &Value) {
  using Json = nlohmann::ordered_json;
  auto HeldAt = std::chrono::duration_cast<std::chrono::milliseconds>(
      Value.m_HeldAt.time_since_epoch());
  Json Body = {{"service", Value.m_Head.m_Service},
               {"key", Value.m_Head.m_Key},
               {"state", heldStateName(Value.m_State)},
               {"server_status", Value.m_Status},
               {"digest", Value.m_Head.m_Digest},
               {"length", Value.m_Head.m_Length},
               {"held_at_ms", HeldAt.count()}};
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace hyssopcross::uploads
