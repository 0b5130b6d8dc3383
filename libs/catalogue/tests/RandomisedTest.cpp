#include "CatalogueWorld.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <stdexcept>

using namespace hyssopcross;
using namespace hyssopcross::catalogue;
using namespace hyssopcross::catalogue::testing;

namespace {

struct BrokenInvariant : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void throwBroken(std::string_view What) {
  throw BrokenInvariant(std::string(What));
}

struct Policies {
  EditorPolicy m_Editor;
  FollowerPolicy m_Follower;
};

std::string runOnce(uint64_t Seed, Faults Rates, const Policies &With) {
  InvariantHandler Previous = setInvariantHandler(throwBroken);
  std::string Wrong;
  try {
    Wrong = CatalogueWorld(Seed, Rates, With.m_Editor, With.m_Follower).run();
  } catch (const BrokenInvariant &Broken) {
    Wrong = Broken.what();
  }
  setInvariantHandler(Previous);
  return Wrong;
}

/// Runs per property; the environment asks for longer ones.
int runCount() {
  const char *Asked = std::getenv("HYSSOPCROSS_TEST_RUNS");
  return Asked ? std::atoi(Asked) : 100;
}

bool holds(const Policies &With, int Runs, bool Print, std::string &Wrong) {
  auto Property = [&] {
    Faults Rates;
    Rates.m_LostPercent = *rc::gen::inRange(0U, 60U);
    Rates.m_Outages = *rc::gen::inRange(0U, 4U);
    Rates.m_Partitions = *rc::gen::inRange(0U, 8U);
    Rates.m_Restarts = *rc::gen::inRange(0U, 6U);
    Rates.m_SlowStore = *rc::gen::inRange(0U, 3U);
    Rates.m_Races = *rc::gen::inRange(0U, 15U);
    auto Seed = *rc::gen::inRange<uint64_t>(1, 1000000);
    Wrong = runOnce(Seed, Rates, With);
    if (!Wrong.empty())
      RC_FAIL(Wrong);
  };
  rc::detail::TestParams Params;
  Params.seed = 30;
  Params.maxSuccess = Runs;
  Params.disableShrinking = !Print;
  auto Result =
      rc::detail::checkTestable(Property, rc::detail::TestMetadata(), Params);
  if (Print)
    rc::detail::printResultMessage(Result, std::cerr);
  return Result.template is<rc::detail::SuccessResult>();
}

} // namespace

TEST_CASE("accepted changes last and are in force everywhere") {
  std::string Wrong;
  CHECK(holds({}, runCount(), true, Wrong));
}

TEST_CASE("without a mechanism the same runs fail") {
  struct Row {
    std::string m_Mechanism;
    void (*m_SwitchOff)(Policies &);
  };
  const Row Rows[] = {
      {"read back lost commits",
       [](Policies &With) { With.m_Editor.m_ReadBackLostCommits = false; }},
      {"check head version",
       [](Policies &With) { With.m_Editor.m_CheckHeadVersion = false; }},
      {"rebase edits",
       [](Policies &With) { With.m_Editor.m_RebaseEdits = false; }},
      {"never go back",
       [](Policies &With) { With.m_Follower.m_NeverGoBack = false; }},
      {"announce to peers",
       [](Policies &With) { With.m_Follower.m_AnnounceToPeers = false; }},
      {"poll head", [](Policies &With) { With.m_Follower.m_PollHead = false; }},
      {"stop unconfirmed",
       [](Policies &With) { With.m_Follower.m_StopUnconfirmed = false; }},
  };
  for (const Row &Case : Rows) {
    Policies With;
    Case.m_SwitchOff(With);
    std::string Wrong;
    CAPTURE(Case.m_Mechanism);
    CHECK_FALSE(holds(With, 100, false, Wrong));
    MESSAGE(Case.m_Mechanism << " off: " << Wrong);
  }
}

TEST_CASE("two changes whose committer dies are in force soon, cheaply") {
  constexpr uint64_t Runs = 50;
  std::vector<Duration> Spreads;
  uint64_t Announced = 0;
  uint64_t Fetched = 0;
  for (uint64_t Seed = 1; Seed <= Runs; ++Seed) {
    CatalogueWorld World(Seed, {0, 0, 0, 0, 0, 0}, {}, {});
    CHECK(World.run() == "");
    Spreads.push_back(World.m_LastSpread);
    Announced += World.m_Announced;
    Fetched += World.m_Fetched;
  }
  std::sort(Spreads.begin(), Spreads.end());
  MESSAGE("runs=" << Runs << " vms=30 spread_p50_ms="
                  << Spreads[Runs / 2].count() / 1000000
                  << " spread_max_ms=" << Spreads.back().count() / 1000000
                  << " announced_per_run=" << Announced / Runs
                  << " fetched_per_run=" << Fetched / Runs);
}
