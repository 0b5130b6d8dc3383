// Plans of data centres whose demand varies with different phases, without a
// network: reports take time and may be lost.
#include "hyssopcross/overflow/Plan.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <numbers>
#include <random>

using namespace hyssopcross;
using namespace hyssopcross::overflow;
using namespace std::chrono_literals;

namespace {

constexpr Duration Tick = 100ms;
constexpr Duration PlanInterval = 500ms;
constexpr Duration Period = 60s;
/// Time within which a data centre knows its own load.
constexpr Duration OwnAge = 500ms;
/// Two whole periods; the first seconds, in which plans begin, do not count.
constexpr Duration Begin = 5s;
constexpr Duration End = 125s;

/// Load of a service in several data centres.
struct Load {
  const char *m_Name;
  std::vector<double> m_Capacity;
  /// Mean and amplitude of the demand as a share of the own capacity, and the
  /// part of a period by which each data centre is behind the one before.
  double m_Mean = 1.05;
  /// Mean of each data centre instead, if not empty.
  std::vector<double> m_Means{};
  double m_Amplitude = 0.55;
  double m_Phase = 1.0 / 3;
  Duration m_Age = 50ms;
  double m_Loss = 0;
  double m_Noise = 0;
  /// The first two data centres do not hear each other.
  bool m_IsCut = false;
  /// The last data centre, its callers included, is gone from this time on.
  Duration m_GoneAt = Duration::max();
};

struct Outcome {
  double m_Demand = 0;
  double m_Served = 0;
  double m_BestServed = 0;
  double m_Sent = 0;
  double m_LeastSent = 0;
  /// Sum of all changes of shares, per data centre and period.
  double m_Movement = 0;
  double m_MaxStep = 0;
  /// Longest time in which load left without shortage.
  Duration m_LongestNeedless{};
};

double demandAt(const Load &At, size_t I, Duration Time) {
  double Phase = std::chrono::duration<double>(Time) / Period -
                 At.m_Phase * static_cast<double>(I);
  return At.m_Capacity[I] *
         ((At.m_Means.empty() ? At.m_Mean : At.m_Means[I]) +
          At.m_Amplitude * std::sin(2 * std::numbers::pi * Phase));
}

/// The least load that has to move for the most to be served, found without the
/// module. With a cut pair of three, all load passes from or to the third.
double bestMoved(const std::vector<double> &Room, bool IsCut) {
  auto Sum = [&Room](size_t Count, double Sign) {
    double Total = 0;
    for (size_t I = 0; I < Count; ++I)
      Total += std::max(0.0, Sign * Room[I]);
    return Total;
  };
  if (!IsCut)
    return std::min(Sum(Room.size(), 1), Sum(Room.size(), -1));
  if (Room.size() < 3)
    return 0;
  return Room[2] > 0 ? std::min(Room[2], Sum(2, -1))
                     : std::min(-Room[2], Sum(2, 1));
}

Outcome simulate(const Load &At, uint32_t Seed) {
  const OverflowPolicy Policy;
  const size_t Count = At.m_Capacity.size();
  const TimePoint Start{1h};
  std::mt19937 Random(Seed);
  std::uniform_real_distribution<double> Draw;
  std::vector<std::string> Names;
  for (size_t I = 0; I < Count; ++I)
    Names.push_back("dc" + std::to_string(I));
  // Reports as known in each data centre, and those on their way.
  std::vector<std::map<size_t, ServiceReport>> Known(Count);
  std::deque<std::pair<TimePoint, std::vector<ServiceReport>>> OnTheWay;
  std::vector<OverflowPlan> Plans(Count);
  std::vector<std::vector<double>> Received(Count, std::vector<double>(Count));
  std::vector<Duration> Needless(Count);
  Outcome Result;
  for (Duration Time{}; Time < End; Time += Tick) {
    TimePoint Now = Start + Time;
    auto IsGone = [&](size_t I) {
      return I + 1 == Count && Time >= At.m_GoneAt;
    };
    auto AreCut = [&At](size_t I, size_t J) {
      return At.m_IsCut && I + J == 1;
    };
    bool IsCounted = Time >= Begin;
    std::vector<double> Demand(Count);
    std::vector<double> Room(Count);
    for (size_t I = 0; I < Count; ++I)
      if (!IsGone(I)) {
        Demand[I] = demandAt(At, I, Time);
        Room[I] = At.m_Capacity[I] - Demand[I];
      }
    if (Time % PlanInterval == 0ns) {
      std::vector<ServiceReport> Sent(Count);
      for (size_t I = 0; I < Count; ++I) {
        double Noisy = Demand[I] * (1 + At.m_Noise * (2 * Draw(Random) - 1));
        ServiceReport &Report = Sent[I];
        Report = {.m_DataCentre = Names[I],
                  .m_Demand = Noisy,
                  .m_Room = At.m_Capacity[I] - Noisy,
                  .m_ReportedAt = Now,
                  .m_Hears = {},
                  .m_Received = {}};
        for (size_t J = 0; J < Count; ++J) {
          if (J == I)
            continue;
          auto Heard = Known[I].find(J);
          if (Heard != Known[I].end() &&
              Now - Heard->second.m_ReportedAt <= Policy.m_MaxAge)
            Report.m_Hears.push_back(Names[J]);
          if (Received[I][J] > 0)
            Report.m_Received.push_back({Names[J], Received[I][J]});
        }
      }
      OnTheWay.emplace_back(Now, std::move(Sent));
    }
    for (const auto &[SentAt, Reports] : OnTheWay)
      for (size_t I = 0; I < Count; ++I)
        for (size_t J = 0; J < Count; ++J) {
          Duration Age = I == J ? std::min(OwnAge, At.m_Age) : At.m_Age;
          bool Arrives = Now - SentAt >= Age && Now - SentAt < Age + Tick;
          if (Arrives && !IsGone(I) && !IsGone(J) && !AreCut(I, J) &&
              (I == J || Draw(Random) >= At.m_Loss))
            Known[I][J] = Reports[J];
        }
    while (!OnTheWay.empty() && Now - OnTheWay.front().first > 3s)
      OnTheWay.pop_front();
    if (Time % PlanInterval == 0ns)
      for (size_t I = 0; I < Count; ++I) {
        if (IsGone(I)) {
          Plans[I] = {};
          continue;
        }
        std::vector<ServiceReport> Reports;
        for (const auto &[From, Report] : Known[I])
          Reports.push_back(Report);
        auto Before = Plans[I].m_Shares;
        updatePlan(Plans[I], Reports, Names[I], Policy, Now);
        for (const std::string &To : Names) {
          auto Share = [&To](const auto &Shares) {
            auto Found = Shares.find(To);
            return Found == Shares.end() ? 0 : Found->second;
          };
          double Change = Share(Plans[I].m_Shares) - Share(Before);
          if (IsCounted)
            Result.m_Movement += std::abs(Change);
          Result.m_MaxStep = std::max(Result.m_MaxStep, Change);
        }
      }
    // What is sent to a data centre that is gone, or over its capacity, is not
    // served.
    std::vector<double> Here = Demand;
    Received.assign(Count, std::vector<double>(Count));
    double Sent = 0;
    for (size_t I = 0; I < Count; ++I) {
      double Out = 0;
      for (size_t J = 0; J < Count; ++J)
        if (auto Share = Plans[I].m_Shares.find(Names[J]);
            Share != Plans[I].m_Shares.end()) {
          Received[J][I] = Share->second * Demand[I];
          Here[J] += Received[J][I];
          Out += Received[J][I];
        }
      Here[I] -= Out;
      Sent += Out;
      Needless[I] = Out > 0 && Room[I] > 0 ? Needless[I] + Tick : 0ns;
      Result.m_LongestNeedless =
          std::max(Result.m_LongestNeedless, Needless[I]);
    }
    if (!IsCounted)
      continue;
    double Moved = bestMoved(Room, At.m_IsCut);
    for (size_t I = 0; I < Count; ++I) {
      Result.m_Demand += Demand[I];
      if (!IsGone(I)) {
        Result.m_Served += std::min(Here[I], At.m_Capacity[I]);
        Result.m_BestServed += std::min(Demand[I], At.m_Capacity[I]);
      }
    }
    Result.m_BestServed += Moved;
    Result.m_Sent += Sent;
    Result.m_LeastSent += Moved;
  }
  Result.m_Movement *= std::chrono::duration<double>(Period) / (End - Begin) /
                       static_cast<double>(Count);
  return Result;
}

const std::vector<double> Three{1100, 900, 800};
const std::vector<double> Many{6300, 7100, 5900};
const std::vector<double> Two{1100, 900};

} // namespace

