#include "Measure.h"
#include <algorithm>
#include <cmath>

namespace hyssopcross::bench {

using namespace std::chrono_literals;
using testbed::CallRecord;
using testbed::Told;

namespace {

constexpr Duration SampleEvery = 50ms;
constexpr size_t SamplesPerWindow = 40; // 2 s
/// Work that may wait, in samples of the servers' capacity.
constexpr double SamplesCarried = 2;
/// Time after the load's measured part in which calls may still end.
constexpr Duration Tail = 1s;

/// From a caller to a server of the nearest data centre and back.
constexpr Duration FixedDelay =
    2 * (testbed::Timing().m_Client + testbed::Timing().m_Local);

double toMilliseconds(Duration Length) {
  return std::chrono::duration<double, std::milli>(Length).count();
}

double quantile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  auto Rank = static_cast<size_t>(
      std::ceil(Share * static_cast<double>(Sorted.size())));
  return Sorted[std::clamp<size_t>(Rank, 1, Sorted.size()) - 1];
}

/// Work asked for, done, possible and due in one sample, in milliseconds.
struct Sample {
  double m_Asked = 0;
  double m_Done = 0;
  double m_Possible = 0;
  double m_Due = 0;
};

/// Work that one queue for all servers would have done in each sample, with at
/// most SamplesCarried of waiting work.
void addDue(std::vector<Sample> &Samples) {
  double Carried = 0;
  for (Sample &Sample : Samples) {
    double Offered = Sample.m_Asked + Carried;
    Sample.m_Due = std::min(Offered, Sample.m_Possible);
    double Most = Sample.m_Possible * SamplesCarried;
    Carried = std::min(Offered - Sample.m_Due, Most);
  }
}

double lowestService(const std::vector<Sample> &Samples) {
  double Lowest = 1;
  auto First = static_cast<size_t>(WarmUp / SampleEvery);
  for (size_t I = First; I + SamplesPerWindow <= Samples.size(); ++I) {
    double Due = 0;
    double Done = 0;
    for (size_t J = I; J < I + SamplesPerWindow; ++J) {
      Due += Samples[J].m_Due;
      Done += Samples[J].m_Done;
    }
    if (Due > 0)
      Lowest = std::min(Lowest, Done / Due);
  }
  return Lowest;
}

void addCalls(const testbed::Testbed &Bed, std::vector<Sample> &Samples) {
  for (const CallRecord &Call : Bed.ledger().m_Calls) {
    auto Asked =
        static_cast<size_t>((Call.m_Start - Bed.start()) / SampleEvery);
    if (Call.m_Service.empty() || Asked >= Samples.size())
      continue;
    double Work = toMilliseconds(Call.m_Work);
    Samples[Asked].m_Asked += Work;
    auto Done = static_cast<size_t>((Call.m_End - Bed.start()) / SampleEvery);
    if (Call.m_Told == Told::Completed && Done < Samples.size())
      Samples[Done].m_Done += Work;
  }
}

Figures evaluate(const testbed::Testbed &Bed, Duration Length) {
  Figures Result;
  std::vector<double> Latencies;
  std::vector<double> Alone;
  double Calls = 0;
  double CompletedInTime = 0;
  for (const CallRecord &Call : Bed.ledger().m_Calls) {
    Duration Until = Call.m_End - Bed.start();
    if (Call.m_Told == Told::Completed && Until >= WarmUp && Until < Length)
      ++CompletedInTime;
    Duration Since = Call.m_Start - Bed.start();
    if (Call.m_Service.empty() || Since < WarmUp || Since >= Length)
      continue;
    ++Calls;
    Alone.push_back(toMilliseconds(Call.m_Work + FixedDelay));
    if (Call.m_Told == Told::Completed)
      Latencies.push_back(toMilliseconds(Call.m_End - Call.m_Start));
    else if (Call.m_Told == Told::NotRun)
      ++Result.m_NotRun;
    else
      ++Result.m_Unknown;
  }
  std::ranges::sort(Latencies);
  std::ranges::sort(Alone);
  Result.m_AloneP99 = quantile(Alone, 0.99);
  Result.m_P50 = quantile(Latencies, 0.5);
  Result.m_P99 = quantile(Latencies, 0.99);
  Result.m_P999 = quantile(Latencies, 0.999);
  std::chrono::duration<double> Measured = Length - WarmUp;
  Result.m_Goodput = CompletedInTime / Measured.count();
  Result.m_NotRun /= std::max(Calls, 1.0);
  Result.m_Unknown /= std::max(Calls, 1.0);
  return Result;
}

} // namespace

Figures measure(const RunSpec &Spec) {
  testbed::Layout Site =
      testbed::siteLayout(*Spec.m_Size, Spec.m_Load, Spec.m_Seed);
  Site.m_Deciders = Spec.m_Policy->m_Deciders;
  Site.m_IndependentAttempts =
      Spec.m_Case->m_Kind == CaseKind::SlowedIndependent;
  Site.m_Policy.m_Choice = Spec.m_Policy->m_Choice;
  testbed::Testbed Bed(Site);
  addFaults(Bed, *Spec.m_Case, *Spec.m_Size, Spec.m_Seed);
  std::vector<Sample> Samples(
      static_cast<size_t>(Spec.m_Case->m_Length / SampleEvery));
  Duration At{};
  for (Sample &Sample : Samples) {
    Sample.m_Possible =
        Bed.warmSlots(Spec.m_Size->m_Service) * toMilliseconds(SampleEvery);
    Bed.runUntil(At += SampleEvery);
  }
  Bed.runUntil(Spec.m_Case->m_Length + Tail);
  addCalls(Bed, Samples);
  addDue(Samples);
  Figures Result = evaluate(Bed, Spec.m_Case->m_Length);
  Result.m_LowestService = lowestService(Samples);
  return Result;
}

Figures medianOf(std::span<const Figures> Runs) {
  auto Median = [Runs](double Figures::*Field) {
    std::vector<double> Values;
    for (const Figures &Run : Runs)
      Values.push_back(Run.*Field);
    std::ranges::sort(Values);
    return Values[Values.size() / 2];
  };
  Figures Result;
  for (double Figures::*Field :
       {&Figures::m_P50, &Figures::m_P99, &Figures::m_P999,
        &Figures::m_AloneP99, &Figures::m_Goodput, &Figures::m_NotRun,
        &Figures::m_Unknown, &Figures::m_LowestService})
    Result.*Field = Median(Field);
  return Result;
}

} // namespace hyssopcross::bench
