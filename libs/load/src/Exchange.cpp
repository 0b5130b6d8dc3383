#include "hyssopcross/load/Exchange.h"
#include "hyssopcross/protocol/Headers.h"
#include "hyssopcross/protocol/Outcome.h"
#include "hyssopcross/standins/Answers.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::load {

using catalogue::ServiceClass;
using httpclient::Response;

namespace {

constexpr int Accepted = 202;

std::string drawBody(const PlannedCall &Call) {
  std::mt19937_64 Random(Call.m_Index * 2654435761U + Call.m_Number);
  std::string Body(Call.m_BodyBytes, '\0');
  for (char &C : Body)
    C = static_cast<char>(Random());
  return Body;
}

std::string expectedBody(const PlannedCall &Call, const CallRequest &Request,
                         const Response &Answer) {
  const std::string &Service = Call.m_Service.m_Name;
  switch (Call.m_Service.m_Class) {
  case ServiceClass::Lookup:
    return standins::lookupAnswer(Service, Request.m_Target);
  case ServiceClass::Money: {
    auto Receipt = standins::parseReceipt(Answer.m_Body);
    return Receipt ? standins::moneyAnswer(Service, Request.m_IdempotencyKey,
                                           Call.m_Number, Receipt.value())
                   : "";
  }
  case ServiceClass::Upload:
    return standins::uploadAnswer(Service, Request.m_IdempotencyKey,
                                  Request.m_Digest, Request.m_Body.size());
  }
  return "";
}

/// The outcome, the status and the code of the JSON error, if there is one.
std::string describeAnswer(const Response &Answer) {
  std::string Text(Answer.header(protocol::OutcomeHeader));
  if (Text.empty())
    Text = "no outcome";
  Text += " with status " + std::to_string(Answer.m_Status);
  auto Json = nlohmann::json::parse(Answer.m_Body, nullptr, false);
  for (const char *Member : {"code", "error"})
    if (Json.is_object() && Json.contains(Member) && Json[Member].is_string())
      return Text + ": " + Json[Member].get<std::string>();
  return Text;
}

Told toTold(const Response &Answer) {
  auto Outcome = protocol::parseOutcome(Answer.header(protocol::OutcomeHeader));
  if (!Outcome)
    return Told::Unknown;
  switch (Outcome.value()) {
  case protocol::Outcome::Completed:
    return Told::Completed;
  case protocol::Outcome::NotRun:
    return Told::NotRun;
  case protocol::Outcome::Unknown:
    return Told::Unknown;
  }
  return Told::Unknown;
}

} // namespace

CallRequest buildRequest(const PlannedCall &Call, std::string_view RunName) {
  CallRequest Request;
  Request.m_Method = "POST";
  std::string Key = std::string(RunName) + "-k" + std::to_string(Call.m_Index);
  switch (Call.m_Service.m_Class) {
  case ServiceClass::Lookup:
    Request.m_Method = "GET";
    Request.m_Target = "/history?watch=" + std::to_string(Call.m_Number);
    return Request;
  case ServiceClass::Money:
    Request.m_Target = "/deposits";
    Request.m_Body = standins::moneyRequest(Call.m_Number);
    break;
  case ServiceClass::Upload:
    Request.m_Target = "/photos";
    Request.m_Body = drawBody(Call);
    break;
  }
  Request.m_IdempotencyKey = std::move(Key);
  Request.m_Digest = protocol::contentDigest(Request.m_Body);
  return Request;
}

std::string findFlaw(const PlannedCall &Call, const CallRequest &Request,
                     std::string_view Correlation, const Response &Answer) {
  if (Answer.header(protocol::CorrelationHeader) != Correlation)
    return "answered with the correlation id \"" +
           std::string(Answer.header(protocol::CorrelationHeader)) + "\"";
  std::string_view Digest = Answer.header(protocol::ContentDigestHeader);
  if (!Digest.empty() && Digest != protocol::contentDigest(Answer.m_Body))
    return "answered with a body that does not match its digest";
  if (Call.m_Service.m_Class == ServiceClass::Upload &&
      Answer.m_Status == Accepted)
    return "";
  if (Answer.m_Body != expectedBody(Call, Request, Answer))
    return "answered with status " + std::to_string(Answer.m_Status) +
           " and another body: " + Answer.m_Body.substr(0, 200);
  return "";
}

AttemptRecord recordAttempt(const PlannedCall &Call, const CallRequest &Request,
                            std::string Correlation,
                            const Result<Response> &Answer) {
  AttemptRecord Attempt;
  if (!Answer) {
    Attempt.m_Told = Answer.error().m_Code == ErrorCode::Unavailable
                         ? Told::NotSent
                         : Told::NoAnswer;
    Attempt.m_Reason =
        Attempt.m_Told == Told::NotSent ? "not sent" : "no answer";
    Attempt.m_Correlation = std::move(Correlation);
    return Attempt;
  }
  Attempt.m_Told = toTold(Answer.value());
  if (Attempt.m_Told != Told::Completed)
    Attempt.m_Reason = describeAnswer(Answer.value());
  else {
    Attempt.m_Flaw = findFlaw(Call, Request, Correlation, Answer.value());
    auto Receipt = standins::parseReceipt(Answer.value().m_Body);
    if (Receipt)
      Attempt.m_Receipt = Receipt.value();
  }
  Attempt.m_Correlation = std::move(Correlation);
  return Attempt;
}

} // namespace hyssopcross::load
