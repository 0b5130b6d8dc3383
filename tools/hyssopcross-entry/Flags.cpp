#include "Flags.h"
#include <fstream>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_string(config, "", "file of further flags, one --name=value a line");
DEFINE_string(name, "", "name of this VM");
DEFINE_string(host, "", "IPv4 address of this VM");
DEFINE_string(data_centre, "", "data centre of this VM");
DEFINE_string(callers_address, "", "host:port for callers' requests");
DEFINE_string(readiness_address, "", "host:port for readiness");
DEFINE_string(directory_address, "",
              "host:port where callers ask which VMs to use");
DEFINE_int32(fleet_port, 7620, "UDP port between entry VMs, the same on all");
DEFINE_int32(internal_port, 7621, "TCP port for metrics, the same on all");
DEFINE_string(seeds, "", "host:port of other VMs, comma separated");
DEFINE_double(core_share, 1, "share of a core that the process may use");
DEFINE_double(core_speed, 1, "speed of that core, relative to others");
DEFINE_int32(memory_mb, 256, "memory that the process may use, in MB");
DEFINE_string(store_address, "", "host:port of the platform's store");
DEFINE_bool(first_start, false,
            "the whole system starts for the first time: spare the store");
DEFINE_double(stop_grace_s, 6, "seconds from SIGTERM to the end");
DEFINE_double(configuration_bound_s, 2,
              "seconds until a configuration must be in force");
DEFINE_double(directory_age_s, 2, "seconds that callers keep addresses");
DEFINE_double(directory_age_max_s, 5, "upper bound of --directory_age_s");
DEFINE_double(repeat_ratio, 0.2,
              "repeats that the fleet may send for each request");
DEFINE_double(repeat_window_s, 10, "window of the repeat budget in seconds");
DEFINE_double(repeat_slack, 0, "repeats that are free in each window");
DEFINE_double(health_interval_ms, 40, "time between two checks of a server");
DEFINE_double(health_checks_per_s_max, 60,
              "checks that a server gets per second at most");
DEFINE_bool(queue, true, "let requests wait for a server");
DEFINE_bool(refuse_hopeless, true, "refuse what cannot be served in time");
DEFINE_bool(serve_late, true, "serve requests that are already late");
DEFINE_bool(hedge, true, "send slow idempotent requests a second time");
DEFINE_bool(share_in_flight, true, "tell other VMs what is in flight");
DEFINE_string(mechanisms_off, "",
              "mechanisms of the decisions to turn off, comma separated");

