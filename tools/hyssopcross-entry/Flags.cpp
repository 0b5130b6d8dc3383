#include "Flags.h"
#include <fstream>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_string(config, "",
              "file with additional flags, one --name=value per line");
DEFINE_string(name, "", "name of this VM");
DEFINE_string(host, "", "IPv4 address of this VM");
DEFINE_string(data_centre, "", "data centre of this VM");
DEFINE_string(callers_address, "", "host:port that serves callers' requests");
DEFINE_string(readiness_address, "", "host:port that serves readiness checks");
DEFINE_string(directory_address, "",
              "host:port that serves the directory of VMs to callers");
DEFINE_int32(fleet_port, 7620,
             "UDP port for traffic between entry VMs, the same on all VMs");
DEFINE_int32(internal_port, 7621, "TCP port for metrics, the same on all VMs");
DEFINE_string(seeds, "", "comma-separated host:port list of other VMs");
DEFINE_double(core_share, 1,
              "CPU cores that the process may use; may be a fraction");
DEFINE_double(core_speed, 1,
              "speed of a core relative to the cores of other VMs");
DEFINE_int32(memory_mb, 256, "memory that the process may use, in MB");
DEFINE_string(store_address, "", "host:port of the platform's store");
DEFINE_int32(client_header_fields_max, 16384,
             "header fields of a request that are accepted");
DEFINE_int32(client_chunk_extra_bytes_max, 65536,
             "bytes of chunk extensions and trailers of a request that are "
             "accepted");
DEFINE_bool(first_start, false,
            "first start of the whole system: limit the load on the store");
DEFINE_double(stop_grace_s, 6, "maximum seconds from SIGTERM to process exit");
DEFINE_double(configuration_bound_s, 2,
              "maximum seconds until a new configuration is in effect");
DEFINE_double(directory_age_s, 2, "seconds that callers may cache addresses");
DEFINE_double(directory_age_max_s, 5, "upper bound of --directory_age_s");
DEFINE_double(repeat_ratio, 0.2, "retries that the fleet may send per request");
DEFINE_double(repeat_window_s, 10, "window of the retry budget in seconds");
DEFINE_double(repeat_slack, 0,
              "retries in each window that do not count against the budget");
DEFINE_double(quota_window_s, 5,
              "window of organisations' request quotas in seconds");
DEFINE_double(quota_over, 0.1,
              "share by which all VMs together may exceed a quota");
DEFINE_double(quota_slack, 20,
              "requests in each window by which all VMs together may exceed a "
              "quota in addition");
DEFINE_double(health_interval_ms, 40,
              "interval between health checks of a server");
DEFINE_double(health_checks_per_s_max, 60,
              "maximum health checks per second of one server");
DEFINE_double(rollout_expose_share, 0.1,
              "share of a service's requests that a version may get before it "
              "is found to be good");
DEFINE_double(rollout_expose_slack, 50,
              "requests that do not count against --rollout_expose_share");
DEFINE_double(rollout_rollback_s, 5,
              "maximum seconds until a bad version gets no more requests");
DEFINE_bool(queue, true, "queue requests until a server is available");
DEFINE_bool(refuse_hopeless, true,
            "reject requests that cannot be served in time");
DEFINE_bool(serve_late, true,
            "serve requests that can no longer meet their latency target");
DEFINE_bool(hedge, true, "send slow idempotent requests to a second server");
DEFINE_bool(share_in_flight, true, "report requests in flight to other VMs");
DEFINE_string(mechanisms_off, "",
              "comma-separated list of dispatch mechanisms to turn off");

