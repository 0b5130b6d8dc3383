#ifndef HYSSOPCROSS_DISCOVERY_CALLBACKOFF_H
#define HYSSOPCROSS_DISCOVERY_CALLBACKOFF_H

#include "hyssopcross/base/Clock.h"
#include <cstdint>

namespace hyssopcross::discovery {

/// Limits the calls to one source: one call at a time, with exponential backoff
/// after failures.
struct CallBackoff {
  enum class Phase { Idle, CallInFlight, BackingOff };
  Phase m_Phase = Phase::Idle;
  /// Number of consecutive failed calls.
  uint32_t m_Failures = 0;
  /// Initial and maximum backoff delay. The maximum ensures that a recovered
  /// source is detected well within the tightest time bound of two seconds.
  Duration m_InitialDelay = std::chrono::milliseconds(100);
  Duration m_MaxDelay = std::chrono::milliseconds(800);
};

/// Returns whether a call may start now.
bool canStartCall(const CallBackoff &Backoff);

/// Records the start of a call. No other call may be in flight.
void onCallStarted(CallBackoff &Backoff);

/// Records a successful call and resets the failure count.
void onCallSucceeded(CallBackoff &Backoff);

/// Records a failed call and returns the delay before the next one. Jitter is
/// between 0 and 1.
Duration onCallFailed(CallBackoff &Backoff, double Jitter);

/// Records the start of a delay that is not caused by a failed call.
void onBackoffStarted(CallBackoff &Backoff);

/// Records the end of a delay. Has no effect unless a delay is in progress.
void onBackoffElapsed(CallBackoff &Backoff);

/// Records that the call or delay was cancelled because its result is no longer
/// needed. Resets the state, so that the next call may start immediately.
void onCallCancelled(CallBackoff &Backoff);

/// Limits the snapshots that a VM sends to its peers, per fixed time window.
/// When a fleet starts, many peers request a snapshot at once; a rejected peer
/// requests it from a peer that has already received one.
struct SnapshotRateLimit {
  Duration m_Window = std::chrono::milliseconds(200);
  /// Maximum number of snapshots per window. At 100 KB each, this amounts
  /// to 2 MB per second, the bandwidth of the network link of a small VM.
  uint32_t m_MaxPerWindow = 4;
  TimePoint m_WindowStart{};
  uint32_t m_GrantedInWindow = 0;
};

/// Returns whether another snapshot may be sent now, and counts it if so.
bool tryAcquireSnapshot(SnapshotRateLimit &Limit, TimePoint Now);

} // namespace hyssopcross::discovery

#endif
