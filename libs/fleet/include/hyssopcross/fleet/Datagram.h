#ifndef HYSSOPCROSS_FLEET_DATAGRAM_H
#define HYSSOPCROSS_FLEET_DATAGRAM_H

#include "hyssopcross/base/Error.h"
#include "hyssopcross/discovery/Table.h"
#include "hyssopcross/dispatch/Servers.h"
#include "hyssopcross/fleet/Membership.h"
#include "hyssopcross/fleet/Relay.h"
#include "hyssopcross/quota/Quota.h"
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hyssopcross::fleet {

/// Result of a health check of one server.
struct ServerReport {
  dispatch::ServerKey m_Server = 0;
  dispatch::LoadReport m_Load;
  /// Incarnation of the server if one of its responses announced that it is
  /// leaving.
  std::optional<int64_t> m_LeavingIncarnation = std::nullopt;
  /// Period in which the sender reports a change of speed immediately.
  Duration m_ValidFor{};
};

/// Number of requests that the sender has in flight at one server.
struct ServerInFlight {
  dispatch::ServerKey m_Server = 0;
  uint32_t m_Count = 0;
  /// Attempts of the sender that ended since its last report.
  uint32_t m_Succeeded = 0;
  uint32_t m_Failed = 0;
  /// Service time reported by the last of their responses. The receiver fills
  /// in the slots.
  std::optional<dispatch::OccupancySample> m_Stretch = std::nullopt;
  /// Requests that the sender has sent since it started while the server named
  /// a request limit.
  uint32_t m_LimitedSends = 0;
};

/// Request limit of an incarnation of a server, as last named or lifted in a
/// response.
struct ServerLimit {
  std::string m_Server;
  int64_t m_Incarnation = 0;
  /// Requests per second; empty if the server names no limit any more.
  std::optional<double> m_PerSecond;
  /// Time since the response.
  Duration m_Age{};
};

/// An incarnation of a server that has announced in a response that it is
/// leaving.
struct ServerLeaving {
  std::string m_Server;
  int64_t m_Incarnation = 0;
};

/// A backend server that crashed with a request in progress.
struct ReportedCrash {
  std::string m_Server;
  int64_t m_Incarnation = 0;
  /// Time since the crash.
  Duration m_Age{};
};

/// A request that was in progress when servers crashed.
struct SuspectReport {
  uint64_t m_Request = 0;
  std::vector<ReportedCrash> m_Crashes;
  /// Time since a server last completed the request; absent if none did.
  std::optional<Duration> m_CompletedAge;
};

/// The most bytes that a report takes in an encoded datagram.
size_t maxEncodedSize(const SuspectReport &From);

/// Ended attempts of the sender on one route, at servers of the ordered version
/// or at those of others.
struct RolloutRoute {
  uint32_t m_Route = 0;
  bool m_IsOld = false;
  uint32_t m_Answers = 0;
  uint32_t m_Failures = 0;
  uint32_t m_Timed = 0;
  double m_LogSum = 0;
  double m_LogSquares = 0;
};

/// What the sender has counted of the roll-out of a service; totals.
struct RolloutCounts {
  std::string m_Service;
  std::string m_Version;
  /// Time since the order, as far as the sender knows.
  Duration m_Age{};
  uint32_t m_Received = 0;
  uint32_t m_Sent = 0;
  uint32_t m_OldInFlight = 0;
  uint32_t m_Step = 0;
  std::vector<RolloutRoute> m_Routes;
};

/// Step or outcome of the roll-out of a service.
struct RolloutVerdict {
  std::string m_Service;
  std::string m_Version;
  /// Index in the order of rollout::State.
  uint32_t m_State = 0;
  uint32_t m_Step = 0;
  double m_Share = 0;
  Duration m_Age{};
  /// The store holds this outcome.
  bool m_IsStored = false;
};

/// The most routes, counted for each side, that a sender reports.
inline constexpr size_t MaxRolloutRoutes = 80;

/// Rows of a followed table that one VM forwards to others.
struct TableRows {
  uint32_t m_Table = 0;
  /// The batch is complete for a copy that holds everything up to this
  /// revision, which is of the same era as the batch.
  discovery::Revision m_After;
  discovery::RowBatch m_Batch;
};

/// Progress of a sender that follows the store itself.
struct Following {
  bool m_StoreAnswers = false;
  /// Revision of the newest change known in each table.
  std::vector<discovery::Revision> m_LastChanges;
  /// Time since the store last responded to the sender.
  Duration m_ConfirmedAge{};
};

/// What a datagram is sent for, to count the traffic between entry VMs. It is
/// not part of the message.
enum class DatagramKind {
  Greeting,
  GreetingAnswer,
  Heartbeat,
  Digest,
  Checks,
  CheckChanges,
  InFlight,
  Rows,
  Confirmation,
  Announcement,
  Leaving,
  Suspects,
  PassedOn,
  Quota,
  Rollouts,
};
inline constexpr size_t DatagramKindCount = 15;

/// The name of a kind in metrics.
std::string_view kindName(DatagramKind Kind);

/// The datagram for all VMs whose content another VM passes on.
struct Origin {
  /// Address of the VM that sent it.
  std::string m_Host;
  int64_t m_Incarnation = 0;
  int64_t m_Sequence = 0;
};

/// A message between entry VMs.
struct Datagram {
  VmKey m_Sender = 0;
  int64_t m_Incarnation = 0;
  int64_t m_Sequence = 0;
  std::optional<VmInfo> m_Self;
  /// Asks the receiver to send its own description.
  bool m_IsGreeting = false;
  std::vector<ServerReport> m_Reports;
  std::vector<ServerInFlight> m_InFlight;
  std::vector<std::string> m_KnownHosts;
  /// Absent if the sender does not follow the store.
  std::optional<Following> m_Following;
  std::vector<TableRows> m_Rows;
  std::vector<Digest> m_Digests;
  std::vector<ServerLimit> m_Limits;
  std::vector<ServerLeaving> m_Leaving;
  std::vector<SuspectReport> m_Suspects;
  /// Asks a receiver in another data centre to pass the content on to the live
  /// VMs there.
  bool m_ShouldPassOn = false;
  /// Set if the content is not the sender's own but has been passed on.
  std::optional<Origin> m_Origin;
  std::vector<quota::Ask> m_QuotaAsks;
  std::vector<quota::Grant> m_QuotaGrants;
  std::vector<RolloutCounts> m_RolloutCounts;
  std::vector<RolloutVerdict> m_RolloutVerdicts;
};

/// Builds the datagram that passes on what another VM sent for all VMs: its
/// progress, rows, check results and request limits. Its description and counts
/// are omitted: a receiver takes these as those of the sender, and digests tell
/// what other data centres need to know of a VM. The caller fills in the
/// sender.
Datagram makePassedOn(const Datagram &Received, std::string_view Host);

/// Encodes a datagram with Thrift's compact protocol.
std::string encodeDatagram(const Datagram &Message);

/// Fails with ErrorCode::Protocol if the bytes are not a valid datagram.
Result<Datagram> decodeDatagram(std::span<const char> Bytes);

/// Encodes rows of one table as a separate body, for data that exceeds a
/// datagram.
std::string encodeRows(const TableRows &Rows);

/// Fails with ErrorCode::Protocol if the bytes are not valid rows.
Result<TableRows> decodeRows(std::span<const char> Bytes);

} // namespace hyssopcross::fleet

#endif
