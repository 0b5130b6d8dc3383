#include "hyssopcross/standins/SlotQueue.h"
#include "hyssopcross/standins/RateLimit.h"
#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace hyssopcross;
using namespace hyssopcross::standins;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

} // namespace

TEST_CASE("slots are granted up to the limits") {
  struct Row {
    const char *m_What;
    SlotLimits m_Limits;
    Duration m_Age;
    std::vector<Admission> m_Results;
  };
  constexpr auto Granted = Admission::Granted;
  constexpr auto Full = Admission::Full;
  constexpr auto Expired = Admission::Expired;
  const Row Rows[] = {
      {"warm, no queue", {2, 0, 1, 0s}, 0s, {Granted, Granted, Full}},
      {"warm, queue in vain", {1, 1, 1, 0s}, 0s, {Granted, Expired, Expired}},
      {"cold", {2, 4, 1, 10s}, 9s, {Granted, Full, Full}},
      {"warmed up", {2, 0, 1, 10s}, 10s, {Granted, Granted, Full}},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_What);
    SlotQueue Slots(Case.m_Limits, Start);
    for (Admission Result : Case.m_Results)
      CHECK(Slots.enter(Start + Case.m_Age, 0s) == Result);
  }
}

TEST_CASE("a slot given back goes to the request that waits") {
  SlotQueue Slots({1, 1, 1, 0s}, Start);
  REQUIRE(Slots.enter(Start, 0s) == Admission::Granted);
  Admission Waited = Admission::Expired;
  std::jthread Waiter([&] { Waited = Slots.enter(Start, 1h); });
  while (Slots.queued() == 0)
    std::this_thread::yield();
  CHECK(Slots.enter(Start, 0s) == Admission::Full);
  Slots.leave();
  Waiter.join();
  CHECK(Waited == Admission::Granted);
  CHECK(Slots.inFlight() == 1);
}

TEST_CASE("draining refuses those that wait too") {
  SlotQueue Slots({1, 1, 1, 0s}, Start);
  REQUIRE(Slots.enter(Start, 0s) == Admission::Granted);
  Admission Waited = Admission::Granted;
  std::jthread Waiter([&] { Waited = Slots.enter(Start, 1h); });
  while (Slots.queued() == 0)
    std::this_thread::yield();
  Slots.drain();
  Waiter.join();
  CHECK(Waited == Admission::Draining);
  CHECK(Slots.enter(Start, 0s) == Admission::Draining);
  CHECK(Slots.inFlight() == 1);
}

TEST_CASE("a cold server that is overloaded stays cold for longer") {
  SlotQueue Slots({2, 0, 1, 10s}, Start);
  REQUIRE(Slots.enter(Start, 0s) == Admission::Granted);
  CHECK(Slots.enter(Start + 9s, 0s) == Admission::Full);
  CHECK(Slots.isCold(Start + 18s));
  CHECK_FALSE(Slots.isCold(Start + 19s));
  CHECK(Slots.coldOverloads() == 1);
  Slots.makeCold(Start + 60s, 5s);
  CHECK(Slots.isCold(Start + 64s));
  CHECK(Slots.enter(Start + 64s, 0s) == Admission::Full);
}

TEST_CASE("a rate is held over time") {
  RateLimit Unlimited(0);
  RateLimit Limited(20);
  uint32_t Passed = 0;
  for (int Ms = 0; Ms < 10000; ++Ms) {
    CHECK(Unlimited.take(Start + Ms * 1ms));
    Passed += Limited.take(Start + Ms * 1ms) ? 1 : 0;
  }
  CHECK(Passed >= 199);
  CHECK(Passed <= 202);
}
