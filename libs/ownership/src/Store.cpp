#include "Context.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::ownership {

namespace {

/// Takes a request off the table of open ones. None if it is not open any
/// more, because it has stayed without an answer for too long.
std::optional<StoreRequest> closeRequest(Context &Step, uint64_t Id) {
  auto Found = Step.m_State.m_Requests.find(Id);
  if (Found == Step.m_State.m_Requests.end())
    return {};
  StoreRequest Request = std::move(Found->second);
  Step.m_State.m_Requests.erase(Found);
  return Request;
}

PoolLease *findLease(Context &Step, const PoolId &Pool, uint64_t Request) {
  auto Found = Step.m_State.m_Pools.find(Pool);
  if (Found == Step.m_State.m_Pools.end() || Found->second.m_Request != Request)
    return nullptr;
  return &Found->second;
}

void matchSentWrites(Context &Step, PoolLease &Lease, const LeaseRow &Row) {
  bool FromSend = Step.m_State.m_Policy.m_ValidFromSend;
  for (const SentWrite &Sent : Lease.m_Sent)
    if (Sent.m_Row.m_Nonce == Row.m_Nonce)
      Lease.m_ValidFrom = FromSend ? Sent.m_SentAt : Step.m_Now;
}

void rejectRow(Context &Step, const PoolId &Pool, PoolLease &Lease,
               std::string Reason) {
  Lease.m_Rejected = true;
  Lease.m_Row.reset();
  Lease.m_Sent.clear();
  loseLease(Lease);
  Step.m_Actions.emplace_back(RowRejected{Pool, std::move(Reason)});
}

/// The table holds another version than the last one seen.
void takeNewVersion(Context &Step, const PoolId &Pool, PoolLease &Lease,
                    std::optional<LeaseRow> Row) {
  uint64_t Epoch = Row ? Row->m_Epoch : 0;
  if (Epoch < Lease.m_HighestEpoch) {
    rejectRow(Step, Pool, Lease, "the epoch has gone back");
    return;
  }
  bool NewOwner = Row && (Epoch > Lease.m_HighestEpoch || !Lease.m_Row ||
                          Lease.m_Row->m_Owner != Row->m_Owner);
  Lease.m_Rejected = false;
  Lease.m_HighestEpoch = Epoch;
  if (Row)
    matchSentWrites(Step, Lease, *Row);
  // A write that expected an older version cannot take effect any more.
  Lease.m_Sent.clear();
  Lease.m_ReleaseMayApply = false;
  Lease.m_Row = std::move(Row);
  if (NewOwner)
    reportOwner(Step, Pool, Lease);
}

void settleRole(Context &Step, const PoolId &Pool, PoolLease &Lease) {
  bool Own = Lease.m_Row && Lease.m_Row->m_State == RowState::Held &&
             isOwn(Step.m_State, *Lease.m_Row);
  switch (Lease.m_Role) {
  case Role::Watching:
    if (Own)
      becomeHolder(Step, Pool, Lease);
    return;
  case Role::Taking:
    if (Own)
      becomeHolder(Step, Pool, Lease);
    else if (Lease.m_Sent.empty())
      loseLease(Lease);
    return;
  case Role::Holding:
    if (!Own)
      loseLease(Lease);
    return;
  case Role::Releasing:
    if (!Own)
      finishRelease(Step, Pool, Lease);
    return;
  }
}

void takeRow(Context &Step, const PoolId &Pool, PoolLease &Lease,
             const std::optional<store::Row> &Row) {
  uint64_t Version = Row ? Row->m_Version : 0;
  bool Changed = !Lease.m_EverRead || Version != Lease.m_Version;
  if (Changed || Lease.m_SightLost)
    Lease.m_SeenAt = Step.m_Now;
  Lease.m_SightLost = false;
  Lease.m_EverRead = true;
  Lease.m_ReadBack = false;
  Lease.m_ReadAt = Step.m_Now;
  Lease.m_Version = Version;
  if (Changed) {
    std::optional<LeaseRow> Parsed;
    if (Row) {
      Result<LeaseRow> Value = parseLeaseRow(Row->m_Value);
      if (!Value) {
        rejectRow(Step, Pool, Lease, Value.error().m_Message);
        return;
      }
      Parsed = std::move(Value.value());
    }
    takeNewVersion(Step, Pool, Lease, std::move(Parsed));
  }
  if (!Lease.m_Rejected)
    settleRole(Step, Pool, Lease);
}

void forgetSent(PoolLease &Lease, const LeaseRow &Row) {
  std::erase_if(Lease.m_Sent, [&Row](const SentWrite &Sent) {
    return Sent.m_Row.m_Nonce == Row.m_Nonce;
  });
}

void takeCommitted(Context &Step, const PoolWrite &Write, PoolLease &Lease,
                   TimePoint SentAt) {
  Lease.m_Sent.clear();
  Lease.m_ReleaseMayApply = false;
  Lease.m_Row = Write.m_Row;
  Lease.m_HighestEpoch = Write.m_Row.m_Epoch;
  // The new version is not in the answer.
  Lease.m_ReadBack = true;
  if (Lease.m_Role == Role::Releasing) {
    finishRelease(Step, Write.m_Pool, Lease);
    return;
  }
  bool FromSend = Step.m_State.m_Policy.m_ValidFromSend;
  Lease.m_ValidFrom = FromSend ? SentAt : Step.m_Now;
  Lease.m_NextRenewal = SentAt + Step.m_State.m_Policy.m_RenewEvery;
  if (Lease.m_Role == Role::Taking)
    becomeHolder(Step, Write.m_Pool, Lease);
}

void takeRefused(Context &Step, const PoolWrite &Write, PoolLease &Lease,
                 CommitEnd End) {
  forgetSent(Lease, Write.m_Row);
  Lease.m_ReadBack = End == CommitEnd::Conflict || Lease.m_ReadBack;
  if (End == CommitEnd::Unavailable) {
    Lease.m_SightLost = true;
    Lease.m_RetryAt = Step.m_Now + Step.m_State.m_Policy.m_RetryEvery;
  }
  if (Lease.m_Role == Role::Taking && Lease.m_Sent.empty())
    loseLease(Lease);
  // The lease stands as before, and may be kept confirmed during an outage.
  if (Lease.m_Role == Role::Releasing && End == CommitEnd::Unavailable &&
      !Lease.m_ReleaseMayApply) {
    Lease.m_Role = Role::Holding;
    Lease.m_HandOver.reset();
  }
}

void takeUnknown(Context &Step, PoolLease &Lease) {
  Lease.m_ReadBack = true;
  Lease.m_RetryAt = Step.m_Now;
  Lease.m_ReleaseMayApply =
      Lease.m_ReleaseMayApply || Lease.m_Role == Role::Releasing;
}

} // namespace

