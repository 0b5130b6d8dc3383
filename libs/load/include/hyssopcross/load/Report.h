#ifndef HYSSOPCROSS_LOAD_REPORT_H
#define HYSSOPCROSS_LOAD_REPORT_H

#include "hyssopcross/load/Comparison.h"
#include "hyssopcross/statistics/Sample.h"

namespace hyssopcross::load {

/// The figures of a run.
struct Report {
  Findings m_Findings;
  /// Latencies of the calls that were completed.
  statistics::Sample m_Latencies;
  /// No value if it was not measured.
  std::optional<Duration> m_AddedP99;
};

/// Collects the latencies of completed calls.
statistics::Sample completedLatencies(std::span<const CallRecord> Calls);

/// How many attempts were not completed for each service and reason, one line
/// of key=value pairs each, the same for the same calls.
std::vector<std::string> listReasons(std::span<const CallRecord> Calls);

/// The one line that ends a run.
std::string formatLine(const Report &Report);

/// Whether the run succeeded: nothing mismatched, run twice or lost, something
/// completed, and the added latency measured and within MaxAddedP99 if there is
/// one.
bool succeeded(const Report &Report, std::optional<Duration> MaxAddedP99);

} // namespace hyssopcross::load

#endif
