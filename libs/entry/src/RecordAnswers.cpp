#include "RecordAnswers.h"
#include "hyssopcross/protocol/Headers.h"
#include "hyssopcross/uploads/Uploads.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::entry {

using protocol::Outcome;

namespace {

/// The least time to wait before a result that is unknown is asked for again.
constexpr Duration UnknownRetryAfter = std::chrono::milliseconds(500);

CallerAnswer answerUnknown(unsigned Status, Duration RetryAfter) {
  CallerAnswer Unknown =
      refusedAnswer(Status, "result-unknown",
                    "The request may have run; ask again under the same key.",
                    std::max(RetryAfter, UnknownRetryAfter));
  Unknown.m_Outcome = Outcome::Unknown;
  return Unknown;
}

/// A completed answer with a body and its digest.
CallerAnswer answerWith(unsigned Status, const std::string &ContentType,
                        const std::string &Body) {
  CallerAnswer Completed;
  Completed.m_Outcome = Outcome::Completed;
  Completed.m_Status = Status;
  if (!ContentType.empty())
    Completed.m_Headers.emplace_back("Content-Type", ContentType);
  Completed.m_Headers.emplace_back(protocol::ContentDigestHeader,
                                   protocol::contentDigest(Body));
  Completed.m_Body = Body;
  return Completed;
}

CallerAnswer answerReceipt(unsigned Status, const uploads::Receipt &Receipt) {
  nlohmann::json Document = {{"service", Receipt.m_Head.m_Service},
                             {"key", Receipt.m_Head.m_Key},
                             {"state", uploads::heldStateName(Receipt.m_State)},
                             {"digest", Receipt.m_Head.m_Digest},
                             {"length", Receipt.m_Head.m_Length},
                             {"status", Receipt.m_Status}};
  return answerWith(Status, "application/json", Document.dump());
}

} // namespace

CallerAnswer answerMoney(const claims::Answer &Answer) {
  using claims::AnswerKind;
  switch (Answer.m_Kind) {
  case AnswerKind::Completed:
  case AnswerKind::Recorded:
    return answerWith(Answer.m_Answer.m_Status, Answer.m_Answer.m_ContentType,
                      Answer.m_Answer.m_Body);
  case AnswerKind::NoKey:
    return originatedAnswer(400, Outcome::NotRun, "no-idempotency-key",
                            "The idempotency key is missing or unusable.");
  case AnswerKind::OtherRequest:
    return originatedAnswer(422, Outcome::NotRun, "key-reused",
                            "The idempotency key names another request.");
  case AnswerKind::StoreDown:
    return refusedAnswer(503, "store-down",
                         "The request can't be recorded now.",
                         Answer.m_RetryAfter);
  case AnswerKind::Refused:
    return refusedAnswer(503, "overloaded",
                         "The service has no free capacity in time.",
                         Answer.m_RetryAfter);
  case AnswerKind::DeadlinePassed:
    return refusedAnswer(504, "deadline-passed",
                         "The deadline passed before the request was sent.",
                         Answer.m_RetryAfter);
  case AnswerKind::InProgress:
    return answerUnknown(409, Answer.m_RetryAfter);
  case AnswerKind::TimedOut:
    return answerUnknown(504, Answer.m_RetryAfter);
  case AnswerKind::Unresolved:
    return answerUnknown(503, Answer.m_RetryAfter);
  case AnswerKind::Broken:
    break;
  }
  return answerUnknown(502, Answer.m_RetryAfter);
}

CallerAnswer answerUpload(const uploads::Answer &Answer) {
  using uploads::AnswerKind;
  switch (Answer.m_Kind) {
  case AnswerKind::Answered:
    return answerWith(Answer.m_Answer.m_Status, Answer.m_Answer.m_ContentType,
                      Answer.m_Answer.m_Body);
  case AnswerKind::Held:
    return answerReceipt(202, Answer.m_Receipt.value());
  case AnswerKind::ReceiptFound:
    return answerReceipt(200, Answer.m_Receipt.value());
  case AnswerKind::NoReceipt:
    return originatedAnswer(404, Outcome::NotRun, "no-receipt",
                            "Nothing was held under this key.");
  case AnswerKind::ReceiptUnavailable:
    return refusedAnswer(503, "store-down", "The receipt can't be read now.",
                         Answer.m_RetryAfter);
  case AnswerKind::NoKey:
    return originatedAnswer(400, Outcome::NotRun, "no-idempotency-key",
                            "The idempotency key is missing or unusable.");
  case AnswerKind::OtherUpload:
    return originatedAnswer(422, Outcome::NotRun, "key-reused",
                            "The idempotency key names another upload.");
  case AnswerKind::Refused:
    return refusedAnswer(503, "overloaded",
                         "No backend server took the upload and it could not "
                         "be held.",
                         Answer.m_RetryAfter);
  case AnswerKind::DeadlinePassed:
    return refusedAnswer(504, "deadline-passed",
                         "The deadline passed before the upload was sent.",
                         Answer.m_RetryAfter);
  case AnswerKind::Unresolved:
    break;
  }
  return answerUnknown(503, Answer.m_RetryAfter);
}

} // namespace hyssopcross::entry
