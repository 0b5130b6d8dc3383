#ifndef HYSSOPCROSS_CLAIMS_CLAIMROW_H
#define HYSSOPCROSS_CLAIMS_CLAIMROW_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Error.h"
#include "hyssopcross/claims/Events.h"

namespace hyssopcross::claims {

/// What a claim row says about its request.
enum class RowState {
  /// It may have run; there is no result.
  Claimed,
  /// It ran; the answer is in the row or in the object store.
  Done,
  /// It did not run under this attempt and will not; may be claimed anew.
  Released,
};

/// The value of a claim row.
struct ClaimRow {
  std::string m_Digest;
  std::string m_Attempt;
  WallTime m_Deadline;
  RowState m_State = RowState::Claimed;
  /// Set for Done; the body is empty if it is in the object store.
  RecordedAnswer m_Answer;
  std::string m_ObjectKey;
};

/// Writes a row's value as JSON.
std::string writeRow(const ClaimRow &Row);

/// Reads a row's value; fails with Protocol.
Result<ClaimRow> readRow(std::string_view Value);

/// Whether a text can stand in a JSON string unchanged.
bool isUtf8(const std::string &Text);

} // namespace hyssopcross::claims

#endif
