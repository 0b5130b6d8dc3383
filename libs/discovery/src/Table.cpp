#include "hyssopcross/discovery/Table.h"
#include <algorithm>

namespace hyssopcross::discovery {

namespace {

void recordRemoval(Table &Copy, const Row &Removal) {
  Copy.m_Removed[Removal.m_Key] = Removal;
  while (Copy.m_Removed.size() > MaxRemovedRows) {
    auto Oldest =
        std::min_element(Copy.m_Removed.begin(), Copy.m_Removed.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.m_Version < B.second.m_Version;
                         });
    Copy.m_RemovalsKnownFrom =
        std::max(Copy.m_RemovalsKnownFrom, Oldest->second.m_Version);
    Copy.m_Removed.erase(Oldest);
  }
}

std::vector<Change> applyChanges(Table &Copy, const RowBatch &Batch) {
  std::vector<Change> Changes;
  for (const Row &Each : Batch.m_Rows) {
    if (Each.m_Version <= Copy.m_UpTo.m_Version)
      continue;
    Changes.push_back({Each});
    Copy.m_LastChange.m_Version =
        std::max(Copy.m_LastChange.m_Version, Each.m_Version);
    if (Each.m_Removed) {
      Copy.m_Rows.erase(Each.m_Key);
      recordRemoval(Copy, Each);
      continue;
    }
    Copy.m_Removed.erase(Each.m_Key);
    Copy.m_Rows[Each.m_Key] = Each;
  }
  return Changes;
}

/// Whether a row of a snapshot differs from the copy. Versions of different
/// eras cannot be compared, so a row that was written again is known by its
/// value.
bool isChange(const Table &Copy, const Row &Received, bool IsNewEra) {
  auto Known = Copy.m_Rows.find(Received.m_Key);
  if (Known == Copy.m_Rows.end())
    return true;
  return IsNewEra ? Known->second.m_Value != Received.m_Value
                  : Known->second.m_Version != Received.m_Version;
}

std::vector<Change> applySnapshot(Table &Copy, const RowBatch &Batch) {
  bool IsNewEra = Copy.m_IsComplete && Batch.m_UpTo.m_Era > Copy.m_UpTo.m_Era;
  std::vector<Change> Changes;
  std::map<std::string, Row, std::less<>> Rows;
  for (const Row &Each : Batch.m_Rows) {
    bool WasKnown =
        Copy.m_Rows.count(Each.m_Key) || Copy.m_Removed.count(Each.m_Key);
    if (isChange(Copy, Each, IsNewEra))
      Changes.push_back({Each, IsNewEra && WasKnown});
    Rows[Each.m_Key] = Each;
  }
  // Tombstones of another era do not tell followers of this one anything.
  if (IsNewEra)
    Copy.m_Removed.clear();
  for (auto &[Key, Known] : Copy.m_Rows)
    if (!Rows.count(Key)) {
      Row Removal{Key, {}, Batch.m_UpTo.m_Version, true};
      Changes.push_back({Removal, IsNewEra});
      recordRemoval(Copy, Removal);
    }
  // Rows that were added and removed between the copy's version and the
  // snapshot leave no tombstone, so removals before the snapshot are unknown.
  Copy.m_RemovalsKnownFrom =
      IsNewEra ? Batch.m_UpTo.m_Version
               : std::max(Copy.m_RemovalsKnownFrom, Batch.m_UpTo.m_Version);
  Copy.m_LastChange = Batch.m_UpTo;
  Copy.m_Rows = std::move(Rows);
  return Changes;
}

} // namespace

std::vector<Change> applyBatch(Table &Copy, const RowBatch &Batch,
                               Revision After, TimePoint Now) {
  bool IsOutdated = Batch.m_UpTo < Copy.m_UpTo;
  bool HasGap =
      !Batch.m_IsSnapshot &&
      (!Copy.m_IsComplete || Batch.m_UpTo.m_Era != Copy.m_UpTo.m_Era ||
       After.m_Era != Copy.m_UpTo.m_Era || After > Copy.m_UpTo);
  if (IsOutdated || HasGap)
    return {};
  std::vector<Change> Changes = Batch.m_IsSnapshot ? applySnapshot(Copy, Batch)
                                                   : applyChanges(Copy, Batch);
  Copy.m_UpTo = Batch.m_UpTo;
  Copy.m_IsComplete = true;
  Copy.m_ConfirmedAt = Now;
  return Changes;
}

ForwardedRows rowsToForward(const RowBatch &Response, Revision ChangedBefore) {
  // The copy may already be newer than the response. Rows that it received from
  // peers in the meantime are not part of the response, so the forwarded batch
  // must not claim the revision of the copy.
  return {ChangedBefore, Response};
}

RowBatch changesAfter(const Table &Copy, Revision After) {
  RowBatch Batch;
  Batch.m_UpTo = Copy.m_UpTo;
  Batch.m_IsSnapshot = After.m_Era != Copy.m_UpTo.m_Era ||
                       After.m_Version < Copy.m_RemovalsKnownFrom ||
                       After.m_Version == 0;
  for (const auto &[Key, Each] : Copy.m_Rows)
    if (Batch.m_IsSnapshot || Each.m_Version > After.m_Version)
      Batch.m_Rows.push_back(Each);
  if (!Batch.m_IsSnapshot)
    for (const auto &[Key, Each] : Copy.m_Removed)
      if (Each.m_Version > After.m_Version)
        Batch.m_Rows.push_back(Each);
  std::sort(
      Batch.m_Rows.begin(), Batch.m_Rows.end(),
      [](const Row &A, const Row &B) { return A.m_Version < B.m_Version; });
  return Batch;
}

} // namespace hyssopcross::discovery
