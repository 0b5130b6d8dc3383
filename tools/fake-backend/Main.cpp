#include "hyssopcross/base/Log.h"
#include "hyssopcross/standins/BackendServer.h"
#include "hyssopcross/standins/Process.h"
#include <boost/outcome/try.hpp>
#include <cstdio>
#include <gflags/gflags.h>
#include <random>

using namespace hyssopcross;

DEFINE_string(listen, "127.0.0.1:7100", "Address to serve, host:port");
DEFINE_string(service, "", "Name of the service");
DEFINE_string(class, "lookup", "Class of the service: lookup, money, upload");
DEFINE_uint32(slots, 2, "Requests that run at once");
DEFINE_uint32(queue, 4, "Requests that wait for a slot");
DEFINE_double(service_time_ms, 10, "Mean service time");
DEFINE_string(service_times, "exponential",
              "Distribution of service times: exponential, fixed");
DEFINE_uint32(cold_ms, 0, "How long the server starts cold");
DEFINE_uint32(cold_slots, 1, "Requests that it accepts at once when cold");
DEFINE_double(cold_factor, 5, "How many times slower it is when cold");
DEFINE_double(connect_cost_ms, 0, "Time spent on each new connection");
DEFINE_uint32(max_connections, 250, "Connections accepted at once");
DEFINE_uint32(load_lag_ms, 0, "How old the answers of /load may be");
DEFINE_uint32(health_lag_ms, 0, "How much later /health shows a draining");
DEFINE_string(boot, "", "Name of this run of the process; random if empty");
DEFINE_uint64(seed, 1, "Seed of the service times");
DEFINE_string(log_level, "info", "Log from: debug, info, warning, error");

namespace {

Result<catalogue::ServiceClass> parseClass(std::string_view Name) {
  if (Name == "lookup")
    return catalogue::ServiceClass::Lookup;
  if (Name == "money")
    return catalogue::ServiceClass::Money;
  if (Name == "upload")
    return catalogue::ServiceClass::Upload;
  return fail(ErrorCode::InvalidInput, "--class is \"" + std::string(Name) +
                                           "\", none of lookup, money, upload");
}

Result<standins::ServiceTimes> parseTimes(std::string_view Name) {
  if (Name == "exponential")
    return standins::ServiceTimes::Exponential;
  if (Name == "fixed")
    return standins::ServiceTimes::Fixed;
  return fail(ErrorCode::InvalidInput, "--service_times is \"" +
                                           std::string(Name) +
                                           "\", neither exponential nor fixed");
}

Duration fromMilliseconds(double Milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Milliseconds));
}

std::string randomBoot() {
  std::random_device Device;
  return "boot" + std::to_string(Device()) + std::to_string(Device());
}

Result<void> checkNumbers() {
  if (FLAGS_slots == 0)
    return fail(ErrorCode::InvalidInput, "--slots is zero");
  if (FLAGS_service_time_ms < 0 || FLAGS_connect_cost_ms < 0)
    return fail(ErrorCode::InvalidInput, "a time is negative");
  if (FLAGS_cold_factor < 1)
    return fail(ErrorCode::InvalidInput, "--cold_factor is less than one");
  return boost::outcome_v2::success();
}

Result<standins::BackendOptions> readOptions() {
  BOOST_OUTCOME_TRY(checkNumbers());
  standins::BackendOptions Options;
  BOOST_OUTCOME_TRY(Listen, parseAddress(FLAGS_listen));
  BOOST_OUTCOME_TRY(Class, parseClass(FLAGS_class));
  BOOST_OUTCOME_TRY(Times, parseTimes(FLAGS_service_times));
  if (FLAGS_service.empty())
    return fail(ErrorCode::InvalidInput, "--service is missing");
  Options.m_Http.m_Listen = Listen;
  Options.m_Class = Class;
  Options.m_Times = Times;
  Options.m_Service = FLAGS_service;
  Options.m_Http.m_ConnectCost = fromMilliseconds(FLAGS_connect_cost_ms);
  Options.m_Http.m_MaxConnections = FLAGS_max_connections;
  Options.m_Limits = {FLAGS_slots, FLAGS_queue, FLAGS_cold_slots,
                      std::chrono::milliseconds(FLAGS_cold_ms)};
  Options.m_ServiceTime = fromMilliseconds(FLAGS_service_time_ms);
  Options.m_ColdFactor = FLAGS_cold_factor;
  Options.m_LoadLag = std::chrono::milliseconds(FLAGS_load_lag_ms);
  Options.m_HealthLag = std::chrono::milliseconds(FLAGS_health_lag_ms);
  Options.m_Boot = FLAGS_boot.empty() ? randomBoot() : FLAGS_boot;
  Options.m_Seed = FLAGS_seed;
  return Options;
}

Result<void> run(int Argc, char **Argv) {
  BOOST_OUTCOME_TRY(readSettings(Argc, Argv, "A fake backend server"));
  BOOST_OUTCOME_TRY(
      initialiseLog(FLAGS_log_level, LogTarget::BoundedStandardOutput));
  BOOST_OUTCOME_TRY(Options, readOptions());
  standins::blockStopSignals();
  SystemClock Clock;
  BOOST_OUTCOME_TRY(Server, standins::BackendServer::start(Options, Clock));
  logEvent(LogLevel::Info, "serving",
           {{"address", Server->address().toString()},
            {"service", Options.m_Service},
            {"boot", Options.m_Boot}});
  standins::waitForStopSignal();
  return boost::outcome_v2::success();
}

} // namespace

int main(int Argc, char **Argv) {
  auto Ran = run(Argc, Argv);
  if (Ran)
    return 0;
  std::fprintf(stderr, "fake-backend: %s\n", Ran.error().m_Message.c_str());
  return 1;
}
