#include "Servers.h"
#include "Probing.h"
#include "Warmup.h"
#include <algorithm>

namespace hyssopcross::balancing {

namespace {

ServerState &findOrAdd(Context &Step, const ServerId &Id) {
  auto [Found, Added] = Step.m_State.m_Servers.try_emplace(Id);
  if (Added) {
    makeCold(Step, Found->second);
    startProbeBudget(Step, Found->second);
    if (Step.m_State.m_AssumedUntil && Step.m_State.m_AssumeUnknown)
      Found->second.m_AssumedInFlight = Found->second.m_Limit;
  }
  return Found->second;
}

/// A new process answers at the server's address.
void restart(Context &Step, ServerState &Server, const std::string &BootId) {
  Server.m_PreviousBootId = Server.m_BootId;
  Server.m_BootId = BootId;
  Server.m_Leaving = Server.m_ListedLeaving;
  Server.m_RecentLatency = Duration::zero();
  Server.m_UsualLatency = Duration::zero();
  Server.m_LatencySamples = 0;
  Server.m_AssumedInFlight = 0;
  Server.m_Failures = 0;
  ++Step.m_State.m_Counters.m_Drops;
  makeCold(Step, Server);
}

void applyBootId(Context &Step, ServerState &Server,
                 const std::string &BootId) {
  if (BootId.empty() || BootId == Server.m_BootId)
    return;
  if (Server.m_BootId.empty())
    Server.m_BootId = BootId;
  else
    restart(Step, Server, BootId);
}

void applyDraining(Context &Step, ServerState &Server, const LoadReport &Report,
                   ReportSource Source) {
  if (Report.m_Draining && !Server.m_Leaving) {
    Server.m_Leaving = true;
    makeCold(Step, Server);
    return;
  }
  // Without boot identities only a probe tells that the server has restarted;
  // an answer may be older than the draining report.
  bool Returned = !Report.m_Draining && Server.m_Leaving &&
                  !Server.m_ListedLeaving && Report.m_BootId.empty() &&
                  Server.m_BootId.empty() && Source == ReportSource::Probe;
  if (!Returned)
    return;
  Server.m_Leaving = false;
  makeCold(Step, Server);
}

void learnAssumed(ServerState &Server, const LoadReport &Report) {
  uint32_t Own = Server.inFlight();
  uint32_t Others = Report.m_InFlight > Own ? Report.m_InFlight - Own : 0;
  Server.m_AssumedInFlight = std::min(Server.m_AssumedInFlight, Others);
}

void applyRecord(Context &Step, const ServerRecord &Record) {
  ServerState &Server = findOrAdd(Step, Record.m_Server);
  Server.m_Listed = true;
  Server.m_ListedLeaving = Record.m_Leaving;
  Server.m_Leaving = Server.m_Leaving || Record.m_Leaving;
}

void forgetUnlisted(Context &Step) {
  auto &Servers = Step.m_State.m_Servers;
  for (auto At = Servers.begin(); At != Servers.end();) {
    const ServerState &Server = At->second;
    bool Old =
        !Server.m_Listed &&
        Step.m_Now - Server.m_UnlistedSince >= Step.policy().m_ForgetAfter &&
        Server.m_Running.empty();
    At = Old ? Servers.erase(At) : std::next(At);
  }
}

uint32_t connectionsWanted(const Context &Step, const ServerState &Server) {
  if (!isUsable(Step.m_State, Server) || Step.m_State.m_Released)
    return 0;
  double Share = Step.policy().m_OwnerShare;
  if (!Step.m_State.m_Confirmed)
    Share /= 2;
  auto Most = static_cast<uint32_t>(
      static_cast<double>(Step.limits().m_Connections) * Share);
  uint32_t Wanted = Server.m_Stage == ServerStage::Cold
                        ? Server.m_Limit
                        : Step.slots() + Step.policy().m_SpareConnections;
  return std::min(Wanted, std::max(Most, 1U));
}

} // namespace

bool isUsable(const PoolState &State, const ServerState &Server) {
  if (!State.m_Policy.m_Switches.m_HonourLeaving)
    return true;
  return Server.m_Listed && !Server.m_Leaving;
}

void applyReport(Context &Step, ServerState &Server, const LoadReport &Report,
                 ReportSource Source) {
  bool FromEarlierProcess =
      !Report.m_BootId.empty() && Report.m_BootId == Server.m_PreviousBootId;
  if (FromEarlierProcess)
    return;
  applyBootId(Step, Server, Report.m_BootId);
  applyDraining(Step, Server, Report, Source);
  learnAssumed(Server, Report);
  Server.m_Report = Report;
  Server.m_ReportedAt = Step.m_Now;
}

void applyList(Context &Step, std::span<const ServerRecord> Records) {
  std::set<ServerId> Named;
  for (const ServerRecord &Record : Records) {
    Named.insert(Record.m_Server);
    applyRecord(Step, Record);
  }
  for (auto &[Id, Server] : Step.m_State.m_Servers) {
    if (!Server.m_Listed || Named.contains(Id))
      continue;
    Server.m_Listed = false;
    Server.m_UnlistedSince = Step.m_Now;
  }
  forgetUnlisted(Step);
  refreshAllConnections(Step);
}

void applyDigest(Context &Step, const TookOver &Event) {
  PoolState &State = Step.m_State;
  State.m_Released = false;
  State.m_AssumedUntil = Event.m_Until;
  State.m_AssumeUnknown = !Event.m_Exact;
  makeAllCold(Step);
  for (auto &[Id, Server] : State.m_Servers)
    Server.m_AssumedInFlight = Event.m_Exact ? 0 : Server.m_Limit;
  for (const ServerDigest &Record : Event.m_Digest) {
    ServerState &Server = findOrAdd(Step, Record.m_Server);
    bool Contradicted =
        !Server.m_BootId.empty() && Server.m_BootId != Record.m_BootId;
    if (Contradicted)
      continue;
    Server.m_BootId = Record.m_BootId;
    Server.m_Leaving = Server.m_Leaving || Record.m_Leaving;
    if (Record.m_Warm) {
      Server.m_Stage = ServerStage::Warm;
      Server.m_Limit = Record.m_Limit;
      clampLimit(Step, Server);
    }
    Server.m_AssumedInFlight =
        Event.m_Exact ? Record.m_InFlight
                      : std::max(Server.m_Limit, Record.m_InFlight);
  }
  for (auto &[Id, Server] : State.m_Servers)
    startProbeBudget(Step, Server);
  refreshAllConnections(Step);
}

void releaseAssumed(Context &Step) {
  PoolState &State = Step.m_State;
  if (!State.m_AssumedUntil || Step.m_Now < *State.m_AssumedUntil)
    return;
  State.m_AssumedUntil.reset();
  for (auto &[Id, Server] : State.m_Servers)
    Server.m_AssumedInFlight = 0;
}

void makeAllCold(Context &Step) {
  for (auto &[Id, Server] : Step.m_State.m_Servers)
    makeCold(Step, Server);
}

void refreshConnections(Context &Step, const ServerId &Id,
                        ServerState &Server) {
  uint32_t Wanted = connectionsWanted(Step, Server);
  if (Wanted == Server.m_KeptConnections)
    return;
  Server.m_KeptConnections = Wanted;
  Step.m_Actions.emplace_back(KeepConnections{Id, Wanted});
}

void refreshAllConnections(Context &Step) {
  for (auto &[Id, Server] : Step.m_State.m_Servers)
    refreshConnections(Step, Id, Server);
}

} // namespace hyssopcross::balancing
