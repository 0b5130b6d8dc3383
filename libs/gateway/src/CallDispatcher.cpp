#include "CallDispatcher.h"
#include "hyssopcross/base/Invariant.h"
#include "hyssopcross/base/Log.h"
#include <algorithm>

namespace hyssopcross::gateway {

namespace {

using boost::system::error_code;

/// Deadline of a request that carries none and whose route has no timeout.
constexpr Duration DefaultDeadline = std::chrono::seconds(30);
/// Time reserved for a response to reach the caller before it gives up.
constexpr Duration ResponseTravelTime = std::chrono::milliseconds(3);
/// Callers of a route use different deadlines: a first attempt has at least
/// this share of the longest deadline seen. A shorter one comes from a caller
/// that has already spent time on an earlier attempt.
constexpr double FirstAttemptShare = 0.8;
/// Retry-After of requests that arrive before a configuration is known.
constexpr Duration StartRetryAfter = std::chrono::milliseconds(300);

std::string hostOf(const http::Request &Asked) {
  std::string_view Host = http::headerOf(Asked.base(), "Host");
  return std::string(Host.substr(0, Host.find(':')));
}

/// Names the kind of credential that a refused request needs.
void setChallenge(http::Response &Answer) {
  Answer.set(boost::beast::http::field::www_authenticate, "Bearer");
}

std::string decimalSeconds(Duration Length) {
  int64_t Millis = std::max<int64_t>(1, toMillis(Length));
  std::string Fraction = std::to_string(Millis % 1000);
  return std::to_string(Millis / 1000) + "." +
         std::string(3 - Fraction.size(), '0') + Fraction;
}

} // namespace

CallDispatcher::CallDispatcher(NodeState &State, FleetMessenger &Fleet,
                               QuotaHost &Quotas, HealthChecker &Health,
                               RolloutHost &Rollouts)
    : m_State(State), m_Fleet(Fleet), m_Quotas(Quotas), m_Rollouts(Rollouts),
      m_OwnsWarmup([&Health](const dispatch::Server &Each) {
        return Health.ownsWarmup(Each);
      }) {}

http::Response CallDispatcher::makeLocalResponse(unsigned Status,
                                                 const std::string &Id) const {
  http::Response Answer = http::makeResponse(Status);
  if (!Id.empty())
    Answer.set(m_State.m_PlatformCodec.m_Headers.m_RequestId, Id);
  return Answer;
}

void CallDispatcher::answerEarly(const std::shared_ptr<http::Exchange> &Asked,
                                 const std::string &Id, unsigned Status,
                                 const char *Why) {
  http::Response Answer = makeLocalResponse(Status, Id);
  if (Status == 503)
    Answer.set(m_State.m_PlatformCodec.m_Headers.m_RetryAfter,
               decimalSeconds(StartRetryAfter));
  if (Status == 401)
    setChallenge(Answer);
  logEvent(LogLevel::Info, "request",
           {{"id", Id},
            {"host", hostOf(Asked->m_Request)},
            {"target", std::string(http::toView(Asked->m_Request.target()))},
            {"outcome", "refused"},
            {"status", Status},
            {"why", Why},
            {"configuration",
             m_State.m_ActiveConfiguration
                 ? m_State.m_ActiveConfiguration->m_Configuration.m_Version
                 : 0}});
  m_State.m_Metrics.noteRequest("refused", "none", Duration(0));
  Asked->answer(std::move(Answer));
}

void CallDispatcher::begin(const std::shared_ptr<http::Exchange> &Asked) {
  TimePoint Now = m_State.now();
  CallMetadata Head = m_State.m_PlatformCodec.m_DecodeCall(Asked->m_Request);
  if (!m_State.m_ActiveConfiguration)
    return answerEarly(Asked, Head.m_RequestId, 503, "no_configuration");
  std::string_view Target = http::toView(Asked->m_Request.target());
  const routing::Route *Route = m_State.m_ActiveConfiguration->m_Routes.find(
      hostOf(Asked->m_Request), http::pathOf(Target));
  if (!Route) {
    // While the store is unreachable, a newer configuration may contain the
    // route.
    bool IsCurrent = m_State.m_SeesOperator;
    return answerEarly(Asked, Head.m_RequestId, IsCurrent ? 404 : 503,
                       IsCurrent ? "no_route" : "no_route_known");
  }
  if (refuseUnknownKey(Asked, *Route, Head))
    return;
  auto Made = std::make_shared<Call>();
  Made->m_Exchange = Asked;
  Made->m_ActiveConfiguration = m_State.m_ActiveConfiguration;
  Made->m_Route = Route;
  Made->m_Id = Head.m_RequestId;
  Made->m_Caller = std::move(Head.m_Caller);
  Made->m_Key = std::move(Head.m_Key);
  Made->m_ReceivedAt = Asked->m_ReceivedAt;
  size_t Part = routing::selectPart(*Route, m_Turns[Route->m_Name]);
  Made->m_Service = Route->m_Parts[Part].m_Service;
  Made->m_Request =
      std::make_shared<http::Request>(std::move(Asked->m_Request));
  Made->m_RequestBytes = Made->m_Request->body().size();
  http::removeConnectionHeaders(*Made->m_Request);
  Made->m_Request->version(11);
  Made->m_Request->prepare_payload();
  checkKey(Made);

  Duration Deadline = Head.m_Deadline.value_or(DefaultDeadline);
  Duration &Full = m_FullDeadlines[Route->m_Name];
  Full = std::max(Full, Deadline);
  Duration Waited =
      std::max(Duration(0), scale(Full, FirstAttemptShare) - Deadline);
  Made->m_ObjectiveAt =
      Made->m_ReceivedAt - Waited + Route->m_Objective - ResponseTravelTime;
  Duration Allowed = Deadline - ResponseTravelTime;
  if (Route->m_Timeout > Duration(0))
    Allowed = std::min(Allowed, Route->m_Timeout);
  Made->m_EndAt = Made->m_ReceivedAt + Allowed;
  Duration Slack = std::max(Duration(0), Made->m_ObjectiveAt - Now -
                                             expectedServiceTime(*Route));
  Made->m_QueueUntil =
      Now + scale(Slack, m_State.m_Settings.m_Dispatch.m_QueueShare);
  Made->m_IsTrial = m_Rollouts.takeRequest(Made->m_Service);
  m_Budgets[Made->m_Service].recordRequest(Now);
  m_Calls.insert(Made);
  Asked->onPeerGone([this, Made] { callerDisconnected(Made); });
  if (!dispatch::completesBeforeShutdown(
          m_State.m_Stop, m_State.m_Settings.m_Dispatch,
          expectedServiceTime(*Route), Made->m_EndAt, Now))
    return refuse(Made, 503, "stopping",
                  m_State.m_Settings.m_Dispatch.m_MinRetryAfter);
  takeToken(Made);
}

void CallDispatcher::takeToken(const CallRef &Of) {
  if (!Of->m_Organisation || !m_Quotas.hasQuota(Of->m_Organisation->m_Name))
    return decide(Of);
  Of->m_QuotaOrganisation = Of->m_Organisation->m_Name;
  // The decision may be made before admit() returns.
  Of->m_TokenAsk = 0;
  uint64_t Id = m_Quotas.admit(
      Of->m_QuotaOrganisation, [this, Of](const quota::Decision &Made) {
        Of->m_TokenAsk.reset();
        if (Made.m_Cause == quota::Cause::OverQuota)
          return refuse(Of, 429, "over_quota", Made.m_RetryAfter);
        if (Made.m_Cause == quota::Cause::NoGranter)
          return refuse(Of, 503, "no_quota_granter", Made.m_RetryAfter);
        Of->m_HasToken = true;
        decide(Of);
      });
  if (Of->m_TokenAsk)
    Of->m_TokenAsk = Id;
}

void CallDispatcher::releaseToken(const CallRef &Of) {
  if (Of->m_TokenAsk)
    m_Quotas.cancel(*std::exchange(Of->m_TokenAsk, std::nullopt));
  bool WasSent = Of->m_Arrivals > 0 || Of->m_MayHaveRun;
  if (std::exchange(Of->m_HasToken, false) && !WasSent)
    m_Quotas.giveBack(Of->m_QuotaOrganisation);
}

dispatch::RouteStatistics
CallDispatcher::workEstimate(const routing::Route &Of) const {
  auto Known = m_Work.find(Of.m_Name);
  return Known == m_Work.end() ? dispatch::RouteStatistics() : Known->second;
}

Duration CallDispatcher::expectedServiceTime(const routing::Route &Of) const {
  return dispatch::expectedServiceTime(
      workEstimate(Of), m_State.m_Settings.m_Dispatch, Of.m_Objective);
}

dispatch::CallInputs CallDispatcher::inputsOf(const CallRef &Of) const {
  const routing::Route &Route = *Of->m_Route;
  dispatch::CallInputs Inputs;
  Inputs.m_Service = Of->m_Service;
  Inputs.m_ObjectiveAt = Of->m_ObjectiveAt;
  auto Pressed = m_OverloadedUntil.find(Of->m_Service);
  Inputs.m_IsUnderPressure =
      Pressed != m_OverloadedUntil.end() && m_State.now() < Pressed->second;
  Inputs.m_EndAt = Of->m_EndAt;
  Inputs.m_QueueUntil = Of->m_QueueUntil;
  Inputs.m_Tried = Of->m_Tried;
  Inputs.m_Work = expectedServiceTime(Route);
  Inputs.m_Objective = Route.m_Objective;
  Inputs.m_Bytes = std::max(static_cast<uint64_t>(workEstimate(Route).m_Bytes),
                            Of->m_RequestBytes);
  Inputs.m_VmCount = fleet::quotaDivisor(m_State.m_Fleet);
  if (auto Queue = m_Queues.find(Of->m_Service); Queue != m_Queues.end())
    Inputs.m_QueueLength = Queue->second.size() - (Of->m_IsQueued ? 1 : 0);
  if (auto Known = m_PromisedAt.find(Of->m_Service);
      Known != m_PromisedAt.end())
    Inputs.m_PromisedAt = Known->second;
  Inputs.m_Admits =
      m_Rollouts.filterOf(Of->m_Service, Of->m_IsTrial, Of->m_Attempts.empty());
  return Inputs;
}

double CallDispatcher::warmupRate(const std::string &Service) const {
  const auto *Known = m_State.serviceSettings(Service);
  return Known ? Known->m_WarmupRate : 0;
}

void CallDispatcher::decide(const CallRef &Of) {
  if (endIfKeyWithdrawn(Of) || endIfQuarantined(Of))
    return;
  TimePoint Now = m_State.now();
  auto &Queue = m_Queues[Of->m_Service];
  dispatch::CallInputs Inputs = inputsOf(Of);
  if (!Of->m_IsQueued &&
      Queue.size() >= m_State.m_Settings.m_Dispatch.m_QueueLength)
    Inputs.m_QueueUntil = Now;
  dispatch::Choice Made = dispatch::choose(
      m_State.m_Servers, m_State.m_Settings.m_Dispatch, Inputs, m_OwnsWarmup,
      warmupRate(Of->m_Service), m_State.m_Random, Now);
  if (Of->m_IsTrial && Made.m_Verdict != dispatch::Verdict::Send &&
      m_Rollouts.hasFallback(Of->m_Service)) {
    Of->m_IsTrial = false;
    return decide(Of);
  }
  bool IsFresh = Of->m_ObjectiveAt - Now > Inputs.m_Work;
  if (Made.m_Verdict != dispatch::Verdict::Send && IsFresh)
    m_OverloadedUntil[Of->m_Service] =
        Now + m_State.m_Settings.m_Dispatch.m_PressureTime;
  if (Made.m_PromisedAt != TimePoint{})
    m_PromisedAt[Of->m_Service] = Made.m_PromisedAt;
  if (Made.m_Verdict == dispatch::Verdict::Wait)
    return enqueue(Of, Made.m_RetryAt);
  if (std::exchange(Of->m_IsQueued, false))
    Queue.remove(Of);
  if (Made.m_Verdict == dispatch::Verdict::Send)
    return send(Of, Made);
  if (Of->m_MayHaveRun)
    return failCall(Of, 502, Of->m_LastEnd.c_str());
  refuse(Of, 503, Made.m_Reason, Made.m_RetryAfter);
}

void CallDispatcher::enqueue(const CallRef &Of, TimePoint RetryAt) {
  bool IsNew = !std::exchange(Of->m_IsQueued, true);
  if (IsNew) {
    m_Queues[Of->m_Service].push_back(Of);
    m_State.m_Metrics.count("queued");
  }
  TimePoint Armed = std::exchange(Of->m_RetryAt, TimePoint::max());
  // Other VMs with queued requests know the same time, so a random delay is
  // added.
  if (RetryAt != TimePoint{})
    Of->m_RetryAt =
        std::max(RetryAt, m_State.now()) +
        scale(m_State.m_Settings.m_Dispatch.m_SlotClaimJitter, m_State.draw());
  if (IsNew || Of->m_RetryAt != Armed)
    armTimer(Of);
}

void CallDispatcher::reconsider(std::string_view Service) {
  auto Queue = m_Queues.find(Service);
  if (Queue == m_Queues.end() || Queue->second.empty())
    return;
  std::vector<CallRef> Waiting(Queue->second.begin(), Queue->second.end());
  // The newest request is the most likely to meet its objective. Oldest first
  // would spend each free slot on a request that is about to be late.
  if (m_State.m_Settings.m_Dispatch.m_NewestFirst)
    std::reverse(Waiting.begin(), Waiting.end());
  for (const CallRef &Each : Waiting)
    if (Each->m_IsQueued && !Each->m_Ended)
      decide(Each);
}

void CallDispatcher::reconsiderSoon(const std::string &Service) {
  auto Queue = m_Queues.find(Service);
  if (Queue == m_Queues.end() || Queue->second.empty() ||
      m_ReconsiderTimers.count(Service))
    return;
  auto Timer = std::make_unique<boost::asio::steady_timer>(m_State.m_Loop);
  Timer->expires_after(
      scale(m_State.m_Settings.m_Dispatch.m_SlotClaimJitter, m_State.draw()));
  Timer->async_wait([this, Service](const error_code &Ended) {
    if (Ended)
      return;
    m_ReconsiderTimers.erase(Service);
    reconsider(Service);
  });
  m_ReconsiderTimers.emplace(Service, std::move(Timer));
}

void CallDispatcher::configurationChanged() {
  m_Turns.clear();
  endCallsWithWithdrawnKeys();
}

void CallDispatcher::onDeadline(const CallRef &Of) {
  if (Of->m_Attempts.empty() || (!Of->m_MayHaveRun && !hasActiveAttempt(Of)))
    return refuse(Of, 503, "no_time", std::chrono::milliseconds(100));
  failCall(Of, 504, "no_answer_in_time");
}

void CallDispatcher::callerDisconnected(const CallRef &Of) {
  if (Of->m_Ended)
    return;
  // A request that is not idempotent is left to complete: its effect is wanted,
  // and the server is not told to stop midway.
  Of->m_ContinueAfterDisconnect =
      !Of->m_Route->isIdempotent() && hasActiveAttempt(Of);
  end(Of, "gone", 0, "caller_left");
  if (!Of->m_ContinueAfterDisconnect)
    return;
  Of->m_Timer->expires_after(Of->m_EndAt - m_State.now());
  Of->m_Timer->async_wait([this, Of](const error_code &Ended) {
    if (!Ended)
      endAttempts(Of);
  });
}

void CallDispatcher::abandonAll() {
  std::vector<CallRef> Left(m_Calls.begin(), m_Calls.end());
  for (const CallRef &Each : Left)
    end(Each, "cut", 0, "process_ends");
}

void CallDispatcher::returnResponse(const CallRef &Of, http::Response Answer) {
  unsigned Status = Answer.result_int();
  std::string Length(http::headerOf(Answer.base(), "Content-Length"));
  http::removeConnectionHeaders(Answer);
  bool IsHead = Of->m_Request->method() == boost::beast::http::verb::head;
  if (!IsHead)
    Answer.prepare_payload();
  else if (!Length.empty())
    Answer.set(boost::beast::http::field::content_length, Length);
  Of->m_Exchange->answer(std::move(Answer));
  end(Of, "answered", Status, "");
}

void CallDispatcher::refuse(const CallRef &Of, unsigned Status, const char *Why,
                            Duration RetryAfter) {
  http::Response Answer = makeLocalResponse(Status, Of->m_Id);
  if (Status == 401)
    setChallenge(Answer);
  else
    Answer.set(m_State.m_PlatformCodec.m_Headers.m_RetryAfter,
               decimalSeconds(RetryAfter));
  Of->m_Last.m_RetryAfter = RetryAfter;
  Of->m_Exchange->answer(std::move(Answer));
  end(Of, "refused", Status, Why);
}

void CallDispatcher::failCall(const CallRef &Of, unsigned Status,
                              const char *Why) {
  http::Response Answer = makeLocalResponse(Status, Of->m_Id);
  Of->m_Exchange->answer(std::move(Answer));
  end(Of, "failed", Status, Why);
}

void CallDispatcher::end(const CallRef &Of, std::string_view Outcome,
                         unsigned Status, std::string_view Why) {
  HYSSOPCROSS_INVARIANT(!Of->m_Ended, "a call must end only once");
  Of->m_Ended = true;
  releaseToken(Of);
  if (!Of->m_ContinueAfterDisconnect)
    endAttempts(Of);
  if (Of->m_Timer)
    Of->m_Timer->cancel();
  if (std::exchange(Of->m_IsQueued, false))
    m_Queues[Of->m_Service].remove(Of);
  m_Calls.erase(Of);
  TimePoint Now = m_State.now();
  m_State.m_Metrics.noteRequest(Outcome, Of->m_Route->m_Name,
                                Now - Of->m_ReceivedAt);
  logEvent(
      LogLevel::Info, "request",
      {{"id", Of->m_Id},
       {"route", Of->m_Route->m_Name},
       {"service", Of->m_Service},
       {"organisation", Of->m_Organisation ? Of->m_Organisation->m_Name : ""},
       {"configuration", Of->m_ActiveConfiguration->m_Configuration.m_Version},
       {"outcome", Outcome},
       {"status", Status},
       {"why", Why},
       {"took_ms", toMillis(Now - Of->m_ReceivedAt)},
       {"queued_ms",
        Of->m_Attempts.empty()
            ? toMillis(Now - Of->m_ReceivedAt)
            : toMillis(Of->m_Attempts.front()->m_SentAt - Of->m_ReceivedAt)},
       {"objective_left_ms", toMillis(Of->m_ObjectiveAt - Now)},
       {"end_left_ms", toMillis(Of->m_EndAt - Now)},
       {"server", Of->m_Tried.empty() ? "" : Of->m_Tried.back()},
       {"sends", Of->m_Arrivals},
       {"estimate_ms", toMillis(Of->m_Last.m_Estimate)},
       {"slowdown_pct", static_cast<int>(Of->m_Last.m_Slowdown)},
       {"in_flight", Of->m_Last.m_InFlight},
       {"report_age_ms", toMillis(Of->m_Last.m_ReportAge)},
       {"retry_after_ms",
        Outcome == "refused" ? toMillis(Of->m_Last.m_RetryAfter) : 0}});
  Of->m_Exchange.reset();
}

} // namespace hyssopcross::gateway
