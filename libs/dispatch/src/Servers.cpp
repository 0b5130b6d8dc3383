#include "hyssopcross/dispatch/Servers.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace hyssopcross::dispatch {

namespace {

/// Counts of another VM that were not renewed for this long are dropped. VMs
/// renew theirs with every heartbeat, which come every two seconds at the
/// least.
constexpr Duration InFlightMemory = std::chrono::milliseconds(2500);

void forgetLearned(Server &Of) {
  Of.m_Report = {};
  Of.m_ReportAt = {};
  Of.m_ReportValidUntil = {};
  Of.m_ConfirmedAt = {};
  Of.m_ColdUntil = {};
  Of.m_PeerInFlight.clear();
  Of.m_FailuresInRow = 0;
  Of.m_Ejections = 0;
  Of.m_EjectedUntil = {};
  Of.m_FailureRate = 0;
  Of.m_ServiceTimeRatio = 1.0;
}

/// Takes over what the incarnation that is listed now has said before.
void applyNotice(const ServerView &View, Server &Of) {
  auto Found = View.m_Notices.find(Of.m_Record.m_Id);
  bool IsSame = Found != View.m_Notices.end() &&
                Found->second.m_Incarnation == Of.m_Record.m_Incarnation;
  Of.m_HasAnnouncedDraining = IsSame && Found->second.m_IsLeaving;
  Of.m_RefusesUntil = IsSame ? Found->second.m_RefusesUntil : TimePoint{};
}

/// The notice of an incarnation, or null if a later one has given notice.
ServerNotice *noticeOf(ServerView &View, std::string_view Id,
                       int64_t Incarnation, TimePoint Now) {
  ServerNotice &Of =
      View.m_Notices.try_emplace(std::string(Id), ServerNotice{Incarnation})
          .first->second;
  if (Incarnation < Of.m_Incarnation)
    return nullptr;
  if (Incarnation > Of.m_Incarnation)
    Of = {Incarnation};
  Of.m_NotedAt = Now;
  return &Of;
}

/// The listed server, if this incarnation of it is listed.
Server *listedAs(ServerView &View, std::string_view Id, int64_t Incarnation) {
  auto Found = View.m_Servers.find(Id);
  bool IsListed = Found != View.m_Servers.end() &&
                  Found->second.m_Record.m_Incarnation == Incarnation;
  return IsListed ? &Found->second : nullptr;
}

void indexServer(ServerView &View, Server &Of) {
  View.m_ByKey[Of.m_Key] = &Of;
  View.m_ByService[Of.m_Record.m_Service].push_back(&Of);
  Of.m_Model = &View.m_Models[Of.m_Record.m_Service];
}

void dropFromIndex(ServerView &View, Server &Of) {
  View.m_ByKey.erase(Of.m_Key);
  auto &Service = View.m_ByService[Of.m_Record.m_Service];
  Service.erase(std::remove(Service.begin(), Service.end(), &Of),
                Service.end());
}

bool sameRecord(const ServerRecord &A, const ServerRecord &B) {
  return A.m_Service == B.m_Service && A.m_Address == B.m_Address &&
         A.m_DataCentre == B.m_DataCentre && A.m_Slots == B.m_Slots &&
         A.m_Leaving == B.m_Leaving && A.m_Incarnation == B.m_Incarnation &&
         A.m_ColdFor == B.m_ColdFor;
}

} // namespace

ServerKey serverKey(std::string_view Id) {
  // FNV-1a; every VM must compute the same value.
  uint32_t Hash = 2166136261U;
  for (char C : Id)
    Hash = (Hash ^ static_cast<unsigned char>(C)) * 16777619U;
  return Hash;
}

bool upsertServer(ServerView &View, const ServerRecord &Record, TimePoint Now) {
  auto [Found, IsNew] = View.m_Servers.try_emplace(Record.m_Id);
  Server &Of = Found->second;
  Of.m_RemoveAt = TimePoint::max();
  if (!IsNew && sameRecord(Of.m_Record, Record))
    return false;
  bool Restarted =
      !IsNew && (Of.m_Record.m_Incarnation != Record.m_Incarnation ||
                 Of.m_Record.m_Address != Record.m_Address);
  if (!IsNew)
    dropFromIndex(View, Of);
  if (Restarted)
    forgetLearned(Of);
  if (IsNew || Restarted)
    Of.m_ListedAt = Now;
  Of.m_Record = Record;
  Of.m_Key = serverKey(Record.m_Id);
  applyNotice(View, Of);
  if (Record.m_ColdFor > Duration(0))
    Of.m_ColdUntil = std::max(Of.m_ColdUntil, Now + Record.m_ColdFor);
  indexServer(View, Of);
  return true;
}

