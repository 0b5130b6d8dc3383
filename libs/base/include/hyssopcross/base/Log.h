#ifndef HYSSOPCROSS_BASE_LOG_H
#define HYSSOPCROSS_BASE_LOG_H

#include "hyssopcross/base/Clock.h"
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

/// Where log lines go.
enum class LogTarget {
  /// Standard error: command-line tools, whose standard output is their result.
  StandardError,
  /// Standard output, bounded and never blocking: daemons. A line that exceeds
  /// the rate, or that the reader has no room for, is dropped and counted; the
  /// next line that goes out is preceded by one that tells how many.
  BoundedStandardOutput,
};

/// Sends log lines from the named level upwards to a target. Call once before
/// other threads start. Fails on an unknown level name.
Result<void> initialiseLog(std::string_view LevelName,
                           LogTarget Target = LogTarget::StandardError);

/// Lines that may be written in a run of any length: a steady rate and what may
/// be saved up for a burst.
struct LogRate {
  /// Lines per second: several for each request at the load of a small VM.
  double m_PerSecond = 300;
  double m_Burst = 3000;
};

/// Counts lines against a rate.
class LogBudget {
public:
  explicit LogBudget(LogRate Rate) : m_Rate(Rate), m_Saved(Rate.m_Burst) {}

  /// Whether a line may be written now.
  bool take(TimePoint Now);

private:
  LogRate m_Rate;
  double m_Saved;
  TimePoint m_LastAt{};
};

/// Writes one line `event=Event key=value ...` with time and level. Safe from
/// any thread.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

} // namespace hyssopcross

#endif
