#include <utility>

#include "hyssopcross/faultsoak/Proxy.h"
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace hyssopcross::faultsoak {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Between two looks at a link that holds its bytes.
constexpr auto HoldInterval = std::chrono::milliseconds(20);

Result<tcp::endpoint> endpointOf(const Address &At) {
  error_code Failure;
  auto Host = boost::asio::ip::make_address_v4(At.m_Host, Failure);
  if (Failure)
    return fail(ErrorCode::InvalidInput, At.toString() + " is no address");
  return tcp::endpoint(Host, At.m_Port);
}

/// One direction of a connection.
struct Half {
  Half(tcp::socket &From, tcp::socket &To, boost::asio::io_context &Loop)
      : m_From(From), m_To(To), m_Timer(Loop) {}
  tcp::socket &m_From;
  tcp::socket &m_To;
  boost::asio::steady_timer m_Timer;
  std::array<char, 8192> m_Bytes{};
};

} // namespace

class Proxy::Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(Proxy &Owner, tcp::socket From)
      : m_Owner(&Owner), m_Near(std::move(From)), m_Far(Owner.m_Loop),
        m_Forward(m_Near, m_Far, Owner.m_Loop),
        m_Backward(m_Far, m_Near, Owner.m_Loop) {}

  void start() {
    auto To = endpointOf(m_Owner->m_To);
    if (!To)
      return end();
    m_Far.async_connect(To.value(),
                        [Self = shared_from_this()](const error_code &Failure) {
                          if (Failure)
                            return Self->end();
                          Self->read(Self->m_Forward);
                          Self->read(Self->m_Backward);
                        });
  }

  /// Closes both sides with a reset.
  void end() {
    error_code Ignored;
    for (tcp::socket *Each : {&m_Near, &m_Far}) {
      Each->set_option(boost::asio::socket_base::linger(true, 0), Ignored);
      Each->close(Ignored);
    }
    m_Forward.m_Timer.cancel();
    m_Backward.m_Timer.cancel();
    if (Proxy *Owner = std::exchange(m_Owner, nullptr))
      Owner->m_Connections.erase(shared_from_this());
  }

  void detach() { m_Owner = nullptr; }

private:
  bool isHeld(const Half &Of) const {
    LinkState State = m_Owner->m_State;
    return State == LinkState::Silent ||
           State == (&Of == &m_Forward ? LinkState::CutForward
                                       : LinkState::CutBackward);
  }

  void read(Half &Of) {
    Of.m_From.async_read_some(
        boost::asio::buffer(Of.m_Bytes),
        [Self = shared_from_this(), &Of](const error_code &Failure, size_t N) {
          if (!Self->m_Owner)
            return;
          // A side that has ended is closed on the other one too.
          if (Failure)
            return Self->end();
          Self->pass(Of, N, Self->m_Owner->m_Delay);
        });
  }

  void pass(Half &Of, size_t Bytes, Duration After) {
    bool Held = isHeld(Of);
    if (!Held && After <= Duration(0))
      return write(Of, Bytes);
    Of.m_Timer.expires_after(Held ? HoldInterval : After);
    Of.m_Timer.async_wait(
        [Self = shared_from_this(), &Of, Bytes](const error_code &Ended) {
          if (!Ended && Self->m_Owner)
            Self->pass(Of, Bytes, Duration(0));
        });
  }

  void write(Half &Of, size_t Bytes) {
    boost::asio::async_write(
        Of.m_To, boost::asio::buffer(Of.m_Bytes.data(), Bytes),
        [Self = shared_from_this(), &Of](const error_code &Failure, size_t) {
          if (!Self->m_Owner)
            return;
          if (Failure)
            return Self->end();
          Self->read(Of);
        });
  }

  Proxy *m_Owner;
  tcp::socket m_Near;
  tcp::socket m_Far;
  Half m_Forward;
  Half m_Backward;
};

Proxy::Proxy(boost::asio::io_context &Loop, Address At, Address To)
    : m_Loop(Loop), m_At(std::move(At)), m_To(std::move(To)), m_Acceptor(Loop) {
}

Result<void> Proxy::listen() {
  auto At = endpointOf(m_At);
  if (!At)
    return fail(At.error().m_Code, At.error().m_Message);
  error_code Failure;
  m_Acceptor.open(tcp::v4(), Failure);
  if (!Failure)
    m_Acceptor.set_option(tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    m_Acceptor.bind(At.value(), Failure);
  if (!Failure)
    m_Acceptor.listen(boost::asio::socket_base::max_listen_connections,
                      Failure);
  if (Failure)
    return fail(ErrorCode::Unavailable, "cannot listen on " + m_At.toString() +
                                            ": " + Failure.message());
  accept();
  return boost::outcome_v2::success();
}

void Proxy::accept() {
  m_Acceptor.async_accept([this](const error_code &Failure, tcp::socket From) {
    if (Failure == boost::asio::error::operation_aborted)
      return;
    if (!Failure) {
      auto Made = std::make_shared<Connection>(*this, std::move(From));
      m_Connections.insert(Made);
      if (m_State == LinkState::Refusing)
        Made->end();
      else
        Made->start();
    }
    accept();
  });
}

void Proxy::setState(LinkState State, Duration Delay) {
  m_State = State;
  m_Delay = State == LinkState::Delayed ? Delay : Duration(0);
}

void Proxy::resetAll() {
  auto Open = std::exchange(m_Connections, {});
  for (const auto &Each : Open)
    Each->end();
}

} // namespace hyssopcross::faultsoak
