#include "hyssopcross/standins/BackendFaults.h"

namespace hyssopcross::standins {

namespace {

bool takeOne(uint32_t &Count) {
  if (Count == 0)
    return false;
  --Count;
  return true;
}

} // namespace

void BackendFaults::slowDown(double Factor, TimePoint Until) {
  std::lock_guard Lock(m_Mutex);
  m_Factor = Factor;
  m_SlowUntil = Until;
}

void BackendFaults::failFast(TimePoint Until) {
  std::lock_guard Lock(m_Mutex);
  m_FailUntil = Until;
}

void BackendFaults::cutAnswers(uint32_t Count) {
  std::lock_guard Lock(m_Mutex);
  m_Cuts = Count;
}

void BackendFaults::crossAnswers(uint32_t Count) {
  std::lock_guard Lock(m_Mutex);
  m_Crossings = Count;
}

void BackendFaults::delayAnswers(uint32_t Count, Duration Delay) {
  std::lock_guard Lock(m_Mutex);
  m_Delays = Count;
  m_Delay = Delay;
}

double BackendFaults::slowFactor(TimePoint Now) const {
  std::lock_guard Lock(m_Mutex);
  return Now < m_SlowUntil ? m_Factor : 1;
}

bool BackendFaults::failsFast(TimePoint Now) const {
  std::lock_guard Lock(m_Mutex);
  return Now < m_FailUntil;
}

AnswerFaults BackendFaults::takeAnswerFaults() {
  std::lock_guard Lock(m_Mutex);
  AnswerFaults Taken;
  Taken.m_Cut = takeOne(m_Cuts);
  Taken.m_Crossed = takeOne(m_Crossings);
  if (takeOne(m_Delays))
    Taken.m_Late = m_Delay;
  return Taken;
}

} // namespace hyssopcross::standins
