#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/peer/PeerServer.h"
#include "hyssopcross/peer/PeerClients.h"
#include <atomic>
#include <doctest/doctest.h>
#include <fstream>
#include <thread>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

using namespace hyssopcross;
using namespace hyssopcross::peer;
using namespace std::chrono_literals;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TBufferedTransport;
using apache::thrift::transport::TSocket;

namespace {

const Address Listen{"127.0.0.1", 18560};

class Handler final : public wire::PeerNull {
public:
  void fetchCatalogue(std::string &Document) override { Document = "{}"; }
};

/// Memory in use and the most that this process has used, in kB.
int64_t memoryKilobytes(const std::string &Field) {
  std::ifstream Status("/proc/self/status");
  std::string Word;
  while (Status >> Word)
    if (Word == Field + ":") {
      int64_t Value = 0;
      Status >> Value;
      return Value;
    }
  return 0;
}

/// Sends the head of a message whose list claims a number of entries, none of
/// which follow.
void sendListHead(const std::string &Function, int16_t Field,
                  uint32_t Entries) {
  auto Socket = std::make_shared<TSocket>(Listen.m_Host, Listen.m_Port);
  auto Transport = std::make_shared<TBufferedTransport>(Socket);
  TCompactProtocol Writer(Transport);
  Transport->open();
  using namespace apache::thrift::protocol;
  Writer.writeMessageBegin(Function, T_ONEWAY, 1);
  Writer.writeStructBegin("arguments");
  Writer.writeFieldBegin("list", T_LIST, Field);
  Writer.writeListBegin(T_STRUCT, Entries);
  Transport->flush();
  Transport->close();
}

} // namespace

// Guards against a few bytes that make an entry VM take all its memory: Thrift
// makes room for as many entries as a list claims before it reads the first.
TEST_CASE(
    "a list that claims more entries than a message has takes no memory") {
  auto Server = PeerServer::start(Listen, std::make_shared<Handler>());
  REQUIRE(Server);
  constexpr int64_t AllowedKilobytes = 65536;
  for (uint32_t Entries : {1000000U, 50000000U}) {
    CAPTURE(Entries);
    int64_t Before = memoryKilobytes("VmRSS");
    sendListHead("poolDigests", 1, Entries);
    PeerClients Clients;
    std::string Document;
    CHECK(Clients.call(Listen.toString(), 2s, [&](wire::PeerClient &Peer) {
      Peer.fetchCatalogue(Document);
    }));
    CHECK(Document == "{}");
    std::this_thread::sleep_for(300ms);
    CHECK(memoryKilobytes("VmHWM") - Before < AllowedKilobytes);
  }
}

TEST_CASE("a message with as many entries as a large fleet has is read") {
  struct Counting final : wire::PeerNull {
    void poolDigests(const std::vector<wire::PoolDigest> &Digests) override {
      m_Count = Digests.size();
    }
    std::atomic<size_t> m_Count = 0;
  };
  auto Counter = std::make_shared<Counting>();
  auto Server = PeerServer::start(Listen, Counter);
  REQUIRE(Server);
  PeerClients Clients;
  CHECK(Clients.call(Listen.toString(), 2s, [](wire::PeerClient &Peer) {
    Peer.poolDigests(std::vector<wire::PoolDigest>(5000));
    std::string Document;
    Peer.fetchCatalogue(Document);
  }));
  CHECK(Counter->m_Count == 5000);
}

// Guards against a process that never ends because it is stopped right after
// its start.
TEST_CASE("a server can be reached and stopped as soon as it has started") {
  for (int I = 0; I < 20; ++I) {
    auto Server = PeerServer::start(Listen, std::make_shared<Handler>());
    REQUIRE(Server);
    PeerClients Clients;
    std::string Document;
    CHECK(Clients.call(Listen.toString(), 2s, [&](wire::PeerClient &Peer) {
      Peer.fetchCatalogue(Document);
    }));
  }
}
