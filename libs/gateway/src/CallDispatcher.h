#ifndef HYSSOPCROSS_GATEWAY_SRC_CALLDISPATCHER_H
#define HYSSOPCROSS_GATEWAY_SRC_CALLDISPATCHER_H

#include "FleetMessenger.h"
#include "HealthChecker.h"
#include "NodeState.h"
#include "QuotaHost.h"
#include "RolloutHost.h"
#include "hyssopcross/dispatch/Budget.h"
#include "hyssopcross/dispatch/Choice.h"
#include "hyssopcross/dispatch/Work.h"
#include "hyssopcross/http/Listener.h"
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>

namespace hyssopcross::gateway {

/// Forwards callers' requests to backend servers and returns the responses.
class CallDispatcher {
public:
  CallDispatcher(NodeState &State, FleetMessenger &Fleet, QuotaHost &Quotas,
                 HealthChecker &Health, RolloutHost &Rollouts);

  /// Accepts a request.
  void begin(const std::shared_ptr<http::Exchange> &Asked);
  /// Reconsiders the queued requests of a service after another VM or a health
  /// check sent an update about its servers. Waits for a short random time
  /// first: all VMs learn of a free slot at once, and must not all claim it.
  void reconsiderSoon(const std::string &Service);
  /// Handles a load report of a server: requests that started there while it
  /// was slower than known at the time may be worth hedging.
  void serverReported(const dispatch::Server &Of);
  /// Drops the traffic split positions of all routes, since routes may be gone,
  /// and ends the calls whose key was withdrawn before they were sent.
  void configurationChanged();
  /// Finds out which requests were in progress when servers crashed, tells the
  /// other VMs, and ends the queued calls that may not be sent any more. Called
  /// several times a second.
  void confirmCrashes();
  /// Ends and logs the calls that are cut off when the process exits.
  void abandonAll();
  size_t activeCount() const { return m_Calls.size(); }

private:
  struct Attempt {
    std::string m_Server;
    int64_t m_Incarnation = 0;
    std::shared_ptr<http::ClientCall> m_Call;
    TimePoint m_SentAt;
    Duration m_Expected{};
    /// Slowdown of the server in percent, as known when the attempt was sent.
    double m_Slowdown = 100;
    /// Ratio of the expected to the usual service time.
    double m_Stretch = 1;
    /// Expected service time without concurrent requests, at the server speed
    /// reported when the attempt was sent; zero if it was not known.
    Duration m_AloneTime{};
    /// Requests in flight at the server when the attempt was sent, including
    /// this one.
    uint32_t m_InFlight = 1;
    bool m_Ended = false;
    RolloutHost::SentAttempt m_Counted;
  };

