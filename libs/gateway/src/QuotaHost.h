#ifndef HYSSOPCROSS_GATEWAY_SRC_QUOTAHOST_H
#define HYSSOPCROSS_GATEWAY_SRC_QUOTAHOST_H

#include "FleetMessenger.h"
#include "NodeState.h"
#include "hyssopcross/quota/Quota.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <set>

namespace hyssopcross::gateway {

/// Takes tokens of organisations' quotas for callers' requests, and grants them
/// to other VMs.
class QuotaHost {
public:
  using Answer = std::function<void(const quota::Decision &)>;

  QuotaHost(NodeState &State, FleetMessenger &Fleet);

  /// Sets the quotas of all organisations that have one.
  void setQuotas(const std::map<std::string, quota::Quota, std::less<>> &Of);
  /// Whether an organisation has a quota. Requests of others need no token.
  bool hasQuota(std::string_view Organisation) const;
  /// Takes a token of an organisation that has a quota. The answer may be given
  /// before this function returns. Returns the id of the request for cancel().
  uint64_t admit(std::string_view Organisation, Answer To);
  /// Drops a request that waits for a token; its answer is not given.
  void cancel(uint64_t Id);
  /// Returns the token of a request that was not sent.
  void giveBack(std::string_view Organisation);
  /// Applies the asks and grants of another VM.
  void receive(const fleet::Datagram &Message, const std::string &Host);
  /// Follows changes of the fleet, and logs. Called several times a second.
  void upkeep();
  /// Number of organisations whose tokens this VM grants.
  size_t grantedCount() const { return m_Granting.size(); }

private:
  /// Updates the known VMs if those of the fleet have changed, or for time that
  /// has passed.
  void refreshView();
  quota::Context context();
  /// Carries out effects and arms the timer.
  void perform(quota::Effects &&Out);
  void armTimer();
  void noteRefusal(std::string_view Organisation, const quota::Decision &Made);
  void logRefusals();
  void logGranterChanges();

  struct Waiting {
    std::string m_Organisation;
    Answer m_Answer;
  };
  struct Refusals {
    uint32_t m_OverQuota = 0;
    uint32_t m_NoGranter = 0;
    Duration m_RetryAfter{};
  };

  NodeState &m_State;
  FleetMessenger &m_Fleet;
  boost::asio::steady_timer m_Timer;
  TimePoint m_TimerAt = TimePoint::max();
  quota::QuotaState m_Quotas;
  quota::View m_View;
  quota::LastLive m_Seen;
  std::map<quota::VmKey, std::string> m_Hosts;
  uint64_t m_FleetVersion = 0;
  TimePoint m_ViewAt{};
  std::map<uint64_t, Waiting> m_Waiting;
  std::map<std::string, Refusals> m_Refusals;
  TimePoint m_LoggedAt{};
  std::set<std::string> m_Granting;
};

} // namespace hyssopcross::gateway

#endif
