#ifndef HYSSOPCROSS_OWNERSHIP_CONTEXT_H
#define HYSSOPCROSS_OWNERSHIP_CONTEXT_H

#include "hyssopcross/ownership/Ownership.h"

namespace hyssopcross::ownership {

/// The state, instant and output of one step.
struct Context {
  OwnershipState &m_State;
  TimePoint m_Now;
  std::vector<Action> &m_Actions;
};

// Timing.cpp

/// A length on this VM's clock that is certainly over on every other clock
/// when the same length plus drift is.
Duration holderTime(const OwnershipPolicy &Policy, Duration Length);

/// A length on this VM's clock that certainly covers holderTime() on every
/// other clock.
Duration takerTime(const OwnershipPolicy &Policy, Duration Length);

/// Whether the row names this run of this VM.
bool isOwn(const OwnershipState &State, const LeaseRow &Row);

/// When this VM may write itself into the row it has seen. None if it may not
/// as things stand.
std::optional<TimePoint> takeableAt(const OwnershipState &State,
                                    const PoolLease &Lease);

/// The runs whose promises keep the lease confirmed: the electors of all rows
/// that may stand in the table now.
std::set<Elector> neededPromises(const PoolLease &Lease);

// Rank.cpp

/// Works out the candidates of all pools anew.
void rankPools(OwnershipState &State);

/// This VM's place among the candidates other than the row's owner.
std::optional<size_t> ownRank(const OwnershipState &State,
                              const PoolLease &Lease);

/// The first candidates other than this VM.
std::vector<Elector> chooseElectors(const OwnershipState &State,
                                    const PoolLease &Lease);

bool isCandidate(const OwnershipState &State);

// Store.cpp

void sendRead(Context &Step, const PoolId &Pool, PoolLease &Lease);

/// Commits rows in one transaction. Sets the request of each pool.
void sendCommit(Context &Step, std::vector<PoolWrite> Writes);

void takeReadAnswer(Context &Step, const ReadSucceeded &Answer);
void takeReadFailure(Context &Step, uint64_t Request);
void takeCommitEnd(Context &Step, const CommitEnded &Answer);
/// Treats requests that have stayed without an answer as failed.
void expireRequests(Context &Step);

// Lease.cpp

/// A row with this VM as the owner.
LeaseRow ownRow(OwnershipState &State, const PoolLease &Lease, uint64_t Epoch,
                uint64_t Renewal);

/// Reads, takes, renews and releases what is due.
void driveLeases(Context &Step);

/// A write of this VM has made it the owner, or it finds itself named as such.
void becomeHolder(Context &Step, const PoolId &Pool, PoolLease &Lease);

/// Another VM owns the pool, or nobody does.
void loseLease(PoolLease &Lease);

/// Tells the host who owns a pool now.
void reportOwner(Context &Step, const PoolId &Pool, const PoolLease &Lease);

// HandOver.cpp

/// Starts, releases and ends hand-overs.
void driveHandOvers(Context &Step);
void takeMessage(Context &Step, const HandOverOffer &Offer);
void takeMessage(Context &Step, const HandOverAnswer &Answer);
void takeMessage(Context &Step, const HandOverReleased &Notice);
void takeMessage(Context &Step, const HandOverConfirmed &Notice);
/// A release has taken effect.
void finishRelease(Context &Step, const PoolId &Pool, PoolLease &Lease);

/// The row that releases the lease to the accepted successor, or to nobody.
LeaseRow releaseRow(OwnershipState &State, const PoolLease &Lease);

// Promises.cpp

/// Asks for promises, if a lease cannot be renewed.
void drivePromises(Context &Step);
void takeMessage(Context &Step, const PromiseRequest &Request);
void takeMessage(Context &Step, const PromiseAnswer &Answer);

/// Sends a message to another VM.
void sendTo(Context &Step, const std::string &Name, Message Value);

} // namespace hyssopcross::ownership

#endif
