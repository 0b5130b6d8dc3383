#include "hyssopcross/dispatch/ServiceModel.h"
#include <algorithm>
#include <cmath>

namespace hyssopcross::dispatch {

namespace {

constexpr uint32_t StepCount = OccupancyCurve::StepCount;
/// Observations that the policy's assumption counts for, at each step.
constexpr double PriorWeight = 10;
/// Observations that a step remembers.
constexpr double MaxStepWeight = 400;
/// One observation counts for at most this much, as a logarithm, beside what
/// was expected: a server that turned slow unseen takes several times as long.
constexpr double MaxLogDeviation = 0.7;
/// Slowdown from which a server counts as slow, in percent. Below it lies the
/// usual jitter.
constexpr uint32_t SlowPercent = 150;
/// Reports further apart say little of the changes between them.
constexpr Duration MaxReportGap = std::chrono::milliseconds(250);
/// Time of observation, in seconds, that the policy's assumption counts for.
constexpr double PriorSeconds = 10;
/// Time of observation, in seconds and summed over the servers, that is
/// remembered.
constexpr double MaxObservedSeconds = 400;
/// Slow reports that the policy's assumption of their slowdown counts for.
constexpr double PriorSlowCount = 20;

/// The step of a server with InFlight of its slots taken, from 0.
uint32_t stepIndex(uint32_t InFlight, uint32_t Slots) {
  uint32_t Eighths =
      (std::max(1U, InFlight) * StepCount + Slots - 1) / std::max(1U, Slots);
  return std::min(Eighths, StepCount) - 1;
}

/// What is assumed of a step before anything was seen.
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

/// Fits a curve that never falls with occupancy: neighbours in the wrong order
/// share their weighted mean.
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
  // The assumption, as a number of changes seen in the time that it counts for.
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
