#include "hyssopcross/dispatch/Servers.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::dispatch;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

LoadReport makeReport(uint32_t Slowdown,
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
    LoadReport m_Published;
    Duration m_PublishedBefore;
    LoadReport m_Found;
    CheckResult m_Result;
  };
  const Case Cases[] = {
      {"unchanged", makeReport(100), 40ms, makeReport(100), CheckResult::Known},
      {"jitter", makeReport(100), 40ms, makeReport(120), CheckResult::Known},
      {"unchanged for the whole interval", makeReport(100), 160ms,
       makeReport(100), CheckResult::Refresh},
      {"slow", makeReport(100), 40ms, makeReport(400), CheckResult::Change},
      {"fast again", makeReport(400), 40ms, makeReport(100),
       CheckResult::Change},
      {"less slow", makeReport(400), 40ms, makeReport(250),
       CheckResult::Change},
      {"unhealthy", makeReport(100), 40ms, makeReport(100, Health::Unhealthy),
       CheckResult::Change},
      {"cold", makeReport(100), 40ms, makeReport(100, Health::Healthy, 1s),
       CheckResult::Change},
      {"warm again", makeReport(100, Health::Healthy, 1s), 40ms,
       makeReport(100), CheckResult::Change},
  };
  for (const Case &Each : Cases) {
    CAPTURE(std::string(Each.m_Name));
    PublishedReport Published{Each.m_Published, Start - Each.m_PublishedBefore};
    CHECK(comparePublished(Published, Each.m_Found, DispatchPolicy(), Start) ==
          Each.m_Result);
  }
  CHECK(comparePublished({}, makeReport(100), DispatchPolicy(), Start) ==
        CheckResult::Change);
  DispatchPolicy All;
  All.m_TellChangesOnly = false;
  CHECK(comparePublished({makeReport(100), Start}, makeReport(100), All,
                         Start) == CheckResult::Change);
}

TEST_CASE("a report is valid while its changes are published") {
  struct Case {
    const char *m_Name;
    Duration m_Validity;
    Duration m_Age;
    /// The slowdown is exactly the reported one, not a mixture with the
    /// expected value.
    bool m_IsExact;
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
    Server &Target = View.m_Servers.at("s");
    recordReport(Target, makeReport(400), 0ms, Start);
    extendReportValidity(Target, Each.m_Validity, Start);
    double Slowdown = reportedSlowdown(Target, Policy, Start + Each.m_Age);
    CHECK((Slowdown == doctest::Approx(400)) == Each.m_IsExact);
    // Without updates it approaches the value expected of any server.
    CHECK(Slowdown >= Policy.m_UnknownSlowdown);
  }
}
