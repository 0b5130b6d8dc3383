#ifndef HYSSOPCROSS_BALANCING_CHOICE_H
#define HYSSOPCROSS_BALANCING_CHOICE_H

#include "Context.h"

namespace hyssopcross::balancing {

/// A server by its id and state; null if there is none.
struct ServerRef {
  const ServerId *m_Id = nullptr;
  ServerState *m_Server = nullptr;
};

/// What a search for a server found.
struct Choice {
  ServerRef m_Best;
  /// Some server may get work, now or later.
  bool m_AnyUsable = false;
  /// When a server with a free slot becomes ready by itself.
  std::optional<TimePoint> m_ReadyAt;
};

/// The central queue's choice: a free slot first, then the lowest expected
/// service time; a cold server now and then; a slowed one only if all are.
Choice chooseServer(Context &Step);

/// A warm server with a free slot for a second attempt, other than Taken.
ServerRef chooseForHedge(Context &Step, const ServerId &Taken);

/// Whether the server may get work, now or once a slot is free.
bool mayServe(const PoolState &State, const ServerState &Server);

/// Whether one more request may be sent to the server right now.
bool canSend(const PoolState &State, const ServerState &Server, TimePoint Now);

/// Whether the server's oldest attempt is far older than expected.
bool isSlowed(const PoolState &State, const ServerState &Server, TimePoint Now);

/// Slots of servers that aren't cold into which a call could go right now.
uint32_t freeSlots(const PoolState &State, TimePoint Now);

/// Whether the service's own limit of requests in flight is reached.
bool isConcurrencyReached(const PoolState &State);

} // namespace hyssopcross::balancing

#endif
