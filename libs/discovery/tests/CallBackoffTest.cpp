#include "hyssopcross/discovery/CallBackoff.h"
#include <doctest/doctest.h>
#include <vector>

using namespace hyssopcross;
using namespace hyssopcross::discovery;
using namespace std::chrono_literals;

TEST_CASE("a source can be called again after whatever ended the last call") {
  enum class Step { Call, Succeed, Fail, PauseOver, Drop };
  struct Case {
    const char *m_Name;
    std::vector<Step> m_Steps;
    bool m_MayCall;
  };
  const Case Cases[] = {
      {"at the start", {}, true},
      {"while a call is under way", {Step::Call}, false},
      {"answered", {Step::Call, Step::Succeed}, true},
      {"failed, in the pause", {Step::Call, Step::Fail}, false},
      {"after the pause", {Step::Call, Step::Fail, Step::PauseOver}, true},
      // A VM that stops following the store drops its call. One that had failed
      // before was taken for pausing for good, and kept an old configuration.
      {"dropped after a failure",
       {Step::Call, Step::Fail, Step::PauseOver, Step::Call, Step::Drop},
       true},
      {"dropped in the pause", {Step::Call, Step::Fail, Step::Drop}, true},
      {"a late end of a dropped pause",
       {Step::Call, Step::Fail, Step::Drop, Step::Call, Step::PauseOver},
       false},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    CallBackoff Of;
    for (Step Next : Each.m_Steps)
      switch (Next) {
      case Step::Call:
        onCallStarted(Of);
        break;
      case Step::Succeed:
        onCallSucceeded(Of);
        break;
      case Step::Fail:
        onCallFailed(Of, 0.5);
        break;
      case Step::PauseOver:
        onBackoffElapsed(Of);
        break;
      case Step::Drop:
        onCallCancelled(Of);
        break;
      }
    CHECK(canStartCall(Of) == Each.m_MayCall);
  }
}

TEST_CASE("pauses grow, and stay short enough to notice a return") {
  CallBackoff Of;
  Duration Last{};
  for (int I = 0; I < 20; ++I) {
    onCallStarted(Of);
    Duration Pause = onCallFailed(Of, 0.5);
    onBackoffElapsed(Of);
    CHECK(Pause >= Last);
    // A store's return must be noticed well within two seconds.
    CHECK(Pause <= 1s);
    Last = Pause;
  }
}

TEST_CASE("whole tables are handed over at a bounded rate") {
  struct Case {
    /// Since the one before.
    Duration m_After;
    bool m_IsGiven;
  };
  const Case Cases[] = {
      {0ms, true},    {10ms, true}, {10ms, true}, {10ms, true},  {10ms, false},
      {100ms, false}, {60ms, true}, {10ms, true}, {300ms, true}, {199ms, true}};
  SnapshotRateLimit Of;
  TimePoint Now{1h};
  for (const Case &Each : Cases) {
    Now += Each.m_After;
    CHECK(tryAcquireSnapshot(Of, Now) == Each.m_IsGiven);
  }
}
