#ifndef HYSSOPCROSS_DISCOVERY_TABLE_H
#define HYSSOPCROSS_DISCOVERY_TABLE_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/discovery/Revision.h"
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
  /// The batch includes all changes up to this revision. The versions of its
  /// rows belong to the same era.
  Revision m_UpTo;
  /// The batch contains all rows of the table, not only the changed ones.
  bool m_IsSnapshot = false;
  /// Further pages follow after the last row.
  bool m_HasMore = false;
};

/// A local replica of one table, updated from any number of sources. It
/// includes all changes up to m_UpTo, which never decreases. The versions of
/// its rows and tombstones belong to the era of m_UpTo.
struct Table {
  std::map<std::string, Row, std::less<>> m_Rows;
  /// Tombstones of removed rows, for followers of this copy.
  std::map<std::string, Row, std::less<>> m_Removed;
  /// Tombstones of removals up to this version may be missing.
  uint64_t m_RemovalsKnownFrom = 0;
  Revision m_UpTo;
  /// No row changed between this revision and m_UpTo. Versions count the
  /// transactions of all tables, so m_UpTo also increases while this table is
  /// unchanged.
  Revision m_LastChange;
  bool m_IsComplete = false;
  /// Time at which a source last confirmed that the copy is current.
  TimePoint m_ConfirmedAt{};
};

/// Maximum number of tombstones that a copy retains.
inline constexpr size_t MaxRemovedRows = 512;

/// A row that changed in a copy.
struct Change {
  Row m_Row;
  /// The change came with the snapshot that begins a new era, and undoes what
  /// the copy knew. The row is either new, or as it was before a change that
  /// the store has lost and that is about to be written again.
  bool m_MayBeOutdated = false;
};

/// Applies a snapshot, or a batch of all changes after the revision After.
/// Returns the rows that changed in the copy, in order. A batch that is
/// outdated, or that leaves a gap after the copy, has no effect; changes of
/// another era than the copy's always leave a gap.
std::vector<Change> applyBatch(Table &Copy, const RowBatch &Batch,
                               Revision After, TimePoint Now);

/// Rows that a follower forwards to its peers.
struct ForwardedRows {
  /// The batch is complete for a copy that includes all changes up to this
  /// revision.
  Revision m_After;
  RowBatch m_Batch;
};

/// Returns the rows of a source's response to forward to peers. ChangedBefore
/// is the revision of the newest change that the copy included when the request
/// was sent. Rows of the response that peers have delivered in the meantime are
/// forwarded too, which compensates for lost messages.
ForwardedRows rowsToForward(const RowBatch &Response, Revision ChangedBefore);

/// Returns the changes that a follower at the revision After lacks, or a
/// snapshot if its version is zero, it is of another era, or required
/// tombstones may be missing.
RowBatch changesAfter(const Table &Copy, Revision After);

} // namespace hyssopcross::discovery

#endif
