#ifndef HYSSOPCROSS_GATEWAY_SRC_FLEETMESSENGER_H
#define HYSSOPCROSS_GATEWAY_SRC_FLEETMESSENGER_H

#include "HealthChecker.h"
#include "NodeState.h"
#include "hyssopcross/fleet/Datagram.h"
#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>

namespace hyssopcross::gateway {

/// Exchanges datagrams with the other entry VMs: heartbeats, health check
/// results and in-flight request counts.
class FleetMessenger {
public:
  struct Handlers {
    /// Called when another VM sent an update about a server.
    std::function<void(const dispatch::Server &)> m_OnServerUpdate;
    /// Called when another VM forwarded rows of a followed table.
    std::function<void(const fleet::TableRows &)> m_OnTableRows;
    /// Called when a VM that follows the store reported its progress.
    std::function<void(const fleet::Following &, const std::string &Host)>
        m_OnFollowing;
    /// Returns this VM's own progress in following the store; absent if it does
    /// not follow it.
    std::function<std::optional<fleet::Following>()> m_GetOwnFollowing;
    /// Called when another VM sent asks or grants of organisations' quotas.
    std::function<void(const fleet::Datagram &, const std::string &Host)>
        m_OnQuota;
    /// Called when another VM sent counts or verdicts of roll-outs.
    std::function<void(const fleet::Datagram &, const std::string &Host)>
        m_OnRollout;
  };

  FleetMessenger(NodeState &State, Handlers To);

  Result<void> start();
  /// Sends a greeting to a VM whose address became known.
  void greet(const std::string &Host);
  /// Sends this VM's state to the others at once instead of at the next
  /// heartbeat: to all VMs or, in a large fleet, to those of its own data
  /// centre. There, a VM that follows the store sends its progress to the other
  /// data centres as well.
  void announce();
  /// Records that this VM is not frozen. Called several times a second.
  void noteRunning();
  /// Queues a health check result for the next datagram to the VMs that use the
  /// server and to its standbys. It goes to all VMs if the fleet is not large
  /// or if it is a change that all need.
  void queueCheckUpdate(const CheckUpdate &News);
  /// Queues the load report of a response and the in-flight count for the next
  /// datagram to the VMs that use the server.
  void queueLoadUpdate(const dispatch::Server &Of);
  /// Queues the outcome of an attempt, and the service time observed with it,
  /// for the same datagram.
  void
  queueAttemptOutcome(const dispatch::Server &Of, bool Succeeded,
                      const std::optional<dispatch::OccupancySample> &Seen);
  void queueInFlight(const dispatch::Server &Of);
  /// Queues the request limit of a server for the same datagram.
  void queueLimit(const dispatch::Server &Of);
  /// Queues for all VMs the notice that a server, registered or not, is
  /// shutting down.
  void queueLeaving(const std::string &Server, int64_t Incarnation);
  /// Queues for all VMs what is known of a request that may crash servers.
  void queueSuspect(dispatch::RequestFingerprint Request);
  /// Sends asks and grants of organisations' quotas to a VM at once: a request
  /// waits for the answer.
  void sendQuota(const std::string &Host, std::vector<quota::Ask> Asks,
                 std::vector<quota::Grant> Grants);
  /// Sends what this VM has counted of a roll-out to the VMs that decide.
  void sendRolloutCounts(const fleet::RolloutCounts &Counts,
                         const std::vector<std::string> &Hosts);
  /// Sends a step or an outcome of a roll-out to all VMs at once.
  void sendRolloutVerdict(const fleet::RolloutVerdict &Verdict);
  /// Notifies all VMs that the store has just answered this one.
  void sendStoreConfirmation();
  /// Forwards rows to all VMs. If they do not fit in a datagram, only announces
  /// that they exist.
  void sendTableRows(const fleet::TableRows &Rows);

private:
  void receive();
  void received(size_t Bytes);
  void applyDatagram(const fleet::Datagram &Message, const std::string &Host);
  /// Applies the request limits of servers, and the requests that the sender
  /// counts against them.
  void applyLimits(const fleet::Datagram &Message);
  /// Applies what the sender knows of requests that may crash servers.
  void applySuspects(const fleet::Datagram &Message);
  void onHeartbeatTimer();
  void scheduleHeartbeat();
  void sendHeartbeat();
  std::string greeting();
  /// Replies to a VM that sent a greeting or was not known with the hosts that
  /// it should contact.
  void answerGreeting(const fleet::VmInfo &From);
  /// Applies digests, and forwards those from other data centres that are new
  /// to the VMs of this data centre.
  void applyDigests(const fleet::Datagram &Message, const fleet::VmInfo &From);
  /// Adds what registered servers have announced, for a VM that has just
  /// started.
  void addNotices(fleet::Datagram &To) const;
  /// Whether this VM started so recently that it is still discovering the
  /// others.
  bool isNew() const;
  /// Encodes the state of this VM for a heartbeat.
  std::string encodeHeartbeat();
  void scheduleCheckUpdates();
  void scheduleServerUpdates();
  fleet::Datagram newDatagram();
  void send(const std::string &Bytes, const std::string &Host,
            fleet::DatagramKind Kind);
  void sendToAll(const std::string &Bytes, fleet::DatagramKind Kind);
  /// Sends to all VMs; in a large fleet, a few VMs of each other data centre
  /// receive it and pass it on there.
  void broadcast(fleet::Datagram Message, fleet::DatagramKind Kind);
  /// Passes a datagram for all VMs on to this data centre if its sender asked
  /// for it.
  void passOn(const fleet::Datagram &Message, const std::string &Host,
              fleet::BroadcastAge Age);

