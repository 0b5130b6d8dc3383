#include "hyssopcross/addresses/OwnerTable.h"
#include "hyssopcross/base/Invariant.h"
#include "hyssopcross/membership/Encoding.h"
#include <algorithm>

namespace hyssopcross::addresses {

namespace {

/// Number of digests in which a VM includes a change as recent.
constexpr uint32_t ChangeSendCount = 6;

/// A digest that is being built.
struct DigestBuilder {
  std::vector<OwnerEntry> m_Entries;
  std::set<PoolId> m_AddedPools;
  size_t m_BytesLeft = 0;
};

bool addEntry(DigestBuilder &Builder, const PoolId &Pool,
              const OwnerRecord &Record) {
  OwnerEntry Entry{Pool, Record.m_Owner, Record.m_Epoch};
  size_t Size = encodedSize(Entry);
  if (Size > Builder.m_BytesLeft)
    return false;
  Builder.m_BytesLeft -= Size;
  Builder.m_AddedPools.insert(Pool);
  Builder.m_Entries.push_back(std::move(Entry));
  return true;
}

/// Adds recent changes, those sent the fewest times first.
void addRecentChanges(OwnerTable &Table, DigestBuilder &Builder) {
  std::vector<std::pair<const PoolId *, OwnerRecord *>> Changed;
  for (auto &[Pool, Record] : Table.m_Owners)
    if (Record.m_SendsLeft != 0)
      Changed.emplace_back(&Pool, &Record);
  std::stable_sort(Changed.begin(), Changed.end(),
                   [](const auto &A, const auto &B) {
                     return A.second->m_SendsLeft > B.second->m_SendsLeft;
                   });
  for (auto [Pool, Record] : Changed) {
    if (!addEntry(Builder, *Pool, *Record))
      return;
    --Record->m_SendsLeft;
  }
}

/// Adds other entries in pool order, starting after the last one of the
/// previous digest, so that successive digests rotate through the table.
void addRotatingEntries(OwnerTable &Table, DigestBuilder &Builder) {
  auto It = Table.m_Owners.upper_bound(Table.m_Cursor);
  for (size_t Count = Table.m_Owners.size(); Count != 0; --Count, ++It) {
    if (It == Table.m_Owners.end())
      It = Table.m_Owners.begin();
    if (!Builder.m_AddedPools.contains(It->first) &&
        !addEntry(Builder, It->first, It->second))
      return;
    Table.m_Cursor = It->first;
  }
}

} // namespace

bool mergeOwner(OwnerTable &Table, const OwnerEntry &Entry, TimePoint Now) {
  auto [Found, Added] = Table.m_Owners.try_emplace(Entry.m_Pool);
  OwnerRecord &Stored = Found->second;
  if (!Added && Entry.m_Epoch <= Stored.m_Epoch)
    return false;
  HYSSOPCROSS_INVARIANT(Added || Entry.m_Epoch > Stored.m_Epoch,
                        "the epoch of a recorded owner must only increase");
  bool Changed = Added || Entry.m_Owner != Stored.m_Owner;
  Stored = {Entry.m_Owner, Entry.m_Epoch, Now, ChangeSendCount};
  return Changed;
}

std::vector<OwnerEntry> nextOwnerDigest(OwnerTable &Table, size_t ByteBudget) {
  DigestBuilder Builder;
  Builder.m_BytesLeft = ByteBudget;
  addRecentChanges(Table, Builder);
  addRotatingEntries(Table, Builder);
  return std::move(Builder.m_Entries);
}

void retainPools(OwnerTable &Table, const std::set<PoolId> &Kept) {
  std::erase_if(Table.m_Owners, [&Kept](const auto &Entry) {
    return !Kept.contains(Entry.first);
  });
}

size_t encodedSize(const OwnerEntry &Entry) {
  using namespace membership;
  return StructField + stringField(Entry.m_Pool.m_Service) +
         stringField(Entry.m_Pool.m_DataCentre) + StructEnd +
         stringField(Entry.m_Owner) + integerField(Entry.m_Epoch) + StructEnd;
}

} // namespace hyssopcross::addresses
