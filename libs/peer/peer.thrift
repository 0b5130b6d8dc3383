// Messages between entry VMs. The generated code is committed under generated;
// tools/generate-thrift makes it anew.
namespace cpp hyssopcross.peer.wire

struct Pool {
  1: string serviceName,
  2: string dataCentre,
}

// An entry VM as it describes itself.
struct Vm {
  1: string name,
  2: i64 incarnation,
  3: string dataCentre,
  4: string region,
  5: string address,
  6: string peerAddress,
}

struct VmEntry {
  1: Vm vm,
  2: i64 counter,
  // Order of membership::VmStatus.
  3: i8 status,
}

struct Beat {
  1: string dataCentre,
  2: i64 beat,
}

struct Owner {
  1: Pool pool,
  2: string owner,
  3: i64 epoch,
}

struct VmVersion {
  1: string vm,
  2: i64 version,
}

// What an owner knows of a backend server.
struct ServerDigest {
  1: string server,
  2: string bootId,
  3: bool warm,
  4: bool leaving,
  5: i32 limit,
  6: i32 inFlight,
}

struct PoolDigest {
  1: Pool pool,
  2: list<ServerDigest> servers,
}

struct Heartbeat {
  1: Vm sender,
  2: i64 counter,
  3: bool leaving,
  4: i64 viewHash,
  5: list<Beat> beats,
  6: list<VmEntry> entries,
  7: list<Owner> owners,
  8: list<VmVersion> versions,
}

struct VmRecord {
  1: string name,
  // Order of store::VmRole and store::VmState.
  2: i8 role,
  3: i8 state,
  4: string dataCentre,
  5: string address,
  6: string peerAddress,
  7: string serviceName,
}

struct VmListRequest {
  1: string sender,
  2: i64 hash,
}

struct VmListAnswer {
  1: string sender,
  2: i64 hash,
  3: optional list<VmRecord> records,
}

struct PoolEpoch {
  1: Pool pool,
  2: i64 epoch,
}

struct PromiseRequest {
  1: string sender,
  2: i64 incarnation,
  3: i64 round,
  4: list<PoolEpoch> pools,
}

struct PromiseAnswer {
  1: string sender,
  2: i64 incarnation,
  3: i64 round,
  4: list<PoolEpoch> granted,
}

struct HandOverOffer {
  1: string sender,
  2: i64 incarnation,
  3: Pool pool,
  4: i64 epoch,
  5: list<ServerDigest> digest,
}

struct HandOverAnswer {
  1: string sender,
  2: i64 incarnation,
  3: Pool pool,
  4: i64 epoch,
  5: bool accepted,
}

struct HandOverReleased {
  1: string sender,
  2: Pool pool,
  3: i64 epoch,
}

struct HandOverConfirmed {
  1: string sender,
  2: Pool pool,
  3: i64 epoch,
}

union OwnershipMessage {
  1: PromiseRequest promiseRequest,
  2: PromiseAnswer promiseAnswer,
  3: HandOverOffer offer,
  4: HandOverAnswer offerAnswer,
  5: HandOverReleased released,
  6: HandOverConfirmed confirmed,
}

service Peer {
  oneway void heartbeat(1: Heartbeat message),
  oneway void requestVmList(1: VmListRequest message),
  oneway void answerVmList(1: VmListAnswer message),
  oneway void ownership(1: OwnershipMessage message),
  oneway void announceCatalogue(1: string sender, 2: i64 version),
  // The sender's catalogue as JSON; empty if it has none.
  string fetchCatalogue(),
  // Pools for which the receiver is the sender's successor.
  oneway void poolDigests(1: list<PoolDigest> digests),
  oneway void queueing(1: Pool pool, 2: bool isQueueing),
  oneway void askPull(1: Pool origin, 2: Pool target, 3: i32 freeSlots),
}
