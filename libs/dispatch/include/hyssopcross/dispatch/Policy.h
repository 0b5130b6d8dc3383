#ifndef HYSSOPCROSS_DISPATCH_POLICY_H
#define HYSSOPCROSS_DISPATCH_POLICY_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Error.h"
#include <cstdint>
#include <string_view>

namespace hyssopcross::dispatch {

/// Settings of the dispatch decisions, the same on every VM. Each switch
/// disables one mechanism, so that its effect can be measured separately.
struct DispatchPolicy {
  /// Service time assumed for a route without measurements, as a share of its
  /// latency objective.
  double m_DefaultServiceTimeShare = 0.35;
  /// Weight of the newest measurement in the moving average of service times.
  double m_ServiceTimeSmoothing = 0.1;
  /// Standard deviation of the logarithm of service times.
  double m_ServiceTimeSpread = 0.4;
  /// Occupancy above which servers slow down, and the slowdown factor there;
  /// assumed until enough responses are measured.
  double m_KneeOccupancy = 0.8;
  double m_KneeSlowdown = 1.7;
  /// Network round trip within a data centre and to another one.
  Duration m_LocalRoundTrip = std::chrono::microseconds(300);
  Duration m_RemoteRoundTrip = std::chrono::microseconds(3000);
  /// Cost of sending a megabyte between data centres, as a number of requests
  /// of ordinary value.
  double m_RemoteCostPerMegabyte = 5.0;
  /// Time in which the weight of a speed report falls to 1/e; expected slowdown
  /// in percent without a recent report; slowdown in percent during a slow
  /// period. All three are assumed until reports allow an estimate.
  Duration m_SpeedReportDecay = std::chrono::milliseconds(300);
  double m_UnknownSlowdown = 175;
  double m_SlowPeriodSlowdown = 400;
  /// A server without a healthy report for this long may have restarted and is
  /// treated as cold.
  Duration m_ConfirmationAge = std::chrono::milliseconds(1200);
  /// Share of a cold server's request rate that one VM may use. Two VMs that
  /// both believe they own its warm-up stay within what it can take.
  double m_WarmupShare = 0.6;
  /// Service time of a cold server relative to a warm one, in percent.
  double m_ColdSlowdown = 200;
  /// Value of a late response relative to one in time, used to determine how
  /// many concurrent requests a server handles best.
  double m_LateValue = 0.3;
  /// A slot is left empty only if fewer concurrent requests yield at least this
  /// much more throughput: the learned slowdown is uncertain by several tenths.
  double m_FewerSlotsGain = 0.1;
  /// Probability of meeting the objective from which a request is sent at once.
  double m_MinOnTimeProbability = 0.5;
  /// Share of the remaining objective that a request may spend in the queue.
  double m_QueueShare = 0.6;
  /// Maximum queue length of each service on one VM.
  uint32_t m_QueueLength = 64;
  /// Share of the time left until the deadline that the estimated service time
  /// may use when the objective can no longer be met.
  double m_LateMargin = 0.6;
  /// Retry-After of a refusal, as a share of the time left, and its minimum.
  /// Callers wait for up to a third of the time left.
  double m_RetryAfterShare = 0.3;
  Duration m_MinRetryAfter = std::chrono::milliseconds(30);
  /// Retry-After of a request that full servers refused, as a share of the time
  /// left: early enough for another attempt, late enough for the queues to
  /// drain.
  double m_ShedRetryAfterShare = 0.25;
  /// Random delay added to the Retry-After when servers refuse requests for a
  /// time, so that callers don't all return at once.
  Duration m_RefusalJitter = std::chrono::milliseconds(100);
  /// Share of the fleet-wide retry budget that this VM uses; the rest is a
  /// reserve for requests in flight and for VMs that are not known yet.
  double m_BudgetUse = 0.7;
  /// Consecutive failures after which a server is ejected, and the initial and
  /// maximum ejection time.
  uint32_t m_EjectAfter = 3;
  Duration m_EjectTime = std::chrono::milliseconds(1500);
  Duration m_MaxEjectTime = std::chrono::seconds(8);
  /// Weight of the newest outcome in a server's failure rate, and the half-life
  /// of that rate while there are no outcomes.
  double m_FailureRateSmoothing = 0.15;
  Duration m_FailureHalfLife = std::chrono::seconds(2);
  /// Longest refusal accepted from a server. Longer ones are taken for an error
  /// and would otherwise exclude the server permanently.
  Duration m_MaxRefusalTime = std::chrono::minutes(10);
  /// A server that names a request limit may get the requests of this time at
  /// once, and always a single one.
  Duration m_LimitBurst = std::chrono::seconds(1);
  /// Lowest rate, in requests per second, at which a limited server is used: it
  /// may show only in an answer that the limit has ended.
  double m_MinLimitedRate = 0.1;
  /// Longest time for which requests that exceed a limit postpone the next one.
  Duration m_MaxLimitDebt = std::chrono::seconds(4);
  /// How far ahead the returns of refused callers are spread over the requests
  /// that limits will admit. Few callers wait longer.
  Duration m_MaxReturnTime = std::chrono::seconds(5);
  /// How long the notice of an unregistered server is kept after its last
  /// update. Outages of the store last minutes.
  Duration m_NoticeRetention = std::chrono::minutes(15);
  /// Number of crashed servers from which a request that was in progress at all
  /// of them is not sent to any more.
  uint32_t m_CrashesUntilQuarantine = 3;
  /// Time within which a server whose connections closed is found to have ended
  /// if it has crashed.
  Duration m_CrashConfirmTime = std::chrono::seconds(2);
  /// How long a request is not sent after its last crash, and how long crashes
  /// are remembered; the latter is longer.
  Duration m_QuarantineTime = std::chrono::minutes(10);
  Duration m_SuspectRetention = std::chrono::minutes(15);
  /// Requests that are remembered because of crashes, some 200 bytes each.
  size_t m_MaxSuspects = 1024;
  /// Random delay before a VM with queued requests uses a slot that was
  /// announced as free: long compared with the time in which the in-flight
  /// count of the VM that takes it reaches its peers.
  Duration m_SlotClaimJitter = std::chrono::milliseconds(25);
  /// How long a service counts as short of capacity after a request had to
  /// wait.
  Duration m_PressureTime = std::chrono::milliseconds(400);
  /// Multiples of its expected time after which a running request gets a second
  /// attempt on another server: at the latest, and at the earliest if the
  /// second attempt would be late otherwise.
  double m_HedgeFactor = 2.0;
  double m_EarlyHedgeFactor = 1.4;
  /// Multiple of the usual service time that is reserved for a second attempt.
  double m_HedgeMargin = 1.25;

