#ifndef HYSSOPCROSS_BASE_LOG_H
#define HYSSOPCROSS_BASE_LOG_H

#include "hyssopcross/base/Error.h"
#include <initializer_list>
#include <string>
#include <string_view>

namespace hyssopcross {

/// The severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// One key=value pair of a log line. A value that holds spaces, quotes or
/// control characters is written as a quoted string.
struct LogField {
  LogField(std::string_view Key, std::string_view Value)
      : m_Key(Key), m_Value(Value) {}
  LogField(std::string_view Key, const char *Value)
      : m_Key(Key), m_Value(Value) {}
  LogField(std::string_view Key, const std::string &Value)
      : m_Key(Key), m_Value(Value) {}
  template <typename Number>
  requires std::is_arithmetic_v<Number> LogField(std::string_view Key,
                                                 Number Value)
      : m_Key(Key), m_Value(std::to_string(Value)) {}

  std::string m_Key;
  std::string m_Value;
};

/// Sends log lines to standard error from the named level upwards. Call once
/// before other threads start. Fails on an unknown level name.
Result<void> initialiseLog(std::string_view LevelName);

/// Writes one line `event=Event key=value ...` with time and level. Safe from
/// any thread.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

} // namespace hyssopcross

#endif
