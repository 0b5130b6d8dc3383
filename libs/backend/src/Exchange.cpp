#include "hyssopcross/backend/Exchange.h"
#include "hyssopcross/protocol/Headers.h"
#include "hyssopcross/protocol/Outcome.h"
#include <boost/asio/post.hpp>

namespace hyssopcross::backend {

using balancing::AttemptEnd;

namespace {

/// Largest answer accepted, in bytes: as large as the largest request body.
constexpr uint64_t MaxAnswerBytes = 4ULL << 20U;

/// Idle connections kept to a server before the pool has said how many.
constexpr uint32_t DefaultIdle = 4;

http::ClientPolicy clientPolicy() {
  http::ClientPolicy Policy;
  Policy.m_AnswerBytes = MaxAnswerBytes;
  Policy.m_IdleConnections = DefaultIdle;
  return Policy;
}

/// Decides how an exchange whose answer arrived in full ended.
void judgeAnswer(const ServerRequest &Request, ServerAnswer &Answer) {
  std::string_view Load = findHeader(Answer, protocol::ServerLoadHeader);
  if (!Load.empty())
    Answer.m_Report = parseLoadReport(Load);
  std::string_view Digest = findHeader(Answer, protocol::ContentDigestHeader);
  bool HasBody = Request.m_Message->method() != boost::beast::http::verb::head;
  if (!Digest.empty() && HasBody &&
      Digest != protocol::contentDigest(Answer.m_Body)) {
    Answer.m_End = AttemptEnd::Broken;
    Answer.m_Detail = "answer does not match its digest";
    return;
  }
  if (findHeader(Answer, protocol::ServerRefusedHeader) == "not-run") {
    Answer.m_End = AttemptEnd::Shed;
    Answer.m_Detail = "refused by the server";
    return;
  }
  Answer.m_End = AttemptEnd::Completed;
}

ServerAnswer toAnswer(const ServerRequest &Request,
                      http::ExchangeResult Result) {
  ServerAnswer Answer;
  if (Result.m_End != http::ExchangeEnd::Answered) {
    bool NotSent = Result.m_End == http::ExchangeEnd::NotSent;
    Answer.m_End = NotSent ? AttemptEnd::NotSent : AttemptEnd::Broken;
    Answer.m_Detail = http::exchangeEndName(Result.m_End);
    return Answer;
  }
  Answer.m_Status = Result.m_Answer.result_int();
  for (const auto &Field : Result.m_Answer)
    Answer.m_Headers.emplace_back(http::toView(Field.name_string()),
                                  http::toView(Field.value()));
  Answer.m_Body = std::move(Result.m_Answer.body());
  judgeAnswer(Request, Answer);
  return Answer;
}

} // namespace

std::string_view findHeader(const ServerAnswer &Answer, std::string_view Name) {
  for (const auto &[Key, Value] : Answer.m_Headers)
    if (boost::beast::iequals(Key, http::toBoost(Name)))
      return Value;
  return {};
}

std::shared_ptr<const http::Request>
makeMessage(std::string_view Method, std::string_view Target,
            std::string_view Service, const HeaderList &Headers,
            std::string_view CorrelationId, std::string_view Body) {
  auto Made = std::make_shared<http::Request>();
  Made->version(11);
  Made->method_string(http::toBoost(Method));
  Made->target(http::toBoost(Target));
  Made->set(boost::beast::http::field::host, http::toBoost(Service));
  for (const auto &[Name, Value] : Headers)
    Made->insert(Name, Value);
  Made->set(protocol::CorrelationHeader, http::toBoost(CorrelationId));
  Made->body() = Body;
  Made->prepare_payload();
  return Made;
}

Sender::Sender(boost::asio::io_context &Loop, const Clock &Time)
    : m_Loop(Loop), m_Client(Loop, Time, clientPolicy()) {}

std::shared_ptr<http::TimedExchange>
Sender::send(const balancing::ServerId &Server, const ServerRequest &Request,
             AnswerCallback Done) {
  auto Where = parseAddress(Server);
  if (!Where) {
    ServerAnswer NotSent;
    NotSent.m_Detail = Where.error().m_Message;
    boost::asio::post(m_Loop, [NotSent, Done] { Done(NotSent); });
    return nullptr;
  }
  http::TimedRequest Timed;
  Timed.m_Request = Request.m_Message;
  Timed.m_Timeout = Request.m_Timeout;
  Timed.m_MayResend = Request.m_Idempotent;
  Timed.m_Filter = [Id =
                        Request.m_CorrelationId](const http::Response &Answer) {
    return http::headerOf(Answer, protocol::CorrelationHeader) == Id;
  };
  return http::TimedExchange::start(
      m_Loop, m_Client, Where.value(), std::move(Timed),
      [this, Where = Where.value(), Request,
       Done = std::move(Done)](http::ExchangeResult Result) {
        bool Arrived = Result.m_End == http::ExchangeEnd::Answered;
        ServerAnswer Answer = toAnswer(Request, std::move(Result));
        // A server that corrupts an answer may have corrupted what follows it.
        if (Arrived && Answer.m_End == AttemptEnd::Broken)
          m_Client.dropIdle(Where);
        Done(std::move(Answer));
      });
}

void Sender::keep(const balancing::ServerId &Server, uint32_t Count) {
  if (auto Where = parseAddress(Server))
    m_Client.keepIdle(Where.value(), Count);
}

uint32_t Sender::open(const balancing::ServerId &Server) const {
  auto Where = parseAddress(Server);
  return Where ? m_Client.connectionCount(Where.value()) : 0;
}

} // namespace hyssopcross::backend
