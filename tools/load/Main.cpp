#include "hyssopcross/load/Report.h"
#include "hyssopcross/load/Run.h"
#include "hyssopcross/load/RunSettings.h"
#include <boost/outcome/try.hpp>
#include <cstdio>
#include <gflags/gflags.h>
#include <thread>

using namespace hyssopcross;
using namespace hyssopcross::load;

DEFINE_string(entries, "", "Addresses of entry VMs, host:port,...");
DEFINE_string(services, "", "Load, name:class:calls per second,...");
DEFINE_string(data_centres, "", "Data centres that callers are in, name,...");
DEFINE_double(seconds, 10, "How long calls are made");
DEFINE_uint64(seed, 1, "Seed of the calls");
DEFINE_string(backends, "", "Backend servers whose ledgers to read, host:port");
DEFINE_uint32(threads, 128, "Calls that can be under way at once");
DEFINE_uint32(timeout_ms, 2000, "Time that each attempt allows the system");
DEFINE_uint64(upload_bytes, 65536, "Largest body of an upload");
DEFINE_bool(retry_money, false,
            "Repeat money calls that may have run under the same key");
DEFINE_double(settle_seconds, 10,
              "How long uploads told completed may take to reach a ledger");
DEFINE_string(direct, "",
              "Backend server to measure the added latency against: the only "
              "one of the first lookup service in the first data centre");
DEFINE_uint32(direct_pairs, 1000, "Pairs of calls that measure it");
DEFINE_double(max_added_p99_ms, -1,
              "Fail above this added latency; negative for no limit");

namespace {

constexpr Duration SettlePause = std::chrono::milliseconds(250);
constexpr size_t MaxDetails = 20;

RunFlags readFlags() {
  return {FLAGS_entries,        FLAGS_services,
          FLAGS_data_centres,   FLAGS_seconds,
          FLAGS_seed,           FLAGS_backends,
          FLAGS_threads,        FLAGS_timeout_ms,
          FLAGS_upload_bytes,   FLAGS_retry_money,
          FLAGS_settle_seconds, FLAGS_direct,
          FLAGS_direct_pairs,   FLAGS_max_added_p99_ms};
}

/// Compares with the ledgers, and again while uploads that were told completed
/// may still be on their way.
Result<Findings> compareWithLedgers(const RunSettings &Run,
                                    std::span<const CallRecord> Records,
                                    httpclient::Client &Client,
                                    const Clock &Clock) {
  TimePoint Until = Clock.now() + Run.m_Settle;
  while (true) {
    BOOST_OUTCOME_TRY(Ledger, readLedgers(Run.m_Backends, Client));
    Findings Found = compare(Records, Ledger);
    if (Found.m_LostUploads == 0 || Clock.now() >= Until)
      return Found;
    std::this_thread::sleep_for(SettlePause);
  }
}

void printDetails(const Findings &Found) {
  for (size_t I = 0; I < Found.m_Details.size() && I < MaxDetails; ++I)
    std::fprintf(stderr, "%s\n", Found.m_Details[I].c_str());
}

Result<bool> run(int Argc, char **Argv) {
  BOOST_OUTCOME_TRY(readSettings(
      Argc, Argv,
      "Calls the system as its callers do and compares what they were told "
      "with what the backend servers executed"));
  BOOST_OUTCOME_TRY(Run, checkRunFlags(readFlags()));
  SystemClock Clock;
  httpclient::Client Client(FLAGS_threads);
  AddressBook Addresses(Run.m_Entries, Client, Clock, FLAGS_seed);
  Run.m_Caller.m_RunName =
      "r" + std::to_string(FLAGS_seed) + "-" +
      std::to_string(standins::toMicroseconds(Clock.wallNow()));
  Caller Caller(Run.m_Caller, Addresses, Client);
  std::vector<PlannedCall> Plan = drawPlan(Run.m_Plan);
  std::vector<CallRecord> Records = runPlan(Plan, FLAGS_threads, Caller, Clock);
  Report Report;
  Report.m_Latencies = completedLatencies(Records);
  if (Run.m_Added) {
    auto Added = measureAddedLatency(*Run.m_Added, Addresses, Clock);
    if (Added)
      Report.m_AddedP99 = Added.value().addedP99();
    else
      std::fprintf(stderr, "added latency not measured: %s\n",
                   Added.error().m_Message.c_str());
  }
  BOOST_OUTCOME_TRY(Found, compareWithLedgers(Run, Records, Client, Clock));
  Report.m_Findings = Found;
  printDetails(Found);
  for (const std::string &Line : listReasons(Records))
    std::fprintf(stderr, "%s\n", Line.c_str());
  std::printf("%s\n", formatLine(Report).c_str());
  return succeeded(Report, Run.m_MaxAddedP99);
}

} // namespace

int main(int Argc, char **Argv) {
  auto Ran = run(Argc, Argv);
  if (Ran)
    return Ran.value() ? 0 : 1;
  std::fprintf(stderr, "hyssopcross-load: %s\n", Ran.error().m_Message.c_str());
  return 1;
}