bool removeServer(ServerView &View, std::string_view Id) {
  auto Found = View.m_Servers.find(Id);
  if (Found == View.m_Servers.end())
    return false;
  dropFromIndex(View, Found->second);
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
                           bool Out) {
  if (Out) {
    View.m_DisabledDataCentres.emplace(DataCentre);
    return;
  }
  auto Found = View.m_DisabledDataCentres.find(DataCentre);
  if (Found == View.m_DisabledDataCentres.end())
    return;
  View.m_DisabledDataCentres.erase(Found);
  for (auto &[Id, Of] : View.m_Servers)
    if (Of.m_Record.m_DataCentre == DataCentre)
      Of.m_ConfirmedAt = {};
}

bool recordDraining(ServerView &View, std::string_view Id, int64_t Incarnation,
                    TimePoint Now) {
  ServerNotice *Notice = noticeOf(View, Id, Incarnation, Now);
  if (!Notice)
    return false;
  Notice->m_IsLeaving = true;
  Server *Listed = listedAs(View, Id, Incarnation);
  return Listed && !std::exchange(Listed->m_HasAnnouncedDraining, true);
}

void recordRefusal(ServerView &View, std::string_view Id, int64_t Incarnation,
                   Duration For, TimePoint Now) {
  ServerNotice *Notice = noticeOf(View, Id, Incarnation, Now);
  if (!Notice)
    return;
  Notice->m_RefusesUntil = std::max(Notice->m_RefusesUntil, Now + For);
  if (Server *Listed = listedAs(View, Id, Incarnation))
    Listed->m_RefusesUntil = Notice->m_RefusesUntil;
}

void expireNotices(ServerView &View, const DispatchPolicy &Policy,
                   TimePoint Now) {
  std::erase_if(View.m_Notices, [&](const auto &Each) {
    return Now - Each.second.m_NotedAt > Policy.m_NoticeRetention &&
           !View.m_Servers.count(Each.first);
  });
}

bool isDraining(const Server &Of) {
  return Of.m_Record.m_Leaving || Of.m_HasAnnouncedDraining;
}

bool isInService(const ServerView &View, const Server &Of) {
  return !isDraining(Of) &&
         !View.m_DisabledDataCentres.count(Of.m_Record.m_DataCentre) &&
         Of.m_Report.m_Health != LoadReport::Health::Unreachable;
}

void recordReport(Server &Of, const LoadReport &Report, Duration Age,
                  TimePoint Now) {
  TimePoint At = Now - Age;
  if (At < Of.m_ReportAt)
    return;
  if (Of.m_ReportAt != TimePoint{} &&
      Report.m_Health == LoadReport::Health::Healthy)
    recordSpeeds(Of.m_Model->m_SlowPeriods, Of.m_Report.m_SlowdownPercent,
                 Report.m_SlowdownPercent, At - Of.m_ReportAt);
  Of.m_Report = Report;
  Of.m_ReportAt = At;
  if (Report.m_ColdFor > Duration(0))
    Of.m_ColdUntil = At + Report.m_ColdFor;
  if (Report.m_Health == LoadReport::Health::Healthy)
    Of.m_ConfirmedAt = At;
}

void extendReportValidity(Server &Of, Duration For, TimePoint Now) {
  Of.m_ReportValidUntil = std::max(Of.m_ReportValidUntil, Now + For);
}

