#include "hyssopcross/overflow/Plan.h"
#include <algorithm>
#include <cmath>

namespace hyssopcross::overflow {

namespace {

/// Each round fills at least one data centre or places all of the rest.
constexpr size_t MaxRounds = 16;
/// Requests per second that are not worth another round.
constexpr double Negligible = 1e-6;

bool isRecent(const ServiceReport &Report, const OverflowPolicy &Policy,
              TimePoint Now) {
  return Now - Report.m_ReportedAt <= Policy.m_MaxAge;
}

bool hears(const ServiceReport &Report, std::string_view DataCentre) {
  return std::ranges::find(Report.m_Hears, DataCentre) != Report.m_Hears.end();
}

bool areConnected(const ServiceReport &Left, const ServiceReport &Right) {
  return Left.m_DataCentre != Right.m_DataCentre &&
         hears(Left, Right.m_DataCentre) && hears(Right, Left.m_DataCentre);
}

const ServiceReport *findRecent(std::span<const ServiceReport> Reports,
                                std::string_view DataCentre,
                                const OverflowPolicy &Policy, TimePoint Now) {
  auto Found =
      std::ranges::find(Reports, DataCentre, &ServiceReport::m_DataCentre);
  return Found != Reports.end() && isRecent(*Found, Policy, Now) ? &*Found
                                                                 : nullptr;
}

/// Spare capacity of a data centre for those in Reports. Data centres that are
/// not heard here keep what they use, but not more than their fair part.
double roomAt(const ServiceReport &At, std::span<const ServiceReport> Reports,
              size_t ShortCount, const OverflowPolicy &Policy, TimePoint Now) {
  if (!isUsable(At, Policy, Now))
    return 0;
  double Room = std::max(0.0, At.m_Room) * Policy.m_RoomUse;
  double Unheard = 0;
  size_t UnheardCount = 0;
  for (const ReceivedLoad &Each : At.m_Received)
    if (Each.m_Rate > Negligible &&
        !findRecent(Reports, Each.m_DataCentre, Policy, Now)) {
      Unheard += Each.m_Rate;
      ++UnheardCount;
    }
  double Known = static_cast<double>(std::max<size_t>(1, ShortCount));
  double Fair = Room * Known / (Known + static_cast<double>(UnheardCount));
  return std::max(Room - Unheard, Fair);
}

/// Share towards Target within the step that Elapsed allows.
double stepTowards(double Share, double Target, const OverflowPolicy &Policy,
                   Duration Elapsed) {
  if (Target > 0 && std::abs(Target - Share) < Policy.m_MinChange)
    return Share;
  double Seconds = std::chrono::duration<double>(Elapsed).count();
  return std::clamp(Target, Share - Policy.m_MaxDecrease * Seconds,
                    Share + Policy.m_MaxIncrease * Seconds);
}

} // namespace

bool isUsable(const ServiceReport &Report, const OverflowPolicy &Policy,
              TimePoint Now) {
  return isRecent(Report, Policy, Now) && Report.m_IsInService &&
         Report.m_IsWarm;
}

std::vector<Flow> distribute(std::span<const ServiceReport> Reports,
                             const OverflowPolicy &Policy, TimePoint Now) {
  const size_t Count = Reports.size();
  std::vector<double> Short(Count);
  for (size_t I = 0; I < Count; ++I)
    if (isRecent(Reports[I], Policy, Now))
      Short[I] = std::clamp(-Reports[I].m_Room, 0.0, Reports[I].m_Demand);
  auto ShortCount = static_cast<size_t>(
      std::ranges::count_if(Short, [](double Rate) { return Rate > 0; }));
  std::vector<double> Room(Count);
  for (size_t I = 0; I < Count; ++I)
    Room[I] = roomAt(Reports[I], Reports, ShortCount, Policy, Now);

  std::vector<double> Rates(Count * Count);
  for (size_t Round = 0; Round < MaxRounds; ++Round) {
    // Each shortage is offered to all connected data centres in proportion to
    // their spare capacity; one that is offered too much takes an equal part of
    // every offer.
    std::vector<double> Offers(Count * Count);
    std::vector<double> Offered(Count);
    for (size_t From = 0; From < Count; ++From) {
      double Reachable = 0;
      for (size_t To = 0; To < Count; ++To)
        if (areConnected(Reports[From], Reports[To]))
          Reachable += Room[To];
      if (Reachable <= Negligible)
        continue;
      for (size_t To = 0; To < Count; ++To)
        if (areConnected(Reports[From], Reports[To])) {
          Offers[From * Count + To] = Short[From] * Room[To] / Reachable;
          Offered[To] += Offers[From * Count + To];
        }
    }
    double Moved = 0;
    for (size_t To = 0; To < Count; ++To) {
      if (Offered[To] <= Negligible)
        continue;
      double Part = std::min(1.0, Room[To] / Offered[To]);
      for (size_t From = 0; From < Count; ++From) {
        double Rate = Offers[From * Count + To] * Part;
        Rates[From * Count + To] += Rate;
        Short[From] = std::max(0.0, Short[From] - Rate);
        Moved += Rate;
      }
      Room[To] -= Offered[To] * Part;
    }
    if (Moved <= Negligible)
      break;
  }

  std::vector<Flow> Flows;
  for (size_t From = 0; From < Count; ++From)
    for (size_t To = 0; To < Count; ++To)
      if (Rates[From * Count + To] > Negligible)
        Flows.push_back({Reports[From].m_DataCentre, Reports[To].m_DataCentre,
                         Rates[From * Count + To]});
  return Flows;
}

void updatePlan(OverflowPlan &Plan, std::span<const ServiceReport> Reports,
                std::string_view Own, const OverflowPolicy &Policy,
                TimePoint Now) {
  // The step of a first plan is that of half a second, the usual interval.
  Duration Elapsed = Plan.m_UpdatedAt == TimePoint{}
                         ? Policy.m_MaxStepTime / 2
                         : std::clamp(Now - Plan.m_UpdatedAt, Duration{},
                                      Policy.m_MaxStepTime);
  Plan.m_UpdatedAt = Now;

  const ServiceReport *Here = findRecent(Reports, Own, Policy, Now);
  double Shortage = Here && Here->m_Demand > 0
                        ? std::max(0.0, -Here->m_Room) / Here->m_Demand
                        : 0;
  Plan.m_IsActive = Shortage >= (Plan.m_IsActive ? Policy.m_EndShortage
                                                 : Policy.m_BeginShortage);

  std::map<std::string, double, std::less<>> Targets;
  if (Plan.m_IsActive)
    for (const Flow &Each : distribute(Reports, Policy, Now))
      if (Each.m_From == Own)
        Targets.emplace(Each.m_To, Each.m_Rate / Here->m_Demand);
  for (const auto &[To, Target] : Targets)
    Plan.m_Shares.try_emplace(To, 0.0);
  for (auto It = Plan.m_Shares.begin(); It != Plan.m_Shares.end();) {
    auto &[To, Share] = *It;
    auto Target = Targets.find(To);
    const ServiceReport *There = findRecent(Reports, To, Policy, Now);
    bool IsUsable = There && isUsable(*There, Policy, Now);
    Share = IsUsable ? stepTowards(Share,
                                   Target == Targets.end() ? 0 : Target->second,
                                   Policy, Elapsed)
                     : 0;
    It = Share > 0 ? std::next(It) : Plan.m_Shares.erase(It);
  }
}

} // namespace hyssopcross::overflow
