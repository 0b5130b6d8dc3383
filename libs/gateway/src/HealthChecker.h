#ifndef HYSSOPCROSS_GATEWAY_SRC_HEALTHCHECKER_H
#define HYSSOPCROSS_GATEWAY_SRC_HEALTHCHECKER_H

#include "NodeState.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

namespace hyssopcross::gateway {

/// What a health check found.
struct CheckUpdate {
  /// With the new report in place.
  const dispatch::Server &m_Server;
  /// VMs that hear of it whether they use the server or not.
  const std::vector<std::string> &m_Standbys;
  /// All VMs need to know.
  bool m_IsForAll = false;
  dispatch::CheckResult m_Result = dispatch::CheckResult::Change;
};

/// Checks the health of the servers that are this VM's to check. For each
/// server one VM checks; the next in rank steps in when its reports stay away.
class HealthChecker {
public:
  using Checked = std::function<void(const CheckUpdate &)>;

  HealthChecker(NodeState &State, Checked Handler);
  void start();

  /// Whether this VM is the one to send to a cold server.
  bool ownsWarmup(const dispatch::Server &Of);

private:
  struct Check {
    TimePoint m_StartedAt{};
    std::shared_ptr<http::ClientCall> m_Call;
    uint32_t m_Misses = 0;
    /// Its health endpoint answers at once and tells its load. Otherwise a
    /// check takes a slot, and may wait for one.
    bool m_ReportsLoad = true;
    dispatch::ToldReport m_Told;
    /// Which duty the check belongs to; empty until it is looked up.
    std::string m_Duty;
  };

  /// A duty as this VM sees it.
  struct Duty {
    uint32_t m_Rank = 0;
    /// The VMs that follow the one whose duty it is.
    std::vector<std::string> m_Standbys;
  };

  void tick();
  bool isDue(const dispatch::Server &Of, Check &Mine, TimePoint Now);
  const Duty &dutyFor(const dispatch::Server &Of, Check &Mine);
  /// Takes in which servers there are now.
  void regroup();
  void begin(const dispatch::Server &Of, Check &Mine,
             const routing::ServiceSettings &Service);
  void ended(const std::string &Id, int64_t Incarnation,
             const http::ExchangeResult &Result);
  void missed(const std::string &Id, const char *Why);
  /// LeavesNow: the check has told that the server leaves, and it is news.
  void report(dispatch::Server &Of, Check &Mine,
              const dispatch::LoadReport &Report, bool LeavesNow);

  NodeState &m_State;
  Checked m_Handler;
  boost::asio::steady_timer m_Timer;
  std::map<std::string, Check> m_Checks;
  fleet::CheckGroups m_Groups;
  uint64_t m_GroupedVersion = 0;
  TimePoint m_GroupedAt{};
  TimePoint m_StartedAt{};
  /// As of a version of the fleet.
  std::map<std::string, Duty> m_Duties;
  uint64_t m_DutiesVersion = 0;
};

} // namespace hyssopcross::gateway

#endif
