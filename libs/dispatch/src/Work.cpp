#include "hyssopcross/dispatch/Work.h"
#include <algorithm>

namespace hyssopcross::dispatch {

namespace {

/// One answer counts for at most this many times the average, so that a server
/// that is slower than it says does not spoil the estimate of the route.
constexpr double MaxStep = 3;

} // namespace

Duration expectedWork(const RouteWork &Of, const DispatchPolicy &Policy,
                      Duration Objective) {
  if (Of.m_Work > Duration(0))
    return Of.m_Work;
  return scale(Objective, Policy.m_DefaultWorkShare);
}

void recordResponse(RouteWork &Of, const DispatchPolicy &Policy, Duration Took,
                    double Stretch, uint64_t Bytes) {
  double Work = static_cast<double>(Took.count()) / std::max(0.1, Stretch);
  double Gain = Policy.m_WorkSmoothing;
  if (Of.m_Work == Duration(0)) {
    Of.m_Work = Duration(static_cast<int64_t>(Work));
    Of.m_Bytes = static_cast<double>(Bytes);
    return;
  }
  double Average = static_cast<double>(Of.m_Work.count());
  Work = std::min(Work, MaxStep * Average);
  Of.m_Work = Duration(static_cast<int64_t>(Average + Gain * (Work - Average)));
  Of.m_Bytes += Gain * (static_cast<double>(Bytes) - Of.m_Bytes);
}

} // namespace hyssopcross::dispatch
