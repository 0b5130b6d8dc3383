#ifndef HYSSOPCROSS_TRACE_TRACER_H
#define HYSSOPCROSS_TRACE_TRACER_H

#include "hyssopcross/trace/TraceParent.h"
#include <memory>
#include <mutex>
#include <opentracing/tracer.h>
#include <random>

namespace hyssopcross::trace {

/// One hop of a call, from its construction by Tracer::start() to its
/// destruction. Used by one thread at a time.
class HopSpan {
public:
  HopSpan(std::unique_ptr<opentracing::Span> Span, TraceParent Context);
  HopSpan(HopSpan &&) = default;

  /// The context to send with the next hop.
  const TraceParent &context() const { return m_Context; }

  /// Adds a key and value to the recorded span, if it is recorded.
  void tag(std::string_view Key, std::string_view Value);

private:
  std::unique_ptr<opentracing::Span> m_Span;
  TraceParent m_Context;
};

/// Starts spans and writes the sampled ones as log lines with event=span.
/// Safe from any thread.
class Tracer {
public:
  /// Samples SampleShare of the calls that arrive without a trace context;
  /// others keep the caller's choice.
  Tracer(double SampleShare, uint64_t Seed);

  /// Starts a span as a child of the one in TraceParentHeader, or as the root
  /// of a new trace if that is empty or malformed.
  HopSpan start(const char *Name, std::string_view TraceParentHeader);

private:
  TraceParent nextContext(const std::optional<TraceParent> &Parent);

  double m_SampleShare;
  std::mutex m_Mutex;
  std::mt19937_64 m_Random;
  std::shared_ptr<opentracing::Tracer> m_Tracer;
};

} // namespace hyssopcross::trace

#endif
