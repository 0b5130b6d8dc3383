#ifndef HYSSOPCROSS_DISCOVERY_WATCHSCHEDULE_H
#define HYSSOPCROSS_DISCOVERY_WATCHSCHEDULE_H

#include "hyssopcross/base/Clock.h"
#include <cstdint>

namespace hyssopcross::discovery {

/// When the VMs that follow a source end their watches: in turn, so that one
/// answer in each interval shows all VMs that the source still answers.
struct WatchSchedule {
  /// Between the ends of two watches. Short against the two seconds in which a
  /// change must be in force.
  Duration m_Interval = std::chrono::milliseconds(500);
  /// VMs among which turns are shared; any further ones share their turns.
  uint32_t m_MaxSlots = 3;
};

/// How long the watch of the VM at Place among Count followers waits for news
/// if it begins at WallNow. At least half an interval. VMs whose clocks differ
/// get turns that are unevenly spread, and no longer ones.
Duration watchTime(const WatchSchedule &Schedule, uint32_t FollowerIndex,
                   uint32_t FollowerCount, WallTime WallNow);

} // namespace hyssopcross::discovery

#endif
