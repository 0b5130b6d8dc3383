#include "hyssopcross/http/Client.h"
#include "AnswerHead.h"
#include "hyssopcross/base/Invariant.h"
#include "hyssopcross/base/Log.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <sys/socket.h>

namespace hyssopcross::http {

namespace beast_http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Bytes read ahead of the parser: a head, or the line before a chunk, that
/// does not fit is no answer.
constexpr size_t BufferBytes = 64UL * 1024;
/// Room offered to one read of a head, and of a body.
constexpr size_t HeadReadChunk = 4096;
constexpr size_t BodyReadChunk = 32768;
/// Interval between two log lines of exceptions.
constexpr Duration FaultLogInterval = std::chrono::seconds(1);
/// An unfinished answer of less than this part of what may be held is never
/// given up, so that an endless one does not cost others theirs.
constexpr uint64_t LargeAnswerPart = 16;

using ServerKey = std::pair<std::string, uint16_t>;

ServerKey keyOf(const Address &Server) {
  return {Server.m_Host, Server.m_Port};
}

void setOption(int Socket, int Level, int Name, int Value) {
  // A kernel without the option only notices a dead peer later.
  ::setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

/// Makes the kernel end a connection whose peer no longer acknowledges, also
/// while nothing is sent.
void noticeSilence(int Socket, const ClientPolicy &Policy) {
  auto Silence = std::chrono::duration_cast<std::chrono::milliseconds>(
      Policy.m_SilenceTimeout);
  auto Idle = std::chrono::ceil<std::chrono::seconds>(Policy.m_SilenceTimeout);
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Silence.count()));
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(Idle.count()));
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(Idle.count()));
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, 2);
}

/// Whether a failed read or write shows that the server's end of the connection
/// closed or reset it.
bool isClosedByServer(const error_code &Failure) {
  return Failure == boost::asio::error::eof ||
         Failure == boost::asio::error::connection_reset ||
         Failure == boost::asio::error::broken_pipe ||
         Failure == beast_http::error::end_of_stream ||
         Failure == beast_http::error::partial_message;
}

} // namespace

const char *exchangeEndName(ExchangeEnd End) {
  switch (End) {
  case ExchangeEnd::Answered:
    return "answered";
  case ExchangeEnd::NotSent:
    return "not_sent";
  case ExchangeEnd::Broken:
    return "broken";
  case ExchangeEnd::Malformed:
    return "malformed";
  }
  return "unknown";
}

struct Client::State {
  State(boost::asio::io_context &Loop, const Clock &Time, ClientPolicy Policy)
      : m_Loop(Loop), m_Clock(Time), m_Policy(Policy) {}

  boost::asio::io_context &m_Loop;
  const Clock &m_Clock;
  ClientPolicy m_Policy;
  /// Idle connections of each server, the most recently used last.
  std::map<ServerKey, std::vector<std::shared_ptr<ClientConnection>>> m_Idle;
  /// Connections with an exchange under way, by server.
  std::map<ServerKey, std::set<ClientConnection *>> m_Active;
  /// Idle connections to keep, where that is not the policy's number.
  std::map<ServerKey, uint32_t> m_Keep;
  uint64_t m_Opened = 0;
  /// Bytes of unfinished answers.
  uint64_t m_HeldBytes = 0;
  bool m_Ended = false;
  /// Exceptions so far, and when the last one was logged.
  uint64_t m_Faults = 0;
  std::optional<TimePoint> m_FaultLoggedAt;

  /// Counts an exception and logs it at a bounded rate.
  void noteFault(const ServerKey &Server, const char *What) {
    ++m_Faults;
    TimePoint Now = m_Clock.now();
    if (m_FaultLoggedAt && Now - *m_FaultLoggedAt < FaultLogInterval)
      return;
    m_FaultLoggedAt = Now;
    logEvent(LogLevel::Error, "server_connection_fault",
             {{"host", Server.first},
              {"port", Server.second},
              {"error", What},
              {"faults", m_Faults}});
  }

  uint32_t idleLimit(const ServerKey &Server) const {
    auto Known = m_Keep.find(Server);
    return Known == m_Keep.end() ? m_Policy.m_IdleConnections : Known->second;
  }

  void endExchange(const ServerKey &Server, ClientConnection *Used) {
    auto Found = m_Active.find(Server);
    if (Found == m_Active.end())
      return;
    Found->second.erase(Used);
    if (Found->second.empty())
      m_Active.erase(Found);
  }
};

