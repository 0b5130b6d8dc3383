#include "hyssopcross/discovery/CallBackoff.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>

namespace hyssopcross::discovery {

bool canStartCall(const CallBackoff &Backoff) {
  return Backoff.m_Phase == CallBackoff::Phase::Idle;
}

void onCallStarted(CallBackoff &Backoff) {
  HYSSOPCROSS_INVARIANT(Backoff.m_Phase == CallBackoff::Phase::Idle,
                        "only one call to a source may be in flight");
  Backoff.m_Phase = CallBackoff::Phase::CallInFlight;
}

void onCallSucceeded(CallBackoff &Backoff) {
  Backoff.m_Phase = CallBackoff::Phase::Idle;
  Backoff.m_Failures = 0;
}

Duration onCallFailed(CallBackoff &Backoff, double Jitter) {
  Duration Delay =
      Backoff.m_InitialDelay * (1U << std::min(Backoff.m_Failures, 10U));
  ++Backoff.m_Failures;
  Backoff.m_Phase = CallBackoff::Phase::BackingOff;
  return scale(std::min(Delay, Backoff.m_MaxDelay), 0.75 + 0.5 * Jitter);
}

void onBackoffStarted(CallBackoff &Backoff) {
  Backoff.m_Phase = CallBackoff::Phase::BackingOff;
}

void onBackoffElapsed(CallBackoff &Backoff) {
  if (Backoff.m_Phase == CallBackoff::Phase::BackingOff)
    Backoff.m_Phase = CallBackoff::Phase::Idle;
}

void onCallCancelled(CallBackoff &Backoff) {
  Backoff.m_Phase = CallBackoff::Phase::Idle;
  Backoff.m_Failures = 0;
}

bool tryAcquireSnapshot(SnapshotRateLimit &Limit, TimePoint Now) {
  if (Now - Limit.m_WindowStart >= Limit.m_Window) {
    Limit.m_WindowStart = Now;
    Limit.m_GrantedInWindow = 0;
  }
  if (Limit.m_GrantedInWindow >= Limit.m_MaxPerWindow)
    return false;
  ++Limit.m_GrantedInWindow;
  return true;
}

} // namespace hyssopcross::discovery
