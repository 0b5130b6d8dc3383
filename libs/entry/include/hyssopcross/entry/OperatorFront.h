#ifndef HYSSOPCROSS_ENTRY_OPERATORFRONT_H
#define HYSSOPCROSS_ENTRY_OPERATORFRONT_H

#include "hyssopcross/admin/Admin.h"
#include "hyssopcross/entry/ClaimsHost.h"
#include "hyssopcross/entry/Control.h"
#include "hyssopcross/entry/Metrics.h"
#include "hyssopcross/http/Listener.h"

namespace hyssopcross::entry {

/// Answers what operators ask over HTTP: /metrics, /health and /admin/... A
/// change waits for the store, so requests are answered on threads of their
/// own, away from the event loop.
class OperatorFront {
public:
  OperatorFront(const Clock &Time, boost::asio::io_context &Loop,
                store::Table &Table, Control &Routing, Pools &Served,
                ClaimsHost &Claims, Metrics &Figures);

  /// Answers one request, later. On the loop's thread.
  void handle(const std::shared_ptr<http::Exchange> &Asked);

  /// Ends the threads; call while the loop still runs.
  void end() { m_Threads.reset(); }

private:
  http::Response answer(const http::Request &Request);
  http::Response answerMetrics();
  std::string status();
  void updateGauges();

  boost::asio::io_context &m_Loop;
  Control &m_Control;
  Pools &m_Pools;
  ClaimsHost &m_Claims;
  Metrics &m_Metrics;
  admin::AdminContext m_Context;
  std::unique_ptr<Workers> m_Threads;
};

} // namespace hyssopcross::entry

#endif
