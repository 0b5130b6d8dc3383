#ifndef HYSSOPCROSS_ENTRY_CALLERFRONT_H
#define HYSSOPCROSS_ENTRY_CALLERFRONT_H

#include "hyssopcross/entry/Metrics.h"
#include "hyssopcross/entry/Router.h"
#include <random>

namespace hyssopcross::entry {

/// Answers what callers ask over HTTP: addresses and calls. Safe from any
/// thread.
class CallerFront {
public:
  CallerFront(const Clock &Time, Control &Routing, Router &Calls,
              trace::Tracer &Tracer, Metrics &Figures, std::string VmName,
              uint64_t Seed);

  /// Answers one request. Every answer carries an outcome and the correlation
  /// id of its request.
  web::HttpAnswer handle(const web::HttpRequest &Request);

private:
  CallerAnswer answer(const web::HttpRequest &Request,
                      const std::string &CorrelationId);
  CallerAnswer answerAddresses(const web::HttpRequest &Request);
  CallerAnswer answerCall(const web::HttpRequest &Request,
                          const std::string &CorrelationId);
  std::string makeCorrelationId();
  double random();

  const Clock &m_Clock;
  Control &m_Control;
  Router &m_Router;
  trace::Tracer &m_Tracer;
  Metrics &m_Metrics;
  std::string m_VmName;
  std::mutex m_Mutex;
  std::mt19937_64 m_Random;
};

} // namespace hyssopcross::entry

#endif
