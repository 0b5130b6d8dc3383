#ifndef HYSSOPCROSS_BALANCING_PROBING_H
#define HYSSOPCROSS_BALANCING_PROBING_H

#include "Context.h"

namespace hyssopcross::balancing {

/// The least time between two probes of this owner to one server, or nothing
/// if the budget is zero. A confirmed owner uses its share of the budget and an
/// unconfirmed one half of that, so that one of each stay within the whole.
std::optional<Duration> probeInterval(const PoolState &State);

/// Starts a server's budget. The predecessor may have probed it just now, and
/// the first probes of many servers are spread over an interval.
void startProbeBudget(Context &Step, ServerState &Server);

/// Probes the servers that have no fresh report and budget left.
void sendDueProbes(Context &Step);

/// Probes a server now if its budget allows it.
void probeIfAllowed(Context &Step, const ServerId &Id, ServerState &Server);

/// Takes over the end of a probe.
void endProbe(Context &Step, const ProbeEnded &Event);

} // namespace hyssopcross::balancing

#endif
