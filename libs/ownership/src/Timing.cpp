#include "Context.h"
#include <algorithm>

namespace hyssopcross::ownership {

namespace {

Duration scaled(Duration Length, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Length.count()) * Factor));
}

bool isElector(const OwnershipState &State, const LeaseRow &Row) {
  return std::any_of(Row.m_Electors.begin(), Row.m_Electors.end(),
                     [&State](const auto &Named) {
                       return Named.m_Name == State.m_Self.m_Name &&
                              (Named.m_Incarnation ==
                                   State.m_Self.m_Incarnation ||
                               !State.m_Policy.m_ElectRuns);
                     });
}

/// When a row that names another holder may be taken.
TimePoint lapsesAt(const OwnershipState &State, const PoolLease &Lease) {
  const OwnershipPolicy &Policy = State.m_Policy;
  const LeaseRow &Row = *Lease.m_Row;
  if (!Policy.m_WaitTimeToLive)
    return Lease.m_SeenAt;
  bool Named = isElector(State, Row);
  Duration Wait = Row.m_TimeToLive;
  if (Policy.m_WaitExtension && !Named)
    Wait += Row.m_Extension;
  TimePoint At = Lease.m_SeenAt + takerTime(Policy, Wait);
  if (Policy.m_CheckPromises)
    At = std::max(At, Lease.m_PromisedUntil);
  return At;
}

bool isPromised(const OwnershipState &State, const PoolLease &Lease,
                TimePoint Now) {
  const OwnershipPolicy &Policy = State.m_Policy;
  Duration Bound = holderTime(Policy, Policy.m_TimeToLive + Policy.m_Extension);
  if (Now >= Lease.m_ValidFrom + Bound)
    return false;
  if (!Policy.m_CheckPromises)
    return true;
  std::set<Elector> Needed = neededPromises(Lease);
  if (Needed.empty())
    return false;
  return std::all_of(Needed.begin(), Needed.end(), [&](const auto &Named) {
    auto Given = Lease.m_Promises.find(Named);
    return Given != Lease.m_Promises.end() &&
           Given->second.m_Epoch == Lease.m_Row->m_Epoch &&
           Now < Given->second.m_Until;
  });
}

} // namespace

Duration holderTime(const OwnershipPolicy &Policy, Duration Length) {
  return Policy.m_AllowDrift ? scaled(Length, 1.0 - Policy.m_Drift) : Length;
}

Duration takerTime(const OwnershipPolicy &Policy, Duration Length) {
  return Policy.m_AllowDrift ? scaled(Length, 1.0 + Policy.m_Drift) : Length;
}

bool isOwn(const OwnershipState &State, const LeaseRow &Row) {
  return Row.m_Owner == State.m_Self.m_Name &&
         (Row.m_Incarnation == State.m_Self.m_Incarnation ||
          !State.m_Policy.m_IgnoreOldIncarnations);
}

std::optional<TimePoint> takeableAt(const OwnershipState &State,
                                    const PoolLease &Lease) {
  if (!Lease.m_EverRead || Lease.m_Rejected || Lease.m_SightLost)
    return {};
  if (Lease.m_Row && isOwn(State, *Lease.m_Row))
    return Lease.m_SeenAt;
  std::optional<size_t> Rank = ownRank(State, Lease);
  if (!Rank || State.m_Stopping)
    return {};
  Duration Delay = *Rank * State.m_Policy.m_RankDelay;
  if (!Lease.m_Row || Lease.m_Row->m_State == RowState::Free)
    return Lease.m_SeenAt + Delay;
  return lapsesAt(State, Lease) + Delay;
}

std::set<Elector> neededPromises(const PoolLease &Lease) {
  std::set<Elector> Needed;
  if (Lease.m_Row)
    Needed.insert(Lease.m_Row->m_Electors.begin(),
                  Lease.m_Row->m_Electors.end());
  for (const SentWrite &Sent : Lease.m_Sent)
    Needed.insert(Sent.m_Row.m_Electors.begin(), Sent.m_Row.m_Electors.end());
  return Needed;
}

LeaseStatus leaseStatus(const OwnershipState &State, const PoolId &Pool,
                        TimePoint Now) {
  auto Found = State.m_Pools.find(Pool);
  if (Found == State.m_Pools.end())
    return LeaseStatus::NotOwner;
  const PoolLease &Lease = Found->second;
  // A release that is under way may take effect at any moment.
  if (Lease.m_Role == Role::Releasing)
    return LeaseStatus::Unconfirmed;
  if (Lease.m_Role != Role::Holding)
    return LeaseStatus::NotOwner;
  if (!State.m_Policy.m_CheckClock)
    return LeaseStatus::Confirmed;
  Duration Valid = holderTime(State.m_Policy, State.m_Policy.m_TimeToLive);
  if (Now < Lease.m_ValidFrom + Valid || isPromised(State, Lease, Now))
    return LeaseStatus::Confirmed;
  return LeaseStatus::Unconfirmed;
}

} // namespace hyssopcross::ownership
