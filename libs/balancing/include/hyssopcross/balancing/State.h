#ifndef HYSSOPCROSS_BALANCING_STATE_H
#define HYSSOPCROSS_BALANCING_STATE_H

#include "hyssopcross/balancing/Events.h"
#include "hyssopcross/balancing/Policy.h"
#include <array>
#include <deque>
#include <map>
#include <random>
#include <set>

namespace hyssopcross::balancing {

/// How far a server is trusted with work.
enum class ServerStage {
  /// Started recently, or unknown: ramped slowly.
  Cold,
  /// Was warm and has shed or slowed: ramped fast while it answers well.
  Suspect,
  /// May use its whole limit.
  Warm,
};

/// An attempt that runs at a server.
struct ServerAttempt {
  AttemptId m_Id = 0;
  TimePoint m_Started;
};

/// What the pool knows of a server.
struct ServerState {
  ServerStage m_Stage = ServerStage::Cold;
  /// Requests that may be in flight, between the cold allowance and the slots.
  uint32_t m_Limit = 1;
  /// Slots that the predecessor may have left in flight.
  uint32_t m_AssumedInFlight = 0;
  /// Good completions and failures in a row since the limit last changed.
  uint32_t m_StepCompletions = 0;
  /// Latencies of these completions together.
  Duration m_StepLatency{};
  uint32_t m_Failures = 0;
  /// Latencies that this process of the server is known by.
  uint32_t m_LatencySamples = 0;
  /// Attempts of this owner that have not ended, oldest first.
  std::vector<ServerAttempt> m_Running;
  /// When the limit last changed.
  TimePoint m_StepSince;
  std::optional<TimePoint> m_LastSend;

  /// Recent and usual latency, zero if unknown.
  Duration m_RecentLatency{};
  Duration m_UsualLatency{};
  TimePoint m_LatencyAt;

  /// In the platform's list, and what the list last said.
  bool m_Listed = true;
  bool m_ListedLeaving = false;
  /// Leaves or drains; holds for as long as the boot identity does.
  bool m_Leaving = false;
  bool m_ProbeRunning = false;
  uint32_t m_KeptConnections = 0;
  std::optional<uint32_t> m_OpenConnections;
  TimePoint m_UnlistedSince;
  std::string m_BootId;
  std::string m_PreviousBootId;

  std::optional<LoadReport> m_Report;
  TimePoint m_ReportedAt;
  /// The last probe, or the instant from which the budget counts.
  TimePoint m_ProbedAt;
  std::optional<TimePoint> m_LastProbe;

  uint32_t inFlight() const { return static_cast<uint32_t>(m_Running.size()); }
};

/// A call that waits for a server or runs at one.
struct CallState {
  CallArrived m_Arrival;
  std::vector<AttemptId> m_Running;
  bool m_Queued = false;
  TimePoint m_QueuedAt;
  /// Attempts made here without hedges, and all of them.
  uint32_t m_Tries = 0;
  uint32_t m_Sent = 0;
  bool m_Hedged = false;
  /// An ended attempt that may have run; the call can't be refused any more.
  std::optional<AttemptId> m_MayHaveRun;
};

/// An attempt that is running.
struct AttemptState {
  CallId m_Call = 0;
  ServerId m_Server;
  /// Boot identity of the server when the attempt was sent.
  std::string m_BootId;
  TimePoint m_Started;
  bool m_Hedge = false;
  bool m_Cancelled = false;
  /// When the call is due a second attempt.
  std::optional<TimePoint> m_HedgeAt;
};

/// An instant at which something about a call or attempt is due.
struct Timer {
  TimePoint m_At;
  uint64_t m_Id = 0;

  friend bool operator<(const Timer &A, const Timer &B) {
    return std::tie(A.m_At, A.m_Id) < std::tie(B.m_At, B.m_Id);
  }
};

/// Queued calls by share key, and their deadlines.
struct QueueState {
  std::map<std::string, std::deque<CallId>> m_Shares;
  /// The key that was served last.
  std::string m_LastShare;
  std::set<Timer> m_Deadlines;

