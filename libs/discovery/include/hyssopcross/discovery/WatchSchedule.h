#ifndef HYSSOPCROSS_DISCOVERY_WATCHSCHEDULE_H
#define HYSSOPCROSS_DISCOVERY_WATCHSCHEDULE_H

#include "hyssopcross/base/Clock.h"
#include <cstdint>

namespace hyssopcross::discovery {

/// Staggers the watches of the VMs that follow a source, so that one watch ends
/// in each interval. Its response shows all VMs that the source is still
/// reachable.
struct WatchSchedule {
  /// Time between the ends of two consecutive watches. Must be short compared
  /// to the two seconds within which a change must take effect.
  Duration m_Interval = std::chrono::milliseconds(500);
  /// Maximum number of time slots. If there are more VMs, several VMs share a
  /// slot.
  uint32_t m_MaxSlots = 3;
};

/// Returns how long a watch that starts at WallNow waits for changes, for the
/// VM at position FollowerIndex of FollowerCount followers. The result is at
/// least half an interval. Clock skew between VMs spreads the ends of the
/// watches unevenly, but does not make the watches longer.
Duration watchTime(const WatchSchedule &Schedule, uint32_t FollowerIndex,
                   uint32_t FollowerCount, WallTime WallNow);

} // namespace hyssopcross::discovery

#endif
