#ifndef HYSSOPCROSS_BALANCING_QUEUE_H
#define HYSSOPCROSS_BALANCING_QUEUE_H

#include "Context.h"

namespace hyssopcross::balancing {

/// Which end of its share key's line a call joins.
enum class QueueEnd { Front, Back };

/// Adds a known call to the queue, beyond its bound if need be.
void enqueue(Context &Step, CallId Call, QueueEnd End);

/// Takes a call out of the queue, if it is in it.
void dequeue(Context &Step, CallId Call);

/// The call to be served next: share keys take turns. Empty if none waits.
std::optional<CallId> nextInTurn(const PoolState &State);

/// Takes the call out of the queue and gives the turn to the next key.
void takeTurn(Context &Step, CallId Call);

/// The newest call of the share key that has the most in the queue, which is
/// not empty.
CallId newestOfLongest(const PoolState &State);

/// How many queued calls would be served before this one.
size_t callsBefore(const PoolState &State, CallId Call);

/// All queued calls, those that have waited longest first.
std::vector<CallId> oldestFirst(const PoolState &State);

} // namespace hyssopcross::balancing

#endif
