#include "Flags.h"
#include <gflags/gflags.h>
#include <random>

DEFINE_string(name, "", "name of this VM, as in the platform's list");
DEFINE_string(data_centre, "", "data centre of this VM");
DEFINE_string(region, "", "region of the data centre");
DEFINE_string(listen, "", "address for callers, IPv4:PORT");
DEFINE_string(admin_listen, "", "address for operators, IPv4:PORT");
DEFINE_string(peer_listen, "", "address for other entry VMs, IPv4:PORT");
DEFINE_string(platform, "", "address of the platform, IPv4:PORT");
DEFINE_string(distances, "",
              "one-way crossing times, NAME-NAME=MILLISECONDS,...; other pairs "
              "are taken as 2 ms within a region and 40 ms between regions");
DEFINE_int32(store_timeout_ms, 1000, "time allowed for a platform request");
DEFINE_int32(store_threads, 8, "platform requests at once");
DEFINE_int32(max_connections, 512, "connections of callers at once");
DEFINE_int32(max_body_bytes, 4 << 20, "largest request body");
DEFINE_uint64(body_budget_bytes, 64U << 20U,
              "memory for the bodies of requests in progress");
DEFINE_int32(stop_timeout_ms, 15000, "longest time for a graceful stop");
DEFINE_int32(stop_linger_ms, 3000,
             "time that a stopping VM goes on to answer callers that kept its "
             "address");
DEFINE_int32(lease_ttl_ms, 6000, "time to live of a lease on a pool");
DEFINE_int32(heartbeat_ms, 1000, "pause between heartbeats to a peer");
DEFINE_int32(detection_ms, 3000, "silence after which a peer is suspect");
DEFINE_double(trace_share, 0.0,
              "share of calls without a trace context that are traced");
DEFINE_uint64(seed, 0, "seed of random choices; 0 takes one from the system");

namespace hyssopcross {

namespace {

using std::chrono::milliseconds;

Result<void> requireText(const char *Flag, const std::string &Text) {
  if (Text.empty())
    return fail(ErrorCode::InvalidInput,
                std::string("--") + Flag + " must be set");
  return boost::outcome_v2::success();
}

Result<void> readDistance(std::string_view Text,
                          addresses::Distances &Distances) {
  size_t Dash = Text.find('-');
  size_t Equals = Text.find('=');
  std::string Number(Equals == std::string_view::npos
                         ? std::string_view()
                         : Text.substr(Equals + 1));
  char *End = nullptr;
  double Milliseconds = std::strtod(Number.c_str(), &End);
  if (Dash == std::string_view::npos || Dash > Equals || Number.empty() ||
      *End != '\0' || !(Milliseconds >= 0) || Milliseconds > 10000)
    return fail(ErrorCode::InvalidInput,
                "--distances: \"" + std::string(Text) +
                    "\" is not of the form NAME-NAME=MILLISECONDS");
  std::pair<std::string, std::string> Pair(
      Text.substr(0, Dash), Text.substr(Dash + 1, Equals - Dash - 1));
  Distances[Pair] = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Milliseconds));
  return boost::outcome_v2::success();
}

Result<void> readAddresses(entry::NodeSettings &Settings) {
  const AddressFlag Addresses[] = {
      {"listen", FLAGS_listen, Settings.m_Listen},
      {"admin_listen", FLAGS_admin_listen, Settings.m_AdminListen},
      {"peer_listen", FLAGS_peer_listen, Settings.m_PeerListen},
      {"platform", FLAGS_platform, Settings.m_Platform}};
  return readAddressFlags(Addresses);
}

