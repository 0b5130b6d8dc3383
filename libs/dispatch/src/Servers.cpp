#include "hyssopcross/dispatch/Servers.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace hyssopcross::dispatch {

namespace {

/// In-flight counts of another VM expire if they are not renewed for this long.
/// VMs renew them with every heartbeat, at least every two seconds.
constexpr Duration PeerInFlightTimeout = std::chrono::milliseconds(2500);

void resetLearnedState(Server &Target) {
  Target.m_Report = {};
  Target.m_ReportAt = {};
  Target.m_ReportValidUntil = {};
  Target.m_ConfirmedAt = {};
  Target.m_ColdUntil = {};
  Target.m_PeerInFlight.clear();
  Target.m_FailuresInRow = 0;
  Target.m_Ejections = 0;
  Target.m_EjectedUntil = {};
  Target.m_FailureRate = 0;
  Target.m_ServiceTimeRatio = 1.0;
}

/// Applies the notice of the registered incarnation, if there is one.
void applyNotice(ServerView &View, Server &Target) {
  auto Found = View.m_Notices.find(Target.m_Record.m_Id);
  Target.m_Notice = Found == View.m_Notices.end() ? nullptr : &Found->second;
  bool IsSame = Found != View.m_Notices.end() &&
                Found->second.m_Incarnation == Target.m_Record.m_Incarnation;
  Target.m_HasAnnouncedDraining = IsSame && Found->second.m_IsLeaving;
  Target.m_RefusesUntil = IsSame ? Found->second.m_RefusesUntil : TimePoint{};
}

/// The notice of an incarnation, or null if a later incarnation has announced
/// something.
ServerNotice *findOrCreateNotice(ServerView &View, std::string_view Id,
                                 int64_t Incarnation, TimePoint Now) {
  auto [Found, IsNew] = View.m_Notices.try_emplace(std::string(Id));
  ServerNotice &Notice = Found->second;
  if (!IsNew && Incarnation < Notice.m_Incarnation)
    return nullptr;
  if (Incarnation > Notice.m_Incarnation)
    Notice = {};
  Notice.m_Incarnation = Incarnation;
  Notice.m_NotedAt = Now;
  if (auto Listed = View.m_Servers.find(Id); Listed != View.m_Servers.end())
    Listed->second.m_Notice = &Notice;
  return &Notice;
}

/// The registered server, or null if this incarnation of it is not registered.
Server *findListed(ServerView &View, std::string_view Id, int64_t Incarnation) {
  auto Found = View.m_Servers.find(Id);
  bool IsListed = Found != View.m_Servers.end() &&
                  Found->second.m_Record.m_Incarnation == Incarnation;
  return IsListed ? &Found->second : nullptr;
}

void indexServer(ServerView &View, Server &Target) {
  View.m_ByKey[Target.m_Key] = &Target;
  View.m_ByService[Target.m_Record.m_Service].push_back(&Target);
  Target.m_Model = &View.m_Models[Target.m_Record.m_Service];
}

void removeFromIndex(ServerView &View, Server &Target) {
  View.m_ByKey.erase(Target.m_Key);
  auto &Service = View.m_ByService[Target.m_Record.m_Service];
  Service.erase(std::remove(Service.begin(), Service.end(), &Target),
                Service.end());
}

bool sameRecord(const ServerRecord &A, const ServerRecord &B) {
  return A.m_Service == B.m_Service && A.m_Version == B.m_Version &&
         A.m_Address == B.m_Address && A.m_DataCentre == B.m_DataCentre &&
         A.m_Slots == B.m_Slots && A.m_Leaving == B.m_Leaving &&
         A.m_Incarnation == B.m_Incarnation && A.m_ColdFor == B.m_ColdFor;
}

} // namespace

ServerKey serverKey(std::string_view Id) {
  // FNV-1a; all VMs must compute the same value.
  uint32_t Hash = 2166136261U;
  for (char C : Id)
    Hash = (Hash ^ static_cast<unsigned char>(C)) * 16777619U;
  return Hash;
}

bool upsertServer(ServerView &View, const ServerRecord &Record, TimePoint Now) {
  auto [Found, IsNew] = View.m_Servers.try_emplace(Record.m_Id);
  Server &Target = Found->second;
  Target.m_RemoveAt = TimePoint::max();
  if (!IsNew && sameRecord(Target.m_Record, Record))
    return false;
  bool Restarted =
      !IsNew && (Target.m_Record.m_Incarnation != Record.m_Incarnation ||
                 Target.m_Record.m_Address != Record.m_Address);
  if (!IsNew)
    removeFromIndex(View, Target);
  if (Restarted)
    resetLearnedState(Target);
  if (IsNew || Restarted)
    Target.m_ListedAt = Now;
  Target.m_Record = Record;
  Target.m_Key = serverKey(Record.m_Id);
  applyNotice(View, Target);
  if (Record.m_ColdFor > Duration(0))
    Target.m_ColdUntil = std::max(Target.m_ColdUntil, Now + Record.m_ColdFor);
  indexServer(View, Target);
  return true;
}

