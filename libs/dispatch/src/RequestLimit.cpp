#include "hyssopcross/dispatch/RequestLimit.h"
#include <utility>

namespace hyssopcross::dispatch {

bool observeLimit(RequestLimit &Limit, const LimitObservation &Seen,
                  TimePoint Now) {
  if (Seen.m_PerSecond) {
    Limit.m_SaidAt = Now;
    Limit.m_IsNamedByChecks = Limit.m_IsNamedByChecks || Seen.m_IsCheck;
    return std::exchange(Limit.m_PerSecond, Seen.m_PerSecond) !=
           Seen.m_PerSecond;
  }
  bool Lifts = Limit.m_PerSecond && Seen.m_IsComplete &&
               Seen.m_SentAt > Limit.m_SaidAt &&
               (!Seen.m_IsCheck || Limit.m_IsNamedByChecks);
  if (!Lifts)
    return false;
  Limit.m_SaidAt = Now;
  Limit.m_PerSecond.reset();
  return true;
}

} // namespace hyssopcross::dispatch
