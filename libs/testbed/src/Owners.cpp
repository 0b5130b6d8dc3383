#include "World.h"
#include <algorithm>

namespace hyssopcross::testbed {

using namespace balancing;

namespace {

constexpr Duration TakeOverRetry = std::chrono::milliseconds(500);
constexpr Duration StoreRoundTrip = std::chrono::milliseconds(5);

} // namespace

std::vector<ServerDigest> World::trueDigest(const PoolId &Pool) const {
  std::vector<ServerDigest> Digest;
  for (const ServerRecord &Listed : listServers(Pool)) {
    const FakeServer &Server = *m_Servers.at(Listed.m_Server);
    ServerDigest Known;
    Known.m_Server = Listed.m_Server;
    Known.m_BootId = Server.report().m_BootId;
    Known.m_Warm = !Server.isCold();
    Known.m_Limit =
        Known.m_Warm ? entryFor(Pool.m_Service).m_Limits.m_Slots : 0;
    Digest.push_back(Known);
  }
  return Digest;
}

bool World::isInService(const PoolId &Pool) const {
  return !m_DataCentresOut.contains(Pool.m_DataCentre);
}

void World::startOwners() {
  bool Owners = m_Layout.m_Deciders == Deciders::Owners;
  bool All = m_Layout.m_Deciders == Deciders::Everyone;
  for (const ServiceLayout &Service : m_Layout.m_Services) {
    std::string Name = Service.m_Entry.m_Name;
    for (const std::string &DataCentre : m_Layout.m_DataCentres) {
      PoolId Pool{Name, DataCentre};
      if (Owners && !listServers(Pool).empty()) {
        m_Owners[Pool] = successor(Pool).value_or(0);
        startPool(m_Owners[Pool], Pool,
                  {trueDigest(Pool), m_Queue.now(), true});
      }
    }
    for (size_t I = 0; !Owners && I < m_Entries.size(); ++I) {
      PoolId Pool{Name, All ? "all" : m_Entries[I]->layout().m_DataCentre};
      startPool(I, Pool, {trueDigest(Pool), m_Queue.now(), true});
    }
  }
  if (Owners)
    sendDigests();
}

void World::startPool(size_t Index, const PoolId &Pool, TookOver TookOver) {
  FakeEntry &Entry = *m_Entries[Index];
  HostedPool *Hosted = Entry.find(Pool);
  if (!Hosted)
    Hosted = &Entry.host(Pool);
  Hosted->m_Deposed = false;
  Entry.deliver(Pool,
                EntryChanged{entryFor(Pool.m_Service), isInService(Pool)});
  Entry.deliver(Pool, ServersListed{listServers(Pool)});
  Entry.deliver(Pool, PeersListed{peersOf(Pool)});
  Entry.deliver(Pool, LeaseChanged{true});
  Entry.deliver(Pool, std::move(TookOver));
}

std::optional<size_t> World::ownerOf(const PoolId &Pool) const {
  auto Found = m_Owners.find(Pool);
  if (Found == m_Owners.end())
    return std::nullopt;
  return Found->second;
}

std::vector<PoolId> World::poolsOf(const std::string &Service) const {
  std::vector<PoolId> Pools;
  for (const auto &[Pool, Owner] : m_Owners)
    if (Pool.m_Service == Service)
      Pools.push_back(Pool);
  return Pools;
}

std::optional<size_t> World::successor(const PoolId &Pool) const {
  auto Held = [this](size_t Entry) {
    return std::ranges::count_if(
        m_Owners, [Entry](const auto &Item) { return Item.second == Entry; });
  };
  std::optional<size_t> Best;
  bool BestIsNear = false;
  for (size_t I = 0; I < m_Entries.size(); ++I) {
    if (!m_Entries[I]->isLive() || m_KnownLost.contains(I))
      continue;
    bool Near = m_Entries[I]->layout().m_DataCentre == Pool.m_DataCentre;
    bool Better = !Best || (Near && !BestIsNear) ||
                  (Near == BestIsNear && Held(I) < Held(*Best));
    if (!Better)
      continue;
    Best = I;
    BestIsNear = Near;
  }
  return Best;
}

std::vector<PoolId> World::peersOf(const PoolId &Pool) const {
  std::vector<PoolId> Peers = poolsOf(Pool.m_Service);
  std::erase_if(Peers, [this, &Pool](const PoolId &Known) {
    return Known == Pool || !isInService(Known);
  });
  return Peers;
}

void World::loseEntry(size_t Entry) {
  uint64_t Change = ++m_EntryChanges[Entry];
  TimePoint LostAt = m_Queue.now();
  m_Queue.after(m_Layout.m_Timing.m_Detection, [this, Entry, Change] {
    if (m_EntryChanges[Entry] == Change)
      m_KnownLost.insert(Entry);
  });
  for (const auto &[Pool, Owner] : m_Owners) {
    if (Owner != Entry)
      continue;
    m_Queue.after(m_Layout.m_Timing.m_LeaseTtl,
                  [this, Pool = Pool, Entry, LostAt, Change] {
                    FakeEntry &Lost = *m_Entries[Entry];
                    bool Paused = Lost.find(Pool) != nullptr;
                    if (Paused && m_EntryChanges[Entry] != Change)
                      return;
                    takeOver(Pool, Entry, LostAt);
                  });
  }
}

void World::takeOver(const PoolId &Pool, size_t Lost, TimePoint LostAt) {
  FakeEntry &Holder = *m_Entries[Lost];
  bool Serves = Holder.isLive() && Holder.find(Pool);
  if (m_Owners[Pool] != Lost || Serves)
    return;
  std::optional<size_t> Next = successor(Pool);
  if (!m_StoreUp || !Next) {
    m_Queue.after(TakeOverRetry,
                  [this, Pool, Lost, LostAt] { takeOver(Pool, Lost, LostAt); });
    return;
  }
  m_Owners[Pool] = *Next;
  startPool(*Next, Pool, {m_Digests[Pool], LostAt + longestTimeout(), false});
}

void World::stopEntry(size_t Index) {
  m_KnownLost.insert(Index);
  FakeEntry &Entry = *m_Entries[Index];
  for (auto &[Pool, Owner] : m_Owners) {
    std::optional<size_t> Next = successor(Pool);
    HostedPool *Hosted = Entry.find(Pool);
    if (Owner != Index || !Next || !Hosted)
      continue;
    Owner = *Next;
    Hosted->m_Deposed = true;
    Duration Longest = longestTimeout();
    startPool(*Next, Pool,
              {digest(Hosted->m_State), m_Queue.now() + Longest, true});
    Entry.deliver(Pool, Released{});
  }
}

Duration World::longestTimeout() const {
  Duration Longest{};
  for (const LoadLayout &Load : m_Layout.m_Loads)
    Longest = std::max(Longest, Load.m_Timeout);
  return Longest;
}

void World::reviveEntry(size_t Index) {
  ++m_EntryChanges[Index];
  m_KnownLost.erase(Index);
  FakeEntry &Entry = *m_Entries[Index];
  for (auto &[Id, Pool] : Entry.pools()) {
    if (m_Layout.m_Deciders != Deciders::Owners)
      continue;
    Pool->m_Deposed = m_Owners[Id] != Index;
    Entry.deliver(Id, LeaseChanged{false});
    if (Pool->m_Deposed || !m_StoreUp)
      continue;
    m_Queue.after(StoreRoundTrip, [this, &Entry, Id = Id, Index] {
      if (m_Owners[Id] == Index && m_StoreUp)
        Entry.deliver(Id, LeaseChanged{true});
    });
  }
}

void World::sendDigests() {
  for (const auto &[Pool, Owner] : m_Owners) {
    FakeEntry &Entry = *m_Entries[Owner];
    HostedPool *Hosted = Entry.find(Pool);
    if (Hosted && Entry.isLive())
      m_Digests[Pool] = digest(Hosted->m_State);
  }
  m_Queue.after(m_Layout.m_Timing.m_DigestEvery, [this] { sendDigests(); });
}

void World::announceServers() {
  for (auto &Entry : m_Entries)
    for (const auto &[Id, Pool] : Entry->pools())
      Entry->deliver(Id, ServersListed{listServers(Id)});
}

void World::announceEntries() {
  for (auto &Entry : m_Entries)
    for (const auto &[Id, Pool] : Entry->pools()) {
      Entry->deliver(Id, EntryChanged{entryFor(Id.m_Service), isInService(Id)});
      Entry->deliver(Id, PeersListed{peersOf(Id)});
    }
}

void World::setStoreUp(bool Up) {
  m_StoreUp = Up;
  uint64_t Change = ++m_StoreChanges;
  auto Tell = [this, Change, Up] {
    if (m_StoreChanges != Change)
      return;
    for (const auto &[Pool, Owner] : m_Owners)
      m_Entries[Owner]->deliver(Pool, LeaseChanged{Up});
  };
  m_Queue.after(Up ? StoreRoundTrip : m_Layout.m_Timing.m_LeaseTtl, Tell);
}

} // namespace hyssopcross::testbed
