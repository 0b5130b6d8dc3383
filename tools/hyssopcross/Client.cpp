#include "Client.h"
#include <curl/curl.h>
#include <memory>
#include <optional>

namespace hyssopcross::tool {

namespace {

constexpr size_t MaxAnswerBytes = 16U << 20U;
constexpr long StoreUnreached = 503;
constexpr long Unresolved = 504;

struct EasyCleanup {
  void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
};

struct ListCleanup {
  void operator()(curl_slist *List) const { curl_slist_free_all(List); }
};

size_t collect(char *Data, size_t Size, size_t Count, void *Into) {
  auto &Body = *static_cast<std::string *>(Into);
  if (Body.size() + Size * Count > MaxAnswerBytes)
    return 0;
  Body.append(Data, Size * Count);
  return Size * Count;
}

Result<Response> exchange(const Address &Entry, std::string_view Method,
                          std::string_view Path, std::string_view Body,
                          std::chrono::milliseconds Timeout) {
  std::unique_ptr<CURL, EasyCleanup> Handle(curl_easy_init());
  if (!Handle)
    return fail(ErrorCode::Unavailable, "the HTTP client did not start");
  std::string Url = "http://" + Entry.toString() + std::string(Path);
  std::string Verb(Method);
  Response Answer;
  std::unique_ptr<curl_slist, ListCleanup> Headers(
      curl_slist_append(nullptr, "Content-Type: application/json"));
  curl_easy_setopt(Handle.get(), CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle.get(), CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle.get(), CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Timeout.count()));
  curl_easy_setopt(Handle.get(), CURLOPT_HTTPHEADER, Headers.get());
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEDATA, &Answer.m_Body);
  if (Verb == "POST") {
    curl_easy_setopt(Handle.get(), CURLOPT_POST, 1L);
    curl_easy_setopt(Handle.get(), CURLOPT_POSTFIELDS, Body.data());
    curl_easy_setopt(Handle.get(), CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Body.size()));
  }
  CURLcode Code = curl_easy_perform(Handle.get());
  if (Code != CURLE_OK)
    return fail(ErrorCode::Unavailable,
                Entry.toString() + ": " + curl_easy_strerror(Code));
  curl_easy_getinfo(Handle.get(), CURLINFO_RESPONSE_CODE, &Answer.m_Status);
  return Answer;
}

bool mayAskAnother(const Response &Answer) {
  return Answer.m_Status == StoreUnreached || Answer.m_Status == Unresolved;
}

} // namespace

HttpClient::HttpClient(std::vector<Address> Entries,
                       std::chrono::milliseconds Timeout)
    : m_Entries(std::move(Entries)), m_Timeout(Timeout) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
}

Result<Response> HttpClient::send(std::string_view Method,
                                  std::string_view Path,
                                  std::string_view Body) {
  std::optional<Response> Unsure;
  std::string Failures;
  for (size_t I = 0; I < m_Entries.size(); ++I) {
    size_t Index = (m_First + I) % m_Entries.size();
    auto Answer = exchange(m_Entries[Index], Method, Path, Body, m_Timeout);
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
