#ifndef HYSSOPCROSS_GATEWAY_SRC_METRICS_H
#define HYSSOPCROSS_GATEWAY_SRC_METRICS_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/fleet/Datagram.h"
#include <memory>
#include <string>
#include <string_view>

namespace hyssopcross::gateway {

/// Where a datagram goes, seen from the data centre of its sender.
enum class DatagramDestination {
  Local,
  Remote,
  /// A VM that has not been heard yet.
  Unknown,
};
inline constexpr size_t DatagramDestinationCount = 3;

/// Counters, gauges and latency histograms of one VM, in the Prometheus text
/// format.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// Records a finished request. Outcome is answered, refused, failed, gone or
  /// cut.
  void noteRequest(std::string_view Outcome, std::string_view Route,
                   Duration Took);
  /// Records an attempt at a backend server. End is the stable name of its
  /// outcome.
  void noteAttempt(std::string_view End, Duration Took);
  /// Counts input of a client that was refused before a request was known.
  void noteClientRefused(std::string_view Cause);
  /// Increments the counter of an event.
  void count(std::string_view What);
  /// Records a datagram that was sent to another VM. Destination says whether
  /// it left the data centre.
  void noteDatagram(fleet::DatagramKind Kind, DatagramDestination Destination,
                    size_t Bytes);
  /// Sets the current value of a named gauge.
  void gauge(std::string_view What, double Value);

  std::string render() const;

private:
  struct Series;
  std::unique_ptr<Series> m_Series;
};

} // namespace hyssopcross::gateway

#endif
