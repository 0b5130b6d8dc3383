#include "hyssopcross/overflow/Decision.h"
#include <algorithm>

namespace hyssopcross::overflow {

namespace {

constexpr double BytesPerMegabyte = 1e6;

Duration lateness(Duration Estimate, Duration Left) {
  return std::max(Duration{}, Estimate - Left);
}

} // namespace

LeavingCost costOfLeaving(const RequestInputs &Request, Duration RoundTrip,
                          const OverflowPolicy &Policy) {
  LeavingCost Cost;
  Cost.m_Traffic = static_cast<double>(Request.m_Bytes) / BytesPerMegabyte *
                   Policy.m_CostPerMegabyte;
  Duration Saved =
      lateness(Request.m_LocalEstimate, Request.m_ObjectiveLeft) -
      lateness(Request.m_RemoteEstimate + RoundTrip, Request.m_ObjectiveLeft);
  if (Request.m_Objective > Duration{})
    // A response is worth at most one request, however late it is.
    Cost.m_LatenessSaved =
        Policy.m_LatenessCost *
        std::clamp(std::chrono::duration<double>(Saved) / Request.m_Objective,
                   -1.0, 1.0);
  return Cost;
}

void recordArrival(OverflowBudget &Budget, const OverflowPlan &Plan,
                   const OverflowPolicy &Policy, double RandomFraction) {
  std::erase_if(Budget, [&Plan](const auto &Each) {
    return !Plan.m_Shares.contains(Each.first);
  });
  for (const auto &[To, Share] : Plan.m_Shares) {
    double &Left = Budget.try_emplace(To, RandomFraction).first->second;
    Left = std::min(Left + Share, Policy.m_MaxBurst);
  }
}

OverflowChoice decide(OverflowBudget &Budget, const OverflowPlan &Plan,
                      const RequestInputs &Request,
                      const RoundTripByDataCentre &RoundTrips,
                      const OverflowPolicy &Policy, TimePoint Now) {
  OverflowChoice Choice;
  auto Stay = [&Choice](const char *Reason) {
    Choice.m_Reason = Reason;
    return Choice;
  };
  if (Request.m_HasLeft)
    return Stay("has_left");
  if (Request.m_LocalEstimate <= Request.m_ObjectiveLeft)
    return Stay("in_time");
  if (Plan.m_Shares.empty())
    return Stay("no_plan");
  if (Now - Plan.m_UpdatedAt > Policy.m_MaxAge)
    return Stay("old_plan");

  auto Best = Budget.end();
  for (auto It = Budget.begin(); It != Budget.end(); ++It)
    if (RoundTrips.contains(It->first) && Plan.m_Shares.contains(It->first) &&
        (Best == Budget.end() || It->second > Best->second))
      Best = It;
  if (Best == Budget.end() || Best->second < 1)
    return Stay("budget");
  bool LeavesLast =
      Request.m_RunsOnlyOnce || Request.m_Bytes >= Policy.m_LargeBytes;
  if (LeavesLast && Best->second < Policy.m_ReserveForSmall)
    return Stay("reserve");
  Choice.m_Cost =
      costOfLeaving(Request, RoundTrips.find(Best->first)->second, Policy);
  if (Choice.m_Cost.m_LatenessSaved <= Choice.m_Cost.m_Traffic)
    return Stay("cost");
  Best->second -= 1;
  Choice.m_To = Best->first;
  Choice.m_Reason = "leaves";
  return Choice;
}

} // namespace hyssopcross::overflow
