#ifndef HYSSOPCROSS_BALANCING_CONTEXT_H
#define HYSSOPCROSS_BALANCING_CONTEXT_H

#include "hyssopcross/balancing/State.h"
#include <algorithm>

namespace hyssopcross::balancing {

/// The state, instant and output of one step.
struct Context {
  PoolState &m_State;
  TimePoint m_Now;
  std::vector<Action> &m_Actions;

  const PoolPolicy &policy() const { return m_State.m_Policy; }
  const PolicySwitches &switches() const { return m_State.m_Policy.m_Switches; }
  const catalogue::ServiceLimits &limits() const {
    return m_State.m_Entry.m_Limits;
  }
  /// Slots of one server, at least one whatever the entry says.
  uint32_t slots() const { return std::max(limits().m_Slots, 1U); }
  bool isBaseline() const {
    return policy().m_Choice != ChoicePolicy::OwnerQueue;
  }
};

/// A number in [0, 1) from the state's generator, the same on every platform.
inline double drawUnit(PoolState &State) {
  constexpr double Scale = 1.0 / 9007199254740992.0;
  return static_cast<double>(State.m_Random() >> 11U) * Scale;
}

/// An index below Count, which is not zero.
inline size_t drawIndex(PoolState &State, size_t Count) {
  return State.m_Random() % Count;
}

/// Keeps the earlier of two instants; none is later than any.
inline void keepEarlier(std::optional<TimePoint> &Earliest,
                        std::optional<TimePoint> Time) {
  if (Time && (!Earliest || *Time < *Earliest))
    Earliest = Time;
}

} // namespace hyssopcross::balancing

#endif
