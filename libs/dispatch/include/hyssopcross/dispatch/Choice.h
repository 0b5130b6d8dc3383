#ifndef HYSSOPCROSS_DISPATCH_CHOICE_H
#define HYSSOPCROSS_DISPATCH_CHOICE_H

#include "hyssopcross/dispatch/Servers.h"
#include <functional>
#include <optional>
#include <random>
#include <span>

namespace hyssopcross::dispatch {

/// Whether a call may be sent to a server.
using ServerFilter = std::function<bool(const Server &)>;

/// Inputs of a decision apart from the state of the servers.
struct CallInputs {
  std::string_view m_Service;
  /// End of the latency objective; in the past if the caller has already waited
  /// and retried.
  TimePoint m_ObjectiveAt;
  /// New requests for the service have recently had to wait.
  bool m_IsUnderPressure = false;
  /// Deadline of the call, set by the caller or by the limit of the operator.
  TimePoint m_EndAt;
  /// Until when a request that has no suitable server may stay in the queue.
  TimePoint m_QueueUntil;
  /// Service time on an idle server at its usual speed.
  Duration m_Work{};
  /// Latency objective of a request that has not waited yet.
  Duration m_Objective{};
  /// Bytes of request and response, for the cost of sending to other data
  /// centres.
  uint64_t m_Bytes = 0;
  /// Ids of the servers that this call has already been sent to.
  std::span<const std::string> m_Tried;
  /// Other requests for the service that wait on this VM.
  size_t m_QueueLength = 0;
  /// VMs that share the request limits of servers.
  uint32_t m_VmCount = 1;
  /// Latest return that a refused caller of the service was promised because of
  /// request limits.
  TimePoint m_PromisedAt{};
  /// Restricts the servers that the call may be sent to; null if it may be sent
  /// to any.
  const ServerFilter *m_Admits = nullptr;
};

enum class Verdict {
  /// Send to the server.
  Send,
  /// Keep in the queue: a server may become free in time.
  Wait,
  /// No server can complete it in time.
  Refuse,
};

/// A decision and the values that led to it, for the log.
struct Choice {
  Verdict m_Verdict = Verdict::Refuse;
  Server *m_Server = nullptr;
  Duration m_Estimate{};
  /// Probability that the objective is met.
  double m_OnTimeProbability = 0;
  double m_Slowdown = 0;
  /// Requests at the server in addition to this one.
  uint32_t m_InFlight = 0;
  Duration m_ReportAge{};
  /// Stable name of the reason of a refusal: no_server, overload, no_time,
  /// servers_refuse, servers_limited.
  const char *m_Reason = "";
  Duration m_RetryAfter{};
  /// When a request limit admits the return of a refused caller; zero if limits
  /// are not the reason.
  TimePoint m_PromisedAt{};
  /// When to decide again about a request that waits; zero if no time is known.
  TimePoint m_RetryAt{};
};

/// Start of the shutdown of a VM and the end of its process; both are in the
/// far future while it is not shutting down.
struct ShutdownWindow {
  TimePoint m_BeganAt = TimePoint::max();
  TimePoint m_EndAt = TimePoint::max();
};

/// Whether a request that arrives now completes before the VM exits: judged by
/// its usual length in the first half of the shutdown, and by its deadline
/// CallEnd in the second half, when callers rely on a response from the VM that
/// accepts the request.
bool completesBeforeShutdown(const ShutdownWindow &Stop,
                             const DispatchPolicy &Policy, Duration Work,
                             TimePoint CallEnd, TimePoint Now);

/// Whether this VM owns the warm-up of a cold server and may send to it.
using WarmupOwner = std::function<bool(const Server &)>;

/// Decides whether a call is sent, queued or refused.
Choice choose(const ServerView &View, const DispatchPolicy &Policy,
              const CallInputs &Call, const WarmupOwner &OwnsWarmup,
              double WarmupRate, std::mt19937 &Random, TimePoint Now);

/// The part of a running attempt that the decision about a second one depends
/// on.
struct RunningAttempt {
  TimePoint m_SentAt;
  Duration m_Estimate{};
  /// Slowdown of its server in percent, as known when it was sent.
  double m_Slowdown = 100;
};

/// Remaining time of an attempt if the newest report of its server shows that
/// the server was already slow when the attempt began; empty otherwise. The
/// service time is fixed at the start of a request, so a later slowdown has no
/// effect.
std::optional<Duration> remainingAfterSlowStart(const RunningAttempt &Attempt,
                                                const Server &At,
                                                const DispatchPolicy &Policy,
                                                TimePoint Now);

/// Delay between an attempt and its hedge, with ObjectiveLeft at the time it
/// was sent. If servers don't report their speed, a late response is the only
/// sign of a slow one: the hedge is then sent when it can just be in time, but
/// not before most requests on normal servers have completed.
Duration hedgeDelay(const DispatchPolicy &Policy, bool TellsSpeed,
                    Duration Expected, Duration Work, Duration ObjectiveLeft);

/// The best server for a second attempt of a late call. The server is null
/// unless its expected time is shorter than Remaining.
Choice chooseHedge(const ServerView &View, const DispatchPolicy &Policy,
                   const CallInputs &Call, const WarmupOwner &OwnsWarmup,
                   double WarmupRate, Duration Remaining, std::mt19937 &Random,
                   TimePoint Now);

/// Retry-After of a request that servers refused without running it, with Left
/// until its deadline. A server with a free slot (HadRoom) did not refuse for
/// lack of capacity, and another one may accept the request; full servers need
/// time to drain.
Duration retryAfterShed(const DispatchPolicy &Policy, bool HadRoom,
                        Duration Left);

/// How an attempt ended, for the statistics of its server.
enum class AttemptEnd {
  /// A complete response with a status below 500.
  Answered,
  /// The server refused the request without running it.
  Shed,
  /// An error response, a truncated response, a connection reset, or a timeout.
  Failed,
};

/// Records that a request was sent. Every call is paired with recordAttemptEnd.
void recordSend(Server &To, const DispatchPolicy &Policy, TimePoint Now);

/// Records the end of an attempt that took Took and was expected to take
/// Expected.
void recordAttemptEnd(Server &At, const DispatchPolicy &Policy, AttemptEnd End,
                      Duration Took, Duration Expected, TimePoint Now);

/// The number of concurrent requests of this kind at which a server of a
/// service completes most in time.
uint32_t usableSlots(const OccupancyCurve &Curve, uint32_t Slots, Duration Work,
                     Duration Objective, const DispatchPolicy &Policy);

/// Probability that a log-normally distributed service time with the median
/// Estimate ends within Left.
double onTimeProbability(Duration Estimate, Duration Left, double Spread);

} // namespace hyssopcross::dispatch

#endif
