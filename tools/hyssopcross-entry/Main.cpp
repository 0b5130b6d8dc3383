#include "Flags.h"
#include "hyssopcross/adapter/Adapter.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/gateway/Node.h"
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <gflags/gflags.h>

DEFINE_bool(check, false, "check the settings and exit");
DEFINE_string(log_level, "info", "debug, info, warning or error");

namespace {

using namespace hyssopcross;

constexpr int ExitInvalidSettings = 2;
constexpr int ExitStartFailed = 1;

int reportSettingsError(const Error &SettingsError) {
  std::fprintf(stderr, "hyssopcross-entry: %s\n",
               SettingsError.m_Message.c_str());
  return ExitInvalidSettings;
}

Result<gateway::Settings> readAllSettings() {
  auto Read = entryvm::readSettingsFile();
  if (!Read)
    return fail(Read.error().m_Code, Read.error().m_Message);
  return entryvm::settingsFromFlags();
}

void reload(gateway::Node &Node) {
  auto Loaded = readAllSettings();
  if (Loaded)
    return Node.reload(Loaded.value());
  logEvent(LogLevel::Error, "reload_failed",
           {{"error", Loaded.error().m_Message},
            {"outcome", "previous settings remain in effect"}});
}

void awaitSignals(boost::asio::signal_set &Signals, gateway::Node &Node,
                  boost::asio::io_context &Loop) {
  Signals.async_wait([&](const boost::system::error_code &Failure, int Signal) {
    if (Failure)
      return;
    awaitSignals(Signals, Node, Loop);
    if (Signal == SIGHUP)
      reload(Node);
    else
      Node.stop([&Loop] { Loop.stop(); });
  });
}

/// Runs the event loop until it is stopped. An exception ends only the handler
/// that it left: this process serves the requests of many callers, and ending
/// it would lose all of them. Continuing is safe because
/// - run() may be called again after an exception without a restart, and the
///   handler that threw has been removed from the queue, so it does not repeat;
/// - handlers that schedule their own next run do so after an exception as well
///   (runWithRecovery), so no timer and no reading of a socket ends unnoticed;
/// - broken invariants do not throw but end the process.
/// A request whose handler threw may stay without an answer until its caller
/// leaves.
void runLoop(boost::asio::io_context &Loop, gateway::Node &Node) {
  while (!Loop.stopped()) {
    try {
      Loop.run();
    } catch (const std::exception &Thrown) {
      Node.noteLoopException(Thrown.what());
    }
  }
}

/// Runs the node until a signal stops it. Returns the exit status.
int runNode(gateway::Settings Loaded) {
  boost::asio::io_context Loop(1);
  SystemClock Time;
  gateway::PlatformCodec PlatformDialect = adapter::makeDialect();
  gateway::Node Node(Loop, Time, std::move(Loaded), PlatformDialect);
  auto Started = Node.start();
  if (!Started) {
    logEvent(LogLevel::Error, "start_failed",
             {{"error", Started.error().m_Message}});
    return ExitStartFailed;
  }
  boost::asio::signal_set Signals(Loop, SIGTERM, SIGINT, SIGHUP);
  awaitSignals(Signals, Node, Loop);
  runLoop(Loop, Node);
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  auto Read = readSettings(Argc, Argv,
                           "Entry VM of hyssopcross. Each flag is also taken "
                           "from the environment as HYSSOPCROSS_<FLAG>.");
  if (!Read)
    return reportSettingsError(Read.error());
  auto Loaded = readAllSettings();
  if (!Loaded)
    return reportSettingsError(Loaded.error());
  if (FLAGS_check) {
    std::puts("settings are valid");
    return 0;
  }
  auto Log = initialiseLog(FLAGS_log_level, LogTarget::BoundedStandardOutput);
  if (!Log)
    return reportSettingsError(Log.error());
  std::signal(SIGPIPE, SIG_IGN);
  // Skips static destructors: those of the log library wait for its threads and
  // blocked stopped processes until they were killed at the end of the grace
  // period. Log lines are written immediately, so none are lost.
  std::_Exit(runNode(std::move(Loaded.value())));
}
