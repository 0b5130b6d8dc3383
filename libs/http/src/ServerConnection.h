#ifndef HYSSOPCROSS_HTTP_SRC_SERVERCONNECTION_H
#define HYSSOPCROSS_HTTP_SRC_SERVERCONNECTION_H

#include "Framing.h"
#include "hyssopcross/http/Listener.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <deque>
#include <optional>
#include <unordered_set>

namespace hyssopcross::http {

/// What a listener shares with its connections.
struct Listener::State {
  State(boost::asio::io_context &Loop, const Clock &Time,
        RequestHandler Handler)
      : m_Loop(Loop), m_Clock(Time), m_Handler(std::move(Handler)),
        m_Acceptor(Loop) {}

  boost::asio::io_context &m_Loop;
  const Clock &m_Clock;
  RequestHandler m_Handler;
  RefusalMaker m_MakeRefusal = [](unsigned Status) {
    return makeResponse(Status);
  };
  FaultObserver m_OnFault;
  ServerLimits m_Limits;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::unordered_set<std::shared_ptr<ServerConnection>> m_Connections;
  /// Bytes of bodies that are being read or whose requests are not answered.
  uint64_t m_HeldBytes = 0;
  bool m_CloseAfterAnswers = false;
};

/// A request whose body is being read.
struct IncomingRequest {
  Request m_Message;
  Framing m_Framing;
  ChunkReader m_Chunks;
  bool m_KeepAlive = true;
};

/// One accepted connection. Reads on while requests are being answered, so that
/// pipelined requests are seen and a peer that leaves is noticed.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(std::shared_ptr<Listener::State> Owner,
                   boost::asio::ip::tcp::socket Socket);

  void start();
  /// Ends the connection; whoever still answers is told that the peer left.
  void close();
  void closeIfOverdue(TimePoint Now);
  bool isIdle() const;
  /// Writes what is answered, in the order of the requests.
  void flush();

private:
  void read();
  void received(size_t Bytes);
  /// Parses what is buffered, as far as the pipeline has room.
  void parse();
  /// Parses one step; false once nothing more can be parsed.
  bool parseSome();
  bool parseHead();
  bool parseBody();
  /// Counts the bytes of the body that is being read; false if there is no
  /// memory for them.
  bool holdBody(uint64_t Bytes);
  void refuseInput(InputFault Fault);
  void finishRequest();
  void written(const boost::system::error_code &Failure);
  /// Sends the interim answer to a client that waits for it before the body.
  void sendContinue();
  bool mayParse() const;
  bool mayRead() const;
  std::string_view buffered() const;
  /// Runs an action; an exception in it ends only this connection.
  template <typename Action> void guarded(Action Act);

  std::shared_ptr<Listener::State> m_Owner;
  boost::asio::ip::tcp::socket m_Socket;
  /// Target of the read in progress. Separate from the buffer, which may be
  /// parsed meanwhile.
  std::unique_ptr<char[]> m_ReadArea;
  size_t m_ReadAreaBytes = 0;
  boost::beast::flat_buffer m_Buffer;
  HeadScan m_Scan;
  /// Set while a body is being read.
  std::optional<IncomingRequest> m_Incoming;
  std::deque<std::shared_ptr<Exchange>> m_Waiting;
  std::shared_ptr<Exchange> m_Writing;
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::string_body>>
      m_Serializer;
  TimePoint m_LastActivity;
  TimePoint m_RequestStart;
  TimePoint m_WriteStart;
  /// When the last answer of the connection was written.
  std::optional<TimePoint> m_EndedAt;
  uint64_t m_CountedBytes = 0;
  bool m_Reading = false;
  bool m_IsParsing = false;
  /// The client waits for an interim answer.
  bool m_OwesContinue = false;
  bool m_WritingContinue = false;
  /// No further request is read: the peer asked for the end, or sent what
  /// cannot be understood.
  bool m_NoMoreRequests = false;
  bool m_Closed = false;
};

} // namespace hyssopcross::http

#endif
