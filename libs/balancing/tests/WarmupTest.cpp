#include "Host.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::balancing;
using namespace hyssopcross::balancing::tests;

TEST_CASE("a cold server's limit grows by completions and time") {
  struct Row {
    int m_Calls;
    Duration m_Gap;
    ServerStage m_Stage;
    uint32_t m_Limit;
  };
  const Row Rows[] = {
      {15, 1s, ServerStage::Cold, 1},   {16, 1s, ServerStage::Cold, 2},
      {32, 1s, ServerStage::Warm, 2},   {17, 10ms, ServerStage::Cold, 1},
      {80, 20ms, ServerStage::Warm, 2},
  };
  for (const Row &Row : Rows) {
    CAPTURE(Row.m_Calls);
    Host Host;
    Host.list(1);
    for (int Index = 0; Index < Row.m_Calls; ++Index) {
      Host.runCalls(1);
      Host.m_Now += Row.m_Gap;
    }
    CHECK(Host.server(1).m_Stage == Row.m_Stage);
    CHECK(Host.server(1).m_Limit == Row.m_Limit);
  }
}

TEST_CASE("a cold server's limit stays while it is slower than warm ones") {
  // Found in scenarios/cold-server-ramp.yaml: the ramp stepped up by time and
  // count alone, and a server that took four times as long shed what came.
  struct Row {
    Duration m_Latency;
    uint32_t m_Limit;
  };
  const Row Rows[] = {{40ms, 1}, {16ms, 1}, {14ms, 2}, {10ms, 2}};
  for (const Row &Row : Rows) {
    CAPTURE(Row.m_Latency.count());
    Host Host;
    Host.m_State.m_Latency.m_WarmMean = 10ms;
    Host.list(1);
    for (int Index = 0; Index < 20; ++Index) {
      Host.runCalls(1, Row.m_Latency);
      Host.m_Now += 100ms;
    }
    CHECK(Host.server(1).m_Limit == Row.m_Limit);
  }
}

TEST_CASE("a cold server gets one call at a time, spaced") {
  Host Host;
  Host.list(1);
  Host.arrive(1);
  AttemptId First = Host.only<SendAttempt>().m_Attempt;
  Host.arrive(2);
  CHECK(Host.all<SendAttempt>().empty());
  Host.m_Now += 5ms;
  Host.end(First);
  CHECK(Host.all<SendAttempt>().empty());
  CHECK(Host.only<WakeAt>().m_Time == Host.m_Now + 15ms);
  Host.wakeAfter(15ms);
  CHECK(Host.only<SendAttempt>().m_Call == 2);
}

TEST_CASE("trouble drops a warm server to its cold allowance at once") {
  struct Row {
    const char *m_Name;
    AttemptEnd m_End;
    LoadReport m_Report;
    ServerStage m_Stage;
    bool m_Usable;
  };
  const Row Rows[] = {
      {"shed",
       AttemptEnd::Shed,
       {0, 0, false, "boot"},
       ServerStage::Suspect,
       true},
      {"not sent",
       AttemptEnd::NotSent,
       {0, 0, false, "boot"},
       ServerStage::Suspect,
       true},
      {"broken",
       AttemptEnd::Broken,
       {0, 0, false, "boot"},
       ServerStage::Suspect,
       true},
      {"draining",
       AttemptEnd::Completed,
       {0, 0, true, "boot"},
       ServerStage::Cold,
       false},
      {"restarted",
       AttemptEnd::Completed,
       {0, 0, false, "other"},
       ServerStage::Cold,
       true},
      {"well",
       AttemptEnd::Completed,
       {0, 0, false, "boot"},
       ServerStage::Warm,
       true},
  };
  for (const Row &Row : Rows) {
    CAPTURE(std::string(Row.m_Name));
    Host Host;
    Host.takeOverWarm(1);
    Host.arrive(1);
    Host.end(Host.only<SendAttempt>().m_Attempt, Row.m_End, Row.m_Report);
    CHECK(Host.server(1).m_Stage == Row.m_Stage);
    CHECK(Host.server(1).m_Leaving == !Row.m_Usable);
    if (Row.m_Stage != ServerStage::Warm)
      CHECK(Host.server(1).m_Limit == 1);
  }
}

TEST_CASE("a latency jump drops a server, and good answers bring it back") {
  for (bool Drops : {true, false}) {
    CAPTURE(Drops);
    PoolPolicy Policy;
    Policy.m_Switches.m_DropOnTrouble = Drops;
    Host Host(makeEntry(), Policy);
    Host.takeOverWarm(1);
    Host.runCalls(30, 10ms);
    CHECK(Host.server(1).m_Stage == ServerStage::Warm);
    Host.runCalls(3, 60ms);
    CHECK((Host.server(1).m_Limit == 1) == Drops);
    Host.runCalls(3, 60ms);
    CHECK((Host.server(1).m_Limit == 1) == Drops);
    Host.runCalls(25, 10ms);
    CHECK(Host.server(1).m_Stage == ServerStage::Warm);
    CHECK(Host.server(1).m_Limit == 2);
  }
}

