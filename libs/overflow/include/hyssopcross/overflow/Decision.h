#ifndef HYSSOPCROSS_OVERFLOW_DECISION_H
#define HYSSOPCROSS_OVERFLOW_DECISION_H

#include "hyssopcross/overflow/Plan.h"

namespace hyssopcross::overflow {

/// Requests that a VM may still send to each data centre. Grows with each
/// arrival by the planned share, so that what leaves stays within the plan for
/// any number of VMs without messages between them.
using OverflowBudget = std::map<std::string, double, std::less<>>;

/// What the decision for a request depends on.
struct RequestInputs {
  /// Estimated time until the response here, including the queue.
  Duration m_LocalEstimate{};
  /// Estimated time until the response at another data centre, without the
  /// round trip.
  Duration m_RemoteEstimate{};
  /// Time left until the end of the latency objective, and the whole objective.
  Duration m_ObjectiveLeft{};
  Duration m_Objective{};
  /// Bytes of request and response.
  uint64_t m_Bytes = 0;
  bool m_RunsOnlyOnce = false;
  /// The request was received from another data centre.
  bool m_HasLeft = false;
};

/// Cost and gain of sending a request to another data centre, in requests of
/// ordinary value.
struct LeavingCost {
  double m_Traffic = 0;
  double m_LatenessSaved = 0;
};

/// Compares a request served here with one served at a data centre that is
/// RoundTrip away.
LeavingCost costOfLeaving(const RequestInputs &Request, Duration RoundTrip,
                          const OverflowPolicy &Policy);

/// Where a request goes, with the values that led to it for the log.
struct OverflowChoice {
  /// Empty if the request stays.
  std::string m_To;
  LeavingCost m_Cost;
  /// Stable name of the reason: in_time, has_left, no_plan, old_plan, budget,
  /// reserve, cost, leaves.
  const char *m_Reason = "";
};

/// Counts the arrival of a request of the own data centre's callers.
/// RandomFraction is between 0 and 1: a data centre that is new in the plan
/// begins with it. Otherwise no VM of a large fleet could send its first
/// request before it has counted a whole one, and a plan would begin late.
void recordArrival(OverflowBudget &Budget, const OverflowPlan &Plan,
                   const OverflowPolicy &Policy, double RandomFraction);

/// Measured round trip to each data centre.
using RoundTripByDataCentre = std::map<std::string, Duration, std::less<>>;

/// Decides whether a request leaves, and takes it from the budget if so. Called
/// once for each request, after recordArrival. A data centre without a known
/// round trip is not used.
OverflowChoice decide(OverflowBudget &Budget, const OverflowPlan &Plan,
                      const RequestInputs &Request,
                      const RoundTripByDataCentre &RoundTrips,
                      const OverflowPolicy &Policy, TimePoint Now);

} // namespace hyssopcross::overflow

#endif
