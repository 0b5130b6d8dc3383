#ifndef HYSSOPCROSS_DISPATCH_SERVICEMODEL_H
#define HYSSOPCROSS_DISPATCH_SERVICEMODEL_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/dispatch/Policy.h"
#include <array>
#include <cstdint>

namespace hyssopcross::dispatch {

/// Increase of the service time with the occupancy of a server, learned from
/// the responses of a service. An occupancy step is an eighth of the slots of a
/// server; servers with fewer slots use only some of the steps.
struct OccupancyCurve {
  static constexpr uint32_t StepCount = 8;
  struct Step {
    /// Sum of the logarithms of the ratio of observed to usual service time.
    double m_LogSum = 0;
    double m_Weight = 0;
  };
  std::array<Step, StepCount> m_Steps;
  /// Monotone fit of the steps, including the prior from the policy.
  std::array<double, StepCount> m_LogFit{};
  /// False until the first observation: the fit is not computed yet.
  bool m_IsFitted = false;
};

/// Observed slowdown of one response at a known occupancy.
struct OccupancySample {
  /// Requests at the server when this one began, including this one.
  uint32_t m_InFlight = 1;
  uint32_t m_Slots = 1;
  /// Ratio of the observed service time to the usual one at the speed of the
  /// server at that time.
  double m_Ratio = 1;
};

/// Records one response. Ignored if the server had more requests than slots,
/// because the request then waited there for an unknown time.
void recordOccupancySample(OccupancyCurve &Curve, const DispatchPolicy &Policy,
                           const OccupancySample &Seen);

/// Factor by which the service time grows with InFlight concurrent requests,
/// relative to a single request.
double occupancySlowdown(const OccupancyCurve &Curve,
                         const DispatchPolicy &Policy, uint32_t InFlight,
                         uint32_t Slots);

/// Statistics of the periods in which the servers of a service are slow,
/// learned from their speed reports.
struct SlowPeriodStats {
  /// Time that servers were observed at normal speed and slow, in seconds.
  double m_UsualTime = 0;
  double m_SlowTime = 0;
  /// Changes from normal speed to slow, and back.
  double m_SlowStarts = 0;
  double m_SlowEnds = 0;
  /// Sum of the logarithms of the slowdown factors, and the number of slow
  /// reports. Observations lose weight as new ones arrive.
  double m_SlowLogSum = 0;
  double m_SlowCount = 0;
};

/// Records two consecutive reports of one server and the time between them.
void recordSpeeds(SlowPeriodStats &SlowPeriods, uint32_t EarlierPercent,
                  uint32_t LaterPercent, Duration Between);

/// Expected slowdown of a server without a recent report.
struct SlowdownForecast {
  /// Expected slowdown in percent.
  double m_UnknownPercent = 100;
  /// Time in which the weight of a report falls to 1/e, in seconds.
  double m_DecaySeconds = 1;
};

/// The forecast from the assumptions of the policy and the observations.
SlowdownForecast forecastSlowdown(const SlowPeriodStats &SlowPeriods,
                                  const DispatchPolicy &Policy);

/// What one VM has learned about the servers of a service. Bounded in size; old
/// observations lose their weight as new ones arrive.
struct ServiceModel {
  /// Whether responses report the speed of their server, by the newest response
  /// that was supposed to.
  bool m_ReportsSpeed = true;
  OccupancyCurve m_Curve;
  SlowPeriodStats m_SlowPeriods;
};

} // namespace hyssopcross::dispatch

#endif
