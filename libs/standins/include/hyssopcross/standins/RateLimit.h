#ifndef HYSSOPCROSS_STANDINS_RATELIMIT_H
#define HYSSOPCROSS_STANDINS_RATELIMIT_H

#include "hyssopcross/base/Clock.h"
#include <mutex>

namespace hyssopcross::standins {

/// A token bucket that holds a tenth of a second's worth, at least one. Safe
/// from any thread.
class RateLimit {
public:
  /// PerSecond of zero lets everything pass.
  explicit RateLimit(double PerSecond);

  /// Takes a token if there is one.
  bool take(TimePoint Now);

private:
  const double m_PerSecond;
  const double m_Capacity;
  std::mutex m_Mutex;
  double m_Tokens;
  TimePoint m_Last{};
};

} // namespace hyssopcross::standins

#endif
