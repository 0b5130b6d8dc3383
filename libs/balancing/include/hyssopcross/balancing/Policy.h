#ifndef HYSSOPCROSS_BALANCING_POLICY_H
#define HYSSOPCROSS_BALANCING_POLICY_H

#include "hyssopcross/base/Clock.h"
#include <cstdint>

namespace hyssopcross::balancing {

/// How a server is chosen. All but OwnerQueue are baselines for comparison:
/// they send a call at once, without queue, limits, ramp, hedges or spill.
enum class ChoicePolicy {
  /// Central queue; a free slot first, then the lowest expected service time.
  OwnerQueue,
  /// Any server.
  Random,
  /// The less loaded of two random servers by own in-flight count.
  TwoChoices,
  /// The least loaded server by its last, possibly stale, report.
  LeastReported,
  /// A pool of recent probes: the fastest of the servers that are not among
  /// the most loaded, as in Prequal.
  ProbePool,
};

/// The mechanisms that tests turn off to see their checks fail. All on
/// otherwise.
struct PolicySwitches {
  /// Nothing is sent to a server beyond its concurrency limit.
  bool m_EnforceLimits = true;
  /// Cold servers are ramped.
  bool m_RampCold = true;
  /// Cold servers get nothing while the lease is unconfirmed.
  bool m_HoldUnconfirmed = true;
  /// Slots that a predecessor may have left in flight count as taken.
  bool m_AssumeTaken = true;
  /// Leaving and draining servers get nothing.
  bool m_HonourLeaving = true;
  /// A server whose running attempts are overdue is avoided.
  bool m_AvoidSlowed = true;
  /// A shed or latency jump drops a server to its cold allowance.
  bool m_DropOnTrouble = true;
  /// The queue is bounded.
  bool m_BoundQueue = true;
  /// A call that cannot finish in time is refused on arrival.
  bool m_RefuseEarly = true;
  /// A call whose deadline has passed is not sent.
  bool m_HonourDeadline = true;
  /// The queue serves share keys in turn.
  bool m_FairShares = true;
  /// Lookups are hedged.
  bool m_Hedge = true;
  /// Hedges keep to their budget.
  bool m_HedgeBudget = true;
  /// The slower of two attempts is cancelled.
  bool m_CancelLoser = true;
  /// Attempts are retried.
  bool m_Retry = true;
  /// Retries keep to their budget.
  bool m_RetryBudget = true;
  /// A request that is not idempotent is sent again only if it never ran.
  bool m_RetryOnlyNotRun = true;
  /// Probes keep to their budget.
  bool m_ProbeBudget = true;
  /// Calls move between pools.
  bool m_Spill = true;
};

/// Settings of the decisions, the same on every VM.
struct PoolPolicy {
  ChoicePolicy m_Choice = ChoicePolicy::OwnerQueue;

  /// Expected service time of a server that has not answered yet.
  Duration m_DefaultServiceTime = std::chrono::milliseconds(10);
  /// Age at which half of a server's estimate has given way to the pool's.
  Duration m_EstimateHalfLife = std::chrono::milliseconds(200);
  /// Expected cost of opening a connection.
  Duration m_ConnectCost = std::chrono::milliseconds(1);
  /// A recent latency this many times the usual one is a jump.
  double m_JumpFactor = 3.0;
  /// Latency below which nothing is a jump.
  Duration m_JumpFloor = std::chrono::milliseconds(2);
  /// An attempt this many times older than expected marks its server slowed.
  double m_SlowedFactor = 4.0;
  /// Age below which no attempt marks its server slowed.
  Duration m_SlowedFloor = std::chrono::milliseconds(5);

