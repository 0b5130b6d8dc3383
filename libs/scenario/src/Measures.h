#ifndef HYSSOPCROSS_SCENARIO_MEASURES_H
#define HYSSOPCROSS_SCENARIO_MEASURES_H

#include "hyssopcross/scenario/Scenario.h"
#include "hyssopcross/testbed/Testbed.h"

namespace hyssopcross::scenario {

/// The value of an expectation's measure in a run; nothing if the run has
/// nothing to measure.
std::optional<double> evaluate(const Expectation &Expected,
                               const Scenario &Scenario,
                               const testbed::Testbed &Bed);

} // namespace hyssopcross::scenario

#endif
