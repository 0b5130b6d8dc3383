#ifndef HYSSOPCROSS_HTTP_TESTS_RAWSOCKET_H
#define HYSSOPCROSS_HTTP_TESTS_RAWSOCKET_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace hyssopcross::http::test {

using boost::asio::ip::tcp;

/// Runs the loop until a condition holds; false after the time limit.
inline bool
runUntil(boost::asio::io_context &Loop, const std::function<bool()> &Holds,
         std::chrono::milliseconds Limit = std::chrono::milliseconds(5000)) {
  auto End = std::chrono::steady_clock::now() + Limit;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    Loop.restart();
    Loop.run_for(std::chrono::milliseconds(1));
  }
  return true;
}

/// A peer that sends and receives bytes as they are, on the loop of the test.
class RawSocket {
public:
  explicit RawSocket(boost::asio::io_context &Loop) : m_Socket(Loop) {}

  void connect(uint16_t Port) {
    m_Socket.connect({boost::asio::ip::make_address_v4("127.0.0.1"), Port});
    m_Socket.non_blocking(true);
  }

  void send(const std::string &Bytes) {
    boost::asio::write(m_Socket, boost::asio::buffer(Bytes));
  }

  /// Sends what fits now; returns how much, zero once the peer has closed.
  size_t sendSome(const std::string &Bytes) {
    boost::system::error_code Failure;
    return m_Socket.write_some(boost::asio::buffer(Bytes), Failure);
  }

  /// All that has arrived so far.
  const std::string &received() {
    char Input[65536];
    boost::system::error_code Failure;
    while (size_t Bytes =
               m_Socket.read_some(boost::asio::buffer(Input), Failure))
      m_Received.append(Input, Bytes);
    if (Failure && Failure != boost::asio::error::would_block)
      m_IsEnded = true;
    return m_Received;
  }

  bool isEnded() {
    received();
    return m_IsEnded;
  }

  void close() { m_Socket.close(); }

  /// Ends the connection with a reset instead of an orderly end.
  void reset() {
    m_Socket.set_option(boost::asio::socket_base::linger(true, 0));
    m_Socket.close();
  }

  tcp::socket m_Socket;

private:
  std::string m_Received;
  bool m_IsEnded = false;
};

/// A server that hands out its connections as raw sockets.
class RawServer {
public:
  explicit RawServer(boost::asio::io_context &Loop)
      : m_Loop(Loop), m_Acceptor(Loop, {tcp::v4(), 0}) {
    m_Acceptor.non_blocking(true);
  }

  uint16_t port() const { return m_Acceptor.local_endpoint().port(); }

  /// The next connection, or null while there is none.
  std::unique_ptr<RawSocket> accept() {
    auto Made = std::make_unique<RawSocket>(m_Loop);
    boost::system::error_code Failure;
    m_Acceptor.accept(Made->m_Socket, Failure);
    if (Failure)
      return nullptr;
    Made->m_Socket.non_blocking(true);
    return Made;
  }

  /// Runs the loop until a connection has sent the headers of a request; null
  /// if none does in time.
  std::unique_ptr<RawSocket> acceptRequest() {
    std::unique_ptr<RawSocket> Made;
    bool HasCome = runUntil(m_Loop, [&] {
      if (!Made)
        Made = accept();
      return Made && Made->received().find("\r\n\r\n") != std::string::npos;
    });
    return HasCome ? std::move(Made) : nullptr;
  }

private:
  boost::asio::io_context &m_Loop;
  tcp::acceptor m_Acceptor;
};

} // namespace hyssopcross::http::test

#endif
