#ifndef HYSSOPCROSS_STANDINS_PLATFORMSERVER_H
#define HYSSOPCROSS_STANDINS_PLATFORMSERVER_H

#include "hyssopcross/standins/HttpServer.h"
#include "hyssopcross/standins/RateLimit.h"
#include "hyssopcross/store/MemoryStore.h"
#include <atomic>

namespace hyssopcross::standins {

/// Settings of a platform stand-in.
struct PlatformServerOptions {
  HttpServerOptions m_Http;
  /// Writes served per second; beyond it they are refused with 503. Zero for
  /// no limit.
  double m_MaxWritesPerSecond = 0;
  /// Reads served per second, likewise.
  double m_MaxReadsPerSecond = 0;
  /// How much later the list of VMs shows a change.
  Duration m_ListLag{};
};

/// Serves docs/PLATFORM.md from memory, with endpoints that inject faults.
class PlatformServer {
public:
  /// Starts to serve; fails with Unavailable if the address cannot be bound.
  /// The clock outlives the server.
  static Result<std::unique_ptr<PlatformServer>>
  start(const PlatformServerOptions &Options, const Clock &Clock);

  /// The address that is served.
  const Address &address() const { return m_Http->address(); }

  /// The state behind the protocol, for tests in the same process.
  store::MemoryStore &memory() { return m_Memory; }

  /// Operations refused by the limits of rate.
  uint64_t throttled() const { return m_Throttled; }

private:
  PlatformServer(const PlatformServerOptions &Options, const Clock &Clock);

  Result<void> admit(store::MemoryStore::Access Access);
  ServerAnswer serve(const ServerRequest &Request);
  ServerAnswer serveTable(const ServerRequest &Request);
  ServerAnswer serveObjects(const ServerRequest &Request);
  ServerAnswer serveObject(const ServerRequest &Request);
  ServerAnswer serveControl(const ServerRequest &Request);
  ServerAnswer changeVms(const ServerRequest &Request);
  ServerAnswer showCounters();

  const Clock &m_Clock;
  store::MemoryStore m_Memory;
  RateLimit m_Reads;
  RateLimit m_Writes;
  std::atomic<uint64_t> m_Throttled{0};
  std::atomic<uint64_t> m_LatencyMs{0};
  /// Last, so that no handler runs while the rest is destroyed.
  std::unique_ptr<HttpServer> m_Http;
};

} // namespace hyssopcross::standins

#endif
