#ifndef HYSSOPCROSS_ENTRY_CALLERFRONT_H
#define HYSSOPCROSS_ENTRY_CALLERFRONT_H

#include "hyssopcross/entry/Metrics.h"
#include "hyssopcross/entry/Router.h"
#include "hyssopcross/uploads/BodyBudget.h"
#include <random>

namespace hyssopcross::entry {

/// Answers what callers ask over HTTP: addresses, calls and receipts. The
/// bodies of requests in progress take at most BodyBytes; beyond it, calls are
/// refused. Safe from any thread.
class CallerFront {
public:
  CallerFront(const Clock &Time, Control &Routing, Router &Calls,
              trace::Tracer &Tracer, Metrics &Figures, std::string VmName,
              uint64_t Seed, uint64_t BodyBytes);

  /// Answers one request. Every answer carries an outcome and the correlation
  /// id of its request.
  web::HttpAnswer handle(const web::HttpRequest &Request);

private:
  CallerAnswer answer(const web::HttpRequest &Request,
                      const std::string &CorrelationId);
  CallerAnswer answerReceipt(std::string_view Rest);
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
  uploads::BodyBudget m_Bodies;
};

} // namespace hyssopcross::entry

#endif
