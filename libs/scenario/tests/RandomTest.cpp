#include "hyssopcross/scenario/Random.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::scenario;

TEST_CASE("random faults break nothing") {
  constexpr uint64_t LastSeed = 24;
  for (uint64_t Seed = 1; Seed <= LastSeed; ++Seed)
    for (const std::string &Failure : findFailures(randomScenario(Seed)))
      CHECK_MESSAGE(false, "seed " << Seed << ": " << Failure);
}

TEST_CASE("random faults find a missing mechanism, and shrink") {
  using balancing::PolicySwitches;
  struct Row {
    const char *m_Name;
    bool PolicySwitches::*m_Switch;
  };
  const Row Rows[] = {
      {"enforce limits", &PolicySwitches::m_EnforceLimits},
      {"ramp cold", &PolicySwitches::m_RampCold},
      {"honour leaving", &PolicySwitches::m_HonourLeaving},
      {"assume taken", &PolicySwitches::m_AssumeTaken},
      {"hold unconfirmed", &PolicySwitches::m_HoldUnconfirmed},
      {"retry only not run", &PolicySwitches::m_RetryOnlyNotRun},
  };
  constexpr uint64_t LastSeed = 100;
  for (const Row &Row : Rows) {
    bool Found = false;
    for (uint64_t Seed = 1; Seed <= LastSeed && !Found; ++Seed) {
      Scenario Random = randomScenario(Seed);
      Random.m_Layout.m_Policy.m_Switches.*Row.m_Switch = false;
      if (findFailures(Random).empty())
        continue;
      Found = true;
      Scenario Small = shrink(Random);
      CHECK(Small.m_Faults.size() <= Random.m_Faults.size());
      CHECK_FALSE(findFailures(Small).empty());
    }
    CHECK_MESSAGE(Found, std::string(Row.m_Name));
  }
}
