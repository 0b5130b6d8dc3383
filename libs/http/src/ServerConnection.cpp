#include "ServerConnection.h"
#include "hyssopcross/base/Invariant.h"
#include <boost/asio/buffer.hpp>

namespace hyssopcross::http {

namespace beast_http = boost::beast::http;

namespace {

/// Room offered to one read; a few typical requests.
constexpr size_t ReadChunk = 4096;
/// The same while a body is being read.
constexpr size_t BodyReadChunk = 32768;
/// Bytes of requests beyond the depth of the pipeline that are read ahead.
constexpr size_t MaxReadAhead = 16384;

} // namespace

void Exchange::answer(Response Answer) {
  HYSSOPCROSS_INVARIANT(!m_Answered, "a request is answered once");
  m_Answered = true;
  m_PeerGone = nullptr;
  m_Answer = std::move(Answer);
  if (m_Connection)
    m_Connection->flush();
}

void Exchange::onPeerGone(std::function<void()> Handler) {
  m_PeerGone = std::move(Handler);
}

ServerConnection::ServerConnection(std::shared_ptr<Listener::State> Owner,
                                   boost::asio::ip::tcp::socket Socket)
    : m_Owner(std::move(Owner)), m_Socket(std::move(Socket)),
      m_LastActivity(m_Owner->m_Clock.now()) {}

void ServerConnection::start() {
  boost::system::error_code Ignored;
  m_Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  read();
}

bool ServerConnection::isIdle() const {
  return m_Waiting.empty() && !m_Writing && !m_Parser && m_Buffer.size() == 0;
}

bool ServerConnection::mayRead() const {
  bool PipelineFull = m_Waiting.size() >= m_Owner->m_Limits.m_PipelineDepth;
  return !m_Closed && !m_Reading &&
         (!PipelineFull || m_Buffer.size() < MaxReadAhead);
}

void ServerConnection::read() {
  if (!mayRead())
    return;
  m_Reading = true;
  size_t Room =
      m_Parser && m_Parser->is_header_done() ? BodyReadChunk : ReadChunk;
  m_Socket.async_read_some(
      m_Buffer.prepare(Room),
      [Self = shared_from_this()](const boost::system::error_code &Failure,
                                  size_t Bytes) {
        Self->m_Reading = false;
        if (Self->m_Closed)
          return;
        if (Failure)
          return Self->close();
        Self->received(Bytes);
      });
}

void ServerConnection::received(size_t Bytes) {
  m_Buffer.commit(Bytes);
  m_LastActivity = m_Owner->m_Clock.now();
  // What follows a request that ends the connection is read only to notice
  // that the peer leaves.
  if (m_NoMoreRequests)
    m_Buffer.consume(m_Buffer.size());
  while (!m_Closed && !m_NoMoreRequests && m_Buffer.size() > 0 &&
         m_Waiting.size() < m_Owner->m_Limits.m_PipelineDepth && parseSome()) {
  }
  if (m_Buffer.size() == 0)
    m_Buffer.shrink_to_fit();
  read();
}

bool ServerConnection::parseSome() {
  const ServerLimits &Limits = m_Owner->m_Limits;
  if (!m_Parser) {
    m_Parser.emplace();
    m_Parser->eager(true);
    m_Parser->header_limit(Limits.m_HeaderBytes);
    m_Parser->body_limit(Limits.m_BodyBytes);
    m_RequestStart = m_Owner->m_Clock.now();
  }
  boost::system::error_code Failure;
  size_t Used = m_Parser->put(m_Buffer.data(), Failure);
  m_Buffer.consume(Used);
  if (Failure == beast_http::error::need_more)
    Failure = {};
  if (Failure) {
    unsigned Status = 400;
    if (Failure == beast_http::error::header_limit)
      Status = 431;
    if (Failure == beast_http::error::body_limit)
      Status = 413;
    refuseInput(Status);
    return false;
  }
  if (m_Parser->is_header_done()) {
    uint64_t Held = m_Parser->get().body().size();
    m_Owner->m_HeldBytes += Held - m_CountedBytes;
    m_CountedBytes = Held;
    if (m_Owner->m_HeldBytes > Limits.m_HeldBytes) {
      refuseInput(503);
      return false;
    }
  }
  if (m_Parser->is_done()) {
    finishRequest();
    return true;
  }
  return Used > 0 && m_Buffer.size() > 0;
}

void ServerConnection::refuseInput(unsigned Status) {
  m_Owner->m_HeldBytes -= m_CountedBytes;
  m_CountedBytes = 0;
  m_Parser.reset();
  m_NoMoreRequests = true;
  m_Buffer.consume(m_Buffer.size());
  auto Refused = std::make_shared<Exchange>(shared_from_this(), Request(),
                                            m_Owner->m_Clock.now());
  Refused->m_KeepAlive = false;
  m_Waiting.push_back(Refused);
  Refused->answer(m_Owner->m_MakeRefusal(Status));
}

void ServerConnection::finishRequest() {
  auto Asked = std::make_shared<Exchange>(shared_from_this(),
                                          m_Parser->release(), m_RequestStart);
  m_Parser.reset();
  m_Owner->m_HeldBytes -= m_CountedBytes;
  m_CountedBytes = 0;
  Asked->m_KeepAlive = Asked->m_Request.keep_alive();
  Asked->m_IsHead = Asked->m_Request.method() == beast_http::verb::head;
  m_NoMoreRequests = !Asked->m_KeepAlive;
  m_Waiting.push_back(Asked);
  m_Owner->m_Handler(Asked);
}

void ServerConnection::flush() {
  if (m_Closed || m_Writing || m_Waiting.empty() ||
      !m_Waiting.front()->m_Answered)
    return;
  m_Writing = m_Waiting.front();
  m_Waiting.pop_front();
  Response &Answer = m_Writing->m_Answer;
  if (m_Owner->m_CloseAfterAnswers)
    m_Writing->m_KeepAlive = false;
  Answer.version(11);
  Answer.keep_alive(m_Writing->m_KeepAlive);
  m_WriteStart = m_Owner->m_Clock.now();
  m_Serializer.emplace(Answer);
  auto Written =
      [Self = shared_from_this()](const boost::system::error_code &Failure,
                                  size_t) { Self->written(Failure); };
  // A HEAD request is answered with the headers alone.
  if (m_Writing->m_IsHead)
    beast_http::async_write_header(m_Socket, *m_Serializer, Written);
  else
    beast_http::async_write(m_Socket, *m_Serializer, Written);
}

void ServerConnection::written(const boost::system::error_code &Failure) {
  if (m_Closed)
    return;
  bool KeepAlive = m_Writing->m_KeepAlive;
  m_Serializer.reset();
  m_Writing->m_Connection.reset();
  m_Writing.reset();
  m_LastActivity = m_Owner->m_Clock.now();
  if (Failure)
    return close();
  if (!KeepAlive) {
    // The peer closes once it has read the answer. Closing here first, with
    // its later requests unread, could reset the answer on its way.
    m_NoMoreRequests = true;
    boost::system::error_code Ignored;
    m_Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
    for (auto &Left : m_Waiting)
      if (Left->m_PeerGone)
        std::exchange(Left->m_PeerGone, nullptr)();
    for (auto &Left : m_Waiting)
      Left->m_Connection.reset();
    m_Waiting.clear();
    return;
  }
  flush();
  // Requests that were held back by the depth of the pipeline.
  if (!m_Closed && !m_Reading)
    received(0);
}

void ServerConnection::close() {
  if (m_Closed)
    return;
  m_Closed = true;
  auto Self = shared_from_this();
  m_Owner->m_HeldBytes -= m_CountedBytes;
  m_CountedBytes = 0;
  boost::system::error_code Ignored;
  m_Socket.close(Ignored);
  if (m_Writing)
    m_Writing->m_Connection.reset();
  auto Left = std::move(m_Waiting);
  m_Waiting.clear();
  for (auto &Asked : Left) {
    Asked->m_Connection.reset();
    if (Asked->m_PeerGone)
      std::exchange(Asked->m_PeerGone, nullptr)();
  }
  m_Owner->m_Connections.erase(Self);
}

void ServerConnection::closeIfOverdue(TimePoint Now) {
  const ServerLimits &Limits = m_Owner->m_Limits;
  if (m_Writing) {
    if (Now - m_WriteStart > Limits.m_WriteTimeout)
      close();
    return;
  }
  if (m_Parser) {
    Duration Allowed = Limits.m_HeaderTimeout;
    if (m_Parser->is_header_done())
      Allowed += Limits.m_BodyTimeout;
    if (Now - m_RequestStart > Allowed)
      refuseInput(408);
    return;
  }
  if (!m_Waiting.empty())
    return;
  // A peer that was told of the end gets a second to close by itself.
  Duration Allowed = m_NoMoreRequests ? Duration(std::chrono::seconds(1))
                                      : Limits.m_IdleTimeout;
  if (Now - m_LastActivity > Allowed)
    close();
}

} // namespace hyssopcross::http
