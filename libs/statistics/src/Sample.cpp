#include "hyssopcross/statistics/Sample.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>
#include <cmath>
#include <limits>

namespace hyssopcross::statistics {

void Sample::add(Duration Time) {
  m_Times.push_back(Time);
  m_Sorted = false;
}

void Sample::add(std::span<const Duration> Times) {
  m_Times.insert(m_Times.end(), Times.begin(), Times.end());
  m_Sorted = false;
}

std::optional<Duration> Sample::percentile(double Fraction) const {
  HYSSOPCROSS_INVARIANT(Fraction >= 0 && Fraction <= 1,
                        "a fraction is from 0 to 1");
  if (m_Times.empty())
    return std::nullopt;
  if (!m_Sorted)
    std::sort(m_Times.begin(), m_Times.end());
  m_Sorted = true;
  double Rank = std::ceil(Fraction * static_cast<double>(m_Times.size()));
  size_t Index = Rank < 1 ? 0 : static_cast<size_t>(Rank) - 1;
  return m_Times[Index];
}

double toMilliseconds(std::optional<Duration> Time) {
  if (!Time)
    return std::numeric_limits<double>::quiet_NaN();
  return std::chrono::duration<double, std::milli>(*Time).count();
}

} // namespace hyssopcross::statistics
