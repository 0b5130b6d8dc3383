#include "hyssopcross/dispatch/ServiceModel.h"
#include <algorithm>
#include <cmath>

namespace hyssopcross::dispatch {

namespace {

constexpr uint32_t StepCount = OccupancyCurve::StepCount;
/// Observations that the policy's assumption counts for, at each step.
constexpr double PriorWeight = 10;
/// Observations that a step remembers.
constexpr double StepMemory = 400;
/// One observation counts for at most this much, as a logarithm, beside what
/// was expected: a server that turned slow unseen takes several times as long.
constexpr double MaxSurprise = 0.7;
/// Slowdown from which a server counts as slow, in percent. Below it lies the
/// usual jitter.
constexpr uint32_t SlowPercent = 150;
/// Reports further apart say little of the changes between them.
constexpr Duration MaxReportGap = std::chrono::milliseconds(250);
/// Time of observation, in seconds, that the policy's assumption counts for.
constexpr double PriorTime = 10;
/// Time of observation, in seconds and summed over the servers, that is
/// remembered.
constexpr double SpellMemory = 400;
/// Slow reports that the policy's assumption of their slowdown counts for.
constexpr double PriorSlowCount = 20;

/// The step of a server with InFlight of its slots taken, from 0.
uint32_t stepOf(uint32_t InFlight, uint32_t Slots) {
  uint32_t Eighths =
      (std::max(1U, InFlight) * StepCount + Slots - 1) / std::max(1U, Slots);
  return std::min(Eighths, StepCount) - 1;
}

/// What is assumed of a step before anything was seen.
double priorLog(uint32_t Step, const DispatchPolicy &Policy) {
  double Occupancy = static_cast<double>(Step + 1) / StepCount;
  return Occupancy > Policy.m_KneeOccupancy ? std::log(Policy.m_KneeSlowdown)
                                            : 0;
}

double expectedLog(const OccupancyCurve &Curve, const DispatchPolicy &Policy,
                   uint32_t Step) {
  const OccupancyCurve::Step &Seen = Curve.m_Steps[Step];
  return (PriorWeight * priorLog(Step, Policy) + Seen.m_LogSum) /
         (PriorWeight + Seen.m_Weight);
}

/// Fits a curve that never falls with occupancy: neighbours in the wrong order
/// share their weighted mean.
void fit(OccupancyCurve &Curve, const DispatchPolicy &Policy) {
  struct Block {
    double m_Mean;
    double m_Weight;
    uint32_t m_Steps;
  };
  std::array<Block, StepCount> Blocks{};
  uint32_t Count = 0;
  for (uint32_t Step = 0; Step < StepCount; ++Step) {
    Blocks[Count++] = {expectedLog(Curve, Policy, Step),
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
  uint32_t At = stepOf(Seen.m_InFlight, Seen.m_Slots);
  double Expected = expectedLog(Curve, Policy, At);
  double Surprise =
      std::clamp(std::log(Seen.m_Ratio) - Expected, -MaxSurprise, MaxSurprise);
  OccupancyCurve::Step &Into = Curve.m_Steps[At];
  if (Into.m_Weight >= StepMemory) {
    Into.m_LogSum -= Into.m_LogSum / Into.m_Weight;
    Into.m_Weight -= 1;
  }
  Into.m_LogSum += Expected + Surprise;
  Into.m_Weight += 1;
  fit(Curve, Policy);
}

double occupancySlowdown(const OccupancyCurve &Curve,
                         const DispatchPolicy &Policy, uint32_t InFlight,
                         uint32_t Slots) {
  uint32_t At = stepOf(InFlight, Slots);
  uint32_t Alone = stepOf(1, Slots);
  if (Curve.m_IsFitted)
    return std::exp(Curve.m_LogFit[At] - Curve.m_LogFit[Alone]);
  return std::exp(priorLog(At, Policy) - priorLog(Alone, Policy));
}

void recordSpeeds(SlowPeriodStats &Spells, uint32_t EarlierPercent,
                  uint32_t LaterPercent, Duration Between) {
  if (LaterPercent >= SlowPercent) {
    Spells.m_SlowLogSum += std::log(LaterPercent / 100.0);
    Spells.m_SlowCount += 1;
  }
  if (Between <= Duration(0) || Between > MaxReportGap)
    return;
  double Seconds = std::chrono::duration<double>(Between).count();
  bool WasSlow = EarlierPercent >= SlowPercent;
  bool IsSlow = LaterPercent >= SlowPercent;
  (WasSlow ? Spells.m_SlowTime : Spells.m_UsualTime) += Seconds;
  if (WasSlow != IsSlow)
    (IsSlow ? Spells.m_Onsets : Spells.m_Ends) += 1;
  if (Spells.m_UsualTime + Spells.m_SlowTime <= SpellMemory)
    return;
  for (double *Each :
       {&Spells.m_UsualTime, &Spells.m_SlowTime, &Spells.m_Onsets,
        &Spells.m_Ends, &Spells.m_SlowLogSum, &Spells.m_SlowCount})
    *Each /= 2;
}

SlowdownForecast forecastSlowdown(const SlowPeriodStats &Spells,
                                  const DispatchPolicy &Policy) {
  double Memory =
      std::chrono::duration<double>(Policy.m_SpeedReportDecay).count();
  if (!Policy.m_LearnServers)
    return {Policy.m_UnknownSlowdown, Memory};
  // The assumption, as a number of changes seen in the time that it counts for.
  double Share =
      (Policy.m_UnknownSlowdown - 100) / (Policy.m_SlowPeriodSlowdown - 100);
  double Changes = PriorTime * Share * (1 - Share) / Memory;
  double OnsetRate = (Changes + Spells.m_Onsets) /
                     (PriorTime * (1 - Share) + Spells.m_UsualTime);
  double EndRate =
      (Changes + Spells.m_Ends) / (PriorTime * Share + Spells.m_SlowTime);
  double SlowLog =
      (PriorSlowCount * std::log(Policy.m_SlowPeriodSlowdown / 100) +
       Spells.m_SlowLogSum) /
      (PriorSlowCount + Spells.m_SlowCount);
  double SlowShare = OnsetRate / (OnsetRate + EndRate);
  return {100 + SlowShare * 100 * (std::exp(SlowLog) - 1),
          1 / (OnsetRate + EndRate)};
}

} // namespace hyssopcross::dispatch
