#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/statistics/Sample.h"
#include <cmath>
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::statistics;

TEST_CASE("a percentile is the nearest rank") {
  Sample Hundred;
  for (int I = 100; I >= 1; --I)
    Hundred.add(Duration(I));
  struct Row {
    double m_Fraction;
    int m_Rank;
  };
  const Row Rows[] = {{0, 1},     {0.001, 1},   {0.01, 1}, {0.5, 50},
                      {0.99, 99}, {0.991, 100}, {1, 100}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Fraction);
    CHECK(Hundred.percentile(Case.m_Fraction) == Duration(Case.m_Rank));
  }
}

TEST_CASE("times added after a percentile count in the next one") {
  Sample Times;
  CHECK_FALSE(Times.percentile(0.5).has_value());
  CHECK(std::isnan(toMilliseconds(Times.percentile(0.5))));
  Times.add(Duration(5));
  CHECK(Times.percentile(1) == Duration(5));
  const Duration More[] = {Duration(9), Duration(1)};
  Times.add(More);
  CHECK(Times.percentile(1) == Duration(9));
  CHECK(Times.percentile(0) == Duration(1));
  CHECK(toMilliseconds(std::chrono::microseconds(1500)) == 1.5);
}
