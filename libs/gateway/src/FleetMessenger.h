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

/// Exchanges datagrams with the other entry VMs: heartbeats, reports of health
/// checks, and requests in flight.
class FleetMessenger {
public:
  struct Handlers {
    /// Another VM told something new of a server.
    std::function<void(const dispatch::Server &)> m_OnServerUpdate;
    /// Another VM passed on rows of a followed table.
    std::function<void(const fleet::TableRows &)> m_OnTableRows;
    /// A VM that follows the store told how far it is.
    std::function<void(const fleet::Following &, const std::string &Host)>
        m_OnFollowing;
    /// What this VM tells others of its own following; absent if it does not.
    std::function<std::optional<fleet::Following>()> m_GetOwnFollowing;
  };

  FleetMessenger(NodeState &State, Handlers To);

  Result<void> start();
  /// Greets a VM whose address became known.
  void greet(const std::string &Host);
  /// Tells all VMs how this one is now, without waiting for the next heartbeat.
  void announce();
  /// Queues the result of a health check for the next datagram to the VMs that
  /// use the server, and to its standbys; to all in a fleet that is not large,
  /// or if it is a change.
  void queueCheckUpdate(const CheckUpdate &News);
  /// Queues what an answer told, and what is in flight, for the next datagram
  /// to the VMs that use the server.
  void queueLoadUpdate(const dispatch::Server &Of);
  /// Queues how an attempt ended, and what its answer told of the service, for
  /// the same datagram.
  void
  queueAttemptOutcome(const dispatch::Server &Of, bool Succeeded,
                      const std::optional<dispatch::StretchObservation> &Seen);
  void queueInFlight(const dispatch::Server &Of);
  /// Queues for all VMs that a server has said that it leaves.
  void queueLeaving(const dispatch::Server &Of);
  /// Tells all VMs that the store has answered this one just now.
  void sendStoreConfirmation();
  /// Passes rows on to all VMs; if they are too many for a datagram, only that
  /// they exist.
  void sendTableRows(const fleet::TableRows &Rows);

private:
  void receive();
  void received(size_t Bytes);
  void take(const fleet::Datagram &Message, const std::string &Host);
  void onHeartbeatTimer();
  void sendHeartbeat();
  std::string greeting();
  /// Tells a VM that has greeted this one, or was not known, whom to meet.
  void answerGreeting(const fleet::VmInfo &From);
  /// Takes in digests, and passes on within the data centre those from outside
  /// that are news there.
  void takeDigests(const fleet::Datagram &Message, const fleet::VmInfo &From);
  /// Whether this VM has started so lately that it still meets the others.
  bool isNew() const;
  /// How this VM is now, for a heartbeat.
  std::string describeSelf();
  void scheduleChecked();
  void scheduleNews();
  fleet::Datagram newDatagram();
  void send(const std::string &Bytes, const std::string &Host);
  void sendToAll(const std::string &Bytes);

  void sendChecked();
  /// Tells VMs of other data centres: changes to all that use a server, the
  /// rest to some of them in turn.
  void sendCheckedFar(const fleet::Datagram &All,
                      const std::set<std::string> &Changed,
                      const std::vector<const std::string *> &Remote);
  void sendNews();
  const std::vector<std::string> &usersOf(const dispatch::Server &Of);

  /// The VMs that use a server, as of a version of the topology.
  struct Users {
    uint64_t m_Version = 0;
    std::vector<std::string> m_Hosts;
  };

  NodeState &m_State;
  Handlers m_Handlers;
  boost::asio::ip::udp::socket m_Socket;
  boost::asio::steady_timer m_HeartbeatTimer;
  boost::asio::steady_timer m_FlushTimer;
  bool m_CheckedScheduled = false;
  bool m_NewsScheduled = false;
  /// Servers whose checks are to be told, and whether it is a change.
  std::map<std::string, bool> m_PendingChecks;
  /// Hear of the next batch whether they use its servers or not.
  std::set<std::string> m_CheckStandbys;
  /// The next batch holds news that all VMs need.
  bool m_CheckedChange = false;
  /// What users of a server are told beside the requests in flight.
  struct PendingServerUpdate {
    bool m_WithReport = false;
    uint32_t m_Succeeded = 0;
    uint32_t m_Failed = 0;
    std::optional<dispatch::StretchObservation> m_Stretch;
  };
  std::map<std::string, PendingServerUpdate> m_PendingServerUpdates;
  std::map<std::string, Users> m_Users;
  uint64_t m_CheckedBatches = 0;
  TimePoint m_DigestAt{};
  TimePoint m_StartedAt{};
  int64_t m_Sequence = 0;
  boost::asio::ip::udp::endpoint m_From;
  std::array<char, 16384> m_Input{};
};

} // namespace hyssopcross::gateway

#endif