TEST_CASE("leaving holds for the boot identity, whatever the list says") {
  struct Row {
    const char *m_Name;
    std::string m_BootId;
    bool m_ListedLeavingStill;
    bool m_Usable;
  };
  const Row Rows[] = {
      {"same process", "boot", false, false},
      {"no identity", "", false, false},
      {"new process", "other", false, true},
      {"new process, still listed as leaving", "other", true, false},
  };
  for (const Row &Row : Rows) {
    CAPTURE(std::string(Row.m_Name));
    Host Host;
    Host.takeOverWarm(1);
    Host.apply(ServersListed{{{"s1", true}}});
    Host.arrive(1);
    CHECK(Host.only<RefuseCall>().m_Reason == RefusalReason::NoServer);
    Host.apply(ServersListed{{{"s1", Row.m_ListedLeavingStill}}});
    Host.apply(ProbeEnded{"s1", LoadReport{0, 0, false, Row.m_BootId}});
    Host.arrive(2);
    CHECK(Host.all<SendAttempt>().size() == (Row.m_Usable ? 1 : 0));
    if (Row.m_Usable)
      CHECK(Host.server(1).m_Stage == ServerStage::Cold);
  }
}

TEST_CASE("a late answer of the earlier process changes nothing") {
  Host Host;
  Host.takeOverWarm(1);
  Host.arrive(1);
  AttemptId Late = Host.only<SendAttempt>().m_Attempt;
  Host.apply(ProbeEnded{"s1", LoadReport{0, 0, false, "other"}});
  Host.end(Late, AttemptEnd::Completed, LoadReport{0, 0, true, "boot"});
  CHECK(Host.server(1).m_BootId == "other");
  CHECK_FALSE(Host.server(1).m_Leaving);
  CHECK(Host.server(1).m_StepCompletions == 0);
}

TEST_CASE("a data centre that returns is cold and refuses what it can't do") {
  Host Host;
  Host.takeOverWarm(4);
  double Warm = figures(Host.m_State, Host.m_Now).m_CapacityPerSecond;
  Host.apply(EntryChanged{makeEntry(), false});
  Host.apply(EntryChanged{makeEntry(), true});
  PoolFigures Figures = figures(Host.m_State, Host.m_Now);
  CHECK(Figures.m_Cold == 4);
  CHECK(Figures.m_CapacityPerSecond <= Warm / 2);
  int Refused = 0;
  for (CallId Call = 1; Call <= 60; ++Call) {
    Host.arrive(Call, 100ms);
    Refused += static_cast<int>(Host.all<RefuseCall>().size());
  }
  CHECK(figures(Host.m_State, Host.m_Now).m_InFlight == 4);
  CHECK(Refused > 30);
}

TEST_CASE("an unconfirmed owner goes on with warm servers only") {
  Host Host;
  Host.takeOverWarm(2);
  Host.list(3);
  Host.apply(LeaseChanged{false});
  for (CallId Call = 1; Call <= 10; ++Call)
    Host.arrive(Call);
  CHECK(Host.server(1).inFlight() == 2);
  CHECK(Host.server(2).inFlight() == 2);
  CHECK(Host.server(3).inFlight() == 0);
  Host.apply(LeaseChanged{true});
  CHECK(Host.server(3).inFlight() == 1);
}

TEST_CASE("slots of the predecessor count as taken until known otherwise") {
  struct Row {
    const char *m_Name;
    bool m_Exact;
    bool m_AssumeTaken;
    uint32_t m_ReportedInFlight;
    Duration m_After;
    uint32_t m_Free;
  };
  const Row Rows[] = {
      {"unknown", false, true, 9, 0ms, 0},
      {"reported one", false, true, 1, 0ms, 1},
      {"reported none", false, true, 0, 0ms, 2},
      {"time over", false, true, 9, 50ms, 2},
      {"planned", true, true, 9, 0ms, 1},
      {"off", false, false, 9, 0ms, 2},
  };
  for (const Row &Row : Rows) {
    CAPTURE(std::string(Row.m_Name));
    PoolPolicy Policy;
    Policy.m_Switches.m_AssumeTaken = Row.m_AssumeTaken;
    Host Host(makeEntry(), Policy);
    Host.list(2);
    TookOver Event;
    Event.m_Until = Host.m_Now + 50ms;
    Event.m_Exact = Row.m_Exact;
    Event.m_Digest = {{"s1", "boot", true, false, 2, 1}};
    Host.apply(Event);
    CHECK(Host.server(1).m_Stage == ServerStage::Warm);
    CHECK(Host.server(2).m_Stage == ServerStage::Cold);
    LoadReport Report{Row.m_ReportedInFlight, 0, false, "boot"};
    Host.apply(ProbeEnded{"s1", Report});
    Host.wakeAfter(Row.m_After);
    CHECK(figures(Host.m_State, Host.m_Now).m_FreeSlots == Row.m_Free);
  }
}
