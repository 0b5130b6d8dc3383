#ifndef HYSSOPCROSS_STANDINS_SLOTQUEUE_H
#define HYSSOPCROSS_STANDINS_SLOTQUEUE_H

#include "hyssopcross/base/Clock.h"
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace hyssopcross::standins {

/// How much a backend server runs and queues.
struct SlotLimits {
  /// Requests that run at once when warm.
  uint32_t m_Slots = 2;
  /// Requests that wait for a slot when warm.
  uint32_t m_Queue = 4;
  /// Requests that are accepted at once when cold; none wait.
  uint32_t m_ColdSlots = 1;
  /// How long the server stays cold; an overload starts this anew.
  Duration m_ColdTime{};
};

/// Why a request did not get a slot.
enum class Admission { Granted, Full, Draining, Expired };

/// Gives the slots of a backend server to its requests. Safe from any thread.
class SlotQueue {
public:
  /// Starts cold at Now if the limits name a cold time.
  SlotQueue(SlotLimits Limits, TimePoint Now);

  /// Waits for a slot for at most MaxWait, as the limits allow. After Granted,
  /// leave() follows.
  Admission enter(TimePoint Now, Duration MaxWait);

  /// Gives a slot back.
  void leave();

  /// Refuses new requests from now on, for good; queued ones too.
  void drain();

  /// Makes the server cold from Now on for Time.
  void makeCold(TimePoint Now, Duration Time);

  bool isCold(TimePoint Now) const;
  bool isDraining() const;
  uint32_t inFlight() const;
  uint32_t queued() const;

  /// Requests refused because the server was cold and had reached its
  /// allowance.
  uint64_t coldOverloads() const;

private:
  bool isColdLocked(TimePoint Now) const { return Now < m_ColdUntil; }

  const SlotLimits m_Limits;
  mutable std::mutex m_Mutex;
  std::condition_variable m_Freed;
  TimePoint m_ColdUntil;
  Duration m_ColdTime;
  bool m_Draining = false;
  uint32_t m_InFlight = 0;
  uint32_t m_Queued = 0;
  uint64_t m_ColdOverloads = 0;
};

} // namespace hyssopcross::standins

#endif
