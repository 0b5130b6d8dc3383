#include "World.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>

namespace hyssopcross::testbed {

using namespace balancing;

World::World(Layout Layout)
    : m_Layout(std::move(Layout)), m_Network(m_Layout.m_Timing),
      m_AttemptRandom(m_Layout.m_Seed) {
  for (const ServerLayout &Known : m_Layout.m_Servers)
    m_Servers[Known.m_Name] = std::make_unique<FakeServer>(
        Known, service(Known.m_Service), m_Queue, m_Ledger,
        [this](RequestId Id, const Answer &Answer) {
          returnAnswer(Id, Answer);
        });
  for (const EntryLayout &Known : m_Layout.m_Entries)
    m_Entries.push_back(
        std::make_unique<FakeEntry>(*this, Known, m_Entries.size()));
  startOwners();
  startCallers();
}

const ServiceLayout &World::service(const std::string &Name) const {
  auto Found = std::ranges::find_if(m_Layout.m_Services,
                                    [&Name](const ServiceLayout &Known) {
                                      return Known.m_Entry.m_Name == Name;
                                    });
  HYSSOPCROSS_INVARIANT(Found != m_Layout.m_Services.end(),
                        "a layout names its services");
  return *Found;
}

FakeServer &World::server(const std::string &Name) {
  return *m_Servers.at(Name);
}

FakeEntry *World::findEntry(const std::string &Name) {
  for (auto &Entry : m_Entries)
    if (Entry->layout().m_Name == Name)
      return Entry.get();
  return nullptr;
}

Party World::party(const FakeServer &Server) const {
  return {Server.layout().m_Name, Server.layout().m_DataCentre};
}

catalogue::ServiceEntry World::entryFor(const std::string &Service) const {
  return service(Service).m_Entry;
}

std::vector<ServerRecord> World::listServers(const PoolId &Pool) const {
  std::vector<ServerRecord> Listed;
  bool All = m_Layout.m_Deciders == Deciders::Everyone;
  for (const ServerLayout &Known : m_Layout.m_Servers) {
    if (Known.m_Service != Pool.m_Service)
      continue;
    if (!All && Known.m_DataCentre != Pool.m_DataCentre)
      continue;
    bool Out = All && m_DataCentresOut.contains(Known.m_DataCentre);
    bool Leaving = Out || m_ListedLeaving.contains(Known.m_Name);
    Listed.push_back({Known.m_Name, Leaving});
  }
  return Listed;
}

void World::sendRequest(RequestId Id, const Request &Request, Duration Delay) {
  m_Queue.after(Delay, [this, Id, Request] {
    auto Route = m_Routes.find(Id);
    if (Route == m_Routes.end())
      return;
    Route->second.m_Arrived = true;
    FakeServer &Server = server(Route->second.m_Server);
    if (Route->second.m_Cancelled)
      return returnAnswer(Id, {AnswerKind::Cancelled, Request.m_Call, {}});
    if (!Server.isUp())
      return returnAnswer(Id, {AnswerKind::Refused, Request.m_Call, {}});
    Server.receive(Request);
  });
}

void World::sendCancel(RequestId Id) {
  const Route &Route = m_Routes.at(Id);
  FakeServer &Server = server(Route.m_Server);
  auto Delay =
      m_Network.delay(m_Entries[Route.m_Entry]->party(), party(Server));
  if (!Delay)
    return;
  m_Queue.after(*Delay, [this, Id, &Server] {
    auto Route = m_Routes.find(Id);
    if (Route == m_Routes.end())
      return;
    if (Route->second.m_Arrived)
      Server.cancel(Id);
    else
      Route->second.m_Cancelled = true;
  });
}

void World::returnAnswer(RequestId Id, const Answer &Answer) {
  auto Found = m_Routes.find(Id);
  if (Found == m_Routes.end())
    return;
  Route Route = Found->second;
  FakeEntry &Entry = *m_Entries[Route.m_Entry];
  auto Delay = m_Network.delay(party(server(Route.m_Server)), Entry.party());
  if (!Delay)
    return;
  m_Queue.after(*Delay, [&Entry, Id, Route, Answer] {
    Entry.takeAnswer(Id, Route.m_Pool, Route.m_Attempt, Answer);
  });
}

void World::sendProbe(size_t Index, const PoolId &Pool,
                      const ServerId &Server) {
  ++m_Ledger.m_Probes;
  FakeEntry &Entry = *m_Entries[Index];
  FakeServer &Probed = server(Server);
  auto There = m_Network.delay(Entry.party(), party(Probed));
  auto Back = m_Network.delay(party(Probed), Entry.party());
  bool Lost = !There || !Back;
  constexpr Duration ProbeTimeout = std::chrono::milliseconds(100);
  Duration Wait = Lost ? ProbeTimeout : *There;
  Duration Return = Lost ? Duration::zero() : *Back;
  m_Queue.after(Wait, [this, &Entry, &Probed, Pool, Lost, Return] {
    ProbeEnded Ended{Probed.layout().m_Name, std::nullopt};
    if (!Lost && Probed.isUp())
      Ended.m_Report = Probed.report();
    m_Queue.after(Return,
                  [&Entry, Pool, Ended] { Entry.deliver(Pool, Ended); });
  });
}

} // namespace hyssopcross::testbed
