#ifndef HYSSOPCROSS_GATEWAY_PLATFORMCODEC_H
#define HYSSOPCROSS_GATEWAY_PLATFORMCODEC_H

#include "hyssopcross/base/Error.h"
#include "hyssopcross/discovery/Table.h"
#include "hyssopcross/dispatch/Servers.h"
#include "hyssopcross/http/Message.h"
#include "hyssopcross/routing/Routes.h"
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hyssopcross::gateway {

/// The names of the headers that callers, entry VMs and backend servers
/// exchange.
struct HeaderNames {
  /// Identifies one attempt of a caller; echoed on answers.
  std::string m_RequestId;
  /// Milliseconds that the sender will wait.
  std::string m_DeadlineMillis;
  /// Made by the backend server over its answer.
  std::string m_Signature;
  /// The server that a request is meant for.
  std::string m_TargetServer;
  /// On answers of a server that did not run the request.
  std::string m_NotExecuted;
  std::string m_RetryAfter;
};

/// What a request asks for, apart from its body.
struct CallMetadata {
  std::string m_RequestId;
  /// Absent if the caller names none.
  std::optional<Duration> m_Deadline;
};

/// What a caller of the directory says about itself.
struct DirectoryQuery {
  std::string m_DataCentre;
};

/// A change of what operators have taken out of service.
struct DisabledDataCentre {
  std::string m_DataCentre;
};

/// A row of the operators' table: one of the two, or neither.
struct OperatorRow {
  std::optional<routing::Configuration> m_Configuration;
  std::optional<DisabledDataCentre> m_DisabledDataCentre;
};

enum class FollowedTable { Operator, Servers };
inline constexpr size_t FollowedTableCount = 2;

/// How a call to the store ended.
enum class StoreFailure {
  /// Not reached, refused, or cut off.
  Unavailable,
  /// The history after the version asked for is gone.
  HistoryLost,
  /// The condition of a write did not hold.
  Conflict,
  /// The answer cannot be read.
  Malformed,
};

/// Translates between the platform and the product: pure functions, no I/O. An
/// adapter fills it in.
struct PlatformCodec {
  HeaderNames m_Headers;
  std::string m_ReadinessPath;
  std::string m_DirectoryPath;

  std::function<CallMetadata(const http::Request &)> m_DecodeCall;
  /// The load that an answer or a health check tells, if it does.
  std::function<std::optional<dispatch::LoadReport>(const http::Response &)>
      m_DecodeLoad;
  /// Whether a server says in an answer that it leaves.
  std::function<bool(const http::Response &)> m_DecodeIsLeaving;
  /// For how long a server that turns a request away wants no more; absent if
  /// it does not say. Fails with Protocol if what it says is no such time.
  std::function<Result<std::optional<Duration>>(const http::Response &)>
      m_DecodeRetryAfter;
  /// The id of the server that answered a health check; empty if not told.
  std::function<std::string(const http::Response &)> m_DecodeServerId;
  std::function<DirectoryQuery(const http::Request &)> m_DecodeDirectoryQuery;
  std::function<http::Response(const std::vector<std::string> &Hosts,
                               uint16_t Port, Duration Age)>
      m_EncodeDirectoryResponse;

  /// Decodes a row of the operators' table by key and value.
  std::function<Result<OperatorRow>(const discovery::Row &)>
      m_DecodeOperatorRow;
  /// Which data centre the removal of an operators' row takes back in.
  std::function<std::optional<DisabledDataCentre>(std::string_view Key)>
      m_DecodeOperatorKey;
  std::function<Result<dispatch::ServerRecord>(const discovery::Row &)>
      m_DecodeServerRow;

  /// Requests to the store and what its answers mean.
  std::function<http::Request(FollowedTable, std::string_view From)>
      m_EncodeReadAll;
  std::function<http::Request(FollowedTable, uint64_t After, Duration Wait)>
      m_EncodeWatch;
  std::function<http::Request(std::string_view From)> m_EncodeListVms;
  std::function<http::Request(const std::string &Host)> m_EncodeRegisterVm;
  std::function<boost::outcome_v2::result<discovery::RowBatch, StoreFailure,
                                          boost::outcome_v2::policy::terminate>(
      const http::Response &)>
      m_DecodeRows;
};

} // namespace hyssopcross::gateway

#endif
