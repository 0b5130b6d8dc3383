#include "Report.h"
#include "hyssopcross/base/Settings.h"
#include <atomic>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(format, "text", "layout of the table: text or markdown");
DEFINE_uint64(seed, 1, "the first of three consecutive seeds");
DEFINE_uint32(jobs, 3, "runs at once");
DEFINE_string(cases, "", "comma-separated cases to run; empty for all");

namespace {

using namespace hyssopcross;
using namespace hyssopcross::bench;

constexpr size_t SeedsPerRow = 3;

bool isWanted(const Case &Case) {
  if (FLAGS_cases.empty())
    return true;
  for (std::string_view Name : splitList(FLAGS_cases, ','))
    if (Name == Case.m_Name)
      return true;
  return false;
}

std::vector<Row> listRows(std::span<const testbed::SiteSize> Sizes) {
  std::vector<Row> Rows;
  for (const testbed::SiteSize &Size : Sizes)
    for (const Case &Case : allCases())
      for (double Load : Case.m_Loads)
        for (const Policy &Policy : allPolicies())
          if (isWanted(Case))
            Rows.push_back({&Size, &Case, &Policy, Load, {}});
  return Rows;
}

void measureRows(std::vector<Row> &Rows) {
  std::atomic<size_t> Next = 0;
  auto Work = [&Rows, &Next] {
    for (size_t I = Next++; I < Rows.size(); I = Next++) {
      Row &Row = Rows[I];
      std::vector<Figures> Runs;
      for (uint64_t Seed = FLAGS_seed; Seed < FLAGS_seed + SeedsPerRow; ++Seed)
        Runs.push_back(
            measure({Row.m_Size, Row.m_Case, Row.m_Policy, Row.m_Load, Seed}));
      Row.m_Figures = medianOf(Runs);
    }
  };
  std::vector<std::jthread> Workers;
  for (uint32_t I = 0; I < FLAGS_jobs; ++I)
    Workers.emplace_back(Work);
}

} // namespace

int main(int Argc, char **Argv) {
  auto Read = readSettings(Argc, Argv, "compares the balancing policies");
  if (!Read) {
    std::cerr << Read.error().m_Message << "\n";
    return 2;
  }
  if (FLAGS_format != "text" && FLAGS_format != "markdown") {
    std::cerr << "--format must be text or markdown, not \"" << FLAGS_format
              << "\"\n";
    return 2;
  }
  if (FLAGS_jobs == 0) {
    std::cerr << "--jobs must be at least 1\n";
    return 2;
  }
  const testbed::SiteSize Sizes[] = {testbed::cooperativaSize(),
                                     testbed::kilimaSize()};
  std::vector<Row> Rows = listRows(Sizes);
  measureRows(Rows);
  Format Format = FLAGS_format == "text" ? Format::Text : Format::Markdown;
  printTable(std::cout, Rows, Format);
  std::cout << "\n";
  printTargets(std::cout, Rows, Format);
  return 0;
}
