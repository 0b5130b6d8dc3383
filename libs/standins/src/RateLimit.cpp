#include "hyssopcross/standins/RateLimit.h"
#include <algorithm>

namespace hyssopcross::standins {

namespace {

constexpr double BurstSeconds = 0.1;

} // namespace

RateLimit::RateLimit(double PerSecond)
    : m_PerSecond(PerSecond),
      m_Capacity(std::max(1.0, PerSecond * BurstSeconds)),
      m_Tokens(m_Capacity) {}

bool RateLimit::take(TimePoint Now) {
  if (m_PerSecond <= 0)
    return true;
  std::lock_guard Lock(m_Mutex);
  if (Now > m_Last) {
    std::chrono::duration<double> Passed = Now - m_Last;
    m_Tokens = std::min(m_Capacity, m_Tokens + Passed.count() * m_PerSecond);
    m_Last = Now;
  }
  if (m_Tokens < 1)
    return false;
  m_Tokens -= 1;
  return true;
}

} // namespace hyssopcross::standins
