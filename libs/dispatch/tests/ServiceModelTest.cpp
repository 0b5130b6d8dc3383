#include "hyssopcross/dispatch/ServiceModel.h"
#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace hyssopcross;
using namespace hyssopcross::dispatch;
using namespace std::chrono_literals;

namespace {

/// Standard deviation of the logarithm of individual service times.
constexpr double ServiceTimeSpread = 0.3;

/// Servers whose service time is m_Slowdown times as long for requests that
/// begin with more than m_Occupancy of the slots taken.
struct Behaviour {
  uint32_t m_Slots;
  double m_Occupancy;
  double m_Slowdown;
};

double trueSlowdown(const Behaviour &Servers, uint32_t InFlight) {
  return InFlight > Servers.m_Occupancy * Servers.m_Slots ? Servers.m_Slowdown
                                                          : 1;
}

/// Feeds the curve with responses of such servers, with one to all slots taken.
void recordResponses(OccupancyCurve &Curve, const Behaviour &Servers,
                     uint32_t Responses, std::mt19937 &Random) {
  std::lognormal_distribution<double> Spread(0, ServiceTimeSpread);
  std::uniform_int_distribution<uint32_t> Taken(1, Servers.m_Slots);
  for (uint32_t I = 0; I < Responses; ++I) {
    uint32_t InFlight = Taken(Random);
    recordOccupancySample(Curve, DispatchPolicy(),
                          {InFlight, Servers.m_Slots,
                           trueSlowdown(Servers, InFlight) * Spread(Random)});
  }
}

double learnedSlowdown(const OccupancyCurve &Curve, uint32_t InFlight,
                       uint32_t Slots) {
  return occupancySlowdown(Curve, DispatchPolicy(), InFlight, Slots);
}

} // namespace

TEST_CASE("without responses, a nearly full server is assumed to be slower") {
  struct Case {
    uint32_t m_InFlight;
    uint32_t m_Slots;
    double m_Slowdown;
  };
  const Case Cases[] = {{1, 1, 1},   {1, 2, 1},   {2, 2, 1.7},
                        {2, 3, 1},   {3, 3, 1.7}, {6, 8, 1},
                        {8, 8, 1.7}, {24, 32, 1}, {32, 32, 1.7}};
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_InFlight);
    CAPTURE(Each.m_Slots);
    CHECK(learnedSlowdown(OccupancyCurve(), Each.m_InFlight, Each.m_Slots) ==
          doctest::Approx(Each.m_Slowdown));
  }
}

TEST_CASE("a few hundred responses outweigh the prior") {
  // Servers that behave unlike the prior. The slowdown is learned to within a
  // quarter, which is enough to decide whether one more concurrent request pays
  // off.
  const Behaviour Cases[] = {{1, 1, 1},     {2, 0.5, 1.2}, {2, 0.5, 2.6},
                             {3, 0.5, 2.6}, {3, 1, 1},     {4, 0.5, 2},
                             {8, 0.7, 3},   {8, 1, 1},     {32, 0.5, 2}};
  for (const Behaviour &Each : Cases) {
    CAPTURE(Each.m_Slots);
    CAPTURE(Each.m_Slowdown);
    std::mt19937 Random(1);
    OccupancyCurve Curve;
    recordResponses(Curve, Each, 400, Random);
    for (uint32_t InFlight = 1; InFlight <= Each.m_Slots; ++InFlight) {
      CAPTURE(InFlight);
      double Ratio = learnedSlowdown(Curve, InFlight, Each.m_Slots) /
                     trueSlowdown(Each, InFlight);
      CHECK(Ratio > 0.75);
      CHECK(Ratio < 1.25);
    }
  }
}

TEST_CASE("the curve never falls as a server fills") {
  std::mt19937 Random(1);
  std::uniform_real_distribution<double> Ratio(0.1, 10);
  for (uint32_t Slots : {1, 2, 3, 5, 8, 17, 32}) {
    CAPTURE(Slots);
    OccupancyCurve Curve;
    std::uniform_int_distribution<uint32_t> Taken(1, Slots);
    for (uint32_t I = 0; I < 500; ++I) {
      recordOccupancySample(Curve, DispatchPolicy(),
                            {Taken(Random), Slots, Ratio(Random)});
      for (uint32_t InFlight = 2; InFlight <= Slots; ++InFlight)
        REQUIRE(learnedSlowdown(Curve, InFlight, Slots) >=
                learnedSlowdown(Curve, InFlight - 1, Slots) - 1e-9);
    }
  }
}

TEST_CASE("a change of server behaviour at runtime is learned") {
  // Simulates a release whose servers are slower when half full.
  std::mt19937 Random(1);
  OccupancyCurve Curve;
  recordResponses(Curve, {3, 1, 1}, 5000, Random);
  CHECK(learnedSlowdown(Curve, 2, 3) < 1.25);
  recordResponses(Curve, {3, 0.5, 2.6}, 3000, Random);
  CHECK(learnedSlowdown(Curve, 2, 3) > 2.6 * 0.75);
}