  struct Call {
    std::shared_ptr<http::Exchange> m_Exchange;
    std::shared_ptr<const ActiveConfiguration> m_ActiveConfiguration;
    const routing::Route *m_Route = nullptr;
    std::string m_Service;
    std::string m_Id;
    std::string m_Caller;
    /// The caller's key; empty if it sent none. Must not be logged.
    std::string m_Key;
    /// The configuration under which the key was last checked.
    std::shared_ptr<const ActiveConfiguration> m_KeyConfiguration;
    /// The organisation that the key belongs to, or did until it was withdrawn;
    /// null if there is none.
    const routing::Organisation *m_Organisation = nullptr;
    /// Owns m_Organisation.
    std::shared_ptr<const ActiveConfiguration> m_OrganisationConfiguration;
    /// The priority of the organisation, or else of the route.
    uint32_t m_Priority = 0;
    /// Result of the last check of the key.
    bool m_IsKeyAllowed = true;
    /// The organisation of whose quota the call has taken a token, or waits for
    /// one; empty if it needs none.
    std::string m_QuotaOrganisation;
    /// Set while the call waits for its token.
    std::optional<uint64_t> m_TokenAsk;
    bool m_HasToken = false;
    /// Computed when it is first needed.
    std::optional<dispatch::RequestFingerprint> m_Fingerprint;
    std::shared_ptr<http::Request> m_Request;
    uint64_t m_RequestBytes = 0;
    TimePoint m_ReceivedAt;
    TimePoint m_ObjectiveAt;
    TimePoint m_EndAt;
    TimePoint m_QueueUntil;
    /// When a server is expected to accept requests again.
    TimePoint m_RetryAt = TimePoint::max();
    std::vector<std::string> m_Tried;
    std::vector<std::shared_ptr<Attempt>> m_Attempts;
    /// Attempts that reached, or may have reached, a server.
    uint32_t m_Arrivals = 0;
    bool m_MayHaveRun = false;
    /// The last attempt was rejected by a server that had a free slot.
    bool m_ShedWithFreeSlot = false;
    bool m_IsQueued = false;
    bool m_HedgeConsidered = false;
    bool m_Ended = false;
    /// To be sent to the version under trial, if that can take it.
    bool m_IsTrial = false;
    /// The caller has disconnected, and its attempt continues.
    bool m_ContinueAfterDisconnect = false;
    std::unique_ptr<boost::asio::steady_timer> m_Timer;
    dispatch::Choice m_Last;
    std::string m_LastEnd;
  };
  using CallRef = std::shared_ptr<Call>;

  /// Repeats the decision for the queued requests of a service.
  void reconsider(std::string_view Service);
  /// Outcome of an exchange with a server.
  struct ExchangeOutcome {
    bool m_IsAnswer = false;
    bool m_NotRun = false;
    /// The response carries a server's signature.
    bool m_IsSigned = false;
    /// The response is returned to the caller at once.
    bool m_IsGood = false;
    /// Stable name for logs and metrics.
    std::string m_Name;
  };
  ExchangeOutcome classify(const http::ExchangeResult &Result) const;
  /// What an exchange shows of the version of its server.
  static RolloutHost::AttemptResult
  resultFor(const ExchangeOutcome &How, const http::ExchangeResult &Result);
  /// Whether a server that rejected an attempt had a free slot, by the load
  /// reported in the rejection, or else by the number of requests known to be
  /// in flight.
  bool hadFreeSlot(const Attempt &Which, const http::Response &Refusal) const;
  void settle(const CallRef &Of, const ExchangeOutcome &How,
              http::ExchangeResult Result);

