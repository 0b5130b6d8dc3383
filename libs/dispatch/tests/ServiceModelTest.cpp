#include "hyssopcross/dispatch/ServiceModel.h"
#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace hyssopcross;
using namespace hyssopcross::dispatch;
using namespace std::chrono_literals;

namespace {

/// Spread of single answers, as the standard deviation of their logarithm.
constexpr double AnswerSpread = 0.3;

/// Servers that work Stretch times as long on what begins with more than
/// Occupancy of their slots taken.
struct Behaviour {
  uint32_t m_Slots;
  double m_Occupancy;
  double m_Stretch;
};

double trueStretch(const Behaviour &Of, uint32_t InFlight) {
  return InFlight > Of.m_Occupancy * Of.m_Slots ? Of.m_Stretch : 1;
}

/// Answers of such servers, with one to all slots taken.
void learn(OccupancyCurve &Curve, const Behaviour &Of, uint32_t Answers,
           std::mt19937 &Random) {
  std::lognormal_distribution<double> Spread(0, AnswerSpread);
  std::uniform_int_distribution<uint32_t> Taken(1, Of.m_Slots);
  for (uint32_t I = 0; I < Answers; ++I) {
    uint32_t InFlight = Taken(Random);
    recordOccupancySample(
        Curve, DispatchPolicy(),
        {InFlight, Of.m_Slots, trueStretch(Of, InFlight) * Spread(Random)});
  }
}

double stretchOf(const OccupancyCurve &Curve, uint32_t InFlight,
                 uint32_t Slots) {
  return occupancySlowdown(Curve, DispatchPolicy(), InFlight, Slots);
}

} // namespace

TEST_CASE("before any answer, a nearly full server is assumed to be slower") {
  struct Case {
    uint32_t m_InFlight;
    uint32_t m_Slots;
    double m_Stretch;
  };
  const Case Cases[] = {{1, 1, 1},   {1, 2, 1},   {2, 2, 1.7},
                        {2, 3, 1},   {3, 3, 1.7}, {6, 8, 1},
                        {8, 8, 1.7}, {24, 32, 1}, {32, 32, 1.7}};
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_InFlight);
    CAPTURE(Each.m_Slots);
    CHECK(stretchOf(OccupancyCurve(), Each.m_InFlight, Each.m_Slots) ==
          doctest::Approx(Each.m_Stretch));
  }
}

TEST_CASE("a few hundred answers outweigh what was assumed") {
  // Pattern: servers of another kind than any seen before. The stretch is known
  // to a quarter, which tells whether one more request pays.
  const Behaviour Cases[] = {{1, 1, 1},     {2, 0.5, 1.2}, {2, 0.5, 2.6},
                             {3, 0.5, 2.6}, {3, 1, 1},     {4, 0.5, 2},
                             {8, 0.7, 3},   {8, 1, 1},     {32, 0.5, 2}};
  for (const Behaviour &Each : Cases) {
    CAPTURE(Each.m_Slots);
    CAPTURE(Each.m_Stretch);
    std::mt19937 Random(1);
    OccupancyCurve Curve;
    learn(Curve, Each, 400, Random);
    for (uint32_t InFlight = 1; InFlight <= Each.m_Slots; ++InFlight) {
      CAPTURE(InFlight);
      double Ratio = stretchOf(Curve, InFlight, Each.m_Slots) /
                     trueStretch(Each, InFlight);
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
        REQUIRE(stretchOf(Curve, InFlight, Slots) >=
                stretchOf(Curve, InFlight - 1, Slots) - 1e-9);
    }
  }
}

TEST_CASE("a change of behaviour in mid-day is learned anew") {
  // Pattern: a release whose servers are slower when half full.
  std::mt19937 Random(1);
  OccupancyCurve Curve;
  learn(Curve, {3, 1, 1}, 5000, Random);
  CHECK(stretchOf(Curve, 2, 3) < 1.25);
  learn(Curve, {3, 0.5, 2.6}, 3000, Random);
  CHECK(stretchOf(Curve, 2, 3) > 2.6 * 0.75);
}

