#include "hyssopcross/dispatch/CrashSuspects.h"
#include "hyssopcross/dispatch/Servers.h"
#include <doctest/doctest.h>
#include <random>

using namespace hyssopcross;
using namespace hyssopcross::dispatch;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
constexpr RequestFingerprint Crashing = 1;
constexpr RequestFingerprint Proper = 2;

/// A VM's view of servers that crash, and what it knows of suspects.
struct Fixture {
  ServerView m_View;
  CrashSuspects m_State;
  DispatchPolicy m_Policy;
  TimePoint m_Now = Start;

  Server &add(const std::string &Id, int64_t Incarnation = 1) {
    ServerRecord Record;
    Record.m_Id = Id;
    Record.m_Service = "service";
    Record.m_Incarnation = Incarnation;
    upsertServer(m_View, Record, m_Now);
    return m_View.m_Servers.find(Id)->second;
  }

  /// A server closes the connections of requests in progress.
  void cutOff(const std::string &Id,
              std::initializer_list<RequestFingerprint> Requests) {
    for (RequestFingerprint Each : Requests)
      recordCutOff(m_State, m_Policy, {Each, {Id, 1, m_Now}});
  }

  void setHealth(const std::string &Id, LoadReport::Health Health,
                 bool HasEnded = false) {
    LoadReport Report;
    Report.m_Health = Health;
    Report.m_HasEnded = HasEnded;
    recordReport(m_View.m_Servers.find(Id)->second, Report, 0ms, m_Now);
  }

  size_t confirm() {
    return confirmCrashes(m_State, m_View, m_Policy, m_Now).size();
  }

  /// A server crashes and is found to have ended 100 ms later.
  void crash(const std::string &Id,
             std::initializer_list<RequestFingerprint> Requests) {
    add(Id);
    cutOff(Id, Requests);
    m_Now += 100ms;
    setHealth(Id, LoadReport::Health::Unreachable, true);
    confirm();
    m_Now += 1s;
  }

  bool isQuarantined(RequestFingerprint Request) const {
    return m_Now < quarantinedUntil(m_State, m_Policy, Request);
  }
};

} // namespace

// Guards against a request that crashes server after server.
TEST_CASE("a request is quarantined once three servers have crashed with it") {
  for (bool Enabled : {true, false}) {
    CAPTURE(Enabled);
    Fixture Test;
    Test.m_Policy.m_QuarantineCrashers = Enabled;
    for (const char *Id : {"a", "b", "c"}) {
      CHECK_FALSE(Test.isQuarantined(Crashing));
      Test.crash(Id, {Crashing});
    }
    CHECK(Test.isQuarantined(Crashing) == Enabled);
    CHECK_FALSE(Test.isQuarantined(Proper));
  }
}

// Guards against proper requests that are refused because their connections
// ended, for whatever reason.
TEST_CASE("only a crash of the server makes a request a suspect") {
  struct Case {
    std::string m_Name;
    std::function<void(Fixture &, Server &)> m_Then;
    bool m_IsSuspect;
  };
  const Case Cases[] = {
      {"the server stays healthy",
       [](Fixture &Test, Server &) {
         Test.setHealth("a", LoadReport::Health::Healthy);
       },
       false},
      {"the server is unhealthy, but there",
       [](Fixture &Test, Server &) {
         Test.setHealth("a", LoadReport::Health::Unhealthy);
       },
       false},
      {"the server does not answer checks in time",
       [](Fixture &Test, Server &) {
         Test.setHealth("a", LoadReport::Health::Unreachable);
       },
       false},
      {"the server has ended",
       [](Fixture &Test, Server &) {
         Test.setHealth("a", LoadReport::Health::Unreachable, true);
       },
       true},
      {"the server has started again",
       [](Fixture &Test, Server &) { Test.add("a", 2); }, true},
      {"the server is removed",
       [](Fixture &Test, Server &) { removeServer(Test.m_View, "a"); }, false},
      {"the server was leaving",
       [](Fixture &Test, Server &Of) {
         Of.m_Record.m_Leaving = true;
         Test.setHealth("a", LoadReport::Health::Unreachable, true);
       },
       false},
      {"the server has ended much later",
       [](Fixture &Test, Server &) {
         Test.m_Now += Test.m_Policy.m_CrashConfirmTime + 1ms;
         Test.confirm();
         Test.setHealth("a", LoadReport::Health::Unreachable, true);
       },
       false},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    Fixture Test;
    Server &Of = Test.add("a");
    Test.cutOff("a", {Crashing});
    Test.m_Now += 50ms;
    CHECK(Test.confirm() == 0);
    Each.m_Then(Test, Of);
    CHECK(Test.confirm() == (Each.m_IsSuspect ? 1 : 0));
    CHECK(isSuspect(Test.m_State, Crashing) == Each.m_IsSuspect);
  }
}

