#include "hyssopcross/base/Settings.h"
#include "hyssopcross/scenario/Scenario.h"
#include <gflags/gflags.h>
#include <iostream>

DEFINE_bool(verbose, false, "print met expectations too");

namespace {

using namespace hyssopcross;

constexpr int ExitFailed = 1;
constexpr int ExitUnusable = 2;

int runFile(const std::string &Path) {
  auto Scenario = scenario::readScenario(Path);
  if (!Scenario) {
    std::cout << "error " << Scenario.error().m_Message << "\n";
    return ExitUnusable;
  }
  bool AllMet = true;
  for (const scenario::Check &Check : scenario::runScenario(Scenario.value())) {
    AllMet = AllMet && Check.m_Met;
    if (Check.m_Met && !FLAGS_verbose)
      continue;
    std::cout << Path << ":" << Check.m_Expectation.m_Line << ": "
              << (Check.m_Met ? "met: " : "not met: ")
              << scenario::describe(Check) << "\n";
  }
  std::cout << (AllMet ? "pass " : "fail ") << Path << ": "
            << Scenario.value().m_Name << "\n";
  return AllMet ? 0 : ExitFailed;
}

} // namespace

int main(int Argc, char **Argv) {
  auto Read = readSettings(Argc, Argv, "runs scenario files: scenario FILE...");
  if (!Read) {
    std::cerr << Read.error().m_Message << "\n";
    return ExitUnusable;
  }
  if (Argc < 2) {
    std::cerr << "usage: scenario [--verbose] FILE...\n";
    return ExitUnusable;
  }
  int Status = 0;
  for (int I = 1; I < Argc; ++I)
    Status = std::max(Status, runFile(Argv[I]));
  return Status;
}
