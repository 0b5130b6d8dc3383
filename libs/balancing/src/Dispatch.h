#ifndef HYSSOPCROSS_BALANCING_DISPATCH_H
#define HYSSOPCROSS_BALANCING_DISPATCH_H

#include "Context.h"

namespace hyssopcross::balancing {

/// Admits a call that has arrived: it is sent, queued, handed over or refused.
void admitCall(Context &Step, const CallArrived &Arrival);

/// Sends queued calls while there are servers that may get them.
void dispatchQueue(Context &Step);

/// Asks the host for the next step that no event brings, unless it was asked
/// for one at least as early.
void scheduleWake(Context &Step);

} // namespace hyssopcross::balancing

#endif
