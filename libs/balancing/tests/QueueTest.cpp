#include "Host.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::balancing;
using namespace hyssopcross::balancing::tests;

TEST_CASE("a call that cannot finish in time is refused on arrival") {
  struct Row {
    Duration m_Allowed;
    int m_Queued;
    bool m_RefuseEarly;
    bool m_Refused;
  };
  // One warm server with two slots and 10 ms for a call drains one in 5 ms.
  const Row Rows[] = {
      {16ms, 0, true, false}, {14ms, 0, true, true},   {36ms, 4, true, false},
      {34ms, 4, true, true},  {34ms, 4, false, false},
  };
  for (const Row &Row : Rows) {
    CAPTURE(Row.m_Queued);
    CAPTURE(Row.m_Allowed.count());
    PoolPolicy Policy;
    Policy.m_Switches.m_RefuseEarly = Row.m_RefuseEarly;
    Host Host(makeEntry(), Policy);
    Host.takeOverWarm(1);
    for (int Index = 0; Index < 2 + Row.m_Queued; ++Index)
      Host.arrive(Index + 1);
    Host.arrive(100, Row.m_Allowed);
    CHECK(Host.all<RefuseCall>().size() == (Row.m_Refused ? 1 : 0));
    if (!Row.m_Refused)
      continue;
    RefuseCall Refused = Host.only<RefuseCall>();
    CHECK(Refused.m_Call == 100);
    CHECK(Refused.m_Reason == RefusalReason::Overloaded);
    Duration Drain = std::max<Duration>(5ms * (Row.m_Queued + 1), 20ms);
    CHECK(Refused.m_RetryAfter >= Drain);
    CHECK(Refused.m_RetryAfter <= Drain * 2);
  }
}

TEST_CASE("a deadline that passes in the queue refuses at that instant") {
  Host Host;
  Host.takeOverWarm(1);
  Host.arrive(1);
  Host.arrive(2);
  Host.arrive(3, 50ms);
  TimePoint Deadline = Host.m_Now + 50ms;
  REQUIRE(Host.m_State.m_WakeAt);
  CHECK(*Host.m_State.m_WakeAt <= Deadline);
  Host.m_Now = Deadline - 1ns;
  Host.apply(Woke{});
  CHECK(Host.all<RefuseCall>().empty());
  CHECK(Host.only<WakeAt>().m_Time == Deadline);
  Host.wakeAfter(1ns);
  CHECK(Host.only<RefuseCall>().m_Reason == RefusalReason::DeadlinePassed);
}

TEST_CASE("share keys are served in turn, and the longest gives way") {
  struct Row {
    bool m_FairShares;
    size_t m_QuietServed;
    bool m_QuietQueued;
  };
  const Row Rows[] = {{true, 4, true}, {false, 0, false}};
  for (const Row &Row : Rows) {
    CAPTURE(Row.m_FairShares);
    PoolPolicy Policy;
    Policy.m_Switches.m_FairShares = Row.m_FairShares;
    auto Entry = makeEntry();
    Entry.m_Limits.m_Queue = 20;
    Host Host(Entry, Policy);
    Host.takeOverWarm(1);
    std::vector<AttemptId> Running;
    auto Note = [&] {
      for (const SendAttempt &Sent : Host.all<SendAttempt>())
        Running.push_back(Sent.m_Attempt);
    };
    for (CallId Call = 1; Call <= 22; ++Call) {
      Host.arrive(Call, 10s, "noisy");
      Note();
    }
    for (CallId Call = 101; Call <= 104; ++Call) {
      Host.arrive(Call, 10s, "quiet");
      bool Queued = Host.m_State.m_Calls.contains(Call);
      CHECK(Queued == Row.m_QuietQueued);
      CHECK(Host.all<RefuseCall>().size() == 1);
    }
    size_t QuietServed = 0;
    for (size_t Index = 0; Index < 8; ++Index) {
      Host.m_Now += 5ms;
      Host.end(Running.at(Index));
      QuietServed += Host.only<SendAttempt>().m_Call > 100 ? 1 : 0;
      Note();
    }
    CHECK(QuietServed == Row.m_QuietServed);
  }
}

TEST_CASE("the service's concurrency limit holds calls back") {
  auto Entry = makeEntry();
  Entry.m_Limits.m_Concurrency = 3;
  Host Host(Entry);
  Host.takeOverWarm(4);
  for (CallId Call = 1; Call <= 5; ++Call)
    Host.arrive(Call);
  CHECK(Host.m_State.m_Attempts.size() == 3);
  CHECK(figures(Host.m_State, Host.m_Now).m_Queued == 2);
  CHECK(figures(Host.m_State, Host.m_Now).m_FreeSlots == 0);
}

TEST_CASE("calls are refused at once while no server may serve") {
  struct Row {
    const char *m_Name;
    int m_Servers;
    bool m_Leaving;
    bool m_Confirmed;
    bool m_InService;
    RefusalReason m_Reason;
  };
  const Row Rows[] = {
      {"none", 0, false, true, true, RefusalReason::NoServer},
      {"all leaving", 2, true, true, true, RefusalReason::NoServer},
      {"cold, unconfirmed", 2, false, false, true, RefusalReason::NoServer},
      {"out of service", 2, false, true, false, RefusalReason::OutOfService},
  };
  for (const Row &Row : Rows) {
    CAPTURE(std::string(Row.m_Name));
    Host Host;
    ServersListed List;
    for (int Index = 0; Index < Row.m_Servers; ++Index)
      List.m_Servers.push_back({"s" + std::to_string(Index), Row.m_Leaving});
    Host.apply(List);
    Host.apply(LeaseChanged{Row.m_Confirmed});
    Host.apply(EntryChanged{makeEntry(), Row.m_InService});
    Host.arrive(1);
    CHECK(Host.only<RefuseCall>().m_Reason == Row.m_Reason);
    CHECK(Host.only<RefuseCall>().m_RetryAfter >= 1s);
    CHECK(Host.m_State.m_Calls.empty());
  }
}
