#ifndef HYSSOPCROSS_FLEET_DATAGRAM_H
#define HYSSOPCROSS_FLEET_DATAGRAM_H

#include "hyssopcross/base/Error.h"
#include "hyssopcross/discovery/Table.h"
#include "hyssopcross/dispatch/Servers.h"
#include "hyssopcross/fleet/Membership.h"
#include "hyssopcross/fleet/Relay.h"
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hyssopcross::fleet {

/// What a health check told of one server.
struct ServerReport {
  dispatch::ServerKey m_Server = 0;
  dispatch::LoadReport m_Load;
  /// Of the server, if it has said in an answer that it leaves.
  std::optional<int64_t> m_LeavingIncarnation = std::nullopt;
  /// For so long the sender tells at once if the speed changes.
  Duration m_ValidFor{};
};

/// Requests that the sender has in flight at one server.
struct ServerInFlight {
  dispatch::ServerKey m_Server = 0;
  uint32_t m_Count = 0;
  /// Attempts of the sender that ended since it last told.
  uint32_t m_Succeeded = 0;
  uint32_t m_Failed = 0;
  /// What the last of their answers told of the server's service; the slots are
  /// for the receiver to fill in.
  std::optional<dispatch::StretchObservation> m_Stretch = std::nullopt;
};

/// Rows of a followed table that one VM passes on to others.
struct TableRows {
  uint32_t m_Table = 0;
  /// The batch is complete for a copy that holds everything up to here.
  uint64_t m_After = 0;
  discovery::RowBatch m_Batch;
};

/// How far the sender follows the store itself.
struct Following {
  bool m_StoreAnswers = false;
  /// Version of the newest change known in each table.
  std::vector<uint64_t> m_Versions;
  /// Since the store last answered the sender.
  Duration m_ConfirmedAge{};
};

/// One message between entry VMs.
struct Datagram {
  VmKey m_Sender = 0;
  int64_t m_Incarnation = 0;
  int64_t m_Sequence = 0;
  std::optional<VmInfo> m_Self;
  /// The receiver is asked to describe itself too.
  bool m_IsGreeting = false;
  std::vector<ServerReport> m_Reports;
  std::vector<ServerInFlight> m_InFlight;
  std::vector<std::string> m_KnownHosts;
  /// Absent if the sender does not follow the store.
  std::optional<Following> m_Following;
  std::vector<TableRows> m_Rows;
  std::vector<Digest> m_Digests;
};

/// Encodes with Thrift's compact protocol.
std::string encodeDatagram(const Datagram &Message);

/// Fails with Protocol if the bytes are no datagram.
Result<Datagram> decodeDatagram(std::span<const char> Bytes);

/// Rows of one table as a body of their own, for what no datagram can hold.
std::string encodeRows(const TableRows &Rows);

/// Fails with Protocol if the bytes are no rows.
Result<TableRows> decodeRows(std::span<const char> Bytes);

} // namespace hyssopcross::fleet

#endif
