#include "Flags.h"
#include "hyssopcross/adapter/Adapter.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/gateway/Node.h"
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <gflags/gflags.h>

DEFINE_bool(check, false, "check the settings and exit");
DEFINE_string(log_level, "info", "debug, info, warning or error");

namespace {

using namespace hyssopcross;

constexpr int ExitSettings = 2;
constexpr int ExitStart = 1;

int reject(const Error &Why) {
  std::fprintf(stderr, "hyssopcross-entry: %s\n", Why.m_Message.c_str());
  return ExitSettings;
}

Result<gateway::Settings> readAllSettings() {
  auto Read = entryvm::readSettingsFile();
  if (!Read)
    return fail(Read.error().m_Code, Read.error().m_Message);
  return entryvm::settingsFromFlags();
}

void reload(gateway::Node &Node) {
  auto Given = readAllSettings();
  if (Given)
    return Node.reload(Given.value());
  logEvent(LogLevel::Error, "reload_failed",
           {{"error", Given.error().m_Message},
            {"outcome", "earlier settings stay"}});
}

void awaitSignals(boost::asio::signal_set &Signals, gateway::Node &Node,
                  boost::asio::io_context &Loop) {
  Signals.async_wait([&](const boost::system::error_code &Failure, int Signal) {
    if (Failure)
      return;
    if (Signal == SIGHUP)
      reload(Node);
    else
      Node.stop([&Loop] { Loop.stop(); });
    awaitSignals(Signals, Node, Loop);
  });
}

/// Runs the node until it is told to stop; the exit status.
int runNode(gateway::Settings Given) {
  boost::asio::io_context Loop(1);
  SystemClock Time;
  gateway::PlatformCodec Speech = adapter::makeDialect();
  gateway::Node Node(Loop, Time, std::move(Given), Speech);
  auto Started = Node.start();
  if (!Started) {
    logEvent(LogLevel::Error, "start_failed",
             {{"error", Started.error().m_Message}});
    return ExitStart;
  }
  boost::asio::signal_set Signals(Loop, SIGTERM, SIGINT, SIGHUP);
  awaitSignals(Signals, Node, Loop);
  Loop.run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  auto Read = readSettings(Argc, Argv,
                           "Entry VM of hyssopcross. Each flag is also taken "
                           "from the environment as HYSSOPCROSS_<FLAG>.");
  if (!Read)
    return reject(Read.error());
  auto Given = readAllSettings();
  if (!Given)
    return reject(Given.error());
  if (FLAGS_check) {
    std::puts("settings are valid");
    return 0;
  }
  auto Log = initialiseLog(FLAGS_log_level, LogTarget::BoundedStandardOutput);
  if (!Log)
    return reject(Log.error());
  std::signal(SIGPIPE, SIG_IGN);
  // The log library waits for its threads in its static destructors, and kept
  // stopped processes until they were killed at the end of their grace time.
  // Lines are written as they are logged, so nothing is lost.
  std::_Exit(runNode(std::move(Given.value())));
}
