#ifndef HYSSOPCROSS_BENCH_POOL_POOLSIMULATION_H
#define HYSSOPCROSS_BENCH_POOL_POOLSIMULATION_H

#include "hyssopcross/balancing/Pool.h"

namespace hyssopcross::bench {

/// One pool under a random load, in simulated time.
struct SimulationOptions {
  balancing::PoolPolicy m_Policy;
  uint32_t m_Servers = 60;
  uint32_t m_Slots = 2;
  /// Share of the slots that the load keeps busy.
  double m_Load = 0.7;
  Duration m_MeanService = std::chrono::milliseconds(10);
  /// Slows one server at a time, for 100 ms in every 300 ms.
  double m_SlowFactor = 1.0;
  Duration m_Allowed = std::chrono::seconds(2);
  /// Calls counted, after as many tenths to warm up.
  uint64_t m_Calls = 100000;
  uint64_t m_Seed = 1;
};

/// What a simulation saw.
struct SimulationResult {
  uint64_t m_Completed = 0;
  uint64_t m_Refused = 0;
  uint64_t m_Hedges = 0;
  uint64_t m_Steps = 0;
  Duration m_P50{};
  Duration m_P99{};
  Duration m_P999{};
  /// Processor time of one step, on the machine's clock.
  double m_NanosecondsPerStep = 0;
};

/// Runs a simulation to its end.
SimulationResult simulate(const SimulationOptions &Options);

} // namespace hyssopcross::bench

#endif
