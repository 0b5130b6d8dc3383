#include "hyssopcross/httpclient/Client.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>
#include <cctype>
#include <curl/curl.h>
#include <mutex>

namespace hyssopcross::httpclient {

namespace {

constexpr long KeptConnectionsPerHandle = 32;

/// What the callbacks of one transfer share.
struct Transfer {
  const Request &m_Request;
  size_t m_MaxAnswerBytes = 0;
  Response m_Response;
  /// How often libcurl was about to send the request.
  uint32_t m_Sends = 0;
  bool m_TooLarge = false;
};

std::string toLower(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Lower;
}

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && std::isspace(static_cast<unsigned char>(Text[0])))
    Text.remove_prefix(1);
  while (!Text.empty() && std::isspace(static_cast<unsigned char>(Text.back())))
    Text.remove_suffix(1);
  return Text;
}

// libcurl sends a request again by itself when a kept connection breaks before
// the answer; this is called before each time and stops the second one.
int beforeSend(void *User, char *, char *, int, int) {
  auto &Running = *static_cast<Transfer *>(User);
  if (Running.m_Sends > 0 && !Running.m_Request.m_MayResend)
    return CURL_PREREQFUNC_ABORT;
  ++Running.m_Sends;
  return CURL_PREREQFUNC_OK;
}

size_t takeHeader(char *Data, size_t Size, size_t Count, void *User) {
  auto &Running = *static_cast<Transfer *>(User);
  std::string_view Line(Data, Size * Count);
  if (Line.starts_with("HTTP/"))
    Running.m_Response.m_Headers.clear();
  size_t Colon = Line.find(':');
  if (Colon != std::string_view::npos)
    Running.m_Response.m_Headers[toLower(Line.substr(0, Colon))] =
        std::string(trim(Line.substr(Colon + 1)));
  return Size * Count;
}

size_t takeBody(char *Data, size_t Size, size_t Count, void *User) {
  auto &Running = *static_cast<Transfer *>(User);
  std::string &Body = Running.m_Response.m_Body;
  if (Body.size() + Size * Count > Running.m_MaxAnswerBytes) {
    Running.m_TooLarge = true;
    return 0;
  }
  Body.append(Data, Size * Count);
  return Size * Count;
}

using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

HeaderList buildHeaders(const Request &Request) {
  curl_slist *List = curl_slist_append(nullptr, "Expect:");
  for (const Header &Header : Request.m_Headers) {
    std::string Line = Header.m_Name + ": " + Header.m_Value;
    List = curl_slist_append(List, Line.c_str());
  }
  return {List, curl_slist_free_all};
}

long toMilliseconds(Duration Time) {
  auto Whole = std::chrono::ceil<std::chrono::milliseconds>(Time).count();
  return std::max<long>(1, static_cast<long>(Whole));
}

void setBody(CURL *Handle, const Request &Request) {
  if (Request.m_Method == "GET")
    return;
  curl_easy_setopt(Handle, CURLOPT_POST, 1L);
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Request.m_Body.size()));
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDS,
                   Request.m_Body.empty() ? "" : Request.m_Body.data());
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Request.m_Method.c_str());
}

void prepare(CURL *Handle, Transfer &Running, const curl_slist *Headers) {
  const Request &Request = Running.m_Request;
  long TimeoutMs = toMilliseconds(Request.m_Timeout);
  curl_easy_reset(Handle);
  curl_easy_setopt(Handle, CURLOPT_URL, Request.m_Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Headers);
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(Handle, CURLOPT_MAXCONNECTS, KeptConnectionsPerHandle);
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS, TimeoutMs);
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS, TimeoutMs);
  curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, beforeSend);
  curl_easy_setopt(Handle, CURLOPT_PREREQDATA, &Running);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, takeHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, &Running);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, takeBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Running);
  setBody(Handle, Request);
}

Error describeFailure(const Transfer &Running, CURLcode Code) {
  std::string Message = Running.m_Request.m_Method + " " +
                        Running.m_Request.m_Url + ": " +
                        curl_easy_strerror(Code);
  if (Running.m_TooLarge)
    Message = Running.m_Request.m_Url + ": the answer is larger than " +
              std::to_string(Running.m_MaxAnswerBytes) + " bytes";
  if (Running.m_Sends == 0)
    return {ErrorCode::Unavailable, std::move(Message)};
  return {ErrorCode::Unknown, std::move(Message)};
}

void initialiseLibrary() {
  static std::once_flag Once;
  std::call_once(Once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

} // namespace

struct Client::State {
  size_t m_IdleHandles = 0;
  size_t m_MaxAnswerBytes = 0;
  std::mutex m_Mutex;
  std::vector<CURL *> m_Idle;

  CURL *take() {
    std::lock_guard Lock(m_Mutex);
    if (m_Idle.empty())
      return curl_easy_init();
    CURL *Handle = m_Idle.back();
    m_Idle.pop_back();
    return Handle;
  }

  void giveBack(CURL *Handle) {
    {
      std::lock_guard Lock(m_Mutex);
      if (m_Idle.size() < m_IdleHandles) {
        m_Idle.push_back(Handle);
        return;
      }
    }
    curl_easy_cleanup(Handle);
  }
};

std::string_view Response::header(std::string_view Name) const {
  auto Found = m_Headers.find(toLower(Name));
  return Found == m_Headers.end() ? std::string_view() : Found->second;
}

Client::Client(size_t IdleHandles, size_t MaxAnswerBytes)
    : m_State(std::make_unique<State>()) {
  initialiseLibrary();
  m_State->m_IdleHandles = IdleHandles;
  m_State->m_MaxAnswerBytes = MaxAnswerBytes;
}

Client::~Client() {
  for (CURL *Handle : m_State->m_Idle)
    curl_easy_cleanup(Handle);
}

Result<Response> Client::send(const Request &Request) {
  CURL *Handle = m_State->take();
  HYSSOPCROSS_INVARIANT(Handle != nullptr, "a curl handle can be made");
  Transfer Running{Request, m_State->m_MaxAnswerBytes, {}, 0, false};
  HeaderList Headers = buildHeaders(Request);
  prepare(Handle, Running, Headers.get());
  CURLcode Code = curl_easy_perform(Handle);
  long Status = 0;
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  curl_easy_reset(Handle);
  m_State->giveBack(Handle);
  if (Code != CURLE_OK) {
    Error Failure = describeFailure(Running, Code);
    return fail(Failure.m_Code, std::move(Failure.m_Message));
  }
  Running.m_Response.m_Status = static_cast<int>(Status);
  return std::move(Running.m_Response);
}

std::string escapeUrl(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
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
    Escaped += Digits[Byte & 15U];
  }
  return Escaped;
}

} // namespace hyssopcross::httpclient
