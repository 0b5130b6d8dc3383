#include "hyssopcross/dispatch/Choice.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::dispatch;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

/// State of one server in a test case.
struct ServerSpec {
  const char *m_Id = "s";
  const char *m_DataCentre = "here";
  uint32_t m_Slots = 2;
  uint32_t m_InFlight = 0;
  uint32_t m_Slowdown = 100;
  LoadReport::Health m_Health = LoadReport::Health::Healthy;
  bool m_Leaving = false;
  Duration m_ColdFor{};
  double m_FailureRate = 0;
};

ServerView makeView(const std::vector<ServerSpec> &Specs) {
  ServerView View;
  View.m_OwnDataCentre = "here";
  for (const ServerSpec &Each : Specs) {
    ServerRecord Record;
    Record.m_Id = Each.m_Id;
    Record.m_Service = "service";
    Record.m_DataCentre = Each.m_DataCentre;
    Record.m_Slots = Each.m_Slots;
    Record.m_Leaving = Each.m_Leaving;
    upsertServer(View, Record, Start);
    Server &Made = View.m_Servers.at(Each.m_Id);
    LoadReport Report;
    Report.m_SlowdownPercent = Each.m_Slowdown;
    Report.m_Health = Each.m_Health;
    Report.m_ColdFor = Each.m_ColdFor;
    recordReport(Made, Report, 0ms, Start);
    Made.m_ConfirmedAt = Start;
    Made.m_OwnInFlight = Each.m_InFlight;
    Made.m_FailureRate = Each.m_FailureRate;
    Made.m_OutcomeAt = Start;
  }
  return View;
}

CallInputs freshCall() {
  CallInputs Call;
  Call.m_Service = "service";
  Call.m_ObjectiveAt = Start + 200ms;
  Call.m_EndAt = Start + 800ms;
  Call.m_QueueUntil = Start;
  Call.m_Work = 60ms;
  Call.m_Objective = 200ms;
  return Call;
}

CallInputs lateCall() {
  CallInputs Call = freshCall();
  Call.m_ObjectiveAt = Start - 1ms;
  return Call;
}

Choice decide(const ServerView &View, const CallInputs &Call,
              bool OwnsWarmup = true) {
  std::mt19937 Random(1);
  return choose(
      View, DispatchPolicy(), Call, [=](const Server &) { return OwnsWarmup; },
      6.7, Random, Start);
}

} // namespace

TEST_CASE("a request goes to the server that responds in time") {
  using Health = LoadReport::Health;
  struct Case {
    const char *m_Name;
    std::vector<ServerSpec> m_Servers;
    CallInputs m_Call;
    /// Empty for a refusal.
    const char *m_Chosen;
  };
  CallInputs Upload = freshCall();
  Upload.m_Bytes = 60000;
  CallInputs UnderPressure = lateCall();
  UnderPressure.m_IsUnderPressure = true;
  const Case Cases[] = {
      {"the faster of two",
       {{"slow", "here", 2, 0, 400}, {"fast", "here", 2, 0, 100}},
       freshCall(),
       "fast"},
      {"the idle server of two",
       {{"busy", "here", 2, 1}, {"idle", "here", 2, 0}},
       freshCall(),
       "idle"},
      {"a busy fast server rather than an idle slow one",
       {{"slow", "here", 2, 0, 400}, {"fast", "here", 2, 1}},
       freshCall(),
       "fast"},
      {"a large body stays in its data centre",
       {{"near", "here", 2, 1}, {"far", "there", 2, 0}},
       Upload,
       "near"},
      {"a large body leaves its data centre if only that is in time",
       {{"near", "here", 2, 0, 400}, {"far", "there", 2, 0}},
       Upload,
       "far"},
      {"no full server", {{"full", "here", 2, 2}}, freshCall(), ""},
      {"no draining server",
       {{"leaving", "here", 2, 0, 100, Health::Healthy, true}},
       freshCall(),
       ""},
      {"no unreachable server",
       {{"down", "here", 2, 0, 100, Health::Unreachable}},
       freshCall(),
       ""},
      {"the server that does not fail",
       {{"failing", "here", 2, 0, 100, Health::Healthy, false, 0ms, 0.6},
        {"sound", "here", 2, 1}},
       freshCall(),
       "sound"},
      {"the server that fails least if all fail",
       {{"worse", "here", 2, 0, 100, Health::Healthy, false, 0ms, 0.9},
        {"better", "here", 2, 0, 100, Health::Healthy, false, 0ms, 0.6}},
       freshCall(),
       "better"},
      {"a late request takes a slow server, not a fast one",
       {{"slow", "here", 2, 0, 400}, {"fast", "here", 2, 0}},
       lateCall(),
       "slow"},
      {"a late request takes a fast server while no request waits",
       {{"fast", "here", 2, 0}},
       lateCall(),
       "fast"},
      {"a late request takes no fast server while others wait",
       {{"fast", "here", 2, 0}},
       UnderPressure,
       ""},
      {"a late request takes no slow server while others wait",
       {{"slow", "here", 2, 0, 400}},
       UnderPressure,
       ""},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    ServerView View = makeView(Each.m_Servers);
    Choice Made = decide(View, Each.m_Call);
    CHECK((Made.m_Server ? Made.m_Server->m_Record.m_Id : "") == Each.m_Chosen);
    CHECK((Made.m_Verdict == Verdict::Send) == (*Each.m_Chosen != 0));
  }
}

