#ifndef HYSSOPCROSS_DISPATCH_SERVICEMODEL_H
#define HYSSOPCROSS_DISPATCH_SERVICEMODEL_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/dispatch/Policy.h"
#include <array>
#include <cstdint>

namespace hyssopcross::dispatch {

/// How work stretches as the servers of a service fill, learned from answers.
/// An occupancy step is an eighth of a server's slots; servers with fewer slots
/// use some of the steps only.
struct OccupancyCurve {
  static constexpr uint32_t StepCount = 8;
  struct Step {
    /// Sum of logarithms of observed over usual service time.
    double m_LogSum = 0;
    double m_Weight = 0;
  };
  std::array<Step, StepCount> m_Steps;
  /// The monotone fit of the steps, the policy's assumption included.
  std::array<double, StepCount> m_LogFit{};
  /// False until the first observation: the fit is not made yet.
  bool m_IsFitted = false;
};

/// One answer, as far as it tells how work stretches with occupancy.
struct OccupancySample {
  /// Requests at the server when this one began, itself included.
  uint32_t m_InFlight = 1;
  uint32_t m_Slots = 1;
  /// Observed service time over the usual one at the server's speed then.
  double m_Ratio = 1;
};

/// Takes in one answer. Ignored if the server had more requests than slots: the
/// request waited there for an unknown time.
void recordOccupancySample(OccupancyCurve &Curve, const DispatchPolicy &Policy,
                           const OccupancySample &Seen);

/// How much longer work takes beside InFlight - 1 other requests than alone.
double occupancySlowdown(const OccupancyCurve &Curve,
                         const DispatchPolicy &Policy, uint32_t InFlight,
                         uint32_t Slots);

/// How a service's servers turn slow and usual again for spells, learned from
/// what they tell of their speed.
struct SlowPeriodStats {
  /// Time that servers were seen at their usual speed, and slow, in seconds.
  double m_UsualTime = 0;
  double m_SlowTime = 0;
  /// Changes from usual to slow, and back.
  double m_SlowStarts = 0;
  double m_SlowEnds = 0;
  /// Sums of the logarithms of slowdowns, in hundredths.
  double m_SlowLogSum = 0;
  double m_SlowCount = 0;
};

/// Takes in two reports of one server in a row, and the time between them.
void recordSpeeds(SlowPeriodStats &SlowPeriods, uint32_t EarlierPercent,
                  uint32_t LaterPercent, Duration Between);

/// What to expect of a server whose speed is not known.
struct SlowdownForecast {
  /// Expected slowdown in percent.
  double m_UnknownPercent = 100;
  /// Time in which the weight of a report falls to 1/e, in seconds.
  double m_DecaySeconds = 1;
};

/// The forecast from the policy's assumptions and what was seen.
SlowdownForecast forecastSlowdown(const SlowPeriodStats &SlowPeriods,
                                  const DispatchPolicy &Policy);

/// What one VM has learned of the servers of a service. Bounded, and forgets:
/// old observations lose their weight as new ones come.
struct ServiceModel {
  /// Answers tell how fast their server is; the newest one that had to do so
  /// decides.
  bool m_ReportsSpeed = true;
  OccupancyCurve m_Curve;
  SlowPeriodStats m_SlowPeriods;
};

} // namespace hyssopcross::dispatch

#endif
