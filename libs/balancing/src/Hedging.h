#ifndef HYSSOPCROSS_BALANCING_HEDGING_H
#define HYSSOPCROSS_BALANCING_HEDGING_H

#include "Context.h"

namespace hyssopcross::balancing {

/// Counts an arrival, which earns a share of a hedge if it is a lookup.
void earnHedge(Context &Step);

/// Sets when the call of a first attempt is due a second one.
void armHedge(Context &Step, AttemptId Id, AttemptState &Attempt);

/// Forgets the due time of an attempt that has ended.
void disarmHedge(Context &Step, AttemptId Id, AttemptState &Attempt);

/// Sends the second attempts that are due, where a warm server has a free slot
/// and the budget allows it.
void sendDueHedges(Context &Step);

} // namespace hyssopcross::balancing

#endif
