#include "hyssopcross/gateway/Node.h"
#include "CallDispatcher.h"
#include "DiscoveryClient.h"
#include "FleetMessenger.h"
#include "HealthChecker.h"
#include "QuotaHost.h"
#include "RolloutHost.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/base/Recovery.h"
#include "hyssopcross/http/Listener.h"
#include <charconv>
#include <map>

namespace hyssopcross::gateway {

namespace {

using boost::system::error_code;

/// Interval of the periodic maintenance: connection timeouts, servers with
/// expired rows, readiness.
constexpr Duration UpkeepInterval = std::chrono::milliseconds(50);
/// Interval at which the estimated parameters of each service are logged.
constexpr Duration ModelLogInterval = std::chrono::seconds(5);
/// Time for the greetings of other VMs to arrive before the directory returns
/// any addresses; some ten round trips between data centres.
constexpr Duration GreetingWait = std::chrono::milliseconds(80);
/// Share of the grace period in which a stopping VM still accepts new requests.
constexpr double StopAcceptShare = 0.7;
/// Longest time that callers use an address, in multiples of the maximum age of
/// a directory response: some keep one for three times its age.
constexpr int DirectoryAgesKept = 3;
/// Part of the grace period reserved for the process to exit by itself.
constexpr Duration StopMargin = std::chrono::milliseconds(150);
/// If a caller's data centre has fewer ready VMs than this, the directory
/// returns those of all data centres.
constexpr size_t MinLocalHosts = 2;
/// Maximum number of addresses in a directory response.
constexpr size_t MaxHosts = 64;
/// Divisor of the process's memory limit: request bodies may take one part in
/// this many.
constexpr uint64_t BodyMemoryShare = 4;
/// Retry-After of a request that is refused for lack of memory; bodies are read
/// and answered within about this time.
constexpr unsigned MemoryRetrySeconds = 1;
/// Interval between two log lines of refused input with the same cause, or of
/// exceptions that reached the event loop.
constexpr Duration FaultLogInterval = std::chrono::seconds(1);

} // namespace

struct Node::Parts {
  Parts(boost::asio::io_context &Loop, const Clock &Time, Settings Given,
        const PlatformCodec &Codec)
      : m_State(Loop, Time, std::move(Given), Codec),
        m_Fleet(m_State,
                {[this](const dispatch::Server &Of) { onServerUpdate(Of); },
                 [this](const fleet::TableRows &News) {
                   m_Discovery.applyPeerRows(News);
                 },
                 [this](const fleet::Following &News, const std::string &Host) {
                   m_Discovery.applyPeerFollowing(News, Host);
                 },
                 [this] { return m_Discovery.ownFollowing(); },
                 [this](const fleet::Datagram &News, const std::string &Host) {
                   m_Quotas.receive(News, Host);
                 },
                 [this](const fleet::Datagram &News, const std::string &Host) {
                   m_Rollouts.onMessage(News, Host);
                 }}),
        m_Rollouts(m_State, m_Fleet),
        m_Health(m_State,
                 [this](const CheckUpdate &News) {
                   if (News.m_Result != dispatch::CheckResult::Known)
                     m_Fleet.queueCheckUpdate(News);
                   onServerUpdate(News.m_Server);
                 }),
        m_Quotas(m_State, m_Fleet),
        m_Calls(m_State, m_Fleet, m_Quotas, m_Health, m_Rollouts),
        m_Discovery(m_State, m_Fleet, m_Rollouts,
                    [this] { configurationChanged(); }),
        m_Callers(Loop, Time, [this](auto Asked) { m_Calls.begin(Asked); }),
        m_Readiness(Loop, Time, [this](auto Asked) { answerReadiness(Asked); }),
        m_Directory(Loop, Time, [this](auto Asked) { answerDirectory(Asked); }),
        m_Internal(Loop, Time, [this](auto Asked) { answerInternal(Asked); }),
        m_UpkeepTimer(Loop) {
    m_Callers.setRefusal([this](unsigned Status) { return refusal(Status); });
    for (http::Listener *Each :
         {&m_Callers, &m_Readiness, &m_Directory, &m_Internal})
      Each->setFaultObserver(
          [this](http::InputFault Fault, std::string_view Detail) {
            noteFault(Fault, Detail);
          });
    setLimits();
  }

