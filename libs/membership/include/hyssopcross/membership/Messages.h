#ifndef HYSSOPCROSS_MEMBERSHIP_MESSAGES_H
#define HYSSOPCROSS_MEMBERSHIP_MESSAGES_H

#include "hyssopcross/store/Types.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssopcross::membership {

/// An entry VM as it describes itself.
struct VmInfo {
  std::string m_Name;
  /// Identifies one run of the process and grows from run to run. The host
  /// takes it from the calendar clock at start, in microseconds.
  uint64_t m_Incarnation = 0;
  std::string m_DataCentre;
  std::string m_Region;
  /// Address for callers, host:port.
  std::string m_Address;
  /// Address for other entry VMs, host:port.
  std::string m_PeerAddress;

  friend bool operator==(const VmInfo &, const VmInfo &) = default;
};

/// The availability of an entry VM.
enum class VmStatus {
  Alive,
  /// No heartbeat for the detection time, or in an unreachable data centre.
  Suspect,
  /// It has announced its shutdown, or the platform's list marks it as leaving.
  /// It stays in this status, unless it dies, until a new incarnation appears.
  Leaving,
  /// No heartbeat for the detection time plus the suspicion time.
  Dead,
};

/// The stable lower-case name of a status, as it appears in logs and JSON.
const char *vmStatusName(VmStatus Status);

/// Gossiped information about one VM. Of two entries, the one with the higher
/// incarnation takes precedence, then the one with the higher counter, then the
/// one whose status comes later in VmStatus.
struct DigestEntry {
  VmInfo m_Info;
  /// The last known heartbeat counter of the VM.
  uint64_t m_Counter = 0;
  VmStatus m_Status = VmStatus::Alive;
};

/// The heartbeat count of a data centre. Any live VM of the data centre
/// increments it once per heartbeat interval.
struct DataCentreBeat {
  std::string m_DataCentre;
  uint64_t m_Beat = 0;
};

/// Sent to a few neighbours in each heartbeat interval. The host may attach
/// digests of other slices to the same message.
struct Heartbeat {
  VmInfo m_From;
  uint64_t m_Counter = 0;
  /// The sender is shutting down; its status is Leaving from now on.
  bool m_Leaving = false;
  /// Hash over the names and incarnations of the VMs that the sender knows and
  /// does not consider dead, and over which of them are leaving.
  uint64_t m_ViewHash = 0;
  std::vector<DataCentreBeat> m_Beats;
  /// Recent changes first, then a rotating part of the remaining members if the
  /// receiver's last view hash differed.
  std::vector<DigestEntry> m_Entries;
};

/// Asks a poller of the same data centre for the platform's list.
struct VmListRequest {
  std::string m_From;
  /// Hash of the list that the sender has; zero for none.
  uint64_t m_Hash = 0;
};

/// The list's records for the data centre, or none if their hash equals the one
/// in the request.
struct VmListAnswer {
  std::string m_From;
  uint64_t m_Hash = 0;
  std::optional<std::vector<store::VmRecord>> m_Records;
};

/// The size of a message in bytes in the Thrift compact protocol. Each field
/// has a header of one byte. A string adds its length and a varint for the
/// length, a status one byte, a flag nothing, a count, an incarnation or a hash
/// a varint; a list adds one byte, or more from fifteen elements; a structure
/// ends with one byte. Framing and transport headers are not included.
size_t encodedSize(const VmInfo &Info);
size_t encodedSize(const DigestEntry &Entry);
size_t encodedSize(const DataCentreBeat &Beat);
size_t encodedSize(const Heartbeat &Message);
size_t encodedSize(const VmListRequest &Message);
size_t encodedSize(const VmListAnswer &Message);

} // namespace hyssopcross::membership

#endif
