#include "hyssopcross/dispatch/RequestLimit.h"
#include <algorithm>
#include <utility>

namespace hyssopcross::dispatch {

namespace {

/// Average interval between the requests of all VMs.
Duration intervalOf(const RequestLimit &Limit, const DispatchPolicy &Policy) {
  return scale(std::chrono::seconds(1),
               1 / std::max(*Limit.m_PerSecond, Policy.m_MinLimitedRate));
}

void countSends(RequestLimit &Limit, uint32_t Count,
                const DispatchPolicy &Policy, TimePoint Now) {
  if (!Limit.m_PerSecond)
    return;
  Duration Interval = intervalOf(Limit, Policy);
  TimePoint Latest = Now + std::max(Interval, Policy.m_MaxLimitDebt);
  Limit.m_UsedUntil =
      std::min(std::max(Limit.m_UsedUntil, Now) + Interval * Count, Latest);
}

} // namespace

bool observeLimit(RequestLimit &Limit, const LimitObservation &Seen,
                  TimePoint Now) {
  if (Seen.m_PerSecond) {
    Limit.m_SaidAt = Now;
    Limit.m_IsNamedByChecks = Limit.m_IsNamedByChecks || Seen.m_IsCheck;
    return std::exchange(Limit.m_PerSecond, Seen.m_PerSecond) !=
           Seen.m_PerSecond;
  }
  bool Lifts = Limit.m_PerSecond && Seen.m_IsComplete &&
               Seen.m_SentAt > Limit.m_SaidAt &&
               (!Seen.m_IsCheck || Limit.m_IsNamedByChecks);
  return Lifts && applyLimit(Limit, std::nullopt, Now);
}

bool applyLimit(RequestLimit &Limit, std::optional<double> PerSecond,
                TimePoint SaidAt) {
  if (SaidAt <= Limit.m_SaidAt)
    return false;
  Limit.m_SaidAt = SaidAt;
  Limit.m_IsNamedByChecks = Limit.m_IsNamedByChecks && PerSecond;
  return std::exchange(Limit.m_PerSecond, PerSecond) != PerSecond;
}

TimePoint admitsAt(const RequestLimit &Limit, const DispatchPolicy &Policy) {
  Duration Interval = intervalOf(Limit, Policy);
  return Limit.m_UsedUntil + Interval - std::max(Interval, Policy.m_LimitBurst);
}

void countOwnSend(RequestLimit &Limit, const DispatchPolicy &Policy,
                  TimePoint Now) {
  ++Limit.m_OwnSends;
  countSends(Limit, 1, Policy, Now);
}

void countPeerSends(RequestLimit &Limit, VmKey Vm, uint32_t Total,
                    const DispatchPolicy &Policy, TimePoint Now) {
  auto Known =
      std::find_if(Limit.m_PeerSends.begin(), Limit.m_PeerSends.end(),
                   [Vm](const PeerSends &Each) { return Each.m_Vm == Vm; });
  if (Known == Limit.m_PeerSends.end()) {
    // Most of the requests of a VM that is heard for the first time may be old.
    Limit.m_PeerSends.push_back({Vm, Total});
    return countSends(Limit, std::min(Total, 1U), Policy, Now);
  }
  uint32_t Before = std::exchange(Known->m_Count, Total);
  // A smaller number comes from a VM that has restarted.
  countSends(Limit, Total >= Before ? Total - Before : Total, Policy, Now);
}

void forgetPeerSends(RequestLimit &Limit, VmKey Vm) {
  std::erase_if(Limit.m_PeerSends,
                [Vm](const PeerSends &Each) { return Each.m_Vm == Vm; });
}

} // namespace hyssopcross::dispatch
