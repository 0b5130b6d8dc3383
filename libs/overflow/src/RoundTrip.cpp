#include "hyssopcross/overflow/RoundTrip.h"
#include <algorithm>

namespace hyssopcross::overflow {

void recordRoundTrip(RoundTrips &State, std::string_view DataCentre,
                     Duration Elapsed, Duration AtPeer,
                     const RoundTripPolicy &Policy, TimePoint Now) {
  Duration Sample = Elapsed - AtPeer;
  if (Sample < Policy.m_MinSample || Sample > Policy.m_MaxSample)
    return;
  auto Found = State.find(DataCentre);
  if (Found == State.end() ||
      Now - Found->second.m_SampledAt > Policy.m_MaxAge) {
    State.insert_or_assign(std::string(DataCentre),
                           RoundTrip{.m_Estimate = Sample,
                                     .m_WindowMin = Sample,
                                     .m_WindowStart = Now,
                                     .m_SampledAt = Now});
    return;
  }
  RoundTrip &To = Found->second;
  if (Now - To.m_WindowStart >= Policy.m_Window) {
    if (To.m_WindowMin > To.m_Estimate)
      To.m_Estimate +=
          scale(To.m_WindowMin - To.m_Estimate, Policy.m_Smoothing);
    To.m_WindowMin = Duration::max();
    To.m_WindowStart = Now;
  }
  To.m_WindowMin = std::min(To.m_WindowMin, Sample);
  To.m_Estimate = std::min(To.m_Estimate, Sample);
  To.m_SampledAt = Now;
}

std::optional<Duration> roundTripTo(const RoundTrips &State,
                                    std::string_view DataCentre,
                                    const RoundTripPolicy &Policy,
                                    TimePoint Now) {
  auto Found = State.find(DataCentre);
  if (Found == State.end() || Now - Found->second.m_SampledAt > Policy.m_MaxAge)
    return std::nullopt;
  return Found->second.m_Estimate;
}

} // namespace hyssopcross::overflow
