#ifndef HYSSOPCROSS_CLAIMS_CLAIMS_H
#define HYSSOPCROSS_CLAIMS_CLAIMS_H

#include "hyssopcross/claims/Events.h"
#include <random>
#include <set>

namespace hyssopcross::claims {

/// Settings of the decisions, the same on every VM. The bool fields switch a
/// mechanism off; only tests set them.
struct ClaimPolicy {
  /// How long a claim waits for others to share its transaction.
  Duration m_GroupWindow = std::chrono::milliseconds(2);
  /// How long a result waits for others to share its transaction.
  Duration m_RecordWindow = std::chrono::milliseconds(20);
  /// Rows written by one transaction.
  size_t m_GroupRows = 32;
  /// Transactions in flight from this process.
  size_t m_CommitsInFlight = 2;
  /// Claims held in memory; beyond it, calls are refused.
  size_t m_MaxClaims = 4096;
  /// Answers up to this size in bytes are kept in the row, larger ones in the
  /// object store.
  size_t m_InlineBytes = 4096;
  /// The longest idempotency key, in bytes.
  size_t m_KeyBytes = 200;
  /// Distance from the deadline at which a send is no longer allowed; covers
  /// the skew between the VMs' clocks and the way to the server.
  Duration m_SendMargin = std::chrono::milliseconds(5);
  /// First and longest pause between tries at a store that is down.
  Duration m_RetryPause = std::chrono::milliseconds(200);
  Duration m_RetryPauseMax = std::chrono::seconds(5);
  /// How long results and withdrawals are retried before they are dropped.
  Duration m_RetryFor = std::chrono::hours(1);
  /// What callers are told to wait; jittered upwards by half.
  Duration m_RetryAfter = std::chrono::milliseconds(500);
  /// How long a refused caller waits for the withdrawal of its claim.
  Duration m_WithdrawWait = std::chrono::milliseconds(250);
  /// How long a claim row is kept after its deadline.
  Duration m_Retention = std::chrono::hours(24);
  /// Pause between two scans for expired claims, and rows of one scan.
  Duration m_SweepPause = std::chrono::milliseconds(200);
  size_t m_SweepRows = 500;
  /// Expired rows removed by the transaction that follows a scan.
  size_t m_SweepDeletes = 100;
  /// Pause after all rows of a service have been scanned.
  Duration m_SweepCyclePause = std::chrono::minutes(1);

  bool m_ClaimBeforeSend = true;
  bool m_NeverTakeOver = true;
  bool m_ReadBackLostWrites = true;
  bool m_WithdrawBeforeNotRun = true;
  bool m_FenceLostWrites = true;
  bool m_CheckSendWindow = true;
  bool m_CompareDigest = true;
};

/// Where a claim stands.
enum class ClaimPhase {
  /// The claim write is queued or in flight.
  Claiming,
  /// The row is being read to learn what became of the claim write.
  Checking,
  /// The row is this claim's; the call may be sent.
  Claimed,
  /// The recorded answer of an earlier call is being fetched.
  Fetching,
  /// A large answer is being put into the object store.
  Storing,
  /// The result is being recorded in the row.
  Recording,
  /// The claim is being withdrawn; it was not sent and never will be.
  Withdrawing,
};

/// One claim of this process.
struct Claim {
  MoneyArrived m_Arrival;
  std::string m_Attempt;
  ClaimPhase m_Phase = ClaimPhase::Claiming;
  /// The monotonic counterpart of the deadline.
  TimePoint m_SendBy;
  /// The row version that the next write expects.
  uint64_t m_ExpectedVersion = 0;
  /// A claim write may have taken effect, or may still do so, and the row
  /// version which that write expected.
  bool m_MayExist = false;
  uint64_t m_LostVersion = 0;
  /// The row was read, so an earlier request under the key would be known.
  bool m_RowRead = false;
  /// A write of this claim is in the queue.
  bool m_Queued = false;
  /// A send was allowed and is not proven not to have run.
  bool m_Sent = false;
  /// The send was allowed and has not ended.
  bool m_Sending = false;
  bool m_Answered = false;
  /// When the caller is answered at the latest.
  TimePoint m_AnswerBy;
  /// What the caller is told once the withdrawal took effect.
  AnswerKind m_RefusalKind = AnswerKind::Refused;
  Duration m_RefusalRetryAfter{};
  std::optional<RecordedAnswer> m_Result;
  /// Key of the object that holds the result's body; empty if inline.
  std::string m_ObjectKey;
  /// When a failed request is tried again, and the pause after that.
  std::optional<TimePoint> m_RetryAt;
  Duration m_RetryPause{};
  TimePoint m_GiveUpAt;
};

/// How far the removal of expired rows of a service has come. Rows carry a
/// hash of their key, and the cursor walks its prefixes.
struct SweepState {
  std::string m_HashPrefix;
  TimePoint m_NextScan;
  records::RequestId m_Request = 0;
  /// Objects to remove when the transaction in flight has removed their rows.
  std::vector<std::string> m_Objects;
  /// The scan found more expired rows than one transaction removes.
  bool m_Again = false;
};

/// Figures for metrics, counted since the start.
struct ClaimCounters {
  uint64_t m_Claims = 0;
  uint64_t m_Transactions = 0;
  uint64_t m_RowWrites = 0;
  uint64_t m_Reads = 0;
  uint64_t m_LostWrites = 0;
  uint64_t m_Withdrawn = 0;
  uint64_t m_Dropped = 0;
};

/// Everything that the decisions of one process depend on. Owned by the host,
/// changed only by step(). Bounded by MaxClaims.
struct ClaimState {
  /// Process identifies this process start among all, for good: a VM name and
  /// something unique, such as its start time.
  ClaimState(std::string Process, ClaimPolicy Policy, uint64_t Seed)
      : m_Process(std::move(Process)), m_Policy(Policy), m_Random(Seed) {}

  std::string m_Process;
  ClaimPolicy m_Policy;
  std::mt19937_64 m_Random;
  uint64_t m_LastAttempt = 0;
  records::RequestId m_LastRequest = 0;
  std::map<CallId, Claim> m_Claims;
  /// The claim that is alive for a row key; at most one.
  std::map<std::string, CallId, std::less<>> m_ByRow;
  /// The claims whose writes wait to share a transaction, by the instant at
  /// which they are due.
  std::multimap<TimePoint, CallId> m_Queue;
  /// When to look at a claim again, at most twice for each.
  std::set<std::pair<TimePoint, CallId>> m_Timers;
  std::optional<TimePoint> m_WakeAt;
  /// The claims that wait for a request to the store.
  std::map<records::RequestId, std::vector<CallId>> m_Waiting;
  size_t m_CommitsInFlight = 0;
  std::map<std::string, SweepState> m_Sweeps;
  ClaimCounters m_Counters;
};

/// Applies one event and appends the actions that follow from it.
/// Deterministic. Not thread-safe for one state; independent for different
/// states. A money call costs two row writes, shared with others of the same
/// moment in grouped transactions, and one read.
void step(ClaimState &State, const Event &Event, const records::Instant &Now,
          std::vector<Action> &Actions);

/// The key of a claim's row: claim/SERVICE/HASH/KEY. The hash lets expired rows
/// be found in bounded scans.
std::string rowKey(std::string_view Service, std::string_view Key);

} // namespace hyssopcross::claims

#endif
