#include "hyssopcross/base/Log.h"
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

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

} // namespace

Result<void> initialiseLog(std::string_view LevelName) {
  auto Level = parseLevel(LevelName);
  if (!Level)
    return fail(Level.error().m_Code, Level.error().m_Message);
  static log4cplus::Initializer Library;
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
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
