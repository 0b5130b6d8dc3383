#include "Cases.h"
#include <random>

namespace hyssopcross::bench {

using namespace std::chrono_literals;
using testbed::Deciders;
using testbed::FaultKind;

namespace {

constexpr double SteadyLoads[] = {0.5, 0.7, 0.85, 1.0, 1.1};
constexpr double FaultLoads[] = {0.5, 0.7, 0.85, 1.1};

constexpr Case Cases[] = {
    {CaseKind::Steady, "steady", 4s, SteadyLoads},
    {CaseKind::SlowedServers, "slowed", 4s, FaultLoads},
    {CaseKind::SlowedIndependent, "slowed, redrawn", 4s, FaultLoads},
    {CaseKind::DataCentreOut, "data centre out", 9s, FaultLoads},
    {CaseKind::OwnerLost, "owner lost", 7s, FaultLoads},
};

constexpr Policy Policies[] = {
    {"default", Deciders::Owners, balancing::ChoicePolicy::OwnerQueue},
    {"two choices", Deciders::Everyone, balancing::ChoicePolicy::TwoChoices},
    {"two choices near", Deciders::EveryoneNearest,
     balancing::ChoicePolicy::TwoChoices},
    {"least reported", Deciders::Everyone,
     balancing::ChoicePolicy::LeastReported},
    {"probe pool", Deciders::Everyone, balancing::ChoicePolicy::ProbePool},
    {"random", Deciders::Everyone, balancing::ChoicePolicy::Random},
};

constexpr double SlowedFactor = 5.0;
constexpr Duration SlowedFor = 100ms;
constexpr Duration SlowedEvery = 300ms;

void addSlowedServers(testbed::Testbed &Bed, const Case &Case,
                      const testbed::SiteSize &Size, uint64_t Seed) {
  testbed::Layout Site = testbed::siteLayout(Size, 0, Seed);
  std::mt19937_64 Random(Seed);
  for (Duration At = SlowedEvery; At < Case.m_Length; At += SlowedEvery) {
    const std::string &Server =
        Site.m_Servers[Random() % Site.m_Servers.size()].m_Name;
    Bed.at(At, {FaultKind::Slow, Server, "", SlowedFor, SlowedFactor, true});
  }
}

} // namespace

std::span<const Case> allCases() { return Cases; }

std::span<const Policy> allPolicies() { return Policies; }

void addFaults(testbed::Testbed &Bed, const Case &Case,
               const testbed::SiteSize &Size, uint64_t Seed) {
  switch (Case.m_Kind) {
  case CaseKind::Steady:
    return;
  case CaseKind::SlowedServers:
  case CaseKind::SlowedIndependent:
    return addSlowedServers(Bed, Case, Size, Seed);
  case CaseKind::DataCentreOut:
    return Bed.at(2s, {FaultKind::DataCentreOut, "dc1", "", 3s, 0, true});
  case CaseKind::OwnerLost:
    Bed.at(2s, {FaultKind::Kill, "dc1-e1", "", 0s, 0, true});
    Bed.at(4s, {FaultKind::Freeze, "dc2-e1", "", 2s, 0, true});
    return;
  }
}

} // namespace hyssopcross::bench
