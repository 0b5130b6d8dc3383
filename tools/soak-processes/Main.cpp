#include "hyssopcross/base/Settings.h"
#include "hyssopcross/faultsoak/Soak.h"
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_uint32(seed, 1, "draws the faults");
DEFINE_uint32(rounds, 2, "rounds of faults, each with a calm end");
DEFINE_uint32(vms, 4, "entry VMs");
DEFINE_uint32(servers, 6, "backend servers");
DEFINE_uint32(lane, 0, "second number of the loopback addresses, 0 to 255");
DEFINE_string(program, "build/release/bin/hyssopcross-entry", "the daemon");
DEFINE_string(logs, "run", "existing folder for the logs of the VMs");

namespace {

constexpr int ExitBroken = 1;
constexpr int ExitUnusable = 2;

} // namespace

int main(int Argc, char **Argv) {
  using namespace hyssopcross;
  auto Read = readSettings(Argc, Argv, "injects faults into real processes");
  if (!Read) {
    std::fprintf(stderr, "%s\n", Read.error().m_Message.c_str());
    return ExitUnusable;
  }
  faultsoak::SoakSettings Given;
  Given.m_Program = FLAGS_program;
  Given.m_LogFolder = FLAGS_logs;
  Given.m_Seed = FLAGS_seed;
  Given.m_Rounds = FLAGS_rounds;
  Given.m_Vms = FLAGS_vms;
  Given.m_Servers = FLAGS_servers;
  Given.m_Lane = FLAGS_lane;
  faultsoak::Soak Run(Given);
  auto Ended = Run.run();
  if (!Ended) {
    std::fprintf(stderr, "%s\n", Ended.error().m_Message.c_str());
    return ExitUnusable;
  }
  const faultsoak::Promises &Seen = Run.promises();
  for (const std::string &Each : Seen.violations())
    std::printf("event=violation what=\"%s\"\n", Each.c_str());
  const faultsoak::Totals &Totals = Seen.totals();
  std::printf("event=end seed=%u faults=%llu sent=%llu answered=%llu "
              "refused=%llu unknown=%llu violations=%zu\n",
              FLAGS_seed, static_cast<unsigned long long>(Run.faultCount()),
              static_cast<unsigned long long>(Totals.m_Sent),
              static_cast<unsigned long long>(Totals.m_Answered),
              static_cast<unsigned long long>(Totals.m_Refused),
              static_cast<unsigned long long>(Totals.m_Unknown),
              Seen.violations().size());
  return Seen.violations().empty() ? 0 : ExitBroken;
}
