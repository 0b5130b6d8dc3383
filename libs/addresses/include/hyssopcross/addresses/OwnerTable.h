#ifndef HYSSOPCROSS_ADDRESSES_OWNERTABLE_H
#define HYSSOPCROSS_ADDRESSES_OWNERTABLE_H

#include "hyssopcross/balancing/Events.h"
#include "hyssopcross/base/Clock.h"
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hyssopcross::addresses {

using balancing::PoolId;

/// The owner of one pool, as propagated in heartbeats. An empty owner means
/// that the previous owner has released the pool.
struct OwnerEntry {
  PoolId m_Pool;
  std::string m_Owner;
  uint64_t m_Epoch = 0;
};

/// The most recent owner information for a pool.
struct OwnerRecord {
  std::string m_Owner;
  uint64_t m_Epoch = 0;
  /// When this VM accepted this epoch.
  TimePoint m_UpdatedAt;
  /// How many more digests include this record as a recent change.
  uint32_t m_SendsLeft = 0;
};

/// The owners of all pools, merged from this VM's leases and the digests of
/// other VMs. Modified only by the functions below. Not thread-safe.
struct OwnerTable {
  std::map<PoolId, OwnerRecord> m_Owners;
  /// The rotating part of the next digest starts after this pool.
  PoolId m_Cursor;
};

/// Merges an entry from another VM or from this VM's own lease. The higher
/// epoch wins; an entry with an equal or lower epoch is ignored. Returns true
/// if the owner has changed.
bool mergeOwner(OwnerTable &Table, const OwnerEntry &Entry, TimePoint Now);

/// Returns the entries for the next heartbeat: recent changes first, then a
/// rotating subset of the remaining entries. Their total encodedSize() does not
/// exceed ByteBudget.
std::vector<OwnerEntry> nextOwnerDigest(OwnerTable &Table, size_t ByteBudget);

/// Removes all pools that are not in Kept.
void retainPools(OwnerTable &Table, const std::set<PoolId> &Kept);

/// Returns the size of an entry in bytes, in the encoding described in
/// membership/Messages.h.
size_t encodedSize(const OwnerEntry &Entry);

} // namespace hyssopcross::addresses

#endif
