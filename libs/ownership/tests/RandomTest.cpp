#include "World.h"
#include "hyssopcross/base/Invariant.h"
#include <doctest/doctest.h>
#include <iostream>
#include <rapidcheck.h>

namespace hyssopcross::ownership {

std::ostream &operator<<(std::ostream &Out, const Fault &Shown) {
  return Out << "Fault{kind=" << static_cast<int>(Shown.m_Kind)
             << " vm=" << Shown.m_Vm << " at=" << Shown.m_At
             << " length=" << Shown.m_Length << "}";
}

} // namespace hyssopcross::ownership

using namespace hyssopcross;
using namespace hyssopcross::ownership;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t RunTenths = 700;

World::Setup randomSetup(uint64_t Seed) {
  World::Setup Setup;
  Setup.m_Seed = Seed;
  Setup.m_Vms = {"a", "a", "a", "a", "b"};
  Setup.m_Pools = {{"boletas", "a"}, {"caja", "a"}, {"boletas", "b"}};
  Setup.m_Policy.m_Extension = 15s;
  Setup.m_Policy.m_SettleTime = 5s;
  Setup.m_LateVm = 1;
  Setup.m_LateAt = 150;
  return Setup;
}

rc::Gen<Fault> anyFault() {
  auto Kind = rc::gen::map(rc::gen::inRange(0, 11), [](int Value) {
    return static_cast<FaultKind>(Value);
  });
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::m_Kind, Kind),
      rc::gen::set(&Fault::m_Vm, rc::gen::inRange<uint32_t>(0, 5)),
      rc::gen::set(&Fault::m_At, rc::gen::inRange<uint32_t>(30, 500)),
      rc::gen::set(&Fault::m_Length, rc::gen::inRange<uint32_t>(1, 250)));
}

/// The invariant handler of the randomised runs.
void throwBroken(std::string_view What) {
  throw std::runtime_error(std::string(What));
}

rc::detail::TestResult
runMany(uint64_t Seed, int Runs, bool Shrink,
        const std::function<void(World::Setup &)> &Edit) {
  InvariantHandler Before = setInvariantHandler(throwBroken);
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Runs;
  Params.disableShrinking = !Shrink;
  auto Property = [&Edit] {
    auto Faults = *rc::gen::container<std::vector<Fault>>(anyFault());
    auto WorldSeed = *rc::gen::inRange<uint64_t>(1, 1000000);
    World::Setup Setup = randomSetup(WorldSeed);
    Edit(Setup);
    World Run(Setup);
    for (size_t Index = 0; Index < std::min<size_t>(Faults.size(), 12); ++Index)
      Run.inject(Faults[Index]);
    Run.runUntil(RunTenths);
    if (!Run.m_Broken.empty())
      RC_FAIL(Run.m_Broken);
  };
  auto Result = rc::detail::checkTestable(
      Property, rc::detail::TestMetadata{"leases", "leases"}, Params);
  setInvariantHandler(Before);
  return Result;
}

} // namespace

TEST_CASE("no pool ever has two confirmed owners, whatever fails") {
  for (uint64_t Seed : {1, 2, 3}) {
    CAPTURE(Seed);
    auto Result = runMany(Seed, 60, true, [](World::Setup &) {});
    bool Held = Result.is<rc::detail::SuccessResult>();
    if (!Held)
      rc::detail::printResultMessage(Result, std::cerr);
    CHECK(Held);
  }
}

TEST_CASE("nor with clocks that run far apart, within the bound") {
  auto Result = runMany(8, 60, true, [](World::Setup &Setup) {
    Setup.m_Drift = Setup.m_Policy.m_Drift = 0.2;
  });
  CHECK(Result.is<rc::detail::SuccessResult>());
}

TEST_CASE("each mechanism is needed: without it a run finds two owners") {
  struct Row {
    std::string m_Name;
    std::function<void(World::Setup &)> m_Edit;
    int m_Runs;
  };
  const Row Rows[] = {
      {"taking without waiting the time to live",
       [](auto &Setup) { Setup.m_Policy.m_WaitTimeToLive = false; }, 100},
      {"promises unchecked",
       [](auto &Setup) { Setup.m_Policy.m_CheckPromises = false; }, 200},
      {"no wait for the extension",
       [](auto &Setup) { Setup.m_Policy.m_WaitExtension = false; }, 400},
      {"old incarnations taken for the own",
       [](auto &Setup) { Setup.m_Policy.m_IgnoreOldIncarnations = false; },
       200},
      {"clock not checked",
       [](auto &Setup) { Setup.m_Policy.m_CheckClock = false; }, 100},
      {"drift not allowed for",
       [](auto &Setup) {
         Setup.m_Drift = Setup.m_Policy.m_Drift = 0.2;
         Setup.m_Policy.m_AllowDrift = false;
       },
       300},
      {"electors named without their run",
       [](auto &Setup) { Setup.m_Policy.m_ElectRuns = false; }, 400},
      {"unknown writes taken for committed",
       [](auto &Setup) { Setup.m_Policy.m_ReadBack = false; }, 200},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    auto Result = runMany(7, Case.m_Runs, false, Case.m_Edit);
    CHECK(!Result.is<rc::detail::SuccessResult>());
  }
}
