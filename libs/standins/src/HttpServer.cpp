#include "hyssopcross/standins/HttpServer.h"
#include "hyssopcross/base/Invariant.h"
#include <arpa/inet.h>
#include <atomic>
#include <charconv>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <ulfius.h>
#include <unistd.h>

namespace hyssopcross::standins {

namespace {

constexpr int ListenBacklog = 512;
constexpr int TooLargeStatus = 413;
constexpr unsigned int IdleTimeoutSeconds = 0;
constexpr size_t StreamBlockBytes = 4096;

/// Identifies a connection by its client's address and port.
using PeerKey = uint64_t;

PeerKey peerKey(const sockaddr *Client) {
  if (!Client || Client->sa_family != AF_INET)
    return 0;
  const auto *Inet = reinterpret_cast<const sockaddr_in *>(Client);
  return (uint64_t{Inet->sin_addr.s_addr} << 16U) | Inet->sin_port;
}

sockaddr_in toSocketAddress(const Address &Listen) {
  sockaddr_in Binary{};
  Binary.sin_family = AF_INET;
  Binary.sin_port = htons(Listen.m_Port);
  inet_pton(AF_INET, Listen.m_Host.c_str(), &Binary.sin_addr);
  return Binary;
}

/// Binds and listens; on success writes the port taken to Listen.
int openListener(Address &Listen) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return -1;
  int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Binary = toSocketAddress(Listen);
  socklen_t Size = sizeof(Binary);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Binary), Size) != 0 ||
      listen(Socket, ListenBacklog) != 0 ||
      getsockname(Socket, reinterpret_cast<sockaddr *>(&Binary), &Size) != 0) {
    close(Socket);
    return -1;
  }
  Listen.m_Port = ntohs(Binary.sin_port);
  return Socket;
}

std::string_view orEmpty(const char *Text) {
  return Text ? std::string_view(Text) : std::string_view();
}

/// The body of an answer that is to be cut.
struct CutBody {
  std::string m_Sent;
};

ssize_t streamCutBody(void *User, uint64_t Offset, char *Out, size_t Max) {
  const auto &Body = *static_cast<CutBody *>(User);
  if (Offset >= Body.m_Sent.size())
    return U_STREAM_ERROR;
  return static_cast<ssize_t>(
      Body.m_Sent.copy(Out, Max, static_cast<size_t>(Offset)));
}

void freeCutBody(void *User) { delete static_cast<CutBody *>(User); }

void setCutBody(_u_response *Response, const ServerAnswer &Answer) {
  auto *Body = new CutBody{Answer.m_Body.substr(0, Answer.m_Body.size() / 2)};
  ulfius_set_stream_response(Response, Answer.m_Status, streamCutBody,
                             freeCutBody, Answer.m_Body.size() + 1,
                             StreamBlockBytes, Body);
}

} // namespace

struct HttpServer::State {
  HttpServerOptions m_Options;
  Handler m_Handler;
  _u_instance m_Instance{};
  sockaddr_in m_BindAddress{};
  bool m_Started = false;
  std::atomic<uint64_t> m_Accepted{0};
  std::mutex m_Mutex;
  std::map<PeerKey, int> m_Sockets;

  ~State() {
    if (m_Started)
      ulfius_stop_framework(&m_Instance);
    ulfius_clean_instance(&m_Instance);
  }

  int findSocket(PeerKey Key) {
    std::lock_guard Lock(m_Mutex);
    auto Found = m_Sockets.find(Key);
    return Found == m_Sockets.end() ? -1 : Found->second;
  }

