#ifndef HYSSOPCROSS_GATEWAY_SETTINGS_H
#define HYSSOPCROSS_GATEWAY_SETTINGS_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Settings.h"
#include "hyssopcross/dispatch/Budget.h"
#include "hyssopcross/dispatch/Policy.h"
#include "hyssopcross/fleet/Membership.h"
#include <string>
#include <vector>

namespace hyssopcross::gateway {

/// What one entry VM is told at its start.
struct Settings {
  std::string m_Name;
  /// The VM's own IPv4 address.
  std::string m_Host;
  std::string m_DataCentre;
  /// Where callers send requests.
  Address m_Callers;
  /// Where readiness is asked for.
  Address m_Readiness;
  /// Where callers ask which VMs to use.
  Address m_Directory;
  /// Datagrams between entry VMs; the same port on all.
  Address m_Fleet;
  /// Metrics, and the feeds that entry VMs take from each other.
  Address m_Internal;
  Address m_Store;
  /// Other VMs to greet at the start; may be stale.
  std::vector<std::string> m_SeedHosts;
  /// Thousandths of a core that the process may use.
  uint32_t m_MilliCores = 1000;
  /// Memory that the process may use.
  uint64_t m_MemoryBytes = 256ULL << 20;
  /// The whole system starts for the first time: nobody waits for this VM yet.
  bool m_IsFirstStart = false;
  /// From SIGTERM to the end of the process.
  Duration m_StopGrace = std::chrono::seconds(6);
  /// How long an accepted configuration may take to be in force.
  Duration m_ConfigurationBound = std::chrono::seconds(2);
  /// How long callers keep an answer of the directory.
  Duration m_DirectoryMaxAge = std::chrono::seconds(2);
  /// Between two health checks of a warm server.
  Duration m_HealthInterval = std::chrono::milliseconds(40);
  dispatch::RepeatAllowance m_Repeats;
  dispatch::DispatchPolicy m_Dispatch;
  fleet::FleetPolicy m_FleetPolicy;
};

} // namespace hyssopcross::gateway

#endif
