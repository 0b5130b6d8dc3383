#ifndef HYSSOPCROSS_BALANCING_POOL_H
#define HYSSOPCROSS_BALANCING_POOL_H

#include "hyssopcross/balancing/Events.h"
#include <deque>
#include <map>
#include <random>

namespace hyssopcross::balancing {

/// How a server is chosen. All but OwnerQueue are baselines for comparison.
enum class ChoicePolicy {
  /// Central queue; a free slot first, then the lowest expected service time.
  OwnerQueue,
  /// Any server, at once, without a queue.
  Random,
  /// The less loaded of two random servers by own in-flight count.
  TwoChoices,
  /// The least loaded server by its last, possibly stale, report.
  LeastReported,
};

/// Settings of the decisions, the same on every VM.
struct PoolPolicy {
  ChoicePolicy m_Choice = ChoicePolicy::OwnerQueue;
};

/// What the pool knows of a server.
struct ServerState {
  uint32_t m_InFlight = 0;
  bool m_Leaving = false;
  std::optional<LoadReport> m_Report;
};

/// A call that waits for a server or runs at one.
struct CallState {
  CallArrived m_Arrival;
  std::vector<AttemptId> m_Running;
};

/// An attempt that is running.
struct AttemptState {
  CallId m_Call = 0;
  ServerId m_Server;
};

/// Everything that the decisions for one pool depend on. Owned by the host,
/// changed only by step().
struct PoolState {
  PoolState(PoolId Id, catalogue::ServiceEntry Entry, PoolPolicy Policy,
            uint64_t Seed)
      : m_Id(std::move(Id)), m_Entry(std::move(Entry)), m_Policy(Policy),
        m_Random(Seed) {}

  PoolId m_Id;
  catalogue::ServiceEntry m_Entry;
  PoolPolicy m_Policy;
  std::mt19937_64 m_Random;
  bool m_InService = true;
  std::map<ServerId, ServerState> m_Servers;
  std::map<CallId, CallState> m_Calls;
  std::map<AttemptId, AttemptState> m_Attempts;
  std::deque<CallId> m_Queue;
  AttemptId m_LastAttempt = 0;
};

/// Applies one event to the pool and appends the actions that follow from it.
/// Deterministic: the same states, events and instants give the same actions.
/// Not thread-safe for one state; independent for different states.
void step(PoolState &State, const Event &Event, TimePoint Now,
          std::vector<Action> &Actions);

} // namespace hyssopcross::balancing

#endif
