#ifndef HYSSOPCROSS_BALANCING_WARMUP_H
#define HYSSOPCROSS_BALANCING_WARMUP_H

#include "Context.h"

namespace hyssopcross::balancing {

/// Makes a server cold, as a new process is.
void makeCold(Context &Step, ServerState &Server);

/// Drops a server that was shed by, slowed or failed to its cold allowance; a
/// second time in a row makes it cold.
void dropToAllowance(Context &Step, ServerState &Server);

/// Counts a good completion, which may raise the server's limit: only once the
/// completions of the step are as fast as a warm server's.
void recordGoodCompletion(Context &Step, ServerState &Server, Duration Latency);

/// Starts the current step of the ramp anew, after a slow completion.
void restartStep(Context &Step, ServerState &Server);

/// Keeps the limit of a server between the cold allowance and the slots.
void clampLimit(Context &Step, ServerState &Server);

/// The requests that may be in flight at the server.
uint32_t concurrencyLimit(const PoolState &State, const ServerState &Server);

/// The least time between two sends to the server; zero if it is warm.
Duration sendSpacing(const PoolState &State, const ServerState &Server);

} // namespace hyssopcross::balancing

#endif
