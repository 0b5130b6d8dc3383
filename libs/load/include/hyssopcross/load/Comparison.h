#ifndef HYSSOPCROSS_LOAD_COMPARISON_H
#define HYSSOPCROSS_LOAD_COMPARISON_H

#include "hyssopcross/load/Records.h"
#include "hyssopcross/standins/Ledger.h"
#include <span>
#include <string>
#include <vector>

namespace hyssopcross::load {

/// What the comparison of callers' records and servers' ledgers found.
struct Findings {
  uint64_t m_Calls = 0;
  uint64_t m_Completed = 0;
  uint64_t m_NotRun = 0;
  uint64_t m_Unknown = 0;
  /// Calls with an attempt whose answer was not its own, not whole, or not
  /// true.
  uint64_t m_Mismatched = 0;
  /// Idempotency keys of money requests that were executed more than once.
  uint64_t m_DuplicateRuns = 0;
  /// Uploads told completed whose whole body is in no ledger.
  uint64_t m_LostUploads = 0;
  /// One sentence for each finding of the last three counts.
  std::vector<std::string> m_Details;
};

/// Compares what callers were told with what backend servers executed. Ledger
/// holds the entries of all servers.
Findings compare(std::span<const CallRecord> Calls,
                 std::span<const standins::LedgerEntry> Ledger);

} // namespace hyssopcross::load

#endif
