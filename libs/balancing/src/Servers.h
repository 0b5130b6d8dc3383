#ifndef HYSSOPCROSS_BALANCING_SERVERS_H
#define HYSSOPCROSS_BALANCING_SERVERS_H

#include "Context.h"
#include <span>

namespace hyssopcross::balancing {

/// How a report arrived.
enum class ReportSource { Answer, Probe };

/// Whether the server may get new work at all: it is listed and neither leaves
/// nor drains.
bool isUsable(const PoolState &State, const ServerState &Server);

/// Takes over a report: load, draining, and a changed boot identity, which
/// makes the server a new, cold one.
void applyReport(Context &Step, ServerState &Server, const LoadReport &Report,
                 ReportSource Source);

/// Takes over the platform's list. A server that it no longer names gets no
/// new work and is forgotten after a while.
void applyList(Context &Step, std::span<const ServerRecord> Records);

/// Takes over a predecessor's digest.
void applyDigest(Context &Step, const TookOver &Event);

/// Frees the slots that were assumed taken, once their time has passed.
void releaseAssumed(Context &Step);

/// Makes every server cold, as after a data centre's return.
void makeAllCold(Context &Step);

/// Tells the host how many connections to keep to a server, if that changed.
void refreshConnections(Context &Step, const ServerId &Id, ServerState &Server);

/// The same for all servers.
void refreshAllConnections(Context &Step);

} // namespace hyssopcross::balancing

#endif
