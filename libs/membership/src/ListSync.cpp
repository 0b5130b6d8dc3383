#include "Context.h"
#include <algorithm>
#include <xxhash.h>

namespace hyssopcross::membership {

namespace {

using Records = std::vector<store::VmRecord>;

/// Selects the records that a VM needs: all records of its data centre, which
/// include the backend servers, and all entry VMs.
Records relevantRecords(const Records &All, const std::string &DataCentre) {
  Records Relevant;
  for (const store::VmRecord &Record : All)
    if (Record.m_DataCentre == DataCentre ||
        Record.m_Role == store::VmRole::Entry)
      Relevant.push_back(Record);
  std::sort(Relevant.begin(), Relevant.end(),
            [](const auto &A, const auto &B) { return A.m_Name < B.m_Name; });
  return Relevant;
}

void hashText(uint64_t &Hash, const std::string &Text) {
  Hash = XXH64(Text.data(), Text.size(), Hash);
}

uint64_t listHash(const Records &List) {
  uint64_t Hash = 1;
  for (const store::VmRecord &Record : List) {
    hashText(Hash, Record.m_Name);
    hashText(Hash, Record.m_DataCentre);
    hashText(Hash, Record.m_Address);
    hashText(Hash, Record.m_PeerAddress);
    hashText(Hash, Record.m_Service);
    Hash = Hash * 4 + static_cast<uint64_t>(Record.m_State) * 2 +
           static_cast<uint64_t>(Record.m_Role);
  }
  return Hash == 0 ? 1 : Hash;
}

uint64_t knownIncarnation(const MembershipState &State,
                          const std::string &Name) {
  if (Name == State.m_Self.m_Name)
    return State.m_Self.m_Incarnation;
  auto Known = State.m_Members.find(Name);
  return Known == State.m_Members.end() ? 0
                                        : Known->second.m_Info.m_Incarnation;
}

/// Marks a VM as Leaving if the list does. The list lags, so this applies only
/// to the incarnation that was known when the list first marked the VM as
/// leaving. A VM that is leaving in the first list of this process is ignored,
/// because the mark may refer to an earlier incarnation.
void markLeaving(Context &Step, const ListedVm &Listed) {
  MembershipState &State = Step.m_State;
  const std::string &Name = Listed.m_Record.m_Name;
  if (Listed.m_LeavingIncarnation == 0 ||
      knownIncarnation(State, Name) != Listed.m_LeavingIncarnation)
    return;
  if (Name == State.m_Self.m_Name) {
    Step.m_ViewChanged = Step.m_ViewChanged || !State.m_Leaving;
    State.m_TopologyStale = State.m_TopologyStale || !State.m_Leaving;
    State.m_Leaving = true;
    return;
  }
  Member &Known = State.m_Members.at(Name);
  if (isPresent(Known))
    setStatus(Step, Known, VmStatus::Leaving);
}

void replaceListed(Context &Step, const Records &List) {
  MembershipState &State = Step.m_State;
  std::map<std::string, ListedVm> Before = std::move(State.m_ListedVms);
  State.m_ListedVms.clear();
  for (const store::VmRecord &Record : List) {
    if (Record.m_Role != store::VmRole::Entry)
      continue;
    ListedVm Listed{Record, 0};
    if (Record.m_State == store::VmState::Leaving) {
      auto Last = Before.find(Record.m_Name);
      bool LeavingBefore =
          Last == Before.end() ||
          Last->second.m_Record.m_State == store::VmState::Leaving;
      if (!LeavingBefore)
        Listed.m_LeavingIncarnation = knownIncarnation(State, Record.m_Name);
      else if (Last != Before.end())
        Listed.m_LeavingIncarnation = Last->second.m_LeavingIncarnation;
    }
    markLeaving(Step, Listed);
    State.m_ListedVms.emplace(Record.m_Name, std::move(Listed));
  }
}

} // namespace

void applyList(Context &Step, const Records &All) {
  MembershipState &State = Step.m_State;
  Records List = relevantRecords(All, State.m_Self.m_DataCentre);
  uint64_t Hash = listHash(List);
  State.m_PollerTurn = 0;
  if (Hash == State.m_ListHash)
    return;
  replaceListed(Step, List);
  State.m_ListHash = Hash;
  State.m_List = std::move(List);
  Step.m_Actions.emplace_back(VmListChanged{State.m_List});
}

void answerListRequest(Context &Step, const VmListRequest &Request) {
  MembershipState &State = Step.m_State;
  auto Known = State.m_Members.find(Request.m_From);
  if (State.m_ListHash == 0 || Known == State.m_Members.end())
    return;
  VmListAnswer Answer{State.m_Self.m_Name, State.m_ListHash, {}};
  if (Request.m_Hash != State.m_ListHash)
    Answer.m_Records = State.m_List;
  Step.m_Actions.emplace_back(SendVmListAnswer{
      Request.m_From, Known->second.m_Info.m_PeerAddress, std::move(Answer)});
}

void applyListAnswer(Context &Step, const VmListAnswer &Answer) {
  MembershipState &State = Step.m_State;
  State.m_PollerTurn = 0;
  if (Answer.m_Records && !isPoller(State))
    applyList(Step, *Answer.m_Records);
}

void refreshList(Context &Step) {
  MembershipState &State = Step.m_State;
  if (Step.m_Now < State.m_NextListPoll)
    return;
  State.m_NextListPoll = Step.m_Now + State.m_Policy.m_PollInterval;
  if (isPoller(State)) {
    Step.m_Actions.emplace_back(PollVmList{});
    return;
  }
  // Advances until an answer arrives, so that a dead poller is skipped.
  std::vector<std::string> Pollers = pollers(State);
  const std::string &To = Pollers[State.m_PollerTurn++ % Pollers.size()];
  Step.m_Actions.emplace_back(
      SendVmListRequest{To,
                        State.m_Members.at(To).m_Info.m_PeerAddress,
                        {State.m_Self.m_Name, State.m_ListHash}});
}

} // namespace hyssopcross::membership
