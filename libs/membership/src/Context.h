#ifndef HYSSOPCROSS_MEMBERSHIP_CONTEXT_H
#define HYSSOPCROSS_MEMBERSHIP_CONTEXT_H

#include "hyssopcross/membership/Membership.h"

namespace hyssopcross::membership {

/// The state, instant and output of one step.
struct Context {
  MembershipState &m_State;
  TimePoint m_Now;
  std::vector<Action> &m_Actions;
  bool m_ViewChanged = false;
};

/// Whether a member still takes part, as far as this VM knows.
inline bool isPresent(const Member &Known) {
  return Known.m_Status == VmStatus::Alive ||
         Known.m_Status == VmStatus::Suspect;
}

// Topology.cpp

/// Works out neighbours, watched members, relayed data centres and the view
/// hash anew.
void refreshTopology(Context &Step);

/// The member of another data centre that a relay writes to now; none if none
/// is known.
const Member *relayTarget(const MembershipState &State,
                          const std::string &DataCentre);

/// The VMs that poll the platform for the own data centre.
std::vector<std::string> pollers(const MembershipState &State);

// Merge.cpp

/// Takes in what is said about a VM, by itself or by others.
void mergeEntry(Context &Step, const DigestEntry &Entry);

/// Takes in a heartbeat.
void mergeHeartbeat(Context &Step, const Heartbeat &Message);

/// Changes a member's status and passes it on.
void setStatus(Context &Step, Member &Known, VmStatus Status);

// Expiry.cpp

/// Reacts to a freeze of this process, if the step shows one.
void detectFreeze(Context &Step);

/// Marks silent members and data centres, and forgets dead members.
void expire(Context &Step);

// Digest.cpp

/// Sends the heartbeats of one interval.
void sendHeartbeats(Context &Step);

// ListSync.cpp

void applyList(Context &Step, const std::vector<store::VmRecord> &Records);
void answerListRequest(Context &Step, const VmListRequest &Request);
void applyListAnswer(Context &Step, const VmListAnswer &Answer);
/// Polls the platform or asks a poller, when it is time.
void refreshList(Context &Step);

} // namespace hyssopcross::membership

#endif
