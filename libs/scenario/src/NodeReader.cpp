#include "NodeReader.h"
#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace hyssopcross::scenario {

namespace {

/// Splits a number from the unit that follows it.
bool parseNumber(std::string_view Text, double &Number,
                 std::string_view &Unit) {
  const char *Last = Text.data() + Text.size();
  auto [End, Failure] = std::from_chars(Text.data(), Last, Number);
  if (Failure != std::errc() || !std::isfinite(Number) || Number < 0)
    return false;
  Unit = std::string_view(End, static_cast<size_t>(Last - End));
  return true;
}

} // namespace

void NodeReader::reject(const YAML::Mark &Mark, const std::string &Message) {
  if (m_Error)
    return;
  std::string Where = m_FileName + ":" + std::to_string(Mark.line + 1) + ":" +
                      std::to_string(Mark.column + 1) + ": ";
  m_Error = Error{ErrorCode::InvalidInput, Where + Message};
}

void NodeReader::reject(const YAML::Node &Node, const std::string &Message) {
  reject(Node.Mark(), Message);
}

void NodeReader::expectKeys(const YAML::Node &Node,
                            std::initializer_list<std::string_view> Keys) {
  if (!Node.IsMap())
    return reject(Node, "a mapping is expected here");
  for (const auto &Item : Node) {
    if (!Item.first.IsScalar())
      return reject(Item.first, "a key must be a word");
    if (std::ranges::find(Keys, Item.first.Scalar()) == Keys.end())
      return reject(Item.first, "unknown key \"" + Item.first.Scalar() + "\"");
  }
}

YAML::Node NodeReader::find(const YAML::Node &Node, const char *Key) {
  if (m_Error || !Node.IsMap())
    return YAML::Node(YAML::NodeType::Undefined);
  return Node[Key];
}

YAML::Node NodeReader::list(const YAML::Node &Node, const char *Key,
                            bool Required) {
  YAML::Node Found = find(Node, Key);
  if (Found.IsDefined() && Found.IsSequence())
    return Found;
  if (Found.IsDefined())
    reject(Found, std::string("\"") + Key + "\" must be a list");
  else if (Required)
    reject(Node, std::string("\"") + Key + "\" is missing");
  return YAML::Node(YAML::NodeType::Sequence);
}

std::string NodeReader::text(const YAML::Node &Node, const char *Key) {
  YAML::Node Found = find(Node, Key);
  if (Found.IsDefined() && Found.IsScalar())
    return Found.Scalar();
  reject(Found.IsDefined() ? Found : Node,
         std::string("\"") + Key + "\" must name something");
  return {};
}

std::string NodeReader::textOr(const YAML::Node &Node, const char *Key,
                               std::string Default) {
  return find(Node, Key).IsDefined() ? text(Node, Key) : std::move(Default);
}

double NodeReader::numberOr(const YAML::Node &Node, const char *Key,
                            double Default) {
  YAML::Node Found = find(Node, Key);
  if (!Found.IsDefined())
    return Default;
  double Number = 0;
  std::string_view Unit;
  if (Found.IsScalar() && parseNumber(Found.Scalar(), Number, Unit) &&
      Unit.empty())
    return Number;
  reject(Found, std::string("\"") + Key + "\" must be a number from zero");
  return Default;
}

uint32_t NodeReader::countOr(const YAML::Node &Node, const char *Key,
                             uint32_t Default) {
  double Number = numberOr(Node, Key, Default);
  bool Whole = Number <= std::numeric_limits<uint32_t>::max() &&
               std::floor(Number) == Number;
  if (Whole)
    return static_cast<uint32_t>(Number);
  reject(find(Node, Key),
         std::string("\"") + Key + "\" must be a whole number");
  return Default;
}

bool NodeReader::flagOr(const YAML::Node &Node, const char *Key, bool Default) {
  YAML::Node Found = find(Node, Key);
  if (!Found.IsDefined())
    return Default;
  bool Value = Default;
  if (!YAML::convert<bool>::decode(Found, Value))
    reject(Found, std::string("\"") + Key + "\" must be true or false");
  return Value;
}

Duration NodeReader::durationOr(const YAML::Node &Node, const char *Key,
                                Duration Default) {
  YAML::Node Found = find(Node, Key);
  if (!Found.IsDefined())
    return Default;
  double Number = 0;
  std::string_view Unit;
  constexpr double LongestNanoseconds = 1e15;
  if (Found.IsScalar() && parseNumber(Found.Scalar(), Number, Unit)) {
    double Factor = Unit == "us" ? 1e3 : Unit == "ms" ? 1e6 : 1e9;
    bool Known = Unit == "us" || Unit == "ms" || Unit == "s";
    if (Known && Number * Factor <= LongestNanoseconds)
      return Duration(std::llround(Number * Factor));
  }
  reject(Found, std::string("\"") + Key +
                    "\" must be a duration such as 200us, 1.5ms or 3s");
  return Default;
}

} // namespace hyssopcross::scenario
