#include "Flags.h"
#include "hyssopcross/base/Log.h"
#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_bool(check, false, "check the settings and exit");
DEFINE_string(log_level, "info", "debug, info, warning or error");

namespace {

constexpr int ExitSettings = 2;
constexpr int ExitStart = 1;

int reject(const hyssopcross::Error &Why) {
  std::fprintf(stderr, "hyssopcrossd: %s\n", Why.m_Message.c_str());
  return ExitSettings;
}

/// Blocks the stop signals in this thread and those that it starts.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

} // namespace

int main(int Argc, char **Argv) {
  using namespace hyssopcross;
  auto Read = readSettings(Argc, Argv,
                           "Entry VM of hyssopcross. Each flag is also taken "
                           "from the environment as HYSSOPCROSS_<FLAG>.");
  if (!Read)
    return reject(Read.error());
  auto Log = initialiseLog(FLAGS_log_level, LogTarget::BoundedStandardOutput);
  if (!Log)
    return reject(Log.error());
  auto Settings = settingsFromFlags();
  if (!Settings)
    return reject(Settings.error());
  if (FLAGS_check) {
    std::puts("settings are valid");
    return 0;
  }
  sigset_t Signals = blockStopSignals();
  entry::Node Node(std::move(Settings.value()));
  auto Started = Node.start();
  if (!Started) {
    logEvent(LogLevel::Error, "start_failed",
             {{"error", Started.error().m_Message}});
    return ExitStart;
  }
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Node.stop();
  return 0;
}
