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

/// What may be repeated.
enum class RequestKind {
  /// May run more than once: lookups.
  Idempotent,
  /// Runs at most once: deposits, orders, reservations.
  AtMostOnce,
  /// A large body; runs at most once.
  Upload,
};

/// The stable lower-case name of a kind, as it appears in logs.
const char *requestKindName(RequestKind Kind);

/// One of the services that share the requests of a route.
struct WeightedService {
  std::string m_Service;
  uint32_t m_Weight = 1;
};

/// Which requests go where, and how long they may take.
struct Route {
  std::string m_Name;
  std::string m_Host;
  /// Begins and ends with a slash.
  std::string m_Prefix;
  RequestKind m_Kind = RequestKind::AtMostOnce;
  /// Longest time that a caller is kept waiting for the final answer.
  Duration m_Timeout{};
  /// Latency objective, counted from the caller's first attempt.
  Duration m_Objective{};
  /// Servers that one request may be sent to.
  uint32_t m_Attempts = 1;
  /// Rank; 0 is the most urgent.
  uint32_t m_Priority = 0;
  /// At least one; a plain route has one part.
  std::vector<WeightedService> m_Parts;

  bool isIdempotent() const { return m_Kind == RequestKind::Idempotent; }
};

struct ServiceSettings {
  std::string m_HealthPath;
  /// Connections that one server accepts from all VMs together.
  uint32_t m_MaxConnections = 0;
  /// How long a server is cold after it starts.
  Duration m_WarmupTime{};
  /// Requests per second that a cold server bears from all VMs together.
  double m_WarmupRate = 0;
};

/// What callers may send and how long they may take.
struct CallerLimits {
  uint32_t m_HeaderBytes = 16 * 1024;
  uint64_t m_BodyBytes = 64ULL << 20;
  Duration m_HeaderTimeout = std::chrono::seconds(3);
  Duration m_IdleTimeout = std::chrono::seconds(15);
};

/// One version of what operators have set. Immutable once built.
struct Configuration {
  uint64_t m_Version = 0;
  std::vector<Route> m_Routes;
  std::map<std::string, ServiceSettings> m_Services;
  CallerLimits m_Limits;
};

/// Finds the route of a request. Holds indices into the configuration it was
/// built from, which must outlive it.
class RouteTable {
public:
  explicit RouteTable(const Configuration &Config);

  /// The route of this host with the longest prefix that begins the path.
  const Route *find(std::string_view Host, std::string_view Path) const;

private:
  /// Routes of each host by prefix.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, const Route *>>
      m_ByHost;
};

/// Shares of a route that have been handed out so far, for smooth weighted
/// turns: over any run of requests each part gets its weight's share to within
/// one request.
struct SplitState {
  std::vector<double> m_CurrentWeights;
};

/// The index of the part whose turn it is. Parts of weight zero get nothing.
size_t selectPart(const Route &SplitRoute, SplitState &State);

} // namespace hyssopcross::routing

#endif
