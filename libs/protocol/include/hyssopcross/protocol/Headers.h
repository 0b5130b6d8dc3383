#ifndef HYSSOPCROSS_PROTOCOL_HEADERS_H
#define HYSSOPCROSS_PROTOCOL_HEADERS_H

/// The names of the HTTP headers that callers, entry VMs and backend servers
/// exchange. docs/CALLERS.md and docs/BACKEND-SERVERS.md describe their use.
namespace hyssopcross::protocol {

/// On every answer to a caller: completed, not-run or unknown.
inline constexpr const char *OutcomeHeader = "Hyssopcross-Outcome";

/// On every request and echoed on its answer; made by the entry VM if the
/// caller sends none.
inline constexpr const char *CorrelationHeader = "Hyssopcross-Correlation-Id";

/// Absolute deadline of a request, in microseconds since 1970. Backend servers
/// refuse a request whose deadline has passed.
inline constexpr const char *DeadlineHeader = "Hyssopcross-Deadline-Us";

/// Time allowed for a request, in milliseconds from its arrival.
inline constexpr const char *TimeoutHeader = "Hyssopcross-Timeout-Ms";

/// Nesting depth of a call, one for a call from outside.
inline constexpr const char *DepthHeader = "Hyssopcross-Depth";

/// Attempts made so far for a call, over all hops.
inline constexpr const char *AttemptsHeader = "Hyssopcross-Attempts";

/// On a call that one entry VM sends on to another: forwards so far, the data
/// centre of the pool that is to serve it, and 1 if another pool gave it up.
inline constexpr const char *HopsHeader = "Hyssopcross-Hops";
inline constexpr const char *PoolHeader = "Hyssopcross-Pool";
inline constexpr const char *HandedOverHeader = "Hyssopcross-Handed-Over";

/// Whose fair share of a service a call counts against.
inline constexpr const char *ShareHeader = "Hyssopcross-Share";

/// On an answer: the address to use for this service from now on.
inline constexpr const char *BetterAddressHeader = "Hyssopcross-Better-Address";

/// On a refusal: when to come back, in milliseconds, beside Retry-After in
/// whole seconds.
inline constexpr const char *RetryAfterMsHeader = "Hyssopcross-Retry-After-Ms";
inline constexpr const char *RetryAfterHeader = "Retry-After";

/// Chosen by the caller; names a money request or an upload for good.
inline constexpr const char *IdempotencyKeyHeader = "Idempotency-Key";

/// SHA-256 of a body in the form sha-256=:BASE64:
inline constexpr const char *ContentDigestHeader = "Content-Digest";

/// W3C trace context.
inline constexpr const char *TraceParentHeader = "traceparent";

/// On an answer of a backend server that refused a request without running it.
/// Its value is "not-run".
inline constexpr const char *ServerRefusedHeader = "Server-Refused";

/// On answers of a backend server: its load as
/// in_flight=N;queued=N;draining=0|1;boot=ID.
inline constexpr const char *ServerLoadHeader = "Server-Load";

} // namespace hyssopcross::protocol

#endif
