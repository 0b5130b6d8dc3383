#include "Context.h"
#include <algorithm>

namespace hyssopcross::membership {

namespace {

/// Merges an entry about this VM that another VM has forwarded.
void mergeOwnEntry(Context &Step, const DigestEntry &Entry) {
  MembershipState &State = Step.m_State;
  uint64_t Seen = Entry.m_Info.m_Incarnation;
  if (Seen < State.m_Self.m_Incarnation)
    return;
  if (Seen > State.m_Self.m_Incarnation) {
    State.m_Self.m_Incarnation = Seen + 1;
    State.m_TopologyStale = true;
    Step.m_Actions.emplace_back(IncarnationRaised{Seen + 1});
    Step.m_ViewChanged = true;
    return;
  }
  if (Entry.m_Status == VmStatus::Leaving && !State.m_Leaving) {
    State.m_Leaving = true;
    State.m_TopologyStale = true;
    Step.m_ViewChanged = true;
  }
  bool ReportedDown =
      Entry.m_Status == VmStatus::Suspect || Entry.m_Status == VmStatus::Dead;
  if (!ReportedDown || !State.m_Policy.m_RefuteSuspicion)
    return;
  State.m_Counter = std::max(State.m_Counter, Entry.m_Counter) + 1;
}

void addMember(Context &Step, const DigestEntry &Entry) {
  MembershipState &State = Step.m_State;
  Member &Known = State.m_Members[Entry.m_Info.m_Name];
  Known.m_Info = Entry.m_Info;
  Known.m_Counter = Entry.m_Counter;
  Known.m_HeardAt = Step.m_Now;
  State.m_DataCentres.try_emplace(Entry.m_Info.m_DataCentre,
                                  DataCentreState{0, Step.m_Now});
  setStatus(Step, Known, Entry.m_Status);
}

/// Forwards the local entry again if it is newer than a received suspicion or
/// death.
void resendNewerEntry(Context &Step, Member &Known, const DigestEntry &Entry) {
  bool ReportedDown =
      Entry.m_Status == VmStatus::Suspect || Entry.m_Status == VmStatus::Dead;
  if (ReportedDown && Known.m_Status == VmStatus::Alive &&
      Known.m_Counter > Entry.m_Counter)
    Known.m_ForwardsLeft = Step.m_State.m_Policy.m_ForwardsPerChange;
}

VmStatus mergedStatus(const MembershipState &State, const Member &Known,
                      VmStatus ReportedStatus) {
  bool Sticky = State.m_Policy.m_KeepLeaving &&
                Known.m_Status == VmStatus::Leaving &&
                ReportedStatus != VmStatus::Dead;
  return Sticky ? VmStatus::Leaving : ReportedStatus;
}

void mergeSameIncarnation(Context &Step, Member &Known,
                          const DigestEntry &Entry) {
  bool Newer = Entry.m_Counter > Known.m_Counter;
  bool Worse =
      Entry.m_Counter == Known.m_Counter && Entry.m_Status > Known.m_Status;
  if (!Newer && !Worse) {
    resendNewerEntry(Step, Known, Entry);
    return;
  }
  Known.m_Counter = Entry.m_Counter;
  Known.m_ChangedAt = Step.m_Now;
  VmStatus Status = mergedStatus(Step.m_State, Known, Entry.m_Status);
  if (Status != Known.m_Status)
    setStatus(Step, Known, Status);
}

void replaceIncarnation(Context &Step, Member &Known,
                        const DigestEntry &Entry) {
  Known.m_Info = Entry.m_Info;
  Known.m_Counter = Entry.m_Counter;
  Known.m_HeardAt = Step.m_Now;
  setStatus(Step, Known, Entry.m_Status);
}

void mergeBeats(Context &Step, const std::vector<DataCentreBeat> &Beats) {
  for (const DataCentreBeat &Beat : Beats) {
    auto [Known, Added] = Step.m_State.m_DataCentres.try_emplace(
        Beat.m_DataCentre, DataCentreState{0, Step.m_Now});
    if (Added)
      Step.m_State.m_TopologyStale = true;
    if (Beat.m_Beat <= Known->second.m_Beat)
      continue;
    Known->second = {Beat.m_Beat, Step.m_Now};
  }
}

} // namespace

void setStatus(Context &Step, Member &Known, VmStatus Status) {
  Known.m_Status = Status;
  Known.m_ChangedAt = Step.m_Now;
  bool PassOn = Step.m_State.m_Policy.m_ForwardChanges;
  Known.m_ForwardsLeft = PassOn ? Step.m_State.m_Policy.m_ForwardsPerChange : 0;
  Step.m_State.m_TopologyStale = true;
  Step.m_ViewChanged = true;
}

void mergeEntry(Context &Step, const DigestEntry &Entry) {
  MembershipState &State = Step.m_State;
  if (Entry.m_Info.m_Name == State.m_Self.m_Name) {
    mergeOwnEntry(Step, Entry);
    return;
  }
  auto Found = State.m_Members.find(Entry.m_Info.m_Name);
  if (Found == State.m_Members.end()) {
    // Don't add a dead VM again after it was removed.
    if (Entry.m_Status != VmStatus::Dead)
      addMember(Step, Entry);
    return;
  }
  Member &Known = Found->second;
  uint64_t Incarnation = Known.m_Info.m_Incarnation;
  if (Entry.m_Info.m_Incarnation > Incarnation)
    replaceIncarnation(Step, Known, Entry);
  else if (Entry.m_Info.m_Incarnation == Incarnation ||
           !State.m_Policy.m_IgnoreOldIncarnations)
    mergeSameIncarnation(Step, Known, Entry);
}

void mergeHeartbeat(Context &Step, const Heartbeat &Message) {
  MembershipState &State = Step.m_State;
  if (Message.m_From.m_Name == State.m_Self.m_Name)
    return;
  VmStatus Status = Message.m_Leaving ? VmStatus::Leaving : VmStatus::Alive;
  mergeEntry(Step, {Message.m_From, Message.m_Counter, Status});
  Member &Known = State.m_Members.at(Message.m_From.m_Name);
  if (Known.m_Info.m_Incarnation != Message.m_From.m_Incarnation)
    return;
  Known.m_HeardAt = std::max(Known.m_HeardAt, Step.m_Now);
  Known.m_ViewDiffers = Message.m_ViewHash != State.m_ViewHash;
  mergeBeats(Step, Message.m_Beats);
  for (const DigestEntry &Entry : Message.m_Entries)
    mergeEntry(Step, Entry);
  // A heartbeat that arrives right after a freeze may have been queued before
  // it.
  if (Step.m_Now >= State.m_FrozenUntil + State.m_Policy.m_Interval &&
      !State.m_Fresh) {
    State.m_Fresh = true;
    Step.m_ViewChanged = true;
  }
}

} // namespace hyssopcross::membership
