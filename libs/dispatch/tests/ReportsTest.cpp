#include "hyssopcross/dispatch/Servers.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::dispatch;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

LoadReport reportOf(uint32_t Slowdown,
                    LoadReport::Health Health = LoadReport::Health::Healthy,
                    Duration ColdFor = Duration(0)) {
  LoadReport Made;
  Made.m_SlowdownPercent = Slowdown;
  Made.m_Health = Health;
  Made.m_ColdFor = ColdFor;
  return Made;
}

} // namespace

TEST_CASE("changes are published at once, unchanged reports at intervals") {
  using Health = LoadReport::Health;
  struct Case {
    const char *m_Name;
    LoadReport m_Told;
    Duration m_ToldBefore;
    LoadReport m_Found;
    CheckResult m_Result;
  };
  const Case Cases[] = {
      {"unchanged", reportOf(100), 40ms, reportOf(100), CheckResult::Known},
      {"jitter", reportOf(100), 40ms, reportOf(120), CheckResult::Known},
      {"unchanged for the whole interval", reportOf(100), 160ms, reportOf(100),
       CheckResult::Refresh},
      {"slow", reportOf(100), 40ms, reportOf(400), CheckResult::Change},
      {"fast again", reportOf(400), 40ms, reportOf(100), CheckResult::Change},
      {"less slow", reportOf(400), 40ms, reportOf(250), CheckResult::Change},
      {"unhealthy", reportOf(100), 40ms, reportOf(100, Health::Unhealthy),
       CheckResult::Change},
      {"cold", reportOf(100), 40ms, reportOf(100, Health::Healthy, 1s),
       CheckResult::Change},
      {"warm again", reportOf(100, Health::Healthy, 1s), 40ms, reportOf(100),
       CheckResult::Change},
  };
  for (const Case &Each : Cases) {
    CAPTURE(std::string(Each.m_Name));
    PublishedReport Told{Each.m_Told, Start - Each.m_ToldBefore};
    CHECK(comparePublished(Told, Each.m_Found, DispatchPolicy(), Start) ==
          Each.m_Result);
  }
  CHECK(comparePublished({}, reportOf(100), DispatchPolicy(), Start) ==
        CheckResult::Change);
  DispatchPolicy All;
  All.m_TellChangesOnly = false;
  CHECK(comparePublished({reportOf(100), Start}, reportOf(100), All, Start) ==
        CheckResult::Change);
}

TEST_CASE("a report is valid while its changes are published") {
  struct Case {
    const char *m_Name;
    Duration m_Holds;
    Duration m_Age;
    /// The slowdown is exactly the reported one, not a mixture with the
    /// expected value.
    bool m_IsSure;
  };
  const Case Cases[] = {
      {"fresh", 0ms, 0ms, true},
      {"old", 0ms, 150ms, false},
      {"old, but still valid", 200ms, 150ms, true},
      {"older than its validity", 200ms, 400ms, false},
  };
  DispatchPolicy Policy;
  for (const Case &Each : Cases) {
    CAPTURE(std::string(Each.m_Name));
    ServerView View;
    ServerRecord Record;
    Record.m_Id = "s";
    upsertServer(View, Record, Start);
    Server &Of = View.m_Servers.at("s");
    recordReport(Of, reportOf(400), 0ms, Start);
    extendReportValidity(Of, Each.m_Holds, Start);
    double Slowdown = reportedSlowdown(Of, Policy, Start + Each.m_Age);
    CHECK((Slowdown == doctest::Approx(400)) == Each.m_IsSure);
    // Without updates it approaches the value expected of any server.
    CHECK(Slowdown >= Policy.m_UnknownSlowdown);
  }
}