void sendRead(Context &Step, const PoolId &Pool, PoolLease &Lease) {
  uint64_t Id = ++Step.m_State.m_LastRequest;
  Lease.m_Request = Id;
  Step.m_State.m_Requests[Id] = {Pool, {}, Step.m_Now};
  Step.m_Actions.emplace_back(ReadLease{Id, leaseKey(Pool)});
}

void sendCommit(Context &Step, std::vector<PoolWrite> Writes) {
  OwnershipState &State = Step.m_State;
  CommitLease Commit{++State.m_LastRequest, {}};
  for (const PoolWrite &Write : Writes) {
    PoolLease &Lease = State.m_Pools.at(Write.m_Pool);
    HYSSOPCROSS_INVARIANT(Write.m_Row.m_Epoch >= Lease.m_HighestEpoch,
                          "the epoch of a lease never goes back");
    HYSSOPCROSS_INVARIANT(Lease.m_Request == 0,
                          "a pool has one store request at a time");
    Lease.m_Request = Commit.m_Request;
    if (Lease.m_Role != Role::Releasing)
      Lease.m_Sent.push_back({Write.m_Row, Step.m_Now});
    Commit.m_Writes.push_back(
        {leaseKey(Write.m_Pool), Lease.m_Version, encodeLeaseRow(Write.m_Row)});
  }
  State.m_Requests[Commit.m_Request] = {{}, std::move(Writes), Step.m_Now};
  Step.m_Actions.emplace_back(std::move(Commit));
}

void takeReadAnswer(Context &Step, const ReadSucceeded &Answer) {
  auto Request = closeRequest(Step, Answer.m_Request);
  if (!Request || !Request->m_Read)
    return;
  Step.m_State.m_StoreReached = true;
  PoolLease *Lease = findLease(Step, *Request->m_Read, Answer.m_Request);
  if (!Lease)
    return;
  Lease->m_Request = 0;
  takeRow(Step, *Request->m_Read, *Lease, Answer.m_Row);
}

void takeReadFailure(Context &Step, uint64_t Id) {
  auto Request = closeRequest(Step, Id);
  if (!Request || !Request->m_Read)
    return;
  Step.m_State.m_StoreReached = false;
  PoolLease *Lease = findLease(Step, *Request->m_Read, Id);
  if (!Lease)
    return;
  Lease->m_Request = 0;
  Lease->m_SightLost = true;
  Lease->m_RetryAt = Step.m_Now + Step.m_State.m_Policy.m_RetryEvery;
}

void takeCommitEnd(Context &Step, const CommitEnded &Answer) {
  auto Request = closeRequest(Step, Answer.m_Request);
  if (!Request)
    return;
  Step.m_State.m_StoreReached = Answer.m_End == CommitEnd::Committed ||
                                Answer.m_End == CommitEnd::Conflict;
  bool Optimistic = !Step.m_State.m_Policy.m_ReadBack;
  for (const PoolWrite &Write : Request->m_Writes) {
    PoolLease *Lease = findLease(Step, Write.m_Pool, Answer.m_Request);
    if (!Lease)
      continue;
    Lease->m_Request = 0;
    CommitEnd End = Answer.m_End;
    if (End == CommitEnd::Committed ||
        (End == CommitEnd::Unknown && Optimistic))
      takeCommitted(Step, Write, *Lease, Request->m_SentAt);
    else if (End == CommitEnd::Unknown)
      takeUnknown(Step, *Lease);
    else
      takeRefused(Step, Write, *Lease, End);
  }
}

void expireRequests(Context &Step) {
  Duration Patience = Step.m_State.m_Policy.m_RequestTimeout;
  std::vector<std::pair<uint64_t, bool>> Late;
  for (const auto &[Id, Request] : Step.m_State.m_Requests)
    if (Step.m_Now - Request.m_SentAt >= Patience)
      Late.emplace_back(Id, Request.m_Read.has_value());
  for (auto [Id, Read] : Late) {
    if (Read)
      takeReadFailure(Step, Id);
    else
      takeCommitEnd(Step, {Id, CommitEnd::Unknown});
  }
}

} // namespace hyssopcross::ownership
