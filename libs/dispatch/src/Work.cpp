#include "hyssopcross/dispatch/Work.h"
#include <algorithm>

namespace hyssopcross::dispatch {

namespace {

/// A response counts for at most this multiple of the average, so that a server
/// that is slower than it reports does not distort the estimate of the route.
constexpr double MaxRelativeSample = 3;

} // namespace

Duration expectedServiceTime(const RouteStatistics &Route,
                             const DispatchPolicy &Policy, Duration Objective) {
  if (Route.m_Work > Duration(0))
    return Route.m_Work;
  return scale(Objective, Policy.m_DefaultServiceTimeShare);
}

void recordResponse(RouteStatistics &Route, const DispatchPolicy &Policy,
                    Duration Took, double Slowdown, uint64_t Bytes) {
  double Work = static_cast<double>(Took.count()) / std::max(0.1, Slowdown);
  double Gain = Policy.m_ServiceTimeSmoothing;
  if (Route.m_Work == Duration(0)) {
    Route.m_Work = Duration(static_cast<int64_t>(Work));
    Route.m_Bytes = static_cast<double>(Bytes);
    return;
  }
  double Average = static_cast<double>(Route.m_Work.count());
  Work = std::min(Work, MaxRelativeSample * Average);
  Route.m_Work =
      Duration(static_cast<int64_t>(Average + Gain * (Work - Average)));
  Route.m_Bytes += Gain * (static_cast<double>(Bytes) - Route.m_Bytes);
}

} // namespace hyssopcross::dispatch