  /// Takes a token of the quota of the call's organisation, then decides.
  void takeToken(const CallRef &Of);
  /// Ends the wait for a token, and returns that of a call that was not sent.
  void releaseToken(const CallRef &Of);
  void decide(const CallRef &Of);
  /// Keeps a call in the queue of its service. RetryAt is when to decide again,
  /// or zero if only updates of servers matter.
  void enqueue(const CallRef &Of, TimePoint RetryAt);
  void send(const CallRef &Of, const dispatch::Choice &Made);
  void attemptEnded(const CallRef &Of, const std::shared_ptr<Attempt> &Which,
                    http::ExchangeResult Result);
  void recordOutcome(const CallRef &Of, const Attempt &Which,
                     const http::ExchangeResult &Result,
                     dispatch::AttemptEnd End);
  bool mayRepeat(const CallRef &Of, bool HasRun);
  /// Refuses a request that arrives without a known key where one is needed;
  /// returns whether it did.
  bool refuseUnknownKey(const std::shared_ptr<http::Exchange> &Asked,
                        const routing::Route &For, const CallMetadata &Head);
  /// Checks the key of a call against the configuration in force, and sets the
  /// call's organisation and priority. Returns whether the call may be sent.
  bool checkKey(const CallRef &Of);
  /// Ends a call that is about to be sent and whose key was withdrawn. Returns
  /// whether it did.
  bool endIfKeyWithdrawn(const CallRef &Of);
  /// Ends the calls whose key was withdrawn and whose request has not been
  /// sent.
  void endCallsWithWithdrawnKeys();
  /// While organisations are configured, replaces what the caller sent: removes
  /// the credential, and names the organisation if there is one.
  void setOrganisationHeaders(const CallRef &Of) const;
  dispatch::RequestFingerprint fingerprintOfCall(const CallRef &Of);
  /// Whether the request of a call may crash servers; see dispatch::isSuspect.
  bool isSuspect(const CallRef &Of);
  /// Ends a call whose request may not be sent because it has crashed servers.
  /// Returns whether it did.
  bool endIfQuarantined(const CallRef &Of);
  /// Records what the end of an attempt shows of its request.
  void noteSuspicion(const CallRef &Of, const Attempt &Which,
                     const http::ExchangeResult &Result, bool HasRun);
  void considerHedge(const CallRef &Of);
  void considerHedgeOfSlowStart(const CallRef &Of, const dispatch::Server &At);
  dispatch::Choice chooseHedge(const CallRef &Of, Duration Remaining);
  void hedge(const CallRef &Of, const dispatch::Choice &Made, const char *Why);
  /// Time at which to consider a hedge for an attempt that is still running.
  TimePoint hedgeAt(const Call &Of, const Attempt &First) const;
  void armTimer(const CallRef &Of);
  void onTimer(const CallRef &Of);
  void onDeadline(const CallRef &Of);
  void callerDisconnected(const CallRef &Of);
  void returnResponse(const CallRef &Of, http::Response Answer);
  void refuse(const CallRef &Of, unsigned Status, const char *Why,
              Duration RetryAfter);
  void failCall(const CallRef &Of, unsigned Status, const char *Why);
  void end(const CallRef &Of, std::string_view Outcome, unsigned Status,
           std::string_view Why);
  void endAttempts(const CallRef &Of);
  /// Ends an attempt that is still running.
  void cancelAttempt(Attempt &Which);
  void answerEarly(const std::shared_ptr<http::Exchange> &Asked,
                   const std::string &Id, unsigned Status, const char *Why);
  /// Makes a response that does not come from a server.
  http::Response makeLocalResponse(unsigned Status,
                                   const std::string &Id) const;
  dispatch::RouteStatistics workEstimate(const routing::Route &Of) const;
  Duration expectedServiceTime(const routing::Route &Of) const;
  dispatch::CallInputs inputsOf(const CallRef &Of) const;
  double warmupRate(const std::string &Service) const;
  bool hasActiveAttempt(const CallRef &Of) const;
  std::shared_ptr<const http::Request>
  requestFor(const CallRef &Of, const dispatch::Server &To, TimePoint Now);

  NodeState &m_State;
  FleetMessenger &m_Fleet;
  QuotaHost &m_Quotas;
  RolloutHost &m_Rollouts;
  dispatch::WarmupOwner m_OwnsWarmup;
  std::set<CallRef> m_Calls;
  /// Queued requests of each service, in order of arrival.
  std::map<std::string, std::list<CallRef>, std::less<>> m_Queues;
  /// Timers of the services whose queues are about to be reconsidered.
  std::map<std::string, std::unique_ptr<boost::asio::steady_timer>, std::less<>>
      m_ReconsiderTimers;
  /// Time until which a service counts as short of capacity.
  std::map<std::string, TimePoint, std::less<>> m_OverloadedUntil;
  /// Latest return of a refused caller, by service, that request limits admit.
  std::map<std::string, TimePoint, std::less<>> m_PromisedAt;
  std::map<std::string, routing::SplitState> m_Turns;
  std::map<std::string, dispatch::RouteStatistics> m_Work;
  /// Longest deadline seen on each route, taken as that of callers' first
  /// attempts.
  std::map<std::string, Duration> m_FullDeadlines;
  std::map<std::string, dispatch::RetryBudget, std::less<>> m_Budgets;
  /// Version of the suspects as of the last look at the queued calls.
  uint64_t m_SuspectsVersion = 0;
};

} // namespace hyssopcross::gateway

#endif
