#include "hyssopcross/ownership/Ownership.h"
#include "Context.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>

namespace hyssopcross::ownership {

namespace {

/// How often the decisions are looked at when nothing else happens.
constexpr Duration TickInterval = std::chrono::milliseconds(100);

void apply(Context &Step, const PoolsChanged &Event) {
  OwnershipState &State = Step.m_State;
  std::set<PoolId> Kept(Event.m_Pools.begin(), Event.m_Pools.end());
  for (auto It = State.m_Pools.begin(); It != State.m_Pools.end();) {
    bool Keep = Kept.contains(It->first);
    if (!Keep && It->second.m_Reported != LeaseStatus::NotOwner)
      Step.m_Actions.emplace_back(
          LeaseChanged{It->first, LeaseStatus::NotOwner, 0});
    It = Keep ? std::next(It) : State.m_Pools.erase(It);
  }
  for (const PoolId &Pool : Kept) {
    auto [Lease, Added] = State.m_Pools.try_emplace(Pool);
    if (Added && State.m_Policy.m_WaitAfterStart)
      Lease->second.m_PromisedUntil =
          Step.m_Now + takerTime(State.m_Policy, State.m_Policy.m_PromiseTime);
  }
  rankPools(State);
}

void apply(Context &Step, const CandidatesChanged &Event) {
  OwnershipState &State = Step.m_State;
  std::map<std::string, CandidateState> Before = std::move(State.m_Candidates);
  State.m_Candidates.clear();
  for (const Candidate &Now : Event.m_Candidates) {
    auto Last = Before.find(Now.m_Name);
    bool Same = Last != Before.end() &&
                Last->second.m_Candidate.m_Incarnation == Now.m_Incarnation;
    TimePoint Since = Same ? Last->second.m_Since : Step.m_Now;
    State.m_Candidates[Now.m_Name] = {Now, Since};
  }
  rankPools(State);
}

void apply(Context &Step, const ReadSucceeded &Event) {
  takeReadAnswer(Step, Event);
}

void apply(Context &Step, const ReadFailed &Event) {
  takeReadFailure(Step, Event.m_Request);
}

void apply(Context &Step, const CommitEnded &Event) {
  takeCommitEnd(Step, Event);
}

void apply(Context &Step, const MessageArrived &Event) {
  std::visit([&Step](const auto &Known) { takeMessage(Step, Known); },
             Event.m_Message);
}

void apply(Context &Step, const StopRequested &) {
  Step.m_State.m_Stopping = true;
}

void apply(Context &, const Woke &) {}

void reportChanges(Context &Step) {
  for (auto &[Pool, Lease] : Step.m_State.m_Pools) {
    if (Lease.m_Role == Role::Watching &&
        Lease.m_Reported == LeaseStatus::NotOwner)
      continue;
    LeaseStatus Status = leaseStatus(Step.m_State, Pool, Step.m_Now);
    if (Status == Lease.m_Reported)
      continue;
    Lease.m_Reported = Status;
    Step.m_Actions.emplace_back(
        LeaseChanged{Pool, Status, Lease.m_HighestEpoch});
  }
}

void reportDrained(Context &Step) {
  OwnershipState &State = Step.m_State;
  if (!State.m_Stopping || State.m_Drained)
    return;
  bool Busy = std::any_of(
      State.m_Pools.begin(), State.m_Pools.end(), [](const auto &Entry) {
        const PoolLease &Lease = Entry.second;
        return Lease.m_Role != Role::Watching || Lease.m_HandOver;
      });
  if (Busy)
    return;
  State.m_Drained = true;
  Step.m_Actions.emplace_back(Drained{});
}

void checkInvariants(const OwnershipState &State) {
  for (const auto &[Pool, Lease] : State.m_Pools) {
    if (Lease.m_Role != Role::Holding)
      continue;
    HYSSOPCROSS_INVARIANT(Lease.m_Row && isOwn(State, *Lease.m_Row),
                          "a holder is named by the row it has seen");
    HYSSOPCROSS_INVARIANT(Lease.m_Row->m_Epoch == Lease.m_HighestEpoch,
                          "a holder's epoch is the highest it has seen");
  }
}

} // namespace

const char *leaseStatusName(LeaseStatus Status) {
  switch (Status) {
  case LeaseStatus::Confirmed:
    return "confirmed";
  case LeaseStatus::Unconfirmed:
    return "unconfirmed";
  case LeaseStatus::NotOwner:
    return "not_owner";
  }
  return "not_owner";
}

OwnershipState::OwnershipState(Identity Self, OwnershipPolicy Policy,
                               TimePoint Now, uint64_t Seed)
    : m_Self(std::move(Self)), m_Policy(Policy), m_Random(Seed),
      m_PromiseRoundAt(Now), m_NextPromises(Now), m_NextHandOver(Now) {}

void sendTo(Context &Step, const std::string &Name, Message Value) {
  Step.m_Actions.emplace_back(SendMessage{Name, std::move(Value)});
}

void step(OwnershipState &State, const Event &Event, TimePoint Now,
          std::vector<Action> &Actions) {
  Context Step{State, Now, Actions};
  std::visit([&Step](const auto &Known) { apply(Step, Known); }, Event);
  expireRequests(Step);
  driveHandOvers(Step);
  driveLeases(Step);
  drivePromises(Step);
  reportChanges(Step);
  reportDrained(Step);
  checkInvariants(State);
  Actions.emplace_back(WakeAt{Now + TickInterval});
}

} // namespace hyssopcross::ownership
