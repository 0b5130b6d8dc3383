#include "Context.h"

namespace hyssopcross::membership {

namespace {

/// VMs that do not watch a suspect VM multiply the suspicion time by this
/// factor before they mark it dead, because a refutation takes longer to reach
/// them.
constexpr int UnwatchedFactor = 4;

/// Timeouts are checked this many times per interval rather than on each event.
constexpr int ExpiriesPerInterval = 4;

void expireWatched(Context &Step, Member &Known) {
  const MembershipPolicy &Policy = Step.m_State.m_Policy;
  Duration Silence = Step.m_Now - Known.m_HeardAt;
  if (Known.m_Status == VmStatus::Alive && Silence > Policy.m_DetectionTime)
    setStatus(Step, Known, VmStatus::Suspect);
}

void expireSuspect(Context &Step, Member &Known, bool Watched) {
  Duration Timeout = Step.m_State.m_Policy.m_SuspicionTime;
  if (!Watched)
    Timeout *= UnwatchedFactor;
  if (Step.m_Now - Known.m_ChangedAt > Timeout)
    setStatus(Step, Known, VmStatus::Dead);
}

/// A leaving VM is no longer on the rings, so no VM watches it. Its Leaving
/// status already keeps traffic away, so the longer m_ForgetAfter is
/// sufficient.
void expireLeaving(Context &Step, Member &Known) {
  TimePoint Last = std::max(Known.m_ChangedAt, Known.m_HeardAt);
  if (Step.m_Now - Last > Step.m_State.m_Policy.m_ForgetAfter)
    setStatus(Step, Known, VmStatus::Dead);
}

/// Marks a VM of an unreachable data centre dead if the list no longer contains
/// it.
void expireUnlisted(Context &Step, Member &Known) {
  const MembershipState &State = Step.m_State;
  auto Centre = State.m_DataCentres.find(Known.m_Info.m_DataCentre);
  if (Centre == State.m_DataCentres.end() || State.m_ListedVms.empty() ||
      State.m_ListedVms.contains(Known.m_Info.m_Name))
    return;
  Duration Silence = Step.m_Now - Centre->second.m_HeardAt;
  if (Silence > State.m_Policy.m_ForgetAfter)
    setStatus(Step, Known, VmStatus::Dead);
}

void expireMember(Context &Step, Member &Known) {
  MembershipState &State = Step.m_State;
  bool Watched = State.m_Watched.contains(Known.m_Info.m_Name);
  if (Watched)
    expireWatched(Step, Known);
  if (Known.m_Status == VmStatus::Suspect)
    expireSuspect(Step, Known, Watched);
  if (Known.m_Status == VmStatus::Leaving)
    expireLeaving(Step, Known);
  if (isPresent(Known) &&
      State.m_UnreachableDataCentres.contains(Known.m_Info.m_DataCentre))
    expireUnlisted(Step, Known);
}

void expireDataCentres(Context &Step) {
  MembershipState &State = Step.m_State;
  std::set<std::string> Silent;
  for (const auto &[Name, Known] : State.m_DataCentres)
    if (Name != State.m_Self.m_DataCentre &&
        Step.m_Now - Known.m_HeardAt > State.m_Policy.m_DataCentreSilence)
      Silent.insert(Name);
  if (Silent == State.m_UnreachableDataCentres)
    return;
  State.m_UnreachableDataCentres = std::move(Silent);
  Step.m_ViewChanged = true;
}

void forgetDead(Context &Step) {
  MembershipState &State = Step.m_State;
  if (!State.m_Policy.m_ForgetDead)
    return;
  TimePoint Bound = Step.m_Now - State.m_Policy.m_ForgetAfter;
  std::set<std::string> UsedDataCentres{State.m_Self.m_DataCentre};
  for (auto It = State.m_Members.begin(); It != State.m_Members.end();) {
    const Member &Known = It->second;
    bool Forget = Known.m_Status == VmStatus::Dead && Known.m_ChangedAt < Bound;
    if (!Forget)
      UsedDataCentres.insert(Known.m_Info.m_DataCentre);
    Step.m_ViewChanged = Step.m_ViewChanged || Forget;
    It = Forget ? State.m_Members.erase(It) : std::next(It);
  }
  size_t Forgotten =
      std::erase_if(State.m_DataCentres, [&](const auto &Centre) {
        return !UsedDataCentres.contains(Centre.first) &&
               Centre.second.m_HeardAt < Bound;
      });
  State.m_TopologyStale = State.m_TopologyStale || Forgotten != 0;
}

} // namespace

void detectFreeze(Context &Step) {
  MembershipState &State = Step.m_State;
  Duration Gap = Step.m_Now - State.m_LastStep;
  State.m_LastStep = Step.m_Now;
  if (Gap < State.m_Policy.m_FreezeGap || !State.m_Policy.m_DetectOwnFreeze)
    return;
  for (auto &[Name, Known] : State.m_Members) {
    Known.m_HeardAt = std::max(Known.m_HeardAt, Step.m_Now);
    if (Known.m_Status == VmStatus::Suspect)
      Known.m_ChangedAt = Step.m_Now;
  }
  for (auto &[Name, Centre] : State.m_DataCentres)
    Centre.m_HeardAt = Step.m_Now;
  State.m_Fresh = false;
  State.m_FrozenUntil = Step.m_Now;
  State.m_NextListPoll = Step.m_Now;
  Step.m_ViewChanged = true;
}

void expire(Context &Step) {
  if (Step.m_Now < Step.m_State.m_NextExpiry)
    return;
  Step.m_State.m_NextExpiry =
      Step.m_Now + Step.m_State.m_Policy.m_Interval / ExpiriesPerInterval;
  expireDataCentres(Step);
  for (auto &[Name, Known] : Step.m_State.m_Members)
    expireMember(Step, Known);
  forgetDead(Step);
  std::erase_if(Step.m_State.m_FormerNeighbours, [&Step](const auto &Entry) {
    return Entry.second <= Step.m_Now;
  });
}

} // namespace hyssopcross::membership
