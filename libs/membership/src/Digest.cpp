#include "Context.h"
#include <algorithm>

namespace hyssopcross::membership {

namespace {

/// Maximum number of other data centres' heartbeat counts in one heartbeat.
constexpr size_t MaxBeatsPerHeartbeat = 6;

/// Unused byte credit accumulates over at most this many intervals.
constexpr int64_t CreditIntervals = 3;

/// Maximum number of entries in the rotating part of a digest.
constexpr size_t MaxRotationEntries = 8;

/// A receiver of this interval's heartbeats.
struct Target {
  std::string m_Name;
  std::string m_PeerAddress;
  /// The view hash in its last heartbeat equalled the local one.
  bool m_ViewMatches = false;
};

int64_t creditPerInterval(const MembershipPolicy &Policy) {
  std::chrono::duration<double> Seconds = Policy.m_Interval;
  return static_cast<int64_t>(Policy.m_BytesPerSecond * Seconds.count());
}

void addTarget(std::vector<Target> &Targets, const Member &Known) {
  auto Same = [&Known](const Target &Other) {
    return Other.m_Name == Known.m_Info.m_Name;
  };
  if (std::any_of(Targets.begin(), Targets.end(), Same))
    return;
  Targets.push_back(
      {Known.m_Info.m_Name, Known.m_Info.m_PeerAddress, !Known.m_ViewDiffers});
}

void addNeighbours(const MembershipState &State, std::vector<Target> &Targets) {
  for (const std::string &Name : State.m_Neighbours)
    addTarget(Targets, State.m_Members.at(Name));
  for (const auto &[Name, Until] : State.m_FormerNeighbours) {
    auto Known = State.m_Members.find(Name);
    if (Known != State.m_Members.end() && isPresent(Known->second))
      addTarget(Targets, Known->second);
  }
}

void addRelayTargets(MembershipState &State, std::vector<Target> &Targets) {
  size_t Count = State.m_RelayedDataCentres.size();
  size_t AtOnce =
      std::min<size_t>(Count, State.m_Policy.m_RelayTargetsPerInterval);
  for (size_t Index = 0; Index < AtOnce; ++Index) {
    const std::string &Centre =
        State.m_RelayedDataCentres[State.m_RelayTurn++ % Count];
    if (const Member *Known = relayTarget(State, Centre))
      addTarget(Targets, *Known);
  }
}

/// Whether a listed VM may be running although it is not known to be present. A
/// VM of another data centre is contacted only while that data centre is
/// unknown or unreachable.
bool isContact(const MembershipState &State, const ListedVm &Listed) {
  const store::VmRecord &Record = Listed.m_Record;
  if (Record.m_Name == State.m_Self.m_Name)
    return false;
  auto Known = State.m_Members.find(Record.m_Name);
  if (Known != State.m_Members.end() && isPresent(Known->second))
    return false;
  if (Record.m_DataCentre == State.m_Self.m_DataCentre)
    return true;
  return !State.m_DataCentres.contains(Record.m_DataCentre) ||
         State.m_UnreachableDataCentres.contains(Record.m_DataCentre);
}

/// Adds one contact per interval, in round-robin order.
void addContact(MembershipState &State, std::vector<Target> &Targets) {
  const ListedVm *Next = nullptr;
  const ListedVm *First = nullptr;
  for (const auto &[Name, Listed] : State.m_ListedVms) {
    if (!isContact(State, Listed))
      continue;
    if (!First)
      First = &Listed;
    if (!Next && Name > State.m_ContactCursor)
      Next = &Listed;
  }
  if (!Next)
    Next = First;
  if (!Next)
    return;
  State.m_ContactCursor = Next->m_Record.m_Name;
  Targets.push_back(
      {Next->m_Record.m_Name, Next->m_Record.m_PeerAddress, false});
}

/// A heartbeat under construction.
struct Draft {
  Heartbeat m_Message;
  size_t m_Size = 0;
  size_t m_Allowance = 0;
};

bool fits(const Draft &Built, size_t Size) {
  return Built.m_Size + Size <= Built.m_Allowance;
}

bool addEntry(Draft &Built, const DigestEntry &Entry, bool Always) {
  size_t Size = encodedSize(Entry);
  if (!Always && !fits(Built, Size))
    return false;
  Built.m_Size += Size;
  Built.m_Message.m_Entries.push_back(Entry);
  return true;
}

DigestEntry entryOf(const Member &Known) {
  return {Known.m_Info, Known.m_Counter, Known.m_Status};
}

void addChanges(MembershipState &State, Draft &Built, const Target &To) {
  auto Receiver = State.m_Members.find(To.m_Name);
  if (Receiver != State.m_Members.end() &&
      Receiver->second.m_Status != VmStatus::Alive)
    addEntry(Built, entryOf(Receiver->second), true);
  std::vector<Member *> Changed;
  for (auto &[Name, Known] : State.m_Members)
    if (Known.m_ForwardsLeft != 0 && Name != To.m_Name)
      Changed.push_back(&Known);
  std::stable_sort(Changed.begin(), Changed.end(),
                   [](const Member *A, const Member *B) {
                     return A->m_ForwardsLeft > B->m_ForwardsLeft;
                   });
  for (Member *Known : Changed) {
    // Always send at least one change, so that a small allowance cannot block
    // all of them.
    bool Always = Built.m_Allowance != 0 && Built.m_Message.m_Entries.empty();
    if (!addEntry(Built, entryOf(*Known), Always))
      return;
    --Known->m_ForwardsLeft;
  }
}

void addBeats(MembershipState &State, Draft &Built) {
  const auto &Centres = State.m_DataCentres;
  auto It = Centres.upper_bound(State.m_BeatCursor);
  size_t Count = std::min(MaxBeatsPerHeartbeat, Centres.size());
  for (size_t Index = 0; Index < Count; ++Index, ++It) {
    if (It == Centres.end())
      It = Centres.begin();
    DataCentreBeat Beat{It->first, It->second.m_Beat};
    if (It->first == State.m_Self.m_DataCentre || Beat.m_Beat == 0)
      continue;
    size_t Size = encodedSize(Beat);
    if (!fits(Built, Size))
      return;
    Built.m_Size += Size;
    Built.m_Message.m_Beats.push_back(std::move(Beat));
    State.m_BeatCursor = It->first;
  }
}

void addRotation(MembershipState &State, Draft &Built) {
  auto It = State.m_Members.upper_bound(State.m_RotationCursor);
  size_t Count = std::min(MaxRotationEntries, State.m_Members.size());
  for (size_t Index = 0; Index < Count; ++Index, ++It) {
    if (It == State.m_Members.end())
      It = State.m_Members.begin();
    bool Always = Built.m_Allowance != 0 && Index == 0;
    if (!addEntry(Built, entryOf(It->second), Always))
      return;
    State.m_RotationCursor = It->first;
  }
}

Heartbeat makeHeartbeat(MembershipState &State, const Target &To,
                        int64_t Allowance) {
  Draft Built;
  Built.m_Allowance = static_cast<size_t>(std::max<int64_t>(0, Allowance));
  Heartbeat &Message = Built.m_Message;
  Message.m_From = State.m_Self;
  Message.m_Counter = State.m_Counter;
  Message.m_Leaving = State.m_Leaving;
  Message.m_ViewHash = State.m_ViewHash;
  const std::string &Own = State.m_Self.m_DataCentre;
  Message.m_Beats.push_back({Own, State.m_DataCentres[Own].m_Beat});
  Built.m_Size = encodedSize(Message);
  addChanges(State, Built, To);
  addBeats(State, Built);
  if (!To.m_ViewMatches)
    addRotation(State, Built);
  return std::move(Built.m_Message);
}

/// Neighbours come first, because they suspect this VM if its heartbeats are
/// missing.
std::vector<Target> targets(MembershipState &State, size_t &NeighbourCount) {
  std::vector<Target> Targets;
  addNeighbours(State, Targets);
  NeighbourCount = Targets.size();
  addRelayTargets(State, Targets);
  addContact(State, Targets);
  return Targets;
}

} // namespace

void sendHeartbeats(Context &Step) {
  MembershipState &State = Step.m_State;
  int64_t IntervalCredit = creditPerInterval(State.m_Policy);
  State.m_ByteCredit = std::min(State.m_ByteCredit + IntervalCredit,
                                CreditIntervals * IntervalCredit);
  ++State.m_Counter;
  ++State.m_DataCentres[State.m_Self.m_DataCentre].m_Beat;
  size_t NeighbourCount = 0;
  std::vector<Target> Targets = targets(State, NeighbourCount);
  for (size_t Index = 0; Index < Targets.size(); ++Index) {
    const Target &To = Targets[Index];
    auto Left = static_cast<int64_t>(Targets.size() - Index);
    int64_t Allowance = std::min(State.m_ByteCredit, IntervalCredit) / Left;
    if (!State.m_Policy.m_LimitBytes)
      Allowance = INT64_MAX;
    else if (Index >= NeighbourCount && State.m_ByteCredit <= 0)
      break;
    Heartbeat Message = makeHeartbeat(State, To, Allowance);
    State.m_ByteCredit -= static_cast<int64_t>(encodedSize(Message));
    Step.m_Actions.emplace_back(
        SendHeartbeat{To.m_Name, To.m_PeerAddress, std::move(Message)});
  }
}

} // namespace hyssopcross::membership
