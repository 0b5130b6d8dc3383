#ifndef HYSSOPCROSS_DISPATCH_WORK_H
#define HYSSOPCROSS_DISPATCH_WORK_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/dispatch/Policy.h"

namespace hyssopcross::dispatch {

/// Moving averages of what the requests of a route need.
struct RouteStatistics {
  /// Service time on an idle server at its usual speed; zero if not measured.
  Duration m_Work{};
  /// Bytes of request and answer.
  double m_Bytes = 0;
};

/// The service time to expect, or the policy's share of the objective where
/// nothing was measured yet.
Duration expectedServiceTime(const RouteStatistics &Route,
                             const DispatchPolicy &Policy, Duration Objective);

/// Takes in one whole answer. Stretch is estimated over usual service time at
/// the time of the send.
void recordResponse(RouteStatistics &Route, const DispatchPolicy &Policy,
                    Duration Took, double Slowdown, uint64_t Bytes);

} // namespace hyssopcross::dispatch

#endif
