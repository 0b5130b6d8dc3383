#include "PoolSimulation.h"
#include <cstdio>
#include <gflags/gflags.h>

using namespace hyssopcross;

DEFINE_uint32(servers, 60, "backend servers of the pool");
DEFINE_uint32(slots, 2, "requests that one backend server runs at once");
DEFINE_double(load, 0.7, "share of the slots that the load keeps busy");
DEFINE_double(slow_factor, 5.0,
              "how much slower one server at a time is, for 100 ms in 300 ms");
DEFINE_uint64(calls, 100000, "calls counted for each policy");
DEFINE_double(hedge_share, balancing::PoolPolicy().m_HedgeShare,
              "hedges per lookup");
DEFINE_double(
    hedge_quantile, balancing::PoolPolicy().m_HedgeQuantile,
    "share of recent latencies that are shorter than the hedge delay");
DEFINE_uint64(seed, 1, "seed of the load");

namespace {

struct Row {
  const char *m_Name;
  balancing::ChoicePolicy m_Choice;
  bool m_Hedge;
};

constexpr Row Rows[] = {
    {"owner-queue", balancing::ChoicePolicy::OwnerQueue, true},
    {"owner-queue-no-hedge", balancing::ChoicePolicy::OwnerQueue, false},
    {"random", balancing::ChoicePolicy::Random, false},
    {"two-choices", balancing::ChoicePolicy::TwoChoices, false},
    {"least-reported", balancing::ChoicePolicy::LeastReported, false},
    {"probe-pool", balancing::ChoicePolicy::ProbePool, false},
};

double milliseconds(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

void runRow(const Row &Row) {
  bench::SimulationOptions Options;
  Options.m_Policy.m_Choice = Row.m_Choice;
  Options.m_Policy.m_Switches.m_Hedge = Row.m_Hedge;
  Options.m_Policy.m_HedgeShare = FLAGS_hedge_share;
  Options.m_Policy.m_HedgeQuantile = FLAGS_hedge_quantile;
  Options.m_Servers = FLAGS_servers;
  Options.m_Slots = FLAGS_slots;
  Options.m_Load = FLAGS_load;
  Options.m_SlowFactor = FLAGS_slow_factor;
  Options.m_Calls = FLAGS_calls;
  Options.m_Seed = FLAGS_seed;
  bench::SimulationResult Result = bench::simulate(Options);
  std::printf("policy=%s completed=%lu refused=%lu hedges=%lu p50_ms=%.2f "
              "p99_ms=%.2f p999_ms=%.2f steps=%lu ns_per_step=%.0f\n",
              Row.m_Name, Result.m_Completed, Result.m_Refused, Result.m_Hedges,
              milliseconds(Result.m_P50), milliseconds(Result.m_P99),
              milliseconds(Result.m_P999), Result.m_Steps,
              Result.m_NanosecondsPerStep);
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(
      "Simulates one pool under each choice policy, in simulated time, and "
      "prints latencies and the processor time of one step.");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  for (const Row &Row : Rows)
    runRow(Row);
  return 0;
}
