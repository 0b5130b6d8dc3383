#include "Baselines.h"
#include "Latency.h"
#include "Probing.h"
#include "Servers.h"
#include <algorithm>

namespace hyssopcross::balancing {

namespace {

std::vector<ServerRef> usableServers(Context &Step) {
  std::vector<ServerRef> Usable;
  Usable.reserve(Step.m_State.m_Servers.size());
  for (auto &[Id, Server] : Step.m_State.m_Servers)
    if (isUsable(Step.m_State, Server))
      Usable.push_back({&Id, &Server});
  return Usable;
}

ServerRef drawServer(Context &Step, const std::vector<ServerRef> &Usable) {
  return Usable[drawIndex(Step.m_State, Usable.size())];
}

ServerRef chooseOfTwo(Context &Step, const std::vector<ServerRef> &Usable) {
  size_t First = drawIndex(Step.m_State, Usable.size());
  if (Usable.size() == 1)
    return Usable[First];
  size_t Second = drawIndex(Step.m_State, Usable.size() - 1);
  if (Second >= First)
    ++Second;
  bool FirstBusier =
      Usable[First].m_Server->inFlight() > Usable[Second].m_Server->inFlight();
  return Usable[FirstBusier ? Second : First];
}

uint32_t reportedLoad(const ServerState &Server) {
  if (!Server.m_Report)
    return 0;
  return Server.m_Report->m_InFlight + Server.m_Report->m_Queued;
}

ServerRef chooseLeastReported(Context &Step,
                              const std::vector<ServerRef> &Usable) {
  uint32_t Least = UINT32_MAX;
  std::vector<ServerRef> Best;
  for (ServerRef Ref : Usable) {
    uint32_t Load = reportedLoad(*Ref.m_Server);
    if (Load > Least)
      continue;
    if (Load < Least)
      Best.clear();
    Least = Load;
    Best.push_back(Ref);
  }
  return drawServer(Step, Best);
}

void dropOldProbes(Context &Step) {
  std::erase_if(Step.m_State.m_ProbePool, [&Step](const PooledProbe &Probe) {
    auto Server = Step.m_State.m_Servers.find(Probe.m_Server);
    return Step.m_Now - Probe.m_At > Step.policy().m_ProbePoolAge ||
           Probe.m_Uses >= Step.policy().m_ProbePoolUses ||
           Server == Step.m_State.m_Servers.end() ||
           !isUsable(Step.m_State, Server->second);
  });
}

/// The load above which a server counts as hot.
uint32_t hotLoad(const Context &Step) {
  std::vector<uint32_t> Loads;
  for (const PooledProbe &Probe : Step.m_State.m_ProbePool)
    Loads.push_back(Probe.m_Load);
  auto Rank = static_cast<size_t>(static_cast<double>(Loads.size() - 1) *
                                  Step.policy().m_ProbePoolHot);
  std::nth_element(Loads.begin(),
                   Loads.begin() + static_cast<std::ptrdiff_t>(Rank),
                   Loads.end());
  return Loads[Rank];
}

bool isBetter(const PooledProbe &A, const PooledProbe &B, uint32_t Hot) {
  bool HotA = A.m_Load > Hot;
  bool HotB = B.m_Load > Hot;
  if (HotA != HotB)
    return HotB;
  return HotA ? A.m_Load < B.m_Load : A.m_Latency < B.m_Latency;
}

ServerRef chooseByProbes(Context &Step, const std::vector<ServerRef> &Usable) {
  dropOldProbes(Step);
  auto &Pool = Step.m_State.m_ProbePool;
  if (Pool.empty())
    return drawServer(Step, Usable);
  uint32_t Hot = hotLoad(Step);
  auto Best = std::min_element(
      Pool.begin(), Pool.end(),
      [Hot](const auto &A, const auto &B) { return isBetter(A, B, Hot); });
  ++Best->m_Uses;
  // The call that follows is load that the probe has not seen.
  ++Best->m_Load;
  auto Server = Step.m_State.m_Servers.find(Best->m_Server);
  return {&Server->first, &Server->second};
}

} // namespace

Choice chooseByBaseline(Context &Step) {
  Choice Found;
  std::vector<ServerRef> Usable = usableServers(Step);
  Found.m_AnyUsable = !Usable.empty();
  if (Usable.empty())
    return Found;
  switch (Step.policy().m_Choice) {
  case ChoicePolicy::OwnerQueue:
  case ChoicePolicy::Random:
    Found.m_Best = drawServer(Step, Usable);
    break;
  case ChoicePolicy::TwoChoices:
    Found.m_Best = chooseOfTwo(Step, Usable);
    break;
  case ChoicePolicy::LeastReported:
    Found.m_Best = chooseLeastReported(Step, Usable);
    break;
  case ChoicePolicy::ProbePool:
    Found.m_Best = chooseByProbes(Step, Usable);
    break;
  }
  return Found;
}

void poolReport(Context &Step, const ServerId &Id, const ServerState &Server) {
  if (Step.policy().m_Choice != ChoicePolicy::ProbePool)
    return;
  auto &Pool = Step.m_State.m_ProbePool;
  Pool.push_back({Id, reportedLoad(Server),
                  expectedServiceTime(Step.m_State, Server, Step.m_Now),
                  Step.m_Now, 0});
  while (Pool.size() > Step.policy().m_ProbePoolSize)
    Pool.pop_front();
}

void sendCallProbes(Context &Step) {
  if (Step.policy().m_Choice != ChoicePolicy::ProbePool)
    return;
  std::vector<ServerRef> Usable = usableServers(Step);
  if (Usable.empty())
    return;
  for (uint32_t Count = 0; Count < Step.policy().m_ProbesPerCall; ++Count) {
    ServerRef Ref = drawServer(Step, Usable);
    probeIfAllowed(Step, *Ref.m_Id, *Ref.m_Server);
  }
}

} // namespace hyssopcross::balancing
