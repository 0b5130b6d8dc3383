#ifndef HYSSOPCROSS_BALANCING_ATTEMPTS_H
#define HYSSOPCROSS_BALANCING_ATTEMPTS_H

#include "Choice.h"
#include "Context.h"

namespace hyssopcross::balancing {

/// Why an attempt is made.
enum class AttemptKind { Queued, Hedge };

/// Sends a call to a server.
void sendAttempt(Context &Step, CallId Call, ServerRef Server,
                 AttemptKind Kind);

/// Takes over the end of an attempt: the server's load, latency and warmth,
/// then the call's result, retry or refusal.
void endAttempt(Context &Step, const AttemptEnded &Event);

} // namespace hyssopcross::balancing

#endif
