// Messages between entry VMs. The generated code is committed under generated;
// tools/generate-thrift makes it anew.
namespace cpp hyssopcross.peer.wire

struct Pool {
  1: string serviceName,
  2: string dataCentre,
}

struct Header {
  1: string name,
  2: string value,
}

// A call sent on to the owner of its pool.
struct ForwardedCall {
  1: Pool pool,
  2: string method,
  3: string target,
  4: binary body,
  5: list<Header> headers,
  6: string correlationId,
  // Microseconds since 1970.
  7: i64 deadlineMicros,
  8: string shareKey,
  9: i32 attempts,
  10: i32 depth,
  // Forwards so far, this one included.
  11: i32 hops,
  // Set if the sender's pool gave the call up to this one.
  12: bool handedOver,
}

struct ForwardedAnswer {
  1: string outcome,
  2: i32 status,
  3: list<Header> headers,
  4: binary body,
}

service Peer {
  ForwardedAnswer forward(1: ForwardedCall call),
  oneway void queueing(1: Pool pool, 2: bool isQueueing),
  oneway void askPull(1: Pool origin, 2: Pool target, 3: i32 freeSlots),
}
