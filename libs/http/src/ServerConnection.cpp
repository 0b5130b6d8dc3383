#include "ServerConnection.h"
#include "hyssopcross/base/Invariant.h"
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

namespace hyssopcross::http {

namespace beast_http = boost::beast::http;

namespace {

/// Room offered to one read; a few typical requests.
constexpr size_t ReadChunk = 4096;
/// The same while a body is being read.
constexpr size_t BodyReadChunk = 32768;
/// Bytes of requests beyond the depth of the pipeline that are read ahead.
constexpr size_t MaxReadAhead = 16384;
/// Bodies up to this size may use some memory beyond the limit, so that a few
/// large uploads do not keep ordinary requests out.
constexpr uint64_t SmallBodyBytes = 64UL * 1024;
/// Divisor of the limit on held bytes: the additional part for small bodies.
constexpr uint64_t SmallBodyPart = 8;
/// How long a connection stays open after its last answer, for the peer to read
/// it and to close.
constexpr Duration LingerTime = std::chrono::seconds(1);

} // namespace

void Exchange::answer(Response Answer) {
  HYSSOPCROSS_INVARIANT(!m_Answered, "a request is answered once");
  m_Answered = true;
  m_PeerGone = nullptr;
  m_BodyHold.reset();
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

template <typename Action> void ServerConnection::guarded(Action Act) {
  try {
    Act();
  } catch (const std::exception &Thrown) {
    if (m_Owner->m_OnFault)
      m_Owner->m_OnFault(InputFault::Exception, Thrown.what());
    close();
  }
}

bool ServerConnection::isIdle() const {
  return m_Waiting.empty() && !m_Writing && !m_Incoming && m_Buffer.size() == 0;
}

bool ServerConnection::mayParse() const {
  return !m_Closed && !m_NoMoreRequests && m_Buffer.size() > 0 &&
         m_Waiting.size() < m_Owner->m_Limits.m_PipelineDepth;
}

bool ServerConnection::mayRead() const {
  bool PipelineFull = m_Waiting.size() >= m_Owner->m_Limits.m_PipelineDepth;
  return !m_Closed && !m_Reading &&
         (!PipelineFull || m_Buffer.size() < MaxReadAhead);
}

std::string_view ServerConnection::buffered() const {
  auto Data = m_Buffer.cdata();
  return {static_cast<const char *>(Data.data()), Data.size()};
}

void ServerConnection::read() {
  if (!mayRead())
    return;
  m_Reading = true;
  size_t Room = m_Incoming ? BodyReadChunk : ReadChunk;
  if (m_ReadAreaBytes != Room) {
    m_ReadArea.reset(new char[Room]);
    m_ReadAreaBytes = Room;
  }
  m_Socket.async_read_some(
      boost::asio::buffer(m_ReadArea.get(), Room),
      [Self = shared_from_this()](const boost::system::error_code &Failure,
                                  size_t Bytes) {
        Self->m_Reading = false;
        if (Self->m_Closed)
          return;
        if (Failure)
          return Self->close();
        Self->guarded([&] { Self->received(Bytes); });
      });
}

void ServerConnection::received(size_t Bytes) {
  m_LastActivity = m_Owner->m_Clock.now();
  // What follows a request that ends the connection is read only to notice
  // that the peer leaves.
  if (!m_NoMoreRequests) {
    auto Room = m_Buffer.prepare(Bytes);
    std::memcpy(Room.data(), m_ReadArea.get(), Bytes);
    m_Buffer.commit(Bytes);
  }
  parse();
  read();
}

void ServerConnection::parse() {
  // A handler that answers at once may lead back here.
  if (m_IsParsing)
    return;
  m_IsParsing = true;
  while (mayParse() && parseSome()) {
  }
  m_IsParsing = false;
  if (m_Buffer.size() == 0)
    m_Buffer.shrink_to_fit();
  if (m_OwesContinue)
    sendContinue();
}

bool ServerConnection::parseSome() {
  return m_Incoming ? parseBody() : parseHead();
}

bool ServerConnection::parseHead() {
  const ServerLimits &Limits = m_Owner->m_Limits;
  if (m_Scan.m_Searched == 0)
    m_RequestStart = m_Owner->m_Clock.now();
  HeadEnd End = findHeadEnd(m_Scan, buffered());
  // The empty line at the end does not count as part of the head.
  size_t HeadBytes = End.m_Bytes > 0 ? End.m_Bytes - 2 : m_Buffer.size();
  bool IsTooLong = HeadBytes > std::min(Limits.m_HeaderBytes, MaxHeaderBytes);
  if (IsTooLong)
    return refuseInput(InputFault::HeaderBytes), false;
  if (End.m_Fault)
    return refuseInput(*End.m_Fault), false;
  if (m_Scan.m_Lines > Limits.m_HeaderFields + 1)
    return refuseInput(InputFault::HeaderFields), false;
  if (End.m_Bytes == 0)
    return false;
  std::string_view Head = buffered().substr(0, End.m_Bytes);
  HeadCheck Checked = checkRequestHead(Head);
  if (Checked.m_Fault)
    return refuseInput(*Checked.m_Fault), false;
  if (Checked.m_Framing.m_Length > Limits.m_BodyBytes)
    return refuseInput(InputFault::BodyBytes), false;
  beast_http::request_parser<beast_http::string_body> Parser;
  Parser.eager(false);
  Parser.header_limit(UINT32_MAX);
  // Beast 1.74 takes any length for too long where no limit is set.
  Parser.body_limit(UINT64_MAX);
  boost::system::error_code Failure;
  // The first call may stop after the request line or the head.
  for (size_t Used = 0; Used < Head.size() && !Failure;)
    Used += Parser.put(
        boost::asio::buffer(Head.data() + Used, Head.size() - Used), Failure);
  if (Failure || !Parser.is_header_done())
    return refuseInput(InputFault::Head), false;
  m_Incoming.emplace();
  m_Incoming->m_Framing = Checked.m_Framing;
  m_Incoming->m_KeepAlive = Parser.keep_alive();
  m_Incoming->m_Message = Parser.release();
  m_Buffer.consume(End.m_Bytes);
  m_Scan = {};
  const Framing &Body = m_Incoming->m_Framing;
  if (!Body.m_IsChunked && Body.m_Length == 0)
    return finishRequest(), true;
  // A body that does not fit is refused before it is read.
  if (!holdBody(Body.m_Length) || !holdBody(0))
    return refuseInput(InputFault::Memory), false;
  m_Incoming->m_Message.body().reserve(Body.m_Length);
  if (Body.m_ExpectsContinue) {
    m_Incoming->m_Message.erase(beast_http::field::expect);
    m_OwesContinue = m_Buffer.size() == 0;
  }
  return m_Buffer.size() > 0;
}

bool ServerConnection::parseBody() {
  const ServerLimits &Limits = m_Owner->m_Limits;
  std::string &Body = m_Incoming->m_Message.body();
  std::string_view Input = buffered();
  bool IsDone = false;
  m_OwesContinue = false;
  if (m_Incoming->m_Framing.m_IsChunked) {
    ChunkStep Step = readChunks(m_Incoming->m_Chunks, Input, Body,
                                {Limits.m_BodyBytes, Limits.m_ExtraBytes});
    if (Step.m_Fault)
      return refuseInput(*Step.m_Fault), false;
    m_Buffer.consume(Step.m_Used);
    IsDone = m_Incoming->m_Chunks.m_State == ChunkReader::State::Done;
  } else {
    auto Taken = static_cast<size_t>(std::min<uint64_t>(
        m_Incoming->m_Framing.m_Length - Body.size(), Input.size()));
    Body.append(Input.data(), Taken);
    m_Buffer.consume(Taken);
    IsDone = Body.size() == m_Incoming->m_Framing.m_Length;
  }
  if (!holdBody(Body.size()))
    return refuseInput(InputFault::Memory), false;
  if (IsDone)
    finishRequest();
  return IsDone;
}

bool ServerConnection::holdBody(uint64_t Bytes) {
  uint64_t Others = m_Owner->m_HeldBytes - m_CountedBytes;
  m_Owner->m_HeldBytes = Others + Bytes;
  m_CountedBytes = Bytes;
  uint64_t Limit = m_Owner->m_Limits.m_HeldBytes;
  if (Bytes <= SmallBodyBytes)
    Limit += Limit / SmallBodyPart;
  return Others == 0 || Bytes == 0 || Others + Bytes <= Limit;
}

void ServerConnection::refuseInput(InputFault Fault) {
  m_Owner->m_HeldBytes -= std::exchange(m_CountedBytes, 0);
  m_Incoming.reset();
  m_Scan = {};
  m_OwesContinue = false;
  m_NoMoreRequests = true;
  m_Buffer.consume(m_Buffer.size());
  if (m_Owner->m_OnFault)
    m_Owner->m_OnFault(Fault, {});
  auto Refused = std::make_shared<Exchange>(shared_from_this(), Request(),
                                            m_Owner->m_Clock.now());
  Refused->m_KeepAlive = false;
  m_Waiting.push_back(Refused);
  Refused->answer(m_Owner->m_MakeRefusal(inputFaultStatus(Fault)));
}

void ServerConnection::finishRequest() {
  auto Asked = std::make_shared<Exchange>(
      shared_from_this(), std::move(m_Incoming->m_Message), m_RequestStart);
  Asked->m_KeepAlive = m_Incoming->m_KeepAlive;
  m_Incoming.reset();
  if (m_CountedBytes > 0)
    // The memory is in use until the request is answered.
    Asked->m_BodyHold = std::shared_ptr<void>(
        nullptr, [Owner = m_Owner, Bytes = std::exchange(m_CountedBytes, 0)](
                     void *) { Owner->m_HeldBytes -= Bytes; });
  Asked->m_IsHead = Asked->m_Request.method() == beast_http::verb::head;
  m_NoMoreRequests = !Asked->m_KeepAlive;
  if (m_NoMoreRequests)
    m_Buffer.consume(m_Buffer.size());
  m_Waiting.push_back(Asked);
  m_Owner->m_Handler(Asked);
}

void ServerConnection::sendContinue() {
  if (m_Closed || m_Writing || m_WritingContinue || !m_Waiting.empty())
    return;
  static constexpr std::string_view Interim = "HTTP/1.1 100 Continue\r\n\r\n";
  m_OwesContinue = false;
  m_WritingContinue = true;
  boost::asio::async_write(
      m_Socket, boost::asio::buffer(Interim),
      [Self = shared_from_this()](const boost::system::error_code &Failure,
                                  size_t) {
        Self->m_WritingContinue = false;
        if (Self->m_Closed)
          return;
        if (Failure)
          return Self->close();
        Self->guarded([&] { Self->flush(); });
      });
}

void ServerConnection::flush() {
  if (m_Closed || m_Writing || m_WritingContinue || m_Waiting.empty() ||
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
  auto Written = [Self = shared_from_this()](
                     const boost::system::error_code &Failure, size_t) {
    Self->guarded([&] { Self->written(Failure); });
  };
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
    m_EndedAt = m_LastActivity;
    m_Owner->m_HeldBytes -= std::exchange(m_CountedBytes, 0);
    m_Incoming.reset();
    m_Buffer.consume(m_Buffer.size());
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
  // Requests that were held back by the depth of the pipeline. The read in
  // progress, if any, does not touch the buffer.
  parse();
  read();
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
  bool IsReadingHead = m_Scan.m_Searched > 0;
  if (IsReadingHead || m_Incoming) {
    Duration Allowed = Limits.m_HeaderTimeout;
    if (m_Incoming)
      Allowed += Limits.m_BodyTimeout;
    if (Now - m_RequestStart > Allowed)
      refuseInput(m_Incoming ? InputFault::BodyTime : InputFault::HeaderTime);
    return;
  }
  if (!m_Waiting.empty())
    return;
  // A peer that was told of the end gets some time to close by itself, however
  // much it goes on sending.
  if (m_EndedAt) {
    if (Now - *m_EndedAt > LingerTime)
      close();
    return;
  }
  if (Now - m_LastActivity > Limits.m_IdleTimeout)
    close();
}

} // namespace hyssopcross::http
