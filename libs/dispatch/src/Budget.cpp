#include "hyssopcross/dispatch/Budget.h"
#include <algorithm>

namespace hyssopcross::dispatch {

RetryBudget::Slice &RetryBudget::sliceAt(TimePoint Now) {
  int64_t Index = Now.time_since_epoch() / m_SliceLength;
  Slice &Current = m_Slices[static_cast<size_t>(Index) % SliceCount];
  if (Current.m_Index != Index)
    Current = {Index, 0, 0};
  return Current;
}

void RetryBudget::recordRequest(TimePoint Now) { ++sliceAt(Now).m_Requests; }

bool RetryBudget::take(const RetryAllowance &Allowance, uint32_t VmCount,
                       TimePoint Now) {
  m_SliceLength = Allowance.m_Window / SliceCount;
  Slice &Current = sliceAt(Now);
  double Requests = 0;
  double Retries = 0;
  for (const Slice &Each : m_Slices)
    if (Each.m_Index > Current.m_Index - static_cast<int64_t>(SliceCount)) {
      Requests += Each.m_Requests;
      Retries += Each.m_Retries;
    }
  double Allowed =
      Allowance.m_Use * (Allowance.m_Ratio * Requests +
                         Allowance.m_Slack / std::max(1U, VmCount));
  if (Retries + 1 > Allowed)
    return false;
  ++Current.m_Retries;
  return true;
}

} // namespace hyssopcross::dispatch
