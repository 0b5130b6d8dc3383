#ifndef HYSSOPCROSS_GATEWAY_SRC_NODESTATE_H
#define HYSSOPCROSS_GATEWAY_SRC_NODESTATE_H

#include "Metrics.h"
#include "hyssopcross/dispatch/Choice.h"
#include "hyssopcross/dispatch/CrashSuspects.h"
#include "hyssopcross/dispatch/Servers.h"
#include "hyssopcross/fleet/Membership.h"
#include "hyssopcross/gateway/PlatformCodec.h"
#include "hyssopcross/gateway/Settings.h"
#include "hyssopcross/http/Client.h"
#include "hyssopcross/routing/Keys.h"
#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>

namespace hyssopcross::gateway {

/// A configuration and the tables built from it, shared by the calls that
/// started under it.
struct ActiveConfiguration {
  ActiveConfiguration(routing::Configuration Given, uint64_t KeySeed)
      : m_Configuration(std::move(Given)), m_Routes(m_Configuration),
        m_Keys(m_Configuration, KeySeed) {}
  const routing::Configuration m_Configuration;
  const routing::RouteTable m_Routes;
  const routing::KeyTable m_Keys;
};

/// Returns a random number that callers cannot predict, unlike those of
/// NodeState::m_Random.
inline uint64_t makeKeySeed() {
  std::random_device Source;
  return static_cast<uint64_t>(Source()) << 32 | Source();
}

/// Age from which the last look at the sources of the operators' table counts
/// for nothing. The node looks every 50 ms; a longer pause means that the
/// process was stopped, and the sources may be gone since.
constexpr Duration SourceSightAge = std::chrono::seconds(1);

/// Divisor of the process's memory limit: buffered responses of servers may
/// take one part in this many.
constexpr uint64_t AnswerMemoryShare = 8;

/// The HTTP client policy for connections to backend servers.
inline http::ClientPolicy clientPolicy(const Settings &Given) {
  http::ClientPolicy Made;
  Made.m_HeldBytes = Given.m_MemoryBytes / AnswerMemoryShare;
  return Made;
}

/// State shared by the parts of a node. Used on one thread only.
struct NodeState {
  NodeState(boost::asio::io_context &Loop, const Clock &Time, Settings Given,
            const PlatformCodec &Codec)
      : m_Loop(Loop), m_Clock(Time), m_Settings(std::move(Given)),
        m_PlatformCodec(Codec), m_Client(Loop, Time, clientPolicy(m_Settings)),
        m_Random(
            static_cast<uint32_t>(Time.wallNow().time_since_epoch().count() ^
                                  fleet::vmKey(m_Settings.m_Host))) {
    m_Servers.m_OwnDataCentre = m_Settings.m_DataCentre;
  }

  boost::asio::io_context &m_Loop;
  const Clock &m_Clock;
  Settings m_Settings;
  const PlatformCodec &m_PlatformCodec;
  http::Client m_Client;
  std::mt19937 m_Random;
  /// Seed of the hashes by which keys are looked up.
  const uint64_t m_KeySeed = makeKeySeed();
  Metrics m_Metrics;

  dispatch::ServerView m_Servers;
  /// Incremented whenever a server is added, removed or moved, goes out of
  /// service or returns to it.
  uint64_t m_ServersVersion = 1;
  fleet::Fleet m_Fleet;
  fleet::RingsByService m_Rings;
  /// Incremented whenever the rings are rebuilt.
  uint64_t m_RingsVersion = 1;
  dispatch::CrashSuspects m_Suspects;
  /// Incremented whenever a crash becomes known.
  uint64_t m_SuspectsVersion = 0;
  /// Null until the first configuration is received.
  std::shared_ptr<const ActiveConfiguration> m_ActiveConfiguration;
  /// Whether the sources of the operators' table are currently reachable.
  bool m_SeesOperator = false;
  /// Whether a change of the operators' table was announced that this VM has
  /// not received yet.
  bool m_LacksOperatorRows = false;
  /// When the two members above were determined.
  TimePoint m_SourcesSeenAt{};
  dispatch::ShutdownWindow m_Stop;

  /// Increases whenever the set of VMs that use a server may have changed.
  uint64_t topologyVersion() const {
    return m_RingsVersion + m_Fleet.m_Version;
  }
  TimePoint now() const { return m_Clock.now(); }
  /// Whether an unknown key is refused for good: no newer configuration can
  /// contain it. Otherwise the caller is asked to come back.
  bool mayRejectKeys() const {
    return m_SeesOperator && !m_LacksOperatorRows &&
           now() - m_SourcesSeenAt < SourceSightAge;
  }
  bool isStopping() const { return m_Stop.m_BeganAt != TimePoint::max(); }
  /// Returns a random number from 0 to 1.
  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  const routing::ServiceSettings *
  serviceSettings(const std::string &Name) const {
    if (!m_ActiveConfiguration)
      return nullptr;
    const auto &Services = m_ActiveConfiguration->m_Configuration.m_Services;
    auto Found = Services.find(Name);
    return Found == Services.end() ? nullptr : &Found->second;
  }
};

/// Rebuilds the placement of each service's servers, marks those that this VM
/// sends to and lists them first. Called some time after m_ServersVersion has
/// increased.
void refreshCandidates(NodeState &State);

/// Applies a load report from a health check, a response or another VM.
void noteReport(NodeState &State, dispatch::Server &Of,
                const dispatch::LoadReport &Report);

/// A response of an incarnation of a server, to a request or a health check.
struct ServerResponse {
  const std::string &m_Server;
  int64_t m_Incarnation = 0;
  const http::Response &m_Answer;
  bool m_IsCheck = false;
  /// The server has handled the request.
  bool m_IsComplete = false;
  TimePoint m_SentAt;
};

/// What a response changed in the notices of its server.
struct NoticeChanges {
  /// The server is shutting down, which was not known before.
  bool m_LeavesNow = false;
  bool m_LimitChanged = false;
};

/// Applies the notices that a server gives in a response: that it is shutting
/// down, that it wants no requests for some time, or how many requests per
/// second it takes from all VMs together.
NoticeChanges noteServerNotices(NodeState &State, const ServerResponse &From);

/// Records that an incarnation of a server is shutting down; returns whether
/// this was not known before.
bool noteLeaving(NodeState &State, const std::string &Id, int64_t Incarnation,
                 const char *Source);

/// Logs that the request limit of a server has changed; PerSecond is empty if
/// it was lifted.
void logLimit(NodeState &State, const std::string &Id, int64_t Incarnation,
              std::optional<double> PerSecond, const char *Source);

/// Logs what is newly known of a request that was in progress when servers
/// crashed.
void noteSuspect(NodeState &State, dispatch::RequestFingerprint Request,
                 const char *Source);

/// Logs the parameters that this VM has estimated for each service's servers.
void logServiceModels(const NodeState &State);

/// Converts to whole milliseconds, for log lines.
inline int64_t toMillis(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace hyssopcross::gateway

#endif
