#ifndef HYSSOPCROSS_ENTRY_OPERATORFRONT_H
#define HYSSOPCROSS_ENTRY_OPERATORFRONT_H

#include "hyssopcross/admin/Admin.h"
#include "hyssopcross/entry/ClaimsHost.h"
#include "hyssopcross/entry/Control.h"
#include "hyssopcross/entry/Metrics.h"
#include "hyssopcross/web/HttpServer.h"

namespace hyssopcross::entry {

/// Answers what operators ask over HTTP: /metrics, /health and /admin/... Safe
/// from any thread.
class OperatorFront {
public:
  OperatorFront(const Clock &Time, platform::Table &Table, Control &Routing,
                Pools &Served, ClaimsHost &Claims, Metrics &Figures);

  /// Answers one request.
  web::HttpAnswer handle(const web::HttpRequest &Request);

private:
  web::HttpAnswer answerMetrics();
  std::string status();
  void updateGauges();

  Control &m_Control;
  Pools &m_Pools;
  ClaimsHost &m_Claims;
  Metrics &m_Metrics;
  admin::AdminContext m_Context;
};

} // namespace hyssopcross::entry

#endif
