#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/peer/PeerServer.h"
#include "hyssopcross/peer/PeerClients.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::peer;
using namespace std::chrono_literals;

namespace {

const Address Listen{"127.0.0.1", 18560};

class Handler final : public wire::PeerNull {
public:
  void fetchCatalogue(std::string &Document) override { Document = "{}"; }
};

} // namespace

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
