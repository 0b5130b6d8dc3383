#ifndef HYSSOPCROSS_ENTRY_POOLS_H
#define HYSSOPCROSS_ENTRY_POOLS_H

#include "hyssopcross/entry/PoolHost.h"
#include "hyssopcross/entry/Timers.h"
#include <functional>
#include <shared_mutex>

namespace hyssopcross::entry {

/// What the pools of a VM tell the outside. Called while a pool is locked:
/// implementations neither block nor call back.
struct PoolOutside {
  std::function<LeaseStanding(const balancing::PoolId &)> m_Standing;
  std::function<void(const balancing::PoolId &, bool)> m_AnnounceQueueing;
  std::function<void(const balancing::PoolId &, const balancing::PoolId &,
                     uint32_t)>
      m_AskPull;
};

/// The pools that this VM decides for. Safe from any thread.
class Pools final : public PoolPorts {
public:
  Pools(const Clock &Time, boost::asio::io_context &Loop,
        balancing::PoolPolicy Policy, uint64_t Seed, PoolOutside Outside);

  /// The pool, or null if this VM does not decide for it.
  std::shared_ptr<PoolHost> find(const balancing::PoolId &Pool) const;

  /// All pools that this VM decides for.
  std::vector<std::pair<balancing::PoolId, std::shared_ptr<PoolHost>>>
  all() const;

  /// Starts to decide for a pool. Servers and digest are what is known of it.
  void add(const balancing::PoolId &Pool, const catalogue::ServiceEntry &Entry,
           const std::vector<balancing::ServerRecord> &Servers,
           const balancing::TookOver &Digest);

  /// Stops to decide for a pool: what is queued goes to the pool's next owner,
  /// and what runs runs on.
  void remove(const balancing::PoolId &Pool);

  /// Closes connections to backend servers that have been idle for too long.
  /// On the loop's thread, a few times a second.
  void sweep() { m_Servers.sweep(); }

  LeaseStanding standing(const balancing::PoolId &Pool) override;
  void wakeAt(const balancing::PoolId &Pool, TimePoint Time) override;
  void announceQueueing(const balancing::PoolId &Pool, bool Queueing) override;
  void askPull(const balancing::PoolId &Pool, const balancing::PoolId &Target,
               uint32_t FreeSlots) override;

private:
  const Clock &m_Clock;
  boost::asio::io_context &m_Loop;
  balancing::PoolPolicy m_Policy;
  uint64_t m_NextSeed;
  PoolOutside m_Outside;
  backend::Sender m_Servers;
  Timers m_Timers;
  mutable std::shared_mutex m_Mutex;
  std::map<balancing::PoolId, std::shared_ptr<PoolHost>> m_Pools;
};

} // namespace hyssopcross::entry

#endif
