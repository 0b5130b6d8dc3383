#ifndef HYSSOPCROSS_BALANCING_ADMISSION_H
#define HYSSOPCROSS_BALANCING_ADMISSION_H

#include "Context.h"

namespace hyssopcross::balancing {

/// Calls that the pool can finish in a second by the limits of its servers;
/// less the slots that count as taken by a predecessor, if asked so.
double capacityPerSecond(const PoolState &State, TimePoint Now,
                         bool LessAssumed);

/// How long a call with Ahead calls before it waits while no slot is free.
Duration expectedWait(const PoolState &State, TimePoint Now, size_t Ahead);

/// When a caller that is refused now should come back: the time in which the
/// queue drains, jittered.
Duration retryAfter(Context &Step, RefusalReason Reason);

/// Refuses a call that is queued and can't finish in time.
void refuseIfLate(Context &Step, CallId Call);

/// Refuses calls whose deadline has passed in the queue.
void refuseExpired(Context &Step);

/// Refuses calls beyond the queue's bound: the newest of the longest share.
void trimQueue(Context &Step);

} // namespace hyssopcross::balancing

#endif
