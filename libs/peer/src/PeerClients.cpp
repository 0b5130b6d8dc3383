#include "hyssopcross/peer/PeerClients.h"
#include "Limits.h"
#include "hyssopcross/base/Settings.h"
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

namespace hyssopcross::peer {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TBufferedTransport;
using apache::thrift::transport::TSocket;

namespace {

/// Longest wait for a connection.
constexpr int ConnectTimeoutMilliseconds = 500;

/// Idle connections kept to one peer.
constexpr size_t MaxIdle = 8;

int toMilliseconds(Duration Time) {
  auto Rounded = std::chrono::ceil<std::chrono::milliseconds>(Time).count();
  return static_cast<int>(std::max<int64_t>(Rounded, 1));
}

} // namespace

class PeerClients::Connection {
public:
  explicit Connection(const Address &Peer)
      : m_Socket(std::make_shared<TSocket>(Peer.m_Host, Peer.m_Port)),
        m_Transport(std::make_shared<TBufferedTransport>(m_Socket)),
        m_Client(std::make_shared<TCompactProtocol>(m_Transport, MaxTextBytes,
                                                    MaxListEntries)) {
    m_Socket->setConnTimeout(ConnectTimeoutMilliseconds);
    m_Socket->setNoDelay(true);
  }

  void open() { m_Transport->open(); }

  /// Whether the peer has closed the connection while it was idle.
  bool stale() const {
    return !m_Socket->isOpen() || m_Socket->hasPendingDataToRead() ||
           peerClosed();
  }

  void setTimeout(Duration Timeout) {
    m_Socket->setRecvTimeout(toMilliseconds(Timeout));
    m_Socket->setSendTimeout(toMilliseconds(Timeout));
  }

  wire::PeerClient &client() { return m_Client; }

private:
  bool peerClosed() const {
    char Byte = 0;
    ssize_t Read =
        recv(m_Socket->getSocketFD(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Read == 0 || (Read < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  std::shared_ptr<TSocket> m_Socket;
  std::shared_ptr<TBufferedTransport> m_Transport;
  wire::PeerClient m_Client;
};

PeerClients::PeerClients() = default;
PeerClients::~PeerClients() = default;

std::unique_ptr<PeerClients::Connection>
PeerClients::takeIdle(const std::string &PeerAddress) {
  std::lock_guard Lock(m_Mutex);
  std::vector<std::unique_ptr<Connection>> &Idle = m_Idle[PeerAddress];
  while (!Idle.empty()) {
    std::unique_ptr<Connection> Last = std::move(Idle.back());
    Idle.pop_back();
    if (!Last->stale())
      return Last;
  }
  return nullptr;
}

void PeerClients::keepIdle(const std::string &PeerAddress,
                           std::unique_ptr<Connection> Used) {
  std::lock_guard Lock(m_Mutex);
  std::vector<std::unique_ptr<Connection>> &Idle = m_Idle[PeerAddress];
  if (Idle.size() < MaxIdle)
    Idle.push_back(std::move(Used));
}

Result<void>
PeerClients::call(const std::string &PeerAddress, Duration Timeout,
                  const std::function<void(wire::PeerClient &)> &Function) {
  std::unique_ptr<Connection> Used = takeIdle(PeerAddress);
  try {
    if (!Used) {
      auto Peer = parseAddress(PeerAddress);
      if (!Peer)
        return fail(Peer.error().m_Code, Peer.error().m_Message);
      Used = std::make_unique<Connection>(Peer.value());
      Used->open();
    }
  } catch (const std::exception &Failure) {
    return fail(ErrorCode::Unavailable, Failure.what());
  }
  try {
    Used->setTimeout(Timeout);
    Function(Used->client());
  } catch (const std::exception &Failure) {
    return fail(ErrorCode::Unknown, Failure.what());
  }
  keepIdle(PeerAddress, std::move(Used));
  return boost::outcome_v2::success();
}

} // namespace hyssopcross::peer
