#include "hyssopcross/overflow/Decision.h"
#include <doctest/doctest.h>
#include <random>

using namespace hyssopcross;
using namespace hyssopcross::overflow;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{1h};

OverflowPlan planTo(double ShareOfB) {
  OverflowPlan Plan;
  if (ShareOfB > 0)
    Plan.m_Shares["b"] = ShareOfB;
  Plan.m_IsActive = true;
  Plan.m_UpdatedAt = Now;
  return Plan;
}

/// A small request that is 100 ms late here and in time elsewhere.
RequestInputs lateRequest() {
  return {.m_LocalEstimate = 300ms,
          .m_RemoteEstimate = 50ms,
          .m_ObjectiveLeft = 200ms,
          .m_Objective = 200ms,
          .m_Bytes = 2000};
}

const RoundTripByDataCentre RoundTrips{{"b", 4ms}};

} // namespace

TEST_CASE("a request leaves only if that pays off, and at most once") {
  struct Case {
    const char *m_Name;
    void (*m_Change)(RequestInputs &);
    double m_Share;
    double m_Budget;
    Duration m_PlanAge;
    const char *m_Reason;
  };
  const Case Cases[] = {
      {"late here", [](auto &) {}, 0.3, 1, 0ms, "leaves"},
      {"in time here", [](auto &R) { R.m_LocalEstimate = 200ms; }, 0.3, 8, 0ms,
       "in_time"},
      {"received from another", [](auto &R) { R.m_HasLeft = true; }, 0.3, 8,
       0ms, "has_left"},
      {"no shortage planned", [](auto &) {}, 0, 0, 0ms, "no_plan"},
      {"old plan", [](auto &) {}, 0.3, 8, 3001ms, "old_plan"},
      {"planned share used", [](auto &) {}, 0.3, 0.9, 0ms, "budget"},
      {"as late elsewhere", [](auto &R) { R.m_RemoteEstimate = 300ms; }, 0.3, 8,
       0ms, "cost"},
      {"traffic costs more than the lateness",
       [](auto &R) { R.m_Bytes = 110000; }, 0.3, 8, 0ms, "cost"},
      {"large, but worth it", [](auto &R) { R.m_Bytes = 90000; }, 0.3, 8, 0ms,
       "leaves"},
      {"large ones wait for small ones", [](auto &R) { R.m_Bytes = 90000; },
       0.3, 1.9, 0ms, "reserve"},
      {"those that run only once wait",
       [](auto &R) { R.m_RunsOnlyOnce = true; }, 0.3, 1.9, 0ms, "reserve"},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    RequestInputs Request = lateRequest();
    Each.m_Change(Request);
    OverflowBudget Budget{{"b", Each.m_Budget}};
    OverflowChoice Choice = decide(Budget, planTo(Each.m_Share), Request,
                                   RoundTrips, {}, Now + Each.m_PlanAge);
    CHECK(std::string_view(Choice.m_Reason) == Each.m_Reason);
    CHECK(Choice.m_To ==
          (std::string_view(Each.m_Reason) == "leaves" ? "b" : ""));
  }
}

TEST_CASE("a data centre whose round trip is unknown gets no request") {
  OverflowBudget Budget{{"b", 8}};
  CHECK(decide(Budget, planTo(0.3), lateRequest(), {}, {}, Now).m_To.empty());
}

TEST_CASE("the VMs of a data centre together send the planned share") {
  // Guards against a share that each VM rounds up: at 300 VMs, a burst allowed
  // to each one would exceed the spare capacity. Load: 60 requests at each VM
  // on average, a third of them large, twice as many late as may leave.
  for (size_t VmCount : {20, 100, 300})
    for (double Share : {0.05, 0.2, 0.375}) {
      CAPTURE(VmCount);
      CAPTURE(Share);
      std::mt19937 Random(1);
      std::uniform_real_distribution<double> Draw;
      std::vector<OverflowBudget> Budgets(VmCount);
      const size_t Arrivals = VmCount * 60;
      size_t Sent = 0;
      size_t LargeSent = 0;
      for (size_t I = 0; I < Arrivals; ++I) {
        OverflowBudget &Budget = Budgets[Random() % VmCount];
        recordArrival(Budget, planTo(Share), {}, Draw(Random));
        RequestInputs Request = lateRequest();
        bool IsLarge = Draw(Random) < 0.33;
        if (IsLarge)
          Request.m_Bytes = 90000;
        if (Draw(Random) >= 2 * Share)
          Request.m_LocalEstimate = 100ms;
        bool Leaves =
            !decide(Budget, planTo(Share), Request, RoundTrips, {}, Now)
                 .m_To.empty();
        Sent += Leaves ? 1 : 0;
        LargeSent += Leaves && IsLarge ? 1 : 0;
      }
      double SentShare =
          static_cast<double>(Sent) / static_cast<double>(Arrivals);
      CHECK(SentShare <= Share);
      CHECK(SentShare >= 0.7 * Share);
      CHECK(LargeSent * 5 < Sent);
    }
}

TEST_CASE("a budget ends with its plan and holds at most a burst") {
  // A budget saved up during a long plan was spent at once after it.
  OverflowBudget Budget;
  for (int I = 0; I < 1000; ++I)
    recordArrival(Budget, planTo(0.3), {}, 0.5);
  CHECK(Budget["b"] == doctest::Approx(8));
  recordArrival(Budget, planTo(0), {}, 0.5);
  CHECK(Budget.empty());
}
