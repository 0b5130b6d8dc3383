#include "NodeState.h"
#include "hyssopcross/base/Log.h"

namespace hyssopcross::gateway {

void refreshCandidates(NodeState &State) {
  State.m_Rings = fleet::buildRings(State.m_Servers);
  const fleet::VmInfo &Self = State.m_Fleet.m_Self;
  for (auto &[Id, Of] : State.m_Servers.m_Servers)
    Of.m_IsCandidate = fleet::usesServer(Self.m_Host, Self.m_DataCentre, Of,
                                         State.m_Rings[Of.m_Record.m_Service],
                                         State.m_Settings.m_FleetPolicy);
  dispatch::partitionCandidatesFirst(State.m_Servers);
  ++State.m_RingsVersion;
}

void noteReport(NodeState &State, dispatch::Server &Of,
                const dispatch::LoadReport &Report) {
  bool WasInService = dispatch::isInService(State.m_Servers, Of);
  dispatch::recordReport(Of, Report, Duration(0), State.now());
  if (dispatch::isInService(State.m_Servers, Of) != WasInService)
    ++State.m_ServersVersion;
}

bool noteLeaving(NodeState &State, const std::string &Id, int64_t Incarnation,
                 const char *Source) {
  if (!dispatch::recordDraining(State.m_Servers, Id, Incarnation, State.now()))
    return false;
  ++State.m_ServersVersion;
  State.m_Metrics.count("server_leaving");
  logEvent(LogLevel::Info, "server_leaving",
           {{"server", Id}, {"incarnation", Incarnation}, {"told_by", Source}});
  return true;
}

namespace {

void noteRefusal(NodeState &State, const ServerResponse &From,
                 const char *Source) {
  auto Refusal = State.m_PlatformCodec.m_DecodeRetryAfter(From.m_Answer);
  if (!Refusal) {
    State.m_Metrics.count("refusal_time_malformed");
    logEvent(LogLevel::Warning, "refusal_time_malformed",
             {{"server", From.m_Server},
              {"error", Refusal.error().m_Message},
              {"outcome", "ignored"}});
    return;
  }
  if (!Refusal.value())
    return;
  Duration For =
      std::min(*Refusal.value(), State.m_Settings.m_Dispatch.m_MaxRefusalTime);
  dispatch::recordRefusal(State.m_Servers, From.m_Server, From.m_Incarnation,
                          For, State.now());
  State.m_Metrics.count("server_refuses");
  logEvent(LogLevel::Info, "server_refuses",
           {{"server", From.m_Server},
            {"told_by", Source},
            {"told_ms", toMillis(*Refusal.value())},
            {"for_ms", toMillis(For)}});
}

bool noteLimit(NodeState &State, const ServerResponse &From,
               const char *Source) {
  auto Limit = State.m_PlatformCodec.m_DecodeRequestLimit(From.m_Answer);
  if (!Limit) {
    State.m_Metrics.count("request_limit_malformed");
    logEvent(LogLevel::Warning, "request_limit_malformed",
             {{"server", From.m_Server},
              {"error", Limit.error().m_Message},
              {"outcome", "ignored"}});
    return false;
  }
  bool Changed = dispatch::recordLimit(
      State.m_Servers, From.m_Server, From.m_Incarnation,
      {Limit.value(), From.m_IsCheck, From.m_IsComplete, From.m_SentAt},
      State.now());
  if (Changed)
    logLimit(State, From.m_Server, From.m_Incarnation, Limit.value(), Source);
  return Changed;
}

} // namespace

void logLimit(NodeState &State, const std::string &Id, int64_t Incarnation,
              std::optional<double> PerSecond, const char *Source) {
  State.m_Metrics.count(PerSecond ? "request_limit" : "request_limit_lifted");
  logEvent(LogLevel::Info, PerSecond ? "request_limit" : "request_limit_lifted",
           {{"server", Id},
            {"incarnation", Incarnation},
            {"per_second", PerSecond.value_or(0)},
            {"told_by", Source}});
}

NoticeChanges noteServerNotices(NodeState &State, const ServerResponse &From) {
  const char *Source = From.m_IsCheck ? "check" : "answer";
  noteRefusal(State, From, Source);
  NoticeChanges Changes;
  Changes.m_LimitChanged = noteLimit(State, From, Source);
  Changes.m_LeavesNow =
      State.m_PlatformCodec.m_DecodeIsLeaving(From.m_Answer) &&
      noteLeaving(State, From.m_Server, From.m_Incarnation, Source);
  return Changes;
}

void noteSuspect(NodeState &State, dispatch::RequestFingerprint Request,
                 const char *Source) {
  ++State.m_SuspectsVersion;
  const dispatch::Suspect &Known = State.m_Suspects.m_Suspects[Request];
  TimePoint Until = dispatch::quarantinedUntil(
      State.m_Suspects, State.m_Settings.m_Dispatch, Request);
  bool IsQuarantined = State.now() < Until;
  bool IsCleared = Known.m_Crashes.empty();
  State.m_Metrics.count(IsQuarantined ? "request_quarantined"
                        : IsCleared   ? "request_cleared"
                                      : "request_suspected");
  logEvent(IsQuarantined ? LogLevel::Warning : LogLevel::Info,
           IsQuarantined ? "request_quarantined"
           : IsCleared   ? "request_cleared"
                         : "request_suspected",
           {{"fingerprint", Request},
            {"crashes", Known.m_Crashes.size()},
            {"server", IsCleared ? "" : Known.m_Crashes.back().m_Server},
            {"for_ms", IsQuarantined ? toMillis(Until - State.now()) : 0},
            {"told_by", Source}});
}

void logServiceModels(const NodeState &State) {
  const dispatch::DispatchPolicy &Policy = State.m_Settings.m_Dispatch;
  for (const auto &[Service, Servers] : State.m_Servers.m_ByService) {
    if (Servers.empty())
      continue;
    const dispatch::ServiceModel &Model = *Servers.front()->m_Model;
    uint32_t Slots = Servers.front()->m_Record.m_Slots;
    dispatch::SlowdownForecast Spells =
        dispatch::forecastSlowdown(Model.m_SlowPeriods, Policy);
    auto StretchAt = [&](uint32_t InFlight) {
      return static_cast<int>(
          100 *
          dispatch::occupancySlowdown(Model.m_Curve, Policy, InFlight, Slots));
    };
    logEvent(
        LogLevel::Info, "service_learned",
        {{"service", Service},
         {"slots", Slots},
         {"half_full_stretch_pct", StretchAt((Slots + 1) / 2)},
         {"before_full_stretch_pct", StretchAt(std::max(1U, Slots - 1))},
         {"full_stretch_pct", StretchAt(Slots)},
         {"unknown_slowdown_pct", static_cast<int>(Spells.m_UnknownPercent)},
         {"speed_memory_ms", static_cast<int>(Spells.m_DecaySeconds * 1000)}});
  }
}

} // namespace hyssopcross::gateway
