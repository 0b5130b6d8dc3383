// Datagrams between entry VMs. The generated code is committed in generated/;
// run tools/generate-thrift to regenerate it. The compact protocol sends field
// numbers instead of names, so the length of a name does not matter.
namespace cpp hyssopcross.fleet.wire

// An entry VM as it describes itself.
struct Vm {
  1: string name,
  2: string host,
  3: string dataCentre,
  // Start time of the VM in microseconds since 1970.
  4: i64 incarnation,
  // Has a configuration and accepts callers.
  5: bool ready,
  6: bool leaving,
  // CPU allowance of the process, in thousandths of a core.
  7: i32 milliCores,
}

// A row of a table followed in the store, or a record of its removal.
struct Row {
  1: string key,
  2: binary value,
  3: i64 version,
  4: bool removed,
}

// Rows of one table.
struct Rows {
  // Index in the order of discovery's followed tables.
  1: i8 table,
  // Complete for a receiver that holds everything up to this version.
  2: i64 after,
  // Everything up to this version is included.
  3: i64 at,
  4: list<Row> rows,
  // Whether these are all rows of the table.
  5: bool snapshot,
  // Era of all versions here; absent if it is not known.
  6: optional i64 era,
}

// Progress of a VM that follows the store itself.
struct Following {
  1: bool storeAnswers,
  // Version of the newest change known in each table.
  2: list<i64> versions,
  // Time since the store last responded to the sender.
  3: optional i32 confirmedAgeMillis,
  // Era of each of these versions, in the same order; a missing one is not
  // known.
  4: optional list<i64> eras,
}

// Result of a health check of a backend server.
struct Report {
  1: i32 server,
  // Index in the order of dispatch::LoadReport::Health.
  2: i8 health,
  3: i16 running,
  4: i16 waiting,
  5: i16 slowdownPercent,
  6: optional i32 coldMillis,
  // Incarnation of the server if one of its responses announced that it is
  // leaving.
  7: optional i64 leavingIncarnation,
  // Period in which the sender reports a change of speed immediately.
  8: optional i16 holdsMillis,
  // Set if the server is unreachable because nothing listens at its address.
  9: optional bool ended,
}

// Number of requests that the sender has in flight at a backend server.
struct InFlight {
  1: i32 server,
  2: i16 count,
  // Attempts of the sender that ended since its last report: successful ones,
  // and those that failed or were refused.
  3: optional i16 succeeded,
  4: optional i16 failed,
  // From the last response: the number of requests at the server when its
  // request began, including itself, and its service time relative to the usual
  // one at the speed of the server.
  5: optional i16 beganBeside,
  6: optional i16 stretchPercent,
  // Requests that the sender has sent since it started while the server named a
  // request limit.
  7: optional i32 limitedSends,
}

// How many requests a backend server takes from all VMs together, as it last
// named in a response.
struct RequestLimit {
  // The whole id: the receiver may not have the server in its list yet.
  1: string server,
  2: i64 incarnation,
  // Absent if it no longer names a limit.
  3: optional double perSecond,
  // Time since the response.
  4: i32 ageMillis,
}

// An entry VM as described by the relays of its data centre.
struct Member {
  1: string host,
  2: i64 incarnation,
  3: bool ready,
  4: bool leaving,
  5: i32 milliCores,
  // Time since the sender last heard from it.
  6: i32 silenceMillis,
}

// The live VMs of a data centre.
struct Digest {
  1: string dataCentre,
  2: list<Member> members,
  // Set if only a few are listed, as initial contacts.
  3: optional bool partial,
}

// A backend server that has announced in a response that it is leaving.
struct Leaving {
  // The whole id: the receiver may not have the server in its list.
  1: string server,
  2: i64 incarnation,
}

// A backend server that crashed with a request in progress.
struct Crash {
  1: string server,
  2: i64 incarnation,
  // Time since the crash.
  3: i32 ageMillis,
}

// A request that was in progress when servers crashed.
struct Suspect {
  // Fingerprint of the request.
  1: i64 request,
  2: list<Crash> crashes,
  // Time since a server last completed it; absent if none did.
  3: optional i32 completedAgeMillis,
}

// In a datagram for all VMs that its sender sends to few VMs of another data
// centre. Without an origin: the receiver must pass it on to the live VMs of its
// own data centre. With an origin: it has been passed on, by the sender of the
// datagram, and is not passed on again.
struct PassOn {
  // Address of the VM that the content comes from.
  1: optional string origin,
  // Incarnation of that VM, and sequence of its datagram.
  2: optional i64 incarnation,
  3: optional i64 sequence,
}

// Asks for a token of an organisation's quota, or for a permission to grant
// them.
struct QuotaAsk {
  1: i64 id,
  2: string organisation,
  // Key of the VM that asks; others may forward the ask.
  3: i32 origin,
  // Index in the order of quota::Purpose.
  4: i8 purpose,
  // How often the ask has been forwarded.
  5: optional i8 hops,
}

// Answers a QuotaAsk.
struct QuotaGrant {
  1: i64 id,
  2: i32 origin,
  3: bool granted,
  4: optional i32 retryAfterMillis,
  // Set in the answer to a request for a permission, with the times below.
  5: optional string permit,
  // Time since another VM last had the permission, and since the VM that has it
  // last changed before.
  6: optional i32 otherAgeMillis,
  7: optional i32 changeAgeMillis,
}

// Ended attempts of the sender at the servers of one side of a roll-out, on one
// route. All numbers are totals since the sender began to count.
struct RolloutRoute {
  // Hash of the route's name.
  1: i32 route,
  // At servers of another version than the ordered one.
  2: bool old,
  3: i32 answers,
  4: i32 failures,
  // Answers with a known expected time, and the sum and the sum of squares of
  // the logarithm of time taken over expected time.
  5: i32 timed,
  6: double logSum,
  7: double logSquares,
}

// What the sender has counted of the roll-out of a service.
struct RolloutCounts {
  1: string serviceName,
  2: string version,
  // Time since the order, as far as the sender knows.
  3: i32 ageMillis,
  // Requests for the service, and attempts sent to the ordered version.
  4: i32 received,
  5: i32 sent,
  // Attempts in flight at servers of other versions.
  6: i32 oldInFlight,
  // Last step that the sender applies.
  7: i32 step,
  8: list<RolloutRoute> routes,
}

// Step or outcome of the roll-out of a service.
struct RolloutVerdict {
  1: string serviceName,
  2: string version,
  // Index in the order of rollout::State.
  3: i8 state,
  4: i32 step,
  // Share of the requests that goes to the ordered version.
  5: i16 sharePermille,
  6: i32 ageMillis,
  // The store holds this outcome.
  7: optional bool stored,
}

struct Datagram {
  1: i32 sender,
  2: i64 incarnation,
  // Increases with each datagram of an incarnation.
  3: i64 sequence,
  4: optional Vm description,
  // Set in an initial greeting: the receiver responds with its own description.
  5: optional bool greeting,
  6: optional list<Report> reports,
  7: optional list<InFlight> inFlight,
  // Hosts of other VMs known to the sender.
  8: optional list<string> known,
  9: optional Following following,
  10: optional list<Rows> rows,
  11: optional list<Digest> digests,
  12: optional list<RequestLimit> limits,
  13: optional list<Leaving> leaving,
  14: optional list<Suspect> suspects,
  15: optional list<QuotaAsk> quotaAsks,
  16: optional list<QuotaGrant> quotaGrants,
  19: optional PassOn passOn,
  17: optional list<RolloutCounts> rolloutCounts,
  18: optional list<RolloutVerdict> rolloutVerdicts,
}
