#ifndef HYSSOPCROSS_DISCOVERY_TABLE_H
#define HYSSOPCROSS_DISCOVERY_TABLE_H

#include "hyssopcross/base/Clock.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross::discovery {

/// A row of a followed table, or the news that it was removed.
struct Row {
  std::string m_Key;
  std::string m_Value;
  /// Version of the transaction that wrote or removed it.
  uint64_t m_Version = 0;
  bool m_Removed = false;
};

/// Rows as a source gave them.
struct RowBatch {
  std::vector<Row> m_Rows;
  /// Everything up to this version is included.
  uint64_t m_UpToVersion = 0;
  /// All rows of the table, not only what changed.
  bool m_IsSnapshot = false;
  /// More rows follow after the last one.
  bool m_HasMore = false;
};

/// A local copy of one table, fed by any number of sources. It holds
/// everything up to m_UpToVersion and never goes back.
struct Table {
  std::map<std::string, Row, std::less<>> m_Rows;
  /// Removed rows, for those who follow this copy.
  std::map<std::string, Row, std::less<>> m_Removed;
  /// Removals before this version are no longer known.
  uint64_t m_RemovalsKnownFrom = 0;
  uint64_t m_UpToVersion = 0;
  /// No row changed between this version and m_UpToVersion. Versions count the
  /// transactions of all tables, so m_UpToVersion grows while this table stands
  /// still.
  uint64_t m_LastChangeVersion = 0;
  bool m_IsComplete = false;
  /// When a source last confirmed the copy.
  TimePoint m_ConfirmedAt{};
};

/// Removed rows that a copy remembers.
inline constexpr size_t MaxRemovedRows = 512;

/// Takes in a batch that covers everything after the version After, or all
/// rows. Returns the rows that are new here, in order; an outdated batch
/// changes nothing.
std::vector<Row> applyBatch(Table &Copy, const RowBatch &Batch, uint64_t After,
                            TimePoint Now);

/// Rows that one copy passes on to others.
struct ForwardedRows {
  /// The batch is complete for a copy that holds everything up to here.
  uint64_t m_After = 0;
  RowBatch m_Batch;
};

/// What a copy passes on of a source's answer. ChangedBefore is the version of
/// the newest change that it knew when it asked. Rows that it has learned from
/// others meanwhile are passed on too: this makes up for lost messages.
ForwardedRows rowsToForward(const RowBatch &Answer, uint64_t ChangedBefore);

/// What a follower that holds everything up to After has missed; a snapshot if
/// that is no longer known.
RowBatch changesAfter(const Table &Copy, uint64_t After);

} // namespace hyssopcross::discovery

#endif
