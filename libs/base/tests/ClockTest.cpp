#include "hyssopcross/base/Clock.h"
#include <doctest/doctest.h>

using namespace hyssopcross;

TEST_CASE("the clock is the one that goes on while the VM is suspended") {
  auto SinceBoot = [] {
    timespec Now{};
    clock_gettime(CLOCK_BOOTTIME, &Now);
    return TimePoint(std::chrono::seconds(Now.tv_sec) +
                     std::chrono::nanoseconds(Now.tv_nsec));
  };
  TimePoint Before = SinceBoot();
  TimePoint Read = SystemClock().now();
  CHECK(Read >= Before);
  CHECK(Read <= SinceBoot());
}
