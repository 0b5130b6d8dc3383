#ifndef HYSSOPCROSS_DISPATCH_BUDGET_H
#define HYSSOPCROSS_DISPATCH_BUDGET_H

#include "hyssopcross/base/Clock.h"
#include <array>
#include <cstdint>

namespace hyssopcross::dispatch {

/// Limit on the attempts beyond the first one of each request (retries and
/// hedges) of all VMs together, in any window.
struct RetryAllowance {
  Duration m_Window = std::chrono::seconds(10);
  /// Retries per request.
  double m_Ratio = 0.2;
  /// Retries that are always allowed in each window.
  double m_Slack = 0;
  /// Share of the limit that is used.
  double m_Use = 0.7;
};

/// Counts the requests and retries of one service on one VM, in slices of a
/// window. Spends only the share of this VM in the fleet-wide limit: the ratio
/// of its own requests, and an equal part of the slack.
class RetryBudget {
public:
  void recordRequest(TimePoint Now);

  /// Spends one retry if the limit allows it.
  bool take(const RetryAllowance &Allowance, uint32_t VmCount, TimePoint Now);

private:
  static constexpr size_t SliceCount = 10;
  struct Slice {
    int64_t m_Index = -1;
    uint32_t m_Requests = 0;
    uint32_t m_Retries = 0;
  };
  Slice &sliceAt(TimePoint Now);
  std::array<Slice, SliceCount> m_Slices;
  Duration m_SliceLength = std::chrono::seconds(1);
};

} // namespace hyssopcross::dispatch

#endif
