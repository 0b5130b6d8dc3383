#include "hyssopcross/entry/Call.h"
#include "hyssopcross/protocol/Headers.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::entry {

using balancing::AttemptEnd;
using balancing::RefusalReason;
using protocol::Outcome;

namespace {

/// When to come back after a server refused a call or was not reached.
constexpr Duration ServerRetryAfter = std::chrono::milliseconds(250);

int64_t secondsRoundedUp(Duration Time) {
  int64_t Seconds = std::chrono::ceil<std::chrono::seconds>(Time).count();
  return std::max<int64_t>(Seconds, 1);
}

CallerAnswer completedAnswer(backend::ServerAnswer Answer) {
  CallerAnswer Passed;
  Passed.m_Outcome = Outcome::Completed;
  Passed.m_Status = Answer.m_Status;
  for (auto &Header : Answer.m_Headers)
    if (!isHopHeader(Header.first) && Header.first != "Date")
      Passed.m_Headers.push_back(std::move(Header));
  Passed.m_Body = std::move(Answer.m_Body);
  return Passed;
}

} // namespace

CallerAnswer originatedAnswer(unsigned Status, Outcome Result,
                              std::string_view Code, std::string_view Message) {
  CallerAnswer Answer;
  Answer.m_Outcome = Result;
  Answer.m_Status = Status;
  Answer.m_Code = Code;
  Answer.m_Headers.emplace_back("Content-Type", "application/json");
  Answer.m_Body = nlohmann::json{{"code", Code}, {"message", Message}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Answer;
}

CallerAnswer refusedAnswer(unsigned Status, std::string_view Code,
                           std::string_view Message, Duration RetryAfter) {
  CallerAnswer Answer =
      originatedAnswer(Status, Outcome::NotRun, Code, Message);
  auto Milliseconds = std::chrono::ceil<std::chrono::milliseconds>(RetryAfter);
  Answer.m_Headers.emplace_back(protocol::RetryAfterHeader,
                                std::to_string(secondsRoundedUp(RetryAfter)));
  Answer.m_Headers.emplace_back(protocol::RetryAfterMsHeader,
                                std::to_string(Milliseconds.count()));
  return Answer;
}

CallerAnswer answerRefusal(const CallRefused &Refused) {
  Duration RetryAfter = Refused.m_RetryAfter;
  switch (Refused.m_Reason) {
  case RefusalReason::Overloaded:
    return refusedAnswer(503, "overloaded",
                         "The service has no free capacity in time.",
                         RetryAfter);
  case RefusalReason::OverLimit:
    return refusedAnswer(429, "over-limit",
                         "The share or limit of the service is used up.",
                         RetryAfter);
  case RefusalReason::NoServer:
    return refusedAnswer(503, "no-server",
                         "No backend server of the service is in service.",
                         RetryAfter);
  case RefusalReason::DeadlinePassed:
    return refusedAnswer(504, "deadline-passed",
                         "The deadline passed before the request was sent.",
                         RetryAfter);
  case RefusalReason::OutOfService:
    return refusedAnswer(503, "out-of-service",
                         "This VM takes no new work for the service.",
                         RetryAfter);
  }
  return refusedAnswer(503, "overloaded", "The request was refused.",
                       RetryAfter);
}

CallerAnswer answerAttempt(backend::ServerAnswer Answer, bool DeadlinePassed) {
  switch (Answer.m_End) {
  case AttemptEnd::Completed:
    return completedAnswer(std::move(Answer));
  case AttemptEnd::Shed:
    return refusedAnswer(503, "server-refused",
                         "The backend server refused the request.",
                         ServerRetryAfter);
  case AttemptEnd::NotSent:
    return refusedAnswer(DeadlinePassed ? 504 : 503, "not-sent",
                         "The request was not sent: " + Answer.m_Detail,
                         ServerRetryAfter);
  case AttemptEnd::Broken:
  case AttemptEnd::Cancelled:
    break;
  }
  if (DeadlinePassed)
    return originatedAnswer(504, Outcome::Unknown, "deadline-passed-running",
                            "The deadline passed while the request ran.");
  return originatedAnswer(502, Outcome::Unknown, "broken-answer",
                          "No whole answer arrived: " + Answer.m_Detail);
}

} // namespace hyssopcross::entry
