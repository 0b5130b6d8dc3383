#ifndef HYSSOPCROSS_TOOLS_COMMANDS_H
#define HYSSOPCROSS_TOOLS_COMMANDS_H

#include "Client.h"
#include "hyssopcross/base/Clock.h"
#include <functional>
#include <optional>

namespace hyssopcross::tool {

/// What the program returns to the shell.
enum ExitCode : int {
  Done = 0,
  /// Refused, in conflict with another change, or answered no by the operator.
  Refused = 1,
  BadUsage = 2,
  /// No entry VM answered, or none reached the store. A change may have been
  /// accepted if the message says so.
  Unreachable = 3,
  /// Accepted, but not in force everywhere within the time to wait.
  NotInForce = 4,
};

enum class Format { Text, Json };

/// The settings of one run.
struct Options {
  Format m_Format = Format::Text;
  /// Apply without asking.
  bool m_Yes = false;
  /// Wait until a change is in force everywhere.
  bool m_Wait = true;
  Duration m_WaitFor = std::chrono::seconds(10);
  std::string m_Author;
  std::string m_ChangeId;
  uint64_t m_Limit = 10;
};

/// The surroundings of one run, as the program or a test provides them.
struct Surroundings {
  Client *m_Client = nullptr;
  const Clock *m_Clock = nullptr;
  std::function<void(Duration)> m_Pause;
  std::function<Result<std::string>(const std::string &Path)> m_ReadFile;
  /// Asks a question on the terminal; no value if there is no terminal.
  std::function<std::optional<bool>(std::string_view Question)> m_Ask;
  std::function<void(std::string_view)> m_Out;
  std::function<void(std::string_view)> m_Err;
};

/// Runs one command, given as words, and returns the exit code.
int runCommand(Surroundings &Around, const Options &With,
               const std::vector<std::string> &Words);

/// What the commands are, for --help and after a mistake.
extern const char *const Usage;

} // namespace hyssopcross::tool

#endif
