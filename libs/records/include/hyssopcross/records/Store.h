#ifndef HYSSOPCROSS_RECORDS_STORE_H
#define HYSSOPCROSS_RECORDS_STORE_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/store/Types.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssopcross::records {

/// The current instant on both clocks, as the decision code receives it.
struct Instant {
  TimePoint m_Now;
  WallTime m_Wall;
};

/// Identifies a request to the store within one state machine. The machine
/// assigns it and does not reuse it.
using RequestId = uint64_t;

// Actions: what a state machine asks of the store. The host answers each with
// the event named beside it, once, in any order.

/// Read a row. Answered with RowRead.
struct ReadRow {
  RequestId m_Request = 0;
  std::string m_Key;
};

/// Read the rows under a prefix. Answered with RowsScanned.
struct ScanRows {
  RequestId m_Request = 0;
  std::string m_Prefix;
  size_t m_Limit = 0;
};

/// Apply all writes or none. Answered with CommitEnded.
struct CommitRows {
  RequestId m_Request = 0;
  std::vector<store::Write> m_Writes;
};

/// Store an object. Answered with ObjectEnded.
struct PutObject {
  RequestId m_Request = 0;
  std::string m_Key;
  std::string m_Body;
};

/// Read an object. Answered with ObjectEnded.
struct GetObject {
  RequestId m_Request = 0;
  std::string m_Key;
};

/// Remove an object, as far as possible. Not answered.
struct RemoveObject {
  std::string m_Key;
};

// Events: how the store answered.

/// A read was answered, or failed because the store was not reached.
struct RowRead {
  RequestId m_Request = 0;
  bool m_Reached = true;
  std::optional<store::Row> m_Row;
};

/// A scan was answered, or failed because the store was not reached.
struct RowsScanned {
  RequestId m_Request = 0;
  bool m_Reached = true;
  std::map<std::string, store::Row> m_Rows;
};

/// How a transaction ended, as far as it is known.
enum class CommitEnd {
  Committed,
  /// A row did not have the expected version; nothing took effect.
  Conflict,
  /// Nothing took effect and nothing will.
  Unavailable,
  /// It may have taken effect, or may still do so.
  Unknown,
};

/// A transaction has ended.
struct CommitEnded {
  RequestId m_Request = 0;
  CommitEnd m_End = CommitEnd::Committed;
};

/// How a request to the object store ended.
enum class ObjectEnd { Done, NotFound, Failed };

/// A request to the object store has ended; a read that is done has a body.
struct ObjectEnded {
  RequestId m_Request = 0;
  ObjectEnd m_End = ObjectEnd::Done;
  std::string m_Body;
};

} // namespace hyssopcross::records

#endif
