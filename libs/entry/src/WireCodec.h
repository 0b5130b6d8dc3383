#ifndef HYSSOPCROSS_ENTRY_WIRECODEC_H
#define HYSSOPCROSS_ENTRY_WIRECODEC_H

#include "hyssopcross/balancing/Events.h"
#include "hyssopcross/base/Error.h"
#include "hyssopcross/entry/HeartbeatBundle.h"
#include "hyssopcross/ownership/Messages.h"
#include "peer_types.h"

namespace hyssopcross::entry {

// Translation between the slices' messages and their form on the wire. Reading
// fails with Protocol on values outside their enumerations and on counts that
// are negative: a negative version, epoch or incarnation would turn into one
// that counts as newer than all others.

/// Fails with Protocol if a count is negative.
Result<void> checkCounts(std::initializer_list<int64_t> Counts);

peer::wire::Pool toWire(const balancing::PoolId &Pool);
balancing::PoolId fromWire(const peer::wire::Pool &Pool);

std::vector<peer::wire::ServerDigest>
toWire(const std::vector<balancing::ServerDigest> &Digest);
Result<std::vector<balancing::ServerDigest>>
fromWire(const std::vector<peer::wire::ServerDigest> &Servers);

peer::wire::Heartbeat toWire(const HeartbeatBundle &Bundle);
Result<HeartbeatBundle> fromWire(const peer::wire::Heartbeat &Message);

peer::wire::VmListRequest toWire(const membership::VmListRequest &Message);
membership::VmListRequest fromWire(const peer::wire::VmListRequest &Message);

peer::wire::VmListAnswer toWire(const membership::VmListAnswer &Message);
Result<membership::VmListAnswer>
fromWire(const peer::wire::VmListAnswer &Message);

peer::wire::OwnershipMessage toWire(const ownership::Message &Message);
Result<ownership::Message>
fromWire(const peer::wire::OwnershipMessage &Message);

} // namespace hyssopcross::entry

#endif
