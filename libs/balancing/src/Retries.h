#ifndef HYSSOPCROSS_BALANCING_RETRIES_H
#define HYSSOPCROSS_BALANCING_RETRIES_H

#include "Context.h"

namespace hyssopcross::balancing {

/// Counts a completed call, which earns a share of a retry.
void earnRetry(Context &Step);

/// Takes a retry of the call from the budget after its last attempt ended so.
/// A call that did not run may be retried at any depth; a lookup that may have
/// run only at depth one, since what it ran was a whole tree of calls. The
/// retries of earlier hops count.
bool takeRetry(Context &Step, const CallState &Call, const AttemptEnded &Last);

} // namespace hyssopcross::balancing

#endif
