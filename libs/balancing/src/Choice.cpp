#include "Choice.h"
#include "Latency.h"
#include "Servers.h"
#include "Warmup.h"
#include <algorithm>

namespace hyssopcross::balancing {

namespace {

/// Each recent failure makes a server dearer by this multiple of its cost.
constexpr int FailureCost = 4;
constexpr uint32_t MaxCountedFailures = 8;

uint32_t takenSlots(const PoolState &State, const ServerState &Server) {
  uint32_t Assumed =
      State.m_Policy.m_Switches.m_AssumeTaken ? Server.m_AssumedInFlight : 0;
  return Server.inFlight() + Assumed;
}

bool hasFreeSlot(const PoolState &State, const ServerState &Server) {
  if (!State.m_Policy.m_Switches.m_EnforceLimits)
    return true;
  return takenSlots(State, Server) < concurrencyLimit(State, Server);
}

TimePoint readyAt(const PoolState &State, const ServerState &Server) {
  if (!Server.m_LastSend)
    return TimePoint::min();
  return *Server.m_LastSend + sendSpacing(State, Server);
}

/// Expected service time, longer for a server that shares its machine with
/// more of our requests, has failed lately or has no idle connection.
Duration cost(const PoolState &State, const ServerState &Server,
              TimePoint Now) {
  Duration Expected = expectedServiceTime(State, Server, Now);
  Duration Cost = Expected * (1 + takenSlots(State, Server));
  bool FailedLately = Server.m_Failures > 0 &&
                      Now - Server.m_StepSince < State.m_Policy.m_ColdStep;
  if (FailedLately)
    Cost *= 1 + FailureCost * std::min(Server.m_Failures, MaxCountedFailures);
  if (Server.m_OpenConnections &&
      *Server.m_OpenConnections <= Server.inFlight())
    Cost += State.m_Policy.m_ConnectCost;
  return Cost;
}

struct Candidate {
  ServerRef m_Ref;
  Duration m_Cost = Duration::max();
};

/// Keeps the cheaper candidate, and among equals the one idle for longer.
void keepBetter(Candidate &Best, ServerRef Ref, Duration Cost) {
  if (Best.m_Ref.m_Server) {
    if (Cost > Best.m_Cost)
      return;
    if (Cost == Best.m_Cost &&
        Best.m_Ref.m_Server->m_LastSend <= Ref.m_Server->m_LastSend)
      return;
  }
  Best = {Ref, Cost};
}

bool isColdDue(const Context &Step, const ServerState &Server) {
  return !Server.m_LastSend ||
         Step.m_Now - *Server.m_LastSend >= Step.policy().m_ColdExploreSpacing;
}

} // namespace

bool mayServe(const PoolState &State, const ServerState &Server) {
  if (!isUsable(State, Server))
    return false;
  return State.m_Confirmed || Server.m_Stage != ServerStage::Cold ||
         !State.m_Policy.m_Switches.m_HoldUnconfirmed;
}

bool canSend(const PoolState &State, const ServerState &Server, TimePoint Now) {
  return mayServe(State, Server) && hasFreeSlot(State, Server) &&
         Now >= readyAt(State, Server);
}

bool isSlowed(const PoolState &State, const ServerState &Server,
              TimePoint Now) {
  const PoolPolicy &Policy = State.m_Policy;
  if (!Policy.m_Switches.m_AvoidSlowed || Server.m_Running.empty())
    return false;
  Duration Age = Now - Server.m_Running.front().m_Started;
  if (Age < Policy.m_SlowedFloor)
    return false;
  Duration Usual = Server.m_UsualLatency == Duration::zero()
                       ? meanServiceTime(State)
                       : Server.m_UsualLatency;
  return Age > scale(Usual, Policy.m_SlowedFactor);
}

Choice chooseServer(Context &Step) {
  PoolState &State = Step.m_State;
  Choice Found;
  Candidate Trusted;
  Candidate Cold;
  Candidate Slowed;
  bool ColdDue = false;
  bool HealthyExists = false;
  for (auto &[Id, Server] : State.m_Servers) {
    if (!mayServe(State, Server))
      continue;
    Found.m_AnyUsable = true;
    bool IsCold = Server.m_Stage == ServerStage::Cold;
    bool IsSlowed = isSlowed(State, Server, Step.m_Now);
    HealthyExists = HealthyExists || (!IsSlowed && !IsCold);
    if (!hasFreeSlot(State, Server))
      continue;
    if (Step.m_Now < readyAt(State, Server)) {
      keepEarlier(Found.m_ReadyAt, readyAt(State, Server));
      continue;
    }
    ServerRef Ref{&Id, &Server};
    if (IsCold) {
      keepBetter(Cold, Ref, Duration::zero());
      ColdDue = ColdDue || isColdDue(Step, Server);
      continue;
    }
    Candidate &Best = IsSlowed ? Slowed : Trusted;
    keepBetter(Best, Ref, cost(State, Server, Step.m_Now));
  }
  if (Cold.m_Ref.m_Server && (ColdDue || !Trusted.m_Ref.m_Server))
    Found.m_Best = Cold.m_Ref;
  else if (Trusted.m_Ref.m_Server)
    Found.m_Best = Trusted.m_Ref;
  else if (!HealthyExists)
    Found.m_Best = Slowed.m_Ref;
  return Found;
}

ServerRef chooseForHedge(Context &Step, const ServerId &Taken) {
  PoolState &State = Step.m_State;
  Candidate Best;
  for (auto &[Id, Server] : State.m_Servers) {
    if (Id == Taken || Server.m_Stage != ServerStage::Warm)
      continue;
    if (!canSend(State, Server, Step.m_Now) ||
        isSlowed(State, Server, Step.m_Now))
      continue;
    keepBetter(Best, {&Id, &Server}, cost(State, Server, Step.m_Now));
  }
  return Best.m_Ref;
}

uint32_t freeSlots(const PoolState &State, TimePoint Now) {
  uint32_t Free = 0;
  for (const auto &[Id, Server] : State.m_Servers) {
    if (Server.m_Stage == ServerStage::Cold || !canSend(State, Server, Now) ||
        isSlowed(State, Server, Now))
      continue;
    uint32_t Taken = takenSlots(State, Server);
    uint32_t Limit = concurrencyLimit(State, Server);
    Free += Limit > Taken ? Limit - Taken : 0;
  }
  uint32_t Concurrency = State.m_Entry.m_Limits.m_Concurrency;
  if (Concurrency == 0)
    return Free;
  auto Running = static_cast<uint32_t>(State.m_Attempts.size());
  return std::min(Free, Concurrency > Running ? Concurrency - Running : 0);
}

bool isConcurrencyReached(const PoolState &State) {
  uint32_t Concurrency = State.m_Entry.m_Limits.m_Concurrency;
  return Concurrency != 0 && State.m_Attempts.size() >= Concurrency &&
         State.m_Policy.m_Switches.m_EnforceLimits;
}

} // namespace hyssopcross::balancing
