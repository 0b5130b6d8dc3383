#ifndef HYSSOPCROSS_HTTP_LISTENER_H
#define HYSSOPCROSS_HTTP_LISTENER_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Settings.h"
#include "hyssopcross/http/Message.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace hyssopcross::http {

/// What a peer may send and how long it may take. Changed at any time through
/// Listener::setLimits; holds for what is read afterwards.
struct ServerLimits {
  /// Bytes of one request's line and headers.
  uint32_t m_HeaderBytes = 16 * 1024;
  /// Bytes of one request's body.
  uint64_t m_BodyBytes = 64ULL << 20;
  /// From a request's first byte to the end of its headers.
  Duration m_HeaderTimeout = std::chrono::seconds(3);
  /// How long a connection without a request stays open.
  Duration m_IdleTimeout = std::chrono::seconds(15);
  /// How long an answer may wait for a peer that does not read.
  Duration m_WriteTimeout = std::chrono::seconds(10);
  /// How long a body may take once its headers are in.
  Duration m_BodyTimeout = std::chrono::seconds(30);
  /// Connections at a time; one beyond them is closed at once.
  size_t m_Connections = SIZE_MAX;
  /// Requests of one connection that wait for their answers at a time.
  uint32_t m_PipelineDepth = 32;
  /// Bytes of request bodies, unfinished or not yet answered, that all
  /// connections of the listener hold at a time. One body alone may exceed it.
  uint64_t m_HeldBytes = 64ULL << 20;
  /// Fields of one request's head.
  uint32_t m_HeaderFields = 16384;
  /// Bytes of chunk extensions and trailers of one request.
  uint64_t m_ExtraBytes = 64ULL * 1024;
};

/// Bytes of a head that the parser holds: its fields count their bytes with 16
/// bits. ServerLimits::m_HeaderBytes beyond it has no further effect.
constexpr uint32_t MaxHeaderBytes = 65535;

/// Why input is refused before a handler sees it.
enum class InputFault : uint8_t {
  /// The request line or a field is malformed.
  Head,
  /// The length of the body is stated twice or is no number.
  ContentLength,
  /// A transfer coding other than chunked, or together with a length.
  TransferCoding,
  /// Two hosts are named.
  Host,
  TraceBody,
  HeaderBytes,
  HeaderFields,
  BodyBytes,
  /// A malformed chunk or trailer.
  Chunk,
  Trailer,
  /// Too many bytes of chunk extensions and trailers.
  ExtraBytes,
  /// The memory for bodies is in use.
  Memory,
  HeaderTime,
  BodyTime,
  /// An unforeseen exception while the connection was served.
  Exception,
};

/// The stable lower-case name of a fault, as it appears in logs and metrics.
const char *inputFaultName(InputFault Fault);

/// The status that answers a fault.
unsigned inputFaultStatus(InputFault Fault);

class ServerConnection;

/// One request that waits for its answer. Shared by the connection and the
/// code that answers; the answer may be given once, at any time, and is dropped
/// if the peer has left. All calls on the thread of the event loop.
class Exchange {
public:
  Exchange(std::shared_ptr<ServerConnection> Connection, Request Asked,
           TimePoint ReceivedAt)
      : m_Request(std::move(Asked)), m_ReceivedAt(ReceivedAt),
        m_Connection(std::move(Connection)) {}

  /// The request as received. Its body may be moved out.
  Request m_Request;
  /// When the request's first byte was read.
  TimePoint m_ReceivedAt;

  /// Gives the final answer.
  void answer(Response Answer);

  /// Called once if the peer leaves before the answer. Replaces an earlier
  /// handler.
  void onPeerGone(std::function<void()> Handler);

  bool isAnswered() const { return m_Answered; }

  /// False once the peer has left; an answer then reaches nobody.
  bool hasPeer() const { return m_Connection != nullptr; }

private:
  friend class ServerConnection;
  std::shared_ptr<ServerConnection> m_Connection;
  std::function<void()> m_PeerGone;
  Response m_Answer;
  bool m_Answered = false;
  /// Releases the memory that is counted for the body.
  std::shared_ptr<void> m_BodyHold;
  bool m_KeepAlive = true;
  bool m_IsHead = false;
};

using RequestHandler = std::function<void(std::shared_ptr<Exchange>)>;

/// Makes the answer to input that is refused with a status before a handler
/// sees it: malformed, too large, too slow, or beyond the memory for bodies.
using RefusalMaker = std::function<Response(unsigned Status)>;

/// Told of each refusal of input; Detail is the text of an exception.
using FaultObserver =
    std::function<void(InputFault Fault, std::string_view Detail)>;

/// Accepts connections on one address and reads their requests. Requests of one
/// connection run side by side; their answers go out in order. Lives on one
/// event loop, whose thread makes all calls; the loop must outlive it.
class Listener {
public:
  Listener(boost::asio::io_context &Loop, const Clock &Time,
           RequestHandler Handler);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  /// Starts to accept. Fails if the address cannot be bound.
  Result<void> listen(const Address &At);

  void setLimits(const ServerLimits &Limits);

  /// Replaces the empty answer that refused input gets.
  void setRefusal(RefusalMaker Make);

  /// Sets who is told of refused input.
  void setFaultObserver(FaultObserver Observe);

  /// From now on every answer ends its connection.
  void closeAfterAnswers();

  /// Accepts no more connections.
  void stopAccepting();

  /// Closes the connections on which no request waits.
  void closeIdle();

  /// Closes what has exceeded its time. The owner calls it a few times a
  /// second.
  void sweep();

  size_t connectionCount() const;

  /// Connections with a request that waits for its answer or is being read.
  size_t busyCount() const;

  /// Shared with the connections, which may outlive the listener for a moment.
  struct State;

private:
  std::shared_ptr<State> m_State;
};

} // namespace hyssopcross::http

#endif
