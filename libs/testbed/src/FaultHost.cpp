#include "World.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>
#include <cmath>

namespace hyssopcross::testbed {

using namespace balancing;

namespace {

Duration fromMilliseconds(double Milliseconds) {
  return Duration(std::llround(Milliseconds * 1e6));
}

} // namespace

void World::endLater(const Fault &Fault, std::function<void()> End) {
  if (Fault.m_For > Duration::zero())
    m_Queue.after(Fault.m_For, std::move(End));
}

void World::apply(const Fault &Fault) {
  switch (Fault.m_Kind) {
  case FaultKind::Cut:
  case FaultKind::Delay:
    return disturb(Fault);
  case FaultKind::StoreDown:
    setStoreUp(false);
    return endLater(Fault, [this] { setStoreUp(true); });
  case FaultKind::ListLag:
    m_Layout.m_Timing.m_ListLag = fromMilliseconds(Fault.m_Amount);
    return;
  case FaultKind::DataCentreOut:
  case FaultKind::DataCentreBack:
    return changeDataCentre(Fault);
  case FaultKind::LimitConcurrency:
  case FaultKind::LoadBurst:
  case FaultKind::NoisyNeighbour:
    return changeLoad(Fault);
  default:
    break;
  }
  if (FakeEntry *Entry = findEntry(Fault.m_Target))
    return applyToEntry(Entry->index(), Fault);
  applyToServer(server(Fault.m_Target), Fault);
}

void World::applyToEntry(size_t Index, const Fault &Fault) {
  FakeEntry &Entry = *m_Entries[Index];
  if (!Entry.isLive())
    return;
  if (Fault.m_Kind == FaultKind::Stop)
    return stopEntry(Index);
  loseEntry(Index);
  if (Fault.m_Kind == FaultKind::Freeze) {
    Entry.freeze();
    return endLater(Fault, [this, &Entry, Index] {
      if (!Entry.isFrozen())
        return;
      Entry.unfreeze();
      reviveEntry(Index);
      Entry.runHeld();
    });
  }
  Entry.kill();
  for (const auto &[Call, Open] : m_Open)
    if (std::ranges::find(Open.m_Path, Index) != Open.m_Path.end())
      m_Queue.after(m_Layout.m_Timing.m_Client, [this, Call = Call] {
        close(Call, Told::Unknown, Duration::zero(), false);
      });
  endLater(Fault, [this, &Entry, Index] {
    Entry.restart();
    reviveEntry(Index);
    if (m_Layout.m_Deciders == Deciders::Owners)
      return;
    for (const ServiceLayout &Service : m_Layout.m_Services) {
      bool All = m_Layout.m_Deciders == Deciders::Everyone;
      PoolId Pool{Service.m_Entry.m_Name,
                  All ? "all" : Entry.layout().m_DataCentre};
      startPool(Index, Pool, {trueDigest(Pool), m_Queue.now(), true});
    }
  });
}

void World::stopServer(FakeServer &Server) {
  Server.stop();
  const std::string &Name = Server.layout().m_Name;
  for (auto &Entry : m_Entries)
    for (auto &[Id, Pool] : Entry->pools()) {
      HostedConnections &Kept = Pool->m_Connections[Name];
      if (Kept.m_Open == Kept.m_Busy)
        continue;
      Kept.m_Open = Kept.m_Busy;
      Entry->deliver(Id, ConnectionsChanged{Name, Kept.m_Open});
    }
}

void World::restartCold(FakeServer &Server) {
  if (Server.isUp())
    stopServer(Server);
  Server.start(true);
}

void World::applyToServer(FakeServer &Server, const Fault &Fault) {
  std::string Name = Server.layout().m_Name;
  switch (Fault.m_Kind) {
  case FaultKind::Kill:
    stopServer(Server);
    return endLater(Fault, [this, &Server] { restartCold(Server); });
  case FaultKind::Slow:
    Server.setSlowness(Fault.m_Amount);
    return endLater(Fault, [&Server] { Server.setSlowness(1.0); });
  case FaultKind::FailFast:
    Server.setFailingFast(true);
    return endLater(Fault, [&Server] { Server.setFailingFast(false); });
  case FaultKind::CrossAnswers:
    Server.setCrossing(true);
    return endLater(Fault, [&Server] { Server.setCrossing(false); });
  case FaultKind::CutAnswers:
    Server.setCutting(true);
    return endLater(Fault, [&Server] { Server.setCutting(false); });
  case FaultKind::LateAnswers:
    Server.setLateness(fromMilliseconds(Fault.m_Amount));
    return endLater(Fault, [&Server] { Server.setLateness({}); });
  case FaultKind::Cold:
    return restartCold(Server);
  case FaultKind::ColdWithoutWarning:
    return Server.turnCold();
  case FaultKind::Drain:
    Server.setDraining(true);
    m_Queue.after(m_Layout.m_Timing.m_ListLag, [this, Name] {
      m_ListedLeaving.insert(Name);
      announceServers();
    });
    return endLater(Fault, [this, &Server, Name] {
      restartCold(Server);
      m_Queue.after(m_Layout.m_Timing.m_ListLag, [this, Name] {
        m_ListedLeaving.erase(Name);
        announceServers();
      });
    });
  default:
    HYSSOPCROSS_INVARIANT(false, "a fault fits its target");
  }
}

void World::disturb(const Fault &Fault) {
  bool Cut = Fault.m_Kind == FaultKind::Cut;
  Duration Delay = Cut ? Duration::zero() : fromMilliseconds(Fault.m_Amount);
  std::vector<uint64_t> Ids;
  Ids.push_back(m_Network.disturb({Fault.m_Target, Fault.m_Other, Cut, Delay}));
  if (Fault.m_BothWays)
    Ids.push_back(
        m_Network.disturb({Fault.m_Other, Fault.m_Target, Cut, Delay}));
  endLater(Fault, [this, Ids] {
    for (uint64_t Id : Ids)
      m_Network.restore(Id);
  });
}

void World::changeLoad(const Fault &Fault) {
  if (Fault.m_Kind == FaultKind::LimitConcurrency) {
    for (ServiceLayout &Service : m_Layout.m_Services)
      if (Service.m_Entry.m_Name == Fault.m_Target)
        Service.m_Entry.m_Limits.m_Concurrency =
            static_cast<uint32_t>(Fault.m_Amount);
    m_Queue.after(m_Layout.m_Timing.m_InForce, [this] { announceEntries(); });
    return;
  }
  auto SetFactor = [this, Fault](double Factor) {
    bool ByKey = Fault.m_Kind == FaultKind::NoisyNeighbour;
    for (size_t I = 0; I < m_Callers.size(); ++I) {
      Callers &Known = m_Callers[I];
      const std::string &Name =
          ByKey ? Known.m_Load.m_ShareKey : Known.m_Load.m_Service;
      if (Name != Fault.m_Target)
        continue;
      Known.m_Factor = Factor;
      ++Known.m_Generation;
      scheduleArrival(I);
    }
  };
  SetFactor(Fault.m_Amount);
  endLater(Fault, [SetFactor] { SetFactor(1.0); });
}

void World::changeDataCentre(const Fault &Fault) {
  bool Out = Fault.m_Kind == FaultKind::DataCentreOut;
  std::string Name = Fault.m_Target;
  if (!Out)
    for (auto &[ServerName, Server] : m_Servers)
      if (Server->layout().m_DataCentre == Name)
        restartCold(*Server);
  m_Queue.after(m_Layout.m_Timing.m_InForce, [this, Out, Name] {
    if (Out)
      m_DataCentresOut.insert(Name);
    else
      m_DataCentresOut.erase(Name);
    announceEntries();
    if (m_Layout.m_Deciders == Deciders::Everyone)
      announceServers();
  });
  if (Out)
    endLater(Fault, [this, Name] {
      changeDataCentre({FaultKind::DataCentreBack, Name, {}, {}, 0, true});
    });
}

} // namespace hyssopcross::testbed
