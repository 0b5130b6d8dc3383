#ifndef HYSSOPCROSS_BALANCING_LATENCY_H
#define HYSSOPCROSS_BALANCING_LATENCY_H

#include "Context.h"

namespace hyssopcross::balancing {

/// Counts the latency of a completed attempt for its server and the pool.
void recordLatency(Context &Step, ServerState &Server, Duration Latency);

/// Counts the age of an attempt that was given up: its latency is at least
/// that.
void recordLowerBound(Context &Step, ServerState &Server, Duration Age);

/// Whether the server's recent latency is far above its usual one.
bool hasJumped(const PoolPolicy &Policy, const ServerState &Server);

/// Whether a single latency is far above the server's usual one.
bool isSlow(const PoolPolicy &Policy, const ServerState &Server,
            Duration Latency);

/// The expected service time of a call at the server.
Duration expectedServiceTime(const PoolState &State, const ServerState &Server,
                             TimePoint Now);

/// The mean service time of the pool.
Duration meanServiceTime(const PoolState &State);

/// The latency below which Quantile of the recent calls stayed; zero if fewer
/// than MinSamples are known.
Duration latencyQuantile(const LatencyState &Latency, double Quantile,
                         uint32_t MinSamples);

} // namespace hyssopcross::balancing

#endif
