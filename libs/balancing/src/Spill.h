#ifndef HYSSOPCROSS_BALANCING_SPILL_H
#define HYSSOPCROSS_BALANCING_SPILL_H

#include "Context.h"

namespace hyssopcross::balancing {

/// Whether calls may be served here: the data centre is in service and this
/// process owns the pool.
bool isServing(const PoolState &State);

/// Ends an arrived or queued call while the pool does not serve: handed over
/// where another owner is known, else refused.
void turnAway(Context &Step, CallId Call);

/// Turns every queued call away.
void turnAwayQueue(Context &Step);

/// Takes over which other pools the service has.
void applyPeers(Context &Step, const PeersListed &Event);

/// Takes over that another pool has started or ended to queue.
void applyPeerQueueing(Context &Step, const PeerQueueing &Event);

/// Hands queued calls over to a pool that offers slots: those that would wait
/// here for longer than a crossing, the oldest first.
void answerPull(Context &Step, const PullAsked &Event);

/// A call that another pool has handed over uses up an offered slot.
void useOffer(Context &Step);

/// Tells the other pools when this one starts and ends to queue.
void announce(Context &Step);

/// Offers free slots to pools that queue. What is on offer to one pool is not
/// offered to another.
void offerSlots(Context &Step);

/// When announcements or offers need the next step, if at all.
std::optional<TimePoint> nextSpillTime(const PoolState &State, TimePoint Now);

} // namespace hyssopcross::balancing

#endif
