#ifndef HYSSOPCROSS_BENCH_POLICIES_MEASURE_H
#define HYSSOPCROSS_BENCH_POLICIES_MEASURE_H

#include "Cases.h"

namespace hyssopcross::bench {

/// The figures of one run, or the medians of several.
struct Figures {
  /// Latencies of completed calls, in milliseconds.
  double m_P50 = 0;
  double m_P99 = 0;
  double m_P999 = 0;
  /// The p99 that calls would have alone at servers of full speed.
  double m_AloneP99 = 0;
  /// Completed calls per second.
  double m_Goodput = 0;
  /// Shares of all calls.
  double m_NotRun = 0;
  /// Calls told "unknown", and calls without an answer.
  double m_Unknown = 0;
  /// The lowest service over any two seconds, as a share of what one queue for
  /// all warm servers in service would have done.
  double m_LowestService = 1;
};

/// What one run is made of.
struct RunSpec {
  const testbed::SiteSize *m_Size = nullptr;
  const Case *m_Case = nullptr;
  const Policy *m_Policy = nullptr;
  double m_Load = 0;
  uint64_t m_Seed = 0;
};

/// Runs and measures. Safe to call from several threads at once.
Figures measure(const RunSpec &Spec);

/// The median of each figure.
Figures medianOf(std::span<const Figures> Runs);

} // namespace hyssopcross::bench

#endif
