#ifndef HYSSOPCROSS_SCENARIO_RANDOM_H
#define HYSSOPCROSS_SCENARIO_RANDOM_H

#include "hyssopcross/scenario/Scenario.h"

namespace hyssopcross::scenario {

/// A small site with random load and faults, all of which end before the last
/// part of the run, in which callers are expected to be served again. The same
/// seed gives the same scenario.
Scenario randomScenario(uint64_t Seed);

/// How a run failed, in one line for each failure; empty if it did not. Broken
/// invariants count as failures. Replaces the invariant handler while it runs.
std::vector<std::string> findFailures(const Scenario &Scenario);

/// Leaves out faults as long as the run still fails.
Scenario shrink(Scenario Failing);

} // namespace hyssopcross::scenario

#endif
