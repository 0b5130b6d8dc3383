#ifndef HYSSOPCROSS_TOOLS_OUTPUT_H
#define HYSSOPCROSS_TOOLS_OUTPUT_H

#include "Commands.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::tool {

using Json = nlohmann::ordered_json;

/// One command on its way.
struct Run {
  Surroundings &m_Around;
  const Options &m_With;

  bool wantsJson() const { return m_With.m_Format == Format::Json; }
  void out(std::string_view Text) const { m_Around.m_Out(Text); }
  void err(std::string_view Text) const { m_Around.m_Err(Text); }
};

/// Prints an error and returns the exit code: as JSON if that is asked for.
int report(const Run &On, ExitCode Code, std::string_view Name,
           std::string_view Message);

/// Prints a wrong use with the usage.
int reportUsage(const Run &On, std::string_view Message);

/// Prints what an entry VM answered instead of success.
int reportAnswer(const Run &On, const Response &Answer);

/// Sends a request and takes its answer as JSON. Returns no value after having
/// printed the failure, with its exit code in Code.
std::optional<Json> ask(const Run &On, std::string_view Method,
                        std::string_view Path, const Json &Body, int &Code);

/// A text field; empty if it is missing or no text.
std::string textOf(const Json &Value, const char *Field);

/// A whole number field; zero if it is missing or no number.
uint64_t numberOf(const Json &Value, const char *Field);

/// The time of a field in milliseconds since 1970, as ISO 8601.
std::string timeOf(const Json &Value, const char *Field);

/// Encodes a text as one part of a path.
std::string encodePathPart(std::string_view Text);

} // namespace hyssopcross::tool

#endif
