// Attempts of a call at backend servers: sending, hedging and repeating.
#include "CallDispatcher.h"
#include "RequestFingerprint.h"
#include "hyssopcross/base/Log.h"
#include <algorithm>

namespace hyssopcross::gateway {

namespace {

using boost::system::error_code;

/// Longest idle time of a connection that is reused for a request that is not
/// idempotent: the longer it was idle, the more likely the server has closed it
/// unnoticed.
constexpr Duration NonIdempotentMaxIdle = std::chrono::seconds(3);
constexpr Duration IdempotentMaxIdle = std::chrono::seconds(60);
/// Status of a server that is not the one that the request names.
constexpr unsigned MisdirectedStatus = 421;

/// Ends the count of an attempt of this VM. It is zero if the server was
/// removed and registered again in the meantime.
void endInFlight(dispatch::Server &At) {
  if (At.m_OwnInFlight > 0)
    --At.m_OwnInFlight;
}

} // namespace

std::shared_ptr<const http::Request>
CallDispatcher::requestFor(const CallRef &Of, const dispatch::Server &To,
                           TimePoint Now) {
  // Copy the request if a connection may still be writing it.
  if (Of->m_Request.use_count() > 1)
    Of->m_Request = std::make_shared<http::Request>(*Of->m_Request);
  const HeaderNames &Names = m_State.m_PlatformCodec.m_Headers;
  Of->m_Request->set(
      Names.m_DeadlineMillis,
      std::to_string(std::max<int64_t>(1, toMillis(Of->m_EndAt - Now))));
  Of->m_Request->set(Names.m_TargetServer, To.m_Record.m_Id);
  setOrganisationHeaders(Of);
  return Of->m_Request;
}

void CallDispatcher::send(const CallRef &Of, const dispatch::Choice &Made) {
  TimePoint Now = m_State.now();
  dispatch::Server &To = *Made.m_Server;
  auto Which = std::make_shared<Attempt>();
  Which->m_Server = To.m_Record.m_Id;
  Which->m_Incarnation = To.m_Record.m_Incarnation;
  Which->m_SentAt = Now;
  Which->m_Expected = Made.m_Estimate;
  Which->m_Slowdown = Made.m_Slowdown;
  Duration Work = expectedServiceTime(*Of->m_Route);
  Which->m_Stretch = static_cast<double>(Made.m_Estimate.count()) /
                     static_cast<double>(std::max<int64_t>(1, Work.count()));
  Which->m_InFlight = Made.m_InFlight + 1;
  if (workEstimate(*Of->m_Route).m_Work > Duration(0) &&
      !dispatch::isCold(To, m_State.m_Settings.m_Dispatch, Now))
    Which->m_AloneTime = scale(
        Work,
        dispatch::reportedSlowdown(To, m_State.m_Settings.m_Dispatch, Now) /
            100);
  Which->m_Counted = {
      Of->m_Service, To.m_Record.m_Version, Of->m_Route->m_Name,
      scale(Made.m_Estimate, 1 / std::max(0.1, To.m_ServiceTimeRatio))};
  m_Rollouts.attemptStarted(Which->m_Counted);
  Of->m_Last = Made;
  Of->m_Last.m_Server = nullptr;
  Of->m_Tried.push_back(To.m_Record.m_Id);
  Of->m_Attempts.push_back(Which);
  ++Of->m_Arrivals;
  dispatch::recordSend(To, m_State.m_Settings.m_Dispatch, Now);
  m_Fleet.queueInFlight(To);
  std::string IdHeader = m_State.m_PlatformCodec.m_Headers.m_RequestId;
  Which->m_Call = m_State.m_Client.send(
      To.m_Record.m_Address, requestFor(Of, To, Now),
      Of->m_Route->isIdempotent() ? IdempotentMaxIdle : NonIdempotentMaxIdle,
      [IdHeader, Id = Of->m_Id](const http::Response &Answer) {
        return http::headerOf(Answer.base(), IdHeader) == Id;
      },
      [this, Of, Which](http::ExchangeResult Result) {
        attemptEnded(Of, Which, std::move(Result));
      });
  armTimer(Of);
}

bool CallDispatcher::hasActiveAttempt(const CallRef &Of) const {
  return std::any_of(Of->m_Attempts.begin(), Of->m_Attempts.end(),
                     [](const auto &Each) { return !Each->m_Ended; });
}

TimePoint CallDispatcher::hedgeAt(const Call &Of, const Attempt &First) const {
  auto Model = m_State.m_Servers.m_Models.find(Of.m_Service);
  bool TellsSpeed =
      Model == m_State.m_Servers.m_Models.end() || Model->second.m_ReportsSpeed;
  return First.m_SentAt +
         dispatch::hedgeDelay(m_State.m_Settings.m_Dispatch, TellsSpeed,
                              First.m_Expected,
                              expectedServiceTime(*Of.m_Route),
                              Of.m_ObjectiveAt - First.m_SentAt);
}

void CallDispatcher::armTimer(const CallRef &Of) {
  if (!Of->m_Timer)
    Of->m_Timer = std::make_unique<boost::asio::steady_timer>(m_State.m_Loop);
  TimePoint At = Of->m_EndAt;
  if (Of->m_IsQueued)
    At = std::min({At, Of->m_QueueUntil, Of->m_RetryAt});
  else if (!Of->m_HedgeConsidered && !Of->m_Attempts.empty() &&
           Of->m_Route->isIdempotent())
    At = std::min(At, hedgeAt(*Of, *Of->m_Attempts.back()));
  Of->m_Timer->expires_after(At - m_State.now());
  Of->m_Timer->async_wait([this, Of](const error_code &Ended) {
    if (!Ended)
      onTimer(Of);
  });
}

void CallDispatcher::onTimer(const CallRef &Of) {
  if (Of->m_Ended)
    return;
  TimePoint Now = m_State.now();
  if (Now >= Of->m_EndAt)
    return onDeadline(Of);
  if (Of->m_IsQueued)
    return decide(Of);
  if (!Of->m_HedgeConsidered)
    considerHedge(Of);
  if (!Of->m_Ended)
    armTimer(Of);
}

dispatch::Choice CallDispatcher::chooseHedge(const CallRef &Of,
                                             Duration Remaining) {
  return dispatch::chooseHedge(m_State.m_Servers, m_State.m_Settings.m_Dispatch,
                               inputsOf(Of), m_OwnsWarmup,
                               warmupRate(Of->m_Service), Remaining,
                               m_State.m_Random, m_State.now());
}

void CallDispatcher::considerHedge(const CallRef &Of) {
  Of->m_HedgeConsidered = true;
  if (Of->m_Arrivals >= Of->m_Route->m_Attempts || !hasActiveAttempt(Of) ||
      !checkKey(Of))
    return;
  TimePoint Now = m_State.now();
  // A hedge is worthwhile only if it can still meet the objective, or if the
  // first attempt gets no response at all.
  dispatch::Choice Made = chooseHedge(
      Of, std::max(Of->m_ObjectiveAt - Now, (Of->m_EndAt - Now) / 2));
  if (Made.m_Verdict == dispatch::Verdict::Send && mayRepeat(Of, true))
    hedge(Of, Made, "runs_late");
}

void CallDispatcher::serverReported(const dispatch::Server &Of) {
  const dispatch::DispatchPolicy &Policy = m_State.m_Settings.m_Dispatch;
  // Return early: most reports come from servers at their usual speed.
  if (Of.m_OwnInFlight == 0 ||
      Of.m_Report.m_SlowdownPercent < 100 * Policy.m_SlowStartFactor)
    return;
  std::vector<CallRef> There;
  for (const CallRef &Each : m_Calls)
    if (!Each->m_HedgeConsidered && Each->m_Attempts.size() == 1 &&
        Each->m_Route->isIdempotent() && hasActiveAttempt(Each) &&
        Each->m_Attempts.back()->m_Server == Of.m_Record.m_Id)
      There.push_back(Each);
  for (const CallRef &Each : There)
    considerHedgeOfSlowStart(Each, Of);
}

void CallDispatcher::considerHedgeOfSlowStart(const CallRef &Of,
                                              const dispatch::Server &At) {
  const dispatch::DispatchPolicy &Policy = m_State.m_Settings.m_Dispatch;
  const Attempt &First = *Of->m_Attempts.back();
  TimePoint Now = m_State.now();
  auto Remaining = dispatch::remainingAfterSlowStart(
      {First.m_SentAt, First.m_Expected, First.m_Slowdown}, At, Policy, Now);
  // A hedge gains nothing if the first attempt is still on time, if the hedge
  // would be late too, or if it took the slot of a queued request.
  if (!Remaining || Now + *Remaining <= Of->m_ObjectiveAt ||
      inputsOf(Of).m_IsUnderPressure ||
      Of->m_Arrivals >= Of->m_Route->m_Attempts || !checkKey(Of))
    return;
  dispatch::Choice Made = chooseHedge(Of, *Remaining);
  if (Made.m_Verdict != dispatch::Verdict::Send ||
      Made.m_OnTimeProbability < Policy.m_MinOnTimeProbability ||
      !mayRepeat(Of, true))
    return;
  Of->m_HedgeConsidered = true;
  hedge(Of, Made, "began_slow");
}

void CallDispatcher::hedge(const CallRef &Of, const dispatch::Choice &Made,
                           const char *Why) {
  m_State.m_Metrics.count("hedge");
  logEvent(
      LogLevel::Info, "hedge",
      {{"id", Of->m_Id},
       {"why", Why},
       {"server", Made.m_Server->m_Record.m_Id},
       {"waited_ms", toMillis(m_State.now() - Of->m_Attempts.back()->m_SentAt)},
       {"expected_ms", toMillis(Of->m_Attempts.back()->m_Expected)},
       {"estimate_ms", toMillis(Made.m_Estimate)},
       {"slowdown_pct", static_cast<int>(Made.m_Slowdown)},
       {"report_age_ms", toMillis(Made.m_ReportAge)}});
  send(Of, Made);
}

bool CallDispatcher::mayRepeat(const CallRef &Of, bool HasRun) {
  if (HasRun && !Of->m_Route->isIdempotent())
    return false;
  if (Of->m_Arrivals >= Of->m_Route->m_Attempts)
    return false;
  if (HasRun && isSuspect(Of))
    return false;
  bool Allowed = m_Budgets[Of->m_Service].take(
      m_State.m_Settings.m_Repeats, fleet::quotaDivisor(m_State.m_Fleet),
      m_State.now());
  if (!Allowed)
    m_State.m_Metrics.count("repeat_over_budget");
  return Allowed;
}

void CallDispatcher::recordOutcome(const CallRef &Of, const Attempt &Which,
                                   const http::ExchangeResult &Result,
                                   dispatch::AttemptEnd End) {
  TimePoint Now = m_State.now();
  Duration Took = Now - Which.m_SentAt;
  m_State.m_Metrics.noteAttempt(http::exchangeEndName(Result.m_End), Took);
  // Another server that has taken over the address speaks for itself.
  bool IsFromServer = Result.m_End == http::ExchangeEnd::Answered &&
                      Result.m_Answer.result_int() != MisdirectedStatus;
  NoticeChanges Changes;
  if (IsFromServer)
    Changes = noteServerNotices(
        m_State, {Which.m_Server, Which.m_Incarnation, Result.m_Answer, false,
                  End == dispatch::AttemptEnd::Answered, Which.m_SentAt});
  if (Changes.m_LeavesNow)
    m_Fleet.queueLeaving(Which.m_Server, Which.m_Incarnation);
  auto Found = m_State.m_Servers.m_Servers.find(Which.m_Server);
  if (Found == m_State.m_Servers.m_Servers.end())
    return;
  dispatch::Server &At = Found->second;
  // An attempt at an earlier start says nothing about this one.
  if (At.m_Record.m_Incarnation != Which.m_Incarnation) {
    endInFlight(At);
    m_Fleet.queueInFlight(At);
    return;
  }
  bool WasEjected = Now < At.m_EjectedUntil;
  dispatch::recordAttemptEnd(At, m_State.m_Settings.m_Dispatch, End, Took,
                             Which.m_Expected, Now);
  std::optional<dispatch::OccupancySample> Seen;
  if (End == dispatch::AttemptEnd::Answered &&
      Which.m_AloneTime > Duration(0)) {
    Seen = {Which.m_InFlight, At.m_Record.m_Slots,
            static_cast<double>(Took.count()) /
                static_cast<double>(Which.m_AloneTime.count())};
    dispatch::recordOccupancySample(At.m_Model->m_Curve,
                                    m_State.m_Settings.m_Dispatch, *Seen);
  }
  m_Fleet.queueAttemptOutcome(At, End == dispatch::AttemptEnd::Answered, Seen);
  if (Changes.m_LimitChanged)
    m_Fleet.queueLimit(At);
  if (!WasEjected && Now < At.m_EjectedUntil)
    logEvent(LogLevel::Warning, "server_ejected",
             {{"server", Which.m_Server},
              {"failures", At.m_FailuresInRow},
              {"for_ms", toMillis(At.m_EjectedUntil - Now)}});
  if (!IsFromServer)
    return;
  auto Load = m_State.m_PlatformCodec.m_DecodeLoad(Result.m_Answer);
  if (End == dispatch::AttemptEnd::Answered)
    At.m_Model->m_ReportsSpeed = Load.has_value();
  if (Load && At.m_Report.m_Health == dispatch::LoadReport::Health::Healthy &&
      At.m_ReportAt != TimePoint{}) {
    Load->m_ColdFor = std::max(Duration(0), At.m_ColdUntil - Now);
    noteReport(m_State, At, *Load);
    m_Fleet.queueLoadUpdate(At);
  }
  if (End == dispatch::AttemptEnd::Answered)
    dispatch::recordResponse(
        m_Work[Of->m_Route->m_Name], m_State.m_Settings.m_Dispatch, Took,
        Which.m_Stretch, Of->m_RequestBytes + Result.m_Answer.body().size());
}

CallDispatcher::ExchangeOutcome
CallDispatcher::classify(const http::ExchangeResult &Result) const {
  const HeaderNames &Names = m_State.m_PlatformCodec.m_Headers;
  const http::Fields &Headers = Result.m_Answer.base();
  unsigned Status = Result.m_Answer.result_int();
  ExchangeOutcome Made;
  Made.m_IsAnswer = Result.m_End == http::ExchangeEnd::Answered;
  Made.m_NotRun = Result.m_End == http::ExchangeEnd::NotSent ||
                  (Made.m_IsAnswer &&
                   (Status == MisdirectedStatus ||
                    !http::headerOf(Headers, Names.m_NotExecuted).empty()));
  Made.m_IsSigned =
      Made.m_IsAnswer && !http::headerOf(Headers, Names.m_Signature).empty();
  Made.m_IsGood = Made.m_IsSigned && !Made.m_NotRun && Status < 500;
  Made.m_Name = Made.m_IsAnswer ? "status_" + std::to_string(Status)
                                : http::exchangeEndName(Result.m_End);
  return Made;
}

RolloutHost::AttemptResult
CallDispatcher::resultFor(const ExchangeOutcome &How,
                          const http::ExchangeResult &Result) {
  // These statuses guarantee that the request has not run.
  constexpr unsigned NotRunStatuses[] = {408, 421, 429, 503};
  unsigned Status = How.m_IsAnswer ? Result.m_Answer.result_int() : 0;
  bool IsRefusal = std::count(std::begin(NotRunStatuses),
                              std::end(NotRunStatuses), Status) > 0;
  if (How.m_NotRun || IsRefusal)
    return RolloutHost::AttemptResult::Unknown;
  if (How.m_IsGood)
    return RolloutHost::AttemptResult::Answered;
  // A server that closes the connection instead of answering has failed; other
  // ends may be those of the link.
  if (How.m_IsSigned || Result.m_ClosedByServer)
    return RolloutHost::AttemptResult::Failed;
  return RolloutHost::AttemptResult::Unknown;
}

bool CallDispatcher::hadFreeSlot(const Attempt &Which,
                                 const http::Response &Refusal) const {
  auto Found = m_State.m_Servers.m_Servers.find(Which.m_Server);
  if (Found == m_State.m_Servers.m_Servers.end())
    return false;
  const dispatch::Server &At = Found->second;
  auto Load = m_State.m_PlatformCodec.m_DecodeLoad(Refusal);
  uint32_t Busy = Load ? Load->m_Running + Load->m_Waiting
                       : dispatch::inFlightAt(At, m_State.now());
  return Busy < At.m_Record.m_Slots;
}

void CallDispatcher::attemptEnded(const CallRef &Of,
                                  const std::shared_ptr<Attempt> &Which,
                                  http::ExchangeResult Result) {
  Which->m_Ended = true;
  Which->m_Call.reset();
  ExchangeOutcome How = classify(Result);
  dispatch::AttemptEnd End = dispatch::AttemptEnd::Failed;
  if (How.m_IsGood)
    End = dispatch::AttemptEnd::Answered;
  else if (How.m_IsAnswer && How.m_NotRun)
    End = dispatch::AttemptEnd::Shed;
  recordOutcome(Of, *Which, Result, End);
  m_Rollouts.attemptEnded(Which->m_Counted, resultFor(How, Result),
                          m_State.now() - Which->m_SentAt);
  if (Result.m_End == http::ExchangeEnd::NotSent)
    --Of->m_Arrivals;
  Of->m_MayHaveRun = Of->m_MayHaveRun || !How.m_NotRun;
  Of->m_ShedWithFreeSlot =
      End == dispatch::AttemptEnd::Shed && hadFreeSlot(*Which, Result.m_Answer);
  Of->m_LastEnd = How.m_Name;
  noteSuspicion(Of, *Which, Result, !How.m_NotRun);
  if (!How.m_IsGood) {
    m_State.m_Metrics.count("attempt_" + How.m_Name);
    logEvent(LogLevel::Info, "attempt_failed",
             {{"id", Of->m_Id},
              {"server", Which->m_Server},
              {"end", How.m_Name},
              {"not_run", How.m_NotRun},
              {"closed_by_server", Result.m_ClosedByServer},
              {"fingerprint", fingerprintOfCall(Of)},
              {"took_ms", toMillis(m_State.now() - Which->m_SentAt)}});
  }
  std::string Service = Of->m_Service;
  if (!Of->m_Ended)
    settle(Of, How, std::move(Result));
  else if (!hasActiveAttempt(Of))
    Of->m_Timer->cancel();
  reconsider(Service);
}

void CallDispatcher::settle(const CallRef &Of, const ExchangeOutcome &How,
                            http::ExchangeResult Result) {
  if (How.m_IsGood)
    return returnResponse(Of, std::move(Result.m_Answer));
  // An attempt that is still running decides the outcome.
  if (hasActiveAttempt(Of))
    return;
  bool WasSent = Result.m_End != http::ExchangeEnd::NotSent;
  bool IsKeyAllowed = checkKey(Of);
  if (!IsKeyAllowed && !Of->m_MayHaveRun) {
    endIfKeyWithdrawn(Of);
    return;
  }
  if (IsKeyAllowed && (!WasSent || mayRepeat(Of, Of->m_MayHaveRun)))
    return decide(Of);
  // A failure response that the server itself produced is returned unchanged.
  if (How.m_IsSigned && !How.m_NotRun)
    return returnResponse(Of, std::move(Result.m_Answer));
  if (Of->m_MayHaveRun)
    return failCall(Of, 502, Of->m_LastEnd.c_str());
  refuse(Of, 503, Of->m_ShedWithFreeSlot ? "shed_with_room" : "shed",
         dispatch::retryAfterShed(m_State.m_Settings.m_Dispatch,
                                  Of->m_ShedWithFreeSlot,
                                  Of->m_EndAt - m_State.now()));
}

void CallDispatcher::endAttempts(const CallRef &Of) {
  for (const auto &Each : Of->m_Attempts)
    if (!Each->m_Ended && Each->m_Call)
      cancelAttempt(*Each);
}

void CallDispatcher::cancelAttempt(Attempt &Which) {
  Which.m_Ended = true;
  Which.m_Call->cancel();
  Which.m_Call.reset();
  m_Rollouts.attemptEnded(Which.m_Counted, RolloutHost::AttemptResult::Unknown,
                          m_State.now() - Which.m_SentAt);
  auto Found = m_State.m_Servers.m_Servers.find(Which.m_Server);
  if (Found == m_State.m_Servers.m_Servers.end())
    return;
  endInFlight(Found->second);
  m_Fleet.queueInFlight(Found->second);
}

} // namespace hyssopcross::gateway
