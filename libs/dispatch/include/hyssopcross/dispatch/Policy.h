#ifndef HYSSOPCROSS_DISPATCH_POLICY_H
#define HYSSOPCROSS_DISPATCH_POLICY_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Error.h"
#include <cstdint>
#include <string_view>

namespace hyssopcross::dispatch {

/// Settings of the decisions, the same on every VM. A switch turns one
/// mechanism off, so that its worth can be measured alone.
struct DispatchPolicy {
  /// Service time of a route that has not been measured, as a share of its
  /// latency objective.
  double m_DefaultServiceTimeShare = 0.35;
  /// Weight of the newest measurement in the moving average of service times.
  double m_ServiceTimeSmoothing = 0.1;
  /// Spread of service times, as the standard deviation of their logarithm.
  double m_ServiceTimeSpread = 0.4;
  /// Occupancy above which servers slow down, and how much; assumed until their
  /// answers tell.
  double m_KneeOccupancy = 0.8;
  double m_KneeSlowdown = 1.7;
  /// Round trip within a data centre and to another one.
  Duration m_LocalRoundTrip = std::chrono::microseconds(300);
  Duration m_RemoteRoundTrip = std::chrono::microseconds(3000);
  /// What a megabyte between data centres costs, in requests of ordinary
  /// worth.
  double m_RemoteCostPerMegabyte = 5.0;
  /// Time in which the weight of a report of a server's speed falls to 1/e,
  /// expected slowdown in percent where no fresh report tells, and slowdown of
  /// a slow spell; assumed until reports tell.
  Duration m_SpeedReportDecay = std::chrono::milliseconds(300);
  double m_UnknownSlowdown = 175;
  double m_SlowPeriodSlowdown = 400;
  /// Without a good report for this long, a server may have started anew: it
  /// is treated as cold.
  Duration m_ConfirmationAge = std::chrono::milliseconds(1200);
  /// Share of a cold server's rate that one VM may use. Two VMs that both
  /// believe it is theirs to warm stay within what it bears.
  double m_WarmupShare = 0.6;
  /// How much slower a cold server is, in percent.
  double m_ColdSlowdown = 200;
  /// What a late answer is worth beside one in time, for how many requests at a
  /// time serve most.
  double m_LateValue = 0.3;
  /// Share by which fewer requests at a time must finish more, for a slot to be
  /// left empty: what was learned of the stretch is uncertain by some tenths.
  double m_FewerSlotsGain = 0.1;
  /// Chance of meeting the objective from which a request is sent at once.
  double m_MinOnTimeProbability = 0.5;
  /// Part of the remaining objective that a request may spend in the queue.
  double m_QueueShare = 0.6;
  /// Requests that may wait for each service on one VM.
  uint32_t m_QueueLength = 64;
  /// Share of the time left until the deadline that an estimate may use when
  /// the objective can no longer be met.
  double m_LateMargin = 0.6;
  /// Bounds of a refusal's Retry-After, as a share of the time left: callers
  /// wait for up to a third of it.
  double m_RetryAfterShare = 0.3;
  Duration m_MinRetryAfter = std::chrono::milliseconds(30);
  /// Retry-After of a request that full servers turned away, as a share of the
  /// time left: early enough for another try, late enough for queues to drain.
  double m_ShedRetryAfterShare = 0.25;
  /// Random time by which callers come back after servers' own refusals end, so
  /// that they don't all come at once.
  Duration m_RefusalJitter = std::chrono::milliseconds(100);
  /// Shares of the fleet's budget for sending again that this VM uses; the
  /// rest covers requests in flight and VMs that are not yet known.
  double m_BudgetUse = 0.7;
  /// Failures in a row after which a server gets nothing for a while, and for
  /// how long at first and at most.
  uint32_t m_EjectAfter = 3;
  Duration m_EjectTime = std::chrono::milliseconds(1500);
  Duration m_MaxEjectTime = std::chrono::seconds(8);
  /// Weight of the newest outcome in a server's share of failures, and the time
  /// in which that share halves without news.
  double m_FailureRateSmoothing = 0.15;
  Duration m_FailureHalfLife = std::chrono::seconds(2);
  /// Longest time for which a server's refusal is believed: longer ones are
  /// taken for a mistake, and would keep a server out for good.
  Duration m_MaxRefusalTime = std::chrono::minutes(10);
  /// How long what a server said is kept after it was last said, if the server
  /// is not listed any more. Outages of the store last minutes.
  Duration m_NoticeRetention = std::chrono::minutes(15);
  /// Random time after news of a free slot in which a VM that has requests
  /// waiting takes it: long against the time in which the taker's news reaches
  /// the others.
  Duration m_SlotClaimJitter = std::chrono::milliseconds(25);
  /// How long a service counts as short of room after a request had to wait.
  Duration m_PressureTime = std::chrono::milliseconds(400);
  /// A running request of this many times its expected time is worth a second
  /// attempt elsewhere, at the latest and, so that the second one can still be
  /// in time, at the earliest.
  double m_HedgeFactor = 2.0;
  double m_EarlyHedgeFactor = 1.4;
  /// Times the usual service time that a second attempt is given.
  double m_HedgeMargin = 1.25;

  /// A VM that is being stopped takes a request only if it has this many times
  /// the usual service time left: a slow server takes four times as long, and
  /// long work half as much again.
  double m_ShutdownServiceTimeFactor = 6;
  /// A server that, within this time after a send, tells that work takes this
  /// many times as long as was known then, was already slow when the request
  /// began. The time is one and a half intervals between health checks.
  Duration m_SlowStartTime = std::chrono::milliseconds(60);
  double m_SlowStartFactor = 2.0;

  /// Time after which others are told of a server though nothing has changed:
  /// four checks, and well under the silence after which another VM checks too.
  Duration m_RepublishInterval = std::chrono::milliseconds(160);
  /// For so long a report that was told holds unless a change is told: the
  /// interval above and the next check.
  Duration m_ReportValidity = std::chrono::milliseconds(200);
  /// Ratio of two told slowdowns that is more than jitter.
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
};

/// Turns a mechanism off by its name, such as "hedge". Fails with InvalidInput,
/// and the names there are, if none is called so.
Result<void> disableMechanism(DispatchPolicy &Policy,
                              std::string_view Mechanism);

} // namespace hyssopcross::dispatch

#endif
