#include "Host.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::balancing;
using namespace hyssopcross::balancing::tests;

namespace {

/// Wakes the pool when it asks for it, for a while; counts probes, which are
/// answered at once or fail.
int countProbes(Host &Host, Duration Time, bool Answered) {
  TimePoint End = Host.m_Now + Time;
  int Probes = 0;
  while (Host.m_State.m_WakeAt && *Host.m_State.m_WakeAt <= End) {
    Host.m_Now = std::max(Host.m_Now, *Host.m_State.m_WakeAt);
    Host.apply(Woke{});
    for (const SendProbe &Probe : Host.all<SendProbe>()) {
      ++Probes;
      std::optional<LoadReport> Report;
      if (Answered)
        Report = LoadReport{0, 0, false, "boot"};
      Host.apply(ProbeEnded{Probe.m_Server, Report});
    }
  }
  Host.m_Now = End;
  return Probes;
}

} // namespace

TEST_CASE("an owner and an unconfirmed one together keep to the budget") {
  struct Row {
    double m_PerSecond;
    bool m_Answered;
    int m_Most;
    int m_Least;
  };
  // Over 30 s; an answered probe makes another one needless for 1 s.
  const Row Rows[] = {
      {2.0, false, 60, 50},
      {2.0, true, 60, 40},
      {0.5, false, 15, 12},
      {0, false, 0, 0},
  };
  for (const Row &Row : Rows) {
    CAPTURE(Row.m_PerSecond);
    auto Entry = makeEntry();
    Entry.m_Limits.m_ProbesPerSecond = Row.m_PerSecond;
    Host Confirmed(Entry, {}, 1);
    Host Unconfirmed(Entry, {}, 2);
    Confirmed.takeOverWarm(1);
    Unconfirmed.takeOverWarm(1);
    Unconfirmed.apply(LeaseChanged{false});
    int First = countProbes(Confirmed, 30s, Row.m_Answered);
    int Second = countProbes(Unconfirmed, 30s, Row.m_Answered);
    CHECK(First + Second <= Row.m_Most);
    CHECK(First + Second >= Row.m_Least);
    if (!Row.m_Answered)
      CHECK(Second * 2 <= First + 1);
  }
}

TEST_CASE("a server that reports on its answers is not probed") {
  Host Host;
  Host.takeOverWarm(1);
  for (CallId Call = 1; Call <= 100; ++Call) {
    Host.arrive(Call);
    CHECK(Host.all<SendProbe>().empty());
    AttemptId Attempt = Host.only<SendAttempt>().m_Attempt;
    Host.m_Now += 100ms;
    Host.end(Attempt, AttemptEnd::Completed, LoadReport{0, 0, false, "boot"});
    CHECK(Host.all<SendProbe>().empty());
  }
}

TEST_CASE("connections are kept by warmth and within the owner's share") {
  struct Row {
    const char *m_Name;
    uint32_t m_Limit;
    bool m_Warm;
    bool m_Leaving;
    bool m_Confirmed;
    uint32_t m_Kept;
  };
  const Row Rows[] = {
      {"warm", 200, true, false, true, 3},
      {"cold", 200, false, false, true, 1},
      {"leaving", 200, true, true, true, 0},
      {"few", 3, true, false, true, 2},
      {"few, unconfirmed", 3, true, false, false, 1},
  };
  for (const Row &Row : Rows) {
    CAPTURE(std::string(Row.m_Name));
    auto Entry = makeEntry();
    Entry.m_Limits.m_Connections = Row.m_Limit;
    Host Host(Entry);
    if (Row.m_Warm)
      Host.takeOverWarm(1);
    Host.apply(LeaseChanged{Row.m_Confirmed});
    Host.apply(ServersListed{{{"s1", Row.m_Leaving}}});
    CHECK(Host.server(1).m_KeptConnections == Row.m_Kept);
  }
}

TEST_CASE("baselines choose as they are described, beyond slots") {
  struct Row {
    const char *m_Name;
    ChoicePolicy m_Choice;
    CallId m_Calls;
    uint32_t m_ToLoaded;
  };
  // s1 has reported a load of nine, s2 one of zero. ProbePool uses a probe
  // three times.
  const Row Rows[] = {
      {"two choices", ChoicePolicy::TwoChoices, 20, 10},
      {"least reported", ChoicePolicy::LeastReported, 20, 0},
      {"probe pool, cold server's probe", ChoicePolicy::ProbePool, 3, 0},
      {"probe pool, then the hot one's", ChoicePolicy::ProbePool, 6, 3},
  };
  for (const Row &Row : Rows) {
    CAPTURE(std::string(Row.m_Name));
    PoolPolicy Policy;
    Policy.m_Choice = Row.m_Choice;
    Host Host(makeEntry(), Policy);
    Host.takeOverWarm(2);
    Host.apply(ProbeEnded{"s1", LoadReport{9, 0, false, "boot"}});
    Host.apply(ProbeEnded{"s2", LoadReport{0, 0, false, "boot"}});
    for (CallId Call = 1; Call <= Row.m_Calls; ++Call) {
      Host.arrive(Call);
      CHECK(Host.all<SendAttempt>().size() == 1);
    }
    CHECK(Host.server(1).inFlight() == Row.m_ToLoaded);
  }
}

TEST_CASE("the digest carries what a successor needs") {
  Host Host;
  Host.takeOverWarm(2);
  Host.apply(ServersListed{{{"s1", false}, {"s2", true}, {"s3", false}}});
  Host.arrive(1);
  std::vector<ServerDigest> Records = digest(Host.m_State);
  REQUIRE(Records.size() == 3);
  CHECK(Records[0].m_Warm);
  CHECK(Records[0].m_BootId == "boot");
  CHECK(Records[0].m_Limit == 2);
  CHECK(Records[1].m_Leaving);
  CHECK_FALSE(Records[2].m_Warm);
  CHECK(Records[0].m_InFlight + Records[2].m_InFlight == 1);
}
