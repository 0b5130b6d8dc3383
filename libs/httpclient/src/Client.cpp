#include "hyssopcross/httpclient/Client.h"
#include "hyssopcross/http/TimedExchange.h"
#include <mutex>
#include <optional>

namespace hyssopcross::httpclient {

namespace {

constexpr std::string_view Scheme = "http://";

/// What follows the scheme of a URL: whom to ask, and for what.
struct Place {
  Address m_Server;
  std::string m_Target;
};

Result<Place> parseUrl(std::string_view Url) {
  if (!Url.starts_with(Scheme))
    return fail(ErrorCode::InvalidInput,
                "\"" + std::string(Url) + "\" does not begin with http://");
  Url.remove_prefix(Scheme.size());
  size_t End = std::min(Url.find('/'), Url.size());
  auto Server = parseAddress(Url.substr(0, End));
  if (!Server)
    return fail(Server.error().m_Code, Server.error().m_Message);
  std::string Target(Url.substr(End));
  return Place{Server.value(), Target.empty() ? "/" : Target};
}

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  for (char &C : Lower)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Lower;
}

std::shared_ptr<const http::Request> makeMessage(const Request &Asked,
                                                 const Place &Where) {
  auto Made = std::make_shared<http::Request>();
  Made->version(11);
  Made->method_string(Asked.m_Method);
  Made->target(Where.m_Target);
  for (const Header &Each : Asked.m_Headers)
    Made->insert(Each.m_Name, Each.m_Value);
  if (Made->find(boost::beast::http::field::host) == Made->end())
    Made->set(boost::beast::http::field::host, Where.m_Server.toString());
  if (Asked.m_Method != "GET")
    Made->body() = Asked.m_Body;
  Made->prepare_payload();
  return Made;
}

Response toResponse(http::Response Answer) {
  Response Made;
  Made.m_Status = static_cast<int>(Answer.result_int());
  for (const auto &Field : Answer)
    Made.m_Headers[lowerCase(http::toView(Field.name_string()))] =
        http::toView(Field.value());
  Made.m_Body = std::move(Answer.body());
  return Made;
}

http::ClientPolicy clientPolicy(size_t MaxAnswerBytes) {
  http::ClientPolicy Policy;
  Policy.m_AnswerBytes = MaxAnswerBytes;
  return Policy;
}

/// A loop with its connections, used by one thread at a time.
struct Handle {
  explicit Handle(size_t MaxAnswerBytes)
      : m_Client(m_Loop, m_Clock, clientPolicy(MaxAnswerBytes)) {}

  http::ExchangeResult send(const Place &Where, http::TimedRequest Asked) {
    std::optional<http::ExchangeResult> Ended;
    http::TimedExchange::start(
        m_Loop, m_Client, Where.m_Server, std::move(Asked),
        [&Ended](http::ExchangeResult Result) { Ended = std::move(Result); });
    while (!Ended) {
      m_Loop.restart();
      m_Loop.run_one();
    }
    return std::move(*Ended);
  }

  SystemClock m_Clock;
  boost::asio::io_context m_Loop;
  http::Client m_Client;
};

} // namespace

std::string_view Response::header(std::string_view Name) const {
  auto Found = m_Headers.find(lowerCase(Name));
  return Found == m_Headers.end() ? std::string_view()
                                  : std::string_view(Found->second);
}

struct Client::State {
  size_t m_IdleHandles = 0;
  size_t m_MaxAnswerBytes = 0;
  std::mutex m_Mutex;
  /// The most recently used last.
  std::vector<std::unique_ptr<Handle>> m_Idle;

  std::unique_ptr<Handle> take() {
    std::lock_guard Lock(m_Mutex);
    if (m_Idle.empty())
      return std::make_unique<Handle>(m_MaxAnswerBytes);
    std::unique_ptr<Handle> Last = std::move(m_Idle.back());
    m_Idle.pop_back();
    return Last;
  }

  void giveBack(std::unique_ptr<Handle> Used) {
    std::lock_guard Lock(m_Mutex);
    if (m_Idle.size() < m_IdleHandles)
      m_Idle.push_back(std::move(Used));
  }
};

Client::Client(size_t IdleHandles, size_t MaxAnswerBytes)
    : m_State(std::make_unique<State>()) {
  m_State->m_IdleHandles = IdleHandles;
  m_State->m_MaxAnswerBytes = MaxAnswerBytes;
}

Client::~Client() = default;

Result<Response> Client::send(const Request &Request) {
  auto Where = parseUrl(Request.m_Url);
  if (!Where)
    return fail(Where.error().m_Code, Where.error().m_Message);
  http::TimedRequest Asked;
  Asked.m_Request = makeMessage(Request, Where.value());
  Asked.m_Timeout = Request.m_Timeout;
  Asked.m_MayResend = Request.m_MayResend;
  std::unique_ptr<Handle> Used = m_State->take();
  http::ExchangeResult Ended = Used->send(Where.value(), std::move(Asked));
  m_State->giveBack(std::move(Used));
  if (Ended.m_End == http::ExchangeEnd::Answered)
    return toResponse(std::move(Ended.m_Answer));
  bool NotSent = Ended.m_End == http::ExchangeEnd::NotSent;
  return fail(NotSent ? ErrorCode::Unavailable : ErrorCode::Unknown,
              Request.m_Url + ": " + http::exchangeEndName(Ended.m_End));
}

std::string escapeUrl(std::string_view Text) {
  constexpr const char *Digits = "0123456789ABCDEF";
  constexpr std::string_view Plain = "-._~";
  std::string Escaped;
  for (char C : Text) {
    auto Byte = static_cast<unsigned char>(C);
    if (std::isalnum(Byte) || Plain.find(C) != std::string_view::npos) {
      Escaped += C;
      continue;
    }
    Escaped += '%';
    Escaped += Digits[Byte >> 4U];
    Escaped += Digits[Byte & 0xFU];
  }
  return Escaped;
}

} // namespace hyssopcross::httpclient
