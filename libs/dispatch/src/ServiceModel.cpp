#include "hyssopcross/dispatch/ServiceModel.h"
#include <algorithm>
#include <cmath>

namespace hyssopcross::dispatch {

namespace {

constexpr uint32_t StepCount = OccupancyCurve::StepCount;
/// Weight of the prior from the policy at each step, as a number of
/// observations.
constexpr double PriorWeight = 10;
/// Maximum number of observations that a step accumulates.
constexpr double MaxStepWeight = 400;
/// Maximum deviation of an observation from its expectation, as a logarithm: a
/// request on a server that turned slow unnoticed takes several times as long.
constexpr double MaxLogDeviation = 0.7;
/// Slowdown in percent from which a server counts as slow. Smaller values are
/// normal jitter.
constexpr uint32_t SlowPercent = 150;
/// Consecutive reports that are further apart reveal little about the changes
/// between them.
constexpr Duration MaxReportGap = std::chrono::milliseconds(250);
/// Weight of the prior from the policy, in seconds of observation.
constexpr double PriorSeconds = 10;
/// Maximum accumulated time of observation, in seconds summed over the servers.
constexpr double MaxObservedSeconds = 400;
/// Weight of the prior slowdown from the policy, as a number of slow reports.
constexpr double PriorSlowCount = 20;

/// The zero-based step of a server with InFlight of its slots taken.
uint32_t stepIndex(uint32_t InFlight, uint32_t Slots) {
  uint32_t Eighths =
      (std::max(1U, InFlight) * StepCount + Slots - 1) / std::max(1U, Slots);
  return std::min(Eighths, StepCount) - 1;
}

/// Prior of a step, before any observation.
double priorLogSlowdown(uint32_t Step, const DispatchPolicy &Policy) {
  double Occupancy = static_cast<double>(Step + 1) / StepCount;
  return Occupancy > Policy.m_KneeOccupancy ? std::log(Policy.m_KneeSlowdown)
                                            : 0;
}

double expectedLogSlowdown(const OccupancyCurve &Curve,
                           const DispatchPolicy &Policy, uint32_t Step) {
  const OccupancyCurve::Step &Seen = Curve.m_Steps[Step];
  return (PriorWeight * priorLogSlowdown(Step, Policy) + Seen.m_LogSum) /
         (PriorWeight + Seen.m_Weight);
}

/// Fits a curve that never falls with occupancy (pool adjacent violators):
/// neighbours in the wrong order are replaced by their weighted mean.
void fitMonotoneCurve(OccupancyCurve &Curve, const DispatchPolicy &Policy) {
  struct Block {
    double m_Mean;
    double m_Weight;
    uint32_t m_Steps;
  };
  std::array<Block, StepCount> Blocks{};
  uint32_t Count = 0;
  for (uint32_t Step = 0; Step < StepCount; ++Step) {
    Blocks[Count++] = {expectedLogSlowdown(Curve, Policy, Step),
                       PriorWeight + Curve.m_Steps[Step].m_Weight, 1};
    while (Count > 1 && Blocks[Count - 2].m_Mean > Blocks[Count - 1].m_Mean) {
      Block &Into = Blocks[Count - 2];
      const Block &Last = Blocks[Count - 1];
      double Weight = Into.m_Weight + Last.m_Weight;
      Into = {(Into.m_Mean * Into.m_Weight + Last.m_Mean * Last.m_Weight) /
                  Weight,
              Weight, Into.m_Steps + Last.m_Steps};
      --Count;
    }
  }
  uint32_t Step = 0;
  for (uint32_t I = 0; I < Count; ++I)
    for (uint32_t J = 0; J < Blocks[I].m_Steps; ++J)
      Curve.m_LogFit[Step++] = Blocks[I].m_Mean;
  Curve.m_IsFitted = true;
}

} // namespace

void recordOccupancySample(OccupancyCurve &Curve, const DispatchPolicy &Policy,
                           const OccupancySample &Seen) {
  if (!Policy.m_LearnServers || Seen.m_Ratio <= 0 || Seen.m_InFlight == 0 ||
      Seen.m_InFlight > Seen.m_Slots)
    return;
  uint32_t At = stepIndex(Seen.m_InFlight, Seen.m_Slots);
  double Expected = expectedLogSlowdown(Curve, Policy, At);
  double LogDeviation = std::clamp(std::log(Seen.m_Ratio) - Expected,
                                   -MaxLogDeviation, MaxLogDeviation);
  OccupancyCurve::Step &Into = Curve.m_Steps[At];
  if (Into.m_Weight >= MaxStepWeight) {
    Into.m_LogSum -= Into.m_LogSum / Into.m_Weight;
    Into.m_Weight -= 1;
  }
  Into.m_LogSum += Expected + LogDeviation;
  Into.m_Weight += 1;
  fitMonotoneCurve(Curve, Policy);
}

double occupancySlowdown(const OccupancyCurve &Curve,
                         const DispatchPolicy &Policy, uint32_t InFlight,
                         uint32_t Slots) {
  uint32_t At = stepIndex(InFlight, Slots);
  uint32_t Alone = stepIndex(1, Slots);
  if (Curve.m_IsFitted)
    return std::exp(Curve.m_LogFit[At] - Curve.m_LogFit[Alone]);
  return std::exp(priorLogSlowdown(At, Policy) -
                  priorLogSlowdown(Alone, Policy));
}

void recordSpeeds(SlowPeriodStats &SlowPeriods, uint32_t EarlierPercent,
                  uint32_t LaterPercent, Duration Between) {
  if (LaterPercent >= SlowPercent) {
    SlowPeriods.m_SlowLogSum += std::log(LaterPercent / 100.0);
    SlowPeriods.m_SlowCount += 1;
  }
  if (Between <= Duration(0) || Between > MaxReportGap)
    return;
  double Seconds = std::chrono::duration<double>(Between).count();
  bool WasSlow = EarlierPercent >= SlowPercent;
  bool IsSlow = LaterPercent >= SlowPercent;
  (WasSlow ? SlowPeriods.m_SlowTime : SlowPeriods.m_UsualTime) += Seconds;
  if (WasSlow != IsSlow)
    (IsSlow ? SlowPeriods.m_SlowStarts : SlowPeriods.m_SlowEnds) += 1;
  if (SlowPeriods.m_UsualTime + SlowPeriods.m_SlowTime <= MaxObservedSeconds)
    return;
  for (double *Each : {&SlowPeriods.m_UsualTime, &SlowPeriods.m_SlowTime,
                       &SlowPeriods.m_SlowStarts, &SlowPeriods.m_SlowEnds,
                       &SlowPeriods.m_SlowLogSum, &SlowPeriods.m_SlowCount})
    *Each /= 2;
}

SlowdownForecast forecastSlowdown(const SlowPeriodStats &SlowPeriods,
                                  const DispatchPolicy &Policy) {
  double Memory =
      std::chrono::duration<double>(Policy.m_SpeedReportDecay).count();
  if (!Policy.m_LearnServers)
    return {Policy.m_UnknownSlowdown, Memory};
  // The prior, as a number of changes observed in its weight of time.
  double Share =
      (Policy.m_UnknownSlowdown - 100) / (Policy.m_SlowPeriodSlowdown - 100);
  double Changes = PriorSeconds * Share * (1 - Share) / Memory;
  double OnsetRate = (Changes + SlowPeriods.m_SlowStarts) /
                     (PriorSeconds * (1 - Share) + SlowPeriods.m_UsualTime);
  double EndRate = (Changes + SlowPeriods.m_SlowEnds) /
                   (PriorSeconds * Share + SlowPeriods.m_SlowTime);
  double SlowLog =
      (PriorSlowCount * std::log(Policy.m_SlowPeriodSlowdown / 100) +
       SlowPeriods.m_SlowLogSum) /
      (PriorSlowCount + SlowPeriods.m_SlowCount);
  double SlowShare = OnsetRate / (OnsetRate + EndRate);
  return {100 + SlowShare * 100 * (std::exp(SlowLog) - 1),
          1 / (OnsetRate + EndRate)};
}

} // namespace hyssopcross::dispatch
