#include "Measures.h"
#include <algorithm>
#include <cmath>

namespace hyssopcross::scenario {

using testbed::ArrivalRecord;
using testbed::CallRecord;
using testbed::Told;

namespace {

using Calls = std::vector<const CallRecord *>;

double toMilliseconds(Duration Length) {
  return std::chrono::duration<double, std::milli>(Length).count();
}

bool matches(const std::string &Wanted, const std::string &Name) {
  return Wanted.empty() || Wanted == Name;
}

bool isWithin(const Expectation &Expected, const Scenario &Scenario,
              Duration Since) {
  return Since >= Expected.m_From &&
         Since < Expected.m_To.value_or(Scenario.m_Length);
}

Calls selectCalls(const Expectation &Expected, const Scenario &Scenario,
                  const testbed::Testbed &Bed) {
  Calls Selected;
  for (const CallRecord &Call : Bed.ledger().m_Calls)
    if (!Call.m_Service.empty() &&
        matches(Expected.m_Service, Call.m_Service) &&
        matches(Expected.m_DataCentre, Call.m_DataCentre) &&
        matches(Expected.m_ShareKey, Call.m_ShareKey) &&
        isWithin(Expected, Scenario, Call.m_Start - Bed.start()))
      Selected.push_back(&Call);
  return Selected;
}

std::vector<ArrivalRecord> selectArrivals(const Expectation &Expected,
                                          const Scenario &Scenario,
                                          const testbed::Testbed &Bed) {
  std::vector<ArrivalRecord> Selected;
  for (const testbed::ServerLayout &Server : Scenario.m_Layout.m_Servers) {
    auto Known = Bed.ledger().m_Arrivals.find(Server.m_Name);
    bool Wanted = matches(Expected.m_Server, Server.m_Name) &&
                  matches(Expected.m_Service, Server.m_Service) &&
                  matches(Expected.m_DataCentre, Server.m_DataCentre);
    if (!Wanted || Known == Bed.ledger().m_Arrivals.end())
      continue;
    for (const ArrivalRecord &Arrival : Known->second)
      if (isWithin(Expected, Scenario, Arrival.m_When - Bed.start()))
        Selected.push_back(Arrival);
  }
  return Selected;
}

template <typename Predicate> double count(const Calls &Calls, Predicate Is) {
  return static_cast<double>(std::ranges::count_if(
      Calls, [&Is](const auto *Call) { return Is(*Call); }));
}

template <typename Predicate>
std::optional<double> share(const Calls &Calls, Predicate Is) {
  if (Calls.empty())
    return std::nullopt;
  return count(Calls, Is) / static_cast<double>(Calls.size());
}

std::vector<double> sortedLatencies(const Calls &Calls, Told Told) {
  std::vector<double> Latencies;
  for (const CallRecord *Call : Calls)
    if (Call->m_Told == Told)
      Latencies.push_back(toMilliseconds(Call->m_End - Call->m_Start));
  std::ranges::sort(Latencies);
  return Latencies;
}

std::optional<double> latency(const Calls &Calls, Told Told, double Share) {
  std::vector<double> Sorted = sortedLatencies(Calls, Told);
  if (Sorted.empty())
    return std::nullopt;
  auto Rank = static_cast<size_t>(
      std::ceil(Share * static_cast<double>(Sorted.size())));
  return Sorted[std::clamp<size_t>(Rank, 1, Sorted.size()) - 1];
}

std::optional<double> shortestRetryAfter(const Calls &Calls) {
  std::optional<double> Shortest;
  for (const CallRecord *Call : Calls) {
    if (Call->m_Told != Told::NotRun)
      continue;
    double Wait = toMilliseconds(Call->m_RetryAfter);
    Shortest = std::min(Shortest.value_or(Wait), Wait);
  }
  return Shortest;
}

double countDuplicates(const Calls &Calls) {
  double Duplicates = 0;
  for (const CallRecord *Call : Calls)
    if (Call->m_Class == catalogue::ServiceClass::Money && Call->m_Runs > 1)
      Duplicates += Call->m_Runs - 1;
  return Duplicates;
}

std::optional<double> evaluateCalls(Measure Measure, const Calls &Calls) {
  auto Is = [](Told Told) {
    return [Told](const CallRecord &Call) { return Call.m_Told == Told; };
  };
  switch (Measure) {
  case Measure::Calls:
    return static_cast<double>(Calls.size());
  case Measure::CompletedShare:
    return share(Calls, Is(Told::Completed));
  case Measure::NotRunShare:
    return share(Calls, Is(Told::NotRun));
  case Measure::UnknownShare:
    return share(Calls, [](const CallRecord &Call) {
      return Call.m_Told == Told::Unknown || Call.m_Told == Told::TimedOut ||
             Call.m_Told == Told::Nothing;
    });
  case Measure::P50Milliseconds:
    return latency(Calls, Told::Completed, 0.5);
  case Measure::P99Milliseconds:
    return latency(Calls, Told::Completed, 0.99);
  case Measure::SlowestRefusalMilliseconds:
    return latency(Calls, Told::NotRun, 1.0);
  case Measure::ShortestRetryAfterMilliseconds:
    return shortestRetryAfter(Calls);
  case Measure::NotRunButRan:
    return count(Calls, [](const CallRecord &Call) {
      return Call.m_Told == Told::NotRun && Call.m_Runs > 0;
    });
  case Measure::DuplicateRuns:
    return countDuplicates(Calls);
  default:
    return count(Calls,
                 [](const CallRecord &Call) { return Call.m_Mismatched; });
  }
}

double evaluateArrivals(Measure Measure,
                        const std::vector<ArrivalRecord> &Arrivals) {
  double Shed = 0;
  uint32_t MostInFlight = 0;
  uint32_t MostCold = 0;
  for (const ArrivalRecord &Arrival : Arrivals) {
    Shed += Arrival.m_Shed ? 1 : 0;
    MostInFlight = std::max(MostInFlight, Arrival.m_InFlight);
    if (Arrival.m_Cold)
      MostCold = std::max(MostCold, Arrival.m_InFlight);
  }
  double All = static_cast<double>(Arrivals.size());
  switch (Measure) {
  case Measure::Received:
    return All;
  case Measure::Accepted:
    return All - Shed;
  case Measure::Shed:
    return Shed;
  case Measure::MaxInFlight:
    return MostInFlight;
  default:
    return MostCold;
  }
}

} // namespace

std::optional<double> evaluate(const Expectation &Expected,
                               const Scenario &Scenario,
                               const testbed::Testbed &Bed) {
  switch (Expected.m_Measure) {
  case Measure::Received:
  case Measure::Accepted:
  case Measure::Shed:
  case Measure::MaxInFlight:
  case Measure::MaxInFlightCold:
    return evaluateArrivals(Expected.m_Measure,
                            selectArrivals(Expected, Scenario, Bed));
  case Measure::ProbesPerSecond: {
    std::chrono::duration<double> Length = Scenario.m_Length;
    auto Servers = static_cast<double>(Scenario.m_Layout.m_Servers.size());
    return static_cast<double>(Bed.ledger().m_Probes) /
           (Length.count() * std::max(Servers, 1.0));
  }
  case Measure::HandOvers:
    return static_cast<double>(Bed.ledger().m_HandOvers);
  default:
    return evaluateCalls(Expected.m_Measure,
                         selectCalls(Expected, Scenario, Bed));
  }
}

} // namespace hyssopcross::scenario
