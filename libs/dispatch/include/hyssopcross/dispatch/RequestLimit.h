#ifndef HYSSOPCROSS_DISPATCH_REQUESTLIMIT_H
#define HYSSOPCROSS_DISPATCH_REQUESTLIMIT_H

#include "hyssopcross/base/Clock.h"
#include <optional>

namespace hyssopcross::dispatch {

/// Limit on the rate of requests that an incarnation of a server takes from all
/// VMs together, as named in its responses.
struct RequestLimit {
  /// Requests per second; empty if the server names no limit.
  std::optional<double> m_PerSecond;
  /// When the server last named the limit or stopped naming one; zero before
  /// the first time.
  TimePoint m_SaidAt{};
  /// Health checks name the limit too, not only answers to requests.
  bool m_IsNamedByChecks = false;
};

/// What one response shows of a server's limit.
struct LimitObservation {
  /// Requests per second; empty if the response names no limit.
  std::optional<double> m_PerSecond;
  /// The response is that of a health check.
  bool m_IsCheck = false;
  /// The server has handled the request, so it would have named a limit.
  bool m_IsComplete = false;
  TimePoint m_SentAt{};
};

/// Applies what a response shows. One without a limit lifts it only if it is
/// complete, was sent after the limit was last named, and is of a kind that
/// names limits. Returns whether the rate has changed.
bool observeLimit(RequestLimit &Limit, const LimitObservation &Seen,
                  TimePoint Now);

} // namespace hyssopcross::dispatch

#endif