  void opened(MHD_Connection *Connection) {
    ++m_Accepted;
    const auto *Client =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    const auto *Socket =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (!Client || !Socket)
      return;
    int On = 1;
    setsockopt(Socket->connect_fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    std::lock_guard Lock(m_Mutex);
    m_Sockets[peerKey(Client->client_addr)] = Socket->connect_fd;
  }

  void closed(MHD_Connection *Connection) {
    const auto *Client =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (!Client)
      return;
    std::lock_guard Lock(m_Mutex);
    m_Sockets.erase(peerKey(Client->client_addr));
  }

  static void connectionChanged(void *User, MHD_Connection *Connection, void **,
                                MHD_ConnectionNotificationCode Code) {
    auto &Server = *static_cast<State *>(User);
    if (Code == MHD_CONNECTION_NOTIFY_CLOSED) {
      Server.closed(Connection);
      return;
    }
    Server.opened(Connection);
    if (Server.m_Options.m_ConnectCost > Duration::zero())
      std::this_thread::sleep_for(Server.m_Options.m_ConnectCost);
  }

  // The framework shortens a body that is too large, so its length is checked.
  ServerAnswer answer(const ServerRequest &Received) {
    std::string_view Declared = Received.m_Header("Content-Length");
    if (Declared.empty() || Declared == std::to_string(Received.m_Body.size()))
      return m_Handler(Received);
    return errorAnswer(TooLargeStatus,
                       {ErrorCode::LimitExceeded,
                        "the body is larger than " +
                            std::to_string(m_Options.m_MaxBodyBytes) +
                            " bytes"});
  }

  static int serve(const _u_request *Request, _u_response *Response,
                   void *User) {
    auto &Server = *static_cast<State *>(User);
    ServerRequest Received;
    Received.m_Method = orEmpty(Request->http_verb);
    Received.m_Target = orEmpty(Request->http_url);
    Received.m_Path =
        std::string(Received.m_Target.substr(0, Received.m_Target.find('?')));
    if (Request->binary_body)
      Received.m_Body = {static_cast<const char *>(Request->binary_body),
                         Request->binary_body_length};
    Received.m_Header = [Request](const char *Name) {
      return orEmpty(u_map_get_case(Request->map_header, Name));
    };
    Received.m_Query = [Request](const char *Name) {
      return orEmpty(u_map_get(Request->map_url, Name));
    };
    Received.m_Peer = Peer(Server.findSocket(peerKey(Request->client_address)));
    ServerAnswer Answer = Server.answer(Received);
    if (Answer.m_Lost)
      Received.m_Peer.abort();
    for (const auto &[Name, Value] : Answer.m_Headers)
      u_map_put(Response->map_header, Name.c_str(), Value.c_str());
    Response->status = Answer.m_Status;
    if (Answer.m_Cut)
      setCutBody(Response, Answer);
    else if (!Answer.m_Body.empty())
      ulfius_set_binary_body_response(Response, Answer.m_Status,
                                      Answer.m_Body.data(),
                                      Answer.m_Body.size());
    return U_CALLBACK_COMPLETE;
  }

  bool startFramework(int Listener) {
    MHD_OptionItem Options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED,
         reinterpret_cast<intptr_t>(mhd_request_completed), nullptr},
        {MHD_OPTION_URI_LOG_CALLBACK,
         reinterpret_cast<intptr_t>(ulfius_uri_logger), nullptr},
        {MHD_OPTION_NOTIFY_CONNECTION,
         reinterpret_cast<intptr_t>(&State::connectionChanged), this},
        {MHD_OPTION_LISTEN_SOCKET, Listener, nullptr},
        {MHD_OPTION_CONNECTION_LIMIT,
         static_cast<intptr_t>(m_Options.m_MaxConnections), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, IdleTimeoutSeconds, nullptr},
        {MHD_OPTION_END, 0, nullptr}};
    constexpr unsigned int Flags = MHD_USE_THREAD_PER_CONNECTION |
                                   MHD_USE_INTERNAL_POLLING_THREAD |
                                   MHD_USE_POLL | MHD_USE_ITC;
    return ulfius_start_framework_with_mhd_options(&m_Instance, Flags,
                                                   Options) == U_OK;
  }
};

bool Peer::closesWithin(Duration Time) const {
  if (m_Socket < 0) {
    std::this_thread::sleep_for(Time);
    return false;
  }
  auto Seconds = std::chrono::floor<std::chrono::seconds>(Time);
  timespec Left{Seconds.count(), (Time - Seconds).count()};
  pollfd Watched{m_Socket, POLLRDHUP, 0};
  return ppoll(&Watched, 1, &Left, nullptr) > 0;
}

void Peer::abort() const {
  if (m_Socket >= 0)
    shutdown(m_Socket, SHUT_RDWR);
}

HttpServer::HttpServer(std::unique_ptr<State> State)
    : m_State(std::move(State)) {}

HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>> HttpServer::start(HttpServerOptions Options,
                                                      Handler Handler) {
  auto Server = std::make_unique<State>();
  Server->m_Options = std::move(Options);
  Server->m_Handler = std::move(Handler);
  Address &Listen = Server->m_Options.m_Listen;
  int Listener = openListener(Listen);
  if (Listener < 0)
    return fail(ErrorCode::Unavailable,
                "cannot listen on " + Listen.toString());
  Server->m_BindAddress = toSocketAddress(Listen);
  ulfius_init_instance(&Server->m_Instance, Listen.m_Port,
                       &Server->m_BindAddress, nullptr);
  Server->m_Instance.max_post_body_size = Server->m_Options.m_MaxBodyBytes;
  Server->m_Instance.check_utf8 = 0;
  Server->m_Instance.allowed_post_processor = U_POST_PROCESS_NONE;
  ulfius_set_default_endpoint(&Server->m_Instance, &State::serve, Server.get());
  if (!Server->startFramework(Listener)) {
    close(Listener);
    return fail(ErrorCode::Unavailable, "cannot serve " + Listen.toString());
  }
  Server->m_Started = true;
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(Server)));
}

const Address &HttpServer::address() const {
  return m_State->m_Options.m_Listen;
}

uint64_t HttpServer::connectionsAccepted() const { return m_State->m_Accepted; }

Result<uint64_t> readNumber(const ServerRequest &Request, const char *Name,
                            uint64_t Fallback, uint64_t Max) {
  std::string_view Text = Request.m_Query(Name);
  if (Text.empty())
    return Fallback;
  uint64_t Number = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Failure != std::errc() || End != Text.data() + Text.size() ||
      Number > Max)
    return fail(ErrorCode::InvalidInput,
                std::string("parameter ") + Name + " has the value \"" +
                    std::string(Text) + "\", not a whole number up to " +
                    std::to_string(Max));
  return Number;
}

ServerAnswer jsonAnswer(int Status, std::string Json) {
  ServerAnswer Answer;
  Answer.m_Status = Status;
  Answer.m_Headers["Content-Type"] = "application/json";
  Answer.m_Body = std::move(Json);
  return Answer;
}

ServerAnswer errorAnswer(int Status, const Error &Failure) {
  nlohmann::json Json{{"error", errorCodeName(Failure.m_Code)},
                      {"message", Failure.m_Message}};
  return jsonAnswer(
      Status,
      Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace hyssopcross::standins
