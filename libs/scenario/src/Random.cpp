#include "hyssopcross/scenario/Random.h"
#include "hyssopcross/base/Invariant.h"
#include <random>

namespace hyssopcross::scenario {

using namespace std::chrono_literals;
using testbed::Fault;
using testbed::FaultKind;
using testbed::TargetKind;

namespace {

constexpr Duration FaultsFrom = 1s;
constexpr Duration FaultsUntil = 6s;
constexpr Duration LongestFault = 3s;
constexpr Duration RecoveredAt = 20s;
constexpr Duration RunLength = 22s;
constexpr uint32_t MostFaults = 8;
constexpr double RecoveredShare = 0.98;

/// The random numbers of one scenario.
struct Draw {
  std::mt19937_64 m_Random;

  uint64_t below(uint64_t Bound) { return m_Random() % Bound; }

  Duration between(Duration Low, Duration High) {
    auto Steps = static_cast<uint64_t>((High - Low) / 1ms);
    return Low + static_cast<int64_t>(below(Steps)) * 1ms;
  }

  template <typename Item> const Item &pick(const std::vector<Item> &Items) {
    return Items[below(Items.size())];
  }
};

testbed::Layout randomLayout(Draw &Draw) {
  testbed::Layout Site;
  Site.m_DataCentres = {"a", "b", "c"};
  testbed::ServiceLayout Service;
  Service.m_Entry.m_Name = "parts";
  Service.m_Entry.m_Class = Draw.below(2) == 0 ? catalogue::ServiceClass::Lookup
                                               : catalogue::ServiceClass::Money;
  Site.m_Services = {Service};
  double PerSecond = 50.0 + static_cast<double>(Draw.below(200));
  for (const std::string &DataCentre : Site.m_DataCentres) {
    for (const char *Number : {"1", "2"})
      Site.m_Entries.push_back({DataCentre + Number, DataCentre});
    for (const char *Number : {"1", "2", "3"})
      Site.m_Servers.push_back(
          {"s" + DataCentre + Number, "parts", DataCentre, false});
    testbed::LoadLayout Load;
    Load.m_Service = "parts";
    Load.m_DataCentre = DataCentre;
    Load.m_ShareKey = DataCentre;
    Load.m_CallsPerSecond = PerSecond;
    Site.m_Loads.push_back(Load);
  }
  return Site;
}

std::string randomTarget(Draw &Draw, const testbed::Layout &Site,
                         TargetKind Kind) {
  switch (Kind) {
  case TargetKind::None:
    return {};
  case TargetKind::Entry:
    return Draw.pick(Site.m_Entries).m_Name;
  case TargetKind::Server:
    return Draw.pick(Site.m_Servers).m_Name;
  case TargetKind::Party:
    return Draw.below(2) == 0 ? Draw.pick(Site.m_Entries).m_Name
                              : Draw.pick(Site.m_Servers).m_Name;
  case TargetKind::DataCentre:
  case TargetKind::Key:
    return Draw.pick(Site.m_DataCentres);
  case TargetKind::Service:
    return "parts";
  }
  return {};
}

double randomAmount(Draw &Draw, FaultKind Kind) {
  switch (Kind) {
  case FaultKind::Slow:
    return 2.0 + static_cast<double>(Draw.below(10));
  case FaultKind::LimitConcurrency:
    return 4.0 + static_cast<double>(Draw.below(3));
  case FaultKind::LoadBurst:
  case FaultKind::NoisyNeighbour:
    return 2.0 + static_cast<double>(Draw.below(6));
  default:
    return 1.0 + static_cast<double>(Draw.below(200));
  }
}

TimedFault randomFault(Draw &Draw, const testbed::Layout &Site) {
  const testbed::FaultWord &Word =
      testbed::faultWords()[Draw.below(testbed::faultWords().size())];
  TimedFault Timed;
  Timed.m_At = Draw.between(FaultsFrom, FaultsUntil);
  Fault &Fault = Timed.m_Fault;
  Fault.m_Kind = Word.m_Kind;
  Fault.m_Target = randomTarget(Draw, Site, Word.m_Target);
  bool Between =
      Word.m_Kind == FaultKind::Cut || Word.m_Kind == FaultKind::Delay;
  if (Between)
    Fault.m_Other = randomTarget(Draw, Site, Word.m_Target);
  Fault.m_For = Draw.between(1ms, LongestFault);
  if (!Word.m_Amount.empty())
    Fault.m_Amount = randomAmount(Draw, Word.m_Kind);
  Fault.m_BothWays = Draw.below(2) == 0;
  return Timed;
}

Expectation expectAtMost(Measure Measure, double Max) {
  Expectation Expected;
  Expected.m_Measure = Measure;
  Expected.m_Max = Max;
  return Expected;
}

/// Thrown by the invariant handler while a random scenario runs.
struct BrokenInvariant {
  std::string m_What;
};

void throwBroken(std::string_view What) {
  throw BrokenInvariant{std::string(What)};
}

} // namespace

Scenario randomScenario(uint64_t Seed) {
  Draw Draw{std::mt19937_64(Seed)};
  Scenario Random;
  Random.m_Name = "random faults of seed " + std::to_string(Seed);
  Random.m_Layout = randomLayout(Draw);
  Random.m_Layout.m_Seed = static_cast<uint32_t>(Seed);
  Random.m_Length = RunLength;
  for (uint64_t Left = 1 + Draw.below(MostFaults); Left > 0; --Left)
    Random.m_Faults.push_back(randomFault(Draw, Random.m_Layout));
  for (Measure Never :
       {Measure::NotRunButRan, Measure::DuplicateRuns, Measure::Mismatched})
    Random.m_Expectations.push_back(expectAtMost(Never, 0));
  Random.m_Expectations.push_back(expectAtMost(Measure::ProbesPerSecond, 2));
  Expectation Recovered;
  Recovered.m_Measure = Measure::CompletedShare;
  Recovered.m_Min = RecoveredShare;
  Recovered.m_From = RecoveredAt;
  Random.m_Expectations.push_back(Recovered);
  return Random;
}

std::vector<std::string> findFailures(const Scenario &Scenario) {
  std::vector<std::string> Failures;
  InvariantHandler Previous = setInvariantHandler(throwBroken);
  try {
    for (const Check &Check : runScenario(Scenario))
      if (!Check.m_Met)
        Failures.push_back(describe(Check));
  } catch (const BrokenInvariant &Broken) {
    Failures.push_back("invariant: " + Broken.m_What);
  }
  setInvariantHandler(Previous);
  return Failures;
}

Scenario shrink(Scenario Failing) {
  for (size_t I = Failing.m_Faults.size(); I-- > 0;) {
    Scenario Smaller = Failing;
    Smaller.m_Faults.erase(Smaller.m_Faults.begin() +
                           static_cast<std::ptrdiff_t>(I));
    if (!findFailures(Smaller).empty())
      Failing = std::move(Smaller);
  }
  return Failing;
}

} // namespace hyssopcross::scenario
