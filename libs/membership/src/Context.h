#ifndef HYSSOPCROSS_MEMBERSHIP_CONTEXT_H
#define HYSSOPCROSS_MEMBERSHIP_CONTEXT_H

#include "hyssopcross/membership/Membership.h"

namespace hyssopcross::membership {

/// The state, time and output of one step.
struct Context {
  MembershipState &m_State;
  TimePoint m_Now;
  std::vector<Action> &m_Actions;
  bool m_ViewChanged = false;
};

/// Whether a member is alive or suspect, that is, neither leaving nor dead.
inline bool isPresent(const Member &Known) {
  return Known.m_Status == VmStatus::Alive ||
         Known.m_Status == VmStatus::Suspect;
}

// Topology.cpp

/// Recomputes the neighbours, watched members, relayed data centres, pollers
/// and view hash if they are out of date.
void refreshTopology(Context &Step);

/// The member of another data centre to which a relay sends its next heartbeat;
/// null if no present member is known.
const Member *relayTarget(const MembershipState &State,
                          const std::string &DataCentre);

/// The VMs that poll the platform on behalf of the local data centre.
std::vector<std::string> pollers(const MembershipState &State);

// Merge.cpp

/// Merges an entry about a VM, sent by that VM or by another one.
void mergeEntry(Context &Step, const DigestEntry &Entry);

void mergeHeartbeat(Context &Step, const Heartbeat &Message);

/// Changes a member's status and schedules the change to be forwarded.
void setStatus(Context &Step, Member &Known, VmStatus Status);

// Expiry.cpp

/// Restarts the silence timers and marks the view as not fresh if the time
/// since the last step shows that the process was frozen.
void detectFreeze(Context &Step);

/// Updates the status of silent members and data centres and removes dead
/// members.
void expire(Context &Step);

// Digest.cpp

/// Sends the heartbeats of one interval.
void sendHeartbeats(Context &Step);

// ListSync.cpp

void applyList(Context &Step, const std::vector<store::VmRecord> &Records);
void answerListRequest(Context &Step, const VmListRequest &Request);
void applyListAnswer(Context &Step, const VmListAnswer &Answer);
/// Polls the platform or asks a poller if the poll interval has passed.
void refreshList(Context &Step);

} // namespace hyssopcross::membership

#endif
