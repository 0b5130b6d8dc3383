// Applies rows of the followed tables to the state of the node.
#include "DiscoveryClient.h"
#include "hyssopcross/base/Log.h"

namespace hyssopcross::gateway {

namespace {

/// Time after the store recovers within which servers whose rows expired during
/// the outage register again, and what the store has lost is written again.
constexpr Duration RelistTime = std::chrono::milliseconds(2300);

} // namespace

uint64_t DiscoveryClient::era() const {
  uint64_t Latest = 0;
  for (const Follower &Each : m_Followers)
    Latest = std::max(Latest, Each.m_Copy.m_UpTo.m_Era);
  return Latest;
}

void DiscoveryClient::eraBegan(Follower &Of, discovery::Revision Former) {
  m_DeferredUntil = m_State.now() + RelistTime;
  // The store has lost the row of this VM, unless the copy already had it.
  m_IsRegistered = false;
  ++m_ErasBegan;
  m_State.m_Metrics.count("store_era_began");
  logEvent(LogLevel::Warning, "store_era_began",
           {{"table", tableName(Of.m_Which)},
            {"era", Of.m_Copy.m_UpTo.m_Era},
            {"version", Of.m_Copy.m_UpTo.m_Version},
            {"former_era", Former.m_Era},
            {"former_version", Former.m_Version},
            {"rows", Of.m_Copy.m_Rows.size()},
            {"deferred", Of.m_Deferred.size()}});
  // Servers that were missing before may register again only now.
  for (auto &[Id, Each] : m_State.m_Servers.m_Servers)
    if (Each.m_RemoveAt != TimePoint::max())
      Each.m_RemoveAt = m_DeferredUntil;
  // The watch in progress asks after a version of the former era.
  if (Of.m_Call && Of.m_Asked.m_IsWatch) {
    dropCall(Of);
    next(Of);
  }
  for (Follower &Other : m_Followers) {
    if (Other.m_Copy.m_UpTo.m_Era >= Of.m_Copy.m_UpTo.m_Era || !m_IsFollower)
      continue;
    Other.m_MustRead = true;
    if (Other.m_Call && Other.m_Asked.m_IsWatch)
      dropCall(Other);
    next(Other);
  }
}

void DiscoveryClient::defer(Follower &Of, const discovery::Row &Changed) {
  Of.m_Deferred[Changed.m_Key] = Changed;
  logEvent(LogLevel::Info, "row_deferred",
           {{"table", tableName(Of.m_Which)},
            {"key", Changed.m_Key},
            {"removed", Changed.m_Removed},
            {"row_version", Changed.m_Version},
            {"for_ms", toMillis(m_DeferredUntil - m_State.now())}});
}

void DiscoveryClient::applyDeferred() {
  for (Follower &Of : m_Followers) {
    auto Deferred = std::exchange(Of.m_Deferred, {});
    for (const auto &[Key, Changed] : Deferred) {
      logEvent(LogLevel::Info, "deferred_row_applied",
               {{"table", tableName(Of.m_Which)},
                {"key", Key},
                {"removed", Changed.m_Removed}});
      if (Of.m_Which == FollowedTable::Operator)
        applyOperatorRow(Changed);
      else
        applyServerRow(Changed);
    }
    if (!Deferred.empty() && Of.m_Which == FollowedTable::Servers)
      ++m_State.m_ServersVersion;
  }
}

void DiscoveryClient::applyOperatorChange(const discovery::Change &Changed) {
  // An older configuration is recognised by its own version.
  bool IsDataCentre =
      m_State.m_PlatformCodec.m_DecodeOperatorKey(Changed.m_Row.m_Key)
          .has_value();
  bool IsRollout =
      m_State.m_PlatformCodec.m_DecodeRolloutKey(Changed.m_Row.m_Key)
          .has_value();
  if (Changed.m_MayBeOutdated && (IsDataCentre || IsRollout))
    return defer(m_Followers[0], Changed.m_Row);
  applyOperatorRow(Changed.m_Row);
}

bool DiscoveryClient::isServerRowOlder(const discovery::Row &Changed) const {
  auto Found = m_State.m_Servers.m_Servers.find(Changed.m_Key);
  // A server that is not known any more has left.
  if (Found == m_State.m_Servers.m_Servers.end())
    return true;
  auto Read = m_State.m_PlatformCodec.m_DecodeServerRow(Changed);
  if (!Read)
    return false;
  const dispatch::ServerRecord &Known = Found->second.m_Record;
  const dispatch::ServerRecord &Received = Read.value();
  return Received.m_Incarnation < Known.m_Incarnation ||
         (Received.m_Incarnation == Known.m_Incarnation && Known.m_Leaving &&
          !Received.m_Leaving);
}

void DiscoveryClient::applyServerChange(const discovery::Change &Changed) {
  Follower &Of = m_Followers[1];
  if (!Changed.m_MayBeOutdated)
    return applyServerRow(Changed.m_Row);
  if (!Changed.m_Row.m_Removed) {
    if (isServerRowOlder(Changed.m_Row))
      return defer(Of, Changed.m_Row);
    return applyServerRow(Changed.m_Row);
  }
  auto Found = m_State.m_Servers.m_Servers.find(Changed.m_Row.m_Key);
  if (Found == m_State.m_Servers.m_Servers.end())
    return;
  // It may have registered after the copy, and registers again if it lives.
  defer(Of, Changed.m_Row);
}

void DiscoveryClient::applyOperatorRow(const discovery::Row &Changed) {
  if (Changed.m_Removed) {
    if (auto Service =
            m_State.m_PlatformCodec.m_DecodeRolloutKey(Changed.m_Key))
      return m_Rollouts.onWithdrawal(*Service);
    auto Back = m_State.m_PlatformCodec.m_DecodeOperatorKey(Changed.m_Key);
    if (!Back)
      return;
    dispatch::setDataCentreDisabled(m_State.m_Servers, Back->m_DataCentre,
                                    false);
    ++m_State.m_ServersVersion;
    logEvent(LogLevel::Info, "data_centre_back",
             {{"data_centre", Back->m_DataCentre},
              {"row_version", Changed.m_Version}});
    return;
  }
  auto Read = m_State.m_PlatformCodec.m_DecodeOperatorRow(Changed);
  if (!Read) {
    logEvent(LogLevel::Error, "operator_row_unreadable",
             {{"key", Changed.m_Key},
              {"row_version", Changed.m_Version},
              {"error", Read.error().m_Message},
              {"outcome", "ignored"}});
    return;
  }
  if (Read.value().m_Rollout)
    m_Rollouts.onOrder(*Read.value().m_Rollout);
  if (Read.value().m_DisabledDataCentre) {
    const std::string &Name = Read.value().m_DisabledDataCentre->m_DataCentre;
    dispatch::setDataCentreDisabled(m_State.m_Servers, Name, true);
    ++m_State.m_ServersVersion;
    logEvent(LogLevel::Info, "data_centre_out",
             {{"data_centre", Name}, {"row_version", Changed.m_Version}});
  }
  if (!Read.value().m_Configuration)
    return;
  uint64_t Version = Read.value().m_Configuration->m_Version;
  uint64_t Known =
      m_State.m_ActiveConfiguration
          ? m_State.m_ActiveConfiguration->m_Configuration.m_Version
          : 0;
  if (Version < Known) {
    logEvent(
        LogLevel::Warning, "configuration_older",
        {{"version", Version}, {"in_force", Known}, {"outcome", "ignored"}});
    return;
  }
  m_State.m_ActiveConfiguration = std::make_shared<const ActiveConfiguration>(
      std::move(*Read.value().m_Configuration), m_State.m_KeySeed);
  const routing::Configuration &InForce =
      m_State.m_ActiveConfiguration->m_Configuration;
  logEvent(LogLevel::Info, "configuration_in_force",
           {{"version", Version},
            {"row_version", Changed.m_Version},
            {"routes", InForce.m_Routes.size()},
            {"has_organisations", InForce.m_Organisations.has_value()},
            {"organisations",
             InForce.m_Organisations ? InForce.m_Organisations->size() : 0}});
  m_ConfigurationChanged();
}

void DiscoveryClient::applyServerRow(const discovery::Row &Changed) {
  TimePoint Now = m_State.now();
  auto &Servers = m_State.m_Servers.m_Servers;
  if (Changed.m_Removed) {
    auto Found = Servers.find(Changed.m_Key);
    if (Found == Servers.end())
      return;
    bool MayComeBack = m_RestoredAt != TimePoint{} &&
                       Now - m_RestoredAt < RelistTime &&
                       !dispatch::isDraining(Found->second);
    if (!MayComeBack)
      return removeServer(Changed.m_Key, "unlisted");
    Found->second.m_RemoveAt = m_RestoredAt + RelistTime;
    logEvent(LogLevel::Info, "server_doubted",
             {{"server", Changed.m_Key},
              {"since_store_back_ms", toMillis(Now - m_RestoredAt)}});
    return;
  }
  auto Read = m_State.m_PlatformCodec.m_DecodeServerRow(Changed);
  if (!Read) {
    logEvent(LogLevel::Warning, "server_row_unreadable",
             {{"server", Changed.m_Key},
              {"row_version", Changed.m_Version},
              {"error", Read.error().m_Message}});
    // An unreadable row describes no usable server.
    return removeServer(Changed.m_Key, "unreadable");
  }
  const dispatch::ServerRecord &Record = Read.value();
  if (!dispatch::upsertServer(m_State.m_Servers, Record, Now))
    return;
  logEvent(LogLevel::Info, "server_listed",
           {{"server", Record.m_Id},
            {"service", Record.m_Service},
            {"address", Record.m_Address.toString()},
            {"leaving", Record.m_Leaving},
            {"cold_ms", toMillis(Record.m_ColdFor)},
            {"row_version", Changed.m_Version}});
}

void DiscoveryClient::removeServer(const std::string &Id, const char *Why) {
  auto Found = m_State.m_Servers.m_Servers.find(Id);
  if (Found == m_State.m_Servers.m_Servers.end())
    return;
  m_State.m_Client.dropIdle(Found->second.m_Record.m_Address);
  dispatch::removeServer(m_State.m_Servers, Id);
  ++m_State.m_ServersVersion;
  logEvent(LogLevel::Info, "server_removed", {{"server", Id}, {"why", Why}});
}

} // namespace hyssopcross::gateway
