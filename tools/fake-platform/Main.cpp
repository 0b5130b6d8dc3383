#include "hyssopcross/base/Log.h"
#include "hyssopcross/standins/PlatformServer.h"
#include "hyssopcross/standins/Process.h"
#include <boost/outcome/try.hpp>
#include <cstdio>
#include <gflags/gflags.h>

using namespace hyssopcross;

DEFINE_string(listen, "127.0.0.1:7000", "Address to serve, host:port");
DEFINE_double(max_writes_per_second, 0,
              "Writes served per second, beyond which they are refused; zero "
              "for no limit");
DEFINE_double(max_reads_per_second, 0,
              "Reads served per second, beyond which they are refused; zero "
              "for no limit");
DEFINE_uint32(list_lag_ms, 0, "How much later the list of VMs shows a change");
DEFINE_string(log_level, "info", "Log from: debug, info, warning, error");

namespace {

Result<standins::PlatformServerOptions> readOptions() {
  auto Listen = parseAddress(FLAGS_listen);
  if (!Listen)
    return Listen.as_failure();
  if (FLAGS_max_writes_per_second < 0 || FLAGS_max_reads_per_second < 0)
    return fail(ErrorCode::InvalidInput, "a rate is negative");
  standins::PlatformServerOptions Options;
  Options.m_Http.m_Listen = Listen.value();
  Options.m_MaxWritesPerSecond = FLAGS_max_writes_per_second;
  Options.m_MaxReadsPerSecond = FLAGS_max_reads_per_second;
  Options.m_ListLag = std::chrono::milliseconds(FLAGS_list_lag_ms);
  return Options;
}

Result<void> run(int Argc, char **Argv) {
  BOOST_OUTCOME_TRY(
      readSettings(Argc, Argv, "A stand-in for the platform's services"));
  BOOST_OUTCOME_TRY(
      initialiseLog(FLAGS_log_level, LogTarget::BoundedStandardOutput));
  BOOST_OUTCOME_TRY(Options, readOptions());
  standins::blockStopSignals();
  SystemClock Clock;
  BOOST_OUTCOME_TRY(Server, standins::PlatformServer::start(Options, Clock));
  logEvent(LogLevel::Info, "serving",
           {{"address", Server->address().toString()}});
  standins::waitForStopSignal();
  return boost::outcome_v2::success();
}

} // namespace

int main(int Argc, char **Argv) {
  auto Ran = run(Argc, Argv);
  if (Ran)
    return 0;
  std::fprintf(stderr, "fake-platform: %s\n", Ran.error().m_Message.c_str());
  return 1;
}