namespace hyssopcross::entryvm {

namespace {

/// Two VMs may check a server at once while its duty changes hands.
constexpr double CheckersAtOnce = 2;

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

Result<void> checkNumbers() {
  const NumberFlag Numbers[] = {
      {"stop_grace_s", FLAGS_stop_grace_s, 0.1, 3600},
      {"configuration_bound_s", FLAGS_configuration_bound_s, 0.1, 3600},
      {"directory_age_s", FLAGS_directory_age_s, 0.1, 3600},
      {"directory_age_max_s", FLAGS_directory_age_max_s, 0.1, 3600},
      {"repeat_ratio", FLAGS_repeat_ratio, 0, 10},
      {"repeat_window_s", FLAGS_repeat_window_s, 0.1, 3600},
      {"repeat_slack", FLAGS_repeat_slack, 0, 1e6},
      {"health_interval_ms", FLAGS_health_interval_ms, 5, 60000},
      {"health_checks_per_s_max", FLAGS_health_checks_per_s_max, 0.1, 1e6},
      {"fleet_port", static_cast<double>(FLAGS_fleet_port), 1, 65535},
      {"internal_port", static_cast<double>(FLAGS_internal_port), 1, 65535},
      {"core_share", FLAGS_core_share, 0.001, 1024},
      {"core_speed", FLAGS_core_speed, 0.001, 1024},
      {"memory_mb", static_cast<double>(FLAGS_memory_mb), 16, 1e6},
  };
  return checkNumberFlags(Numbers);
}

} // namespace

Result<void> readSettingsFile() {
  if (FLAGS_config.empty())
    return boost::outcome_v2::success();
  std::ifstream File(FLAGS_config);
  std::stringstream Text;
  Text << File.rdbuf();
  if (!File)
    return fail(ErrorCode::InvalidInput, "cannot read " + FLAGS_config);
  if (!gflags::ReadFlagsFromString(Text.str(), "hyssopcross-entry",
                                   /*errors_are_fatal=*/false))
    return fail(ErrorCode::InvalidInput,
                FLAGS_config + " holds a flag that is unknown or unusable");
  return boost::outcome_v2::success();
}

Result<gateway::Settings> settingsFromFlags() {
  auto Checked = checkNumbers();
  if (!Checked)
    return fail(Checked.error().m_Code, Checked.error().m_Message);
  gateway::Settings Made;
  Made.m_Name = FLAGS_name;
  Made.m_Host = FLAGS_host;
  Made.m_DataCentre = FLAGS_data_centre;
  const AddressFlag Addresses[] = {
      {"callers_address", FLAGS_callers_address, Made.m_Callers},
      {"readiness_address", FLAGS_readiness_address, Made.m_Readiness},
      {"directory_address", FLAGS_directory_address, Made.m_Directory},
      {"store_address", FLAGS_store_address, Made.m_Store},
  };
  auto Read = readAddressFlags(Addresses);
  if (!Read)
    return fail(Read.error().m_Code, Read.error().m_Message);
  Made.m_Fleet = {FLAGS_host, static_cast<uint16_t>(FLAGS_fleet_port)};
  Made.m_Internal = {FLAGS_host, static_cast<uint16_t>(FLAGS_internal_port)};
  for (const char *Flag : {"name", "host", "data_centre"})
    if (gflags::GetCommandLineFlagInfoOrDie(Flag).current_value.empty())
      return fail(ErrorCode::InvalidInput,
                  std::string("--") + Flag + " is not set");
  for (std::string_view Seed : splitList(FLAGS_seeds, ',')) {
    std::string Text(Seed);
    Address Parsed;
    const AddressFlag Seeds[] = {{"seeds", Text, Parsed}};
    auto Known = readAddressFlags(Seeds);
    if (!Known)
      return fail(Known.error().m_Code, Known.error().m_Message);
    Made.m_SeedHosts.push_back(Parsed.m_Host);
  }
  Made.m_MilliCores = std::max(
      1U, static_cast<uint32_t>(FLAGS_core_share * FLAGS_core_speed * 1000));
  Made.m_MemoryBytes = static_cast<uint64_t>(FLAGS_memory_mb) << 20;
  Made.m_IsFirstStart = FLAGS_first_start;
  Made.m_StopGrace = fromSeconds(FLAGS_stop_grace_s);
  Made.m_ConfigurationBound = fromSeconds(FLAGS_configuration_bound_s);
  Made.m_DirectoryMaxAge =
      fromSeconds(std::min(FLAGS_directory_age_s, FLAGS_directory_age_max_s));
  Made.m_Repeats.m_Ratio = FLAGS_repeat_ratio;
  Made.m_Repeats.m_Window = fromSeconds(FLAGS_repeat_window_s);
  Made.m_Repeats.m_Slack = FLAGS_repeat_slack;
  Made.m_HealthInterval =
      fromSeconds(std::max(FLAGS_health_interval_ms / 1000,
                           CheckersAtOnce / FLAGS_health_checks_per_s_max));
  Made.m_Repeats.m_Use = Made.m_Dispatch.m_BudgetUse;
  Made.m_Dispatch.m_Queue = FLAGS_queue;
  Made.m_Dispatch.m_RefuseHopeless = FLAGS_refuse_hopeless;
  Made.m_Dispatch.m_ServeLate = FLAGS_serve_late;
  Made.m_Dispatch.m_Hedge = FLAGS_hedge;
  Made.m_Dispatch.m_ShareInFlight = FLAGS_share_in_flight;
  for (std::string_view Mechanism : splitList(FLAGS_mechanisms_off, ',')) {
    auto Off = dispatch::turnOff(Made.m_Dispatch, Mechanism);
    if (!Off)
      return fail(Off.error().m_Code,
                  "--mechanisms_off: " + Off.error().m_Message);
  }
  return Made;
}

} // namespace hyssopcross::entryvm