TEST_CASE("other servers are used only if no candidate is usable") {
  using Health = LoadReport::Health;
  struct Case {
    const char *m_Name;
    uint32_t m_CandidateInFlight;
    Health m_CandidateHealth;
    const char *m_Chosen;
  };
  const Case Cases[] = {
      {"an idle candidate", 0, Health::Healthy, "candidate"},
      {"a candidate that is full", 2, Health::Healthy, ""},
      {"no healthy candidate", 0, Health::Unhealthy, "other"},
  };
  for (const Case &Each : Cases) {
    CAPTURE(std::string(Each.m_Name));
    ServerView View =
        makeView({{"other", "here", 2, 0},
                  {"candidate", "here", 2, Each.m_CandidateInFlight, 100,
                   Each.m_CandidateHealth}});
    View.m_Servers.at("other").m_IsCandidate = false;
    partitionCandidatesFirst(View);
    Choice Made = decide(View, freshCall());
    CHECK((Made.m_Server ? Made.m_Server->m_Record.m_Id : "") == Each.m_Chosen);
  }
}

TEST_CASE("a report shows whether a running request began on a slow server") {
  struct Case {
    const char *m_Name;
    Duration m_SentBefore;
    uint32_t m_Slowdown;
    bool m_BeganSlow;
  };
  const Case Cases[] = {
      {"slow right after the send", 20ms, 400, true},
      {"as fast as known", 20ms, 110, false},
      {"slow long after the send", 80ms, 400, false},
      {"the report is older than the send", 0ms, 400, false},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    ServerView View = makeView({{"s", "here", 2, 1, Each.m_Slowdown}});
    RunningAttempt Attempt{Start - Each.m_SentBefore, 60ms, 100};
    auto Remaining = remainingAfterSlowStart(Attempt, View.m_Servers.at("s"),
                                             DispatchPolicy(), Start + 5ms);
    CHECK(Remaining.has_value() == Each.m_BeganSlow);
    if (Remaining)
      CHECK(*Remaining == 4 * 60ms - 25ms);
  }
}

TEST_CASE("a second attempt begins while it can still be in time") {
  struct Case {
    const char *m_Name;
    bool m_ReportsSpeed;
    Duration m_Expected;
    Duration m_ObjectiveLeft;
    Duration m_After;
  };
  // The usual service time is 80 ms; 100 ms are reserved for a second attempt.
  const Case Cases[] = {
      {"speed is reported: twice the expected time", true, 80ms, 250ms, 160ms},
      {"not reported: when a second attempt can just be in time", false, 80ms,
       250ms, 150ms},
      {"not before most requests have completed", false, 80ms, 150ms, 112ms},
      {"the objective is over", false, 80ms, -20ms, 112ms},
      {"not later than twice the expected time", false, 80ms, 900ms, 160ms},
  };
  for (const Case &Each : Cases) {
    CAPTURE(std::string(Each.m_Name));
    CHECK(hedgeDelay(DispatchPolicy(), Each.m_ReportsSpeed, Each.m_Expected,
                     80ms, Each.m_ObjectiveLeft) == Each.m_After);
  }
}

