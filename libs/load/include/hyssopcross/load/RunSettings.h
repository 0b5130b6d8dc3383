#ifndef HYSSOPCROSS_LOAD_RUNSETTINGS_H
#define HYSSOPCROSS_LOAD_RUNSETTINGS_H

#include "hyssopcross/load/AddedLatency.h"
#include "hyssopcross/load/Caller.h"
#include "hyssopcross/load/Plan.h"
#include <optional>

namespace hyssopcross::load {

/// The settings of a run as its flags give them. Each member is named as its
/// flag, and lists are separated by commas.
struct RunFlags {
  std::string m_Entries;
  std::string m_Services;
  std::string m_DataCentres;
  double m_Seconds = 10;
  uint64_t m_Seed = 1;
  std::string m_Backends;
  uint32_t m_Threads = 128;
  uint32_t m_TimeoutMs = 2000;
  uint64_t m_UploadBytes = 64U << 10U;
  bool m_RetryMoney = false;
  double m_SettleSeconds = 10;
  std::string m_Direct;
  uint32_t m_DirectPairs = 1000;
  /// Negative for no limit.
  double m_MaxAddedP99Ms = -1;
};

/// The checked settings of a run.
struct RunSettings {
  PlanOptions m_Plan;
  CallerOptions m_Caller;
  std::vector<Address> m_Entries;
  std::vector<Address> m_Backends;
  /// How long uploads told completed may take to reach a ledger.
  Duration m_Settle{};
  std::optional<AddedLatencyOptions> m_Added;
  std::optional<Duration> m_MaxAddedP99;
};

/// Checks the flags. Fails with InvalidInput and names the flag and what is
/// wrong with it.
Result<RunSettings> checkRunFlags(const RunFlags &Flags);

} // namespace hyssopcross::load

#endif
