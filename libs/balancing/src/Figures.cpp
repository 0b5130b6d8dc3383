#include "Admission.h"
#include "Choice.h"
#include "hyssopcross/balancing/Pool.h"

namespace hyssopcross::balancing {

namespace {

void countServer(PoolFigures &Figures, const ServerState &Server) {
  ++Figures.m_Servers;
  Figures.m_InFlight += Server.inFlight();
  if (Server.m_Leaving || !Server.m_Listed) {
    ++Figures.m_Leaving;
    return;
  }
  switch (Server.m_Stage) {
  case ServerStage::Cold:
    ++Figures.m_Cold;
    break;
  case ServerStage::Suspect:
    ++Figures.m_Suspect;
    break;
  case ServerStage::Warm:
    ++Figures.m_Warm;
    break;
  }
}

} // namespace

std::vector<ServerDigest> digest(const PoolState &State) {
  std::vector<ServerDigest> Records;
  Records.reserve(State.m_Servers.size());
  for (const auto &[Id, Server] : State.m_Servers) {
    if (!Server.m_Listed)
      continue;
    Records.push_back({Id, Server.m_BootId, Server.m_Stage != ServerStage::Cold,
                       Server.m_Leaving, Server.m_Limit, Server.inFlight()});
  }
  return Records;
}

PoolFigures figures(const PoolState &State, TimePoint Now) {
  PoolFigures Figures;
  for (const auto &[Id, Server] : State.m_Servers)
    countServer(Figures, Server);
  Figures.m_FreeSlots = freeSlots(State, Now);
  Figures.m_Queued = static_cast<uint32_t>(State.m_Queue.size());
  bool Free = Figures.m_FreeSlots > 0 && Figures.m_Queued == 0;
  if (!Free)
    Figures.m_ExpectedWait = expectedWait(State, Now, State.m_Queue.size());
  Figures.m_CapacityPerSecond = capacityPerSecond(State, Now, false);
  Figures.m_Counters = State.m_Counters;
  return Figures;
}

} // namespace hyssopcross::balancing
