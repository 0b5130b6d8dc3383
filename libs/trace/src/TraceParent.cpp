#include "hyssopcross/trace/TraceParent.h"
#include <charconv>
#include <cstdio>

namespace hyssopcross::trace {

namespace {

constexpr size_t HeaderBytes = 55;

/// Reads a fixed number of lower-case hexadecimal digits.
std::optional<uint64_t> readHex(std::string_view Text) {
  for (char C : Text)
    if (!(C >= '0' && C <= '9') && !(C >= 'a' && C <= 'f'))
      return std::nullopt;
  uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  return Value;
}

std::string formatHex(uint64_t Value) {
  char Digits[17];
  std::snprintf(Digits, sizeof(Digits), "%016llx",
                static_cast<unsigned long long>(Value));
  return Digits;
}

} // namespace

std::optional<TraceParent> parseTraceParent(std::string_view Text) {
  if (Text.size() != HeaderBytes || Text.substr(0, 3) != "00-" ||
      Text[35] != '-' || Text[52] != '-')
    return std::nullopt;
  auto High = readHex(Text.substr(3, 16));
  auto Low = readHex(Text.substr(19, 16));
  auto Span = readHex(Text.substr(36, 16));
  auto Flags = readHex(Text.substr(53, 2));
  if (!High || !Low || !Span || !Flags || *Span == 0 ||
      (*High == 0 && *Low == 0))
    return std::nullopt;
  return TraceParent{*High, *Low, *Span, (*Flags & 1U) != 0};
}

std::string formatTraceParent(const TraceParent &Context) {
  return "00-" + formatTraceId(Context) + "-" + formatSpanId(Context.m_Span) +
         (Context.m_Sampled ? "-01" : "-00");
}

std::string formatTraceId(const TraceParent &Context) {
  return formatHex(Context.m_TraceHigh) + formatHex(Context.m_TraceLow);
}

std::string formatSpanId(uint64_t Span) { return formatHex(Span); }

} // namespace hyssopcross::trace
