#include "hyssopcross/discovery/WatchSchedule.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace hyssopcross;
using namespace hyssopcross::discovery;
using namespace std::chrono_literals;

TEST_CASE("staggered watches confirm the source at regular intervals") {
  struct Case {
    const char *m_Name;
    uint32_t m_Followers;
    Duration m_MaxGap;
    size_t m_MaxWatches;
  };
  // Number of watches within 30 s. The first watch of a follower may start
  // outside of its time slot, which allows one more watch per follower.
  const Case Cases[] = {{"one follower", 1, 500ms, 61},
                        {"two", 2, 500ms, 62},
                        {"three", 3, 500ms, 63},
                        {"four, of which two share a time slot", 4, 500ms, 84}};
  const WatchSchedule Schedule;
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    std::vector<Duration> Ends;
    for (uint32_t FollowerIndex = 0; FollowerIndex < Each.m_Followers;
         ++FollowerIndex) {
      // Followers start at different times.
      Duration Now = 37ms * (FollowerIndex + 1);
      while (Now < 30s) {
        Now += watchTime(
            Schedule, FollowerIndex, Each.m_Followers,
            WallTime(std::chrono::duration_cast<WallTime::duration>(Now)));
        Ends.push_back(Now);
      }
    }
    CHECK(Ends.size() <= Each.m_MaxWatches);
    std::sort(Ends.begin(), Ends.end());
    // From the second cycle on, all watches end in their time slots.
    for (size_t I = 1; I < Ends.size(); ++I)
      if (Ends[I - 1] > 3s && Ends[I] < 29s)
        CHECK(Ends[I] - Ends[I - 1] <= Each.m_MaxGap);
  }
}
