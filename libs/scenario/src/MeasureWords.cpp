#include "hyssopcross/base/Invariant.h"
#include "hyssopcross/scenario/Scenario.h"
#include <algorithm>
#include <array>

namespace hyssopcross::scenario {

namespace {

constexpr std::array Words = {
    MeasureWord{Measure::Calls, "calls"},
    MeasureWord{Measure::CompletedShare, "completed_share"},
    MeasureWord{Measure::NotRunShare, "not_run_share"},
    MeasureWord{Measure::UnknownShare, "unknown_share"},
    MeasureWord{Measure::P50Milliseconds, "p50_ms"},
    MeasureWord{Measure::P99Milliseconds, "p99_ms"},
    MeasureWord{Measure::SlowestRefusalMilliseconds, "slowest_refusal_ms"},
    MeasureWord{Measure::ShortestRetryAfterMilliseconds,
                "shortest_retry_after_ms"},
    MeasureWord{Measure::NotRunButRan, "not_run_but_ran"},
    MeasureWord{Measure::DuplicateRuns, "duplicate_runs"},
    MeasureWord{Measure::Mismatched, "mismatched"},
    MeasureWord{Measure::Received, "received"},
    MeasureWord{Measure::Accepted, "accepted"},
    MeasureWord{Measure::Shed, "shed"},
    MeasureWord{Measure::MaxInFlight, "max_in_flight"},
    MeasureWord{Measure::MaxInFlightCold, "max_in_flight_cold"},
    MeasureWord{Measure::ProbesPerSecond, "probes_per_second"},
    MeasureWord{Measure::HandOvers, "hand_overs"},
};

} // namespace

std::span<const MeasureWord> measureWords() { return Words; }

std::string_view measureName(Measure Measure) {
  const auto *Found =
      std::ranges::find(Words, Measure, &MeasureWord::m_Measure);
  HYSSOPCROSS_INVARIANT(Found != Words.end(), "every measure has a name");
  return Found->m_Name;
}

} // namespace hyssopcross::scenario
