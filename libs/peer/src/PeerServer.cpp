#include "hyssopcross/peer/PeerServer.h"
#include "Limits.h"
#include <future>
#include <thread>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

namespace hyssopcross::peer {

namespace {

/// Tells when the server listens.
class ListeningSignal final
    : public apache::thrift::server::TServerEventHandler {
public:
  void preServe() override { m_Listening.set_value(); }
  void wait() { m_Listening.get_future().wait(); }

private:
  std::promise<void> m_Listening;
};

} // namespace

using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TBufferedTransportFactory;
using apache::thrift::transport::TServerSocket;

struct PeerServer::Implementation {
  std::shared_ptr<TServerSocket> m_Socket;
  std::unique_ptr<TThreadedServer> m_Server;
  std::thread m_Thread;
};

PeerServer::PeerServer(std::unique_ptr<Implementation> State)
    : m_State(std::move(State)) {}

Result<std::unique_ptr<PeerServer>>
PeerServer::start(const Address &Listen,
                  std::shared_ptr<wire::PeerIf> Handler) {
  auto State = std::make_unique<Implementation>();
  State->m_Socket =
      std::make_shared<TServerSocket>(Listen.m_Host, Listen.m_Port);
  try {
    State->m_Socket->listen();
  } catch (const apache::thrift::TException &Failure) {
    return fail(ErrorCode::InvalidInput,
                "address " + Listen.toString() +
                    " can't be listened on: " + Failure.what());
  }
  // TThreadedServer listens by itself; the attempt above only reports a
  // failure as a value.
  State->m_Socket->close();
  State->m_Server = std::make_unique<TThreadedServer>(
      std::make_shared<wire::PeerProcessor>(std::move(Handler)),
      State->m_Socket, std::make_shared<TBufferedTransportFactory>(),
      std::make_shared<TCompactProtocolFactory>(MaxTextBytes, MaxListEntries));
  auto Signal = std::make_shared<ListeningSignal>();
  State->m_Server->setServerEventHandler(Signal);
  TThreadedServer *Server = State->m_Server.get();
  State->m_Thread = std::thread([Server] { Server->serve(); });
  // A server that is stopped before it listens would never end.
  Signal->wait();
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(State)));
}

PeerServer::~PeerServer() {
  m_State->m_Server->stop();
  m_State->m_Thread.join();
}

} // namespace hyssopcross::peer
