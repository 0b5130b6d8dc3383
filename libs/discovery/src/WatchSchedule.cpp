#include "hyssopcross/discovery/WatchSchedule.h"
#include <algorithm>

namespace hyssopcross::discovery {

Duration watchTime(const WatchSchedule &Policy, uint32_t Place, uint32_t Count,
                   WallTime WallNow) {
  uint32_t Sharers = std::clamp(Count, 1U, Policy.m_MaxSlots);
  Duration Cycle = Policy.m_Interval * Sharers;
  Duration Turn = Policy.m_Interval * (Place % Sharers);
  Duration Phase =
      std::chrono::duration_cast<Duration>(WallNow.time_since_epoch()) % Cycle;
  Duration Wait = (Turn - Phase + Cycle) % Cycle;
  return Wait < Policy.m_Interval / 2 ? Wait + Cycle : Wait;
}

} // namespace hyssopcross::discovery
