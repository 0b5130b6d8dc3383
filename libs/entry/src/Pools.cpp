#include "hyssopcross/entry/Pools.h"

namespace hyssopcross::entry {

using balancing::PoolId;

Pools::Pools(const Clock &Time, boost::asio::io_context &Loop,
             balancing::PoolPolicy Policy, uint64_t Seed, PoolOutside Outside)
    : m_Clock(Time), m_Loop(Loop), m_Policy(Policy), m_NextSeed(Seed),
      m_Outside(std::move(Outside)), m_Servers(Loop, Time),
      m_Timers(Loop, Time) {}

std::shared_ptr<PoolHost> Pools::find(const PoolId &Pool) const {
  std::shared_lock Lock(m_Mutex);
  auto Found = m_Pools.find(Pool);
  return Found == m_Pools.end() ? nullptr : Found->second;
}

std::vector<std::pair<PoolId, std::shared_ptr<PoolHost>>> Pools::all() const {
  std::shared_lock Lock(m_Mutex);
  return {m_Pools.begin(), m_Pools.end()};
}

void Pools::add(const PoolId &Pool, const catalogue::ServiceEntry &Entry,
                const std::vector<balancing::ServerRecord> &Servers,
                const balancing::TookOver &Digest) {
  std::unique_lock Lock(m_Mutex);
  balancing::PoolState State(Pool, Entry, m_Policy, m_NextSeed++);
  auto Host = std::make_shared<PoolHost>(std::move(State), m_Clock, m_Loop,
                                         m_Servers, *this);
  m_Pools[Pool] = Host;
  Lock.unlock();
  Host->apply(Digest);
  Host->apply(balancing::ServersListed{Servers});
}

void Pools::remove(const PoolId &Pool) {
  std::shared_ptr<PoolHost> Host = find(Pool);
  if (!Host)
    return;
  {
    std::unique_lock Lock(m_Mutex);
    m_Pools.erase(Pool);
  }
  Host->apply(balancing::Released{});
}

LeaseStanding Pools::standing(const PoolId &Pool) {
  return m_Outside.m_Standing(Pool);
}

void Pools::wakeAt(const PoolId &Pool, TimePoint Time) {
  m_Timers.schedule(Pool.m_Service + "/" + Pool.m_DataCentre, Time,
                    [this, Pool] {
                      if (std::shared_ptr<PoolHost> Host = find(Pool))
                        Host->apply(balancing::Woke{});
                    });
}

void Pools::announceQueueing(const PoolId &Pool, bool Queueing) {
  m_Outside.m_AnnounceQueueing(Pool, Queueing);
}

void Pools::askPull(const PoolId &Pool, const PoolId &Target,
                    uint32_t FreeSlots) {
  m_Outside.m_AskPull(Pool, Target, FreeSlots);
}

} // namespace hyssopcross::entry
