#ifndef HYSSOPCROSS_DISPATCH_BUDGET_H
#define HYSSOPCROSS_DISPATCH_BUDGET_H

#include "hyssopcross/base/Clock.h"
#include <array>
#include <cstdint>

namespace hyssopcross::dispatch {

/// What all VMs together may send beyond the first attempt of each request, in
/// any window.
struct RetryAllowance {
  Duration m_Window = std::chrono::seconds(10);
  /// Repeats for each request.
  double m_Ratio = 0.2;
  /// Repeats that are free in each window.
  double m_Slack = 0;
  /// Share of the above that is used.
  double m_Use = 0.7;
};

/// Requests and repeats of one service on one VM, in slices of a window.
/// Spends only this VM's share of the fleet's allowance: its own requests'
/// ratio, and an equal part of the slack.
class RetryBudget {
public:
  void recordRequest(TimePoint Now);

  /// Takes one repeat if the allowance has room for it.
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