namespace hyssopcross::entryvm {

namespace {

/// Two VMs may check the same server at once while responsibility for its
/// health checks moves from one to the other.
constexpr double MaxConcurrentCheckers = 2;

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

Result<void> checkNumberRanges() {
  const NumberFlag Numbers[] = {
      {"stop_grace_s", FLAGS_stop_grace_s, 0.1, 3600},
      {"configuration_bound_s", FLAGS_configuration_bound_s, 0.1, 3600},
      {"directory_age_s", FLAGS_directory_age_s, 0.1, 3600},
      {"directory_age_max_s", FLAGS_directory_age_max_s, 0.1, 3600},
      {"repeat_ratio", FLAGS_repeat_ratio, 0, 10},
      {"repeat_window_s", FLAGS_repeat_window_s, 0.1, 3600},
      {"repeat_slack", FLAGS_repeat_slack, 0, 1e6},
      {"quota_window_s", FLAGS_quota_window_s, 0.1, 3600},
      {"quota_over", FLAGS_quota_over, 0, 10},
      {"quota_slack", FLAGS_quota_slack, 0, 1e6},
      {"health_interval_ms", FLAGS_health_interval_ms, 5, 60000},
      {"health_checks_per_s_max", FLAGS_health_checks_per_s_max, 0.1, 1e6},
      {"rollout_expose_share", FLAGS_rollout_expose_share, 0, 1},
      {"rollout_expose_slack", FLAGS_rollout_expose_slack, 0, 1e9},
      {"rollout_rollback_s", FLAGS_rollout_rollback_s, 0.1, 3600},
      {"fleet_port", static_cast<double>(FLAGS_fleet_port), 1, 65535},
      {"internal_port", static_cast<double>(FLAGS_internal_port), 1, 65535},
      {"core_share", FLAGS_core_share, 0.001, 1024},
      {"core_speed", FLAGS_core_speed, 0.001, 1024},
      {"memory_mb", static_cast<double>(FLAGS_memory_mb), 16, 1e6},
      {"client_header_fields_max",
       static_cast<double>(FLAGS_client_header_fields_max), 16, 65535},
      {"client_chunk_extra_bytes_max",
       static_cast<double>(FLAGS_client_chunk_extra_bytes_max), 1024, 1 << 30},
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
                FLAGS_config + " contains an unknown flag or an invalid value");
  return boost::outcome_v2::success();
}

Result<gateway::Settings> settingsFromFlags() {
  auto Checked = checkNumberRanges();
  if (!Checked)
    return fail(Checked.error().m_Code, Checked.error().m_Message);
  gateway::Settings Values;
  Values.m_Name = FLAGS_name;
  Values.m_Host = FLAGS_host;
  Values.m_DataCentre = FLAGS_data_centre;
  const AddressFlag Addresses[] = {
      {"callers_address", FLAGS_callers_address, Values.m_Callers},
      {"readiness_address", FLAGS_readiness_address, Values.m_Readiness},
      {"directory_address", FLAGS_directory_address, Values.m_Directory},
      {"store_address", FLAGS_store_address, Values.m_Store},
  };
  auto Read = readAddressFlags(Addresses);
  if (!Read)
    return fail(Read.error().m_Code, Read.error().m_Message);
  Values.m_Fleet = {FLAGS_host, static_cast<uint16_t>(FLAGS_fleet_port)};
  Values.m_Internal = {FLAGS_host, static_cast<uint16_t>(FLAGS_internal_port)};
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
    Values.m_SeedHosts.push_back(Parsed.m_Host);
  }
  Values.m_MilliCores = std::max(
      1U, static_cast<uint32_t>(FLAGS_core_share * FLAGS_core_speed * 1000));
  Values.m_MemoryBytes = static_cast<uint64_t>(FLAGS_memory_mb) << 20;
  Values.m_ClientHeaderFields =
      static_cast<uint32_t>(FLAGS_client_header_fields_max);
  Values.m_ClientExtraBytes =
      static_cast<uint64_t>(FLAGS_client_chunk_extra_bytes_max);
  Values.m_IsFirstStart = FLAGS_first_start;
  Values.m_StopGrace = fromSeconds(FLAGS_stop_grace_s);
  Values.m_ConfigurationBound = fromSeconds(FLAGS_configuration_bound_s);
  Values.m_DirectoryMaxAge =
      fromSeconds(std::min(FLAGS_directory_age_s, FLAGS_directory_age_max_s));
  Values.m_Repeats.m_Ratio = FLAGS_repeat_ratio;
  Values.m_Repeats.m_Window = fromSeconds(FLAGS_repeat_window_s);
  Values.m_Repeats.m_Slack = FLAGS_repeat_slack;
  Values.m_Quota.m_Window = fromSeconds(FLAGS_quota_window_s);
  Values.m_Quota.m_Over = FLAGS_quota_over;
  Values.m_Quota.m_Slack = FLAGS_quota_slack;
  Values.m_HealthInterval = fromSeconds(
      std::max(FLAGS_health_interval_ms / 1000,
               MaxConcurrentCheckers / FLAGS_health_checks_per_s_max));
  Values.m_Repeats.m_Use = Values.m_Dispatch.m_BudgetUse;
  Values.m_Rollout.m_ExposeShare = FLAGS_rollout_expose_share;
  Values.m_Rollout.m_ExposeSlack = FLAGS_rollout_expose_slack;
  Values.m_Rollout.m_RollbackTime = fromSeconds(FLAGS_rollout_rollback_s);
  Values.m_Dispatch.m_Queue = FLAGS_queue;
  Values.m_Dispatch.m_RefuseHopeless = FLAGS_refuse_hopeless;
  Values.m_Dispatch.m_ServeLate = FLAGS_serve_late;
  Values.m_Dispatch.m_Hedge = FLAGS_hedge;
  Values.m_Dispatch.m_ShareInFlight = FLAGS_share_in_flight;
  for (std::string_view Mechanism : splitList(FLAGS_mechanisms_off, ',')) {
    auto Off = dispatch::disableMechanism(Values.m_Dispatch, Mechanism);
    if (!Off)
      return fail(Off.error().m_Code,
                  "--mechanisms_off: " + Off.error().m_Message);
  }
  return Values;
}

} // namespace hyssopcross::entryvm
