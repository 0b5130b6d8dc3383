#include "hyssopcross/discovery/CallBackoff.h"
#include <doctest/doctest.h>
#include <vector>

using namespace hyssopcross;
using namespace hyssopcross::discovery;
using namespace std::chrono_literals;

TEST_CASE("a source can be called again however the last call ended") {
  enum class Step { Call, Succeed, Fail, BackoffElapsed, Cancel };
  struct Case {
    const char *m_Name;
    std::vector<Step> m_Steps;
    bool m_CanStartCall;
  };
  const Case Cases[] = {
      {"initial state", {}, true},
      {"call in flight", {Step::Call}, false},
      {"answered", {Step::Call, Step::Succeed}, true},
      {"backing off after a failure", {Step::Call, Step::Fail}, false},
      {"backoff elapsed", {Step::Call, Step::Fail, Step::BackoffElapsed}, true},
      // A VM cancels its call when it stops following the store. If an earlier
      // call had failed, the state remained BackingOff permanently, and the VM
      // kept an outdated configuration.
      {"cancelled after an earlier failure",
       {Step::Call, Step::Fail, Step::BackoffElapsed, Step::Call, Step::Cancel},
       true},
      {"cancelled while backing off",
       {Step::Call, Step::Fail, Step::Cancel},
       true},
      {"a cancelled backoff elapses during the next call",
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

TEST_CASE("backoff delays increase up to a limit that allows fast recovery") {
  CallBackoff Backoff;
  Duration PreviousDelay{};
  for (int I = 0; I < 20; ++I) {
    onCallStarted(Backoff);
    Duration Delay = onCallFailed(Backoff, 0.5);
    onBackoffElapsed(Backoff);
    CHECK(Delay >= PreviousDelay);
    // The recovery of a store must be detected well within two seconds.
    CHECK(Delay <= 1s);
    PreviousDelay = Delay;
  }
}

TEST_CASE("the rate of snapshots is limited") {
  struct Case {
    /// Time since the previous request.
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
