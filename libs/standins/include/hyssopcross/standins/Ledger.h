#ifndef HYSSOPCROSS_STANDINS_LEDGER_H
#define HYSSOPCROSS_STANDINS_LEDGER_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Error.h"
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross::standins {

/// One request that a backend server executed. An entry is written when the
/// execution starts; End is zero until it ends.
struct LedgerEntry {
  std::string m_Correlation;
  std::string m_IdempotencyKey;
  /// lookup, money or upload.
  std::string m_Class;
  std::string m_Target;
  /// Digest and length of the request's body as received.
  std::string m_Digest;
  uint64_t m_Length = 0;
  /// The receipt that the answer named; empty for lookups.
  std::string m_Receipt;
  int64_t m_StartUs = 0;
  int64_t m_EndUs = 0;
  /// The client closed the connection before the execution ended.
  bool m_Cancelled = false;

  friend bool operator==(const LedgerEntry &, const LedgerEntry &) = default;
};

/// What a backend server executed, in the order of starting. Safe from any
/// thread.
class Ledger {
public:
  /// Adds an entry and returns its index.
  size_t begin(LedgerEntry Entry);

  /// Completes the entry of an index.
  void end(size_t Index, WallTime Now, bool Cancelled);

  /// All entries, one JSON object on each line.
  std::string toJsonLines() const;

private:
  mutable std::mutex m_Mutex;
  std::vector<LedgerEntry> m_Entries;
};

/// Parses what toJsonLines() wrote; fails with Protocol.
Result<std::vector<LedgerEntry>> parseLedger(std::string_view Text);

/// Microseconds since 1970.
int64_t toMicroseconds(WallTime Time);

} // namespace hyssopcross::standins

#endif
