#ifndef HYSSOPCROSS_LOAD_EXCHANGE_H
#define HYSSOPCROSS_LOAD_EXCHANGE_H

#include "hyssopcross/httpclient/Client.h"
#include "hyssopcross/load/Plan.h"
#include "hyssopcross/load/Records.h"

namespace hyssopcross::load {

/// The request of a planned call, the same for all of its attempts.
struct CallRequest {
  std::string m_Method;
  /// Path and query behind /call/<service>.
  std::string m_Target;
  std::string m_IdempotencyKey;
  std::string m_Body;
  std::string m_Digest;
};

/// Builds the request of a call. RunName keeps the keys of runs apart.
CallRequest buildRequest(const PlannedCall &Call, std::string_view RunName);

/// Why a whole answer with the outcome completed does not belong to the
/// request; empty if it does. An answer of status 202 to an upload says that
/// it is delivered later, and its body is not judged.
std::string findFlaw(const PlannedCall &Call, const CallRequest &Request,
                     std::string_view Correlation,
                     const httpclient::Response &Answer);

/// What the caller was told by an answer or by its lack.
AttemptRecord recordAttempt(const PlannedCall &Call, const CallRequest &Request,
                            std::string Correlation,
                            const Result<httpclient::Response> &Answer);

} // namespace hyssopcross::load

#endif