TEST_CASE("plans serve nearly as much as the best plan and send little more") {
  const Load Loads[] = {
      {.m_Name = "two, opposite phases", .m_Capacity = Two, .m_Phase = 0.5},
      {.m_Name = "three, a third of a period apart", .m_Capacity = Three},
      {.m_Name = "three larger ones", .m_Capacity = Many},
      {.m_Name = "same phase", .m_Capacity = Three, .m_Phase = 0},
      {.m_Name = "capacity for all on average",
       .m_Capacity = Three,
       .m_Mean = 0.85},
      {.m_Name = "reports 500 ms old", .m_Capacity = Three, .m_Age = 500ms},
      {.m_Name = "reports 2 s old", .m_Capacity = Three, .m_Age = 2s},
      {.m_Name = "two, reports 2 s old",
       .m_Capacity = Two,
       .m_Phase = 0.5,
       .m_Age = 2s},
      {.m_Name = "a third of the reports lost",
       .m_Capacity = Three,
       .m_Age = 500ms,
       .m_Loss = 0.33},
      {.m_Name = "demand measured with 3% noise",
       .m_Capacity = Three,
       .m_Age = 500ms,
       .m_Noise = 0.03},
      {.m_Name = "the first two do not hear each other",
       .m_Capacity = Three,
       .m_Age = 500ms,
       .m_IsCut = true},
      {.m_Name = "two short ones that share one they both hear",
       .m_Capacity = Three,
       .m_Phase = 0.25,
       .m_Age = 500ms,
       .m_IsCut = true},
      // Each took the whole spare capacity of the third for its own.
      {.m_Name = "two that are always short share one they both hear",
       .m_Capacity = Three,
       .m_Means = {1.3, 1.3, 0.5},
       .m_Amplitude = 0.02,
       .m_Age = 2s,
       .m_IsCut = true},
      {.m_Name = "two that are cut off",
       .m_Capacity = Two,
       .m_Phase = 0.5,
       .m_IsCut = true},
      {.m_Name = "one is gone from 40 s on",
       .m_Capacity = Three,
       .m_Age = 500ms,
       .m_GoneAt = 40s},
      {.m_Name = "one is gone, reports 2 s old",
       .m_Capacity = Three,
       .m_Age = 2s,
       .m_GoneAt = 55s},
  };
  for (const Load &Each : Loads)
    for (uint32_t Seed = 1; Seed <= 5; ++Seed) {
      Outcome Result = simulate(Each, Seed);
      double Missed = (Result.m_BestServed - Result.m_Served) / Result.m_Demand;
      double Sent = Result.m_LeastSent > 0 ? Result.m_Sent / Result.m_LeastSent
                                           : Result.m_Sent;
      INFO(std::string(Each.m_Name), ", seed ", Seed);
      CHECK(Missed <= 0.03);
      CHECK(Sent <= 1.3);
      // A share rises to about 0.4 and falls again, once in a period.
      CHECK(Result.m_Movement <= 2.0);
      CHECK(Result.m_MaxStep <= 0.201);
      CHECK(Result.m_LongestNeedless <= 2s);
    }
}

