// Datagrams between entry VMs. The generated code is committed under generated;
// tools/generate-thrift makes it anew. Names are short on purpose only on the
// wire, where the compact protocol sends numbers.
namespace cpp hyssopcross.fleet.wire

// An entry VM as it describes itself.
struct Vm {
  1: string name,
  2: string host,
  3: string dataCentre,
  // Microseconds since 1970 at its start.
  4: i64 incarnation,
  // Has a configuration and takes callers.
  5: bool ready,
  6: bool leaving,
  // Thousandths of a core that the process may use.
  7: i32 milliCores,
}

// A row of a table that is followed in the store, or the news of its removal.
struct Row {
  1: string key,
  2: binary value,
  3: i64 version,
  4: bool removed,
}

// Rows of one table.
struct Rows {
  // Order of discovery's followed tables.
  1: i8 table,
  // Complete for a receiver that holds everything up to this version.
  2: i64 after,
  // Everything up to this version is included.
  3: i64 at,
  4: list<Row> rows,
  // All rows of the table.
  5: bool snapshot,
}

// How far a VM follows the store itself.
struct Following {
  1: bool storeAnswers,
  // Version of the newest change known in each table.
  2: list<i64> versions,
  // Since the store last answered the sender.
  3: optional i32 confirmedAgeMillis,
}

// What a health check of a backend server told.
struct Report {
  1: i32 server,
  // Order of dispatch::LoadReport::Health.
  2: i8 health,
  3: i16 running,
  4: i16 waiting,
  5: i16 slowdownPercent,
  6: optional i32 coldMillis,
  // Of the server, if it has said in an answer that it leaves.
  7: optional i64 leavingIncarnation,
  // For so long the sender tells at once if the speed changes.
  8: optional i16 holdsMillis,
}

// Requests that the sender has in flight at a backend server.
struct InFlight {
  1: i32 server,
  2: i16 count,
  // Attempts of the sender that ended since it last told: well, and with a
  // failure or a refusal.
  3: optional i16 succeeded,
  4: optional i16 failed,
  // Of the last answer: requests at the server when its request began, itself
  // included, and its service time over the usual one at the server's speed.
  5: optional i16 beganBeside,
  6: optional i16 stretchPercent,
}

// An entry VM as the relays of its data centre describe it.
struct Member {
  1: string host,
  2: i64 incarnation,
  3: bool ready,
  4: bool leaving,
  5: i32 milliCores,
  // Since the sender last heard it.
  6: i32 silenceMillis,
}

// The living VMs of a data centre.
struct Digest {
  1: string dataCentre,
  2: list<Member> members,
  // A few of them, for a first contact.
  3: optional bool partial,
}

struct Datagram {
  1: i32 sender,
  2: i64 incarnation,
  // Grows with each datagram of an incarnation.
  3: i64 sequence,
  4: optional Vm description,
  // Set in a first greeting: the receiver answers with its own description.
  5: optional bool greeting,
  6: optional list<Report> reports,
  7: optional list<InFlight> inFlight,
  // Hosts of other VMs that the sender knows.
  8: optional list<string> known,
  9: optional Following following,
  10: optional list<Rows> rows,
  11: optional list<Digest> digests,
}
