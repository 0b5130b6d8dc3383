#include "Context.h"

namespace hyssopcross::ownership {

namespace {

std::chrono::milliseconds inMilliseconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length);
}

bool isOffered(const PoolLease &Lease) {
  return Lease.m_Row && Lease.m_Row->m_State == RowState::Offered;
}

uint64_t nextRenewal(const PoolLease &Lease) {
  uint64_t Last = Lease.m_Row ? Lease.m_Row->m_Renewal : 0;
  for (const SentWrite &Sent : Lease.m_Sent)
    Last = std::max(Last, Sent.m_Row.m_Renewal);
  return Last + 1;
}

void take(Context &Step, const PoolId &Pool, PoolLease &Lease) {
  OwnershipState &State = Step.m_State;
  if (Lease.m_Role != Role::Taking) {
    bool Named = Lease.m_Row && isOwn(State, *Lease.m_Row);
    Lease.m_Planned = Named && isOffered(Lease);
    if (!Named)
      Lease.m_Predecessor = Lease.m_Row ? Lease.m_Row->m_Owner : "";
    Lease.m_Role = Role::Taking;
  }
  uint64_t Epoch =
      Lease.m_Planned ? Lease.m_Row->m_Epoch : Lease.m_HighestEpoch + 1;
  sendCommit(Step, {{Pool, ownRow(State, Lease, Epoch, nextRenewal(Lease))}});
}

/// How often a VM that is not the owner reads the row; none for never.
std::optional<Duration> readInterval(const OwnershipState &State,
                                     const PoolLease &Lease, TimePoint Now) {
  const OwnershipPolicy &Policy = State.m_Policy;
  bool Named = Lease.m_Row && isOwn(State, *Lease.m_Row);
  if (Named || Now < Lease.m_ExpectUntil)
    return Policy.m_RetryEvery;
  std::optional<size_t> Rank = ownRank(State, Lease);
  if (!Rank || *Rank > Policy.m_Electors)
    return {};
  bool OwnerThere =
      Lease.m_Row && State.m_Candidates.contains(Lease.m_Row->m_Owner);
  if (*Rank != 0 && OwnerThere)
    return Policy.m_RefreshEvery;
  std::optional<TimePoint> At = takeableAt(State, Lease);
  bool Lapsed = At && *At <= Now;
  return Lapsed ? Policy.m_RetryEvery : Policy.m_WatchEvery;
}

bool readDue(const OwnershipState &State, const PoolLease &Lease,
             TimePoint Now) {
  if (Lease.m_ReadBack)
    return true;
  std::optional<Duration> Interval = readInterval(State, Lease, Now);
  if (!Interval)
    return false;
  return !Lease.m_EverRead || Now - Lease.m_ReadAt >= *Interval;
}

void watch(Context &Step, const PoolId &Pool, PoolLease &Lease) {
  std::optional<TimePoint> At = takeableAt(Step.m_State, Lease);
  // A row that was not read lately may well have been renewed.
  bool ReadLately =
      Step.m_Now - Lease.m_ReadAt < Step.m_State.m_Policy.m_RetryEvery;
  if (!Lease.m_ReadBack && ReadLately && At && *At <= Step.m_Now)
    take(Step, Pool, Lease);
  else if (readDue(Step.m_State, Lease, Step.m_Now))
    sendRead(Step, Pool, Lease);
}

void drive(Context &Step, const PoolId &Pool, PoolLease &Lease) {
  if (Lease.m_Request != 0 || Step.m_Now < Lease.m_RetryAt)
    return;
  if (Lease.m_Role == Role::Watching) {
    watch(Step, Pool, Lease);
    return;
  }
  if (Lease.m_ReadBack) {
    sendRead(Step, Pool, Lease);
    return;
  }
  if (Lease.m_Role == Role::Taking)
    take(Step, Pool, Lease);
  else if (Lease.m_Role == Role::Releasing)
    sendCommit(Step, {{Pool, releaseRow(Step.m_State, Lease)}});
}

