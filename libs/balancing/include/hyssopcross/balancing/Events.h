#ifndef HYSSOPCROSS_BALANCING_EVENTS_H
#define HYSSOPCROSS_BALANCING_EVENTS_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/catalogue/Types.h"
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace hyssopcross::balancing {

/// Identifies a call within the process that decides for its pool. The host
/// assigns it and does not reuse it.
using CallId = uint64_t;

/// Identifies one attempt of a call at a backend server. The pool assigns it
/// and does not reuse it.
using AttemptId = uint64_t;

/// The backend servers of one service in one data centre.
struct PoolId {
  std::string m_Service;
  std::string m_DataCentre;

  friend bool operator==(const PoolId &, const PoolId &) = default;
  friend bool operator<(const PoolId &A, const PoolId &B) {
    return std::tie(A.m_Service, A.m_DataCentre) <
           std::tie(B.m_Service, B.m_DataCentre);
  }
};

/// Identifies a backend server by its address, host:port.
using ServerId = std::string;

/// What a backend server says about its own load.
struct LoadReport {
  uint32_t m_InFlight = 0;
  uint32_t m_Queued = 0;
  bool m_Draining = false;
  /// Changes whenever the server process restarts; empty if it says none.
  std::string m_BootId;
};

/// A backend server of the platform's list.
struct ServerRecord {
  ServerId m_Server;
  bool m_Leaving = false;
};

/// Why a call is refused. None of these has run at a backend server.
enum class RefusalReason {
  /// The queue is full, or the wait would exceed the deadline.
  Overloaded,
  /// The service's share or limit is used up.
  OverLimit,
  /// No backend server is in service.
  NoServer,
  /// The deadline passed while the call was queued.
  DeadlinePassed,
  /// This VM is stopping or its data centre is out of service.
  OutOfService,
};

/// How an attempt at a backend server ended.
enum class AttemptEnd {
  /// A whole, matching answer arrived.
  Completed,
  /// The server refused it by contract; it did not run.
  Shed,
  /// Nothing was sent; it did not run.
  NotSent,
  /// It was sent, and no whole answer arrived.
  Broken,
  /// It was cancelled by a CancelAttempt action after it had been sent.
  Cancelled,
};

// Events, from the host to the pool.

/// A call wants to run in this pool.
struct CallArrived {
  CallId m_Call = 0;
  TimePoint m_Deadline;
  /// Whose fair share the call counts against, for example the calling tenant;
  /// may be empty.
  std::string m_ShareKey;
  /// Attempts that earlier hops have already made for this call; a nested call
  /// may count those of the calls around it.
  uint32_t m_PriorAttempts = 0;
  /// Nesting depth of the call, one for a call from outside.
  uint32_t m_Depth = 1;
  /// Set if another pool's owner has handed the call over: it must not be
  /// handed over again.
  bool m_HandedOver = false;
};

/// The caller no longer waits.
struct CallAbandoned {
  CallId m_Call = 0;
};

/// An attempt has ended. The report is the one on the answer, if it had one.
struct AttemptEnded {
  AttemptId m_Attempt = 0;
  AttemptEnd m_End = AttemptEnd::Completed;
  std::optional<LoadReport> m_Report;
  /// False if it ended NotSent for a reason that is not the server's, such as
  /// an idempotency claim that failed: the server's standing stays as it is,
  /// and the call is refused without a retry.
  bool m_ServerFault = true;
};

/// A probe was answered, or failed if it has no report.
struct ProbeEnded {
  ServerId m_Server;
  std::optional<LoadReport> m_Report;
};

/// The host has opened or closed connections of its own to a server.
struct ConnectionsChanged {
  ServerId m_Server;
  uint32_t m_Open = 0;
};

/// The servers of the pool as the platform lists them now.
struct ServersListed {
  std::vector<ServerRecord> m_Servers;
};

/// The catalogue entry of the service, and whether the data centre is in
/// service.
struct EntryChanged {
  catalogue::ServiceEntry m_Entry;
  bool m_InService = true;
};

/// Whether the lease on this pool is confirmed right now.
struct LeaseChanged {
  bool m_Confirmed = true;
};

/// What a predecessor knew of a server, from its digest.
struct ServerDigest {
  ServerId m_Server;
  std::string m_BootId;
  bool m_Warm = false;
  bool m_Leaving = false;
  uint32_t m_Limit = 0;
  uint32_t m_InFlight = 0;
};

/// This process has just become the pool's owner. Slots that the predecessor
/// may have left in flight count as taken until Until, or until the server
/// reports fewer.
struct TookOver {
  std::vector<ServerDigest> m_Digest;
  TimePoint m_Until;
  /// True after a planned hand-over, where the digest's in-flight counts are
  /// those of the release; otherwise every slot may be taken.
  bool m_Exact = false;
};

/// This process is giving the pool up to a successor. Queued and new calls go
/// to the pool's next owner; running ones finish here.
struct Released {};

/// The service's other pools that are in service.
struct PeersListed {
  std::vector<PoolId> m_Pools;
};

/// Another pool of the service has started or ended to queue.
struct PeerQueueing {
  PoolId m_Pool;
  bool m_Queueing = false;
};

/// Another pool of the service offers free slots to calls queued here.
struct PullAsked {
  PoolId m_Pool;
  uint32_t m_FreeSlots = 0;
};

/// The time named by the last WakeAt action has come.
struct Woke {};

using Event = std::variant<CallArrived, CallAbandoned, AttemptEnded, ProbeEnded,
                           ConnectionsChanged, ServersListed, EntryChanged,
                           LeaseChanged, TookOver, Released, PeersListed,
                           PeerQueueing, PullAsked, Woke>;

// Actions, from the pool to the host.

/// Send the call to a server. The host answers with AttemptEnded.
struct SendAttempt {
  CallId m_Call = 0;
  AttemptId m_Attempt = 0;
  ServerId m_Server;
  /// True for the second attempt of a lookup while the first still runs.
  bool m_Hedge = false;
};

/// Stop an attempt whose answer is no longer wanted. The host still answers
/// with AttemptEnded.
struct CancelAttempt {
  AttemptId m_Attempt = 0;
};

/// The call's final result is the result of this attempt; forget the call. The
/// attempt may have ended earlier: the host keeps the results of a call's
/// attempts until the call is forgotten.
struct FinishCall {
  CallId m_Call = 0;
  AttemptId m_Attempt = 0;
};

/// Refuse the call at once with "not run"; forget the call.
struct RefuseCall {
  CallId m_Call = 0;
  RefusalReason m_Reason = RefusalReason::Overloaded;
  /// When the caller should come back.
  Duration m_RetryAfter{};
};

/// Hand the call over to the owner of another pool, for good; forget the call.
/// The pool is this one if this process has released it: its next owner is
/// meant. No attempt of the call has been made here.
struct HandOverCall {
  CallId m_Call = 0;
  PoolId m_Pool;
};

/// Ask a server for its load. The host answers with ProbeEnded.
struct SendProbe {
  ServerId m_Server;
};

/// Keep this many connections open to a server.
struct KeepConnections {
  ServerId m_Server;
  uint32_t m_Count = 0;
};

/// Tell the owners of the service's other pools whether calls queue here.
struct AnnounceQueueing {
  bool m_Queueing = false;
};

/// Offer free slots to the owner of a pool that queues.
struct AskPull {
  PoolId m_Pool;
  uint32_t m_FreeSlots = 0;
};

/// Send Woke at this time. Replaces an earlier WakeAt.
struct WakeAt {
  TimePoint m_Time;
};

using Action = std::variant<SendAttempt, CancelAttempt, FinishCall, RefuseCall,
                            HandOverCall, SendProbe, KeepConnections,
                            AnnounceQueueing, AskPull, WakeAt>;

} // namespace hyssopcross::balancing

#endif
