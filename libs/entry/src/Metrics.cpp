#include "hyssopcross/entry/Metrics.h"
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace hyssopcross::entry {

namespace {

/// Upper bounds of the latency histogram, in seconds.
const prometheus::Histogram::BucketBoundaries LatencyBounds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

} // namespace

struct Metrics::Implementation {
  prometheus::Registry m_Registry;
  prometheus::Family<prometheus::Counter> &m_Calls =
      prometheus::BuildCounter()
          .Name("hyssopcross_calls_total")
          .Help("Calls answered, by service and outcome.")
          .Register(m_Registry);
  prometheus::Family<prometheus::Histogram> &m_Latency =
      prometheus::BuildHistogram()
          .Name("hyssopcross_call_seconds")
          .Help("Time from a call's arrival to its answer.")
          .Register(m_Registry);
};

Metrics::Metrics() : m_State(std::make_unique<Implementation>()) {}
Metrics::~Metrics() = default;

void Metrics::countCall(std::string_view Service, protocol::Outcome Outcome,
                        Duration Taken) {
  std::string Name(Service);
  m_State->m_Calls
      .Add({{"service", Name}, {"outcome", protocol::outcomeName(Outcome)}})
      .Increment();
  m_State->m_Latency.Add({{"service", Name}}, LatencyBounds)
      .Observe(std::chrono::duration<double>(Taken).count());
}

void Metrics::setGauge(const std::string &Name, const std::string &Help,
                       double Value, const std::string &LabelName,
                       const std::string &LabelValue) {
  prometheus::Family<prometheus::Gauge> &Family =
      prometheus::BuildGauge().Name(Name).Help(Help).Register(
          m_State->m_Registry);
  prometheus::Labels Labels;
  if (!LabelName.empty())
    Labels[LabelName] = LabelValue;
  Family.Add(Labels).Set(Value);
}

std::string Metrics::serialize() const {
  return prometheus::TextSerializer().Serialize(m_State->m_Registry.Collect());
}

} // namespace hyssopcross::entry
