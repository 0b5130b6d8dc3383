#ifndef HYSSOPCROSS_DISCOVERY_TABLE_H
#define HYSSOPCROSS_DISCOVERY_TABLE_H

#include "hyssopcross/base/Clock.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross::discovery {

/// A row of a replicated table, or a tombstone if the row was removed.
struct Row {
  std::string m_Key;
  std::string m_Value;
  /// Version of the transaction that wrote or removed the row.
  uint64_t m_Version = 0;
  bool m_Removed = false;
};

/// Rows received from a source.
struct RowBatch {
  std::vector<Row> m_Rows;
  /// The batch includes all changes up to this version.
  uint64_t m_UpToVersion = 0;
  /// The batch contains all rows of the table, not only the changed ones.
  bool m_IsSnapshot = false;
  /// Further pages follow after the last row.
  bool m_HasMore = false;
};

/// A local replica of one table, updated from any number of sources. It
/// includes all changes up to m_UpToVersion, which never decreases.
struct Table {
  std::map<std::string, Row, std::less<>> m_Rows;
  /// Tombstones of removed rows, for followers of this copy.
  std::map<std::string, Row, std::less<>> m_Removed;
  /// Tombstones of removals up to this version may be missing.
  uint64_t m_RemovalsKnownFrom = 0;
  uint64_t m_UpToVersion = 0;
  /// No row changed between this version and m_UpToVersion. Versions count the
  /// transactions of all tables, so m_UpToVersion also increases while this
  /// table is unchanged.
  uint64_t m_LastChangeVersion = 0;
  bool m_IsComplete = false;
  /// Time at which a source last confirmed that the copy is current.
  TimePoint m_ConfirmedAt{};
};

/// Maximum number of tombstones that a copy retains.
inline constexpr size_t MaxRemovedRows = 512;

/// Applies a snapshot, or a batch of all changes after the version After.
/// Returns the rows that changed in the copy, in order. A batch that is
/// outdated, or that leaves a gap after the copy, has no effect.
std::vector<Row> applyBatch(Table &Copy, const RowBatch &Batch, uint64_t After,
                            TimePoint Now);

/// Rows that a follower forwards to its peers.
struct ForwardedRows {
  /// The batch is complete for a copy that includes all changes up to this
  /// version.
  uint64_t m_After = 0;
  RowBatch m_Batch;
};

/// Returns the rows of a source's response to forward to peers. ChangedBefore
/// is the version of the newest change that the copy included when the request
/// was sent. Rows of the response that peers have delivered in the meantime are
/// forwarded too, which compensates for lost messages.
ForwardedRows rowsToForward(const RowBatch &Response, uint64_t ChangedBefore);

/// Returns the changes that a follower at the version After lacks, or a
/// snapshot if After is zero or required tombstones may be missing.
RowBatch changesAfter(const Table &Copy, uint64_t After);

} // namespace hyssopcross::discovery

#endif