bool removeServer(ServerView &View, std::string_view Id) {
  auto Found = View.m_Servers.find(Id);
  if (Found == View.m_Servers.end())
    return false;
  removeFromIndex(View, Found->second);
  View.m_Servers.erase(Found);
  return true;
}

void partitionCandidatesFirst(ServerView &View) {
  for (auto &[Service, Servers] : View.m_ByService)
    std::stable_partition(
        Servers.begin(), Servers.end(),
        [](const Server *Each) { return Each->m_IsCandidate; });
}

void setDataCentreDisabled(ServerView &View, std::string_view DataCentre,
                           bool IsDisabled) {
  if (IsDisabled) {
    View.m_DisabledDataCentres.emplace(DataCentre);
    return;
  }
  auto Found = View.m_DisabledDataCentres.find(DataCentre);
  if (Found == View.m_DisabledDataCentres.end())
    return;
  View.m_DisabledDataCentres.erase(Found);
  for (auto &[Id, Target] : View.m_Servers)
    if (Target.m_Record.m_DataCentre == DataCentre)
      Target.m_ConfirmedAt = {};
}

bool recordDraining(ServerView &View, std::string_view Id, int64_t Incarnation,
                    TimePoint Now) {
  ServerNotice *Notice = findOrCreateNotice(View, Id, Incarnation, Now);
  if (!Notice)
    return false;
  if (Server *Listed = findListed(View, Id, Incarnation))
    Listed->m_HasAnnouncedDraining = true;
  return !std::exchange(Notice->m_IsLeaving, true);
}

void recordRefusal(ServerView &View, std::string_view Id, int64_t Incarnation,
                   Duration For, TimePoint Now) {
  ServerNotice *Notice = findOrCreateNotice(View, Id, Incarnation, Now);
  if (!Notice)
    return;
  Notice->m_RefusesUntil = std::max(Notice->m_RefusesUntil, Now + For);
  if (Server *Listed = findListed(View, Id, Incarnation))
    Listed->m_RefusesUntil = Notice->m_RefusesUntil;
}

bool recordLimit(ServerView &View, std::string_view Id, int64_t Incarnation,
                 const LimitObservation &Seen, TimePoint Now) {
  // Most servers never name a limit and need no notice.
  if (!Seen.m_PerSecond && View.m_Notices.find(Id) == View.m_Notices.end())
    return false;
  ServerNotice *Notice = findOrCreateNotice(View, Id, Incarnation, Now);
  return Notice && observeLimit(Notice->m_Limit, Seen, Now);
}

bool recordPeerLimit(ServerView &View, std::string_view Id, int64_t Incarnation,
                     std::optional<double> PerSecond, TimePoint SaidAt,
                     TimePoint Now) {
  if (!PerSecond && View.m_Notices.find(Id) == View.m_Notices.end())
    return false;
  ServerNotice *Notice = findOrCreateNotice(View, Id, Incarnation, Now);
  return Notice && applyLimit(Notice->m_Limit, PerSecond, SaidAt);
}

RequestLimit *limitOf(const Server &Target) {
  bool IsNamed =
      Target.m_Notice &&
      Target.m_Notice->m_Incarnation == Target.m_Record.m_Incarnation &&
      Target.m_Notice->m_Limit.m_SaidAt != TimePoint{};
  return IsNamed ? &Target.m_Notice->m_Limit : nullptr;
}

RequestLimit *activeLimitOf(const Server &Target) {
  RequestLimit *Limit = limitOf(Target);
  return Limit && Limit->m_PerSecond ? Limit : nullptr;
}

void expireNotices(ServerView &View, const DispatchPolicy &Policy,
                   TimePoint Now) {
  std::erase_if(View.m_Notices, [&](const auto &Each) {
    return Now - Each.second.m_NotedAt > Policy.m_NoticeRetention &&
           !View.m_Servers.count(Each.first);
  });
}

bool isDraining(const Server &Target) {
  return Target.m_Record.m_Leaving || Target.m_HasAnnouncedDraining;
}

bool isInService(const ServerView &View, const Server &Target) {
  return !isDraining(Target) &&
         !View.m_DisabledDataCentres.count(Target.m_Record.m_DataCentre) &&
         Target.m_Report.m_Health != LoadReport::Health::Unreachable;
}

void recordReport(Server &Target, const LoadReport &Report, Duration Age,
                  TimePoint Now) {
  TimePoint At = Now - Age;
  if (At < Target.m_ReportAt)
    return;
  if (Target.m_ReportAt != TimePoint{} &&
      Report.m_Health == LoadReport::Health::Healthy)
    recordSpeeds(Target.m_Model->m_SlowPeriods,
                 Target.m_Report.m_SlowdownPercent, Report.m_SlowdownPercent,
                 At - Target.m_ReportAt);
  Target.m_Report = Report;
  Target.m_ReportAt = At;
  if (Report.m_ColdFor > Duration(0))
    Target.m_ColdUntil = At + Report.m_ColdFor;
  if (Report.m_Health == LoadReport::Health::Healthy)
    Target.m_ConfirmedAt = At;
}

