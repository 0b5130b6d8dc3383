#include "Invariants.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::balancing {

namespace {

/// Steps from one full check to the next.
constexpr uint64_t FullCheckSteps = 64;

void checkOwnedSend(const Context &Step, const ServerState &Server) {
  uint32_t Taken = Server.inFlight() + Server.m_AssumedInFlight + 1;
  HYSSOPCROSS_INVARIANT(Taken <= Step.slots(),
                        "in flight at a server stays within its slots");
  HYSSOPCROSS_INVARIANT(Taken <= Server.m_Limit,
                        "in flight at a server stays within its limit");
  if (Server.m_Stage != ServerStage::Cold)
    return;
  HYSSOPCROSS_INVARIANT(Step.m_State.m_Confirmed,
                        "an unconfirmed owner sends nothing to cold servers");
  bool Spaced =
      !Server.m_LastSend || Step.m_Now - *Server.m_LastSend >=
                                Step.policy().m_ColdSpacing / Server.m_Limit;
  HYSSOPCROSS_INVARIANT(Spaced, "sends to a cold server are spaced");
}

void checkFully(const PoolState &State) {
  size_t InFlight = 0;
  for (const auto &[Id, Server] : State.m_Servers)
    InFlight += Server.inFlight();
  HYSSOPCROSS_INVARIANT(InFlight == State.m_Attempts.size(),
                        "in-flight counts agree with the running attempts");
  size_t Queued = 0;
  for (const auto &[Share, Line] : State.m_Queue.m_Shares)
    Queued += Line.size();
  HYSSOPCROSS_INVARIANT(Queued == State.m_Queue.size(),
                        "queued calls agree with their deadlines");
  size_t Waiting = 0;
  for (const auto &[Id, Call] : State.m_Calls) {
    Waiting += Call.m_Queued ? 1 : 0;
    HYSSOPCROSS_INVARIANT(Call.m_Queued == Call.m_Running.empty(),
                          "a call either waits or runs");
  }
  HYSSOPCROSS_INVARIANT(Waiting == Queued, "queued calls are known");
  for (const auto &[Id, Attempt] : State.m_Attempts)
    HYSSOPCROSS_INVARIANT(Attempt.m_Cancelled ||
                              State.m_Calls.contains(Attempt.m_Call),
                          "an attempt that nobody waits for is cancelled");
}

} // namespace

void checkSend(const Context &Step, const CallState &Call,
               const ServerState &Server) {
  HYSSOPCROSS_INVARIANT(Server.m_Listed && !Server.m_Leaving,
                        "leaving servers get no new work");
  HYSSOPCROSS_INVARIANT(Step.m_State.m_InService && !Step.m_State.m_Released,
                        "a pool that does not serve sends nothing new");
  HYSSOPCROSS_INVARIANT(Call.m_Arrival.m_Deadline > Step.m_Now,
                        "no call is sent after its deadline");
  bool Lookup = Step.m_State.m_Entry.m_Class == catalogue::ServiceClass::Lookup;
  HYSSOPCROSS_INVARIANT(Lookup ||
                            (Call.m_Running.empty() && !Call.m_MayHaveRun),
                        "only lookups run a second time");
  if (!Step.isBaseline())
    checkOwnedSend(Step, Server);
}

void checkState(const Context &Step) {
  const PoolState &State = Step.m_State;
  HYSSOPCROSS_INVARIANT(State.m_Queue.size() <= Step.limits().m_Queue,
                        "the queue is bounded");
  const PoolCounters &Counters = State.m_Counters;
  uint64_t Ended = Counters.m_Finished + Counters.m_Refused +
                   Counters.m_HandedOver + Counters.m_Abandoned;
  HYSSOPCROSS_INVARIANT(Counters.m_Arrived == Ended + State.m_Calls.size(),
                        "every call is open or has ended once");
  if (State.m_Steps % FullCheckSteps == 0)
    checkFully(State);
}

} // namespace hyssopcross::balancing
