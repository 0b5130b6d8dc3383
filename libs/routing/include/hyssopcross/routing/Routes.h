#ifndef HYSSOPCROSS_ROUTING_ROUTES_H
#define HYSSOPCROSS_ROUTING_ROUTES_H

#include "hyssopcross/base/Clock.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hyssopcross::routing {

/// Whether a request may be retried.
enum class RequestKind {
  /// Safe to execute more than once, for example lookups.
  Idempotent,
  /// Must execute at most once, for example deposits, orders and reservations.
  AtMostOnce,
  /// Has a large body and must execute at most once.
  Upload,
};

/// Returns the stable lower-case name of a request kind, as written to logs.
const char *requestKindName(RequestKind Kind);

/// A service that receives a weighted share of the requests of a route.
struct WeightedService {
  std::string m_Service;
  uint32_t m_Weight = 1;
};

/// Matches requests by host and path prefix and defines their target services,
/// timeout and retry limits.
struct Route {
  std::string m_Name;
  std::string m_Host;
  /// Begins and ends with a slash.
  std::string m_Prefix;
  RequestKind m_Kind = RequestKind::AtMostOnce;
  /// Maximum time until the caller receives the final response.
  Duration m_Timeout{};
  /// Latency objective, measured from the caller's first attempt.
  Duration m_Objective{};
  /// Maximum number of backend servers that one request may be sent to.
  uint32_t m_Attempts = 1;
  /// Priority level; 0 is the highest.
  uint32_t m_Priority = 0;
  /// Requests without a known key are served although organisations are
  /// configured.
  bool m_IsPublic = false;
  /// Never empty; a route without a traffic split has exactly one part.
  std::vector<WeightedService> m_Parts;

  bool isIdempotent() const { return m_Kind == RequestKind::Idempotent; }
};

struct ServiceSettings {
  std::string m_HealthPath;
  /// Maximum number of connections to one backend server, summed over all VMs.
  uint32_t m_MaxConnections = 0;
  /// Duration of the warm-up phase after a backend server starts.
  Duration m_WarmupTime{};
  /// Requests per second that a backend server can handle while it warms up,
  /// summed over all VMs.
  double m_WarmupRate = 0;
};

/// Size and time limits for requests from callers.
struct CallerLimits {
  uint32_t m_HeaderBytes = 16 * 1024;
  uint64_t m_BodyBytes = 64ULL << 20;
  Duration m_HeaderTimeout = std::chrono::seconds(3);
  Duration m_IdleTimeout = std::chrono::seconds(15);
};

/// An organisation whose callers identify themselves by one of its keys.
struct Organisation {
  std::string m_Name;
  /// Never empty strings; each belongs to one organisation only.
  std::vector<std::string> m_Keys;
  /// Takes precedence over the priority of the route.
  std::optional<uint32_t> m_Priority;
  /// Quota over all VMs together; zero means no limit.
  double m_RequestsPerSecond = 0;
  /// Requests that the quota allows at once; zero means no limit.
  double m_Burst = 0;
};

/// One version of the operator configuration. Immutable once built.
struct Configuration {
  uint64_t m_Version = 0;
  std::vector<Route> m_Routes;
  std::map<std::string, ServiceSettings> m_Services;
  CallerLimits m_Limits;
  /// By name. Without a value, requests need no key and headers are forwarded
  /// unchanged; with an empty map, only public routes are served.
  std::optional<std::map<std::string, Organisation>> m_Organisations;
};

/// Finds the route of a request. Holds pointers into the configuration that it
/// is built from, which must outlive the table.
class RouteTable {
public:
  explicit RouteTable(const Configuration &Config);

  /// Returns the route of the host with the longest prefix that matches the
  /// path, or null if there is none.
  const Route *find(std::string_view Host, std::string_view Path) const;

private:
  /// Routes by host, then by prefix.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, const Route *>>
      m_ByHost;
};

/// State of the smooth weighted round-robin selection for one route. Over any
/// run of requests, each part receives its weighted share to within one
/// request.
struct SplitState {
  std::vector<double> m_CurrentWeights;
};

/// Returns the index of the part that receives the next request. Parts with a
/// weight of zero receive no requests.
size_t selectPart(const Route &SplitRoute, SplitState &State);

} // namespace hyssopcross::routing

#endif
