#ifndef HYSSOPCROSS_CATALOGUE_EDITOR_H
#define HYSSOPCROSS_CATALOGUE_EDITOR_H

#include "hyssopcross/catalogue/Diff.h"
#include "hyssopcross/records/Store.h"
#include <variant>

namespace hyssopcross::catalogue {

/// The rows of the platform's table that hold the catalogue. A version row
/// never changes; the head row names the current version; a change row tells
/// which version a change became. One transaction writes all three.
std::string versionRowKey(uint64_t Version);
std::string changeRowKey(std::string_view ChangeId);
inline constexpr const char *HeadRowKey = "catalogue/head";

/// An accepted version with the change that made it.
struct VersionRecord {
  std::string m_ChangeId;
  /// Who changed it, as the operator named themself; may be empty.
  std::string m_Author;
  WallTime m_At;
  Catalogue m_Catalogue;
};

/// Writes and reads the values of the rows; reading fails with Protocol.
std::string writeVersionRow(const VersionRecord &Record);
Result<VersionRecord> readVersionRow(std::string_view Value);
std::string writeHeadRow(uint64_t Version);
Result<uint64_t> readHeadRow(std::string_view Value);

/// Sets whether a data centre is in service.
struct SetDataCentre {
  std::string m_Name;
  bool m_InService = true;
};

/// Sets whether a VM is taken out of service.
struct SetVm {
  std::string m_Name;
  bool m_Out = false;
};

/// Replaces the whole document that the operator read as version Base; zero if
/// there was none. What differs between the two is the change.
struct ReplaceDocument {
  uint64_t m_Base = 0;
  Catalogue m_Proposed;
};

using Edit = std::variant<ReplaceDocument, SetDataCentre, SetVm>;

/// A change that an operator asks for. The same change id stands for the same
/// change for good; asking again gives the same result.
struct ChangeRequest {
  std::string m_ChangeId;
  std::string m_Author;
  Edit m_Edit;
};

/// How a change ended.
enum class ChangeEnd {
  /// It is committed and will not be lost.
  Accepted,
  /// It is not and will not be: the same entry was changed by another.
  Conflict,
  /// It is not and will not be: it does not fit the current version.
  Invalid,
  /// It is not and will not be: the store was not reached.
  NotAccepted,
  /// It may have been committed; ask again with the same change id.
  Unknown,
};

/// The final result of a change.
struct ChangeResult {
  ChangeEnd m_End = ChangeEnd::Accepted;
  /// The version it became if accepted, else the current one if known.
  uint64_t m_Version = 0;
  std::string m_Message;
  /// The new version if accepted by this run, else the current one if known.
  std::optional<VersionRecord> m_Record;
};

/// Settings of the decisions. The bool fields switch a mechanism off; only
/// tests set them.
struct EditorPolicy {
  /// Rounds of read and commit before the change ends as Unknown or
  /// NotAccepted.
  uint32_t m_MaxRounds = 20;
  /// Pause before a request to the store that failed is tried again.
  Duration m_RetryPause = std::chrono::milliseconds(100);

  bool m_ReadBackLostCommits = true;
  bool m_CheckHeadVersion = true;
  bool m_RebaseEdits = true;
};

/// What the editor waits for.
enum class EditorPhase {
  ReadingChange,
  ReadingAccepted,
  ReadingHead,
  ReadingCurrent,
  ReadingBase,
  Committing,
  Done,
};

/// One change on its way. Owned by the host, changed only by the functions
/// below. One request to the store is outstanding at a time.
struct EditorState {
  EditorState(ChangeRequest Request, EditorPolicy Policy)
      : m_Change(std::move(Request)), m_Policy(Policy) {}

  ChangeRequest m_Change;
  EditorPolicy m_Policy;
  EditorPhase m_Phase = EditorPhase::ReadingChange;
  records::RequestId m_Request = 0;
  uint32_t m_Round = 0;
  /// A commit may have taken effect, or may still do so.
  bool m_MayExist = false;
  /// The version of the head row that such a commit expected. While the head
  /// row keeps it, the commit may still take effect.
  uint64_t m_UnresolvedHead = 0;
  /// The version that the change row named.
  uint64_t m_AcceptedVersion = 0;
  uint64_t m_HeadRowVersion = 0;
  std::optional<VersionRecord> m_Current;
  uint64_t m_HeadVersion = 0;
  /// What the operator saw, and what they want instead.
  std::optional<Catalogue> m_Base;
  std::optional<Catalogue> m_Proposed;
  std::optional<VersionRecord> m_Next;
};

/// Wait this long and call editorWoke().
struct EditorPause {
  Duration m_For{};
};

using EditorAction = std::variant<records::ReadRow, records::CommitRows,
                                  EditorPause, ChangeResult>;

/// Starts the change. Each function returns the one action that follows: a
/// request to the store, a pause, or the result, which ends the change.
EditorAction startEditor(EditorState &State, const records::Instant &Now);
EditorAction step(EditorState &State, const records::RowRead &Event,
                  const records::Instant &Now);
EditorAction step(EditorState &State, const records::CommitEnded &Event,
                  const records::Instant &Now);
EditorAction editorWoke(EditorState &State, const records::Instant &Now);

/// Ends a change between two requests, because the time for it is up.
ChangeResult stopEditor(EditorState &State);

} // namespace hyssopcross::catalogue

#endif
