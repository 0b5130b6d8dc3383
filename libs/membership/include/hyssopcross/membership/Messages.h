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
  /// Where it serves callers, host:port.
  std::string m_Address;
  /// Where it serves other entry VMs, host:port.
  std::string m_PeerAddress;

  friend bool operator==(const VmInfo &, const VmInfo &) = default;
};

/// Whether an entry VM can be relied on.
enum class VmStatus {
  Alive,
  /// Silent for the detection time, or in a data centre that is not heard.
  Suspect,
  /// It has said goodbye or the platform's list calls it leaving. Sticky for
  /// its incarnation.
  Leaving,
  /// Silent for the detection time and the suspicion time.
  Dead,
};

/// The stable lower-case name of a status, as it appears in logs and JSON.
const char *vmStatusName(VmStatus Status);

/// What is passed on about one VM. Of two entries the one of the higher
/// incarnation wins, then the one of the higher counter, then the later
/// status in the order of VmStatus.
struct DigestEntry {
  VmInfo m_Info;
  /// The last heartbeat counter known of it.
  uint64_t m_Counter = 0;
  VmStatus m_Status = VmStatus::Alive;
};

/// How often a data centre has been heard: a count that any live VM of it
/// keeps growing, once per heartbeat interval.
struct DataCentreBeat {
  std::string m_DataCentre;
  uint64_t m_Beat = 0;
};

/// Sent to a few neighbours in each heartbeat interval. The host may attach
/// digests of other slices to the same message.
struct Heartbeat {
  VmInfo m_From;
  uint64_t m_Counter = 0;
  /// The sender stops; its status is Leaving from now on.
  bool m_Leaving = false;
  /// Hash over names, incarnations and statuses that the sender knows.
  uint64_t m_ViewHash = 0;
  std::vector<DataCentreBeat> m_Beats;
  /// Recent changes first, then a rotating part of the rest if the receiver's
  /// last view hash differed.
  std::vector<DigestEntry> m_Entries;
};

/// Asks a poller of the own data centre for the platform's list.
struct VmListRequest {
  std::string m_From;
  /// Hash of the list that the sender has; zero for none.
  uint64_t m_Hash = 0;
};

/// The records of the data centre, or none if they are those that the request
/// names.
struct VmListAnswer {
  std::string m_From;
  uint64_t m_Hash = 0;
  std::optional<std::vector<store::VmRecord>> m_Records;
};

/// The size of a message in bytes as the Thrift compact protocol encodes it:
/// for each field one byte of header; a string takes its length and one byte
/// for it, a status or flag none, a count, an incarnation or a hash as many
/// groups of seven bits as it needs; a list one byte, or two from fifteen
/// elements; a structure one byte for its end. Framing and transport headers
/// are not included.
size_t encodedSize(const VmInfo &Info);
size_t encodedSize(const DigestEntry &Entry);
size_t encodedSize(const DataCentreBeat &Beat);
size_t encodedSize(const Heartbeat &Message);
size_t encodedSize(const VmListRequest &Message);
size_t encodedSize(const VmListAnswer &Message);

} // namespace hyssopcross::membership

#endif
