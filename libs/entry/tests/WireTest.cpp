#include "WireCodec.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::entry;
namespace wire = hyssopcross::peer::wire;

namespace {

/// A heartbeat and ownership messages with one entry of each kind.
wire::Heartbeat makeHeartbeat() {
  wire::Heartbeat Message;
  Message.beats.resize(1);
  Message.entries.resize(1);
  Message.owners.resize(1);
  Message.versions.resize(1);
  return Message;
}

wire::OwnershipMessage makeOffer() {
  wire::HandOverOffer Offer;
  Offer.digest.resize(1);
  wire::OwnershipMessage Message;
  Message.__set_offer(Offer);
  return Message;
}

wire::OwnershipMessage makePromiseRequest() {
  wire::PromiseRequest Request;
  Request.pools.resize(1);
  wire::OwnershipMessage Message;
  Message.__set_promiseRequest(Request);
  return Message;
}

} // namespace

// Guards against a negative number that is taken for a version, epoch or
// incarnation newer than all others.
TEST_CASE("heartbeats of other VMs with a negative count are refused") {
  struct Case {
    const char *m_Name;
    int64_t *(*m_Field)(wire::Heartbeat &);
  };
  const Case Cases[] = {
      {"incarnation of the sender",
       [](wire::Heartbeat &Of) { return &Of.sender.incarnation; }},
      {"counter", [](wire::Heartbeat &Of) { return &Of.counter; }},
      {"beat", [](wire::Heartbeat &Of) { return &Of.beats[0].beat; }},
      {"counter of a VM",
       [](wire::Heartbeat &Of) { return &Of.entries[0].counter; }},
      {"incarnation of a VM",
       [](wire::Heartbeat &Of) { return &Of.entries[0].vm.incarnation; }},
      {"epoch", [](wire::Heartbeat &Of) { return &Of.owners[0].epoch; }},
      {"version", [](wire::Heartbeat &Of) { return &Of.versions[0].version; }},
  };
  CHECK(fromWire(makeHeartbeat()));
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    wire::Heartbeat Message = makeHeartbeat();
    *Each.m_Field(Message) = -1;
    CHECK_FALSE(fromWire(Message));
    *Each.m_Field(Message) = INT64_MAX;
    CHECK(fromWire(Message));
  }
  // Hashes take all values.
  wire::Heartbeat Message = makeHeartbeat();
  Message.viewHash = -1;
  CHECK(fromWire(Message));
}

TEST_CASE("ownership messages of other VMs with a negative count are refused") {
  wire::OwnershipMessage Messages[] = {makeOffer(), makeOffer(), makeOffer(),
                                       makePromiseRequest(),
                                       makePromiseRequest()};
  for (const wire::OwnershipMessage &Each : Messages)
    CHECK(fromWire(Each));
  Messages[0].offer.epoch = -1;
  Messages[1].offer.incarnation = -1;
  Messages[2].offer.digest[0].inFlight = -1;
  Messages[3].promiseRequest.round = -1;
  Messages[4].promiseRequest.pools[0].epoch = -1;
  for (const wire::OwnershipMessage &Each : Messages)
    CHECK_FALSE(fromWire(Each));
}
