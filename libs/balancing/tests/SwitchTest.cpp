#include "World.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::balancing;
using namespace hyssopcross::balancing::tests;
using catalogue::ServiceClass;

namespace {

constexpr int RunsPerRow = 60;
constexpr int CommandsPerRun = 600;

/// Runs random commands from a seed; returns what was violated, if anything.
std::string runSeeded(ServiceClass Class, const PolicySwitches &Switches,
                      uint64_t Seed, PoolCounters &Counters) {
  catalogue::ServiceEntry Entry = makeEntry(Class);
  Entry.m_Limits.m_Queue = 12;
  PoolPolicy Policy;
  Policy.m_Switches = Switches;
  Policy.m_RetryBurst = 2;
  Policy.m_HedgeBurst = 1;
  Policy.m_HedgeShare = 0.002;
  Policy.m_HedgeMinSamples = 5;
  World World(Entry, Policy, Seed);
  std::mt19937_64 Random(Seed);
  try {
    for (int Index = 0; Index < CommandsPerRun; ++Index) {
      uint64_t Bits = Random();
      World.run({static_cast<uint8_t>(Bits), static_cast<uint8_t>(Bits >> 8U),
                 static_cast<uint8_t>(Bits >> 16U)});
    }
    World.finish();
  } catch (const std::runtime_error &Broken) {
    return Broken.what();
  }
  const PoolCounters &Seen = World.m_Host.m_State.m_Counters;
  Counters.m_Hedges += Seen.m_Hedges;
  Counters.m_Retries += Seen.m_Retries;
  Counters.m_HandedOver += Seen.m_HandedOver;
  Counters.m_Refused += Seen.m_Refused;
  Counters.m_Drops += Seen.m_Drops;
  Counters.m_Probes += Seen.m_Probes;
  return "";
}

} // namespace

TEST_CASE("a mechanism that is off breaks its invariant, and none when on") {
  struct Row {
    std::string m_Name;
    bool PolicySwitches::*m_Switch;
    ServiceClass m_Class;
    const char *m_Broken;
  };
  const Row Rows[] = {
      {"limits", &PolicySwitches::m_EnforceLimits, ServiceClass::Money,
       "in flight at a server stays within"},
      {"ramp", &PolicySwitches::m_RampCold, ServiceClass::Money,
       "in flight at a server stays within its limit"},
      {"hold while unconfirmed", &PolicySwitches::m_HoldUnconfirmed,
       ServiceClass::Money, "an unconfirmed owner sends nothing to cold"},
      {"slots of the predecessor", &PolicySwitches::m_AssumeTaken,
       ServiceClass::Money, "in flight at a server stays within"},
      {"leaving", &PolicySwitches::m_HonourLeaving, ServiceClass::Money,
       "leaving servers get no new work"},
      {"bounded queue", &PolicySwitches::m_BoundQueue, ServiceClass::Money,
       "the queue is bounded"},
      {"deadline", &PolicySwitches::m_HonourDeadline, ServiceClass::Money,
       "no call is sent after its deadline"},
      {"hedge budget", &PolicySwitches::m_HedgeBudget, ServiceClass::Lookup,
       "hedges keep to their budget"},
      {"cancelled loser", &PolicySwitches::m_CancelLoser, ServiceClass::Lookup,
       "an attempt that nobody waits for is cancelled"},
      {"retry budget", &PolicySwitches::m_RetryBudget, ServiceClass::Lookup,
       "retries keep to their budget"},
      {"retry of what may have run", &PolicySwitches::m_RetryOnlyNotRun,
       ServiceClass::Money, "only lookups run a second time"},
      {"probe budget", &PolicySwitches::m_ProbeBudget, ServiceClass::Money,
       "probes keep to the server's budget"},
  };
  ThrowingInvariants Throwing;
  for (const Row &Row : Rows) {
    CAPTURE(Row.m_Name);
    PolicySwitches Off;
    Off.*Row.m_Switch = false;
    PoolCounters Counters;
    int Detected = 0;
    for (uint64_t Seed = 1; Seed <= RunsPerRow; ++Seed) {
      std::string Broken = runSeeded(Row.m_Class, Off, Seed, Counters);
      Detected += Broken.find(Row.m_Broken) != std::string::npos ? 1 : 0;
      CHECK(runSeeded(Row.m_Class, {}, Seed, Counters) == "");
    }
    CHECK(Detected > 0);
    std::string Seen = Row.m_Name + ": detected in " +
                       std::to_string(Detected) + " of " +
                       std::to_string(RunsPerRow) + " runs";
    MESSAGE(Seen);
  }
}

TEST_CASE("the random runs reach every mechanism") {
  ThrowingInvariants Throwing;
  PoolCounters Counters;
  for (uint64_t Seed = 1; Seed <= RunsPerRow; ++Seed)
    CHECK(runSeeded(ServiceClass::Lookup, {}, Seed, Counters) == "");
  CHECK(Counters.m_Hedges > 0);
  CHECK(Counters.m_Retries > 0);
  CHECK(Counters.m_HandedOver > 0);
  CHECK(Counters.m_Refused > 0);
  CHECK(Counters.m_Drops > 0);
  CHECK(Counters.m_Probes > 0);
}