TEST_CASE(
    "a VM that shuts down accepts requests that complete before it exits") {
  // Regression test for fault-soak seeds 103, 110, 114 and 123: requests that a
  // VM accepted late in its shutdown were cut off when its process ended.
  struct Case {
    const char *m_Name;
    Duration m_SinceStop;
    Duration m_Work;
    Duration m_Deadline;
    bool m_IsTaken;
  };
  // The process ends 6 s after the shutdown began.
  const Case Cases[] = {
      {"before the shutdown", -1s, 1s, 30s, true},
      {"early, with a long deadline", 1s, 60ms, 30s, true},
      {"early, but the request takes long", 1s, 1s, 30s, false},
      {"late, within its deadline", 4s, 60ms, 1500ms, true},
      {"late, with a long deadline", 4s, 60ms, 2500ms, false},
      {"at the end", 5900ms, 60ms, 80ms, false},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    ShutdownWindow Stop{Start, Start + 6s};
    TimePoint Now = Start + Each.m_SinceStop;
    CHECK(completesBeforeShutdown(Stop, DispatchPolicy(), Each.m_Work,
                                  Now + Each.m_Deadline,
                                  Now) == Each.m_IsTaken);
  }
}

TEST_CASE(
    "a request without a free slot waits while it may and is then refused") {
  ServerView View = makeView({{"full", "here", 2, 2}});
  CallInputs Call = freshCall();
  Call.m_QueueUntil = Start + 50ms;
  CHECK(decide(View, Call).m_Verdict == Verdict::Wait);
  Call.m_QueueUntil = Start;
  Choice Refused = decide(View, Call);
  CHECK(Refused.m_Verdict == Verdict::Refuse);
  CHECK(Refused.m_RetryAfter > 0ms);
  // Callers wait for up to a third of the time left.
  CHECK(Refused.m_RetryAfter <= 800ms / 3);
}

TEST_CASE("a refused request returns when a server has capacity") {
  struct Case {
    const char *m_Name;
    bool m_HadRoom;
    Duration m_Left;
    Duration m_RetryAfter;
  };
  const Case Cases[] = {
      {"the server had a free slot", true, 800ms, 30ms},
      {"the server was full", false, 800ms, 200ms},
      {"full, with little time left", false, 40ms, 30ms},
      {"full, with no time left", false, -5ms, 30ms},
  };
  for (const Case &Each : Cases) {
    CAPTURE(std::string(Each.m_Name));
    CHECK(retryAfterShed(DispatchPolicy(), Each.m_HadRoom, Each.m_Left) ==
          Each.m_RetryAfter);
  }
}

TEST_CASE("a server that has been tried is not tried again") {
  ServerView View = makeView({{"a"}, {"b"}});
  std::vector<std::string> Tried = {"a"};
  CallInputs Call = freshCall();
  Call.m_Tried = Tried;
  CHECK(decide(View, Call).m_Server->m_Record.m_Id == "b");
  Tried.push_back("b");
  Call.m_Tried = Tried;
  CHECK(decide(View, Call).m_Verdict == Verdict::Refuse);
}

TEST_CASE(
    "a cold server gets no more requests than its warm-up owner may send") {
  DispatchPolicy Policy;
  ServerView View = makeView({{"cold", "here", 2, 0, 100,
                               LoadReport::Health::Healthy, false, 3000ms}});
  CHECK(decide(View, freshCall(), false).m_Verdict == Verdict::Refuse);
  Server &Cold = View.m_Servers.at("cold");
  uint32_t Sent = 0;
  while (Sent < 100 && decide(View, freshCall()).m_Verdict == Verdict::Send) {
    recordSend(Cold, Policy, Start);
    Cold.m_OwnInFlight = 0;
    ++Sent;
  }
  CHECK(Sent >= 1);
  // Two VMs that both believe they own the warm-up stay within 1.5 times its
  // rate, which the server must be able to take.
  CHECK(2 * Sent <= 6.7 * 1.5);
}

TEST_CASE("a server without a recent healthy report counts as cold") {
  DispatchPolicy Policy;
  ServerView View = makeView({{"s"}});
  Server &Target = View.m_Servers.at("s");
  CHECK_FALSE(isCold(Target, Policy, Start));
  CHECK(isCold(Target, Policy, Start + Policy.m_ConfirmationAge + 1ms));
  recordReport(Target, LoadReport(), 0ms, Start + 5s);
  CHECK_FALSE(isCold(Target, Policy, Start + 5s));
  setDataCentreDisabled(View, "here", true);
  setDataCentreDisabled(View, "here", false);
  CHECK(isCold(Target, Policy, Start + 5s));
}

