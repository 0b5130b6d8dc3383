#include "Client.h"
#include <optional>

namespace hyssopcross::tool {

namespace {

constexpr size_t MaxAnswerBytes = 16U << 20U;
constexpr int StoreUnreached = 503;
constexpr int Unresolved = 504;

bool mayAskAnother(const Response &Answer) {
  return Answer.m_Status == StoreUnreached || Answer.m_Status == Unresolved;
}

} // namespace

HttpClient::HttpClient(std::vector<Address> Entries,
                       std::chrono::milliseconds Timeout)
    : m_Entries(std::move(Entries)), m_Timeout(Timeout),
      m_Client(/*IdleHandles=*/1, MaxAnswerBytes) {}

Result<Response> HttpClient::exchange(const Address &Entry,
                                      std::string_view Method,
                                      std::string_view Path,
                                      std::string_view Body) {
  httpclient::Request Asked;
  Asked.m_Method = Method;
  Asked.m_Url = "http://" + Entry.toString() + std::string(Path);
  Asked.m_Headers = {{"Content-Type", "application/json"}};
  Asked.m_Body = Body;
  Asked.m_Timeout = m_Timeout;
  auto Answer = m_Client.send(Asked);
  if (!Answer)
    return fail(ErrorCode::Unavailable, Answer.error().m_Message);
  return Response{Answer.value().m_Status, std::move(Answer.value().m_Body)};
}

Result<Response> HttpClient::send(std::string_view Method,
                                  std::string_view Path,
                                  std::string_view Body) {
  std::optional<Response> Unsure;
  std::string Failures;
  for (size_t I = 0; I < m_Entries.size(); ++I) {
    size_t Index = (m_First + I) % m_Entries.size();
    auto Answer = exchange(m_Entries[Index], Method, Path, Body);
    if (Answer && !mayAskAnother(Answer.value())) {
      m_First = Index;
      return Answer;
    }
    if (Answer)
      Unsure = Answer.value();
    else
      Failures += (Failures.empty() ? "" : "; ") + Answer.error().m_Message;
  }
  if (Unsure)
    return *Unsure;
  return fail(ErrorCode::Unavailable, Failures);
}

} // namespace hyssopcross::tool
