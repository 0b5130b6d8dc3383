#include "MoneyWorld.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <stdexcept>

using namespace hyssopcross;
using namespace hyssopcross::claims;
using namespace hyssopcross::claims::testing;

namespace {

struct BrokenInvariant : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void throwBroken(std::string_view What) {
  throw BrokenInvariant(std::string(What));
}

std::string runOnce(uint64_t Seed, Faults Rates, const ClaimPolicy &Policy) {
  InvariantHandler Previous = setInvariantHandler(throwBroken);
  std::string Wrong;
  try {
    Wrong = MoneyWorld(Seed, Rates, Policy).run();
  } catch (const BrokenInvariant &Broken) {
    Wrong = Broken.what();
  }
  setInvariantHandler(Previous);
  return Wrong;
}

Faults drawFaults() {
  Faults Rates;
  Rates.m_LostPercent = *rc::gen::inRange(0U, 60U);
  Rates.m_Outages = *rc::gen::inRange(0U, 5U);
  Rates.m_Crashes = *rc::gen::inRange(0U, 10U);
  Rates.m_StepCrashes = *rc::gen::inRange(0U, 20U);
  Rates.m_Freezes = *rc::gen::inRange(0U, 8U);
  Rates.m_ShedPercent = *rc::gen::inRange(0U, 60U);
  Rates.m_BrokenPercent = *rc::gen::inRange(0U, 50U);
  Rates.m_RefusedPercent = *rc::gen::inRange(0U, 60U);
  return Rates;
}

/// Runs per property; the environment asks for longer ones.
int runCount() {
  const char *Asked = std::getenv("HYSSOPCROSS_TEST_RUNS");
  return Asked ? std::atoi(Asked) : 300;
}

/// Draws fault rates and seeds; the same on every run.
bool holds(const ClaimPolicy &Policy, int Runs, bool Print,
           std::string &Wrong) {
  auto Property = [&] {
    Faults Rates = drawFaults();
    auto Seed = *rc::gen::inRange<uint64_t>(1, 1000000);
    Wrong = runOnce(Seed, Rates, Policy);
    if (!Wrong.empty())
      RC_FAIL(Wrong);
  };
  rc::detail::TestParams Params;
  Params.seed = 20;
  Params.maxSuccess = Runs;
  Params.disableShrinking = !Print;
  auto Result =
      rc::detail::checkTestable(Property, rc::detail::TestMetadata(), Params);
  if (Print)
    rc::detail::printResultMessage(Result, std::cerr);
  return Result.template is<rc::detail::SuccessResult>();
}

} // namespace

TEST_CASE("money runs at most once under faults, and not-run is true") {
  std::string Wrong;
  CHECK(holds({}, runCount(), true, Wrong));
}

TEST_CASE("without a mechanism the same runs fail") {
  struct Row {
    std::string m_Mechanism;
    bool ClaimPolicy::*m_Switch;
  };
  const Row Rows[] = {
      {"claim before send", &ClaimPolicy::m_ClaimBeforeSend},
      {"never take over", &ClaimPolicy::m_NeverTakeOver},
      {"read back lost writes", &ClaimPolicy::m_ReadBackLostWrites},
      {"withdraw before not-run", &ClaimPolicy::m_WithdrawBeforeNotRun},
      {"fence lost writes", &ClaimPolicy::m_FenceLostWrites},
      {"check send window", &ClaimPolicy::m_CheckSendWindow},
      {"compare digest", &ClaimPolicy::m_CompareDigest},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Mechanism);
    ClaimPolicy Policy;
    Policy.*Case.m_Switch = false;
    std::string Wrong;
    CHECK_FALSE(holds(Policy, 300, false, Wrong));
    MESSAGE(Case.m_Mechanism << " off: " << Wrong);
  }
}