  /// When a kind of fault was last logged, and how many have not been logged
  /// since.
  struct FaultLog {
    TimePoint m_LoggedAt{};
    uint64_t m_Unlogged = 0;
  };

  http::Response refusal(unsigned Status) const;
  /// Whether a fault may be logged now; one that may not is counted.
  bool takeLogTurn(FaultLog &Log) const;
  void noteFault(http::InputFault Fault, std::string_view Detail);

  void onServerUpdate(const dispatch::Server &Of);
  void configurationChanged();
  /// Sets what the listeners accept, by the settings and the configuration in
  /// force.
  void setLimits();
  /// Passes on the quotas of the configuration in force.
  void setQuotas();
  void answerReadiness(const std::shared_ptr<http::Exchange> &Asked);
  void answerDirectory(const std::shared_ptr<http::Exchange> &Asked);
  void answerInternal(const std::shared_ptr<http::Exchange> &Asked);
  void answerRows(const std::shared_ptr<http::Exchange> &Asked,
                  std::string_view Target);
  void upkeep();
  void scheduleUpkeep();
  void updateReadiness();
  void continueStop();

  NodeState m_State;
  FleetMessenger m_Fleet;
  RolloutHost m_Rollouts;
  HealthChecker m_Health;
  QuotaHost m_Quotas;
  CallDispatcher m_Calls;
  DiscoveryClient m_Discovery;
  http::Listener m_Callers;
  http::Listener m_Readiness;
  http::Listener m_Directory;
  http::Listener m_Internal;
  boost::asio::steady_timer m_UpkeepTimer;
  TimePoint m_StartedAt{};
  TimePoint m_ModelsLoggedAt{};
  /// By the cause of refused input.
  std::map<http::InputFault, FaultLog> m_FaultLogs;
  FaultLog m_LoopFaultLog;
  std::function<void()> m_Ended;
};

void Node::Parts::onServerUpdate(const dispatch::Server &Of) {
  m_Calls.serverReported(Of);
  m_Calls.reconsiderSoon(Of.m_Record.m_Service);
}

http::Response Node::Parts::refusal(unsigned Status) const {
  http::Response Made = http::makeResponse(Status);
  if (Status == 503)
    Made.set(m_State.m_PlatformCodec.m_Headers.m_RetryAfter,
             std::to_string(MemoryRetrySeconds));
  return Made;
}

bool Node::Parts::takeLogTurn(FaultLog &Log) const {
  TimePoint Now = m_State.now();
  if (Log.m_LoggedAt != TimePoint{} &&
      Now - Log.m_LoggedAt < FaultLogInterval) {
    ++Log.m_Unlogged;
    return false;
  }
  Log.m_LoggedAt = Now;
  return true;
}

void Node::Parts::noteFault(http::InputFault Fault, std::string_view Detail) {
  m_State.m_Metrics.noteClientRefused(http::inputFaultName(Fault));
  FaultLog &Log = m_FaultLogs[Fault];
  if (!takeLogTurn(Log))
    return;
  logEvent(Fault == http::InputFault::Exception ? LogLevel::Error
                                                : LogLevel::Warning,
           "client_refused",
           {{"cause", http::inputFaultName(Fault)},
            {"status", http::inputFaultStatus(Fault)},
            {"detail", std::string(Detail)},
            {"unlogged", std::exchange(Log.m_Unlogged, 0)}});
}

void Node::Parts::configurationChanged() {
  uint32_t HeaderBytes =
      m_State.m_ActiveConfiguration->m_Configuration.m_Limits.m_HeaderBytes;
  if (HeaderBytes > http::MaxHeaderBytes)
    logEvent(LogLevel::Warning, "header_limit_capped",
             {{"configured", HeaderBytes}, {"cap", http::MaxHeaderBytes}});
  setLimits();
  setQuotas();
  m_Calls.configurationChanged();
  updateReadiness();
}

void Node::Parts::setLimits() {
  const Settings &Own = m_State.m_Settings;
  http::ServerLimits Taken;
  Taken.m_HeaderFields = Own.m_ClientHeaderFields;
  Taken.m_ExtraBytes = Own.m_ClientExtraBytes;
  Taken.m_HeldBytes = Own.m_MemoryBytes / BodyMemoryShare;
  for (http::Listener *Each : {&m_Readiness, &m_Directory, &m_Internal})
    Each->setLimits(Taken);
  if (m_State.m_ActiveConfiguration) {
    const routing::CallerLimits &Limits =
        m_State.m_ActiveConfiguration->m_Configuration.m_Limits;
    Taken.m_HeaderBytes = std::min(Limits.m_HeaderBytes, http::MaxHeaderBytes);
    Taken.m_BodyBytes = Limits.m_BodyBytes;
    Taken.m_HeaderTimeout = Limits.m_HeaderTimeout;
    Taken.m_IdleTimeout = Limits.m_IdleTimeout;
  }
  m_Callers.setLimits(Taken);
}

void Node::Parts::setQuotas() {
  std::map<std::string, quota::Quota, std::less<>> Quotas;
  const auto &Organisations =
      m_State.m_ActiveConfiguration->m_Configuration.m_Organisations;
  if (Organisations)
    for (const auto &[Name, Each] : *Organisations)
      if (Each.m_RequestsPerSecond > 0)
        Quotas[Name] = {Each.m_RequestsPerSecond, Each.m_Burst};
  m_Quotas.setQuotas(Quotas);
}

void Node::Parts::updateReadiness() {
  bool Ready = m_State.m_ActiveConfiguration && m_Discovery.isComplete() &&
               m_State.now() - m_StartedAt >= GreetingWait;
  bool &Known = m_State.m_Fleet.m_Self.m_Ready;
  if (Ready == Known)
    return;
  Known = Ready;
  ++m_State.m_Fleet.m_Version;
  logEvent(LogLevel::Info, "readiness",
           {{"ready", Ready},
            {"since_start_ms", toMillis(m_State.now() - m_StartedAt)}});
  m_Fleet.announce();
}

void Node::Parts::answerReadiness(
    const std::shared_ptr<http::Exchange> &Asked) {
  bool IsAsked = http::pathOf(http::toView(Asked->m_Request.target())) ==
                 m_State.m_PlatformCodec.m_ReadinessPath;
  bool Ready = m_State.m_Fleet.m_Self.m_Ready && !m_State.isStopping();
  Asked->answer(http::makeResponse(!IsAsked ? 404 : Ready ? 200 : 503));
}

void Node::Parts::answerDirectory(
    const std::shared_ptr<http::Exchange> &Asked) {
  if (http::pathOf(http::toView(Asked->m_Request.target())) !=
      m_State.m_PlatformCodec.m_DirectoryPath)
    return Asked->answer(http::makeResponse(404));
  auto Question =
      m_State.m_PlatformCodec.m_DecodeDirectoryQuery(Asked->m_Request);
  std::vector<std::string> Hosts;
  if (m_State.now() - m_StartedAt >= GreetingWait)
    Hosts = fleet::hostsForCaller(m_State.m_Fleet, Question.m_DataCentre,
                                  MinLocalHosts, MaxHosts);
  if (Hosts.empty())
    return Asked->answer(http::makeResponse(503));
  Asked->answer(m_State.m_PlatformCodec.m_EncodeDirectoryResponse(
      Hosts, m_State.m_Settings.m_Callers.m_Port,
      m_State.m_Settings.m_DirectoryMaxAge));
}

void Node::Parts::answerInternal(const std::shared_ptr<http::Exchange> &Asked) {
  std::string_view Target = http::toView(Asked->m_Request.target());
  if (http::pathOf(Target) == "/rows")
    return answerRows(Asked, Target);
  if (http::pathOf(Target) != "/metrics")
    return Asked->answer(http::makeResponse(404));
  m_State.m_Metrics.gauge(
      "servers", static_cast<double>(m_State.m_Servers.m_Servers.size()));
  m_State.m_Metrics.gauge("calls_active",
                          static_cast<double>(m_Calls.activeCount()));
  m_State.m_Metrics.gauge("caller_connections",
                          static_cast<double>(m_Callers.connectionCount()));
  m_State.m_Metrics.gauge("server_connections_opened",
                          static_cast<double>(m_State.m_Client.openedCount()));
  m_State.m_Metrics.gauge("server_connection_faults",
                          static_cast<double>(m_State.m_Client.faultCount()));
  m_State.m_Metrics.gauge(
      "configuration_version",
      m_State.m_ActiveConfiguration
          ? static_cast<double>(
                m_State.m_ActiveConfiguration->m_Configuration.m_Version)
          : 0.0);
  m_State.m_Metrics.gauge("quota_organisations_granted",
                          static_cast<double>(m_Quotas.grantedCount()));
  m_State.m_Metrics.gauge("store_era", static_cast<double>(m_Discovery.era()));
  Asked->answer(http::makeResponse(200, m_State.m_Metrics.render(),
                                   "text/plain; version=0.0.4"));
}

void Node::Parts::answerRows(const std::shared_ptr<http::Exchange> &Asked,
                             std::string_view Target) {
  uint64_t Table = 0;
  discovery::Revision After;
  for (auto [Name, To] :
       {std::pair("table", &Table), std::pair("era", &After.m_Era),
        std::pair("after", &After.m_Version)}) {
    std::string Text = http::queryParameter(Target, Name);
    // A VM of an older build states no era.
    if (To == &After.m_Era && Text.empty())
      continue;
    auto [End, Failure] =
        std::from_chars(Text.data(), Text.data() + Text.size(), *To);
    if (Failure != std::errc() || End != Text.data() + Text.size())
      return Asked->answer(http::makeResponse(400));
  }
  auto Rows = m_Discovery.rowsAfter(static_cast<uint32_t>(Table), After);
  if (!Rows)
    return Asked->answer(http::makeResponse(503, Rows.error().m_Message));
  Asked->answer(http::makeResponse(200, fleet::encodeRows(Rows.value()),
                                   "application/octet-stream"));
}

void Node::Parts::upkeep() {
  m_Fleet.noteRunning();
  m_Callers.sweep();
  m_Readiness.sweep();
  m_Directory.sweep();
  m_Internal.sweep();
  m_State.m_Client.sweep();
  m_Discovery.sweep();
  m_Rollouts.sweep(m_Discovery.era());
  m_Calls.confirmCrashes();
  m_Quotas.upkeep();
  updateReadiness();
  if (m_State.now() - m_ModelsLoggedAt >= ModelLogInterval) {
    m_ModelsLoggedAt = m_State.now();
    logServiceModels(m_State);
  }
  if (m_State.isStopping())
    continueStop();
  scheduleUpkeep();
}

void Node::Parts::scheduleUpkeep() {
  m_UpkeepTimer.expires_after(UpkeepInterval);
  m_UpkeepTimer.async_wait([this](const error_code &Ended) {
    if (Ended)
      return;
    runWithRecovery([this] { upkeep(); },
                    [this] {
                      scheduleUpkeep();
                      if (m_State.isStopping())
                        continueStop();
                    });
  });
}

void Node::Parts::continueStop() {
  if (!m_Ended)
    return;
  TimePoint Now = m_State.now();
  Duration Grace = m_State.m_Settings.m_StopGrace;
  Duration Passed = Now - m_State.m_Stop.m_BeganAt;
  Duration Taking =
      std::min(scale(Grace, StopAcceptShare),
               m_State.m_Settings.m_DirectoryMaxAge * DirectoryAgesKept);
  bool NobodyLeft = m_Callers.connectionCount() == 0 && Passed >= Taking / 2;
  if (Passed >= Taking || NobodyLeft) {
    m_Callers.stopAccepting();
    m_Callers.closeIdle();
  }
  bool Done = (Passed >= Taking || NobodyLeft) && m_Calls.activeCount() == 0 &&
              m_Callers.busyCount() == 0;
  if (!Done && Now < m_State.m_Stop.m_EndAt)
    return;
  logEvent(
      LogLevel::Info, "stopped",
      {{"after_ms", toMillis(Passed)}, {"calls_left", m_Calls.activeCount()}});
  m_Calls.abandonAll();
  std::exchange(m_Ended, nullptr)();
}

Node::Node(boost::asio::io_context &Loop, const Clock &Time, Settings Given,
           const PlatformCodec &Codec)
    : m_Parts(std::make_unique<Parts>(Loop, Time, std::move(Given), Codec)) {}

Node::~Node() = default;

Result<void> Node::start() {
  const Settings &Given = m_Parts->m_State.m_Settings;
  m_Parts->m_StartedAt = m_Parts->m_State.now();
  for (auto [Listener, At] :
       {std::pair(&m_Parts->m_Callers, &Given.m_Callers),
        std::pair(&m_Parts->m_Readiness, &Given.m_Readiness),
        std::pair(&m_Parts->m_Directory, &Given.m_Directory),
        std::pair(&m_Parts->m_Internal, &Given.m_Internal)}) {
    auto Bound = Listener->listen(*At);
    if (!Bound)
      return Bound;
  }
  auto Fleet = m_Parts->m_Fleet.start();
  if (!Fleet)
    return Fleet;
  logEvent(LogLevel::Info, "started",
           {{"name", Given.m_Name},
            {"host", Given.m_Host},
            {"data_centre", Given.m_DataCentre},
            {"callers", Given.m_Callers.toString()},
            {"metrics", Given.m_Internal.toString()},
            {"incarnation", m_Parts->m_State.m_Fleet.m_Self.m_Incarnation}});
  m_Parts->m_Discovery.start();
  m_Parts->m_Health.start();
  m_Parts->upkeep();
  return boost::outcome_v2::success();
}

void Node::reload(const Settings &Given) {
  Settings &Own = m_Parts->m_State.m_Settings;
  Own.m_StopGrace = Given.m_StopGrace;
  Own.m_ConfigurationBound = Given.m_ConfigurationBound;
  Own.m_DirectoryMaxAge = Given.m_DirectoryMaxAge;
  Own.m_HealthInterval = Given.m_HealthInterval;
  Own.m_Repeats = Given.m_Repeats;
  Own.m_Dispatch = Given.m_Dispatch;
  Own.m_FleetPolicy = Given.m_FleetPolicy;
  Own.m_Quota = Given.m_Quota;
  Own.m_Rollout = Given.m_Rollout;
  Own.m_ClientHeaderFields = Given.m_ClientHeaderFields;
  Own.m_ClientExtraBytes = Given.m_ClientExtraBytes;
  m_Parts->setLimits();
  logEvent(LogLevel::Info, "reloaded", {{"name", Own.m_Name}});
}

void Node::noteLoopException(std::string_view What) {
  Parts &Own = *m_Parts;
  Own.m_State.m_Metrics.count("loop_exception");
  if (!Own.takeLogTurn(Own.m_LoopFaultLog))
    return;
  logEvent(LogLevel::Error, "loop_exception",
           {{"error", std::string(What)},
            {"unlogged", std::exchange(Own.m_LoopFaultLog.m_Unlogged, 0)}});
}

void Node::stop(std::function<void()> Ended) {
  Parts &Own = *m_Parts;
  if (Own.m_State.isStopping())
    return;
  TimePoint Now = Own.m_State.now();
  Own.m_State.m_Stop = {Now,
                        Now + Own.m_State.m_Settings.m_StopGrace - StopMargin};
  Own.m_Ended = std::move(Ended);
  Own.m_State.m_Fleet.m_Self.m_Leaving = true;
  ++Own.m_State.m_Fleet.m_Version;
  logEvent(LogLevel::Info, "stopping",
           {{"calls", Own.m_Calls.activeCount()},
            {"grace_ms", toMillis(Own.m_State.m_Settings.m_StopGrace)}});
  Own.m_Callers.closeAfterAnswers();
  Own.m_Fleet.announce();
}

} // namespace hyssopcross::gateway