  /// A VM that is shutting down accepts a request only if this multiple of its
  /// usual service time is left: a slow server takes four times as long, and
  /// long requests take half as much again.
  double m_ShutdownServiceTimeFactor = 6;
  /// If a report made within this time after a request was sent shows a
  /// slowdown higher by at least this factor than the one known then, the
  /// server was already slow when the request began. The time is one and a half
  /// intervals between health checks.
  Duration m_SlowStartTime = std::chrono::milliseconds(60);
  double m_SlowStartFactor = 2.0;

  /// Interval after which an unchanged report is published again: four health
  /// checks, and well under the silence after which another VM checks the
  /// server as well.
  Duration m_RepublishInterval = std::chrono::milliseconds(160);
  /// How long a published report remains valid unless a change is published:
  /// the interval above plus the next check.
  Duration m_ReportValidity = std::chrono::milliseconds(200);
  /// Ratio of two published slowdowns above which the difference is more than
  /// jitter.
  double m_SignificantSpeedRatio = 1.25;

  bool m_TellChangesOnly = true;
  bool m_LearnServers = true;
  bool m_Queue = true;
  bool m_RefuseHopeless = true;
  bool m_ServeLate = true;
  bool m_Hedge = true;
  bool m_HedgeInTime = true;
  bool m_HedgeSlowStarts = true;
  bool m_Eject = true;
  bool m_ShareInFlight = true;
  bool m_ReserveForFresh = true;
  bool m_NewestFirst = true;
  bool m_AvoidFailing = true;
  bool m_RetryShedSoon = true;
  bool m_KeepRequestLimits = true;
  bool m_QuarantineCrashers = true;
};

/// Disables a mechanism by its name, such as "hedge". For an unknown name it
/// fails with InvalidInput and a message that lists the valid ones.
Result<void> disableMechanism(DispatchPolicy &Policy,
                              std::string_view Mechanism);

} // namespace hyssopcross::dispatch

#endif
