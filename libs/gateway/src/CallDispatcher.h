#ifndef HYSSOPCROSS_GATEWAY_SRC_CALLDISPATCHER_H
#define HYSSOPCROSS_GATEWAY_SRC_CALLDISPATCHER_H

#include "FleetMessenger.h"
#include "HealthChecker.h"
#include "NodeState.h"
#include "hyssopcross/dispatch/Budget.h"
#include "hyssopcross/dispatch/Choice.h"
#include "hyssopcross/dispatch/Work.h"
#include "hyssopcross/http/Listener.h"
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>

namespace hyssopcross::gateway {

/// Carries callers' requests to backend servers and the answers back.
class CallDispatcher {
public:
  CallDispatcher(NodeState &State, FleetMessenger &Fleet,
                 HealthChecker &Health);

  /// Takes on a request.
  void begin(const std::shared_ptr<http::Exchange> &Asked);
  /// Other VMs, or a health check, told something new of a service's servers:
  /// requests that wait for one are decided on again, within a short random
  /// time. All VMs hear of a free slot at once, and must not all take it.
  void reconsiderSoon(const std::string &Service);
  /// A server has told its load: requests that began there while it was slower
  /// than known may be worth a second attempt.
  void serverReported(const dispatch::Server &Of);
  /// Forgets the turns of routes that are gone.
  void configurationChanged();
  /// Logs the calls that the end of the process cuts.
  void abandonAll();
  size_t activeCount() const { return m_Calls.size(); }

private:
  struct Attempt {
    std::string m_Server;
    int64_t m_Incarnation = 0;
    std::shared_ptr<http::ClientCall> m_Call;
    TimePoint m_SentAt;
    Duration m_Expected{};
    /// Slowdown of the server in percent, as known at the send.
    double m_Slowdown = 100;
    /// Expected over usual service time.
    double m_Stretch = 1;
    /// Service time alone at a server of the speed that was told at the send;
    /// zero where it was not known.
    Duration m_AloneTime{};
    /// Requests at the server at the send, this one included.
    uint32_t m_InFlight = 1;
    bool m_Ended = false;
  };

  struct Call {
    std::shared_ptr<http::Exchange> m_Exchange;
    std::shared_ptr<const ActiveConfiguration> m_ActiveConfiguration;
    const routing::Route *m_Route = nullptr;
    std::string m_Service;
    std::string m_Id;
    std::shared_ptr<http::Request> m_Request;
    uint64_t m_RequestBytes = 0;
    TimePoint m_ReceivedAt;
    TimePoint m_ObjectiveAt;
    TimePoint m_EndAt;
    TimePoint m_QueueUntil;
    std::vector<std::string> m_Tried;
    std::vector<std::shared_ptr<Attempt>> m_Attempts;
    /// Sends that reached, or may have reached, a server.
    uint32_t m_Arrivals = 0;
    bool m_MayHaveRun = false;
    /// The last attempt was turned away by a server that had a free slot.
    bool m_ShedWithRoom = false;
    bool m_IsQueued = false;
    bool m_HedgeConsidered = false;
    bool m_Ended = false;
    /// The caller has left, and its attempt goes on.
    bool m_LeaveRunning = false;
    std::unique_ptr<boost::asio::steady_timer> m_Timer;
    dispatch::Choice m_Last;
    std::string m_LastEnd;
  };
  using CallRef = std::shared_ptr<Call>;

  /// Decides again on the requests that wait for a service.
  void reconsider(std::string_view Service);
  /// What an exchange with a server means for its request.
  struct Ending {
    bool m_IsAnswer = false;
    bool m_NotRun = false;
    /// The answer was made by a server.
    bool m_IsSigned = false;
    /// To be passed on at once.
    bool m_IsGood = false;
    /// Stable name for logs and metrics.
    std::string m_Name;
  };
  Ending classify(const http::ExchangeResult &Result) const;
  /// Whether a server that turned an attempt away had a free slot, by the load
  /// that it told with its refusal, or else by what is known to be in flight.
  bool hadRoom(const Attempt &Which, const http::Response &Refusal) const;
  void settle(const CallRef &Of, const Ending &How,
              http::ExchangeResult Result);

  void decide(const CallRef &Of);
  void send(const CallRef &Of, const dispatch::Choice &Made);
  void attemptEnded(const CallRef &Of, const std::shared_ptr<Attempt> &Which,
                    http::ExchangeResult Result);
  void learn(const CallRef &Of, const Attempt &Which,
             const http::ExchangeResult &Result, dispatch::AttemptEnd End);
  bool mayRepeat(const CallRef &Of, bool HasRun);
  void considerHedge(const CallRef &Of);
  void considerHedgeOfSlowStart(const CallRef &Of, const dispatch::Server &At);
  dispatch::Choice chooseHedge(const CallRef &Of, Duration Remaining);
  void hedge(const CallRef &Of, const dispatch::Choice &Made, const char *Why);
  /// When a second attempt is considered beside one that still runs.
  TimePoint hedgeAt(const Call &Of, const Attempt &First) const;
  void armTimer(const CallRef &Of);
  void timerFired(const CallRef &Of);
  void expire(const CallRef &Of);
  void callerDisconnected(const CallRef &Of);
  void passOn(const CallRef &Of, http::Response Answer);
  void refuse(const CallRef &Of, unsigned Status, const char *Why,
              Duration RetryAfter);
  void failCall(const CallRef &Of, unsigned Status, const char *Why);
  void end(const CallRef &Of, std::string_view Outcome, unsigned Status,
           std::string_view Why);
  void endAttempts(const CallRef &Of);
  void answerEarly(const std::shared_ptr<http::Exchange> &Asked,
                   const std::string &Id, unsigned Status, const char *Why);
  /// An answer that no server made.
  http::Response makeLocalResponse(unsigned Status,
                                   const std::string &Id) const;
  dispatch::RouteWork workEstimate(const routing::Route &Of) const;
  Duration expectedWork(const routing::Route &Of) const;
  dispatch::CallInputs inputsOf(const CallRef &Of) const;
  double warmupRate(const std::string &Service) const;
  bool hasActiveAttempt(const CallRef &Of) const;
  std::shared_ptr<const http::Request>
  requestFor(const CallRef &Of, const dispatch::Server &To, TimePoint Now);

  NodeState &m_State;
  FleetMessenger &m_Fleet;
  dispatch::WarmupOwner m_OwnsWarmup;
  std::set<CallRef> m_Calls;
  /// Requests of each service that wait for a server, in order of arrival.
  std::map<std::string, std::list<CallRef>, std::less<>> m_Queues;
  /// Services whose queues will be looked at again soon.
  std::map<std::string, std::unique_ptr<boost::asio::steady_timer>, std::less<>>
      m_ReconsiderTimers;
  /// Until when a service counts as short of room.
  std::map<std::string, TimePoint, std::less<>> m_OverloadedUntil;
  std::map<std::string, routing::SplitTurns> m_Turns;
  std::map<std::string, dispatch::RouteWork> m_Work;
  /// Longest deadline seen on each route: that of callers' first attempts.
  std::map<std::string, Duration> m_FullDeadlines;
  std::map<std::string, dispatch::RepeatBudget, std::less<>> m_Budgets;
};

} // namespace hyssopcross::gateway

#endif
