#ifndef HYSSOPCROSS_HTTP_CLIENT_H
#define HYSSOPCROSS_HTTP_CLIENT_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Settings.h"
#include "hyssopcross/http/Message.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace hyssopcross::http {

/// How an exchange with a server ended.
enum class ExchangeEnd {
  /// A whole answer arrived.
  Answered,
  /// No byte of the request left this VM.
  NotSent,
  /// The connection ended or went silent before a whole answer; the server may
  /// have acted.
  Broken,
  /// What arrived is no answer; the server may have acted.
  Malformed,
};

/// The stable lower-case name of an end, as it appears in logs.
const char *exchangeEndName(ExchangeEnd End);

struct ExchangeResult {
  ExchangeEnd m_End = ExchangeEnd::NotSent;
  Response m_Answer;
  /// The request went over a connection that had been used before.
  bool m_Reused = false;
  /// Of a broken exchange: the server's end closed or reset the connection, so
  /// it did not go silent.
  bool m_ClosedByServer = false;
  /// Of an exchange that was not sent: the server's host refused the
  /// connection, so nothing listens at the address.
  bool m_ConnectionRefused = false;
};

struct ClientPolicy {
  /// How long opening a connection may take. A SYN that is dropped is sent
  /// again only after a second, so there is no point in waiting longer.
  Duration m_ConnectTimeout = std::chrono::milliseconds(400);
  /// How long sent bytes may stay unacknowledged before the connection counts
  /// as gone. Several times the longest round trip between data centres.
  Duration m_SilenceTimeout = std::chrono::milliseconds(1000);
  /// Idle age up to which a connection is reused if the server names no
  /// timeout of its own.
  Duration m_IdleAge = std::chrono::seconds(4);
  /// Safety distance to the timeout that a server names.
  Duration m_IdleMargin = std::chrono::milliseconds(1500);
  /// Idle connections kept for one server.
  uint32_t m_IdleConnections = 8;
  /// Largest answer that is read.
  uint64_t m_AnswerBytes = 32ULL << 20;
  /// Bytes of unfinished answers, of all exchanges together, beyond which the
  /// large ones are given up: a faulty server may send without end.
  uint64_t m_HeldBytes = 64ULL << 20;
  /// Interim answers, and answers to other requests, that one exchange skips.
  uint32_t m_SkippedAnswers = 16;
};

class ClientConnection;

/// One exchange that is under way.
class ClientCall {
public:
  explicit ClientCall(std::shared_ptr<ClientConnection> Connection)
      : m_Connection(std::move(Connection)) {}

  /// Ends the exchange by closing its connection, which tells the server to
  /// stop. The callback is not called any more.
  void cancel();

  /// Whether any byte of the request may have left this VM.
  bool mayBeSent() const;

private:
  std::shared_ptr<ClientConnection> m_Connection;
};

/// Decides whether an answer belongs to the request. One that does not is
/// skipped, and the next one on the connection is read. Null takes the first.
using AnswerFilter = std::function<bool(const Response &)>;
using ExchangeCallback = std::function<void(ExchangeResult)>;

/// Sends requests over kept connections, one exchange at a time on each. Never
/// repeats a request. Lives on one event loop, whose thread makes all calls.
class Client {
public:
  Client(boost::asio::io_context &Loop, const Clock &Time, ClientPolicy Policy);
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  /// Sends Asked to a server. A kept connection that has been idle for longer
  /// than MaxIdle is not used. The callback is called exactly once, later,
  /// unless the call is cancelled.
  std::shared_ptr<ClientCall> send(const Address &Server,
                                   std::shared_ptr<const Request> Asked,
                                   Duration MaxIdle, AnswerFilter Filter,
                                   ExchangeCallback Done);

  /// Closes the idle connections to a server: it has left, or a connection to
  /// it turned out to be dead.
  void dropIdle(const Address &Server);

  /// Sets how many idle connections to a server are kept, instead of the
  /// policy's number; those beyond it are closed.
  void keepIdle(const Address &Server, uint32_t Count);

  /// Connections to a server, idle or with an exchange under way.
  uint32_t connectionCount(const Address &Server) const;

  /// Closes connections whose idle time is over.
  void sweep();

  /// Connections opened since the start.
  uint64_t openedCount() const;

  /// Exceptions that ended an exchange since the start.
  uint64_t faultCount() const;

  /// Shared with the connections, which may outlive the client for a moment.
  struct State;

private:
  std::shared_ptr<State> m_State;
};

} // namespace hyssopcross::http

#endif
