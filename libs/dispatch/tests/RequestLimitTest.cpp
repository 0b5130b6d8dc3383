// Request rates that servers name for all VMs together.
#include "hyssopcross/dispatch/RequestLimit.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::dispatch;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

} // namespace

TEST_CASE("a limit holds until the server answers without naming it") {
  struct Case {
    const char *m_Name;
    /// Observed at Start + 1s, after an answer has named a limit of 2 at Start.
    LimitObservation m_Seen;
    std::optional<double> m_PerSecond;
  };
  const Case Cases[] = {
      {"named again", {2.0, false, true, Start + 900ms}, 2.0},
      {"named with another rate", {1.5, false, true, Start + 900ms}, 1.5},
      {"named by a rejection", {1.5, false, false, Start + 900ms}, 1.5},
      {"named by a check", {1.5, true, true, Start + 900ms}, 1.5},
      {"an answer without it",
       {std::nullopt, false, true, Start + 900ms},
       std::nullopt},
      {"a late answer to an earlier request",
       {std::nullopt, false, true, Start - 100ms},
       2.0},
      {"a rejection without it",
       {std::nullopt, false, false, Start + 900ms},
       2.0},
      {"a check without it", {std::nullopt, true, true, Start + 900ms}, 2.0},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    RequestLimit Limit;
    CHECK(observeLimit(Limit, {2.0, false, true, Start - 100ms}, Start));
    CHECK(observeLimit(Limit, Each.m_Seen, Start + 1s) ==
          (Each.m_PerSecond != 2.0));
    CHECK(Limit.m_PerSecond == Each.m_PerSecond);
  }
}

TEST_CASE("a check lifts a limit that checks have named") {
  RequestLimit Limit;
  CHECK(observeLimit(Limit, {2.0, true, true, Start - 10ms}, Start));
  CHECK_FALSE(
      observeLimit(Limit, {std::nullopt, true, false, Start + 10ms}, Start));
  CHECK(observeLimit(Limit, {std::nullopt, true, true, Start + 10ms}, Start));
  CHECK_FALSE(Limit.m_PerSecond);
}

TEST_CASE("a server that names no limit has none") {
  RequestLimit Limit;
  CHECK_FALSE(
      observeLimit(Limit, {std::nullopt, false, true, Start}, Start + 1s));
  CHECK_FALSE(Limit.m_PerSecond);
}
