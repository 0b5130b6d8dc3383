#ifndef HYSSOPCROSS_DISCOVERY_CALLBACKOFF_H
#define HYSSOPCROSS_DISCOVERY_CALLBACKOFF_H

#include "hyssopcross/base/Clock.h"
#include <cstdint>

namespace hyssopcross::discovery {

/// When a source may be called. One call at a time; after a failure a pause
/// that grows.
struct CallBackoff {
  enum class Phase { Idle, CallInFlight, BackingOff };
  Phase m_Phase = Phase::Idle;
  /// Calls that failed in a row.
  uint32_t m_Failures = 0;
  /// First pause and longest one. The longest keeps the time to notice that a
  /// source is back well under the two seconds of the tightest bound.
  Duration m_InitialDelay = std::chrono::milliseconds(100);
  Duration m_MaxDelay = std::chrono::milliseconds(800);
};

/// Whether a call may start now.
bool canStartCall(const CallBackoff &Backoff);

/// A call has started; one may not be under way.
void onCallStarted(CallBackoff &Backoff);

/// The call was answered.
void onCallSucceeded(CallBackoff &Backoff);

/// The call has failed. Returns the pause before the next one; Jitter is
/// between 0 and 1.
Duration onCallFailed(CallBackoff &Backoff, double Jitter);

/// A pause has begun for another reason.
void onBackoffStarted(CallBackoff &Backoff);

/// The pause is over.
void onBackoffElapsed(CallBackoff &Backoff);

/// The call or pause was dropped because nothing is needed any more. The next
/// need starts afresh.
void onCallCancelled(CallBackoff &Backoff);

/// Whole tables that a VM hands to others, in slices of time. Many ask at once
/// when a fleet starts; those that are turned away ask one that was served.
struct SnapshotRateLimit {
  Duration m_Window = std::chrono::milliseconds(200);
  /// Tables in a slice: at 100 KB each, 2 MB a second, what the link of a small
  /// VM carries.
  uint32_t m_MaxPerWindow = 4;
  TimePoint m_WindowStart{};
  uint32_t m_GrantedInWindow = 0;
};

/// Whether one more whole table may be handed over now; counts it.
bool tryAcquireSnapshot(SnapshotRateLimit &Limit, TimePoint Now);

} // namespace hyssopcross::discovery

#endif
