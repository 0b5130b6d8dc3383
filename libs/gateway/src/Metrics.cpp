#include "Metrics.h"
#include <array>
#include <functional>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace hyssopcross::gateway {

namespace {

/// Bucket bounds of the latency histograms in seconds, from a local round trip
/// to the longest deadlines.
const prometheus::Histogram::BucketBoundaries LatencyBounds = {
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 15};

const char *destinationName(DatagramDestination Destination) {
  switch (Destination) {
  case DatagramDestination::Local:
    return "local";
  case DatagramDestination::Remote:
    return "remote";
  case DatagramDestination::Unknown:
    return "unknown";
  }
  return "unknown";
}

double toSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

} // namespace

struct Metrics::Series {
  prometheus::Registry m_Registry;
  prometheus::Family<prometheus::Counter> &m_Requests =
      prometheus::BuildCounter()
          .Name("hyssopcross_requests_total")
          .Help("Finished requests by outcome and route")
          .Register(m_Registry);
  prometheus::Family<prometheus::Histogram> &m_RequestSeconds =
      prometheus::BuildHistogram()
          .Name("hyssopcross_request_seconds")
          .Help("From a request's first byte to its answer, by outcome")
          .Register(m_Registry);
  prometheus::Family<prometheus::Histogram> &m_AttemptSeconds =
      prometheus::BuildHistogram()
          .Name("hyssopcross_attempt_seconds")
          .Help("Attempts at backend servers by how they ended")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_ClientsRefused =
      prometheus::BuildCounter()
          .Name("hyssopcross_client_refused_total")
          .Help("Refused input of clients by cause")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_Events =
      prometheus::BuildCounter()
          .Name("hyssopcross_events_total")
          .Help("Things that happened, by name")
          .Register(m_Registry);
  std::map<std::string, std::reference_wrapper<prometheus::Counter>,
           std::less<>>
      m_EventCounters;
  prometheus::Family<prometheus::Counter> &m_Datagrams =
      prometheus::BuildCounter()
          .Name("hyssopcross_datagrams_sent_total")
          .Help("Datagrams to other entry VMs by kind and destination")
          .Register(m_Registry);
  prometheus::Family<prometheus::Counter> &m_DatagramBytes =
      prometheus::BuildCounter()
          .Name("hyssopcross_datagram_bytes_sent_total")
          .Help("Bytes of these datagrams without headers of IP and UDP")
          .Register(m_Registry);
  /// Counters of one kind of datagram to one destination; null before the
  /// first one.
  struct DatagramCounters {
    prometheus::Counter *m_Count = nullptr;
    prometheus::Counter *m_Bytes = nullptr;
  };
  std::array<DatagramCounters,
             fleet::DatagramKindCount * DatagramDestinationCount>
      m_DatagramCounters;
  prometheus::Family<prometheus::Gauge> &m_Values =
      prometheus::BuildGauge()
          .Name("hyssopcross_value")
          .Help("Present values, by name")
          .Register(m_Registry);
};

Metrics::Metrics() : m_Series(std::make_unique<Series>()) {}
Metrics::~Metrics() = default;

void Metrics::noteRequest(std::string_view Outcome, std::string_view Route,
                          Duration Took) {
  m_Series->m_Requests
      .Add({{"outcome", std::string(Outcome)}, {"route", std::string(Route)}})
      .Increment();
  m_Series->m_RequestSeconds
      .Add({{"outcome", std::string(Outcome)}}, LatencyBounds)
      .Observe(toSeconds(Took));
}

void Metrics::noteAttempt(std::string_view End, Duration Took) {
  m_Series->m_AttemptSeconds.Add({{"end", std::string(End)}}, LatencyBounds)
      .Observe(toSeconds(Took));
}

void Metrics::noteClientRefused(std::string_view Cause) {
  m_Series->m_ClientsRefused.Add({{"cause", std::string(Cause)}}).Increment();
}

void Metrics::count(std::string_view What) {
  // Cache the counters: datagrams are counted many times a second, and building
  // the labels each time would cost more than sending them.
  auto Known = m_Series->m_EventCounters.find(What);
  if (Known == m_Series->m_EventCounters.end())
    Known = m_Series->m_EventCounters
                .emplace(What,
                         m_Series->m_Events.Add({{"event", std::string(What)}}))
                .first;
  Known->second.get().Increment();
}

void Metrics::noteDatagram(fleet::DatagramKind Kind,
                           DatagramDestination Destination, size_t Bytes) {
  size_t Index = static_cast<size_t>(Kind) * DatagramDestinationCount +
                 static_cast<size_t>(Destination);
  Series::DatagramCounters &Known = m_Series->m_DatagramCounters.at(Index);
  if (!Known.m_Count) {
    const prometheus::Labels Labels = {
        {"kind", std::string(fleet::kindName(Kind))},
        {"destination", destinationName(Destination)}};
    Known.m_Count = &m_Series->m_Datagrams.Add(Labels);
    Known.m_Bytes = &m_Series->m_DatagramBytes.Add(Labels);
  }
  Known.m_Count->Increment();
  Known.m_Bytes->Increment(static_cast<double>(Bytes));
}

void Metrics::gauge(std::string_view What, double Value) {
  m_Series->m_Values.Add({{"name", std::string(What)}}).Set(Value);
}

std::string Metrics::render() const {
  return prometheus::TextSerializer().Serialize(m_Series->m_Registry.Collect());
}

} // namespace hyssopcross::gateway
