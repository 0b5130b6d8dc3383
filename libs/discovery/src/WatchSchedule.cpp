#include "hyssopcross/discovery/WatchSchedule.h"
#include <algorithm>

namespace hyssopcross::discovery {

Duration watchTime(const WatchSchedule &Schedule, uint32_t FollowerIndex,
                   uint32_t FollowerCount, WallTime WallNow) {
  uint32_t SlotCount = std::clamp(FollowerCount, 1U, Schedule.m_MaxSlots);
  Duration Cycle = Schedule.m_Interval * SlotCount;
  Duration SlotOffset = Schedule.m_Interval * (FollowerIndex % SlotCount);
  Duration CycleOffset =
      std::chrono::duration_cast<Duration>(WallNow.time_since_epoch()) % Cycle;
  Duration Wait = (SlotOffset - CycleOffset + Cycle) % Cycle;
  return Wait < Schedule.m_Interval / 2 ? Wait + Cycle : Wait;
}

} // namespace hyssopcross::discovery