Result<void> checkRanges() {
  const NumberFlag Numbers[] = {
      {"store_timeout_ms", static_cast<double>(FLAGS_store_timeout_ms), 10,
       60000},
      {"store_threads", static_cast<double>(FLAGS_store_threads), 1, 64},
      {"max_connections", static_cast<double>(FLAGS_max_connections), 1, 10000},
      {"max_body_bytes", static_cast<double>(FLAGS_max_body_bytes), 1, 1 << 28},
      {"body_budget_bytes", static_cast<double>(FLAGS_body_budget_bytes), 1,
       1e11},
      {"stop_timeout_ms", static_cast<double>(FLAGS_stop_timeout_ms), 100,
       600000},
      {"stop_linger_ms", static_cast<double>(FLAGS_stop_linger_ms), 0,
       static_cast<double>(FLAGS_stop_timeout_ms)},
      {"lease_ttl_ms", static_cast<double>(FLAGS_lease_ttl_ms), 1000, 60000},
      {"heartbeat_ms", static_cast<double>(FLAGS_heartbeat_ms), 100, 10000},
      {"detection_ms", static_cast<double>(FLAGS_detection_ms),
       2.0 * FLAGS_heartbeat_ms, 60000},
      {"trace_share", FLAGS_trace_share, 0, 1}};
  return checkNumberFlags(Numbers);
}

uint64_t chooseSeed() {
  if (FLAGS_seed != 0)
    return FLAGS_seed;
  std::random_device Device;
  return (static_cast<uint64_t>(Device()) << 32U) | Device();
}

void applyTimes(entry::NodeSettings &Settings) {
  Settings.m_StoreTimeout = milliseconds(FLAGS_store_timeout_ms);
  Settings.m_StopLinger = milliseconds(FLAGS_stop_linger_ms);
  Settings.m_StopTimeout = milliseconds(FLAGS_stop_timeout_ms);
  Settings.m_Ownership.m_TimeToLive = milliseconds(FLAGS_lease_ttl_ms);
  Settings.m_Ownership.m_RenewEvery = milliseconds(FLAGS_lease_ttl_ms) / 3;
  Settings.m_Ownership.m_WatchEvery = milliseconds(FLAGS_lease_ttl_ms) / 2;
  Settings.m_Membership.m_Interval = milliseconds(FLAGS_heartbeat_ms);
  Settings.m_Membership.m_DetectionTime = milliseconds(FLAGS_detection_ms);
}

} // namespace

Result<entry::NodeSettings> settingsFromFlags() {
  entry::NodeSettings Settings;
  const std::pair<const char *, const std::string &> Required[] = {
      {"name", FLAGS_name}, {"data_centre", FLAGS_data_centre}};
  for (const auto &[Flag, Text] : Required) {
    auto Given = requireText(Flag, Text);
    if (!Given)
      return fail(Given.error().m_Code, Given.error().m_Message);
  }
  auto Addresses = readAddresses(Settings);
  if (!Addresses)
    return fail(Addresses.error().m_Code, Addresses.error().m_Message);
  auto Ranges = checkRanges();
  if (!Ranges)
    return fail(Ranges.error().m_Code, Ranges.error().m_Message);
  for (std::string_view Text : splitList(FLAGS_distances, ',')) {
    auto Read = readDistance(Text, Settings.m_Distances);
    if (!Read)
      return fail(Read.error().m_Code, Read.error().m_Message);
  }
  Settings.m_Name = FLAGS_name;
  Settings.m_DataCentre = FLAGS_data_centre;
  Settings.m_Region = FLAGS_region;
  Settings.m_StoreThreads = static_cast<unsigned>(FLAGS_store_threads);
  Settings.m_CallerLimits.m_Connections =
      static_cast<size_t>(FLAGS_max_connections);
  Settings.m_CallerLimits.m_BodyBytes =
      static_cast<uint64_t>(FLAGS_max_body_bytes);
  Settings.m_BodyBudget = FLAGS_body_budget_bytes;
  Settings.m_TraceShare = FLAGS_trace_share;
  Settings.m_Seed = chooseSeed();
  applyTimes(Settings);
  return Settings;
}

} // namespace hyssopcross