  size_t size() const { return m_Deadlines.size(); }
};

/// Recent latencies of the pool, in buckets of a quarter of an octave.
struct LatencyState {
  std::array<uint32_t, 128> m_Buckets{};
  uint32_t m_Samples = 0;
  Duration m_Mean{};
  /// Of warm servers alone; zero while none has completed anything.
  Duration m_WarmMean{};
};

/// A budget that grows with the calls served.
struct Budget {
  double m_Tokens = 0;
  /// Events that earned tokens, and tokens spent.
  uint64_t m_Earned = 0;
  uint64_t m_Spent = 0;
};

/// Another pool of the service.
struct PeerState {
  bool m_Listed = false;
  std::optional<TimePoint> m_QueueingUntil;
  /// Free slots offered to it.
  uint32_t m_Offered = 0;
  TimePoint m_OfferedUntil;
  /// Offers in a row that lapsed; the next one waits for longer.
  uint32_t m_LapsedOffers = 0;
  TimePoint m_NextOffer = TimePoint::min();
};

/// What the pool has told and offered others.
struct SpillState {
  std::map<PoolId, PeerState> m_Peers;
  bool m_Announced = false;
  std::optional<TimePoint> m_AnnouncedAt;
  /// Rotates hand-overs over the peers.
  uint64_t m_NextPeer = 0;
};

/// A report that ProbePool may still use.
struct PooledProbe {
  ServerId m_Server;
  uint32_t m_Load = 0;
  Duration m_Latency{};
  TimePoint m_At;
  uint32_t m_Uses = 0;
};

/// Counts since the start, for metrics.
struct PoolCounters {
  uint64_t m_Arrived = 0;
  uint64_t m_Finished = 0;
  uint64_t m_Refused = 0;
  uint64_t m_HandedOver = 0;
  uint64_t m_Abandoned = 0;
  uint64_t m_Attempts = 0;
  uint64_t m_Hedges = 0;
  uint64_t m_Retries = 0;
  uint64_t m_Probes = 0;
  /// Servers that fell back to their cold allowance.
  uint64_t m_Drops = 0;
};

/// Everything that the decisions for one pool depend on. Owned by the host,
/// changed only by step().
struct PoolState {
  PoolState(PoolId Id, catalogue::ServiceEntry Entry, PoolPolicy Policy,
            uint64_t Seed)
      : m_Id(std::move(Id)), m_Entry(std::move(Entry)), m_Policy(Policy),
        m_Random(Seed) {
    m_HedgeBudget.m_Tokens = m_Policy.m_HedgeBurst;
    m_RetryBudget.m_Tokens = m_Policy.m_RetryBurst;
  }

  PoolId m_Id;
  catalogue::ServiceEntry m_Entry;
  PoolPolicy m_Policy;
  std::mt19937_64 m_Random;
  bool m_InService = true;
  bool m_Confirmed = true;
  bool m_Released = false;
  std::map<ServerId, ServerState> m_Servers;
  std::map<CallId, CallState> m_Calls;
  std::map<AttemptId, AttemptState> m_Attempts;
  QueueState m_Queue;
  LatencyState m_Latency;
  std::set<Timer> m_Hedges;
  Budget m_HedgeBudget;
  Budget m_RetryBudget;
  SpillState m_Spill;
  std::deque<PooledProbe> m_ProbePool;
  PoolCounters m_Counters;
  AttemptId m_LastAttempt = 0;
  /// Slots count as taken by the predecessor until then.
  std::optional<TimePoint> m_AssumedUntil;
  /// A server that the predecessor's digest didn't name may have work of it.
  bool m_AssumeUnknown = false;
  /// When a server that a queued call waits for becomes ready by itself.
  std::optional<TimePoint> m_ServerReadyAt;
  std::optional<TimePoint> m_NextProbe;
  std::optional<TimePoint> m_WakeAt;
  uint64_t m_Steps = 0;
  /// The step in which all counts are compared again.
  uint64_t m_NextFullCheck = 0;
};

} // namespace hyssopcross::balancing

#endif
