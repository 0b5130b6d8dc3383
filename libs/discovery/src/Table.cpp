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

std::vector<Row> applyChanges(Table &Copy, const RowBatch &Batch) {
  std::vector<Row> Changed;
  for (const Row &Each : Batch.m_Rows) {
    if (Each.m_Version <= Copy.m_UpToVersion)
      continue;
    Changed.push_back(Each);
    Copy.m_LastChangeVersion =
        std::max(Copy.m_LastChangeVersion, Each.m_Version);
    if (Each.m_Removed) {
      Copy.m_Rows.erase(Each.m_Key);
      recordRemoval(Copy, Each);
      continue;
    }
    Copy.m_Removed.erase(Each.m_Key);
    Copy.m_Rows[Each.m_Key] = Each;
  }
  return Changed;
}

std::vector<Row> applySnapshot(Table &Copy, const RowBatch &Batch) {
  std::vector<Row> Changed;
  std::map<std::string, Row, std::less<>> Rows;
  for (const Row &Each : Batch.m_Rows) {
    auto Known = Copy.m_Rows.find(Each.m_Key);
    if (Known == Copy.m_Rows.end() || Known->second.m_Version != Each.m_Version)
      Changed.push_back(Each);
    Rows[Each.m_Key] = Each;
  }
  for (auto &[Key, Known] : Copy.m_Rows)
    if (!Rows.count(Key)) {
      Row Removal{Key, {}, Batch.m_UpToVersion, true};
      Changed.push_back(Removal);
      recordRemoval(Copy, Removal);
    }
  // Rows that were added and removed between the copy's version and the
  // snapshot leave no tombstone, so removals before the snapshot are unknown.
  Copy.m_RemovalsKnownFrom =
      std::max(Copy.m_RemovalsKnownFrom, Batch.m_UpToVersion);
  Copy.m_LastChangeVersion = Batch.m_UpToVersion;
  Copy.m_Rows = std::move(Rows);
  return Changed;
}

} // namespace

std::vector<Row> applyBatch(Table &Copy, const RowBatch &Batch, uint64_t After,
                            TimePoint Now) {
  bool IsOutdated = Batch.m_UpToVersion < Copy.m_UpToVersion;
  bool HasGap =
      !Batch.m_IsSnapshot && (!Copy.m_IsComplete || After > Copy.m_UpToVersion);
  if (IsOutdated || HasGap)
    return {};
  std::vector<Row> Changed = Batch.m_IsSnapshot ? applySnapshot(Copy, Batch)
                                                : applyChanges(Copy, Batch);
  Copy.m_UpToVersion = Batch.m_UpToVersion;
  Copy.m_IsComplete = true;
  Copy.m_ConfirmedAt = Now;
  return Changed;
}

ForwardedRows rowsToForward(const RowBatch &Response, uint64_t ChangedBefore) {
  // The copy may already be newer than the response. Rows that it received from
  // peers in the meantime are not part of the response, so the forwarded batch
  // must not claim the version of the copy.
  return {ChangedBefore, Response};
}

RowBatch changesAfter(const Table &Copy, uint64_t After) {
  RowBatch Batch;
  Batch.m_UpToVersion = Copy.m_UpToVersion;
  Batch.m_IsSnapshot = After < Copy.m_RemovalsKnownFrom || After == 0;
  for (const auto &[Key, Each] : Copy.m_Rows)
    if (Batch.m_IsSnapshot || Each.m_Version > After)
      Batch.m_Rows.push_back(Each);
  if (!Batch.m_IsSnapshot)
    for (const auto &[Key, Each] : Copy.m_Removed)
      if (Each.m_Version > After)
        Batch.m_Rows.push_back(Each);
  std::sort(
      Batch.m_Rows.begin(), Batch.m_Rows.end(),
      [](const Row &A, const Row &B) { return A.m_Version < B.m_Version; });
  return Batch;
}

} // namespace hyssopcross::discovery
