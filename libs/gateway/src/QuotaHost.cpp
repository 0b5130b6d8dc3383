#include "QuotaHost.h"
#include "hyssopcross/base/Log.h"
#include <algorithm>

namespace hyssopcross::gateway {

namespace {

/// Interval at which the view is updated if the fleet does not change, and at
/// which refusals and changes of granters are logged.
constexpr Duration RefreshInterval = std::chrono::seconds(1);
/// Most lines in each interval, for refusals and for changes.
constexpr size_t MaxLines = 20;

/// The VM's data centre as a number that is the same at all VMs.
uint32_t dataCentreKey(const std::string &Name) {
  return dispatch::serverKey(Name);
}

} // namespace

QuotaHost::QuotaHost(NodeState &State, FleetMessenger &Fleet)
    : m_State(State), m_Fleet(Fleet), m_Timer(State.m_Loop),
      m_Quotas(quota::makeState(State.now())) {}

void QuotaHost::setQuotas(
    const std::map<std::string, quota::Quota, std::less<>> &Of) {
  quota::setQuotas(m_Quotas, Of, m_State.m_Settings.m_Quota, m_State.now());
  // Requests of organisations that have no quota any more need no token.
  std::vector<uint64_t> Free;
  for (const auto &[Id, Each] : m_Waiting)
    if (Of.find(Each.m_Organisation) == Of.end())
      Free.push_back(Id);
  for (uint64_t Id : Free) {
    auto Found = m_Waiting.extract(Id);
    if (!Found.empty())
      Found.mapped().m_Answer({Id, quota::Cause::Granted, {}, 0});
  }
}

bool QuotaHost::hasQuota(std::string_view Organisation) const {
  return m_Quotas.m_Organisations.find(Organisation) !=
         m_Quotas.m_Organisations.end();
}

uint64_t QuotaHost::admit(std::string_view Organisation, Answer To) {
  quota::Effects Out;
  uint64_t Id = quota::requestToken(m_Quotas, Organisation, context(), Out);
  m_Waiting[Id] = {std::string(Organisation), std::move(To)};
  perform(std::move(Out));
  return Id;
}

void QuotaHost::cancel(uint64_t Id) {
  quota::cancel(m_Quotas, Id);
  m_Waiting.erase(Id);
}

void QuotaHost::giveBack(std::string_view Organisation) {
  m_State.m_Metrics.count("quota_token_returned");
  quota::giveBack(m_Quotas, Organisation, context());
}

void QuotaHost::receive(const fleet::Datagram &Message,
                        const std::string &Host) {
  quota::VmKey From = fleet::vmKey(Host);
  quota::Effects Out;
  for (const quota::Ask &Each : Message.m_QuotaAsks)
    quota::receiveAsk(m_Quotas, From, Each, context(), Out);
  for (const quota::Grant &Each : Message.m_QuotaGrants)
    quota::receiveGrant(m_Quotas, From, Each, context(), Out);
  perform(std::move(Out));
}

quota::Context QuotaHost::context() {
  if (m_FleetVersion != m_State.m_Fleet.m_Version)
    refreshView();
  return {m_State.m_Settings.m_Quota, m_View, m_State.now()};
}

void QuotaHost::refreshView() {
  const fleet::Fleet &Fleet = m_State.m_Fleet;
  m_FleetVersion = Fleet.m_Version;
  m_ViewAt = m_State.now();
  m_View.m_Self = Fleet.m_SelfKey;
  std::vector<quota::Member> Listed;
  std::vector<quota::VmKey> Left;
  auto Add = [&](const fleet::VmInfo &Vm, const std::string &Host, bool IsLive,
                 bool WasHeard) {
    quota::VmKey Key = fleet::vmKey(Host);
    m_Hosts[Key] = Host;
    if (Vm.m_Leaving)
      Left.push_back(Key);
    else
      Listed.push_back({Key, WasHeard ? dataCentreKey(Vm.m_DataCentre) : 0,
                        IsLive, WasHeard});
  };
  Add(Fleet.m_Self, Fleet.m_Self.m_Host, true, true);
  for (const auto &[Host, Known] : Fleet.m_Peers)
    Add(Known.m_Info, Host, Known.m_Alive, Known.m_Heard);
  // While the whole fleet stops, leaving VMs serve their last requests.
  bool AnyLive = std::any_of(Listed.begin(), Listed.end(),
                             [](const auto &Each) { return Each.m_IsLive; });
  if (!AnyLive) {
    Left.clear();
    Listed.push_back({Fleet.m_SelfKey, dataCentreKey(Fleet.m_Self.m_DataCentre),
                      true, true});
    for (const auto &[Host, Known] : Fleet.m_Peers)
      if (Known.m_Info.m_Leaving)
        Listed.push_back({fleet::vmKey(Host),
                          dataCentreKey(Known.m_Info.m_DataCentre),
                          Known.m_Alive, true});
  }
  quota::updateView(m_View, m_Seen, m_State.m_Settings.m_Quota, Listed, Left,
                    m_ViewAt);
}

void QuotaHost::perform(quota::Effects &&Out) {
  struct Messages {
    std::vector<quota::Ask> m_Asks;
    std::vector<quota::Grant> m_Grants;
  };
  std::map<quota::VmKey, Messages> ByVm;
  for (auto &[To, Each] : Out.m_Asks)
    ByVm[To].m_Asks.push_back(std::move(Each));
  for (auto &[To, Each] : Out.m_Grants)
    ByVm[To].m_Grants.push_back(std::move(Each));
  for (auto &[To, Each] : ByVm)
    if (auto Host = m_Hosts.find(To); Host != m_Hosts.end())
      m_Fleet.sendQuota(Host->second, std::move(Each.m_Asks),
                        std::move(Each.m_Grants));
  armTimer();
  for (const quota::Decision &Each : Out.m_Decisions) {
    auto Found = m_Waiting.extract(Each.m_Id);
    if (Found.empty())
      continue;
    if (Each.m_Cause != quota::Cause::Granted)
      noteRefusal(Found.mapped().m_Organisation, Each);
    else
      m_State.m_Metrics.count(Each.m_Step == 0   ? "quota_granted"
                              : Each.m_Step == 1 ? "quota_granted_by_second"
                                                 : "quota_granted_by_reserve");
    Found.mapped().m_Answer(Each);
  }
}

void QuotaHost::armTimer() {
  TimePoint At = quota::nextAt(m_Quotas);
  if (At == m_TimerAt)
    return;
  m_TimerAt = At;
  if (At == TimePoint::max()) {
    m_Timer.cancel();
    return;
  }
  m_Timer.expires_after(std::max(Duration(0), At - m_State.now()));
  m_Timer.async_wait([this](const boost::system::error_code &Ended) {
    if (Ended)
      return;
    m_TimerAt = TimePoint::max();
    quota::Effects Out;
    quota::advance(m_Quotas, context(), Out);
    perform(std::move(Out));
  });
}

void QuotaHost::upkeep() {
  TimePoint Now = m_State.now();
  if (m_FleetVersion != m_State.m_Fleet.m_Version ||
      Now - m_ViewAt >= RefreshInterval)
    refreshView();
  if (Now - m_LoggedAt < RefreshInterval)
    return;
  m_LoggedAt = Now;
  logRefusals();
  logGranterChanges();
}

void QuotaHost::noteRefusal(std::string_view Organisation,
                            const quota::Decision &Made) {
  bool IsOver = Made.m_Cause == quota::Cause::OverQuota;
  m_State.m_Metrics.count(IsOver ? "quota_refused_over_quota"
                                 : "quota_refused_no_granter");
  Refusals &Known = m_Refusals[std::string(Organisation)];
  ++(IsOver ? Known.m_OverQuota : Known.m_NoGranter);
  Known.m_RetryAfter = Made.m_RetryAfter;
}

void QuotaHost::logRefusals() {
  size_t Lines = 0;
  for (const auto &[Name, Each] : m_Refusals) {
    auto Found = m_Quotas.m_Organisations.find(Name);
    if (Found == m_Quotas.m_Organisations.end() || ++Lines > MaxLines)
      continue;
    logEvent(LogLevel::Warning, "quota_refused",
             {{"organisation", Name},
              {"over_quota", Each.m_OverQuota},
              {"no_granter", Each.m_NoGranter},
              {"per_second", Found->second.m_Quota.m_PerSecond},
              {"burst", Found->second.m_Quota.m_Burst},
              {"retry_after_ms", toMillis(Each.m_RetryAfter)},
              {"vms_known", m_View.m_Members.size()},
              {"hears_majority", m_View.m_HearsMajority},
              {"organisations_refused", m_Refusals.size()}});
  }
  m_Refusals.clear();
}

void QuotaHost::logGranterChanges() {
  size_t Lines = 0;
  TimePoint Now = m_State.now();
  quota::Context In = context();
  for (const auto &[Name, Each] : m_Quotas.m_Organisations) {
    bool Grants = quota::holdsPermission(Each, In);
    bool Before = m_Granting.count(Name) > 0;
    if (Grants == Before)
      continue;
    if (Grants)
      m_Granting.insert(Name);
    else
      m_Granting.erase(Name);
    m_State.m_Metrics.count(Grants ? "quota_granter_began"
                                   : "quota_granter_ended");
    if (++Lines <= MaxLines)
      logEvent(LogLevel::Info, "quota_granter",
               {{"organisation", Name},
                {"grants", Grants},
                {"permitted_ms", toMillis(Each.m_HeldUntil - Now)},
                {"keepers", Each.m_Ranking.m_Keepers.size()},
                {"tokens", static_cast<int64_t>(Each.m_Tokens.m_Level)},
                {"vms_known", m_View.m_Members.size()},
                {"hears_majority", m_View.m_HearsMajority}});
  }
  std::erase_if(m_Granting,
                [this](const std::string &Name) { return !hasQuota(Name); });
}

} // namespace hyssopcross::gateway
