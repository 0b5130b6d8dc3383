#include "Context.h"
#include "hyssopcross/membership/Rendezvous.h"

namespace hyssopcross::ownership {

namespace {

using Names = std::vector<std::string>;

/// The candidates of each data centre.
std::map<std::string, Names> byDataCentre(const OwnershipState &State) {
  std::map<std::string, Names> Result;
  for (const auto &[Name, Known] : State.m_Candidates)
    Result[Known.m_Candidate.m_DataCentre].push_back(Name);
  return Result;
}

Names rankFor(const OwnershipState &State, const PoolId &Pool,
              const std::map<std::string, Names> &Centres) {
  std::string Key = leaseKey(Pool);
  auto Home = Centres.find(Pool.m_DataCentre);
  if (Home != Centres.end())
    return membership::rankByRendezvous(Key, Home->second, Home->second.size());
  Names All;
  for (const auto &[Name, Known] : State.m_Candidates)
    All.push_back(Name);
  // Enough for an owner, its electors and their successors.
  return membership::rankByRendezvous(Key, All,
                                      2 * State.m_Policy.m_Electors + 1);
}

} // namespace

bool isCandidate(const OwnershipState &State) {
  auto Found = State.m_Candidates.find(State.m_Self.m_Name);
  return Found != State.m_Candidates.end();
}

std::vector<std::string> rankCandidates(const OwnershipState &State,
                                        const PoolId &Pool) {
  return rankFor(State, Pool, byDataCentre(State));
}

void rankPools(OwnershipState &State) {
  auto Centres = byDataCentre(State);
  for (auto &[Pool, Lease] : State.m_Pools)
    Lease.m_Ranked = rankFor(State, Pool, Centres);
}

std::optional<size_t> ownRank(const OwnershipState &State,
                              const PoolLease &Lease) {
  size_t Rank = 0;
  for (const std::string &Name : Lease.m_Ranked) {
    if (Name == State.m_Self.m_Name)
      return Rank;
    bool Owner = Lease.m_Row && Lease.m_Row->m_Owner == Name;
    Rank += Owner ? 0 : 1;
  }
  return {};
}

std::vector<Elector> chooseElectors(const OwnershipState &State,
                                    const PoolLease &Lease) {
  // While a write may still take effect, its electors stay the same: thus at
  // most two sets of electors have to promise.
  if (!Lease.m_Sent.empty())
    return Lease.m_Sent.back().m_Row.m_Electors;
  std::vector<Elector> Electors;
  for (const std::string &Name : Lease.m_Ranked)
    if (Name != State.m_Self.m_Name &&
        Electors.size() < State.m_Policy.m_Electors)
      Electors.push_back(
          {Name, State.m_Candidates.at(Name).m_Candidate.m_Incarnation});
  return Electors;
}

std::optional<std::string> successorOf(const OwnershipState &State,
                                       const PoolId &Pool) {
  auto Found = State.m_Pools.find(Pool);
  if (Found == State.m_Pools.end() || Found->second.m_Role != Role::Holding)
    return {};
  for (const std::string &Name : Found->second.m_Ranked)
    if (Name != State.m_Self.m_Name)
      return Name;
  return {};
}

} // namespace hyssopcross::ownership
