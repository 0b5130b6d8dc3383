#ifndef HYSSOPCROSS_GATEWAY_SRC_HEALTHCHECKER_H
#define HYSSOPCROSS_GATEWAY_SRC_HEALTHCHECKER_H

#include "NodeState.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

namespace hyssopcross::gateway {

/// Result of a health check.
struct CheckUpdate {
  /// The server, with the new report already applied.
  const dispatch::Server &m_Server;
  /// VMs that receive the result whether or not they use the server.
  const std::vector<std::string> &m_Standbys;
  /// Whether all VMs need the result.
  bool m_IsForAll = false;
  dispatch::CheckResult m_Result = dispatch::CheckResult::Change;
  /// The check announced that the server is shutting down, which was not known
  /// before.
  bool m_LeavesNow = false;
};

/// Checks the health of the servers assigned to this VM. One VM checks each
/// server; the next in rank takes over when its reports stop arriving.
class HealthChecker {
public:
  using Checked = std::function<void(const CheckUpdate &)>;

  HealthChecker(NodeState &State, Checked Handler);
  void start();

  /// Whether this VM is the one that sends requests to a cold server.
  bool ownsWarmup(const dispatch::Server &Of);

private:
  struct Check {
    TimePoint m_StartedAt{};
    std::shared_ptr<http::ClientCall> m_Call;
    uint32_t m_Misses = 0;
    /// Whether the health endpoint responds at once and reports its load.
    /// Otherwise a check occupies a slot and may wait for one.
    bool m_ReportsLoad = true;
    dispatch::PublishedReport m_Told;
    /// The duty that the check belongs to; empty until it is looked up.
    std::string m_Duty;
  };

  /// This VM's rank for a duty.
  struct Duty {
    uint32_t m_Rank = 0;
    /// The VMs next in rank after the one that holds the duty.
    std::vector<std::string> m_Standbys;
  };

  void tick();
  void scheduleTick();
  bool isDue(const dispatch::Server &Of, Check &Mine, TimePoint Now);
  const Duty &dutyFor(const dispatch::Server &Of, Check &Mine);
  /// Updates groups and checks after the set of servers has changed.
  void regroup();
  void begin(const dispatch::Server &Of, Check &Mine,
             const routing::ServiceSettings &Service);
  void ended(const std::string &Id, int64_t Incarnation,
             const http::ExchangeResult &Result);
  /// HasEnded: the check showed that the server has ended.
  void missed(const std::string &Id, const char *Why, bool HasEnded);
  /// Changes: what the check announced that was not known before.
  void report(dispatch::Server &Of, Check &Mine,
              const dispatch::LoadReport &Report, const NoticeChanges &Changes);

  NodeState &m_State;
  Checked m_Handler;
  boost::asio::steady_timer m_Timer;
  std::map<std::string, Check> m_Checks;
  fleet::CheckGroups m_Groups;
  uint64_t m_GroupedVersion = 0;
  TimePoint m_GroupedAt{};
  TimePoint m_StartedAt{};
  /// Cached for m_DutiesVersion of the fleet.
  std::map<std::string, Duty> m_Duties;
  uint64_t m_DutiesVersion = 0;
};

} // namespace hyssopcross::gateway

#endif
