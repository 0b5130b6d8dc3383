#include "hyssopcross/base/Log.h"
#include <algorithm>
#include <climits>
#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

namespace hyssopcross {

namespace {

bool needsQuotes(std::string_view Value) {
  if (Value.empty())
    return true;
  for (char C : Value)
    if (C <= ' ' || C == '"' || C == '=' || C == '\\')
      return true;
  return false;
}

void appendEscaped(std::string &Line, char C) {
  if (C == '"' || C == '\\') {
    Line += '\\';
    Line += C;
    return;
  }
  if (static_cast<unsigned char>(C) < ' ') {
    Line += ' ';
    return;
  }
  Line += C;
}

void appendValue(std::string &Line, std::string_view Value) {
  if (!needsQuotes(Value)) {
    Line += Value;
    return;
  }
  Line += '"';
  for (char C : Value)
    appendEscaped(Line, C);
  Line += '"';
}

log4cplus::LogLevel toLog4cplus(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case LogLevel::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case LogLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

Result<LogLevel> parseLevel(std::string_view Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "info")
    return LogLevel::Info;
  if (Name == "warning")
    return LogLevel::Warning;
  if (Name == "error")
    return LogLevel::Error;
  return fail(ErrorCode::InvalidInput,
              "log level \"" + std::string(Name) +
                  "\" is none of debug, info, warning, error");
}

/// Writes lines to standard output without ever waiting for its reader.
class BoundedAppender final : public log4cplus::Appender {
public:
  ~BoundedAppender() override { destructorImpl(); }

  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    if (!m_Budget.take(m_Clock.now()) || !hasRoom()) {
      ++m_Dropped;
      return;
    }
    if (m_Dropped > 0)
      write("level=WARN event=log_lines_dropped count=" +
            std::to_string(std::exchange(m_Dropped, 0)) + "\n");
    log4cplus::tostringstream Line;
    layout->formatAndAppend(Line, Event);
    write(Line.str().substr(0, MaxLine));
  }

private:
  /// What a pipe takes whole once it reports room.
  static constexpr size_t MaxLine = PIPE_BUF;

  static bool hasRoom() {
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
  }

  static void write(const std::string &Text) {
    // Nothing can be told if the reader is gone; the process lives on.
    ssize_t Ignored = ::write(STDOUT_FILENO, Text.data(), Text.size());
    static_cast<void>(Ignored);
  }

  SystemClock m_Clock;
  LogBudget m_Budget{LogRate()};
  uint64_t m_Dropped = 0;
};

log4cplus::SharedAppenderPtr makeAppender(LogTarget Target) {
  if (Target == LogTarget::BoundedStandardOutput)
    return log4cplus::SharedAppenderPtr(new BoundedAppender());
  return log4cplus::SharedAppenderPtr(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
}

} // namespace

bool LogBudget::take(TimePoint Now) {
  if (m_LastAt != TimePoint{}) {
    double Passed = std::chrono::duration<double>(Now - m_LastAt).count();
    m_Saved = std::min(m_Rate.m_Burst, m_Saved + Passed * m_Rate.m_PerSecond);
  }
  m_LastAt = Now;
  if (m_Saved < 1)
    return false;
  m_Saved -= 1;
  return true;
}

Result<void> initialiseLog(std::string_view LevelName, LogTarget Target) {
  auto Level = parseLevel(LevelName);
  if (!Level)
    return fail(Level.error().m_Code, Level.error().m_Message);
  static log4cplus::Initializer Library;
  log4cplus::SharedAppenderPtr Appender = makeAppender(Target);
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n")));
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(Appender);
  Root.setLogLevel(toLog4cplus(Level.value()));
  return boost::outcome_v2::success();
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  static log4cplus::Logger Root = log4cplus::Logger::getRoot();
  if (!Root.isEnabledFor(toLog4cplus(Level)))
    return;
  std::string Line = "event=";
  appendValue(Line, Event);
  for (const LogField &Field : Fields) {
    Line += ' ';
    Line += Field.m_Key;
    Line += '=';
    appendValue(Line, Field.m_Value);
  }
  Root.log(toLog4cplus(Level), Line);
}

} // namespace hyssopcross
