#include "hyssopcross/discovery/CallBackoff.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>

namespace hyssopcross::discovery {

bool canStartCall(const CallBackoff &Of) {
  return Of.m_Phase == CallBackoff::Phase::Idle;
}

void onCallStarted(CallBackoff &Of) {
  HYSSOPCROSS_INVARIANT(Of.m_Phase == CallBackoff::Phase::Idle,
                        "a source gets one call at a time");
  Of.m_Phase = CallBackoff::Phase::InFlight;
}

void onCallSucceeded(CallBackoff &Of) {
  Of.m_Phase = CallBackoff::Phase::Idle;
  Of.m_Failures = 0;
}

Duration onCallFailed(CallBackoff &Of, double Jitter) {
  Duration Pause = Of.m_InitialDelay * (1U << std::min(Of.m_Failures, 10U));
  ++Of.m_Failures;
  Of.m_Phase = CallBackoff::Phase::BackingOff;
  return scale(std::min(Pause, Of.m_MaxDelay), 0.75 + 0.5 * Jitter);
}

void onBackoffStarted(CallBackoff &Of) {
  Of.m_Phase = CallBackoff::Phase::BackingOff;
}

void onBackoffElapsed(CallBackoff &Of) {
  if (Of.m_Phase == CallBackoff::Phase::BackingOff)
    Of.m_Phase = CallBackoff::Phase::Idle;
}

void onCallCancelled(CallBackoff &Of) {
  Of.m_Phase = CallBackoff::Phase::Idle;
  Of.m_Failures = 0;
}

bool tryAcquireSnapshot(SnapshotRateLimit &Of, TimePoint Now) {
  if (Now - Of.m_WindowStart >= Of.m_Window) {
    Of.m_WindowStart = Now;
    Of.m_GrantedInWindow = 0;
  }
  if (Of.m_GrantedInWindow >= Of.m_MaxPerWindow)
    return false;
  ++Of.m_GrantedInWindow;
  return true;
}

} // namespace hyssopcross::discovery
