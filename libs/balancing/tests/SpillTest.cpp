#include "Host.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::balancing;
using namespace hyssopcross::balancing::tests;

namespace {

const PoolId Cusco{"boletas", "cusco"};
const PoolId Puno{"boletas", "puno"};

} // namespace

TEST_CASE("queueing is announced when it starts and ends, and repeated") {
  for (bool Spills : {true, false}) {
    CAPTURE(Spills);
    PoolPolicy Policy;
    Policy.m_Switches.m_Spill = Spills;
    Host Host(makeEntry(), Policy);
    Host.takeOverWarm(1);
    Host.arrive(1);
    AttemptId First = Host.only<SendAttempt>().m_Attempt;
    Host.arrive(2);
    AttemptId Second = Host.only<SendAttempt>().m_Attempt;
    Host.arrive(3);
    CHECK(Host.all<AnnounceQueueing>().size() == (Spills ? 1 : 0));
    Host.arrive(4);
    CHECK(Host.all<AnnounceQueueing>().empty());
    if (!Spills)
      continue;
    Host.wakeAfter(100ms);
    CHECK(Host.only<AnnounceQueueing>().m_Queueing);
    Host.end(First);
    Host.end(Second);
    CHECK(Host.all<AnnounceQueueing>().empty());
    Host.wakeAfter(20ms);
    CHECK_FALSE(Host.only<AnnounceQueueing>().m_Queueing);
  }
}

TEST_CASE("free slots are offered once, to pools that queue") {
  Host Host;
  Host.takeOverWarm(3);
  Host.apply(PeerQueueing{Cusco, true});
  CHECK(Host.only<AskPull>().m_Pool == Cusco);
  CHECK(Host.only<AskPull>().m_FreeSlots == 4);
  Host.apply(PeerQueueing{Puno, true});
  CHECK(Host.only<AskPull>().m_Pool == Puno);
  CHECK(Host.only<AskPull>().m_FreeSlots == 2);
  Host.apply(Woke{});
  CHECK(Host.all<AskPull>().empty());
  Host.apply(PeerQueueing{Puno, false});
  Host.wakeAfter(10ms);
  CHECK(Host.only<AskPull>().m_Pool == Cusco);
  Host.wakeAfter(300ms);
  CHECK(Host.all<AskPull>().empty());
}

TEST_CASE("a pull takes the calls that gain, the oldest first") {
  struct Row {
    const char *m_Name;
    Duration m_Allowed;
    uint32_t m_FreeSlots;
    bool m_HandedOver;
    std::vector<CallId> m_Calls;
  };
  const Row Rows[] = {
      {"two", 1s, 2, false, {11, 12}},
      {"all", 1s, 9, false, {11, 12, 13, 14}},
      {"none free", 1s, 0, false, {}},
      {"too late for a crossing", 11ms, 9, false, {}},
      {"handed over before", 1s, 9, true, {}},
  };
  for (const Row &Row : Rows) {
    CAPTURE(std::string(Row.m_Name));
    PoolPolicy Policy;
    Policy.m_Switches.m_RefuseEarly = false;
    Host Host(makeEntry(), Policy);
    Host.takeOverWarm(1);
    Host.arrive(1);
    Host.arrive(2);
    for (CallId Call = 11; Call <= 14; ++Call) {
      CallArrived Event;
      Event.m_Call = Call;
      Event.m_Deadline = Host.m_Now + Row.m_Allowed;
      Event.m_HandedOver = Row.m_HandedOver;
      Host.apply(Event);
    }
    Host.apply(PullAsked{Cusco, Row.m_FreeSlots});
    std::vector<CallId> Taken;
    for (const HandOverCall &Given : Host.all<HandOverCall>()) {
      CHECK(Given.m_Pool == Cusco);
      Taken.push_back(Given.m_Call);
    }
    CHECK(Taken == Row.m_Calls);
  }
}

TEST_CASE("a pool that stops serving turns its queue away and runs on") {
  struct Row {
    const char *m_Name;
    bool m_KnowsPeer;
    bool m_Releases;
    bool m_HandedOver;
    std::optional<PoolId> m_To;
  };
  const PoolId Own{"boletas", "arequipa"};
  const Row Rows[] = {
      {"out, peer", true, false, false, Cusco},
      {"out, no peer", false, false, false, {}},
      {"out, handed over before", true, false, true, {}},
      {"released", false, true, false, Own},
  };
  for (const Row &Row : Rows) {
    CAPTURE(std::string(Row.m_Name));
    Host Host;
    Host.takeOverWarm(1);
    if (Row.m_KnowsPeer)
      Host.apply(PeersListed{{Cusco, Own}});
    Host.arrive(1);
    AttemptId First = Host.only<SendAttempt>().m_Attempt;
    Host.arrive(2);
    CallArrived Event;
    Event.m_Deadline = Host.m_Now + 1s;
    Event.m_HandedOver = Row.m_HandedOver;
    Event.m_Call = 3;
    Host.apply(Event);
    if (Row.m_Releases)
      Host.apply(Released{});
    else
      Host.apply(EntryChanged{makeEntry(), false});
    for (CallId Call = 3; Call <= 4; ++Call) {
      if (Row.m_To)
        CHECK(Host.only<HandOverCall>().m_Pool == *Row.m_To);
      else
        CHECK(Host.only<RefuseCall>().m_Reason == RefusalReason::OutOfService);
      Event.m_Call = 4;
      Host.apply(Event);
    }
    Host.end(First);
    CHECK(Host.only<FinishCall>().m_Call == 1);
  }
}

TEST_CASE("offers that lapse become rarer until one is used") {
  PoolPolicy Policy;
  Policy.m_PeerQueueingLife = 1h;
  Host Host(makeEntry(), Policy);
  Host.takeOverWarm(1);
  Host.apply(PeerQueueing{Cusco, true});
  auto CountOffers = [&Host] {
    int Offers = 0;
    for (int Index = 0; Index < 1000; ++Index) {
      Host.wakeAfter(1ms);
      Offers += static_cast<int>(Host.all<AskPull>().size());
    }
    return Offers;
  };
  int Lapsing = CountOffers();
  CHECK(Lapsing >= 3);
  CHECK(Lapsing <= 8);
  while (Host.all<AskPull>().empty())
    Host.wakeAfter(1ms);
  CallArrived Event;
  Event.m_Call = 1;
  Event.m_Deadline = Host.m_Now + 1s;
  Event.m_HandedOver = true;
  Host.apply(Event);
  CHECK(Host.only<SendAttempt>().m_Call == 1);
  CHECK(Host.m_State.m_Spill.m_Peers.at(Cusco).m_LapsedOffers == 0);
}
