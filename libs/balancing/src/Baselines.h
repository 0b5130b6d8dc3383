#ifndef HYSSOPCROSS_BALANCING_BASELINES_H
#define HYSSOPCROSS_BALANCING_BASELINES_H

#include "Choice.h"
#include "Context.h"

namespace hyssopcross::balancing {

/// Chooses a server by one of the policies kept for comparison. They ignore
/// slots, and see only servers that neither leave nor drain.
Choice chooseByBaseline(Context &Step);

/// Keeps a server's report for ProbePool.
void poolReport(Context &Step, const ServerId &Id, const ServerState &Server);

/// Starts the probes that ProbePool sends for a call.
void sendCallProbes(Context &Step);

} // namespace hyssopcross::balancing

#endif