/// One connection to a server and the exchange that it carries, if any.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  ClientConnection(std::shared_ptr<Client::State> Owner, const Address &Server)
      : m_Owner(std::move(Owner)), m_Server(Server), m_Socket(m_Owner->m_Loop),
        m_ConnectTimer(m_Owner->m_Loop) {}

  void begin(std::shared_ptr<const Request> Asked, AnswerFilter Filter,
             ExchangeCallback Done) {
    m_Asked = std::move(Asked);
    m_Filter = std::move(Filter);
    m_Done = std::move(Done);
    m_Writing = false;
    m_MayBeSent = false;
    m_WriteFailure.clear();
    m_AwaitsWrite = false;
    m_ClosedByServer = false;
    m_ConnectionRefused = false;
    m_Skipped = 0;
    m_Owner->m_Active[keyOf(m_Server)].insert(this);
    if (m_Socket.is_open())
      exchange();
    else
      connect();
  }

  void cancel() {
    m_Owner->endExchange(keyOf(m_Server), this);
    hold(0);
    m_Done = nullptr;
    close();
  }

  bool mayBeSent() const { return m_MayBeSent; }

  void close() {
    error_code Ignored;
    m_ConnectTimer.cancel(Ignored);
    m_Socket.close(Ignored);
  }

  /// False if the server has closed the connection or has sent bytes that no
  /// request asked for.
  bool isQuiet() {
    char Byte = 0;
    ssize_t Got =
        ::recv(m_Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  TimePoint m_IdleSince;
  Duration m_IdleAge{};
  bool m_Reused = false;

private:
  void connect();
  void connected(const error_code &Failure);
  void exchange();
  void readAnswer();
  /// Parses what has arrived, and reads on while the answer is not whole.
  void parse();
  /// Looks at the head of an answer; false if it ends the exchange.
  bool headRead();
  void readMore();
  void received(const error_code &Failure, size_t Bytes);
  void written(const error_code &Failure, size_t Bytes);
  /// Ends the answer with the server's side of the connection.
  void serverEnded();
  /// Runs an action; an exception in it ends only this exchange.
  template <typename Action> void guarded(Action Act) {
    try {
      Act();
    } catch (const std::exception &Thrown) {
      failed(Thrown.what());
    }
  }
  /// Ends the exchange after an exception.
  void failed(const char *What);
  void answerRead(const error_code &Failure);
  /// Counts Bytes of the unfinished answer, in place of what was counted.
  void hold(uint64_t Bytes) {
    m_Owner->m_HeldBytes += Bytes - std::exchange(m_Held, Bytes);
  }
  void finish(ExchangeEnd End);
  void keepOrClose(bool KeepAlive);

  std::shared_ptr<Client::State> m_Owner;
  Address m_Server;
  tcp::socket m_Socket;
  boost::asio::steady_timer m_ConnectTimer;
  boost::beast::flat_buffer m_Buffer{BufferBytes};
  std::shared_ptr<const Request> m_Asked;
  std::optional<beast_http::request_serializer<beast_http::string_body>>
      m_Serializer;
  std::optional<beast_http::response_parser<beast_http::string_body>> m_Parser;
  /// Head of a chunked answer, without the trailers that the parser adds.
  std::optional<Response::header_type> m_Head;
  /// Counts the bytes of chunk extensions; the parser refers to it.
  std::function<void(uint64_t, boost::beast::string_view, error_code &)>
      m_OnChunk;
  uint64_t m_ExtensionBytes = 0;
  AnswerFilter m_Filter;
  ExchangeCallback m_Done;
  bool m_Writing = false;
  bool m_MayBeSent = false;
  /// The error of the write of the request, if it failed.
  error_code m_WriteFailure;
  /// The server has ended its side; whether that cuts its answer depends on how
  /// the write of the request ends.
  bool m_AwaitsWrite = false;
  uint64_t m_Held = 0;
  uint32_t m_Skipped = 0;
  bool m_ClosedByServer = false;
  bool m_ConnectionRefused = false;
};

void ClientConnection::connect() {
  error_code Failure;
  auto Host = boost::asio::ip::make_address_v4(m_Server.m_Host, Failure);
  if (!Failure)
    m_Socket.open(tcp::v4(), Failure);
  if (!Failure)
    m_Socket.set_option(tcp::no_delay(true), Failure);
  auto Self = shared_from_this();
  if (Failure) {
    boost::asio::post(m_Owner->m_Loop, [Self, Failure] {
      Self->guarded([&] { Self->connected(Failure); });
    });
    return;
  }
  noticeSilence(m_Socket.native_handle(), m_Owner->m_Policy);
  ++m_Owner->m_Opened;
  m_ConnectTimer.expires_after(m_Owner->m_Policy.m_ConnectTimeout);
  m_ConnectTimer.async_wait([Self](const error_code &Ended) {
    if (!Ended)
      Self->m_Socket.close();
  });
  m_Socket.async_connect(tcp::endpoint(Host, m_Server.m_Port),
                         [Self](const error_code &Ended) {
                           Self->guarded([&] { Self->connected(Ended); });
                         });
}

void ClientConnection::connected(const error_code &Failure) {
  m_ConnectTimer.cancel();
  if (!m_Done)
    return;
  m_ConnectionRefused = Failure == boost::asio::error::connection_refused;
  if (Failure || !m_Socket.is_open())
    return finish(ExchangeEnd::NotSent);
  exchange();
}

void ClientConnection::exchange() {
  auto Self = shared_from_this();
  m_Writing = true;
  m_MayBeSent = true;
  m_Serializer.emplace(*m_Asked);
  beast_http::async_write(
      m_Socket, *m_Serializer, [Self](const error_code &Failure, size_t Bytes) {
        Self->guarded([&] { Self->written(Failure, Bytes); });
      });
  readAnswer();
}

void ClientConnection::readAnswer() {
  m_Parser.emplace();
  m_Parser->header_limit(BufferBytes);
  m_Parser->body_limit(m_Owner->m_Policy.m_AnswerBytes);
  m_Parser->skip(m_Asked->method() == beast_http::verb::head);
  m_Head.reset();
  m_ExtensionBytes = 0;
  parse();
}

void ClientConnection::parse() {
  error_code Failure;
  while (m_Buffer.size() > 0 && !Failure && !m_Parser->is_done()) {
    bool WasInHead = !m_Parser->is_header_done();
    auto Input = m_Buffer.cdata();
    size_t Used = m_Parser->put(Input, Failure);
    // The parser consumes a field and its folded lines in one call.
    std::string_view Taken(static_cast<const char *>(Input.data()), Used);
    if (WasInHead && hasFoldedLine(Taken))
      return finish(ExchangeEnd::Malformed);
    m_Buffer.consume(Used);
    if (WasInHead && m_Parser->is_header_done() && !Failure && !headRead())
      return;
  }
  if (Failure == beast_http::error::need_more)
    Failure = {};
  if (Failure || m_Parser->is_done())
    return answerRead(Failure);
  // What is neither consumed nor complete by now is one line or one head.
  if (m_Buffer.size() >= BufferBytes)
    return answerRead(beast_http::error::buffer_overflow);
  uint64_t Bytes = m_Parser->get().body().size();
  hold(Bytes);
  uint64_t Limit = m_Owner->m_Policy.m_HeldBytes;
  if (m_Owner->m_HeldBytes > Limit && Bytes >= Limit / LargeAnswerPart)
    return finish(ExchangeEnd::Malformed);
  readMore();
}

bool ClientConnection::headRead() {
  if (!hasKnownCoding(m_Parser->get())) {
    finish(ExchangeEnd::Malformed);
    return false;
  }
  if (!m_Parser->chunked())
    return true;
  m_Head = m_Parser->get().base();
  m_OnChunk = [this](uint64_t, boost::beast::string_view Extension,
                     error_code &Failure) {
    m_ExtensionBytes += Extension.size();
    if (m_ExtensionBytes > BufferBytes)
      Failure = beast_http::error::header_limit;
  };
  m_Parser->on_chunk_header(m_OnChunk);
  return true;
}

void ClientConnection::readMore() {
  // A body is read in larger parts than a head.
  size_t Wanted = m_Parser->is_header_done() ? BodyReadChunk : HeadReadChunk;
  size_t Room = std::min(Wanted, BufferBytes - m_Buffer.size());
  m_Socket.async_read_some(
      m_Buffer.prepare(Room),
      [Self = shared_from_this()](const error_code &Failure, size_t Bytes) {
        Self->guarded([&] { Self->received(Failure, Bytes); });
      });
}

void ClientConnection::received(const error_code &Failure, size_t Bytes) {
  if (!m_Done)
    return;
  m_Buffer.commit(Bytes);
  if (!Failure)
    return parse();
  if (Failure != boost::asio::error::eof)
    return answerRead(Failure);
  // An answer without a length is cut if the server closes the connection
  // before it has read the request, which shows only in the write.
  m_AwaitsWrite = m_Writing && m_Parser->need_eof();
  if (!m_AwaitsWrite)
    serverEnded();
}

void ClientConnection::written(const error_code &Failure, size_t Bytes) {
  m_Writing = false;
  m_WriteFailure = Failure;
  if (!m_Done)
    return;
  if (m_AwaitsWrite) {
    // The server's side had ended in order before, so that a server which only
    // stops reading has not cut its answer.
    if (Failure == boost::asio::error::timed_out)
      m_WriteFailure.clear();
    return serverEnded();
  }
  // A failure after the first byte shows in the reading too, after what the
  // server may have answered before.
  if (Failure && Bytes == 0)
    finish(ExchangeEnd::NotSent);
}

void ClientConnection::serverEnded() {
  // The kernel reports the error of a connection to one call only. After the
  // write got it, the read returned an end of file.
  if (m_WriteFailure)
    return answerRead(m_WriteFailure);
  if (!m_Parser->got_some())
    return answerRead(beast_http::error::end_of_stream);
  error_code Ended;
  m_Parser->put_eof(Ended);
  answerRead(Ended);
}

void ClientConnection::answerRead(const error_code &Failure) {
  if (!m_Done)
    return;
  if (Failure) {
    bool IsMalformed =
        Failure.category() ==
            make_error_code(beast_http::error::bad_version).category() &&
        Failure != beast_http::error::end_of_stream &&
        Failure != beast_http::error::partial_message;
    m_ClosedByServer = isClosedByServer(Failure);
    return finish(IsMalformed ? ExchangeEnd::Malformed : ExchangeEnd::Broken);
  }
  const Response &Answer = m_Parser->get();
  bool IsInterim = Answer.result_int() < 200;
  if (IsInterim || (m_Filter && !m_Filter(Answer))) {
    if (!Answer.keep_alive())
      return finish(ExchangeEnd::Broken);
    if (++m_Skipped > m_Owner->m_Policy.m_SkippedAnswers)
      return finish(ExchangeEnd::Malformed);
    return readAnswer();
  }
  finish(ExchangeEnd::Answered);
}

void ClientConnection::failed(const char *What) {
  m_Owner->noteFault(keyOf(m_Server), What);
  // The callback has been called already if it was the one that threw.
  if (m_Done) {
    try {
      finish(ExchangeEnd::Malformed);
    } catch (const std::exception &Thrown) {
      m_Owner->noteFault(keyOf(m_Server), Thrown.what());
    }
  }
  close();
}

void ClientConnection::finish(ExchangeEnd End) {
  auto Self = shared_from_this();
  ExchangeResult Ended;
  Ended.m_End = End;
  Ended.m_Reused = m_Reused;
  Ended.m_ClosedByServer = m_ClosedByServer && End == ExchangeEnd::Broken;
  Ended.m_ConnectionRefused = m_ConnectionRefused;
  bool KeepAlive = false;
  if (End == ExchangeEnd::Answered) {
    KeepAlive = m_Parser->keep_alive() && !m_Parser->need_eof();
    auto Stated = statedTimeout(m_Parser->get());
    m_IdleAge =
        Stated ? std::max(Duration(0), *Stated - m_Owner->m_Policy.m_IdleMargin)
               : m_Owner->m_Policy.m_IdleAge;
    Ended.m_Answer = m_Parser->release();
    if (m_Head)
      Ended.m_Answer.base() = std::move(*m_Head);
  }
  m_Filter = nullptr;
  hold(0);
  m_Owner->endExchange(keyOf(m_Server), this);
  auto Done = std::exchange(m_Done, nullptr);
  keepOrClose(KeepAlive);
  Done(std::move(Ended));
}

void ClientConnection::keepOrClose(bool KeepAlive) {
  auto &Idle = m_Owner->m_Idle[keyOf(m_Server)];
  bool Keep = KeepAlive && !m_Writing && m_Buffer.size() == 0 &&
              !m_Owner->m_Ended &&
              Idle.size() < m_Owner->idleLimit(keyOf(m_Server));
  if (!Keep)
    return close();
  m_Parser.reset();
  m_Serializer.reset();
  m_Asked.reset();
  m_Buffer.shrink_to_fit();
  m_IdleSince = m_Owner->m_Clock.now();
  m_Reused = true;
  Idle.push_back(shared_from_this());
}

void ClientCall::cancel() { m_Connection->cancel(); }

bool ClientCall::mayBeSent() const { return m_Connection->mayBeSent(); }

Client::Client(boost::asio::io_context &Loop, const Clock &Time,
               ClientPolicy Policy)
    : m_State(std::make_shared<State>(Loop, Time, Policy)) {}

Client::~Client() {
  m_State->m_Ended = true;
  // Whoever waits may hold the connection that holds its callback.
  auto Active = std::exchange(m_State->m_Active, {});
  for (const auto &[Server, Connections] : Active)
    for (ClientConnection *Each : Connections)
      Each->shared_from_this()->cancel();
  for (auto &[Server, Connections] : m_State->m_Idle)
    for (auto &Connection : Connections)
      Connection->close();
  m_State->m_Idle.clear();
}

std::shared_ptr<ClientCall> Client::send(const Address &Server,
                                         std::shared_ptr<const Request> Asked,
                                         Duration MaxIdle, AnswerFilter Filter,
                                         ExchangeCallback Done) {
  HYSSOPCROSS_INVARIANT(Done != nullptr, "an exchange reports its end");
  auto &Idle = m_State->m_Idle[keyOf(Server)];
  TimePoint Now = m_State->m_Clock.now();
  std::shared_ptr<ClientConnection> Taken;
  while (!Idle.empty() && !Taken) {
    auto Last = Idle.back();
    Idle.pop_back();
    Duration Age = Now - Last->m_IdleSince;
    if (Age <= std::min(MaxIdle, Last->m_IdleAge) && Last->isQuiet())
      Taken = Last;
    else
      Last->close();
  }
  if (!Taken)
    Taken = std::make_shared<ClientConnection>(m_State, Server);
  Taken->begin(std::move(Asked), std::move(Filter), std::move(Done));
  return std::make_shared<ClientCall>(Taken);
}

void Client::dropIdle(const Address &Server) {
  auto Found = m_State->m_Idle.find(keyOf(Server));
  if (Found == m_State->m_Idle.end())
    return;
  for (auto &Connection : Found->second)
    Connection->close();
  m_State->m_Idle.erase(Found);
}

void Client::keepIdle(const Address &Server, uint32_t Count) {
  m_State->m_Keep[keyOf(Server)] = Count;
  auto Found = m_State->m_Idle.find(keyOf(Server));
  if (Found == m_State->m_Idle.end())
    return;
  auto &Connections = Found->second;
  while (Connections.size() > Count) {
    Connections.front()->close();
    Connections.erase(Connections.begin());
  }
}

uint32_t Client::connectionCount(const Address &Server) const {
  auto Idle = m_State->m_Idle.find(keyOf(Server));
  auto Active = m_State->m_Active.find(keyOf(Server));
  size_t Count = 0;
  if (Idle != m_State->m_Idle.end())
    Count += Idle->second.size();
  if (Active != m_State->m_Active.end())
    Count += Active->second.size();
  return static_cast<uint32_t>(Count);
}

void Client::sweep() {
  TimePoint Now = m_State->m_Clock.now();
  for (auto Server = m_State->m_Idle.begin();
       Server != m_State->m_Idle.end();) {
    auto &Connections = Server->second;
    auto IsOver = [&](const std::shared_ptr<ClientConnection> &Connection) {
      if (Now - Connection->m_IdleSince <= Connection->m_IdleAge)
        return false;
      Connection->close();
      return true;
    };
    Connections.erase(
        std::remove_if(Connections.begin(), Connections.end(), IsOver),
        Connections.end());
    Server =
        Connections.empty() ? m_State->m_Idle.erase(Server) : std::next(Server);
  }
}

uint64_t Client::openedCount() const { return m_State->m_Opened; }

uint64_t Client::faultCount() const { return m_State->m_Faults; }

} // namespace hyssopcross::http
