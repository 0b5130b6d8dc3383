#include "hyssopcross/trace/Tracer.h"
#include "hyssopcross/base/Log.h"
#include <opentracing/mocktracer/tracer.h>

namespace hyssopcross::trace {

namespace {

using opentracing::mocktracer::SpanData;

std::string tagOf(const SpanData &Span, const char *Key) {
  auto Found = Span.tags.find(Key);
  if (Found == Span.tags.end() || !Found->second.is<std::string>())
    return {};
  return Found->second.get<std::string>();
}

/// Writes each finished span as one log line.
class LogRecorder final : public opentracing::mocktracer::Recorder {
public:
  void RecordSpan(SpanData &&Span) noexcept override {
    auto Micros =
        std::chrono::duration_cast<std::chrono::microseconds>(Span.duration);
    logEvent(LogLevel::Info, "span",
             {{"name", Span.operation_name},
              {"trace_id", tagOf(Span, "trace_id")},
              {"span_id", tagOf(Span, "span_id")},
              {"parent_id", tagOf(Span, "parent_id")},
              {"request_id", tagOf(Span, "request_id")},
              {"service", tagOf(Span, "service")},
              {"outcome", tagOf(Span, "outcome")},
              {"duration_us", Micros.count()}});
  }
};

std::shared_ptr<opentracing::Tracer> makeTracer() {
  opentracing::mocktracer::MockTracerOptions Options;
  Options.recorder = std::make_unique<LogRecorder>();
  return std::make_shared<opentracing::mocktracer::MockTracer>(
      std::move(Options));
}

} // namespace

HopSpan::HopSpan(std::unique_ptr<opentracing::Span> Span, TraceParent Context)
    : m_Span(std::move(Span)), m_Context(Context) {}

void HopSpan::tag(std::string_view Key, std::string_view Value) {
  if (m_Span)
    m_Span->SetTag({Key.data(), Key.size()}, std::string(Value));
}

Tracer::Tracer(double SampleShare, uint64_t Seed)
    : m_SampleShare(SampleShare), m_Random(Seed), m_Tracer(makeTracer()) {}

TraceParent Tracer::nextContext(const std::optional<TraceParent> &Parent) {
  std::lock_guard Lock(m_Mutex);
  TraceParent Context;
  if (Parent) {
    Context = *Parent;
  } else {
    Context.m_TraceHigh = m_Random();
    Context.m_TraceLow = m_Random() | 1U;
    Context.m_Sampled =
        std::uniform_real_distribution<>()(m_Random) < m_SampleShare;
  }
  Context.m_Span = m_Random() | 1U;
  return Context;
}

HopSpan Tracer::start(const char *Name, std::string_view TraceParentHeader) {
  std::optional<TraceParent> Parent = parseTraceParent(TraceParentHeader);
  TraceParent Context = nextContext(Parent);
  if (!Context.m_Sampled)
    return HopSpan(nullptr, Context);
  HopSpan Span(m_Tracer->StartSpan(Name), Context);
  Span.tag("trace_id", formatTraceId(Context));
  Span.tag("span_id", formatSpanId(Context.m_Span));
  if (Parent)
    Span.tag("parent_id", formatSpanId(Parent->m_Span));
  return Span;
}

} // namespace hyssopcross::trace
