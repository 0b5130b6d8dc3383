#ifndef HYSSOPCROSS_BENCH_POLICIES_CASES_H
#define HYSSOPCROSS_BENCH_POLICIES_CASES_H

#include "hyssopcross/testbed/StandardLayouts.h"
#include "hyssopcross/testbed/Testbed.h"
#include <span>

namespace hyssopcross::bench {

/// What happens during a run.
enum class CaseKind {
  Steady,
  SlowedServers,
  /// As SlowedServers, and a second attempt takes a time of its own.
  SlowedIndependent,
  DataCentreOut,
  OwnerLost,
};

/// A case and how long it runs.
struct Case {
  CaseKind m_Kind;
  const char *m_Name;
  Duration m_Length;
  std::span<const double> m_Loads;
};

/// A policy under comparison.
struct Policy {
  const char *m_Name;
  testbed::Deciders m_Deciders;
  balancing::ChoicePolicy m_Choice;
};

/// Calls that start before this are not measured.
inline constexpr Duration WarmUp = std::chrono::seconds(1);

/// All cases, in the order of the table.
std::span<const Case> allCases();

/// All policies, in the order of the table.
std::span<const Policy> allPolicies();

/// Adds the faults of a case to a run of a site.
void addFaults(testbed::Testbed &Bed, const Case &Case,
               const testbed::SiteSize &Size, uint64_t Seed);

} // namespace hyssopcross::bench

#endif