TEST_CASE("nothing leaves without shortage, however old or noisy reports are") {
  // Guards against overflow that only evens out the load, which costs traffic.
  const Load Loads[] = {
      {.m_Name = "below capacity",
       .m_Capacity = Three,
       .m_Mean = 0.7,
       .m_Amplitude = 0.28},
      {.m_Name = "old, lost and noisy reports",
       .m_Capacity = Three,
       .m_Mean = 0.7,
       .m_Amplitude = 0.2,
       .m_Age = 2s,
       .m_Loss = 0.33,
       .m_Noise = 0.05},
      {.m_Name = "one is gone",
       .m_Capacity = Three,
       .m_Mean = 0.7,
       .m_Amplitude = 0.28,
       .m_GoneAt = 40s},
  };
  for (const Load &Each : Loads) {
    CAPTURE(Each.m_Name);
    CHECK(simulate(Each, 1).m_Sent == 0);
  }
}

namespace {

constexpr TimePoint Now{1h};

/// Data centre a lacks 300 of 1000 requests per second; b and c have 200 each.
std::vector<ServiceReport> shortReports() {
  auto Report = [](const char *Name, double Demand, double Room,
                   std::vector<std::string> Hears) {
    return ServiceReport{.m_DataCentre = Name,
                         .m_Demand = Demand,
                         .m_Room = Room,
                         .m_ReportedAt = Now,
                         .m_Hears = std::move(Hears),
                         .m_Received = {}};
  };
  return {Report("a", 1000, -300, {"b", "c"}),
          Report("b", 500, 200, {"a", "c"}), Report("c", 500, 200, {"a", "b"})};
}

} // namespace

