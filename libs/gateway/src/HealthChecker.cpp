#include "HealthChecker.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/base/Recovery.h"

namespace hyssopcross::gateway {

namespace {

using boost::system::error_code;

/// Timeout of a health check. Health endpoints respond at once, so this allows
/// for many round trips.
constexpr Duration CheckTimeout = std::chrono::milliseconds(200);
/// Consecutive failed checks before a server counts as unreachable; a single
/// one can be lost with its connection.
constexpr uint32_t MissesUntilUnreachable = 2;
/// Check interval of servers that receive few or no requests: cold, shutting
/// down, unreachable or out of service.
constexpr Duration SlowInterval = std::chrono::milliseconds(150);
/// Check interval of servers whose health endpoint waits for a slot like any
/// request: two checks within the time in which a server must confirm itself.
constexpr Duration SlotCheckInterval = std::chrono::milliseconds(500);
constexpr Duration SlotCheckTimeout = std::chrono::milliseconds(1500);
/// Minimum time between two regroupings, per server: at some 2 us a server,
/// regrouping takes at most a fiftieth of a core.
constexpr Duration RegroupTimePerServer = std::chrono::microseconds(100);
/// Time without reports about a server after which the next VM in rank checks
/// it too.
constexpr Duration TakeoverTime = std::chrono::milliseconds(250);

} // namespace

HealthChecker::HealthChecker(NodeState &State, Checked Handler)
    : m_State(State), m_Handler(std::move(Handler)), m_Timer(State.m_Loop) {}

void HealthChecker::start() {
  m_StartedAt = m_State.now();
  tick();
}

const HealthChecker::Duty &HealthChecker::dutyFor(const dispatch::Server &Of,
                                                  Check &Mine) {
  const fleet::Fleet &Fleet = m_State.m_Fleet;
  const fleet::FleetPolicy &Policy = m_State.m_Settings.m_FleetPolicy;
  if (std::exchange(m_DutiesVersion, Fleet.m_Version) != Fleet.m_Version)
    m_Duties.clear();
  if (Mine.m_Duty.empty())
    Mine.m_Duty = fleet::checkDuty(Of, m_Groups, Policy);
  auto [Known, IsNew] = m_Duties.try_emplace(Mine.m_Duty);
  if (IsNew) {
    const std::string &DataCentre = Of.m_Record.m_DataCentre;
    Known->second.m_Rank = fleet::dutyRank(Fleet, Mine.m_Duty, DataCentre);
    if (Known->second.m_Rank == 0)
      Known->second.m_Standbys = fleet::dutyStandbys(
          Fleet, Mine.m_Duty, DataCentre, Policy.m_CheckStandbys);
  }
  return Known->second;
}

bool HealthChecker::ownsWarmup(const dispatch::Server &Of) {
  return fleet::dutyRank(m_State.m_Fleet, "warm/" + Of.m_Record.m_Id,
                         Of.m_Record.m_DataCentre) == 0;
}

bool HealthChecker::isDue(const dispatch::Server &Of, Check &Mine,
                          TimePoint Now) {
  // A server that refuses requests for some time refuses checks too; other VMs
  // may still check it.
  if (Now < Of.m_RefusesUntil)
    return false;
  const dispatch::DispatchPolicy &Policy = m_State.m_Settings.m_Dispatch;
  bool IsIdle =
      dispatch::isDraining(Of) || dispatch::isCold(Of, Policy, Now) ||
      m_State.m_Servers.m_DisabledDataCentres.count(Of.m_Record.m_DataCentre);
  Duration Interval =
      IsIdle ? SlowInterval : m_State.m_Settings.m_HealthInterval;
  if (!Mine.m_ReportsLoad)
    Interval = std::max(Interval, SlotCheckInterval);
  // Allow for timer jitter.
  if (Now - Mine.m_StartedAt < Interval * 9 / 10)
    return false;
  const fleet::FleetPolicy &Fleeting = m_State.m_Settings.m_FleetPolicy;
  if (!fleet::mayCheck(Of.m_IsCandidate, Now - m_StartedAt, Fleeting))
    return false;
  uint32_t Rank = dutyFor(Of, Mine).m_Rank;
  if (Rank == 0)
    return true;
  // Missing reports mean nothing to a VM that does not receive them.
  bool Hears = Of.m_IsCandidate || Rank <= Fleeting.m_CheckStandbys ||
               !fleet::isLarge(m_State.m_Fleet, Fleeting);
  if (!Hears)
    return false;
  return Now - dispatch::lastHeardAt(Of) > TakeoverTime * Rank + Interval;
}

void HealthChecker::regroup() {
  m_GroupedVersion = m_State.m_ServersVersion;
  m_GroupedAt = m_State.now();
  m_Groups =
      fleet::groupServers(m_State.m_Servers, m_State.m_Settings.m_FleetPolicy);
  refreshCandidates(m_State);
  for (auto Each = m_Checks.begin(); Each != m_Checks.end();)
    if (m_State.m_Servers.m_Servers.count(Each->first)) {
      Each->second.m_Duty.clear();
      ++Each;
    } else {
      if (Each->second.m_Call)
        Each->second.m_Call->cancel();
      Each = m_Checks.erase(Each);
    }
}

void HealthChecker::tick() {
  TimePoint Now = m_State.now();
  Duration Pause = RegroupTimePerServer * m_State.m_Servers.m_Servers.size();
  if (m_GroupedVersion != m_State.m_ServersVersion &&
      Now - m_GroupedAt >= Pause)
    regroup();
  std::vector<std::string> Late;
  // Checks and servers are in the same order, so few lookups are needed.
  auto Next = m_Checks.begin();
  for (auto &[Id, Of] : m_State.m_Servers.m_Servers) {
    if (Next == m_Checks.end() || Next->first != Id)
      Next = m_Checks.emplace_hint(Next, Id, Check());
    Check &Mine = Next->second;
    ++Next;
    if (Mine.m_Call) {
      Duration Allowed = Mine.m_ReportsLoad ? CheckTimeout : SlotCheckTimeout;
      if (Now - Mine.m_StartedAt > Allowed)
        Late.push_back(Id);
      continue;
    }
    if (!isDue(Of, Mine, Now))
      continue;
    if (const auto *Service = m_State.serviceSettings(Of.m_Record.m_Service))
      begin(Of, Mine, *Service);
  }
  for (const std::string &Id : Late) {
    m_Checks[Id].m_Call->cancel();
    m_Checks[Id].m_Call.reset();
    missed(Id, "timeout", false);
  }
  scheduleTick();
}

void HealthChecker::scheduleTick() {
  m_Timer.expires_after(m_State.m_Settings.m_HealthInterval);
  m_Timer.async_wait([this](const error_code &Ended) {
    if (!Ended)
      runWithRecovery([this] { tick(); }, [this] { scheduleTick(); });
  });
}

void HealthChecker::begin(const dispatch::Server &Of, Check &Mine,
                          const routing::ServiceSettings &Service) {
  auto Asked = std::make_shared<http::Request>(
      boost::beast::http::verb::get, http::toBoost(Service.m_HealthPath), 11);
  Asked->set(boost::beast::http::field::host,
             http::toBoost(Of.m_Record.m_Address.toString()));
  Mine.m_StartedAt = m_State.now();
  m_State.m_Metrics.count("health_check");
  // Checks share connections with requests, whose second responses may arrive
  // late. The response to a check carries no request id.
  Mine.m_Call = m_State.m_Client.send(
      Of.m_Record.m_Address, Asked, std::chrono::seconds(30),
      [IdHeader = m_State.m_PlatformCodec.m_Headers.m_RequestId](
          const http::Response &Answer) {
        return http::headerOf(Answer.base(), IdHeader).empty();
      },
      [this, Id = Of.m_Record.m_Id, Incarnation = Of.m_Record.m_Incarnation](
          const http::ExchangeResult &Result) {
        ended(Id, Incarnation, Result);
      });
}

void HealthChecker::ended(const std::string &Id, int64_t Incarnation,
                          const http::ExchangeResult &Result) {
  auto Mine = m_Checks.find(Id);
  auto Found = m_State.m_Servers.m_Servers.find(Id);
  if (Mine == m_Checks.end() || Found == m_State.m_Servers.m_Servers.end())
    return;
  Mine->second.m_Call.reset();
  if (Result.m_End != http::ExchangeEnd::Answered)
    return missed(Id, http::exchangeEndName(Result.m_End),
                  Result.m_ConnectionRefused);
  std::string Answered =
      m_State.m_PlatformCodec.m_DecodeServerId(Result.m_Answer);
  if (!Answered.empty() && Answered != Id)
    return missed(Id, "other_server", false);
  NoticeChanges Changes = noteServerNotices(
      m_State, {Id, Incarnation, Result.m_Answer, true,
                Result.m_Answer.result_int() == 200, Mine->second.m_StartedAt});
  Mine->second.m_Misses = 0;
  auto Load = m_State.m_PlatformCodec.m_DecodeLoad(Result.m_Answer);
  Mine->second.m_ReportsLoad = Load.has_value();
  dispatch::LoadReport Report = Load.value_or(dispatch::LoadReport());
  // A check that was rejected for lack of a free slot says nothing about
  // health.
  bool WasRefused =
      !http::headerOf(Result.m_Answer.base(),
                      m_State.m_PlatformCodec.m_Headers.m_NotExecuted)
           .empty();
  if (Result.m_Answer.result_int() != 200 && !WasRefused)
    Report.m_Health = dispatch::LoadReport::Health::Unhealthy;
  report(Found->second, Mine->second, Report, Changes);
}

void HealthChecker::missed(const std::string &Id, const char *Why,
                           bool HasEnded) {
  auto Found = m_State.m_Servers.m_Servers.find(Id);
  if (Found == m_State.m_Servers.m_Servers.end())
    return;
  m_State.m_Metrics.count("health_check_missed");
  Check &Mine = m_Checks[Id];
  if (++Mine.m_Misses < MissesUntilUnreachable) {
    Mine.m_StartedAt = {};
    return;
  }
  if (Mine.m_Misses == MissesUntilUnreachable)
    logEvent(LogLevel::Warning, "server_unreachable",
             {{"server", Id},
              {"address", Found->second.m_Record.m_Address.toString()},
              {"why", Why},
              {"ended", HasEnded}});
  dispatch::LoadReport Report;
  Report.m_Health = dispatch::LoadReport::Health::Unreachable;
  Report.m_HasEnded = HasEnded;
  report(Found->second, Mine, Report, {});
}

void HealthChecker::report(dispatch::Server &Of, Check &Mine,
                           const dispatch::LoadReport &Report,
                           const NoticeChanges &Changes) {
  bool Changed =
      Of.m_Report.m_Health != Report.m_Health ||
      Of.m_Report.m_HasEnded != Report.m_HasEnded ||
      (Report.m_ColdFor > Duration(0)) != (Of.m_Report.m_ColdFor > Duration(0));
  noteReport(m_State, Of, Report);
  if (Changed)
    logEvent(LogLevel::Info, "server_health",
             {{"server", Of.m_Record.m_Id},
              {"health", static_cast<int>(Report.m_Health)},
              {"ended", Report.m_HasEnded},
              {"cold_ms", toMillis(Report.m_ColdFor)},
              {"slowdown_pct", Report.m_SlowdownPercent}});
  // A cold server is used by one VM, which is not necessarily among its users
  // later.
  bool IsForAll =
      Changed || Changes.m_LeavesNow || Report.m_ColdFor > Duration(0);
  dispatch::CheckResult Result = dispatch::comparePublished(
      Mine.m_Told, Report, m_State.m_Settings.m_Dispatch, m_State.now());
  if (IsForAll || Changes.m_LimitChanged)
    Result = dispatch::CheckResult::Change;
  if (Result != dispatch::CheckResult::Known)
    Mine.m_Told = {Report, m_State.now()};
  m_Handler({Of, dutyFor(Of, Mine).m_Standbys, IsForAll, Result,
             Changes.m_LeavesNow});
}

} // namespace hyssopcross::gateway
