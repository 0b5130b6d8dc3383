#include "hyssopcross/overflow/RoundTrip.h"
#include <doctest/doctest.h>
#include <random>

using namespace hyssopcross;
using namespace hyssopcross::overflow;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

/// Samples of a path, one at each interval.
struct Path {
  const char *m_Name;
  Duration m_RoundTrip;
  /// Mean of the exponential delay on top of it, by queues and scheduling.
  Duration m_Jitter;
  Duration m_Interval;
  /// Share of the samples that a pause of the VM lengthens by 50 ms.
  double m_Pauses;
  /// The round trip changes to this one after half of a minute.
  Duration m_Later;
};

} // namespace

TEST_CASE("the round trip is found beneath queues and pauses") {
  // A mean counts queues and pauses as distance; the fixed 3 ms are wrong by a
  // factor of 3 for the nearest data centre.
  const Path Paths[] = {
      {"near, quiet", 1ms, 50us, 500ms, 0, 1ms},
      {"far, quiet", 8800us, 50us, 500ms, 0, 8800us},
      {"busy", 3ms, 500us, 50ms, 0.02, 3ms},
      {"one VM with few requests", 3ms, 200us, 1s, 0.1, 3ms},
      {"path becomes longer", 1ms, 100us, 200ms, 0.02, 6ms},
      {"path becomes shorter", 6ms, 100us, 200ms, 0.02, 1ms},
  };
  for (const Path &Each : Paths)
    for (uint32_t Seed = 1; Seed <= 10; ++Seed) {
      CAPTURE(Each.m_Name);
      CAPTURE(Seed);
      std::mt19937 Random(Seed);
      std::uniform_real_distribution<double> Draw;
      std::exponential_distribution<double> Delay;
      RoundTrips State;
      TimePoint Now = Start;
      for (; Now < Start + 60s; Now += Each.m_Interval) {
        Duration Sample =
            (Now < Start + 30s ? Each.m_RoundTrip : Each.m_Later) +
            scale(Each.m_Jitter, Delay(Random)) +
            (Draw(Random) < Each.m_Pauses ? 50ms : 0ms);
        // The server took 30 ms by its own account.
        recordRoundTrip(State, "b", Sample + 30ms, 30ms, {}, Now);
      }
      auto Found = roundTripTo(State, "b", {}, Now);
      REQUIRE(Found);
      CHECK(*Found >= Each.m_Later * 9 / 10);
      CHECK(*Found <= Each.m_Later * 12 / 10);
    }
}

TEST_CASE("samples that cannot be a round trip are ignored") {
  struct Case {
    const char *m_Name;
    Duration m_Elapsed;
    Duration m_AtPeer;
  };
  const Case Cases[] = {
      // One such sample would make the data centre the nearest for a window.
      {"the peer counts more than has passed", 30ms, 31ms},
      {"zero", 0ms, 0ms},
      {"this VM was suspended", 10s, 0ms},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    RoundTrips State;
    recordRoundTrip(State, "b", Each.m_Elapsed, Each.m_AtPeer, {}, Start);
    CHECK(!roundTripTo(State, "b", {}, Start));
    recordRoundTrip(State, "b", 4ms, 0ms, {}, Start);
    recordRoundTrip(State, "b", Each.m_Elapsed, Each.m_AtPeer, {}, Start + 1s);
    CHECK(roundTripTo(State, "b", {}, Start + 1s) == 4ms);
  }
}

TEST_CASE("an estimate ends when its data centre is not heard any more") {
  // A path found again after an outage may be another one, so the old estimate
  // is not smoothed into it.
  RoundTrips State;
  recordRoundTrip(State, "b", 1ms, 0ms, {}, Start);
  CHECK(roundTripTo(State, "b", {}, Start + 30s) == 1ms);
  CHECK(!roundTripTo(State, "b", {}, Start + 31s));
  CHECK(!roundTripTo(State, "c", {}, Start));
  recordRoundTrip(State, "b", 6ms, 0ms, {}, Start + 31s);
  CHECK(roundTripTo(State, "b", {}, Start + 31s) == 6ms);
}