TEST_CASE("a crash counts once, by whomever it is reported") {
  Fixture Test;
  Test.crash("a", {Crashing, Crashing});
  Suspect Told;
  Told.m_Crashes = {{"a", 1, Start + 300ms}, {"b", 1, Start + 5s}};
  Test.m_Now = Start + 6s;
  CHECK(mergeSuspect(Test.m_State, Test.m_Policy, Crashing, Told, Test.m_Now));
  CHECK_FALSE(
      mergeSuspect(Test.m_State, Test.m_Policy, Crashing, Told, Test.m_Now));
  CHECK_FALSE(Test.isQuarantined(Crashing));
  // A server without another incarnation may crash again later.
  Test.crash("a", {Crashing});
  CHECK(Test.isQuarantined(Crashing));
}

// Guards against proper requests that are quarantined because they were in
// progress beside one that crashes servers.
TEST_CASE("a crash is attributed to the request that was in progress at most") {
  Fixture Test;
  Test.crash("a", {Crashing});
  for (const char *Id : {"b", "c", "d"})
    Test.crash(Id, {Crashing, Proper});
  CHECK(Test.isQuarantined(Crashing));
  CHECK_FALSE(Test.isQuarantined(Proper));
}

TEST_CASE("a completed request is no suspect, also if old crashes are told") {
  Fixture Test;
  for (const char *Id : {"a", "b"})
    Test.crash(Id, {Proper});
  Suspect Told = Test.m_State.m_Suspects[Proper];
  CHECK(clearSuspect(Test.m_State, Proper, Test.m_Now));
  CHECK_FALSE(clearSuspect(Test.m_State, Proper, Test.m_Now));
  CHECK_FALSE(clearSuspect(Test.m_State, Crashing, Test.m_Now));
  CHECK_FALSE(isSuspect(Test.m_State, Proper));
  CHECK_FALSE(
      mergeSuspect(Test.m_State, Test.m_Policy, Proper, Told, Test.m_Now));
  Test.m_Now += 1s;
  Test.crash("c", {Proper});
  CHECK_FALSE(Test.isQuarantined(Proper));
  // Another VM that saw it completed clears it here.
  Told.m_ClearedAt = Test.m_Now;
  CHECK(mergeSuspect(Test.m_State, Test.m_Policy, Proper, Told, Test.m_Now));
  CHECK_FALSE(isSuspect(Test.m_State, Proper));
}

TEST_CASE("a quarantine ends, and one further crash begins the next") {
  Fixture Test;
  for (const char *Id : {"a", "b", "c"})
    Test.crash(Id, {Crashing});
  Test.m_Now += Test.m_Policy.m_QuarantineTime;
  expireSuspects(Test.m_State, Test.m_Policy, Test.m_Now);
  CHECK_FALSE(Test.isQuarantined(Crashing));
  Test.crash("d", {Crashing});
  CHECK(Test.isQuarantined(Crashing));
  Test.m_Now += Test.m_Policy.m_SuspectRetention;
  expireSuspects(Test.m_State, Test.m_Policy, Test.m_Now);
  CHECK(Test.m_State.m_Suspects.empty());
}

TEST_CASE("memory for suspects is bounded, and the worst are kept") {
  Fixture Test;
  for (const char *Id : {"a", "b", "c"})
    Test.crash(Id, {Crashing});
  for (RequestFingerprint Request = 10; Request < 5000; ++Request) {
    Suspect Told;
    Told.m_Crashes = {{"x" + std::to_string(Request), 1, Test.m_Now}};
    mergeSuspect(Test.m_State, Test.m_Policy, Request, Told, Test.m_Now);
    recordCutOff(Test.m_State, Test.m_Policy, {Request, {"y", 1, Test.m_Now}});
  }
  CHECK(Test.m_State.m_Suspects.size() <= Test.m_Policy.m_MaxSuspects);
  CHECK(Test.m_State.m_CutOff.size() <= 1024);
  CHECK(Test.isQuarantined(Crashing));
  for (int I = 0; I < 100; ++I) {
    Suspect Told;
    Told.m_Crashes = {{"z" + std::to_string(I), 1, Test.m_Now}};
    mergeSuspect(Test.m_State, Test.m_Policy, Crashing, Told, Test.m_Now);
  }
  CHECK(Test.m_State.m_Suspects[Crashing].m_Crashes.size() <= 8);
}
