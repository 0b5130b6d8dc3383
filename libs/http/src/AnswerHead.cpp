#include "AnswerHead.h"
#include <charconv>

namespace hyssopcross::http {

std::optional<std::chrono::seconds> statedTimeout(const Fields &Headers) {
  constexpr std::string_view Parameter = "timeout=";
  std::string_view Value = headerOf(Headers, "Keep-Alive");
  size_t Start = Value.find(Parameter);
  if (Start == std::string_view::npos)
    return std::nullopt;
  Value.remove_prefix(Start + Parameter.size());
  int Seconds = 0;
  if (std::from_chars(Value.data(), Value.data() + Value.size(), Seconds).ec !=
      std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

bool hasKnownCoding(const Fields &Headers) {
  auto Range =
      Headers.equal_range(boost::beast::http::field::transfer_encoding);
  if (Range.first == Range.second)
    return true;
  return std::next(Range.first) == Range.second &&
         boost::beast::iequals(Range.first->value(), "chunked");
}

bool hasFoldedLine(std::string_view Head) {
  return Head.find("\r\n ") != std::string_view::npos ||
         Head.find("\r\n\t") != std::string_view::npos;
}

} // namespace hyssopcross::http
