#ifndef HYSSOPCROSS_GATEWAY_SETTINGS_H
#define HYSSOPCROSS_GATEWAY_SETTINGS_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Settings.h"
#include "hyssopcross/dispatch/Budget.h"
#include "hyssopcross/dispatch/Policy.h"
#include "hyssopcross/fleet/Membership.h"
#include "hyssopcross/http/Listener.h"
#include "hyssopcross/quota/Quota.h"
#include "hyssopcross/rollout/Rollout.h"
#include <string>
#include <vector>

namespace hyssopcross::gateway {

/// Settings of one entry VM.
struct Settings {
  std::string m_Name;
  /// The VM's own IPv4 address.
  std::string m_Host;
  std::string m_DataCentre;
  /// Listens for callers' requests.
  Address m_Callers;
  /// Listens for readiness checks.
  Address m_Readiness;
  /// Listens for directory requests, by which callers learn which VMs to use.
  Address m_Directory;
  /// Datagrams between entry VMs; the port is the same on all of them.
  Address m_Fleet;
  /// Metrics, and the table rows that entry VMs fetch from each other.
  Address m_Internal;
  Address m_Store;
  /// Other VMs to contact at startup; the list may be out of date.
  std::vector<std::string> m_SeedHosts;
  /// Thousandths of a core that the process may use.
  uint32_t m_MilliCores = 1000;
  /// Memory limit of the process.
  uint64_t m_MemoryBytes = 256ULL << 20;
  /// Fields of the head of a client's request.
  uint32_t m_ClientHeaderFields = http::ServerLimits().m_HeaderFields;
  /// Bytes of chunk extensions and trailers of a client's request.
  uint64_t m_ClientExtraBytes = http::ServerLimits().m_ExtraBytes;
  /// The whole system is starting for the first time, so no caller depends on
  /// this VM yet.
  bool m_IsFirstStart = false;
  /// From SIGTERM to the end of the process.
  Duration m_StopGrace = std::chrono::seconds(6);
  /// Time within which an accepted configuration must be in force.
  Duration m_ConfigurationBound = std::chrono::seconds(2);
  /// How long callers may cache a directory response.
  Duration m_DirectoryMaxAge = std::chrono::seconds(2);
  /// Interval of health checks of a warm server.
  Duration m_HealthInterval = std::chrono::milliseconds(40);
  dispatch::RetryAllowance m_Repeats;
  dispatch::DispatchPolicy m_Dispatch;
  fleet::FleetPolicy m_FleetPolicy;
  quota::QuotaPolicy m_Quota;
  rollout::RolloutPolicy m_Rollout;
};

} // namespace hyssopcross::gateway

#endif
