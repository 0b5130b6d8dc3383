#include "hyssopcross/base/Settings.h"
#include "hyssopcross/scenario/Random.h"
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint32(seconds, 60, "how long to run");
DEFINE_uint64(seed, 1, "the first seed; later runs count up from it");
DEFINE_string(out, "run", "existing folder for the scenario of a failure");

namespace {

using namespace hyssopcross;

constexpr int ExitFailed = 1;
constexpr int ExitUnusable = 2;

int reportFailure(uint64_t Seed, const scenario::Scenario &Failing) {
  scenario::Scenario Small = scenario::shrink(Failing);
  std::cout << "seed " << Seed << " fails\n";
  for (const std::string &Failure : scenario::findFailures(Small))
    std::cout << "  " << Failure << "\n";
  std::string Path = FLAGS_out + "/seed-" + std::to_string(Seed) + ".yaml";
  std::ofstream File(Path);
  File << scenario::writeScenario(Small);
  File.close();
  if (!File) {
    std::cerr << Path << ": cannot be written\n";
    return ExitUnusable;
  }
  std::cout << "replay with: scenario " << Path << "\n";
  return ExitFailed;
}

} // namespace

int main(int Argc, char **Argv) {
  auto Read = readSettings(Argc, Argv, "runs random faults");
  if (!Read) {
    std::cerr << Read.error().m_Message << "\n";
    return ExitUnusable;
  }
  SystemClock Clock;
  TimePoint End = Clock.now() + std::chrono::seconds(FLAGS_seconds);
  uint64_t Seed = FLAGS_seed;
  int Status = 0;
  uint64_t Failed = 0;
  for (; Clock.now() < End; ++Seed) {
    scenario::Scenario Random = scenario::randomScenario(Seed);
    if (scenario::findFailures(Random).empty())
      continue;
    ++Failed;
    Status = std::max(Status, reportFailure(Seed, Random));
  }
  std::cout << "runs=" << Seed - FLAGS_seed << " failed=" << Failed
            << " first_seed=" << FLAGS_seed << "\n";
  return Status;
}