  void sendCheckUpdates();
  /// Sends check results to VMs of other data centres: changes to all that use
  /// a server, the rest to a subset of them in rotation.
  void sendRemoteCheckUpdates(const fleet::Datagram &All,
                              const std::set<std::string> &Changed,
                              const std::vector<const std::string *> &Remote);
  void sendServerUpdates();
  const std::vector<std::string> &usersOf(const dispatch::Server &Of);

  /// The VMs that use a server, cached for a version of the topology.
  struct Users {
    uint64_t m_Version = 0;
    std::vector<std::string> m_Hosts;
  };

  NodeState &m_State;
  Handlers m_Handlers;
  boost::asio::ip::udp::socket m_Socket;
  boost::asio::steady_timer m_HeartbeatTimer;
  boost::asio::steady_timer m_FlushTimer;
  bool m_CheckUpdatesScheduled = false;
  bool m_ServerUpdatesScheduled = false;
  /// Servers whose check results are to be sent, and whether the result is a
  /// change.
  std::map<std::string, bool> m_PendingChecks;
  /// VMs that receive the next batch whether or not they use its servers.
  std::set<std::string> m_CheckStandbys;
  /// Whether the next batch contains an update that all VMs need.
  bool m_ChecksAreForAll = false;
  /// Update for the VMs that use a server, sent with the in-flight count.
  struct PendingServerUpdate {
    bool m_WithReport = false;
    uint32_t m_Succeeded = 0;
    uint32_t m_Failed = 0;
    std::optional<dispatch::OccupancySample> m_Stretch;
  };
  std::map<std::string, PendingServerUpdate> m_PendingServerUpdates;
  std::vector<fleet::ServerLeaving> m_PendingLeaving;
  std::set<dispatch::RequestFingerprint> m_PendingSuspects;
  std::map<std::string, Users> m_Users;
  uint64_t m_CheckBatchCount = 0;
  TimePoint m_DigestAt{};
  TimePoint m_StartedAt{};
  int64_t m_Sequence = 0;
  fleet::RunTimes m_RunTimes;
  boost::asio::ip::udp::endpoint m_From;
  std::array<char, 16384> m_Input{};
};

} // namespace hyssopcross::gateway

#endif
