#ifndef HYSSOPCROSS_ENTRY_CALLERFRONT_H
#define HYSSOPCROSS_ENTRY_CALLERFRONT_H

#include "hyssopcross/entry/Metrics.h"
#include "hyssopcross/entry/Router.h"
#include "hyssopcross/http/Listener.h"
#include "hyssopcross/uploads/BodyBudget.h"
#include <random>

namespace hyssopcross::entry {

/// Answers what callers ask over HTTP: addresses, calls and receipts, and the
/// calls that other entry VMs send on. The bodies of requests in progress take
/// at most BodyBytes; beyond it, calls are refused. Lives on the event loop,
/// whose thread makes all calls.
class CallerFront {
public:
  CallerFront(const Clock &Time, Control &Routing, Router &Calls,
              trace::Tracer &Tracer, Metrics &Figures, std::string VmName,
              uint64_t Seed, uint64_t BodyBytes);

  /// Answers one request, then or later. Every answer carries an outcome and
  /// the correlation id of its request.
  void handle(const std::shared_ptr<http::Exchange> &Asked);

  /// The answer to input that was refused before it became a request.
  http::Response refuseInput(unsigned Status);

private:
  void answerReceipt(std::string_view Rest, CallerCallback Done);
  CallerAnswer answerAddresses(std::string_view Target);
  void answerCall(const std::shared_ptr<http::Exchange> &Asked,
                  const std::string &CorrelationId, CallerCallback Done);
  void serve(const std::shared_ptr<http::Exchange> &Asked, IncomingCall Call,
             CallerCallback Done);
  std::string makeCorrelationId();

  const Clock &m_Clock;
  Control &m_Control;
  Router &m_Router;
  trace::Tracer &m_Tracer;
  Metrics &m_Metrics;
  std::string m_VmName;
  std::mt19937_64 m_Random;
  uploads::BodyBudget m_Bodies;
};

} // namespace hyssopcross::entry

#endif
