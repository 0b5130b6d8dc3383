#include "Context.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>

namespace hyssopcross::membership {

namespace {

void apply(Context &Step, const HeartbeatArrived &Event) {
  mergeHeartbeat(Step, Event.m_Message);
}

void apply(Context &Step, const VmListFetched &Event) {
  if (Event.m_Records)
    applyList(Step, *Event.m_Records);
}

void apply(Context &Step, const VmListRequested &Event) {
  answerListRequest(Step, Event.m_Message);
}

void apply(Context &Step, const VmListAnswered &Event) {
  applyListAnswer(Step, Event.m_Message);
}

void apply(Context &Step, const StopRequested &) {
  MembershipState &State = Step.m_State;
  if (State.m_Leaving)
    return;
  State.m_Leaving = true;
  State.m_TopologyStale = true;
  State.m_NextHeartbeat = Step.m_Now;
  Step.m_ViewChanged = true;
}

void apply(Context &, const Woke &) {}

void sendDueHeartbeats(Context &Step) {
  MembershipState &State = Step.m_State;
  if (Step.m_Now < State.m_NextHeartbeat)
    return;
  sendHeartbeats(Step);
  State.m_NextHeartbeat = Step.m_Now + State.m_Policy.m_Interval;
}

void pollCatalogue(Context &Step) {
  MembershipState &State = Step.m_State;
  if (Step.m_Now < State.m_NextCataloguePoll || !isPoller(State))
    return;
  State.m_NextCataloguePoll =
      Step.m_Now + State.m_Policy.m_CataloguePollInterval;
  Step.m_Actions.emplace_back(PollCatalogueHead{});
}

void checkInvariants(const MembershipState &State) {
  HYSSOPCROSS_INVARIANT(!State.m_Members.contains(State.m_Self.m_Name),
                        "the member table does not contain this VM");
  for (const std::string &Name : State.m_Watched)
    HYSSOPCROSS_INVARIANT(State.m_Members.contains(Name),
                          "watched VMs are in the member table");
  HYSSOPCROSS_INVARIANT(State.m_Neighbours.size() <=
                            State.m_Policy.m_Neighbours,
                        "heartbeats go to a bounded number of neighbours");
}

} // namespace

MembershipState::MembershipState(VmInfo Self, MembershipPolicy Policy,
                                 TimePoint Now)
    : m_Self(std::move(Self)), m_Policy(Policy), m_LastStep(Now),
      m_NextHeartbeat(Now), m_NextListPoll(Now), m_NextCataloguePoll(Now),
      m_FrozenUntil(Now) {
  m_DataCentres[m_Self.m_DataCentre] = {0, Now};
}

void step(MembershipState &State, const Event &Event, TimePoint Now,
          std::vector<Action> &Actions) {
  HYSSOPCROSS_INVARIANT(Now >= State.m_LastStep, "time does not go back");
  Context Step{State, Now, Actions};
  detectFreeze(Step);
  std::visit([&Step](const auto &Known) { apply(Step, Known); }, Event);
  expire(Step);
  refreshTopology(Step);
  sendDueHeartbeats(Step);
  refreshList(Step);
  pollCatalogue(Step);
  checkInvariants(State);
  if (Step.m_ViewChanged)
    Actions.emplace_back(ViewChanged{});
  TimePoint Wake = std::min(State.m_NextHeartbeat, State.m_NextListPoll);
  if (isPoller(State))
    Wake = std::min(Wake, State.m_NextCataloguePoll);
  Actions.emplace_back(WakeAt{Wake});
}

VmStatus statusOf(const MembershipState &State, std::string_view Name,
                  TimePoint) {
  if (Name == State.m_Self.m_Name)
    return State.m_Leaving ? VmStatus::Leaving : VmStatus::Alive;
  auto Found = State.m_Members.find(std::string(Name));
  if (Found == State.m_Members.end())
    return VmStatus::Dead;
  const Member &Known = Found->second;
  bool Silent =
      State.m_UnreachableDataCentres.contains(Known.m_Info.m_DataCentre);
  return Silent && Known.m_Status == VmStatus::Alive ? VmStatus::Suspect
                                                     : Known.m_Status;
}

View view(const MembershipState &State, TimePoint Now) {
  View Result{State.m_Self.m_Name, State.m_Fresh, {}};
  Result.m_Members.push_back(
      {State.m_Self, statusOf(State, State.m_Self.m_Name, Now), {}});
  for (const auto &[Name, Known] : State.m_Members) {
    TimePoint Last = Known.m_ChangedAt;
    if (State.m_Watched.contains(Name))
      Last = std::max(Last, Known.m_HeardAt);
    Duration Age = std::max(Duration::zero(), Duration(Now - Last));
    Result.m_Members.push_back({Known.m_Info, statusOf(State, Name, Now), Age});
  }
  std::sort(Result.m_Members.begin(), Result.m_Members.end(),
            [](const MemberView &A, const MemberView &B) {
              return A.m_Info.m_Name < B.m_Info.m_Name;
            });
  return Result;
}

bool isPoller(const MembershipState &State) { return State.m_IsPoller; }

} // namespace hyssopcross::membership