TEST_CASE("odd answers cannot bend the curve out of all proportion") {
  struct Case {
    const char *m_Name;
    double m_OddShare;
    double m_OddRatio;
  };
  // One server, or one VM, in ten tells nonsense.
  const Case Cases[] = {
      {"absurdly slow", 0.1, 1e9},
      {"absurdly fast", 0.1, 1e-9},
      {"no number of requests", 0.1, 0},
      {"negative", 0.1, -5},
  };
  for (const Case &Each : Cases) {
    CAPTURE(std::string(Each.m_Name));
    std::mt19937 Random(1);
    std::bernoulli_distribution IsOdd(Each.m_OddShare);
    OccupancyCurve Curve;
    for (uint32_t I = 0; I < 2000; ++I) {
      if (IsOdd(Random))
        recordOccupancySample(Curve, DispatchPolicy(),
                              {1 + I % 3, 3, Each.m_OddRatio});
      else
        learn(Curve, {3, 0.8, 1.7}, 1, Random);
    }
    // A tenth of the answers, each counted for at most a factor of two.
    CHECK(stretchOf(Curve, 3, 3) > 1.7 * 0.75);
    CHECK(stretchOf(Curve, 3, 3) < 1.7 * 1.25);
  }
}

TEST_CASE("what waited at a full server tells nothing of its work") {
  OccupancyCurve Curve;
  for (uint32_t I = 0; I < 100; ++I)
    recordOccupancySample(Curve, DispatchPolicy(), {4, 3, 8});
  CHECK_FALSE(Curve.m_IsFitted);
}

TEST_CASE("how long a report of speed holds is learned from changes") {
  struct Case {
    const char *m_Name;
    double m_SlowShare;
    uint32_t m_SlowPercent;
    Duration m_Spell;
  };
  // Speeds are drawn anew at each spell's end and told every 40 ms.
  const Case Cases[] = {
      {"as assumed", 0.25, 400, 300ms},
      {"short spells", 0.25, 500, 120ms},
      {"long spells of many servers", 0.4, 300, 600ms},
      {"rare long spells", 0.1, 400, 2000ms},
  };
  for (const Case &Each : Cases) {
    CAPTURE(std::string(Each.m_Name));
    std::mt19937 Random(1);
    std::bernoulli_distribution IsSlow(Each.m_SlowShare);
    SlowPeriodStats Spells;
    // Ten servers for 40 s.
    for (uint32_t Server = 0; Server < 10; ++Server) {
      uint32_t Last = 100;
      for (Duration At{}; At < 40s; At += 40ms) {
        uint32_t Now = Last;
        if (At % Each.m_Spell < 40ms)
          Now = IsSlow(Random) ? Each.m_SlowPercent : 100;
        recordSpeeds(Spells, Last, Now, 40ms);
        Last = Now;
      }
    }
    SlowdownForecast Learned = forecastSlowdown(Spells, DispatchPolicy());
    double Memory = std::chrono::duration<double>(Each.m_Spell).count();
    CHECK(Learned.m_DecaySeconds > 0.6 * Memory);
    CHECK(Learned.m_DecaySeconds < 1.6 * Memory);
    double Unknown = 100 + Each.m_SlowShare * (Each.m_SlowPercent - 100.0);
    CHECK(Learned.m_UnknownPercent > 0.8 * Unknown);
    CHECK(Learned.m_UnknownPercent < 1.2 * Unknown);
  }
}

TEST_CASE("reports that are far apart do not count as changes") {
  SlowPeriodStats Spells;
  for (uint32_t I = 0; I < 1000; ++I)
    recordSpeeds(Spells, I % 2 ? 100 : 400, I % 2 ? 400 : 100, 1s);
  CHECK(Spells.m_SlowStarts == 0);
  CHECK(Spells.m_SlowEnds == 0);
}

TEST_CASE("with learning off, the policy's assumptions hold") {
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
