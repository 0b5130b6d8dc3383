#ifndef HYSSOPCROSS_GATEWAY_SRC_NODESTATE_H
#define HYSSOPCROSS_GATEWAY_SRC_NODESTATE_H

#include "Metrics.h"
#include "hyssopcross/dispatch/Choice.h"
#include "hyssopcross/dispatch/Servers.h"
#include "hyssopcross/fleet/Membership.h"
#include "hyssopcross/gateway/PlatformCodec.h"
#include "hyssopcross/gateway/Settings.h"
#include "hyssopcross/http/Client.h"
#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>

namespace hyssopcross::gateway {

/// A configuration and the table built from it; shared by the calls that were
/// started under it.
struct ActiveConfiguration {
  explicit ActiveConfiguration(routing::Configuration Given)
      : m_Configuration(std::move(Given)), m_Routes(m_Configuration) {}
  const routing::Configuration m_Configuration;
  const routing::RouteTable m_Routes;
};

/// Share of the process's memory that unfinished answers of servers may take.
constexpr uint64_t AnswerMemoryShare = 8;

/// How a VM speaks to backend servers.
inline http::ClientPolicy clientPolicy(const Settings &Given) {
  http::ClientPolicy Made;
  Made.m_HeldBytes = Given.m_MemoryBytes / AnswerMemoryShare;
  return Made;
}

/// What the parts of a node share. One thread.
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
  Metrics m_Metrics;

  dispatch::ServerView m_Servers;
  /// Grows with every server that is added, removed or moved, and whenever one
  /// goes out of service or comes back.
  uint64_t m_ServersVersion = 1;
  fleet::Fleet m_Fleet;
  fleet::RingsByService m_Rings;
  /// Grows whenever the rings are made anew.
  uint64_t m_RingsVersion = 1;
  /// Null until the first configuration is known.
  std::shared_ptr<const ActiveConfiguration> m_ActiveConfiguration;
  /// Whether the sources of the operators' table answer at present.
  bool m_SeesOperator = false;
  dispatch::StopTimes m_Stop;

  /// Grows when it may have changed which VMs use a server.
  uint64_t topologyVersion() const {
    return m_RingsVersion + m_Fleet.m_Version;
  }
  TimePoint now() const { return m_Clock.now(); }
  bool isStopping() const { return m_Stop.m_BeganAt != TimePoint::max(); }
  /// A random number from 0 to 1.
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

/// Places the servers of each service anew, marks those that this VM sends to
/// and lists them first. Called some time after m_ServersVersion has grown.
void refreshCandidates(NodeState &State);

/// Takes in what a health check, an answer or another VM told of a server.
void noteReport(NodeState &State, dispatch::Server &Of,
                const dispatch::LoadReport &Report);

/// Takes in what an incarnation of a server says of itself in an answer: that
/// it leaves, or that it wants no requests for a time. Source names the kind of
/// answer in the log. Returns whether it is news that the server leaves.
bool noteServerNotices(NodeState &State, const std::string &Id,
                       int64_t Incarnation, const http::Response &Answer,
                       const char *Source);

/// Takes in that an incarnation of a server leaves; returns whether it is news.
bool noteLeaving(NodeState &State, const std::string &Id, int64_t Incarnation,
                 const char *Source);

/// Logs what this VM has learned of each service's servers.
void logServiceModels(const NodeState &State);

/// A whole number of milliseconds, for log lines.
inline int64_t toMillis(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace hyssopcross::gateway

#endif
