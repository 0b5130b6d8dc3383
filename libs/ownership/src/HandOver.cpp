#include "Context.h"
#include <algorithm>

namespace hyssopcross::ownership {

namespace {

size_t handOversUnderWay(const OwnershipState &State) {
  return static_cast<size_t>(std::count_if(
      State.m_Pools.begin(), State.m_Pools.end(), [](const auto &Entry) {
        return Entry.second.m_HandOver ||
               Entry.second.m_Role == Role::Releasing;
      }));
}

size_t handOverBound(const OwnershipState &State) {
  if (State.m_Stopping)
    return State.m_Policy.m_StopHandOversAtOnce;
  return State.m_Policy.m_Sticky ? State.m_Policy.m_HandOversAtOnce : SIZE_MAX;
}

/// The candidate that should own the pool instead of this VM; none if this VM
/// should keep it.
const CandidateState *wantedSuccessor(const Context &Step,
                                      const PoolLease &Lease) {
  const OwnershipState &State = Step.m_State;
  for (const std::string &Name : Lease.m_Ranked) {
    bool Self = Name == State.m_Self.m_Name;
    if (State.m_Stopping && (Self || Lease.m_Refused.contains(Name)))
      continue;
    if (Self)
      return nullptr;
    const CandidateState &Known = State.m_Candidates.at(Name);
    bool Settled = Step.m_Now - Known.m_Since >= State.m_Policy.m_SettleTime;
    if (State.m_Stopping || Settled || !State.m_Policy.m_Sticky)
      return &Known;
    return nullptr;
  }
  return nullptr;
}

void offer(Context &Step, const PoolId &Pool, PoolLease &Lease,
           const Candidate &Successor) {
  const OwnershipState &State = Step.m_State;
  Lease.m_HandOver = HandOver{Successor.m_Name, Successor.m_Incarnation,
                              Successor.m_PeerAddress,
                              Step.m_Now + State.m_Policy.m_OfferTimeout};
  sendTo(Step, Successor.m_Name,
         HandOverOffer{State.m_Self.m_Name,
                       State.m_Self.m_Incarnation,
                       Pool,
                       Lease.m_Row->m_Epoch,
                       {}});
}

void pauseHandOvers(Context &Step) {
  Step.m_State.m_NextHandOver =
      Step.m_Now + Step.m_State.m_Policy.m_HandOverPause;
}

/// Gives an offer up that was refused or not answered.
void abandonOffer(Context &Step, PoolLease &Lease) {
  if (Step.m_State.m_Stopping)
    Lease.m_Refused.insert(Lease.m_HandOver->m_Successor);
  Lease.m_HandOver.reset();
  pauseHandOvers(Step);
}

void start(Context &Step, const PoolId &Pool, PoolLease &Lease) {
  const CandidateState *Successor = wantedSuccessor(Step, Lease);
  if (Successor)
    offer(Step, Pool, Lease, Successor->m_Candidate);
  else if (Step.m_State.m_Stopping)
    Lease.m_Role = Role::Releasing;
}

void proceed(Context &Step, PoolLease &Lease) {
  HandOver &Plan = *Lease.m_HandOver;
  bool Late = Step.m_Now >= Plan.m_Deadline;
  if (Lease.m_Role == Role::Watching && Late) {
    Lease.m_HandOver.reset();
    return;
  }
  if (Lease.m_Role != Role::Holding)
    return;
  if (Plan.m_Accepted && Lease.m_Request == 0 && !Lease.m_ReadBack)
    Lease.m_Role = Role::Releasing;
  else if (!Plan.m_Accepted && Late)
    abandonOffer(Step, Lease);
}

/// The lease of a hand-over that a message answers; null if there is none.
PoolLease *offeredLease(Context &Step, const PoolId &Pool,
                        const std::string &From) {
  auto Found = Step.m_State.m_Pools.find(Pool);
  if (Found == Step.m_State.m_Pools.end())
    return nullptr;
  PoolLease &Lease = Found->second;
  bool Fits = Lease.m_HandOver && Lease.m_HandOver->m_Successor == From;
  return Fits ? &Lease : nullptr;
}

void expect(Context &Step, PoolLease &Lease, const std::string &From) {
  Lease.m_ExpectUntil = Step.m_Now + Step.m_State.m_Policy.m_TimeToLive;
  Lease.m_Predecessor = From;
}

} // namespace

void driveHandOvers(Context &Step) {
  OwnershipState &State = Step.m_State;
  for (auto &[Pool, Lease] : State.m_Pools)
    if (Lease.m_HandOver)
      proceed(Step, Lease);
  bool Paused = Step.m_Now < State.m_NextHandOver && !State.m_Stopping;
  if (Paused || !State.m_StoreReached)
    return;
  size_t UnderWay = handOversUnderWay(State);
  size_t Bound = handOverBound(State);
  for (auto &[Pool, Lease] : State.m_Pools) {
    if (UnderWay >= Bound)
      return;
    bool Ready = Lease.m_Role == Role::Holding && !Lease.m_HandOver &&
                 Lease.m_Request == 0 && !Lease.m_ReadBack;
    if (!Ready)
      continue;
    start(Step, Pool, Lease);
    bool Started = Lease.m_HandOver || Lease.m_Role == Role::Releasing;
    UnderWay += Started ? 1 : 0;
  }
}

LeaseRow releaseRow(OwnershipState &State, const PoolLease &Lease) {
  LeaseRow Row = *Lease.m_Row;
  Row.m_State = RowState::Free;
  Row.m_Owner.clear();
  Row.m_Incarnation = 0;
  Row.m_PeerAddress.clear();
  Row.m_Epoch += 1;
  Row.m_Renewal = 0;
  Row.m_Nonce = State.m_Random();
  // Nobody holds the lease, so nobody can be extended.
  Row.m_Extension = {};
  Row.m_Electors.clear();
  if (!Lease.m_HandOver)
    return Row;
  Row.m_State = RowState::Offered;
  Row.m_Owner = Lease.m_HandOver->m_Successor;
  Row.m_Incarnation = Lease.m_HandOver->m_Incarnation;
  Row.m_PeerAddress = Lease.m_HandOver->m_PeerAddress;
  return Row;
}

void finishRelease(Context &Step, const PoolId &Pool, PoolLease &Lease) {
  std::optional<HandOver> Plan = std::move(Lease.m_HandOver);
  loseLease(Lease);
  reportOwner(Step, Pool, Lease);
  pauseHandOvers(Step);
  if (!Plan || Plan->m_Successor != Lease.m_Row->m_Owner)
    return;
  sendTo(
      Step, Plan->m_Successor,
      HandOverReleased{Step.m_State.m_Self.m_Name, Pool, Lease.m_Row->m_Epoch});
  Plan->m_Released = true;
  Plan->m_Deadline = Step.m_Now + Step.m_State.m_Policy.m_OfferTimeout;
  Lease.m_HandOver = std::move(Plan);
}

void takeMessage(Context &Step, const HandOverOffer &Offer) {
  OwnershipState &State = Step.m_State;
  auto Found = State.m_Pools.find(Offer.m_Pool);
  bool Accept = Found != State.m_Pools.end() && !State.m_Stopping &&
                isCandidate(State) && Found->second.m_Role == Role::Watching &&
                Offer.m_Epoch >= Found->second.m_HighestEpoch;
  if (Accept)
    expect(Step, Found->second, Offer.m_From);
  sendTo(Step, Offer.m_From,
         HandOverAnswer{State.m_Self.m_Name, State.m_Self.m_Incarnation,
                        Offer.m_Pool, Offer.m_Epoch, Accept});
}

void takeMessage(Context &Step, const HandOverAnswer &Answer) {
  PoolLease *Lease = offeredLease(Step, Answer.m_Pool, Answer.m_From);
  if (!Lease || Lease->m_Role != Role::Holding ||
      Lease->m_Row->m_Epoch != Answer.m_Epoch)
    return;
  if (!Answer.m_Accepted) {
    abandonOffer(Step, *Lease);
    return;
  }
  Lease->m_HandOver->m_Accepted = true;
  Lease->m_HandOver->m_Incarnation = Answer.m_Incarnation;
}

void takeMessage(Context &Step, const HandOverReleased &Notice) {
  auto Found = Step.m_State.m_Pools.find(Notice.m_Pool);
  if (Found == Step.m_State.m_Pools.end() ||
      Notice.m_Epoch <= Found->second.m_HighestEpoch)
    return;
  expect(Step, Found->second, Notice.m_From);
  Found->second.m_ReadBack = true;
}

void takeMessage(Context &Step, const HandOverConfirmed &Notice) {
  PoolLease *Lease = offeredLease(Step, Notice.m_Pool, Notice.m_From);
  if (Lease && Lease->m_HandOver->m_Released)
    Lease->m_HandOver.reset();
}

} // namespace hyssopcross::ownership
