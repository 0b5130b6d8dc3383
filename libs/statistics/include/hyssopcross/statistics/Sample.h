#ifndef HYSSOPCROSS_STATISTICS_SAMPLE_H
#define HYSSOPCROSS_STATISTICS_SAMPLE_H

#include "hyssopcross/base/Clock.h"
#include <optional>
#include <span>
#include <vector>

namespace hyssopcross::statistics {

/// A set of measured times, kept whole, so that its percentiles are exact. Not
/// thread-safe.
class Sample {
public:
  void add(Duration Time);
  void add(std::span<const Duration> Times);

  size_t size() const { return m_Times.size(); }

  /// The smallest time that at least Fraction of all times do not exceed;
  /// Fraction is from 0 to 1. No value if the sample is empty.
  std::optional<Duration> percentile(double Fraction) const;

private:
  mutable std::vector<Duration> m_Times;
  mutable bool m_Sorted = true;
};

/// A time in milliseconds; not a number if there is none.
double toMilliseconds(std::optional<Duration> Time);

} // namespace hyssopcross::statistics

#endif
