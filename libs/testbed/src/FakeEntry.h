#ifndef HYSSOPCROSS_TESTBED_FAKEENTRY_H
#define HYSSOPCROSS_TESTBED_FAKEENTRY_H

#include "hyssopcross/balancing/Pool.h"
#include "hyssopcross/testbed/FakeNetwork.h"
#include "hyssopcross/testbed/FakeServer.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace hyssopcross::testbed {

struct World;

/// An attempt as its host sees it.
struct HostedAttempt {
  RequestId m_Request = 0;
  balancing::CallId m_Call = 0;
  balancing::ServerId m_Server;
  std::optional<balancing::AttemptEnd> m_End;
  bool m_Mismatched = false;
};

/// The connections of one pool to one server.
struct HostedConnections {
  uint32_t m_Open = 0;
  uint32_t m_Busy = 0;
};

/// A pool with what its host keeps for it.
struct HostedPool {
  HostedPool(balancing::PoolId Id, catalogue::ServiceEntry Entry,
             balancing::PoolPolicy Policy, uint64_t Seed)
      : m_State(std::move(Id), std::move(Entry), Policy, Seed) {}

  balancing::PoolState m_State;
  /// Set when another entry VM has taken the pool over.
  bool m_Deposed = false;
  uint64_t m_LastWake = 0;
  std::map<balancing::AttemptId, HostedAttempt> m_Attempts;
  std::map<balancing::ServerId, HostedConnections> m_Connections;
};

/// An entry VM: holds pools and turns their actions into events elsewhere.
/// Not thread-safe.
class FakeEntry {
public:
  FakeEntry(World &World, const EntryLayout &Layout, size_t Index)
      : m_World(World), m_Layout(Layout), m_Index(Index) {}

  const EntryLayout &layout() const { return m_Layout; }
  size_t index() const { return m_Index; }
  Party party() const { return {m_Layout.m_Name, m_Layout.m_DataCentre}; }
  bool isUp() const { return m_Up; }
  bool isFrozen() const { return m_Frozen; }
  bool isLive() const { return m_Up && !m_Frozen; }

  /// Starts to hold a pool.
  HostedPool &host(const balancing::PoolId &Pool);

  /// The pool, if it is held here.
  HostedPool *find(const balancing::PoolId &Pool);

  /// All pools held here.
  std::map<balancing::PoolId, std::unique_ptr<HostedPool>> &pools() {
    return m_Pools;
  }

  /// Runs Work now, after the pause, or never if the process is down.
  void whenAwake(std::function<void()> Work);

  /// Applies an event to a pool held here, once awake.
  void deliver(const balancing::PoolId &Pool, balancing::Event Event);

  /// Takes a call from a caller or a peer, once awake.
  void takeCall(const balancing::PoolId &Pool, balancing::CallId Call,
                bool HandedOver);

  /// Takes a server's answer, once awake.
  void takeAnswer(RequestId Id, const balancing::PoolId &Pool,
                  balancing::AttemptId Attempt, const Answer &Answer);

  /// Ends an attempt about which no answer says more.
  void endAttempt(const balancing::PoolId &Pool, balancing::AttemptId Attempt,
                  balancing::AttemptEnd End,
                  const std::optional<balancing::LoadReport> &Report);

  void kill();
  void restart() { m_Up = true; }
  void freeze() { m_Frozen = true; }
  void unfreeze() { m_Frozen = false; }

  /// Runs what waited for the end of a pause.
  void runHeld();

private:
  void apply(HostedPool &Pool, const balancing::Event &Event);
  void endOne(HostedPool &Pool, balancing::AttemptId Attempt,
              balancing::AttemptEnd End,
              std::optional<balancing::LoadReport> Report);
  void forward(const balancing::PoolId &Pool, balancing::CallId Call);

  void act(HostedPool &Pool, const balancing::SendAttempt &Action);
  void act(HostedPool &Pool, const balancing::CancelAttempt &Action);
  void act(HostedPool &Pool, const balancing::FinishCall &Action);
  void act(HostedPool &Pool, const balancing::RefuseCall &Action);
  void act(HostedPool &Pool, const balancing::HandOverCall &Action);
  void act(HostedPool &Pool, const balancing::SendProbe &Action);
  void act(HostedPool &Pool, const balancing::KeepConnections &Action);
  void act(HostedPool &Pool, const balancing::AnnounceQueueing &Action);
  void act(HostedPool &Pool, const balancing::AskPull &Action);
  void act(HostedPool &Pool, const balancing::WakeAt &Action);

  World &m_World;
  EntryLayout m_Layout;
  size_t m_Index;
  bool m_Up = true;
  bool m_Frozen = false;
  std::vector<std::function<void()>> m_Held;
  std::map<balancing::PoolId, std::unique_ptr<HostedPool>> m_Pools;
};

} // namespace hyssopcross::testbed

#endif
