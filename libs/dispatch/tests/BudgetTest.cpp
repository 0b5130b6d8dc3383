#include "hyssopcross/dispatch/Budget.h"
#include "hyssopcross/dispatch/Work.h"
#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace hyssopcross;
using namespace hyssopcross::dispatch;
using namespace std::chrono_literals;

TEST_CASE("retries of the whole fleet stay within its budget in every window") {
  struct Case {
    const char *m_Pattern;
    uint32_t m_Vms;
    /// Requests per second of the whole fleet, and the share that needs a
    /// retry.
    double m_Rate;
    double m_RetryShare;
  };
  const Case Cases[] = {
      {"normal load, few failures", 12, 60, 0.02},
      {"all servers refuse requests", 12, 60, 1.0},
      {"a single VM", 1, 60, 1.0},
      {"large fleet in an outage", 97, 800, 1.0},
      {"very few requests", 18, 2, 1.0},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Pattern);
    RetryAllowance Allowance;
    Allowance.m_Slack = 56;
    std::vector<RetryBudget> Budgets(Each.m_Vms);
    std::mt19937 Random(7);
    std::deque<TimePoint> Requests;
    std::deque<TimePoint> Retries;
    TimePoint Now{1h};
    std::exponential_distribution<double> Gap(Each.m_Rate);
    std::uniform_real_distribution<double> Share(0, 1);
    bool IsWithinBudget = true;
    for (TimePoint End = Now + 60s; Now < End;) {
      Now += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Gap(Random)));
      RetryBudget &Vm = Budgets[Random() % Each.m_Vms];
      Vm.recordRequest(Now);
      Requests.push_back(Now);
      if (Share(Random) < Each.m_RetryShare &&
          Vm.take(Allowance, Each.m_Vms, Now))
        Retries.push_back(Now);
      while (!Requests.empty() && Now - Requests.front() > 10s)
        Requests.pop_front();
      while (!Retries.empty() && Now - Retries.front() > 10s)
        Retries.pop_front();
      IsWithinBudget =
          IsWithinBudget && static_cast<double>(Retries.size()) <=
                                0.2 * static_cast<double>(Requests.size()) + 56;
    }
    CHECK(IsWithinBudget);
  }
}

TEST_CASE("the service time of a route follows its responses") {
  DispatchPolicy Policy;
  RouteStatistics Work;
  CHECK(expectedServiceTime(Work, Policy, 200ms) == 70ms);
  for (int I = 0; I < 50; ++I)
    recordResponse(Work, Policy, 240ms, 4.0, 1000);
  CHECK(expectedServiceTime(Work, Policy, 200ms) == 60ms);
  CHECK(Work.m_Bytes == doctest::Approx(1000));
  // One extremely slow response hardly changes the estimate.
  recordResponse(Work, Policy, 10s, 1.0, 1000);
  CHECK(expectedServiceTime(Work, Policy, 200ms) < 75ms);
}
