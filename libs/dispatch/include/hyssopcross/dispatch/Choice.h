#ifndef HYSSOPCROSS_DISPATCH_CHOICE_H
#define HYSSOPCROSS_DISPATCH_CHOICE_H

#include "hyssopcross/dispatch/Servers.h"
#include <functional>
#include <optional>
#include <random>
#include <span>

namespace hyssopcross::dispatch {

/// What a choice depends on, apart from the servers.
struct CallInputs {
  std::string_view m_Service;
  /// When the latency objective is over; in the past if the caller has been
  /// here before and has waited.
  TimePoint m_ObjectiveAt;
  /// Fresh requests for the service have had to wait just now.
  bool m_IsUnderPressure = false;
  /// When the caller or the operator's limit ends the call.
  TimePoint m_EndAt;
  /// Until when a request that cannot be sent well may wait.
  TimePoint m_QueueUntil;
  /// Service time on an idle server at its usual speed.
  Duration m_Work{};
  /// Latency objective of a request that has not waited yet.
  Duration m_Objective{};
  /// Bytes of request and answer, for the price of other data centres.
  uint64_t m_Bytes = 0;
  /// Servers that this call was sent to before.
  std::span<const std::string> m_Tried;
};

enum class Verdict {
  /// Send to the server.
  Send,
  /// Keep in the queue: a server may become free in time.
  Wait,
  /// Nothing can serve it in time.
  Refuse,
};

/// A decision and the inputs that made it, for the log.
struct Choice {
  Verdict m_Verdict = Verdict::Refuse;
  Server *m_Server = nullptr;
  Duration m_Estimate{};
  /// Chance that the objective is met.
  double m_OnTimeProbability = 0;
  double m_Slowdown = 0;
  /// Requests at the server beside this one.
  uint32_t m_InFlight = 0;
  Duration m_ReportAge{};
  /// Stable reason of a refusal: no_server, overload, no_time.
  const char *m_Reason = "";
  Duration m_RetryAfter{};
};

/// When a VM began to stop, and when its process ends; in the far future while
/// it does not stop.
struct ShutdownWindow {
  TimePoint m_BeganAt = TimePoint::max();
  TimePoint m_EndAt = TimePoint::max();
};

/// Whether a request that arrives now will have ended before its VM does: by
/// its usual length in the first half of the stop, and by its deadline CallEnd
/// later on, when callers count on the answer of whoever takes it.
bool completesBeforeShutdown(const ShutdownWindow &Stop,
                             const DispatchPolicy &Policy, Duration Work,
                             TimePoint CallEnd, TimePoint Now);

/// Whether this VM is the one that sends to a cold server.
using WarmupOwner = std::function<bool(const Server &)>;

/// Decides about one call.
Choice choose(const ServerView &View, const DispatchPolicy &Policy,
              const CallInputs &Call, const WarmupOwner &OwnsWarmup,
              double WarmupRate, std::mt19937 &Random, TimePoint Now);

/// A running attempt, as far as a second one depends on it.
struct RunningAttempt {
  TimePoint m_SentAt;
  Duration m_Estimate{};
  /// Of its server, in percent, as known when it was sent.
  double m_Slowdown = 100;
};

/// How much longer an attempt will run, if its server's newest report shows
/// that it began on a slow server; absent otherwise. The length of work is
/// settled when it begins, so a later slowdown does not matter.
std::optional<Duration> remainingAfterSlowStart(const RunningAttempt &Attempt,
                                                const Server &At,
                                                const DispatchPolicy &Policy,
                                                TimePoint Now);

/// How long after its send an attempt is late enough for a second one, with
/// ObjectiveLeft at the send. Where servers don't tell their speed, a late
/// answer is the only sign of a slow one: then it is when a second attempt can
/// just be in time, but not before most requests on usual servers have ended.
Duration hedgeDelay(const DispatchPolicy &Policy, bool TellsSpeed,
                    Duration Expected, Duration Work, Duration ObjectiveLeft);

/// The best server for a second attempt of a call that runs late, or null.
/// Chosen only if it is expected to be faster than Remaining.
Choice chooseHedge(const ServerView &View, const DispatchPolicy &Policy,
                   const CallInputs &Call, const WarmupOwner &OwnsWarmup,
                   double WarmupRate, Duration Remaining, std::mt19937 &Random,
                   TimePoint Now);

/// When a request that servers turned away unexecuted should come back, with
/// Left until its deadline. A server that had a free slot (HadRoom) did not
/// turn it away for want of room, and the next one may take it; full servers
/// need time to drain.
Duration retryAfterShed(const DispatchPolicy &Policy, bool HadRoom,
                        Duration Left);

/// How an attempt ended, for what is learned of its server.
enum class AttemptEnd {
  /// A whole answer below 500.
  Answered,
  /// The server refused without running it.
  Shed,
  /// An error answer, a cut answer, a reset, or silence.
  Failed,
};

/// Counts a send. The caller ends it with recordAttemptEnd.
void recordSend(Server &To, const DispatchPolicy &Policy, TimePoint Now);

/// Takes in the end of an attempt that took Took and was expected to take
/// Expected.
void recordAttemptEnd(Server &At, const DispatchPolicy &Policy, AttemptEnd End,
                      Duration Took, Duration Expected, TimePoint Now);

/// The number of requests at a time with which a server of a service finishes
/// most in time, for requests of this kind.
uint32_t usableSlots(const OccupancyCurve &Curve, uint32_t Slots, Duration Work,
                     Duration Objective, const DispatchPolicy &Policy);

/// The chance that work of a log-normal length with this median ends within
/// the time left.
double onTimeProbability(Duration Estimate, Duration Left, double Spread);

} // namespace hyssopcross::dispatch

#endif
