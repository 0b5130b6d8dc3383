#ifndef HYSSOPCROSS_TRACE_TRACEPARENT_H
#define HYSSOPCROSS_TRACE_TRACEPARENT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopcross::trace {

/// The W3C trace context of one span.
struct TraceParent {
  uint64_t m_TraceHigh = 0;
  uint64_t m_TraceLow = 0;
  uint64_t m_Span = 0;
  bool m_Sampled = false;

  friend bool operator==(const TraceParent &, const TraceParent &) = default;
};

/// Parses the traceparent header of version 00; no value if it is malformed or
/// has an identifier of zero.
std::optional<TraceParent> parseTraceParent(std::string_view Text);

/// The value of the traceparent header.
std::string formatTraceParent(const TraceParent &Context);

/// The trace identifier as 32 hexadecimal digits.
std::string formatTraceId(const TraceParent &Context);

/// A span identifier as 16 hexadecimal digits.
std::string formatSpanId(uint64_t Span);

} // namespace hyssopcross::trace

#endif
