#ifndef HYSSOPCROSS_CATALOGUE_INFORCE_H
#define HYSSOPCROSS_CATALOGUE_INFORCE_H

#include "hyssopcross/base/Clock.h"
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hyssopcross::catalogue {

/// The version that a VM has confirmed, and when this VM learned that it rose.
struct SeenVersion {
  uint64_t m_Version = 0;
  TimePoint m_At;
};

/// Which live entry VM has which version. Owned by the host; not thread-safe.
struct InForceState {
  std::set<std::string> m_Live;
  std::map<std::string, SeenVersion> m_Seen;
  /// Where the next versionsToPass() to a receiver starts, for VMs of which a
  /// new version was learned lately and for the others.
  std::map<std::string, std::string> m_RecentCursors;
  std::map<std::string, std::string> m_Cursors;
};

/// The version of one VM, as told on.
struct VmVersion {
  std::string m_Vm;
  uint64_t m_Version = 0;
};

/// Sets the live entry VMs; forgets the others.
void setLive(InForceState &State, std::set<std::string> Live);

/// A VM has restarted: it may have a lower version than before.
void forgetVm(InForceState &State, const std::string &Vm);

/// Learns a VM's version, from itself or passed on. A lower version than known
/// is ignored: versions only rise on a VM.
void observe(InForceState &State, const VmVersion &Seen, TimePoint Now);

/// Up to Max versions to pass on in the next heartbeat to a receiver: of those
/// that rose lately first, then of the others, each in turn. So all VMs learn
/// all versions without a message from all to all.
std::vector<VmVersion> versionsToPass(InForceState &State,
                                      const std::string &Receiver, size_t Max,
                                      TimePoint Now);

/// Where a version stands.
struct InForceStatus {
  bool m_InForce = false;
  std::vector<VmVersion> m_Confirmed;
  /// Live VMs with a lower version, or zero if none is known of.
  std::vector<VmVersion> m_Missing;
};

/// Tells which live VMs have the version or a later one. It is in force if all
/// have and there is at least one.
InForceStatus inForce(const InForceState &State, uint64_t Version);

} // namespace hyssopcross::catalogue

#endif