void extendReportValidity(Server &Target, Duration For, TimePoint Now) {
  Target.m_ReportValidUntil = std::max(Target.m_ReportValidUntil, Now + For);
}

CheckResult comparePublished(const PublishedReport &Published,
                             const LoadReport &Found,
                             const DispatchPolicy &Policy, TimePoint Now) {
  if (!Policy.m_TellChangesOnly || Published.m_At == TimePoint{} ||
      Published.m_Report.m_Health != Found.m_Health ||
      Published.m_Report.m_HasEnded != Found.m_HasEnded ||
      Found.m_ColdFor > Duration(0) ||
      Published.m_Report.m_ColdFor > Duration(0))
    return CheckResult::Change;
  double Ratio = static_cast<double>(Found.m_SlowdownPercent) /
                 std::max(1U, Published.m_Report.m_SlowdownPercent);
  if (Ratio > Policy.m_SignificantSpeedRatio ||
      Ratio < 1 / Policy.m_SignificantSpeedRatio)
    return CheckResult::Change;
  return Now - Published.m_At >= Policy.m_RepublishInterval
             ? CheckResult::Refresh
             : CheckResult::Known;
}

TimePoint lastHeardAt(const Server &Target) {
  return std::max(Target.m_ListedAt, Target.m_ReportAt);
}

void recordPeerInFlight(Server &Target, VmKey Vm, uint32_t Count,
                        TimePoint Now) {
  for (InFlight &Each : Target.m_PeerInFlight)
    if (Each.m_Vm == Vm) {
      Each.m_Count = Count;
      Each.m_UpdatedAt = Now;
      return;
    }
  if (Count > 0)
    Target.m_PeerInFlight.push_back({Vm, Count, Now});
}

double failureRateOf(const Server &Target, const DispatchPolicy &Policy,
                     TimePoint Now) {
  double Halvings = std::chrono::duration<double>(Now - Target.m_OutcomeAt) /
                    std::chrono::duration<double>(Policy.m_FailureHalfLife);
  return Target.m_FailureRate * std::exp2(-std::max(0.0, Halvings));
}

void recordOutcomes(Server &Target, const DispatchPolicy &Policy,
                    uint32_t Succeeded, uint32_t Failed, TimePoint Now) {
  if (Succeeded + Failed == 0)
    return;
  Target.m_FailureRate = failureRateOf(Target, Policy, Now);
  Target.m_OutcomeAt = Now;
  for (uint32_t I = 0; I < Failed; ++I)
    Target.m_FailureRate +=
        Policy.m_FailureRateSmoothing * (1 - Target.m_FailureRate);
  for (uint32_t I = 0; I < Succeeded; ++I)
    Target.m_FailureRate -=
        Policy.m_FailureRateSmoothing * Target.m_FailureRate;
}

void forgetVm(ServerView &View, VmKey Vm) {
  for (auto &[Id, Target] : View.m_Servers)
    Target.m_PeerInFlight.erase(
        std::remove_if(Target.m_PeerInFlight.begin(),
                       Target.m_PeerInFlight.end(),
                       [Vm](const InFlight &Each) { return Each.m_Vm == Vm; }),
        Target.m_PeerInFlight.end());
  for (auto &[Id, Notice] : View.m_Notices)
    forgetPeerSends(Notice.m_Limit, Vm);
}

uint32_t inFlightAt(const Server &Target, TimePoint Now) {
  uint32_t Total = Target.m_OwnInFlight;
  for (const InFlight &Each : Target.m_PeerInFlight)
    if (Now - Each.m_UpdatedAt < PeerInFlightTimeout)
      Total += Each.m_Count;
  return Total;
}

bool isCold(const Server &Target, const DispatchPolicy &Policy, TimePoint Now) {
  return Now < Target.m_ColdUntil ||
         Now - Target.m_ConfirmedAt > Policy.m_ConfirmationAge;
}

double reportedSlowdown(const Server &Target, const DispatchPolicy &Policy,
                        TimePoint Now) {
  SlowdownForecast Forecast =
      forecastSlowdown(Target.m_Model->m_SlowPeriods, Policy);
  if (Target.m_ReportAt == TimePoint{})
    return Forecast.m_UnknownPercent;
  TimePoint HeldUntil = std::max(Target.m_ReportAt, Target.m_ReportValidUntil);
  double Age = std::chrono::duration<double>(Now - HeldUntil).count();
  double Trust = std::exp(-std::max(0.0, Age) / Forecast.m_DecaySeconds);
  return Trust * Target.m_Report.m_SlowdownPercent +
         (1 - Trust) * Forecast.m_UnknownPercent;
}

double slowdownOf(const Server &Target, const DispatchPolicy &Policy,
                  TimePoint Now) {
  double Slowdown =
      reportedSlowdown(Target, Policy, Now) * Target.m_ServiceTimeRatio;
  if (Target.m_ReportAt != TimePoint{} && Now < Target.m_ColdUntil)
    Slowdown *= Policy.m_ColdSlowdown / 100;
  return Slowdown;
}

} // namespace hyssopcross::dispatch
