#ifndef HYSSOPCROSS_LOAD_RUN_H
#define HYSSOPCROSS_LOAD_RUN_H

#include "hyssopcross/load/Caller.h"
#include "hyssopcross/standins/Ledger.h"
#include <span>

namespace hyssopcross::load {

/// Makes the planned calls when they are due, on Threads threads, and returns
/// their records in the order of the plan. A call's latency counts from when
/// it was due, so that a slow system doesn't thin out the load.
std::vector<CallRecord> runPlan(std::span<const PlannedCall> Plan,
                                uint32_t Threads, Caller &Caller,
                                const Clock &Clock);

/// Reads the ledgers of all servers; fails if one cannot be read.
Result<std::vector<standins::LedgerEntry>>
readLedgers(std::span<const Address> Servers, httpclient::Client &Client);

} // namespace hyssopcross::load

#endif