TEST_CASE(
    "concurrent requests are limited to the number with the best throughput") {
  DispatchPolicy Policy;
  struct Case {
    uint32_t m_Slots;
    uint32_t m_Usable;
  };
  // A server is 1.7 times slower above 0.8 of its slots: two of two slots yield
  // 2/1.7 > 1, three of three only 3/1.7 < 2.
  const Case Cases[] = {{1, 1}, {2, 2}, {3, 2}, {4, 3}, {8, 6}};
  for (const Case &Each : Cases)
    CHECK(usableSlots(OccupancyCurve(), Each.m_Slots, 60ms, 200ms, Policy) ==
          Each.m_Usable);
}

TEST_CASE("a server that fails repeatedly is ejected for a time") {
  DispatchPolicy Policy;
  ServerView View = makeView({{"s"}});
  Server &Target = View.m_Servers.at("s");
  for (uint32_t I = 0; I < Policy.m_EjectAfter; ++I) {
    CHECK_FALSE(Start < Target.m_EjectedUntil);
    recordSend(Target, Policy, Start);
    recordAttemptEnd(Target, Policy, AttemptEnd::Failed, 10ms, 60ms, Start);
  }
  CHECK(Target.m_EjectedUntil >= Start + Policy.m_EjectTime);
  CHECK(decide(View, freshCall()).m_Verdict == Verdict::Refuse);
  recordSend(Target, Policy, Start);
  recordAttemptEnd(Target, Policy, AttemptEnd::Answered, 60ms, 60ms, Start);
  CHECK(Target.m_FailuresInRow == 0);
}

TEST_CASE("in-flight counts of another VM expire or are removed with it") {
  ServerView View = makeView({{"s"}});
  Server &Target = View.m_Servers.at("s");
  recordPeerInFlight(Target, 7, 2, Start);
  CHECK(inFlightAt(Target, Start) == 2);
  recordPeerInFlight(Target, 7, 1, Start + 10ms);
  CHECK(inFlightAt(Target, Start + 10ms) == 1);
  CHECK(inFlightAt(Target, Start + 10s) == 0);
  forgetVm(View, 7);
  CHECK(inFlightAt(Target, Start + 10ms) == 0);
}

TEST_CASE("a later report is not replaced by an earlier one") {
  ServerView View = makeView({{"s"}});
  Server &Target = View.m_Servers.at("s");
  LoadReport Slow;
  Slow.m_SlowdownPercent = 400;
  recordReport(Target, Slow, 0ms, Start + 50ms);
  recordReport(Target, LoadReport(), 20ms, Start + 60ms);
  CHECK(Target.m_Report.m_SlowdownPercent == 400);
}

TEST_CASE("a restart under the same id resets the learned state") {
  ServerView View = makeView({{"s"}});
  Server &Target = View.m_Servers.at("s");
  recordOutcomes(Target, DispatchPolicy(), 0, 5, Start);
  CHECK(Target.m_FailureRate > 0);
  ServerRecord Again = Target.m_Record;
  Again.m_Incarnation = 2;
  CHECK(upsertServer(View, Again, Start));
  CHECK(Target.m_FailureRate == 0);
  CHECK(isCold(Target, DispatchPolicy(), Start));
  CHECK_FALSE(upsertServer(View, Again, Start));
}

// Guards against calls that go to servers which a roll-out excludes.
TEST_CASE("a filter restricts the servers that a call may be sent to") {
  ServerView View = makeView({{"a"}, {"b"}});
  ServerFilter OnlyB = [](const Server &Each) {
    return Each.m_Record.m_Id == "b";
  };
  ServerFilter None = [](const Server &) { return false; };
  CallInputs Call = freshCall();
  Call.m_Admits = &OnlyB;
  for (int I = 0; I < 10; ++I) {
    Choice Made = decide(View, Call);
    REQUIRE(Made.m_Server);
    CHECK(Made.m_Server->m_Record.m_Id == "b");
  }
  Call.m_Admits = &None;
  CHECK(decide(View, Call).m_Verdict != Verdict::Send);
}
