#ifndef HYSSOPCROSS_OWNERSHIP_OWNERSHIP_H
#define HYSSOPCROSS_OWNERSHIP_OWNERSHIP_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/ownership/LeaseRow.h"
#include "hyssopcross/ownership/Messages.h"
#include "hyssopcross/store/Types.h"
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace hyssopcross::ownership {

/// Settings of the decisions, the same on every VM.
///
/// Store load: an owner renews all its leases together every m_RenewEvery, in
/// transactions of at most m_GroupRows rows. N pools per VM thus cost
/// N / m_RenewEvery row writes and ceil(N / m_GroupRows) / m_RenewEvery
/// transactions per second and VM. With the defaults, 264 pools cost 132 row
/// writes per second in all, in at most 132 transactions. Each write is
/// followed by a read of the new version, and the first candidate of each pool
/// reads its row every m_WatchEvery: 220 reads per second. Electors read every
/// m_RefreshEvery: 27 reads per second.
///
/// Safety: a holder counts its time from before the send of the write that
/// took effect, a taker from after the first sight of the row's version, and
/// both allow for m_Drift. Only the electors that the row names may take it
/// after its time to live; all other VMs wait for the extension too. An owner
/// that cannot renew therefore needs the promises of these few VMs, not of the
/// whole fleet, to stay confirmed until the extension ends.
struct OwnershipPolicy {
  Duration m_TimeToLive = std::chrono::seconds(6);
  Duration m_RenewEvery = std::chrono::seconds(2);
  Duration m_WatchEvery = std::chrono::seconds(3);
  Duration m_RefreshEvery = std::chrono::seconds(30);
  /// Largest deviation of any VM's monotonic clock from real time, as a share.
  double m_Drift = 0.01;
  /// How long a promise binds an elector, and how often an owner that cannot
  /// renew asks for new ones.
  Duration m_PromiseTime = std::chrono::seconds(6);
  Duration m_PromiseEvery = std::chrono::seconds(1);
  /// The longest time that promises keep an owner confirmed after its lease
  /// has run out. An owner without electors is not extended.
  Duration m_Extension = std::chrono::minutes(2);
  /// Electors of a pool, which bounds the promise messages of an owner.
  uint32_t m_Electors = 3;
  uint32_t m_GroupRows = 25;
  /// Further wait of the second, third, ... candidate for a lease.
  Duration m_RankDelay = std::chrono::milliseconds(500);
  /// How long a store request may stay without an answer before its result
  /// counts as unknown.
  Duration m_RequestTimeout = std::chrono::seconds(3);
  /// Delay before a failed store request is repeated.
  Duration m_RetryEvery = std::chrono::milliseconds(500);
  /// How long a VM must have ranked first before an owner offers it a pool.
  Duration m_SettleTime = std::chrono::seconds(20);
  /// Pools that a VM hands over at once, and the pause after each.
  uint32_t m_HandOversAtOnce = 1;
  Duration m_HandOverPause = std::chrono::seconds(1);
  /// The same while the VM stops.
  uint32_t m_StopHandOversAtOnce = 4;
  /// How long an offer waits for its answer.
  Duration m_OfferTimeout = std::chrono::seconds(1);

  // Switches that only tests turn off.
  bool m_WaitTimeToLive = true;
  bool m_CheckPromises = true;
  bool m_WaitExtension = true;
  bool m_WaitAfterStart = true;
  bool m_ElectRuns = true;
  bool m_ValidFromSend = true;
  bool m_Sticky = true;
  bool m_IgnoreOldIncarnations = true;
  bool m_CheckClock = true;
  bool m_ReadBack = true;
  bool m_AllowDrift = true;
  bool m_PromiseOnlyWhatWasRead = true;
};

/// Whether this VM decides for a pool.
enum class LeaseStatus {
  /// No other VM can hold the lease now.
  Confirmed,
  /// This VM held the lease and knows of no other holder, but there may be
  /// one: serve warm servers only.
  Unconfirmed,
  /// Another VM holds the lease, or nobody does.
  NotOwner,
};

/// The stable lower-case name of a status, as it appears in logs and JSON.
const char *leaseStatusName(LeaseStatus Status);

/// A VM that may own pools.
struct Candidate {
  std::string m_Name;
  uint64_t m_Incarnation = 0;
  std::string m_DataCentre;
  std::string m_PeerAddress;
};

/// This process.
struct Identity {
  std::string m_Name;
  /// Differs from that of every other run, and stays the same for this one.
  uint64_t m_Incarnation = 0;
  std::string m_DataCentre;
  std::string m_PeerAddress;
};

/// A write that was sent and whose result is not known yet.
struct SentWrite {
  LeaseRow m_Row;
  TimePoint m_SentAt;
};

/// What this VM does about a pool.
enum class Role {
  /// Another VM owns it, or nobody does.
  Watching,
  /// A write that makes this VM the owner is under way.
  Taking,
  Holding,
  /// A write that releases the lease is under way.
  Releasing,
};

/// A promise received by this VM.
struct ReceivedPromise {
  uint64_t m_Epoch = 0;
  TimePoint m_Until;
};

/// A planned hand-over by the owner.
struct HandOver {
  std::string m_Successor;
  uint64_t m_Incarnation = 0;
  std::string m_PeerAddress;
  /// When the answer, or after the release the confirmation, is no longer
  /// waited for.
  TimePoint m_Deadline;
  bool m_Accepted = false;
  bool m_Released = false;
};

/// Everything about one pool.
struct PoolLease {
  Role m_Role = Role::Watching;
  /// The status last reported by LeaseChanged.
  LeaseStatus m_Reported = LeaseStatus::NotOwner;
  bool m_EverRead = false;
  /// The row was malformed or of a lower epoch.
  bool m_Rejected = false;
  /// The store could not be reached since the row was last seen.
  bool m_SightLost = false;
  /// The row must be read before the next write.
  bool m_ReadBack = false;
  /// A release whose result is unknown may still take effect.
  bool m_ReleaseMayApply = false;
  /// The previous owner has released the pool to this VM.
  bool m_Planned = false;
  /// The candidates in descending rank.
  std::vector<std::string> m_Ranked;
  /// The row as last seen, and its version; zero if it is absent.
  std::optional<LeaseRow> m_Row;
  uint64_t m_Version = 0;
  /// When this version was first seen, on this VM's clock; or seen again after
  /// the store could not be reached, so that the owner can renew first.
  TimePoint m_SeenAt;
  /// When the row was last read.
  TimePoint m_ReadAt;
  /// The request that is under way; zero for none.
  uint64_t m_Request = 0;
  /// No request is sent before.
  TimePoint m_RetryAt;
  /// Writes of this VM that may have taken effect or still may, oldest first.
  std::deque<SentWrite> m_Sent;
  /// When the newest write of this VM that is known to have taken effect was
  /// sent; the lease counts from there.
  TimePoint m_ValidFrom;
  TimePoint m_NextRenewal;
  uint64_t m_HighestEpoch = 0;
  /// Until when this VM has promised not to take the lease. For a pool that is
  /// new to it, the time that an earlier promise could last.
  TimePoint m_PromisedUntil;
  /// Until when each elector has promised the same to this VM, and for which
  /// epoch.
  std::map<Elector, ReceivedPromise> m_Promises;
  std::optional<HandOver> m_HandOver;
  /// VMs that did not accept an offer of this pool during the stop.
  std::set<std::string> m_Refused;
  /// A hand-over to this VM has been accepted: its row is read often until
  /// then.
  TimePoint m_ExpectUntil;
  /// The owner before this VM, as far as known.
  std::string m_Predecessor;
};

/// A write of one pool's row.
struct PoolWrite {
  PoolId m_Pool;
  LeaseRow m_Row;
};

/// A request to the store that has not been answered: a read of one pool's row,
/// or a transaction.
struct StoreRequest {
  std::optional<PoolId> m_Read;
  std::vector<PoolWrite> m_Writes;
  TimePoint m_SentAt;
};

/// A candidate and since when it has been one without a break.
struct CandidateState {
  Candidate m_Candidate;
  TimePoint m_Since;
};

/// Everything that the decisions depend on. Owned by the host, changed only by
/// step().
struct OwnershipState {
  OwnershipState(Identity Self, OwnershipPolicy Policy, TimePoint Now,
                 uint64_t Seed);

  Identity m_Self;
  OwnershipPolicy m_Policy;
  std::mt19937_64 m_Random;
  bool m_Stopping = false;
  bool m_Drained = false;
  /// Whether the last answer of the store was one; releases wait for that.
  bool m_StoreReached = true;
  std::map<PoolId, PoolLease> m_Pools;
  std::map<std::string, CandidateState> m_Candidates;
  std::map<uint64_t, StoreRequest> m_Requests;
  uint64_t m_LastRequest = 0;
  uint64_t m_PromiseRound = 0;
  TimePoint m_PromiseRoundAt;
  TimePoint m_NextPromises;
  TimePoint m_NextHandOver;
};

// Events, from the host.

/// The pools that should have an owner: each service of the catalogue in each
/// data centre that has backend servers. Pools that are left out are forgotten;
/// a lease on one of them runs out.
struct PoolsChanged {
  std::vector<PoolId> m_Pools;
};

/// The VMs that may own pools: alive, in service, not leaving, in a data
/// centre in service; with this VM, if it is one of them.
struct CandidatesChanged {
  std::vector<Candidate> m_Candidates;
};

/// The row as read, or none if it is absent.
struct ReadSucceeded {
  uint64_t m_Request = 0;
  std::optional<store::Row> m_Row;
};

/// The store was not reached.
struct ReadFailed {
  uint64_t m_Request = 0;
};

/// How a commit ended.
enum class CommitEnd {
  Committed,
  Conflict,
  /// Nothing has taken effect or will.
  Unavailable,
  /// It may have taken effect.
  Unknown,
};

struct CommitEnded {
  uint64_t m_Request = 0;
  CommitEnd m_End = CommitEnd::Unknown;
};

/// A message of another VM.
struct MessageArrived {
  Message m_Message;
};

/// This VM gives up all its pools.
struct StopRequested {};

/// The time named by the last WakeAt action has come. A host may send it more
/// often.
struct Woke {};

using Event =
    std::variant<PoolsChanged, CandidatesChanged, ReadSucceeded, ReadFailed,
                 CommitEnded, MessageArrived, StopRequested, Woke>;

// Actions, to the host.

/// Read a row and answer with ReadSucceeded or ReadFailed.
struct ReadLease {
  uint64_t m_Request = 0;
  std::string m_Key;
};

/// Commit the writes in one transaction and answer with CommitEnded. The time
/// that the host takes before the send makes the lease shorter, never longer.
struct CommitLease {
  uint64_t m_Request = 0;
  std::vector<store::Write> m_Writes;
};

/// Send a message to the VM of this name, once; it may be lost. The host knows
/// the address from the membership. For a HandOverOffer it adds the digest.
struct SendMessage {
  std::string m_To;
  Message m_Message;
};

/// The status of a pool's lease on this VM has changed. Status falls with time
/// alone, so each send also checks leaseStatus().
struct LeaseChanged {
  PoolId m_Pool;
  LeaseStatus m_Status = LeaseStatus::NotOwner;
  uint64_t m_Epoch = 0;
};

/// This VM has become a pool's owner. The host gives the pool the digest that
/// it holds of the predecessor.
struct TookOver {
  PoolId m_Pool;
  uint64_t m_Epoch = 0;
  /// Empty if the pool had no owner before.
  std::string m_Predecessor;
  /// The predecessor has released the pool, rather than fallen silent.
  bool m_Planned = false;
};

/// Who owns a pool, as read from the store or a message; an empty owner means
/// nobody. For the table of owners that heartbeats spread.
struct OwnerLearned {
  PoolId m_Pool;
  std::string m_Owner;
  uint64_t m_Epoch = 0;
};

/// A row that was read is malformed or has a lower epoch than one seen before.
/// The pool is left alone until the row changes.
struct RowRejected {
  PoolId m_Pool;
  std::string m_Reason;
};

/// After StopRequested: this VM holds no lease any more.
struct Drained {};

/// Send Woke at this time. Replaces an earlier WakeAt.
struct WakeAt {
  TimePoint m_Time;
};

using Action =
    std::variant<ReadLease, CommitLease, SendMessage, LeaseChanged, TookOver,
                 OwnerLearned, RowRejected, Drained, WakeAt>;

/// Applies one event and appends the actions that follow from it.
/// Deterministic: the same states, events and instants give the same actions.
/// Not thread-safe for one state.
void step(OwnershipState &State, const Event &Event, TimePoint Now,
          std::vector<Action> &Actions);

/// Whether this VM may decide for the pool at this instant. Checked right
/// before each send, with an instant read then; a process that was paused thus
/// sees its lease as run out. Reads the state only.
LeaseStatus leaseStatus(const OwnershipState &State, const PoolId &Pool,
                        TimePoint Now);

/// The VM that is to receive the digest of a pool that this VM owns: the first
/// by rank among the other candidates. None if there is no other.
std::optional<std::string> successorOf(const OwnershipState &State,
                                       const PoolId &Pool);

/// The candidates for a pool in descending rank: those of its data centre, or
/// those of all others if it has none.
std::vector<std::string> rankCandidates(const OwnershipState &State,
                                        const PoolId &Pool);

} // namespace hyssopcross::ownership

#endif
