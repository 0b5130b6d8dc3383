#include "ServerConnection.h"
#include "hyssopcross/base/Recovery.h"

namespace hyssopcross::http {

using boost::asio::ip::tcp;

Listener::Listener(boost::asio::io_context &Loop, const Clock &Time,
                   RequestHandler Handler)
    : m_State(std::make_shared<State>(Loop, Time, std::move(Handler))) {}

Listener::~Listener() {
  stopAccepting();
  auto Open = m_State->m_Connections;
  for (const auto &Connection : Open)
    Connection->close();
}

namespace {

void acceptNext(const std::shared_ptr<Listener::State> &State) {
  State->m_Acceptor.async_accept(
      [State](const boost::system::error_code &Failure, tcp::socket Socket) {
        if (!State->m_Acceptor.is_open())
          return;
        bool HasRoom =
            State->m_Connections.size() < State->m_Limits.m_Connections;
        if (!Failure && HasRoom)
          runWithRecovery(
              [&] {
                auto Connection = std::make_shared<ServerConnection>(
                    State, std::move(Socket));
                State->m_Connections.insert(Connection);
                Connection->start();
              },
              [&] { acceptNext(State); });
        acceptNext(State);
      });
}

} // namespace

Result<void> Listener::listen(const Address &At) {
  boost::system::error_code Failure;
  auto Host = boost::asio::ip::make_address_v4(At.m_Host, Failure);
  if (Failure)
    return fail(ErrorCode::InvalidInput, At.toString() + " is no address");
  tcp::endpoint Endpoint(Host, At.m_Port);
  tcp::acceptor &Acceptor = m_State->m_Acceptor;
  Acceptor.open(tcp::v4(), Failure);
  if (!Failure)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Acceptor.bind(Endpoint, Failure);
  if (!Failure)
    Acceptor.listen(boost::asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    return fail(ErrorCode::Unavailable,
                "cannot listen on " + At.toString() + ": " + Failure.message());
  acceptNext(m_State);
  return boost::outcome_v2::success();
}

const char *inputFaultName(InputFault Fault) {
  switch (Fault) {
  case InputFault::Head:
    return "head";
  case InputFault::ContentLength:
    return "content_length";
  case InputFault::TransferCoding:
    return "transfer_coding";
  case InputFault::Host:
    return "host";
  case InputFault::TraceBody:
    return "trace_body";
  case InputFault::HeaderBytes:
    return "header_bytes";
  case InputFault::HeaderFields:
    return "header_fields";
  case InputFault::BodyBytes:
    return "body_bytes";
  case InputFault::Chunk:
    return "chunk";
  case InputFault::Trailer:
    return "trailer";
  case InputFault::ExtraBytes:
    return "extra_bytes";
  case InputFault::Memory:
    return "memory";
  case InputFault::HeaderTime:
    return "header_time";
  case InputFault::BodyTime:
    return "body_time";
  case InputFault::Exception:
    return "exception";
  }
  return "unknown";
}

unsigned inputFaultStatus(InputFault Fault) {
  switch (Fault) {
  case InputFault::HeaderBytes:
  case InputFault::HeaderFields:
  case InputFault::ExtraBytes:
    return 431;
  case InputFault::BodyBytes:
    return 413;
  case InputFault::Memory:
    return 503;
  case InputFault::HeaderTime:
  case InputFault::BodyTime:
    return 408;
  default:
    return 400;
  }
}

void Listener::setLimits(const ServerLimits &Limits) {
  m_State->m_Limits = Limits;
}

void Listener::setRefusal(RefusalMaker Make) {
  m_State->m_MakeRefusal = std::move(Make);
}

void Listener::setFaultObserver(FaultObserver Observe) {
  m_State->m_OnFault = std::move(Observe);
}

void Listener::closeAfterAnswers() { m_State->m_CloseAfterAnswers = true; }

void Listener::stopAccepting() {
  boost::system::error_code Ignored;
  m_State->m_Acceptor.close(Ignored);
}

void Listener::closeIdle() {
  auto Open = m_State->m_Connections;
  for (const auto &Connection : Open)
    if (Connection->isIdle())
      Connection->close();
}

void Listener::sweep() {
  TimePoint Now = m_State->m_Clock.now();
  auto Open = m_State->m_Connections;
  for (const auto &Connection : Open)
    Connection->closeIfOverdue(Now);
}

size_t Listener::connectionCount() const {
  return m_State->m_Connections.size();
}

size_t Listener::busyCount() const {
  size_t Busy = 0;
  for (const auto &Connection : m_State->m_Connections)
    Busy += Connection->isIdle() ? 0 : 1;
  return Busy;
}

} // namespace hyssopcross::http
