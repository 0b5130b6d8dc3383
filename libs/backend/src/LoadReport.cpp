#include "hyssopcross/backend/Exchange.h"
#include "hyssopcross/base/Settings.h"
#include <charconv>

namespace hyssopcross::backend {

namespace {

bool parseCount(std::string_view Text, uint32_t &Count) {
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  return Failure == std::errc() && End == Text.data() + Text.size();
}

bool parseField(std::string_view Key, std::string_view Value,
                balancing::LoadReport &Report) {
  if (Key == "in_flight")
    return parseCount(Value, Report.m_InFlight);
  if (Key == "queued")
    return parseCount(Value, Report.m_Queued);
  if (Key == "draining")
    Report.m_Draining = Value == "1";
  if (Key == "boot")
    Report.m_BootId = std::string(Value);
  return true;
}

} // namespace

std::optional<balancing::LoadReport> parseLoadReport(std::string_view Text) {
  balancing::LoadReport Report;
  std::vector<std::string_view> Fields = splitList(Text, ';');
  if (Fields.empty())
    return std::nullopt;
  for (std::string_view Field : Fields) {
    size_t Equals = Field.find('=');
    if (Equals == std::string_view::npos)
      return std::nullopt;
    if (!parseField(Field.substr(0, Equals), Field.substr(Equals + 1), Report))
      return std::nullopt;
  }
  return Report;
}

} // namespace hyssopcross::backend
