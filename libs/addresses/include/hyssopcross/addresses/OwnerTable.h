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

/// One pool's owner, as passed on in heartbeats. An empty owner means that the
/// last one has released the pool.
struct OwnerEntry {
  PoolId m_Pool;
  std::string m_Owner;
  uint64_t m_Epoch = 0;
};

/// What is known of a pool's owner.
struct OwnerRecord {
  std::string m_Owner;
  uint64_t m_Epoch = 0;
  /// When this owner was first learned here.
  TimePoint m_UpdatedAt;
  /// Times that it is still to be sent on as a recent change.
  uint32_t m_SendsLeft = 0;
};

/// The owners of all pools, merged from this VM's leases and the digests of
/// others. Changed only by the functions below; not thread-safe.
struct OwnerTable {
  std::map<PoolId, OwnerRecord> m_Owners;
  /// Where the rotating part of the next digest starts.
  PoolId m_Cursor;
};

/// Takes in what another VM or the own lease says. The higher epoch wins; an
/// equal or lower one changes nothing. True if the owner has changed.
bool mergeOwner(OwnerTable &Table, const OwnerEntry &Entry, TimePoint Now);

/// The entries for the next heartbeat: recent changes, then a rotating part of
/// the rest, within ByteBudget bytes of encodedSize().
std::vector<OwnerEntry> nextOwnerDigest(OwnerTable &Table, size_t ByteBudget);

/// Forgets the pools that are not among Kept.
void retainPools(OwnerTable &Table, const std::set<PoolId> &Kept);

/// The size of an entry in the encoding that membership/Messages.h describes.
size_t encodedSize(const OwnerEntry &Entry);

} // namespace hyssopcross::addresses

#endif
