#include "Context.h"

namespace hyssopcross::ownership {

namespace {

/// Whether the lease has gone without a renewal for so long that it may run
/// out.
bool isThreatened(const Context &Step, const PoolLease &Lease) {
  const OwnershipPolicy &Policy = Step.m_State.m_Policy;
  if (Lease.m_Role != Role::Holding)
    return false;
  Duration Age = Step.m_Now - Lease.m_ValidFrom;
  return Age >= Policy.m_TimeToLive / 2 &&
         Age < Policy.m_TimeToLive + Policy.m_Extension;
}

bool mayPromise(const Context &Step, const PromiseRequest &Request,
                const PoolEpoch &Asked, const PoolLease &Lease) {
  if (Lease.m_Role != Role::Watching || !Lease.m_Sent.empty())
    return false;
  // An earlier run of this VM may have taken the pool and handed it on, so
  // only what this run has read counts.
  if (!Step.m_State.m_Policy.m_PromiseOnlyWhatWasRead)
    return true;
  return Lease.m_Row && Lease.m_Row->m_State == RowState::Held &&
         Lease.m_Row->m_Owner == Request.m_From &&
         Lease.m_Row->m_Incarnation == Request.m_Incarnation &&
         Lease.m_Row->m_Epoch == Asked.m_Epoch;
}

} // namespace

void drivePromises(Context &Step) {
  OwnershipState &State = Step.m_State;
  if (Step.m_Now < State.m_NextPromises)
    return;
  std::map<std::string, std::vector<PoolEpoch>> Asked;
  for (const auto &[Pool, Lease] : State.m_Pools) {
    if (!isThreatened(Step, Lease))
      continue;
    for (const Elector &Named : neededPromises(Lease))
      Asked[Named.m_Name].push_back({Pool, Lease.m_Row->m_Epoch});
  }
  if (Asked.empty())
    return;
  State.m_NextPromises = Step.m_Now + State.m_Policy.m_PromiseEvery;
  State.m_PromiseRoundAt = Step.m_Now;
  ++State.m_PromiseRound;
  for (auto &[Name, Pools] : Asked)
    sendTo(Step, Name,
           PromiseRequest{State.m_Self.m_Name, State.m_Self.m_Incarnation,
                          State.m_PromiseRound, std::move(Pools)});
}

void takeMessage(Context &Step, const PromiseRequest &Request) {
  OwnershipState &State = Step.m_State;
  Duration Bound = takerTime(State.m_Policy, State.m_Policy.m_PromiseTime);
  PromiseAnswer Answer{
      State.m_Self.m_Name, State.m_Self.m_Incarnation, Request.m_Round, {}};
  for (const PoolEpoch &Asked : Request.m_Pools) {
    auto Found = State.m_Pools.find(Asked.m_Pool);
    if (Found == State.m_Pools.end())
      continue;
    PoolLease &Lease = Found->second;
    if (!mayPromise(Step, Request, Asked, Lease)) {
      bool Behind = Lease.m_HighestEpoch < Asked.m_Epoch;
      Lease.m_ReadBack = Lease.m_ReadBack || Behind;
      continue;
    }
    Lease.m_PromisedUntil = std::max(Lease.m_PromisedUntil, Step.m_Now + Bound);
    Answer.m_Granted.push_back(Asked);
  }
  sendTo(Step, Request.m_From, std::move(Answer));
}

void takeMessage(Context &Step, const PromiseAnswer &Answer) {
  OwnershipState &State = Step.m_State;
  if (Answer.m_Round != State.m_PromiseRound)
    return;
  TimePoint Until = State.m_PromiseRoundAt +
                    holderTime(State.m_Policy, State.m_Policy.m_PromiseTime);
  Elector Promising{Answer.m_From, Answer.m_Incarnation};
  for (const PoolEpoch &Granted : Answer.m_Granted) {
    auto Found = State.m_Pools.find(Granted.m_Pool);
    if (Found == State.m_Pools.end() || Found->second.m_Role != Role::Holding ||
        Found->second.m_Row->m_Epoch != Granted.m_Epoch)
      continue;
    Found->second.m_Promises[Promising] = {Granted.m_Epoch, Until};
  }
}

} // namespace hyssopcross::ownership
