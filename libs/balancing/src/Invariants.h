#ifndef HYSSOPCROSS_BALANCING_INVARIANTS_H
#define HYSSOPCROSS_BALANCING_INVARIANTS_H

#include "Context.h"

namespace hyssopcross::balancing {

/// Checks that the call may go to the server now. Does not look at the
/// switches, so that it notices a mechanism that is off.
void checkSend(const Context &Step, const CallState &Call,
               const ServerState &Server);

/// Checks that the state's counts agree after a step; the costly part only in
/// every few steps.
void checkState(const Context &Step);

} // namespace hyssopcross::balancing

#endif
