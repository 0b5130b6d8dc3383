#ifndef HYSSOPCROSS_ENTRY_HEARTBEATBUNDLE_H
#define HYSSOPCROSS_ENTRY_HEARTBEATBUNDLE_H

#include "hyssopcross/addresses/OwnerTable.h"
#include "hyssopcross/catalogue/InForce.h"
#include "hyssopcross/membership/Messages.h"

namespace hyssopcross::entry {

/// What one heartbeat between entry VMs carries, over all slices.
struct HeartbeatBundle {
  membership::Heartbeat m_Heartbeat;
  std::vector<addresses::OwnerEntry> m_Owners;
  std::vector<catalogue::VmVersion> m_Versions;
};

} // namespace hyssopcross::entry

#endif
