#ifndef HYSSOPCROSS_OVERFLOW_ROUNDTRIP_H
#define HYSSOPCROSS_OVERFLOW_ROUNDTRIP_H

#include "hyssopcross/base/Clock.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopcross::overflow {

/// Settings of the measured round trips.
struct RoundTripPolicy {
  /// Time over which the least sample is taken. With a greeting or a request
  /// every second or two, at least two samples fall into it.
  Duration m_Window = std::chrono::seconds(5);
  /// Part of the difference by which an estimate rises at the end of a window
  /// whose samples were all longer. A changed path is followed within four
  /// windows; one window of congestion counts for half.
  double m_Smoothing = 0.5;
  /// Age of the newest sample from which there is no estimate.
  Duration m_MaxAge = std::chrono::seconds(30);
  /// Samples outside of these bounds are errors of measurement: data centres
  /// are 0.5 to 4.4 ms apart one way, and a longer sample is a pause of a VM or
  /// a retransmission.
  Duration m_MinSample = std::chrono::microseconds(100);
  Duration m_MaxSample = std::chrono::milliseconds(500);
};

/// Measured round trip to one data centre.
struct RoundTrip {
  Duration m_Estimate{};
  Duration m_WindowMin = Duration::max();
  TimePoint m_WindowStart{};
  TimePoint m_SampledAt{};
};

using RoundTrips = std::map<std::string, RoundTrip, std::less<>>;

/// Records the time between a request and its first byte, or between a greeting
/// and its answer. AtPeer is the part of it that was spent at the other end, by
/// its own account; zero if unknown.
void recordRoundTrip(RoundTrips &State, std::string_view DataCentre,
                     Duration Elapsed, Duration AtPeer,
                     const RoundTripPolicy &Policy, TimePoint Now);

/// The smoothed least round trip; empty if no recent sample exists.
std::optional<Duration> roundTripTo(const RoundTrips &State,
                                    std::string_view DataCentre,
                                    const RoundTripPolicy &Policy,
                                    TimePoint Now);

} // namespace hyssopcross::overflow

#endif
