#include "hyssopcross/web/HttpServer.h"
#include "hyssopcross/base/Invariant.h"
#include <arpa/inet.h>
#include <atomic>
#include <cstring>
#include <microhttpd.h>
#include <netinet/in.h>
#include <ulfius.h>
#include <unistd.h>

namespace hyssopcross::web {

struct HttpServer::Implementation {
  _u_instance m_Instance{};
  sockaddr_in m_Bind{};
  HttpHandler m_Handler;
  std::atomic<size_t> m_Running{0};
  int m_StoppedListener = -1;
};

namespace {

using Server = HttpServer;

void copyHeaders(const _u_map *Map, HttpRequest &Request) {
  for (int I = 0; I < Map->nb_values; ++I)
    Request.m_Headers.emplace_back(Map->keys[I], Map->values[I]);
}

HttpRequest readRequest(const _u_request &From) {
  HttpRequest Request;
  Request.m_Method = From.http_verb;
  Request.m_Target = From.http_url;
  Request.m_Body = std::string_view(static_cast<const char *>(From.binary_body),
                                    From.binary_body_length);
  copyHeaders(From.map_header, Request);
  return Request;
}

void writeAnswer(const HttpAnswer &Answer, _u_response &To) {
  ulfius_set_binary_body_response(&To, Answer.m_Status, Answer.m_Body.data(),
                                  Answer.m_Body.size());
  for (const auto &[Name, Value] : Answer.m_Headers)
    u_map_put(To.map_header, Name.c_str(), Value.c_str());
}

/// Counts a handler as running for the life of the object.
class RunningCount {
public:
  explicit RunningCount(std::atomic<size_t> &Count) : m_Count(Count) {
    ++m_Count;
  }
  ~RunningCount() { --m_Count; }
  RunningCount(const RunningCount &) = delete;
  RunningCount &operator=(const RunningCount &) = delete;

private:
  std::atomic<size_t> &m_Count;
};

struct CallbackData {
  const HttpHandler &m_Handler;
  std::atomic<size_t> &m_Running;
};

} // namespace

static int answerRequest(const _u_request *From, _u_response *To, void *User) {
  auto *Data = static_cast<CallbackData *>(User);
  RunningCount Counted(Data->m_Running);
  writeAnswer(Data->m_Handler(readRequest(*From)), *To);
  return U_CALLBACK_COMPLETE;
}

HttpServer::HttpServer(std::unique_ptr<Implementation> State)
    : m_State(std::move(State)) {}

Result<std::unique_ptr<HttpServer>> HttpServer::start(const Address &Listen,
                                                      HttpHandler Handler,
                                                      HttpServerLimits Limits) {
  auto State = std::make_unique<Implementation>();
  State->m_Handler = std::move(Handler);
  State->m_Bind.sin_family = AF_INET;
  State->m_Bind.sin_port = htons(Listen.m_Port);
  inet_pton(AF_INET, Listen.m_Host.c_str(), &State->m_Bind.sin_addr);
  _u_instance &Instance = State->m_Instance;
  if (ulfius_init_instance(&Instance, Listen.m_Port, &State->m_Bind, nullptr) !=
      U_OK)
    return fail(ErrorCode::InvalidInput,
                "no HTTP server for address " + Listen.toString());
  Instance.max_post_body_size = Limits.m_BodyBytes + 1;
  Instance.allowed_post_processor = U_POST_PROCESS_NONE;
  Instance.check_utf8 = 0;
  Instance.default_endpoint = nullptr;
  auto *Data = new CallbackData{State->m_Handler, State->m_Running};
  ulfius_set_default_endpoint(&Instance, answerRequest, Data);
  MHD_OptionItem Options[] = {
      {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(Limits.m_Connections),
       nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT,
       static_cast<intptr_t>(Limits.m_IdleSeconds), nullptr},
      {MHD_OPTION_NOTIFY_COMPLETED,
       reinterpret_cast<intptr_t>(mhd_request_completed), nullptr},
      {MHD_OPTION_SOCK_ADDR, 0, &State->m_Bind},
      {MHD_OPTION_URI_LOG_CALLBACK,
       reinterpret_cast<intptr_t>(ulfius_uri_logger), nullptr},
      {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
      {MHD_OPTION_END, 0, nullptr}};
  unsigned Flags = MHD_USE_THREAD_PER_CONNECTION |
                   MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC | MHD_USE_POLL;
  if (ulfius_start_framework_with_mhd_options(&Instance, Flags, Options) !=
      U_OK) {
    ulfius_clean_instance(&Instance);
    delete Data;
    return fail(ErrorCode::InvalidInput,
                "address " + Listen.toString() + " can't be listened on");
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(State)));
}

HttpServer::~HttpServer() {
  auto *Data = static_cast<CallbackData *>(
      m_State->m_Instance.default_endpoint
          ? m_State->m_Instance.default_endpoint->user_data
          : nullptr);
  ulfius_stop_framework(&m_State->m_Instance);
  if (m_State->m_StoppedListener >= 0)
    close(m_State->m_StoppedListener);
  ulfius_clean_instance(&m_State->m_Instance);
  delete Data;
}

void HttpServer::stopAccepting() {
  if (m_State->m_StoppedListener < 0)
    m_State->m_StoppedListener =
        MHD_quiesce_daemon(m_State->m_Instance.mhd_daemon);
}

size_t HttpServer::runningHandlers() const { return m_State->m_Running; }

} // namespace hyssopcross::web
