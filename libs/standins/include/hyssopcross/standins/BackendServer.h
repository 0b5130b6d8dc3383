#ifndef HYSSOPCROSS_STANDINS_BACKENDSERVER_H
#define HYSSOPCROSS_STANDINS_BACKENDSERVER_H

#include "hyssopcross/catalogue/Types.h"
#include "hyssopcross/standins/BackendFaults.h"
#include "hyssopcross/standins/HttpServer.h"
#include "hyssopcross/standins/Ledger.h"
#include "hyssopcross/standins/SlotQueue.h"
#include <atomic>
#include <random>

namespace hyssopcross::standins {

/// How service times are drawn.
enum class ServiceTimes { Exponential, Fixed };

/// Settings of a fake backend server.
struct BackendOptions {
  HttpServerOptions m_Http;
  std::string m_Service;
  catalogue::ServiceClass m_Class = catalogue::ServiceClass::Lookup;
  SlotLimits m_Limits;
  Duration m_ServiceTime{};
  ServiceTimes m_Times = ServiceTimes::Exponential;
  /// Service times are this many times longer when cold.
  double m_ColdFactor = 5;
  /// How old the answers of /load may be.
  Duration m_LoadLag{};
  /// How much later /health shows that the server drains.
  Duration m_HealthLag{};
  /// Names this run of the process.
  std::string m_Boot;
  uint64_t m_Seed = 1;
};

/// Requests under this path take no service time. For measuring the path to
/// the server.
inline constexpr std::string_view MeasurePath = "/measure";

/// A fake backend server: runs requests in slots, sheds, drains, starts cold,
/// honours deadlines and keeps a ledger of what it executed.
class BackendServer {
public:
  /// Starts to serve; fails with Unavailable if the address cannot be bound.
  /// The clock outlives the server.
  static Result<std::unique_ptr<BackendServer>> start(BackendOptions Options,
                                                      const Clock &Clock);

  /// The address that is served.
  const Address &address() const { return m_Http->address(); }

private:
  struct Report {
    uint32_t m_InFlight = 0;
    uint32_t m_Queued = 0;
    bool m_Draining = false;
  };

  BackendServer(BackendOptions Options, const Clock &Clock);

  ServerAnswer serve(const ServerRequest &Request);
  ServerAnswer serveControl(const ServerRequest &Request);
  ServerAnswer serveWork(const ServerRequest &Request);
  ServerAnswer showLoad();
  ServerAnswer showHealth() const;
  ServerAnswer runInSlot(const ServerRequest &Request, AnswerFaults &Faults);
  ServerAnswer execute(const ServerRequest &Request);
  ServerAnswer refuse(std::string Why) const;
  Result<void> check(const ServerRequest &Request) const;
  std::string makeReceipt(const ServerRequest &Request);
  std::string answerBody(const ServerRequest &Request,
                         std::string_view Receipt) const;
  Duration drawServiceTime(const ServerRequest &Request);
  Report report() const;
  std::string loadHeader(const Report &Load) const;

  const BackendOptions m_Options;
  const Clock &m_Clock;
  SlotQueue m_Slots;
  BackendFaults m_Faults;
  Ledger m_Ledger;
  std::atomic<uint64_t> m_Receipts{0};
  std::mutex m_Mutex;
  std::mt19937_64 m_Random;
  Report m_LastReport;
  TimePoint m_LastReportTime{};
  std::atomic<TimePoint> m_DrainTime{TimePoint::max()};
  /// Last, so that no handler runs while the rest is destroyed.
  std::unique_ptr<HttpServer> m_Http;
};

} // namespace hyssopcross::standins

#endif