bool renewable(const PoolLease &Lease, TimePoint Now, TimePoint DueBefore) {
  return Lease.m_Role == Role::Holding && Lease.m_Request == 0 &&
         !Lease.m_ReadBack && Lease.m_RetryAt <= Now &&
         Lease.m_NextRenewal <= DueBefore;
}

/// Renews all leases together once one of them is due.
void renew(Context &Step) {
  OwnershipState &State = Step.m_State;
  bool Due = false;
  for (const auto &[Pool, Lease] : State.m_Pools)
    Due = Due || renewable(Lease, Step.m_Now, Step.m_Now);
  if (!Due)
    return;
  TimePoint Soon = Step.m_Now + State.m_Policy.m_RenewEvery / 2;
  std::vector<PoolWrite> Writes;
  for (auto &[Pool, Lease] : State.m_Pools) {
    if (!renewable(Lease, Step.m_Now, Soon))
      continue;
    uint64_t Epoch = Lease.m_Row->m_Epoch;
    Writes.push_back({Pool, ownRow(State, Lease, Epoch, nextRenewal(Lease))});
    if (Writes.size() < State.m_Policy.m_GroupRows)
      continue;
    sendCommit(Step, std::move(Writes));
    Writes.clear();
  }
  if (!Writes.empty())
    sendCommit(Step, std::move(Writes));
}

} // namespace

LeaseRow ownRow(OwnershipState &State, const PoolLease &Lease, uint64_t Epoch,
                uint64_t Renewal) {
  LeaseRow Row;
  Row.m_State = RowState::Held;
  Row.m_Owner = State.m_Self.m_Name;
  Row.m_Incarnation = State.m_Self.m_Incarnation;
  Row.m_Epoch = Epoch;
  Row.m_Renewal = Renewal;
  Row.m_Nonce = State.m_Random();
  Row.m_PeerAddress = State.m_Self.m_PeerAddress;
  Row.m_TimeToLive = inMilliseconds(State.m_Policy.m_TimeToLive);
  Row.m_Electors = chooseElectors(State, Lease);
  if (!Row.m_Electors.empty())
    Row.m_Extension = inMilliseconds(State.m_Policy.m_Extension);
  return Row;
}

void becomeHolder(Context &Step, const PoolId &Pool, PoolLease &Lease) {
  bool ByWrite = Lease.m_Role == Role::Taking;
  Lease.m_Role = Role::Holding;
  Lease.m_ExpectUntil = {};
  Lease.m_HandOver.reset();
  Lease.m_Promises.clear();
  if (!ByWrite)
    Lease.m_NextRenewal = Step.m_Now;
  uint64_t Epoch = Lease.m_Row->m_Epoch;
  reportOwner(Step, Pool, Lease);
  Step.m_Actions.emplace_back(
      TookOver{Pool, Epoch, Lease.m_Predecessor, Lease.m_Planned});
  if (Lease.m_Planned && !Lease.m_Predecessor.empty())
    sendTo(Step, Lease.m_Predecessor,
           HandOverConfirmed{Step.m_State.m_Self.m_Name, Pool, Epoch});
}

void loseLease(PoolLease &Lease) {
  Lease.m_Role = Role::Watching;
  Lease.m_HandOver.reset();
  Lease.m_Promises.clear();
  Lease.m_Planned = false;
}

void reportOwner(Context &Step, const PoolId &Pool, const PoolLease &Lease) {
  Step.m_Actions.emplace_back(
      OwnerLearned{Pool, Lease.m_Row->m_Owner, Lease.m_Row->m_Epoch});
}

void driveLeases(Context &Step) {
  for (auto &[Pool, Lease] : Step.m_State.m_Pools)
    drive(Step, Pool, Lease);
  renew(Step);
}

} // namespace hyssopcross::ownership