  /// Requests in flight that a cold server can bear.
  uint32_t m_ColdAllowance = 1;
  /// Completions that one step of a cold server's ramp takes.
  uint32_t m_ColdCompletions = 16;
  /// A step succeeds if its completions took at most this many times as long as
  /// those of warm servers. With exponential work, sixteen of a server that is
  /// four times slower pass in 5 of 10,000 steps, and of a warm one in 97 of
  /// 100; ten in 5 of 1000 and in 93 of 100.
  double m_StepLatencyFactor = 1.5;
  /// Least time of one step of a cold server's ramp.
  Duration m_ColdStep = std::chrono::milliseconds(500);
  /// Time between two sends to a cold server, divided by its limit.
  Duration m_ColdSpacing = std::chrono::milliseconds(20);
  /// Time between two sends to a cold server while a warm one has a slot free.
  Duration m_ColdExploreSpacing = std::chrono::milliseconds(100);
  /// Completions and least time of one step back after a shed or jump.
  uint32_t m_SuspectCompletions = 10;
  Duration m_SuspectStep = std::chrono::milliseconds(50);
  /// How long a server that is no longer listed is remembered.
  Duration m_ForgetAfter = std::chrono::minutes(10);

  /// Bounds of the Retry-After of a refusal, before jitter.
  Duration m_MinRetryAfter = std::chrono::milliseconds(20);
  Duration m_MaxRetryAfter = std::chrono::seconds(10);
  /// Retry-After when no server can take work.
  Duration m_NoServerRetryAfter = std::chrono::seconds(1);
  /// Retry-After is lengthened by up to this share at random.
  double m_RetryAfterJitter = 0.5;

  /// Hedges per lookup, and how many may be saved up.
  double m_HedgeShare = 0.05;
  double m_HedgeBurst = 5.0;
  /// Share of recent latencies that are shorter than the hedge delay.
  double m_HedgeQuantile = 0.95;
  Duration m_MinHedgeDelay = std::chrono::milliseconds(1);
  /// Latencies that must be known before lookups are hedged.
  uint32_t m_HedgeMinSamples = 20;

  /// Retries per completed call, and how many may be saved up.
  double m_RetryShare = 0.1;
  double m_RetryBurst = 10.0;
  /// Retries of one call over all hops, and if the call is nested.
  uint32_t m_MaxRetries = 2;
  uint32_t m_MaxNestedRetries = 1;

  /// Expected time to hand a call over to another pool.
  Duration m_CrossingTime = std::chrono::milliseconds(2);
  /// Expected wait from which the pool tells others that it queues.
  Duration m_AnnounceWait = std::chrono::milliseconds(2);
  /// Least time between two announcements.
  Duration m_AnnounceInterval = std::chrono::milliseconds(20);
  /// While the pool queues it repeats the announcement this often.
  Duration m_AnnounceRefresh = std::chrono::milliseconds(100);
  /// An announcement of another pool is forgotten after this time.
  Duration m_PeerQueueingLife = std::chrono::milliseconds(300);
  /// Offered slots are kept for this time and not offered again.
  Duration m_OfferLife = std::chrono::milliseconds(10);
  /// Slots in one offer.
  uint32_t m_MaxOffer = 4;
  /// Connections kept open beyond the slots of a warm server.
  uint32_t m_SpareConnections = 1;

  /// A server that reported within this time is not probed.
  Duration m_ReportFreshness = std::chrono::seconds(1);
  /// Share of a server's probes and connections that a confirmed owner uses;
  /// an unconfirmed one uses half of it. Up to 2/3, one of each together stay
  /// within the whole.
  double m_OwnerShare = 2.0 / 3.0;

  /// Probes that ProbePool starts for each call, within the budget.
  uint32_t m_ProbesPerCall = 2;
  /// Probes that ProbePool remembers, for how many calls and for how long.
  uint32_t m_ProbePoolSize = 16;
  uint32_t m_ProbePoolUses = 3;
  Duration m_ProbePoolAge = std::chrono::seconds(1);
  /// A server is hot if its load is above this quantile of the pool's probes.
  double m_ProbePoolHot = 0.84;

  PolicySwitches m_Switches;
};

} // namespace hyssopcross::balancing

#endif
