#include "hyssopcross/discovery/CallBackoff.h"
#include <doctest/doctest.h>
#include <vector>

using namespace hyssopcross;
using namespace hyssopcross::discovery;
using namespace std::chrono_literals;

TEST_CASE("a source can be called again after whatever ended the last call") {
  enum class Step { Call, Succeed, Fail, BackoffElapsed, Cancel };
  struct Case {
    const char *m_Name;
    std::vector<Step> m_Steps;
    bool m_CanStartCall;
  };
  const Case Cases[] = {
      {"at the start", {}, true},
      {"while a call is under way", {Step::Call}, false},
      {"answered", {Step::Call, Step::Succeed}, true},
      {"failed, in the pause", {Step::Call, Step::Fail}, false},
      {"after the pause", {Step::Call, Step::Fail, Step::BackoffElapsed}, true},
      // A VM that stops following the store drops its call. One that had failed
      // before was taken for pausing for good, and kept an old configuration.
      {"dropped after a failure",
       {Step::Call, Step::Fail, Step::BackoffElapsed, Step::Call, Step::Cancel},
       true},
      {"dropped in the pause", {Step::Call, Step::Fail, Step::Cancel}, true},
      {"a late end of a dropped pause",
       {Step::Call, Step::Fail, Step::Cancel, Step::Call, Step::BackoffElapsed},
       false},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    CallBackoff Backoff;
    for (Step Next : Each.m_Steps)
      switch (Next) {
      case Step::Call:
        onCallStarted(Backoff);
        break;
      case Step::Succeed:
        onCallSucceeded(Backoff);
        break;
      case Step::Fail:
        onCallFailed(Backoff, 0.5);
        break;
      case Step::BackoffElapsed:
        onBackoffElapsed(Backoff);
        break;
      case Step::Cancel:
        onCallCancelled(Backoff);
        break;
      }
    CHECK(canStartCall(Backoff) == Each.m_CanStartCall);
  }
}

TEST_CASE("pauses grow, and stay short enough to notice a return") {
  CallBackoff Backoff;
  Duration PreviousDelay{};
  for (int I = 0; I < 20; ++I) {
    onCallStarted(Backoff);
    Duration Delay = onCallFailed(Backoff, 0.5);
    onBackoffElapsed(Backoff);
    CHECK(Delay >= PreviousDelay);
    // A store's return must be noticed well within two seconds.
    CHECK(Delay <= 1s);
    PreviousDelay = Delay;
  }
}

TEST_CASE("whole tables are handed over at a bounded rate") {
  struct Case {
    /// Since the one before.
    Duration m_After;
    bool m_IsGranted;
  };
  const Case Cases[] = {
      {0ms, true},    {10ms, true}, {10ms, true}, {10ms, true},  {10ms, false},
      {100ms, false}, {60ms, true}, {10ms, true}, {300ms, true}, {199ms, true}};
  SnapshotRateLimit Limit;
  TimePoint Now{1h};
  for (const Case &Each : Cases) {
    Now += Each.m_After;
    CHECK(tryAcquireSnapshot(Limit, Now) == Each.m_IsGranted);
  }
}