TEST_CASE("outliers have a bounded effect on the curve") {
  struct Case {
    const char *m_Name;
    double m_OutlierShare;
    double m_OutlierRatio;
  };
  // One server, or one VM, in ten reports invalid values.
  const Case Cases[] = {
      {"extremely slow", 0.1, 1e9},
      {"extremely fast", 0.1, 1e-9},
      {"zero", 0.1, 0},
      {"negative", 0.1, -5},
  };
  for (const Case &Each : Cases) {
    CAPTURE(std::string(Each.m_Name));
    std::mt19937 Random(1);
    std::bernoulli_distribution IsOutlier(Each.m_OutlierShare);
    OccupancyCurve Curve;
    for (uint32_t I = 0; I < 2000; ++I) {
      if (IsOutlier(Random))
        recordOccupancySample(Curve, DispatchPolicy(),
                              {1 + I % 3, 3, Each.m_OutlierRatio});
      else
        recordResponses(Curve, {3, 0.8, 1.7}, 1, Random);
    }
    // A tenth of the responses is wrong, each counted for at most a factor of
    // two.
    CHECK(learnedSlowdown(Curve, 3, 3) > 1.7 * 0.75);
    CHECK(learnedSlowdown(Curve, 3, 3) < 1.7 * 1.25);
  }
}

TEST_CASE("responses that waited at a full server are ignored") {
  OccupancyCurve Curve;
  for (uint32_t I = 0; I < 100; ++I)
    recordOccupancySample(Curve, DispatchPolicy(), {4, 3, 8});
  CHECK_FALSE(Curve.m_IsFitted);
}

TEST_CASE("the decay time of a speed report is learned from speed changes") {
  struct Case {
    const char *m_Name;
    double m_SlowShare;
    uint32_t m_SlowPercent;
    Duration m_Period;
  };
  // Speeds are drawn again at the end of each period and reported every 40 ms.
  const Case Cases[] = {
      {"as in the prior", 0.25, 400, 300ms},
      {"short periods", 0.25, 500, 120ms},
      {"long periods on many servers", 0.4, 300, 600ms},
      {"rare long periods", 0.1, 400, 2000ms},
  };
  for (const Case &Each : Cases) {
    CAPTURE(std::string(Each.m_Name));
    std::mt19937 Random(1);
    std::bernoulli_distribution IsSlow(Each.m_SlowShare);
    SlowPeriodStats SlowPeriods;
    // Ten servers for 40 s.
    for (uint32_t Server = 0; Server < 10; ++Server) {
      uint32_t Last = 100;
      for (Duration At{}; At < 40s; At += 40ms) {
        uint32_t Now = Last;
        if (At % Each.m_Period < 40ms)
          Now = IsSlow(Random) ? Each.m_SlowPercent : 100;
        recordSpeeds(SlowPeriods, Last, Now, 40ms);
        Last = Now;
      }
    }
    SlowdownForecast Learned = forecastSlowdown(SlowPeriods, DispatchPolicy());
    double Memory = std::chrono::duration<double>(Each.m_Period).count();
    CHECK(Learned.m_DecaySeconds > 0.6 * Memory);
    CHECK(Learned.m_DecaySeconds < 1.6 * Memory);
    double Unknown = 100 + Each.m_SlowShare * (Each.m_SlowPercent - 100.0);
    CHECK(Learned.m_UnknownPercent > 0.8 * Unknown);
    CHECK(Learned.m_UnknownPercent < 1.2 * Unknown);
  }
}

TEST_CASE("reports that are far apart are not counted as changes") {
  SlowPeriodStats SlowPeriods;
  for (uint32_t I = 0; I < 1000; ++I)
    recordSpeeds(SlowPeriods, I % 2 ? 100 : 400, I % 2 ? 400 : 100, 1s);
  CHECK(SlowPeriods.m_SlowStarts == 0);
  CHECK(SlowPeriods.m_SlowEnds == 0);
}

TEST_CASE("with learning disabled, the assumptions of the policy apply") {
  DispatchPolicy Fixed;
  Fixed.m_LearnServers = false;
  OccupancyCurve Curve;
  for (uint32_t I = 0; I < 1000; ++I)
    recordOccupancySample(Curve, Fixed, {3, 3, 1});
  CHECK(occupancySlowdown(Curve, Fixed, 3, 3) ==
        doctest::Approx(Fixed.m_KneeSlowdown));
  CHECK(forecastSlowdown(SlowPeriodStats(), Fixed).m_UnknownPercent ==
        Fixed.m_UnknownSlowdown);
}