CheckResult comparePublished(const PublishedReport &Told,
                             const LoadReport &Found,
                             const DispatchPolicy &Policy, TimePoint Now) {
  if (!Policy.m_TellChangesOnly || Told.m_At == TimePoint{} ||
      Told.m_Report.m_Health != Found.m_Health ||
      Found.m_ColdFor > Duration(0) || Told.m_Report.m_ColdFor > Duration(0))
    return CheckResult::Change;
  double Ratio = static_cast<double>(Found.m_SlowdownPercent) /
                 std::max(1U, Told.m_Report.m_SlowdownPercent);
  if (Ratio > Policy.m_SignificantSpeedRatio ||
      Ratio < 1 / Policy.m_SignificantSpeedRatio)
    return CheckResult::Change;
  return Now - Told.m_At >= Policy.m_RepublishInterval ? CheckResult::Refresh
                                                       : CheckResult::Known;
}

TimePoint lastHeardAt(const Server &Of) {
  return std::max(Of.m_ListedAt, Of.m_ReportAt);
}

void recordPeerInFlight(Server &Of, VmKey Vm, uint32_t Count, TimePoint Now) {
  for (InFlight &Each : Of.m_PeerInFlight)
    if (Each.m_Vm == Vm) {
      Each.m_Count = Count;
      Each.m_ToldAt = Now;
      return;
    }
  if (Count > 0)
    Of.m_PeerInFlight.push_back({Vm, Count, Now});
}

double failureRateOf(const Server &Of, const DispatchPolicy &Policy,
                     TimePoint Now) {
  double Halvings = std::chrono::duration<double>(Now - Of.m_OutcomeAt) /
                    std::chrono::duration<double>(Policy.m_FailureHalfLife);
  return Of.m_FailureRate * std::exp2(-std::max(0.0, Halvings));
}

void recordOutcomes(Server &Of, const DispatchPolicy &Policy,
                    uint32_t Succeeded, uint32_t Failed, TimePoint Now) {
  if (Succeeded + Failed == 0)
    return;
  Of.m_FailureRate = failureRateOf(Of, Policy, Now);
  Of.m_OutcomeAt = Now;
  for (uint32_t I = 0; I < Failed; ++I)
    Of.m_FailureRate += Policy.m_FailureRateSmoothing * (1 - Of.m_FailureRate);
  for (uint32_t I = 0; I < Succeeded; ++I)
    Of.m_FailureRate -= Policy.m_FailureRateSmoothing * Of.m_FailureRate;
}

void forgetVm(ServerView &View, VmKey Vm) {
  for (auto &[Id, Of] : View.m_Servers)
    Of.m_PeerInFlight.erase(
        std::remove_if(Of.m_PeerInFlight.begin(), Of.m_PeerInFlight.end(),
                       [Vm](const InFlight &Each) { return Each.m_Vm == Vm; }),
        Of.m_PeerInFlight.end());
}

uint32_t inFlightAt(const Server &Of, TimePoint Now) {
  uint32_t Total = Of.m_OwnInFlight;
  for (const InFlight &Each : Of.m_PeerInFlight)
    if (Now - Each.m_ToldAt < InFlightMemory)
      Total += Each.m_Count;
  return Total;
}

bool isCold(const Server &Of, const DispatchPolicy &Policy, TimePoint Now) {
  return Now < Of.m_ColdUntil ||
         Now - Of.m_ConfirmedAt > Policy.m_ConfirmationAge;
}

double reportedSlowdown(const Server &Of, const DispatchPolicy &Policy,
                        TimePoint Now) {
  SlowdownForecast Forecast =
      forecastSlowdown(Of.m_Model->m_SlowPeriods, Policy);
  if (Of.m_ReportAt == TimePoint{})
    return Forecast.m_UnknownPercent;
  TimePoint HeldUntil = std::max(Of.m_ReportAt, Of.m_ReportValidUntil);
  double Age = std::chrono::duration<double>(Now - HeldUntil).count();
  double Trust = std::exp(-std::max(0.0, Age) / Forecast.m_DecaySeconds);
  return Trust * Of.m_Report.m_SlowdownPercent +
         (1 - Trust) * Forecast.m_UnknownPercent;
}

double slowdownOf(const Server &Of, const DispatchPolicy &Policy,
                  TimePoint Now) {
  double Slowdown = reportedSlowdown(Of, Policy, Now) * Of.m_ServiceTimeRatio;
  if (Of.m_ReportAt != TimePoint{} && Now < Of.m_ColdUntil)
    Slowdown *= Policy.m_ColdSlowdown / 100;
  return Slowdown;
}

} // namespace hyssopcross::dispatch
