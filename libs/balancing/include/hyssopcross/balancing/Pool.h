#ifndef HYSSOPCROSS_BALANCING_POOL_H
#define HYSSOPCROSS_BALANCING_POOL_H

#include "hyssopcross/balancing/Events.h"
#include "hyssopcross/balancing/Policy.h"
#include "hyssopcross/balancing/State.h"

namespace hyssopcross::balancing {

/// Applies one event to the pool and appends the actions that follow from it.
/// Deterministic: the same states, events and instants give the same actions.
/// Now never goes back for one state. Not thread-safe for one state;
/// independent for different states. Costs a few passes over the pool's
/// servers; state is bounded by the servers, the queue and the slots.
void step(PoolState &State, const Event &Event, TimePoint Now,
          std::vector<Action> &Actions);

/// What the next owner needs to know of the pool's servers, for heartbeats:
/// one record of about 60 bytes for each server that is listed.
std::vector<ServerDigest> digest(const PoolState &State);

/// A reading of the pool for metrics and address answers.
struct PoolFigures {
  uint32_t m_Servers = 0;
  uint32_t m_Warm = 0;
  uint32_t m_Suspect = 0;
  uint32_t m_Cold = 0;
  uint32_t m_Leaving = 0;
  uint32_t m_InFlight = 0;
  /// Slots into which a call could go right now.
  uint32_t m_FreeSlots = 0;
  uint32_t m_Queued = 0;
  /// How long a call that arrives now would wait; Duration::max() if no server
  /// can take work.
  Duration m_ExpectedWait{};
  /// Calls that the pool can finish in a second.
  double m_CapacityPerSecond = 0;
  PoolCounters m_Counters;
};

/// Reads the pool's figures. Costs one pass over its servers.
PoolFigures figures(const PoolState &State, TimePoint Now);

} // namespace hyssopcross::balancing

#endif