TEST_CASE("no load is planned for a data centre that cannot serve it") {
  // Load sent there is lost, or takes capacity from the callers there.
  struct Case {
    const char *m_Name;
    void (*m_Change)(std::vector<ServiceReport> &);
    double m_ToB;
  };
  const Case Cases[] = {
      {"all usable", [](auto &) {}, 150},
      {"out of service", [](auto &R) { R[1].m_IsInService = false; }, 0},
      {"cold", [](auto &R) { R[1].m_IsWarm = false; }, 0},
      {"short itself", [](auto &R) { R[1].m_Room = -1; }, 0},
      {"not heard", [](auto &R) { R.erase(R.begin() + 1); }, 0},
      {"reported over 3 s ago",
       [](auto &R) { R[1].m_ReportedAt = Now - 3001ms; }, 0},
      {"reported 3 s ago", [](auto &R) { R[1].m_ReportedAt = Now - 3s; }, 150},
      {"does not hear the short one", [](auto &R) { R[1].m_Hears = {"c"}; }, 0},
      {"used by one that is not heard",
       [](auto &R) {
         R[1].m_Received = {{"d", 200}};
       },
       0.97 * 100},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    std::vector<ServiceReport> Reports = shortReports();
    Each.m_Change(Reports);
    double ToB = 0;
    for (const Flow &Next : distribute(Reports, {}, Now))
      if (Next.m_To == "b")
        ToB += Next.m_Rate;
    CHECK(ToB == doctest::Approx(Each.m_ToB).epsilon(0.01));
    // A plan that used it stops at once if it cannot serve at all.
    OverflowPlan Plan;
    Plan.m_Shares["b"] = 0.15;
    Plan.m_UpdatedAt = Now - 10ms;
    updatePlan(Plan, Reports, "a", {}, Now);
    bool IsHeard = std::ranges::any_of(Reports, [](const ServiceReport &R) {
      return R.m_DataCentre == "b" && isUsable(R, {}, Now);
    });
    CHECK(Plan.m_Shares.contains("b") == IsHeard);
  }
}

TEST_CASE("spare capacity is given away once among several short ones") {
  // Guards against two data centres that both send to the same spare capacity.
  for (double ShortOfB : {10.0, 100.0, 1000.0}) {
    CAPTURE(ShortOfB);
    std::vector<ServiceReport> Reports = shortReports();
    Reports[1].m_Demand = 2000;
    Reports[1].m_Room = -ShortOfB;
    double Total = 0;
    for (const Flow &Next : distribute(Reports, {}, Now))
      Total += Next.m_Rate;
    CHECK(Total == doctest::Approx(0.97 * 200));
  }
}

TEST_CASE("a demand that stays near the capacity does not start and stop") {
  // Without hysteresis, each crossing of the capacity began an overflow.
  OverflowPlan Plan;
  int Switches = 0;
  for (int I = 0; I < 100; ++I) {
    std::vector<ServiceReport> Reports = shortReports();
    for (ServiceReport &Each : Reports)
      Each.m_ReportedAt = Now + I * 500ms;
    Reports[0].m_Room = I % 2 == 0 ? -10 : -1;
    bool WasActive = Plan.m_IsActive;
    updatePlan(Plan, Reports, "a", {}, Now + I * 500ms);
    Switches += WasActive != Plan.m_IsActive ? 1 : 0;
  }
  CHECK(Switches == 0);
  CHECK(Plan.m_Shares.empty());
}

TEST_CASE("overflow of a whole demand ends within 2 s after the shortage") {
  OverflowPlan Plan;
  Plan.m_Shares = {{"b", 0.5}, {"c", 0.5}};
  Plan.m_IsActive = true;
  Plan.m_UpdatedAt = Now;
  for (Duration Time = 500ms; Time <= 2s; Time += 500ms) {
    std::vector<ServiceReport> Reports = shortReports();
    for (ServiceReport &Each : Reports)
      Each.m_ReportedAt = Now + Time;
    Reports[0].m_Room = 100;
    updatePlan(Plan, Reports, "a", {}, Now + Time);
  }
  CHECK(Plan.m_Shares.empty());
}
