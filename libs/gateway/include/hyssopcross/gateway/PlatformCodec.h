#ifndef HYSSOPCROSS_GATEWAY_PLATFORMCODEC_H
#define HYSSOPCROSS_GATEWAY_PLATFORMCODEC_H

#include "hyssopcross/base/Error.h"
#include "hyssopcross/discovery/Table.h"
#include "hyssopcross/dispatch/Servers.h"
#include "hyssopcross/http/Message.h"
#include "hyssopcross/rollout/Rollout.h"
#include "hyssopcross/routing/Routes.h"
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hyssopcross::gateway {

/// The names of the headers that callers, entry VMs and backend servers
/// exchange.
struct HeaderNames {
  /// Identifies one attempt of a caller; echoed in responses.
  std::string m_RequestId;
  /// Time in milliseconds that the sender waits for the response.
  std::string m_DeadlineMillis;
  /// Signature of the backend server over its response.
  std::string m_Signature;
  /// Id of the backend server that the request is addressed to.
  std::string m_TargetServer;
  /// Set in responses of a server that did not execute the request.
  std::string m_NotExecuted;
  std::string m_RetryAfter;
  /// Names the organisation of the caller to backend servers.
  std::string m_Organisation;
  /// Carries the key of the caller.
  std::string m_Credential;
};

/// Metadata of a request, decoded from its headers.
struct CallMetadata {
  std::string m_RequestId;
  /// Absent if the request carries no deadline.
  std::optional<Duration> m_Deadline;
  /// Who sends the request, as it states; empty if it does not.
  std::string m_Caller;
  /// Identifies the organisation of the caller; empty if there is none. Must
  /// not be logged or sent on.
  std::string m_Key;
};

/// Parameters of a directory request.
struct DirectoryQuery {
  std::string m_DataCentre;
};

/// A data centre that operators have taken out of service.
struct DisabledDataCentre {
  std::string m_DataCentre;
};

/// A decoded row of the operators' table; at most one member is set.
struct OperatorRow {
  std::optional<routing::Configuration> m_Configuration;
  std::optional<DisabledDataCentre> m_DisabledDataCentre;
  std::optional<rollout::Order> m_Rollout;
};

/// State of a roll-out as the store holds it.
struct RolloutStatus {
  rollout::State m_State = rollout::State::Running;
  std::string m_To;
  /// Version of the row; 0 if there is none.
  uint64_t m_RowVersion = 0;
};

enum class FollowedTable { Operator, Servers };
inline constexpr size_t FollowedTableCount = 2;

/// Why a call to the store failed.
enum class StoreFailure {
  /// The store was unreachable, refused the call or closed the connection.
  Unavailable,
  /// The store no longer holds the changes after the requested version.
  HistoryLost,
  /// The precondition of a write was not met.
  Conflict,
  /// The response cannot be decoded.
  Malformed,
  /// The response belongs to an earlier era of the store than the local copy.
  EarlierEra,
};

/// Translates between the platform's messages and the types of this project.
/// The functions are pure and do no I/O; an adapter supplies them.
struct PlatformCodec {
  HeaderNames m_Headers;
  std::string m_ReadinessPath;
  std::string m_DirectoryPath;

  std::function<CallMetadata(const http::Request &)> m_DecodeCall;
  /// Decodes the load report in a response or health check, if there is one.
  std::function<std::optional<dispatch::LoadReport>(const http::Response &)>
      m_DecodeLoad;
  /// Whether the response announces that the server is shutting down.
  std::function<bool(const http::Response &)> m_DecodeIsLeaving;
  /// How long a server that rejected a request wants no further requests;
  /// absent if the response does not state it. Fails with Protocol if the value
  /// is not a valid duration.
  std::function<Result<std::optional<Duration>>(const http::Response &)>
      m_DecodeRetryAfter;
  /// Requests per second that the server takes from all VMs together; absent if
  /// the response names no limit. Fails with Protocol if the value is not a
  /// valid rate.
  std::function<Result<std::optional<double>>(const http::Response &)>
      m_DecodeRequestLimit;
  /// The id of the server that answered a health check; empty if the response
  /// does not state it.
  std::function<std::string(const http::Response &)> m_DecodeServerId;
  std::function<DirectoryQuery(const http::Request &)> m_DecodeDirectoryQuery;
  std::function<http::Response(const std::vector<std::string> &Hosts,
                               uint16_t Port, Duration Age)>
      m_EncodeDirectoryResponse;

  /// Decodes a row of the operators' table by key and value.
  std::function<Result<OperatorRow>(const discovery::Row &)>
      m_DecodeOperatorRow;
  /// Decodes the key of a removed operators' row to the data centre that
  /// returns to service.
  std::function<std::optional<DisabledDataCentre>(std::string_view Key)>
      m_DecodeOperatorKey;
  /// Decodes the key of a removed operators' row to the service whose roll-out
  /// is withdrawn.
  std::function<std::optional<std::string>(std::string_view Key)>
      m_DecodeRolloutKey;
  std::function<Result<dispatch::ServerRecord>(const discovery::Row &)>
      m_DecodeServerRow;

  /// Encode requests to the store and decode its responses.
  std::function<http::Request(FollowedTable, std::string_view From)>
      m_EncodeReadAll;
  std::function<http::Request(FollowedTable, uint64_t After, Duration Wait)>
      m_EncodeWatch;
  std::function<http::Request(std::string_view From)> m_EncodeListVms;
  std::function<http::Request(const std::string &Host)> m_EncodeRegisterVm;
  std::function<http::Request(const std::string &Service)> m_EncodeReadRollout;
  /// Writes the state of a roll-out if the row still has the given version.
  std::function<http::Request(const std::string &Service,
                              const RolloutStatus &Status)>
      m_EncodeWriteRollout;
  /// Decodes the state of a roll-out from a response to m_EncodeReadRollout.
  /// The row version is 0 if there is no row, and the state is Running if the
  /// row cannot be decoded. Empty if the response contains no rows of the
  /// store.
  std::function<std::optional<RolloutStatus>(const http::Response &,
                                             const std::string &Service)>
      m_DecodeRollout;
  /// The era of the decoded rows is left zero; m_DecodeEra returns it.
  std::function<boost::outcome_v2::result<discovery::RowBatch, StoreFailure,
                                          boost::outcome_v2::policy::terminate>(
      const http::Response &)>
      m_DecodeRows;
  /// The era of the store's versions; absent if the response does not state it.
  /// Fails with Protocol if the value is not a valid number.
  std::function<Result<std::optional<uint64_t>>(const http::Response &)>
      m_DecodeEra;
};

} // namespace hyssopcross::gateway

#endif
