#include "Latency.h"
#include <algorithm>
#include <bit>

namespace hyssopcross::balancing {

namespace {

constexpr double RecentWeight = 0.3;
constexpr double UsualWeight = 0.01;
constexpr double MeanWeight = 0.02;
/// Latencies of a server that must be known before one counts as a jump.
constexpr uint32_t MinJumpSamples = 8;
/// Buckets start at 4 units of 2^12 ns, and each octave has four.
constexpr unsigned UnitBits = 12;
/// Samples at which all buckets are halved, so that old ones fade.
constexpr uint32_t MaxSamples = 1000;

Duration blend(Duration Old, Duration New, double Weight) {
  if (Old == Duration::zero())
    return New;
  return Old + Duration(static_cast<int64_t>(
                   static_cast<double>((New - Old).count()) * Weight));
}

size_t bucketOf(Duration Latency, size_t Buckets) {
  auto Units = static_cast<uint64_t>(Latency.count()) >> UnitBits;
  if (Units < 4)
    return Units;
  auto Octave = static_cast<size_t>(std::bit_width(Units)) - 1;
  size_t Index = (Octave - 1) * 4 + ((Units >> (Octave - 2)) & 3U);
  return std::min(Index, Buckets - 1);
}

/// The upper end of a bucket.
Duration bucketEnd(size_t Index) {
  if (Index < 4)
    return Duration(static_cast<int64_t>((Index + 1) << UnitBits));
  size_t Octave = Index / 4 + 1;
  uint64_t Units = (4 + Index % 4 + 1) << (Octave - 2);
  return Duration(static_cast<int64_t>(Units << UnitBits));
}

void addSample(LatencyState &State, Duration Latency) {
  ++State.m_Buckets[bucketOf(Latency, State.m_Buckets.size())];
  if (++State.m_Samples < MaxSamples)
    return;
  State.m_Samples = 0;
  for (uint32_t &Count : State.m_Buckets) {
    Count /= 2;
    State.m_Samples += Count;
  }
}

} // namespace

void recordLatency(Context &Step, ServerState &Server, Duration Latency) {
  Latency = std::max(Latency, Duration(1));
  Server.m_RecentLatency = blend(Server.m_RecentLatency, Latency, RecentWeight);
  ++Server.m_LatencySamples;
  bool Known = Server.m_LatencySamples > MinJumpSamples;
  double Weight = Known ? UsualWeight : 1.0 / Server.m_LatencySamples;
  Server.m_UsualLatency = blend(Server.m_UsualLatency, Latency, Weight);
  Server.m_LatencyAt = Step.m_Now;
  LatencyState &Pool = Step.m_State.m_Latency;
  Pool.m_Mean = blend(Pool.m_Mean, Latency, MeanWeight);
  if (Server.m_Stage == ServerStage::Warm)
    Pool.m_WarmMean = blend(Pool.m_WarmMean, Latency, MeanWeight);
  addSample(Pool, Latency);
}

void recordLowerBound(Context &Step, ServerState &Server, Duration Age) {
  if (Age <= Server.m_RecentLatency)
    return;
  Server.m_RecentLatency = blend(Server.m_RecentLatency, Age, RecentWeight);
  Server.m_LatencyAt = Step.m_Now;
}

bool hasJumped(const PoolPolicy &Policy, const ServerState &Server) {
  return isSlow(Policy, Server, Server.m_RecentLatency);
}

bool isSlow(const PoolPolicy &Policy, const ServerState &Server,
            Duration Latency) {
  return Server.m_LatencySamples >= MinJumpSamples &&
         Latency > Policy.m_JumpFloor &&
         Latency > scale(Server.m_UsualLatency, Policy.m_JumpFactor);
}

Duration meanServiceTime(const PoolState &State) {
  if (State.m_Latency.m_Mean == Duration::zero())
    return State.m_Policy.m_DefaultServiceTime;
  return State.m_Latency.m_Mean;
}

Duration expectedServiceTime(const PoolState &State, const ServerState &Server,
                             TimePoint Now) {
  Duration Mean = meanServiceTime(State);
  if (Server.m_RecentLatency == Duration::zero())
    return Mean;
  auto HalfLife =
      static_cast<double>(State.m_Policy.m_EstimateHalfLife.count());
  auto Age = static_cast<double>((Now - Server.m_LatencyAt).count());
  double Weight = HalfLife / (HalfLife + Age);
  return Mean +
         Duration(static_cast<int64_t>(
             static_cast<double>((Server.m_RecentLatency - Mean).count()) *
             Weight));
}

Duration latencyQuantile(const LatencyState &Latency, double Quantile,
                         uint32_t MinSamples) {
  if (Latency.m_Samples == 0 || Latency.m_Samples < MinSamples)
    return Duration::zero();
  auto Above = static_cast<uint32_t>(static_cast<double>(Latency.m_Samples) *
                                     (1.0 - Quantile));
  uint32_t Seen = 0;
  for (size_t Index = Latency.m_Buckets.size(); Index-- > 0;) {
    Seen += Latency.m_Buckets[Index];
    if (Seen > Above)
      return bucketEnd(Index);
  }
  return bucketEnd(0);
}

} // namespace hyssopcross::balancing
