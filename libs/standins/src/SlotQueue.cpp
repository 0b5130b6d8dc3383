#include "hyssopcross/standins/SlotQueue.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::standins {

SlotQueue::SlotQueue(SlotLimits Limits, TimePoint Now)
    : m_Limits(Limits), m_ColdUntil(Now + Limits.m_ColdTime),
      m_ColdTime(Limits.m_ColdTime) {}

Admission SlotQueue::enter(TimePoint Now, Duration MaxWait) {
  std::unique_lock Lock(m_Mutex);
  if (m_Draining)
    return Admission::Draining;
  if (isColdLocked(Now)) {
    if (m_InFlight >= m_Limits.m_ColdSlots) {
      ++m_ColdOverloads;
      m_ColdUntil = Now + m_ColdTime;
      return Admission::Full;
    }
    ++m_InFlight;
    return Admission::Granted;
  }
  if (m_InFlight < m_Limits.m_Slots && m_Queued == 0) {
    ++m_InFlight;
    return Admission::Granted;
  }
  if (m_Queued >= m_Limits.m_Queue)
    return Admission::Full;
  ++m_Queued;
  bool Freed = m_Freed.wait_for(Lock, MaxWait, [this] {
    return m_Draining || m_InFlight < m_Limits.m_Slots;
  });
  --m_Queued;
  if (m_Draining)
    return Admission::Draining;
  if (!Freed)
    return Admission::Expired;
  ++m_InFlight;
  return Admission::Granted;
}

void SlotQueue::leave() {
  {
    std::lock_guard Lock(m_Mutex);
    HYSSOPCROSS_INVARIANT(m_InFlight > 0, "a slot is given back once");
    --m_InFlight;
  }
  m_Freed.notify_one();
}

void SlotQueue::drain() {
  {
    std::lock_guard Lock(m_Mutex);
    m_Draining = true;
  }
  m_Freed.notify_all();
}

void SlotQueue::makeCold(TimePoint Now, Duration Time) {
  std::lock_guard Lock(m_Mutex);
  m_ColdTime = Time;
  m_ColdUntil = Now + Time;
}

bool SlotQueue::isCold(TimePoint Now) const {
  std::lock_guard Lock(m_Mutex);
  return isColdLocked(Now);
}

bool SlotQueue::isDraining() const {
  std::lock_guard Lock(m_Mutex);
  return m_Draining;
}

uint32_t SlotQueue::inFlight() const {
  std::lock_guard Lock(m_Mutex);
  return m_InFlight;
}

uint32_t SlotQueue::queued() const {
  std::lock_guard Lock(m_Mutex);
  return m_Queued;
}

uint64_t SlotQueue::coldOverloads() const {
  std::lock_guard Lock(m_Mutex);
  return m_ColdOverloads;
}

} // namespace hyssopcross::standins
