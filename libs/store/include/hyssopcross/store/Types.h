#ifndef HYSSOPCROSS_STORE_TYPES_H
#define HYSSOPCROSS_STORE_TYPES_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssopcross::store {

/// A row of the platform's transactional table. The version changes with every
/// write of the row and is never zero.
struct Row {
  std::string m_Value;
  uint64_t m_Version = 0;
};

/// One write of a transaction. It takes effect only if the row still has the
/// expected version, where zero stands for an absent row. No value deletes
/// the row.
struct Write {
  std::string m_Key;
  uint64_t m_ExpectedVersion = 0;
  std::optional<std::string> m_Value;
};

/// How a transaction ended. An answer that was lost is not among these; it is
/// an error with the code Unknown.
enum class CommitResult { Committed, Conflict };

/// What a VM of the platform's list is for.
enum class VmRole { Entry, Backend };

/// What the platform's list says about a VM. The list lags.
enum class VmState { Live, Leaving };

/// A VM of the platform's list. Backend servers name their service; the
/// address is the one they serve requests on, and for entry VMs the one they
/// serve callers on.
struct VmRecord {
  std::string m_Name;
  VmRole m_Role = VmRole::Entry;
  VmState m_State = VmState::Live;
  std::string m_DataCentre;
  std::string m_Address;
  std::string m_PeerAddress;
  std::string m_Service;

  friend bool operator==(const VmRecord &, const VmRecord &) = default;
};

} // namespace hyssopcross::store

#endif
