#ifndef HYSSOPCROSS_DISPATCH_WORK_H
#define HYSSOPCROSS_DISPATCH_WORK_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/dispatch/Policy.h"

namespace hyssopcross::dispatch {

/// Moving averages of the service time and size of the requests of a route.
struct RouteStatistics {
  /// Service time on an idle server at its usual speed; zero if not measured.
  Duration m_Work{};
  /// Bytes of request and response.
  double m_Bytes = 0;
};

/// The measured service time, or the default share of the objective if there is
/// no measurement yet.
Duration expectedServiceTime(const RouteStatistics &Route,
                             const DispatchPolicy &Policy, Duration Objective);

/// Records one complete response. Slowdown is the ratio of estimated to usual
/// service time when the request was sent.
void recordResponse(RouteStatistics &Route, const DispatchPolicy &Policy,
                    Duration Took, double Slowdown, uint64_t Bytes);

} // namespace hyssopcross::dispatch

#endif
