#include "hyssopcross/backend/Exchange.h"
#include "hyssopcross/base/Invariant.h"
#include "hyssopcross/protocol/Headers.h"
#include "hyssopcross/protocol/Outcome.h"
#include <algorithm>
#include <cstring>
#include <curl/curl.h>
#include <strings.h>

namespace hyssopcross::backend {

using balancing::AttemptEnd;

namespace {

/// Longest wait between two looks at the cancel flag.
constexpr int PollMilliseconds = 1000;

/// Initialises libcurl before the first channel, once for the process.
struct CurlLibrary {
  CurlLibrary() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

/// The part of an exchange that libcurl's callbacks write to.
struct Transfer {
  const ServerRequest *m_Request = nullptr;
  ServerAnswer *m_Answer = nullptr;
  size_t m_BodySent = 0;
  bool m_BodyRestarted = false;
  bool m_Oversized = false;
};

size_t readBody(char *Buffer, size_t Size, size_t Count, void *User) {
  auto *Current = static_cast<Transfer *>(User);
  std::string_view Rest =
      Current->m_Request->m_Body.substr(Current->m_BodySent);
  size_t Bytes = std::min(Rest.size(), Size * Count);
  std::memcpy(Buffer, Rest.data(), Bytes);
  Current->m_BodySent += Bytes;
  return Bytes;
}

/// Called when libcurl wants to send the body again on a new connection.
int rewindBody(void *User, curl_off_t Offset, int Origin) {
  auto *Current = static_cast<Transfer *>(User);
  if (!Current->m_Request->m_Idempotent || Origin != SEEK_SET || Offset != 0) {
    Current->m_BodyRestarted = true;
    return CURL_SEEKFUNC_FAIL;
  }
  Current->m_BodySent = 0;
  return CURL_SEEKFUNC_OK;
}

size_t writeBody(char *Data, size_t Size, size_t Count, void *User) {
  auto *Current = static_cast<Transfer *>(User);
  size_t Bytes = Size * Count;
  std::string &Body = Current->m_Answer->m_Body;
  if (Body.size() + Bytes > Current->m_Request->m_AnswerBytes) {
    Current->m_Oversized = true;
    return 0;
  }
  Body.append(Data, Bytes);
  return Bytes;
}

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && std::strchr(" \t\r\n", Text.back()))
    Text.remove_suffix(1);
  while (!Text.empty() && std::strchr(" \t", Text.front()))
    Text.remove_prefix(1);
  return Text;
}

size_t writeHeader(char *Data, size_t Size, size_t Count, void *User) {
  auto *Current = static_cast<Transfer *>(User);
  std::string_view Line(Data, Size * Count);
  ServerAnswer &Answer = *Current->m_Answer;
  size_t Colon = Line.find(':');
  if (Line.substr(0, 5) == "HTTP/")
    Answer.m_Headers.clear();
  else if (Colon != std::string_view::npos)
    Answer.m_Headers.emplace_back(trim(Line.substr(0, Colon)),
                                  trim(Line.substr(Colon + 1)));
  return Line.size();
}

const std::string *findHeader(const ServerAnswer &Answer, const char *Name) {
  for (const auto &[Key, Value] : Answer.m_Headers)
    if (strcasecmp(Key.c_str(), Name) == 0)
      return &Value;
  return nullptr;
}

long toMilliseconds(Duration Time) {
  auto Rounded = std::chrono::ceil<std::chrono::milliseconds>(Time).count();
  return static_cast<long>(std::max<int64_t>(Rounded, 1));
}

/// A list of header lines for libcurl.
class HeaderList {
public:
  ~HeaderList() { curl_slist_free_all(m_List); }
  void add(const std::string &Line) {
    m_List = curl_slist_append(m_List, Line.c_str());
  }
  curl_slist *get() const { return m_List; }

private:
  curl_slist *m_List = nullptr;
};

void fillHeaders(const ServerRequest &Request, HeaderList &Headers) {
  for (const auto &[Name, Value] : Request.m_Headers) {
    // libcurl takes "Name;" for a header without a value.
    std::string Line = Name;
    Line += Value.empty() ? ";" : ": ";
    Line += Value;
    Headers.add(Line);
  }
  Headers.add(std::string(protocol::CorrelationHeader) + ": " +
              Request.m_CorrelationId);
  Headers.add("Expect:");
}

/// Decides how an exchange whose answer arrived in full ended.
void judgeAnswer(const ServerRequest &Request, ServerAnswer &Answer) {
  const std::string *Load = findHeader(Answer, protocol::ServerLoadHeader);
  if (Load)
    Answer.m_Report = parseLoadReport(*Load);
  const std::string *Echo = findHeader(Answer, protocol::CorrelationHeader);
  if (!Echo || *Echo != Request.m_CorrelationId) {
    Answer.m_End = AttemptEnd::Broken;
    Answer.m_Detail = "answer carries another correlation id";
    return;
  }
  const std::string *Digest = findHeader(Answer, protocol::ContentDigestHeader);
  if (Digest && Request.m_Method != "HEAD" &&
      *Digest != protocol::contentDigest(Answer.m_Body)) {
    Answer.m_End = AttemptEnd::Broken;
    Answer.m_Detail = "answer does not match its digest";
    return;
  }
  const std::string *Refused =
      findHeader(Answer, protocol::ServerRefusedHeader);
  if (Refused && *Refused == "not-run") {
    Answer.m_End = AttemptEnd::Shed;
    Answer.m_Detail = "refused by the server";
    return;
  }
  Answer.m_End = AttemptEnd::Completed;
}

} // namespace

