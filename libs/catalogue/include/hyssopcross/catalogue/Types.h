#ifndef HYSSOPCROSS_CATALOGUE_TYPES_H
#define HYSSOPCROSS_CATALOGUE_TYPES_H

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hyssopcross::catalogue {

/// What a service's requests are, which decides how they may be repeated.
enum class ServiceClass {
  /// Idempotent reads: may be retried and hedged.
  Lookup,
  /// Requests that run at most once, under an idempotency key.
  Money,
  /// Bodies that are acknowledged only when wholly confirmed.
  Upload,
};

/// The limits that an entry sets for its service, in each data centre.
struct ServiceLimits {
  /// Requests that one backend server runs at once.
  uint32_t m_Slots = 2;
  /// Connections that all entry VMs together keep to one backend server.
  uint32_t m_Connections = 200;
  /// Requests of the service in flight at once in one pool; zero for the sum
  /// of its slots.
  uint32_t m_Concurrency = 0;
  /// Requests that wait in one pool's queue.
  uint32_t m_Queue = 64;
  /// The longest time allowed for a request that names no deadline.
  std::chrono::milliseconds m_Timeout{2000};
  /// The largest request body, in bytes.
  uint64_t m_BodyBytes = 4U << 20U;
  /// Load and health probes to one backend server, per second, by all entry
  /// VMs together.
  double m_ProbesPerSecond = 2.0;

  friend bool operator==(const ServiceLimits &,
                         const ServiceLimits &) = default;
};

/// A service of the catalogue.
struct ServiceEntry {
  std::string m_Name;
  std::string m_Owner;
  ServiceClass m_Class = ServiceClass::Lookup;
  ServiceLimits m_Limits;

  friend bool operator==(const ServiceEntry &, const ServiceEntry &) = default;
};

/// A data centre of the catalogue.
struct DataCentreEntry {
  std::string m_Name;
  std::string m_Region;
  bool m_InService = true;

  friend bool operator==(const DataCentreEntry &,
                         const DataCentreEntry &) = default;
};

/// One version of the catalogue. Versions count up from one and an accepted
/// version never changes.
struct Catalogue {
  uint64_t m_Version = 0;
  std::map<std::string, ServiceEntry> m_Services;
  std::map<std::string, DataCentreEntry> m_DataCentres;
  /// The names of VMs that operators have taken out of service.
  std::set<std::string> m_VmsOut;

  friend bool operator==(const Catalogue &, const Catalogue &) = default;
};

} // namespace hyssopcross::catalogue

#endif
