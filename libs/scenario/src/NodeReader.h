#ifndef HYSSOPCROSS_SCENARIO_NODEREADER_H
#define HYSSOPCROSS_SCENARIO_NODEREADER_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Error.h"
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <yaml-cpp/yaml.h>

namespace hyssopcross::scenario {

/// Reads typed values from YAML nodes and keeps the first error, with its line
/// and column. After an error all values read are defaults.
class NodeReader {
public:
  explicit NodeReader(std::string_view FileName) : m_FileName(FileName) {}

  /// The first error, if there was one.
  const std::optional<Error> &error() const { return m_Error; }

  /// Keeps an error about a node, unless there was one before.
  void reject(const YAML::Node &Node, const std::string &Message);

  /// Keeps an error at a mark.
  void reject(const YAML::Mark &Mark, const std::string &Message);

  /// Requires a mapping with no other keys than these.
  void expectKeys(const YAML::Node &Node,
                  std::initializer_list<std::string_view> Keys);

  /// The node under a key, which may be undefined.
  YAML::Node find(const YAML::Node &Node, const char *Key);

  /// The sequence under a key; an empty one if it is missing and not Required.
  YAML::Node list(const YAML::Node &Node, const char *Key, bool Required);

  /// The text under a required key.
  std::string text(const YAML::Node &Node, const char *Key);

  /// The text under a key, or nothing.
  std::string textOr(const YAML::Node &Node, const char *Key,
                     std::string Default);

  /// The number under a key, which is not negative.
  double numberOr(const YAML::Node &Node, const char *Key, double Default);

  /// The whole number under a key, which is not negative.
  uint32_t countOr(const YAML::Node &Node, const char *Key, uint32_t Default);

  bool flagOr(const YAML::Node &Node, const char *Key, bool Default);

  /// The duration under a key, such as 200us, 1.5ms or 3s.
  Duration durationOr(const YAML::Node &Node, const char *Key,
                      Duration Default);

private:
  std::string m_FileName;
  std::optional<Error> m_Error;
};

} // namespace hyssopcross::scenario

#endif
