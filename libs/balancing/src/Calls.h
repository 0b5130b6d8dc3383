#ifndef HYSSOPCROSS_BALANCING_CALLS_H
#define HYSSOPCROSS_BALANCING_CALLS_H

#include "Context.h"

namespace hyssopcross::balancing {

/// Registers a call that has arrived.
void openCall(Context &Step, const CallArrived &Arrival);

/// Ends a call with the result of an attempt and cancels the other ones.
void finishCall(Context &Step, CallId Call, AttemptId Attempt);

/// Ends a call that did not run. If an earlier attempt may have run, the call
/// ends with that attempt instead.
void refuseCall(Context &Step, CallId Call, RefusalReason Reason);

/// Ends a call of which no attempt was made by giving it to another owner.
void handOverCall(Context &Step, CallId Call, const PoolId &Pool);

/// Ends a call that nobody waits for.
void abandonCall(Context &Step, CallId Call);

} // namespace hyssopcross::balancing

#endif