struct Channel::Implementation {
  balancing::ServerId m_Server;
  CURL *m_Easy = nullptr;
  CURLM *m_Multi = nullptr;
  std::atomic<bool> m_Cancelled{false};
  bool m_Reusable = true;

  void prepare(const ServerRequest &Request, Transfer &Current,
               const HeaderList &Headers, const std::string &Url,
               const std::string &Method) const;
  CURLcode run();
  void judge(const ServerRequest &Request, const Transfer &Current,
             CURLcode Code, ServerAnswer &Answer);
};

void Channel::Implementation::prepare(const ServerRequest &Request,
                                      Transfer &Current,
                                      const HeaderList &Headers,
                                      const std::string &Url,
                                      const std::string &Method) const {
  curl_easy_reset(m_Easy);
  curl_easy_setopt(m_Easy, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(m_Easy, CURLOPT_HTTPHEADER, Headers.get());
  curl_easy_setopt(m_Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(m_Easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(m_Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(m_Easy, CURLOPT_TIMEOUT_MS,
                   toMilliseconds(Request.m_Timeout));
  curl_easy_setopt(m_Easy, CURLOPT_WRITEFUNCTION, writeBody);
  curl_easy_setopt(m_Easy, CURLOPT_WRITEDATA, &Current);
  curl_easy_setopt(m_Easy, CURLOPT_HEADERFUNCTION, writeHeader);
  curl_easy_setopt(m_Easy, CURLOPT_HEADERDATA, &Current);
  bool HasBody = !Request.m_Body.empty();
  if (HasBody) {
    // The body goes through callbacks, because libcurl repeats a request by
    // itself when a kept connection turns out to be closed, and only the
    // rewind of a body can be refused.
    curl_easy_setopt(m_Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(m_Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.m_Body.size()));
    curl_easy_setopt(m_Easy, CURLOPT_READFUNCTION, readBody);
    curl_easy_setopt(m_Easy, CURLOPT_READDATA, &Current);
    curl_easy_setopt(m_Easy, CURLOPT_SEEKFUNCTION, rewindBody);
    curl_easy_setopt(m_Easy, CURLOPT_SEEKDATA, &Current);
  } else if (Method == "POST" || Method == "PUT") {
    curl_easy_setopt(m_Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(m_Easy, CURLOPT_POSTFIELDS, "");
    curl_easy_setopt(m_Easy, CURLOPT_POSTFIELDSIZE, 0L);
  } else if (Method == "HEAD") {
    curl_easy_setopt(m_Easy, CURLOPT_NOBODY, 1L);
  }
  curl_easy_setopt(m_Easy, CURLOPT_CUSTOMREQUEST, Method.c_str());
  // Without a body there is no rewind to refuse, so a request that must not be
  // repeated goes on a connection of its own.
  if (!HasBody && !Request.m_Idempotent)
    curl_easy_setopt(m_Easy, CURLOPT_FRESH_CONNECT, 1L);
}

CURLcode Channel::Implementation::run() {
  curl_multi_add_handle(m_Multi, m_Easy);
  int Running = 1;
  CURLcode Code = CURLE_ABORTED_BY_CALLBACK;
  while (!m_Cancelled) {
    curl_multi_perform(m_Multi, &Running);
    if (Running == 0)
      break;
    curl_multi_poll(m_Multi, nullptr, 0, PollMilliseconds, nullptr);
  }
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(m_Multi, &Left))
    if (Message->msg == CURLMSG_DONE)
      Code = Message->data.result;
  return Code;
}

void Channel::Implementation::judge(const ServerRequest &Request,
                                    const Transfer &Current, CURLcode Code,
                                    ServerAnswer &Answer) {
  if (Code == CURLE_OK) {
    long Status = 0;
    curl_easy_getinfo(m_Easy, CURLINFO_RESPONSE_CODE, &Status);
    Answer.m_Status = static_cast<unsigned>(Status);
    judgeAnswer(Request, Answer);
    m_Reusable = Answer.m_End != AttemptEnd::Broken;
    return;
  }
  m_Reusable = false;
  long RequestBytes = 0;
  curl_easy_getinfo(m_Easy, CURLINFO_REQUEST_SIZE, &RequestBytes);
  Answer.m_Detail = Current.m_Oversized       ? "answer is too large"
                    : Current.m_BodyRestarted ? "connection closed after the "
                                                "request was sent"
                                              : curl_easy_strerror(Code);
  if (RequestBytes == 0)
    Answer.m_End = AttemptEnd::NotSent;
  else
    Answer.m_End = m_Cancelled ? AttemptEnd::Cancelled : AttemptEnd::Broken;
}

Channel::Channel(balancing::ServerId Server)
    : m_State(std::make_unique<Implementation>()) {
  static CurlLibrary Library;
  m_State->m_Server = std::move(Server);
  m_State->m_Easy = curl_easy_init();
  m_State->m_Multi = curl_multi_init();
  HYSSOPCROSS_INVARIANT(m_State->m_Easy && m_State->m_Multi,
                        "libcurl has memory for a handle");
}

Channel::~Channel() {
  curl_multi_cleanup(m_State->m_Multi);
  curl_easy_cleanup(m_State->m_Easy);
}

ServerAnswer Channel::exchange(const ServerRequest &Request) {
  ServerAnswer Answer;
  if (m_State->m_Cancelled) {
    Answer.m_Detail = "cancelled before it was sent";
    return Answer;
  }
  Transfer Current{&Request, &Answer};
  HeaderList Headers;
  fillHeaders(Request, Headers);
  std::string Url =
      "http://" + m_State->m_Server + std::string(Request.m_Target);
  std::string Method(Request.m_Method);
  m_State->prepare(Request, Current, Headers, Url, Method);
  CURLcode Code = m_State->run();
  m_State->judge(Request, Current, Code, Answer);
  curl_multi_remove_handle(m_State->m_Multi, m_State->m_Easy);
  return Answer;
}

void Channel::cancel() {
  m_State->m_Cancelled = true;
  curl_multi_wakeup(m_State->m_Multi);
}

bool Channel::reusable() const {
  return m_State->m_Reusable && !m_State->m_Cancelled;
}

} // namespace hyssopcross::backend
