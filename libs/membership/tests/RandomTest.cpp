#include "Fleet.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <iostream>
#include <rapidcheck.h>

namespace hyssopcross::membership {

enum class FaultKind { Kill, Restart, Freeze, Stop, Join, Partition, Split };

/// One fault, injected m_Wait seconds after the previous one.
struct Fault {
  FaultKind m_Kind = FaultKind::Kill;
  uint32_t m_Vm = 0;
  uint32_t m_Wait = 0;
  uint32_t m_Length = 0;
};

std::ostream &operator<<(std::ostream &Out, const Fault &Shown) {
  return Out << "Fault{kind=" << static_cast<int>(Shown.m_Kind)
             << " vm=" << Shown.m_Vm << " wait=" << Shown.m_Wait
             << " length=" << Shown.m_Length << "}";
}

} // namespace hyssopcross::membership

using namespace hyssopcross;
using namespace hyssopcross::membership;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t Vms = 8;

/// Time within which all views converge after the last fault has ended.
constexpr Duration ConvergenceTime = 90s;

rc::Gen<Fault> anyFault() {
  auto Kind = rc::gen::map(rc::gen::inRange(0, 7), [](int Value) {
    return static_cast<FaultKind>(Value);
  });
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::m_Kind, Kind),
      rc::gen::set(&Fault::m_Vm, rc::gen::inRange<uint32_t>(0, Vms)),
      rc::gen::set(&Fault::m_Wait, rc::gen::inRange<uint32_t>(0, 15)),
      rc::gen::set(&Fault::m_Length, rc::gen::inRange<uint32_t>(1, 30)));
}

std::string nameOf(uint32_t Index) { return "vm-" + std::to_string(Index); }

void inject(Fleet &Run, const Fault &Injected, size_t Number) {
  std::string Name = nameOf(Injected.m_Vm);
  Duration Length = std::chrono::seconds(Injected.m_Length);
  switch (Injected.m_Kind) {
  case FaultKind::Kill:
    Run.kill(Name);
    return;
  case FaultKind::Restart:
    Run.restart(Name);
    return;
  case FaultKind::Freeze:
    Run.freeze(Name, Length);
    return;
  case FaultKind::Stop:
    Run.stop(Name);
    return;
  case FaultKind::Join:
    Run.start("vm-new-" + std::to_string(Number), "dc-0", Length);
    return;
  case FaultKind::Partition:
    Run.partition(
        [](const VmInfo &From, const VmInfo &To) {
          return From.m_DataCentre != To.m_DataCentre;
        },
        Length);
    return;
  case FaultKind::Split:
    Run.partition(
        [Name](const VmInfo &From, const VmInfo &To) {
          return (From.m_Name < Name) != (To.m_Name < Name);
        },
        Length);
    return;
  }
}

rc::detail::TestResult runMany(uint64_t Seed, int Runs,
                               const MembershipPolicy &Policy) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Runs;
  auto Property = [&Policy] {
    auto Faults = *rc::gen::container<std::vector<Fault>>(anyFault());
    Fleet Run(Policy, *rc::gen::inRange<uint64_t>(1, 1000000));
    Run.m_Loss = 2;
    for (uint32_t Index = 0; Index < Vms; ++Index)
      Run.start(nameOf(Index), "dc-" + std::to_string(Index % 2));
    Run.run(20s);
    for (size_t Index = 0; Index < std::min<size_t>(Faults.size(), 10);
         ++Index) {
      Run.run(std::chrono::seconds(Faults[Index].m_Wait));
      inject(Run, Faults[Index], Index);
    }
    // 60 s covers the longest fault and the time that the list still contains a
    // killed VM.
    Run.run(60s + ConvergenceTime);
    std::string Problem = Run.disagreement();
    if (!Problem.empty())
      RC_FAIL(Problem);
  };
  return rc::detail::checkTestable(
      Property, rc::detail::TestMetadata{"membership", "membership"}, Params);
}

} // namespace

TEST_CASE("views of all live VMs converge after random faults") {
  for (uint64_t Seed : {1, 2}) {
    CAPTURE(Seed);
    auto Result = runMany(Seed, 40, {});
    bool Held = Result.is<rc::detail::SuccessResult>();
    if (!Held)
      rc::detail::printResultMessage(Result, std::cerr);
    CHECK(Held);
  }
}

TEST_CASE("views do not converge if changes are not forwarded") {
  MembershipPolicy Policy;
  Policy.m_ForwardChanges = false;
  Policy.m_BytesPerSecond = 300;
  CHECK(!runMany(3, 40, Policy).is<rc::detail::SuccessResult>());
}
