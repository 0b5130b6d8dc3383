// Applies rows of the followed tables to the state of the node.
#include "DiscoveryClient.h"
#include "hyssopcross/base/Log.h"

namespace hyssopcross::gateway {

namespace {

/// Time after the store recovers within which servers whose rows expired during
/// the outage register again.
constexpr Duration RelistTime = std::chrono::milliseconds(2300);

} // namespace

void DiscoveryClient::applyOperatorRow(const discovery::Row &Changed) {
  if (Changed.m_Removed) {
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
      std::move(*Read.value().m_Configuration));
  logEvent(LogLevel::Info, "configuration_in_force",
           {{"version", Version},
            {"row_version", Changed.m_Version},
            {"routes",
             m_State.m_ActiveConfiguration->m_Configuration.m_Routes.size()}});
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
