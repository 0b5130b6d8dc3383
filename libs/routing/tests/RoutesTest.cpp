#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/routing/Routes.h"
#include <doctest/doctest.h>
#include <numeric>

using namespace hyssopcross::routing;

namespace {

Route makeRoute(std::string Name, std::string Host, std::string Prefix) {
  Route Result;
  Result.m_Name = std::move(Name);
  Result.m_Host = std::move(Host);
  Result.m_Prefix = std::move(Prefix);
  Result.m_Parts = {{"service", 1}};
  return Result;
}

} // namespace

TEST_CASE("the longest matching prefix of the host is selected") {
  Configuration Config;
  Config.m_Routes = {makeRoute("root", "a.example", "/"),
                     makeRoute("one", "a.example", "/one/"),
                     makeRoute("deep", "a.example", "/one/two/"),
                     makeRoute("other", "b.example", "/one/")};
  RouteTable Table(Config);
  struct Case {
    const char *m_Host;
    const char *m_Path;
    const char *m_Route;
  };
  const Case Cases[] = {
      {"a.example", "/one/x", "one"},
      {"a.example", "/one/", "one"},
      {"a.example", "/one", "root"},
      {"a.example", "/one/two/x/y", "deep"},
      {"a.example", "/one/twofold", "one"},
      {"b.example", "/one/two/", "other"},
      {"b.example", "/", ""},
      {"c.example", "/one/", ""},
      {"a.example", "", ""},
      {"a.example", "one/", ""},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Host);
    CAPTURE(Each.m_Path);
    const Route *Found = Table.find(Each.m_Host, Each.m_Path);
    CHECK((Found ? Found->m_Name : "") == Each.m_Route);
  }
}

TEST_CASE(
    "requests of a split route are distributed in proportion to the weights") {
  struct Case {
    std::vector<uint32_t> m_Weights;
  };
  const Case Cases[] = {{{90, 10}}, {{1, 1, 1}}, {{0, 5}}, {{5, 0}}, {{7}}};
  for (const Case &Each : Cases) {
    Route Split;
    for (uint32_t Weight : Each.m_Weights)
      Split.m_Parts.push_back({"service", Weight});
    SplitState State;
    std::vector<uint32_t> Counts(Each.m_Weights.size());
    for (int I = 0; I < 200; ++I)
      ++Counts[selectPart(Split, State)];
    double Total =
        std::accumulate(Each.m_Weights.begin(), Each.m_Weights.end(), 0.0);
    for (size_t I = 0; I < Counts.size(); ++I)
      CHECK(std::abs(Counts[I] - 200 * Each.m_Weights[I] / Total) <= 1.0);
  }
}
