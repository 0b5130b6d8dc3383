#include "Probing.h"
#include "Baselines.h"
#include "Servers.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>

namespace hyssopcross::balancing {

namespace {

std::optional<Duration> intervalAt(double ProbesPerSecond) {
  if (ProbesPerSecond <= 0)
    return std::nullopt;
  return scale(std::chrono::seconds(1), 1.0 / ProbesPerSecond);
}

bool hasBudget(const Context &Step, const ServerState &Server) {
  if (Server.m_ProbeRunning)
    return false;
  if (!Step.switches().m_ProbeBudget)
    return true;
  std::optional<Duration> Interval = probeInterval(Step.m_State);
  return Interval && Step.m_Now >= Server.m_ProbedAt + *Interval;
}

/// When the server should be probed next.
TimePoint dueAt(const Context &Step, const ServerState &Server) {
  TimePoint Due = Server.m_ProbedAt;
  if (Step.switches().m_ProbeBudget)
    Due += probeInterval(Step.m_State).value_or(std::chrono::hours(24));
  if (Server.m_Report)
    Due = std::max(Due, Server.m_ReportedAt + Step.policy().m_ReportFreshness);
  return Due;
}

void probe(Context &Step, const ServerId &Id, ServerState &Server) {
  std::optional<Duration> Least = intervalAt(Step.limits().m_ProbesPerSecond);
  bool InBudget = Least && (!Server.m_LastProbe ||
                            Step.m_Now - *Server.m_LastProbe >= *Least);
  HYSSOPCROSS_INVARIANT(InBudget, "probes keep to the server's budget");
  Server.m_ProbeRunning = true;
  Server.m_ProbedAt = Step.m_Now;
  Server.m_LastProbe = Step.m_Now;
  ++Step.m_State.m_Counters.m_Probes;
  Step.m_Actions.emplace_back(SendProbe{Id});
}

} // namespace

std::optional<Duration> probeInterval(const PoolState &State) {
  double Share = std::min(State.m_Policy.m_OwnerShare, 1.0);
  if (!State.m_Confirmed)
    Share /= 2;
  return intervalAt(State.m_Entry.m_Limits.m_ProbesPerSecond * Share);
}

void startProbeBudget(Context &Step, ServerState &Server) {
  Server.m_ProbedAt = Step.m_Now;
  std::optional<Duration> Interval = probeInterval(Step.m_State);
  if (Interval)
    Server.m_ProbedAt += scale(*Interval, drawUnit(Step.m_State));
  Step.m_State.m_NextProbe.reset();
}

void sendDueProbes(Context &Step) {
  PoolState &State = Step.m_State;
  if (State.m_NextProbe && Step.m_Now < *State.m_NextProbe)
    return;
  TimePoint Next = TimePoint::max();
  for (auto &[Id, Server] : State.m_Servers) {
    if (!Server.m_Listed || Server.m_ProbeRunning)
      continue;
    if (dueAt(Step, Server) <= Step.m_Now)
      probe(Step, Id, Server);
    else
      Next = std::min(Next, dueAt(Step, Server));
  }
  State.m_NextProbe = Next;
}

void probeIfAllowed(Context &Step, const ServerId &Id, ServerState &Server) {
  if (hasBudget(Step, Server))
    probe(Step, Id, Server);
}

void endProbe(Context &Step, const ProbeEnded &Event) {
  auto Known = Step.m_State.m_Servers.find(Event.m_Server);
  if (Known == Step.m_State.m_Servers.end())
    return;
  ServerState &Server = Known->second;
  Server.m_ProbeRunning = false;
  if (Event.m_Report) {
    applyReport(Step, Server, *Event.m_Report, ReportSource::Probe);
    poolReport(Step, Known->first, Server);
  }
  refreshConnections(Step, Known->first, Server);
  if (Step.m_State.m_NextProbe)
    Step.m_State.m_NextProbe =
        std::min(*Step.m_State.m_NextProbe, dueAt(Step, Server));
}

} // namespace hyssopcross::balancing
