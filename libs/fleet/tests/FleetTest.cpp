#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/fleet/Datagram.h"
#include "hyssopcross/fleet/Membership.h"
#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <set>
#include <sys/resource.h>

using namespace hyssopcross;
using namespace hyssopcross::fleet;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

VmInfo makeVm(const std::string &Host, const std::string &DataCentre) {
  VmInfo Info;
  Info.m_Name = "vm-" + Host;
  Info.m_Host = Host;
  Info.m_DataCentre = DataCentre;
  Info.m_Incarnation = 1;
  Info.m_Ready = true;
  Info.m_MilliCores = 200;
  return Info;
}

/// The state of the fleet as seen by one of its VMs.
Fleet viewOf(const std::vector<VmInfo> &Vms, size_t Index) {
  Fleet Output;
  Output.m_Self = Vms[Index];
  for (const VmInfo &Each : Vms)
    updatePeer(Output, Each, Start);
  return Output;
}

std::vector<VmInfo> makeVms(uint32_t Count, uint32_t DataCentres) {
  std::vector<VmInfo> Output;
  for (uint32_t I = 0; I < Count; ++I)
    Output.push_back(makeVm("10.0.0." + std::to_string(I),
                            "dc" + std::to_string(I % DataCentres)));
  return Output;
}

/// Servers that are assigned round-robin to the services and then to the data
/// centres.
dispatch::ServerView makeServers(const std::vector<std::string> &Services,
                                 uint32_t Count, uint32_t DataCentres) {
  dispatch::ServerView View;
  for (uint32_t I = 0; I < Count; ++I) {
    dispatch::ServerRecord Record;
    Record.m_Service = Services[I % Services.size()];
    Record.m_Id = Record.m_Service + std::to_string(I);
    Record.m_DataCentre =
        "dc" + std::to_string(I / Services.size() % DataCentres);
    dispatch::upsertServer(View, Record, Start);
  }
  return View;
}

/// The most memory that this process has used.
int64_t peakMemoryKilobytes() {
  rusage Used{};
  ::getrusage(RUSAGE_SELF, &Used);
  return Used.ru_maxrss;
}

} // namespace

TEST_CASE(
    "each duty has one holder in its data centre in the view of every VM") {
  std::vector<VmInfo> Vms = makeVms(12, 3);
  for (int Duty = 0; Duty < 40; ++Duty) {
    uint32_t Holders = 0;
    for (size_t I = 0; I < Vms.size(); ++I) {
      Fleet View = viewOf(Vms, I);
      if (dutyRank(View, "duty" + std::to_string(Duty), "dc1") != 0)
        continue;
      ++Holders;
      CHECK(Vms[I].m_DataCentre == "dc1");
    }
    CHECK(Holders == 1);
  }
}

TEST_CASE(
    "leaving VMs and VMs with a small CPU allowance rank last for duties") {
  std::vector<VmInfo> Vms = makeVms(4, 1);
  Vms[0].m_MilliCores = 1000;
  for (int Duty = 0; Duty < 20; ++Duty)
    CHECK(dutyRank(viewOf(Vms, 0), std::to_string(Duty), "dc0") == 0);
  Vms[0].m_Leaving = true;
  for (int Duty = 0; Duty < 20; ++Duty)
    CHECK(dutyRank(viewOf(Vms, 0), std::to_string(Duty), "dc0") == 3);
}

TEST_CASE("followers of the store are few and spread over the data centres") {
  struct Case {
    uint32_t m_Vms;
    uint32_t m_DataCentres;
    uint32_t m_Followers;
  };
  const Case Cases[] = {{12, 3, 3}, {97, 3, 3}, {129, 4, 3},
                        {18, 1, 3}, {2, 2, 2},  {1, 1, 1}};
  for (const Case &Each : Cases) {
    std::vector<VmInfo> Vms = makeVms(Each.m_Vms, Each.m_DataCentres);
    std::set<std::string> UsedDataCentres;
    uint32_t Followers = 0;
    for (size_t I = 0; I < Vms.size(); ++I)
      if (isFollower(viewOf(Vms, I), FleetPolicy())) {
        ++Followers;
        UsedDataCentres.insert(Vms[I].m_DataCentre);
      }
    CHECK(Followers == Each.m_Followers);
    CHECK(UsedDataCentres.size() ==
          std::min(Each.m_DataCentres, Each.m_Followers));
  }
}

TEST_CASE("descriptions of a VM apply in the order of its incarnations") {
  struct Case {
    const char *m_Name;
    int64_t m_Incarnation;
    PeerChange m_Change;
    bool m_Leaving;
    bool m_LeavingAfter;
  };
  // Each case continues from the state of the previous one.
  const Case Cases[] = {
      {"first heard", 5, PeerChange::Joined, false, false},
      {"repeated", 5, PeerChange::Nothing, false, false},
      {"leaving", 5, PeerChange::Changed, true, true},
      {"late heartbeat", 5, PeerChange::Changed, false, true},
      {"earlier incarnation", 4, PeerChange::Nothing, false, true},
      {"restarted", 6, PeerChange::Restarted, false, false},
  };
  Fleet View;
  View.m_Self = makeVm("10.0.0.1", "dc");
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    VmInfo Info = makeVm("10.0.0.2", "dc");
    Info.m_Incarnation = Each.m_Incarnation;
    Info.m_Leaving = Each.m_Leaving;
    CHECK(updatePeer(View, Info, Start) == Each.m_Change);
    CHECK(View.m_Peers.at("10.0.0.2").m_Info.m_Leaving == Each.m_LeavingAfter);
  }
}

TEST_CASE("callers receive ready VMs of their data centre") {
  struct Case {
    const char *m_Name;
    std::vector<std::string> m_LeavingHosts;
    std::vector<std::string> m_Hosts;
  };
  const Case Cases[] = {
      {"none leaving", {}, {"10.0.0.0", "10.0.0.2", "10.0.0.4"}},
      {"one leaving", {"10.0.0.2"}, {"10.0.0.0", "10.0.0.4"}},
      {"two leaving",
       {"10.0.0.2", "10.0.0.4"},
       {"10.0.0.0", "10.0.0.1", "10.0.0.3", "10.0.0.5"}},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    std::vector<VmInfo> Vms = makeVms(6, 2);
    for (VmInfo &Vm : Vms)
      Vm.m_Leaving = std::count(Each.m_LeavingHosts.begin(),
                                Each.m_LeavingHosts.end(), Vm.m_Host) > 0;
    CHECK(hostsForCaller(viewOf(Vms, 0), "dc0", 2, 64) == Each.m_Hosts);
  }
}

TEST_CASE("a silent VM is withheld from callers within six seconds") {
  std::vector<VmInfo> Vms = makeVms(40, 1);
  for (ptrdiff_t Count : {5, 40}) {
    std::vector<VmInfo> Some(Vms.begin(), Vms.begin() + Count);
    Fleet View = viewOf(Some, 0);
    FleetPolicy Policy;
    CHECK(expirePeers(View, Policy, Start + 2s).empty());
    CHECK(expirePeers(View, Policy, Start + 5s).size() ==
          static_cast<size_t>(Count - 1));
    CHECK(hostsForCaller(View, "dc0", 1, 64).size() == 1);
    // Heartbeats to it continue, and its next heartbeat makes it alive again.
    CHECK(View.m_Peers.size() == static_cast<size_t>(Count - 1));
    CHECK(updatePeer(View, Some[1], Start + 9s) == PeerChange::Joined);
  }
}

TEST_CASE("a VM that restarts with its clock set back is accepted after its "
          "timeout") {
  std::vector<VmInfo> Vms = makeVms(2, 1);
  Vms[1].m_Incarnation = 100;
  Fleet View = viewOf(Vms, 0);
  Vms[1].m_Incarnation = 50;
  CHECK(updatePeer(View, Vms[1], Start) == PeerChange::Nothing);
  expirePeers(View, FleetPolicy(), Start + 5s);
  CHECK(updatePeer(View, Vms[1], Start + 5s) == PeerChange::Joined);
  CHECK(acceptSequence(View, Vms[1].m_Host, 50, 1, Start + 5s));
}

TEST_CASE("duplicate and late datagrams are rejected") {
  std::vector<VmInfo> Vms = makeVms(2, 1);
  Fleet View = viewOf(Vms, 0);
  CHECK(acceptSequence(View, "10.0.0.1", 1, 7, Start));
  CHECK_FALSE(acceptSequence(View, "10.0.0.1", 1, 7, Start));
  CHECK_FALSE(acceptSequence(View, "10.0.0.1", 1, 6, Start));
  CHECK_FALSE(acceptSequence(View, "10.0.0.1", 2, 8, Start));
  CHECK_FALSE(acceptSequence(View, "10.0.0.9", 1, 8, Start));
  CHECK(acceptSequence(View, "10.0.0.1", 1, 8, Start));
}

TEST_CASE("removing a server changes only the subsets of VMs that used it") {
  std::vector<VmInfo> Vms = makeVms(300, 3);
  dispatch::ServerView Before = makeServers({"service"}, 300, 3);
  dispatch::ServerView After = Before;
  dispatch::removeServer(After, "service7");
  RingsByService Old = buildRings(Before);
  RingsByService New = buildRings(After);
  const FleetPolicy Policy;
  for (const VmInfo &Vm : Vms) {
    auto Uses = [&](const RingsByService &Rings,
                    const dispatch::Server &Target) {
      return usesServer(Vm.m_Host, Vm.m_DataCentre, Target, Rings.at("service"),
                        Policy);
    };
    bool UsedIt = Uses(Old, Before.m_Servers.at("service7"));
    uint32_t Changed = 0;
    for (const auto &[Id, Target] : After.m_Servers)
      Changed += Uses(Old, Target) != Uses(New, Target) ? 1 : 0;
    CHECK(Changed == (UsedIt ? 1 : 0));
  }
}

TEST_CASE("reports about a group of servers go to few VMs") {
  // Guards against datagrams about health checks that grow with the fleet: a VM
  // receives them only for the groups whose servers it uses.
  struct Case {
    uint32_t m_Vms;
    uint32_t m_Servers;
  };
  const Case Cases[] = {{97, 266}, {300, 3000}, {580, 5800}};
  // Four services; the servers that a VM uses of one may span two groups.
  constexpr double MostGroups = 4 * 2;
  const FleetPolicy Policy;
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Vms);
    std::vector<VmInfo> Vms = makeVms(Each.m_Vms, 3);
    dispatch::ServerView View =
        makeServers({"a", "b", "c", "d"}, Each.m_Servers, 3);
    RingsByService Rings = buildRings(View);
    CheckGroups Groups = groupServers(View, Policy);
    double Sum = 0;
    for (const VmInfo &Vm : Vms) {
      std::set<std::string> Heard;
      for (const auto &[Id, Target] : View.m_Servers)
        if (Target.m_Record.m_DataCentre == Vm.m_DataCentre &&
            usesServer(Vm.m_Host, Vm.m_DataCentre, Target,
                       Rings.at(Target.m_Record.m_Service), Policy))
          Heard.insert(checkDuty(Target, Groups, Policy));
      Sum += static_cast<double>(Heard.size());
    }
    CHECK(Sum / Each.m_Vms <= MostGroups);
  }
}

TEST_CASE("a newly started VM checks only the servers that it uses") {
  // Guards against a VM that connects to all servers after a large fleet has
  // lost all its VMs: each one starts without peers and seems to hold every
  // duty.
  struct Case {
    uint32_t m_Vms;
    uint32_t m_Servers;
  };
  const Case Cases[] = {{97, 266}, {300, 3000}};
  const FleetPolicy Policy;
  const uint32_t MostOfService = Policy.m_LocalServers + Policy.m_RemoteServers;
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Vms);
    std::vector<VmInfo> Vms = makeVms(Each.m_Vms, 3);
    const std::vector<std::string> Services = {"a", "b", "c", "d"};
    dispatch::ServerView View = makeServers(Services, Each.m_Servers, 3);
    RingsByService Rings = buildRings(View);
    for (Duration SinceStart : {0ms, 999ms, 1000ms}) {
      uint32_t Checked = 0;
      for (const auto &[Id, Target] : View.m_Servers) {
        bool Uses = usesServer(Vms[0].m_Host, Vms[0].m_DataCentre, Target,
                               Rings.at(Target.m_Record.m_Service), Policy);
        Checked += mayCheck(Uses, SinceStart, Policy) ? 1 : 0;
      }
      if (SinceStart < Policy.m_StartupGracePeriod)
        CHECK(Checked <= Services.size() * MostOfService);
      else
        CHECK(Checked == Each.m_Servers);
    }
  }
}

TEST_CASE("standbys are the VMs of the next ranks") {
  std::vector<VmInfo> Vms = makeVms(12, 3);
  for (size_t I = 0; I < Vms.size(); ++I) {
    Fleet View = viewOf(Vms, I);
    if (dutyRank(View, "duty", "dc1") != 0)
      continue;
    std::vector<std::string> Standbys = dutyStandbys(View, "duty", "dc1", 3);
    REQUIRE(Standbys.size() == 3);
    for (size_t J = 0; J < Vms.size(); ++J) {
      uint32_t Rank = dutyRank(viewOf(Vms, J), "duty", "dc1");
      if (Rank >= 1 && Rank <= 3)
        CHECK(Standbys[Rank - 1] == Vms[J].m_Host);
    }
  }
  CHECK(dutyStandbys(viewOf(makeVms(2, 1), 0), "duty", "dc0", 3).size() == 1);
}

TEST_CASE("every VM uses enough servers, but not all of a large service") {
  struct Case {
    uint32_t m_Servers;
    uint32_t m_DataCentres;
    double m_MinMean;
    double m_MaxMean;
  };
  // Ten local and three other servers are wanted. Missing local ones are
  // replaced by others.
  const Case Cases[] = {{9, 3, 9, 9}, {30, 3, 12, 25}, {171, 4, 10, 17}};
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Servers);
    std::vector<VmInfo> Vms = makeVms(97, Each.m_DataCentres);
    dispatch::ServerView View =
        makeServers({"service"}, Each.m_Servers, Each.m_DataCentres);
    RingsByService Rings = buildRings(View);
    double Sum = 0;
    uint32_t MinUsed = Each.m_Servers;
    for (const VmInfo &Vm : Vms) {
      uint32_t Used = 0;
      for (const auto &[Id, Target] : View.m_Servers)
        Used += usesServer(Vm.m_Host, Vm.m_DataCentre, Target,
                           Rings.at("service"), FleetPolicy())
                    ? 1
                    : 0;
      Sum += Used;
      MinUsed = std::min(MinUsed, Used);
    }
    double Mean = Sum / static_cast<double>(Vms.size());
    CHECK(Mean >= Each.m_MinMean);
    CHECK(Mean <= Each.m_MaxMean);
    CHECK(MinUsed >= 3);
  }
}

TEST_CASE("quotas are shared with all VMs that may be alive") {
  const TimePoint Now{1h};
  Fleet State;
  State.m_Self = makeVm("10.0.0.1", "dc");
  CHECK(quotaDivisor(State) == 1);
  updatePeer(State, makeVm("10.0.0.2", "dc"), Now);
  CHECK(quotaDivisor(State) == 2);
  // Another VM has named it, and it has not been heard yet.
  addPeerAddress(State, "10.0.0.3", Now);
  CHECK(quotaDivisor(State) == 3);
  updatePeer(State, makeVm("10.0.0.3", "dc"), Now);
  CHECK(quotaDivisor(State) == 3);
  // A VM that has failed leaves its part to the others.
  expirePeers(State, FleetPolicy(), Now + FleetPolicy().m_FailureTimeout + 1s);
  CHECK(quotaDivisor(State) == 1);
}

TEST_CASE("a report of a suspect takes no more bytes than it is counted for") {
  const SuspectReport Reports[] = {
      {UINT64_MAX / 3, {}, std::nullopt},
      {UINT64_MAX / 3, {}, 24h},
      {UINT64_MAX / 3, {{"", INT64_MIN, 1000h}}, 1000h},
      {1, std::vector<ReportedCrash>(8, {std::string(200, 'x'), 1, 1s}), 1s},
      {1, std::vector<ReportedCrash>(300, {"s", INT64_MIN, 1000h}), 1s},
  };
  for (const SuspectReport &Each : Reports) {
    Datagram Without;
    Without.m_Suspects.resize(1);
    Datagram With;
    With.m_Suspects = {Each};
    CHECK(encodeDatagram(With).size() <=
          encodeDatagram(Without).size() + maxEncodedSize(Each));
  }
}

TEST_CASE("a datagram survives encoding and decoding") {
  Datagram Sent;
  Sent.m_Sender = 0xfedcba98;
  Sent.m_Incarnation = 1768123339038160;
  Sent.m_Sequence = 12;
  Sent.m_Self = makeVm("10.0.0.1", "dc");
  Sent.m_IsGreeting = true;
  dispatch::LoadReport Load;
  Load.m_Health = dispatch::LoadReport::Health::Unhealthy;
  Load.m_Running = 2;
  Load.m_SlowdownPercent = 412;
  Load.m_ColdFor = 2500ms;
  dispatch::LoadReport Ended;
  Ended.m_Health = dispatch::LoadReport::Health::Unreachable;
  Ended.m_HasEnded = true;
  Sent.m_Reports = {{0x80000001, Load, std::nullopt, 200ms},
                    {0x80000003, Load, 1768123339038},
                    {0x80000004, Ended, std::nullopt}};
  Sent.m_InFlight = {{0x80000002, 3, 1, 2, {{2, 1, 1.75}}, 70000}};
  Sent.m_Limits = {{"i-1", 1768123339038, 1.70001, 20ms},
                   {"i-2", 1768123339039, std::nullopt, 0ms},
                   {"i-3", 1768123339040, 0.0, 0ms}};
  Sent.m_KnownHosts = {"10.0.0.3"};
  Sent.m_Following = Following{true, {{2, 5}, {2, 7}}};
  Sent.m_Leaving = {{"i-4", 1768123339041}};
  Sent.m_Suspects = {{UINT64_MAX - 1, {{"i-5", 3, 40ms}, {"i-6", 0, 5s}}, 2s},
                     {7, {}, std::nullopt}};
  TableRows Rows;
  Rows.m_Table = 1;
  Rows.m_After = {2, 5};
  Rows.m_Batch.m_UpTo = {2, 7};
  Rows.m_Batch.m_Rows = {{"key", std::string("\0\xff", 2), 6, false},
                         {"gone", "", 7, true}};
  Sent.m_Rows = {Rows};
  Sent.m_Digests = {
      {"dc",
       {{makeVm("10.0.0.4", "dc"), 1500ms}, {makeVm("10.0.0.5", "dc"), 0ms}}}};
  std::string Bytes = encodeDatagram(Sent);
  auto Read = decodeDatagram(Bytes);
  REQUIRE(Read);
  // The encoding contains every field, so equal bytes mean equal messages.
  CHECK(encodeDatagram(Read.value()) == Bytes);
  CHECK(Read.value().m_Reports[0].m_Load.m_ColdFor == 2500ms);
  CHECK(Read.value().m_Reports[0].m_ValidFor == 200ms);
  CHECK(Read.value().m_Reports[1].m_ValidFor == 0ms);
  CHECK_FALSE(Read.value().m_Reports[1].m_Load.m_HasEnded);
  CHECK(Read.value().m_Reports[2].m_Load.m_HasEnded);
  CHECK(Read.value().m_InFlight[0].m_Failed == 2);
  REQUIRE(Read.value().m_InFlight[0].m_Stretch.has_value());
  CHECK(Read.value().m_InFlight[0].m_Stretch->m_InFlight == 2);
  CHECK(Read.value().m_InFlight[0].m_Stretch->m_Ratio == 1.75);
  CHECK(Read.value().m_InFlight[0].m_LimitedSends == 70000);
  REQUIRE(Read.value().m_Limits.size() == 3);
  CHECK(Read.value().m_Limits[0].m_PerSecond == 1.70001);
  CHECK(Read.value().m_Limits[0].m_Age == 20ms);
  CHECK_FALSE(Read.value().m_Limits[1].m_PerSecond);
  CHECK(Read.value().m_Limits[2].m_PerSecond == 0.0);
  REQUIRE(Read.value().m_Leaving.size() == 1);
  CHECK(Read.value().m_Leaving[0].m_Server == "i-4");
  CHECK(Read.value().m_Leaving[0].m_Incarnation == 1768123339041);
  CHECK(Read.value().m_Rows[0].m_Batch.m_Rows[1].m_Removed);
  CHECK(decodeRows(encodeRows(Rows)));
}

// Guards against a datagram that is passed on twice because its mark is lost,
// and against counts of one VM that are taken for those of another.
TEST_CASE("a datagram that is passed on names its origin and keeps only what "
          "is not the sender's own") {
  Datagram Sent;
  Sent.m_Sender = 3;
  Sent.m_Incarnation = 17;
  Sent.m_Sequence = 12;
  Sent.m_ShouldPassOn = true;
  Sent.m_Self = makeVm("10.0.0.1", "dc");
  Sent.m_InFlight = {{0x80000002, 3}};
  Sent.m_KnownHosts = {"10.0.0.3"};
  Sent.m_Following = Following{true, {{2, 5}, {2, 7}}, 40ms};
  Sent.m_Reports = {{0x80000001, {}, std::nullopt, 200ms}};
  Sent.m_Limits = {{"i-1", 4, 1.5, 20ms}};
  TableRows Rows;
  Rows.m_After = {2, 5};
  Rows.m_Batch.m_UpTo = {2, 7};
  Rows.m_Batch.m_Rows = {{"key", "value", 6, false}};
  Sent.m_Rows = {Rows};
  auto Read = decodeDatagram(encodeDatagram(Sent));
  REQUIRE(Read);
  CHECK(Read.value().m_ShouldPassOn);
  CHECK_FALSE(Read.value().m_Origin);

  Datagram Passed = makePassedOn(Read.value(), "10.0.0.1");
  auto Again = decodeDatagram(encodeDatagram(Passed));
  REQUIRE(Again);
  const Datagram &Received = Again.value();
  CHECK_FALSE(Received.m_ShouldPassOn);
  REQUIRE(Received.m_Origin);
  CHECK(Received.m_Origin->m_Host == "10.0.0.1");
  CHECK(Received.m_Origin->m_Incarnation == 17);
  CHECK(Received.m_Origin->m_Sequence == 12);
  CHECK_FALSE(Received.m_Self);
  CHECK(Received.m_InFlight.empty());
  CHECK(Received.m_KnownHosts.empty());
  REQUIRE(Received.m_Following);
  CHECK(Received.m_Following->m_ConfirmedAge == 40ms);
  CHECK(Received.m_Following->m_LastChanges[1].m_Version == 7);
  CHECK(Received.m_Reports.size() == 1);
  CHECK(Received.m_Limits.size() == 1);
  REQUIRE(Received.m_Rows.size() == 1);
  CHECK(Received.m_Rows[0].m_Batch.m_Rows[0].m_Value == "value");
}

// Guards against a new kind of datagram that metrics count under another name.
TEST_CASE("every kind of datagram has a name of its own in metrics") {
  std::set<std::string_view> Names;
  for (size_t I = 0; I < DatagramKindCount; ++I)
    Names.insert(kindName(static_cast<DatagramKind>(I)));
  CHECK(Names.size() == DatagramKindCount);
  CHECK(Names.count("unknown") == 0);
  CHECK(kindName(static_cast<DatagramKind>(DatagramKindCount)) == "unknown");
}

// Guards against answers that reach the wrong request and permissions that seem
// older than they are.
TEST_CASE("asks and grants of quotas survive encoding and decoding") {
  Datagram Sent;
  Sent.m_QuotaAsks = {
      {UINT64_MAX - 5, "org", 0xfedcba98, quota::Purpose::Token, 0},
      {6, "o", 2, quota::Purpose::Release, 2}};
  Sent.m_QuotaGrants = {
      {UINT64_MAX - 5, 0xfedcba98, false, 1500ms, std::nullopt, 0ms, 0ms},
      {7, 3, true, 0ms, "org", 2999999us, 90h}};
  auto Read = decodeDatagram(encodeDatagram(Sent));
  REQUIRE(Read);
  REQUIRE(Read.value().m_QuotaAsks.size() == 2);
  const quota::Ask &First = Read.value().m_QuotaAsks[0];
  CHECK(First.m_Id == UINT64_MAX - 5);
  CHECK(First.m_Organisation == "org");
  CHECK(First.m_Origin == 0xfedcba98);
  CHECK(First.m_Purpose == quota::Purpose::Token);
  CHECK(First.m_Hops == 0);
  CHECK(Read.value().m_QuotaAsks[1].m_Purpose == quota::Purpose::Release);
  CHECK(Read.value().m_QuotaAsks[1].m_Hops == 2);
  REQUIRE(Read.value().m_QuotaGrants.size() == 2);
  const quota::Grant &Refused = Read.value().m_QuotaGrants[0];
  CHECK(Refused.m_Id == UINT64_MAX - 5);
  CHECK(Refused.m_Origin == 0xfedcba98);
  CHECK_FALSE(Refused.m_IsGranted);
  CHECK(Refused.m_RetryAfter == 1500ms);
  CHECK_FALSE(Refused.m_Permit);
  const quota::Grant &Permit = Read.value().m_QuotaGrants[1];
  CHECK(Permit.m_IsGranted);
  CHECK(Permit.m_Permit == "org");
  CHECK(Permit.m_OtherAge == 2999ms);
  CHECK(Permit.m_ChangeAge == 90h);
}

// Guards against an ask of a newer build, or a damaged one, that is taken for
// something else.
TEST_CASE("asks that cannot be understood are left out") {
  Datagram Sent;
  Sent.m_QuotaAsks = {{1, "org", 2, static_cast<quota::Purpose>(4), 0},
                      {2, "org", 2, static_cast<quota::Purpose>(255), 0},
                      {3, "", 2, quota::Purpose::Token, 0},
                      {4, "org", 2, quota::Purpose::Reserve, 300}};
  auto Read = decodeDatagram(encodeDatagram(Sent));
  REQUIRE(Read);
  REQUIRE(Read.value().m_QuotaAsks.size() == 1);
  CHECK(Read.value().m_QuotaAsks[0].m_Id == 4);
  CHECK(Read.value().m_QuotaAsks[0].m_Hops == 127);
  // Ages are never negative, and lengths of time have an upper bound.
  Datagram Early;
  Early.m_QuotaGrants = {{1, 2, true, -5s, "org", -5s, Duration::max()}};
  auto Clamped = decodeDatagram(encodeDatagram(Early));
  REQUIRE(Clamped);
  CHECK(Clamped.value().m_QuotaGrants[0].m_RetryAfter == 0ms);
  CHECK(Clamped.value().m_QuotaGrants[0].m_OtherAge == 0ms);
  CHECK(Clamped.value().m_QuotaGrants[0].m_ChangeAge ==
        std::chrono::milliseconds(INT32_MAX));
}

TEST_CASE("request limits that are no rates are left out") {
  Datagram Sent;
  for (double PerSecond : {1.5, -1.0, std::nan(""), HUGE_VAL})
    Sent.m_Limits.push_back({"i-1", 1, PerSecond, 0ms});
  auto Read = decodeDatagram(encodeDatagram(Sent));
  REQUIRE(Read);
  REQUIRE(Read.value().m_Limits.size() == 1);
  CHECK(Read.value().m_Limits[0].m_PerSecond == 1.5);
}

// Guards against a copy that takes nothing any more, since a version that no
// store gives out counts as newer than all others.
TEST_CASE("versions and eras below zero are a protocol error") {
  struct Case {
    std::string m_Name;
    discovery::Revision m_After;
    discovery::Revision m_UpTo;
    uint64_t m_RowVersion;
    bool m_IsValid;
  };
  constexpr uint64_t Negative = UINT64_MAX;
  const Case Cases[] = {
      {"valid", {2, 5}, {2, 7}, 6, true},
      {"after", {2, Negative}, {2, 7}, 6, false},
      {"up to", {2, 5}, {2, Negative}, 6, false},
      {"era", {Negative, 5}, {Negative, 7}, 6, false},
      {"row", {2, 5}, {2, 7}, Negative, false},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    TableRows Rows;
    Rows.m_After = Each.m_After;
    Rows.m_Batch.m_UpTo = Each.m_UpTo;
    Rows.m_Batch.m_Rows = {{"key", "value", Each.m_RowVersion}};
    CHECK(decodeRows(encodeRows(Rows)).has_value() == Each.m_IsValid);
    Datagram Sent;
    Sent.m_Rows = {Rows};
    CHECK(decodeDatagram(encodeDatagram(Sent)).has_value() == Each.m_IsValid);
    Datagram Announced;
    Announced.m_Following = Following{true, {{2, 5}, Each.m_UpTo}};
    bool IsValid = Each.m_UpTo == discovery::Revision{2, 7};
    CHECK(decodeDatagram(encodeDatagram(Announced)).has_value() == IsValid);
  }
}

// Guards against a VM that ends for want of memory because of a few bytes.
TEST_CASE("a list that claims more entries than its message holds is refused") {
  int64_t Before = peakMemoryKilobytes();
  // Compact protocol: a field header of type list, then the count of structs.
  for (uint8_t Field : {6, 7, 10, 11, 12, 13, 14}) {
    CAPTURE(static_cast<int>(Field));
    std::string Bytes = {static_cast<char>(Field << 4 | 9),
                         static_cast<char>(0xfc)};
    // 16,000,000 as a variable-length number.
    Bytes += {static_cast<char>(0x80), static_cast<char>(0xc8),
              static_cast<char>(0xd0), 0x07};
    CHECK_FALSE(decodeDatagram(Bytes));
  }
  CHECK(peakMemoryKilobytes() - Before < 100000);
}

TEST_CASE("decoding arbitrary bytes fails only with a protocol error") {
  std::mt19937 Random(3);
  Datagram Sent;
  Sent.m_Self = makeVm("10.0.0.1", "dc");
  std::string Valid = encodeDatagram(Sent);
  for (int I = 0; I < 20000; ++I) {
    std::string Bytes = Valid;
    if (I % 2 == 0) {
      Bytes.resize(Random() % 64);
      for (char &Byte : Bytes)
        Byte = static_cast<char>(Random());
    } else {
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
      Bytes.resize(Random() % (Bytes.size() + 1));
    }
    auto Read = decodeDatagram(Bytes);
    if (!Read)
      CHECK(Read.error().m_Code == ErrorCode::Protocol);
  }
}

TEST_CASE("selection of a synchronization source and of fresh followers") {
  struct Case {
    const char *m_Name;
    Duration m_ConfirmedAge;
    const char *m_Source;
    /// Position and number of followers including this VM. The hosts are
    /// ordered local, this one, remote.
    uint32_t m_Index;
    uint32_t m_Count;
    /// Whether the other VM in the same data centre, and the one in another
    /// data centre, follow the store.
    bool m_LocalFollows;
    bool m_RemoteFollows;
    bool m_IsFresh;
  };
  const Case Cases[] = {
      {"no follower", 0ms, "10.0.0.1", 0, 1, false, false, false},
      {"both follow", 100ms, "10.0.0.1", 1, 3, true, true, true},
      {"only the remote VM follows", 100ms, "10.0.0.3", 0, 2, false, true,
       true},
      {"both confirmations are stale", 1300ms, "10.0.0.1", 0, 1, true, true,
       false},
  };
  const FleetPolicy Policy;
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    std::vector<VmInfo> Vms = {makeVm("10.0.0.1", "here"),
                               makeVm("10.0.0.2", "here"),
                               makeVm("10.0.0.3", "there")};
    Fleet View = viewOf(Vms, 1);
    for (auto [Host, Follows] : {std::pair("10.0.0.1", Each.m_LocalFollows),
                                 std::pair("10.0.0.3", Each.m_RemoteFollows)}) {
      View.m_Peers[Host].m_StoreAnswers = Follows;
      View.m_Peers[Host].m_StoreConfirmedAt = Start - Each.m_ConfirmedAge;
    }
    CHECK(hasFreshFollower(View, Policy, Start) == Each.m_IsFresh);
    FollowerSlot Slot = followerSlot(View, Policy, Start);
    CHECK(Slot.m_Index == Each.m_Index);
    CHECK(Slot.m_Count == Each.m_Count);
    for (double Draw : {0.0, 0.5, 1.0}) {
      CHECK(selectSyncSource(View, SyncKind::Changes, Draw)->m_Info.m_Host ==
            Each.m_Source);
      // Full tables come from the local data centre, whichever VMs follow the
      // store.
      CHECK(selectSyncSource(View, SyncKind::Whole, Draw)->m_Info.m_Host ==
            "10.0.0.1");
    }
  }
}

TEST_CASE("few VMs poll a store that is down for all") {
  // Guards against all VMs polling the store in an outage. In the grown
  // workload cra-tickets trouble-3, all 97 VMs did so in an outage of 8 s,
  // which cost 0.05 of the total value.
  std::vector<VmInfo> Vms = makeVms(97, 3);
  const FleetPolicy Policy;
  struct Case {
    Duration m_After;
    uint32_t m_AtLeast;
    uint32_t m_AtMost;
  };
  // By the deadline for reading a change, more VMs poll than the store may
  // reject one after another.
  const Case Cases[] = {{0ms, 3, 3}, {300ms, 9, 15}, {8s, 15, 40}};
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_After.count());
    uint32_t Polling = 0;
    for (size_t I = 0; I < Vms.size(); ++I)
      Polling +=
          followTakeoverDelay(viewOf(Vms, I), Policy) <= Each.m_After ? 1 : 0;
    CHECK(Polling >= Each.m_AtLeast);
    CHECK(Polling <= Each.m_AtMost);
  }
}

TEST_CASE(
    "a VM whose data centre is out of service uses as many servers as before") {
  // Guards against an evacuated data centre that leaves its VMs with only the
  // three servers they use elsewhere, as seen in the grown workload cra-tickets
  // scale-1.
  struct Case {
    const char *m_Name;
    bool m_IsOut;
    bool m_AreUnreachable;
  };
  const Case Cases[] = {{"in service", false, false},
                        {"taken out", true, false},
                        {"unreachable", false, true}};
  const FleetPolicy Policy;
  std::vector<VmInfo> Vms = makeVms(97, 3);
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    dispatch::ServerView View;
    for (uint32_t I = 0; I < 100; ++I) {
      dispatch::ServerRecord Record;
      Record.m_Id = "server" + std::to_string(I);
      Record.m_Service = "service";
      Record.m_DataCentre = "dc" + std::to_string(I % 3);
      dispatch::upsertServer(View, Record, Start);
      if (Each.m_AreUnreachable && I % 3 == 0)
        View.m_Servers.at(Record.m_Id).m_Report.m_Health =
            dispatch::LoadReport::Health::Unreachable;
    }
    dispatch::setDataCentreDisabled(View, "dc0", Each.m_IsOut);
    RingsByService Rings = buildRings(View);
    uint32_t Used = 0;
    uint32_t LocalVms = 0;
    for (const VmInfo &Vm : Vms) {
      if (Vm.m_DataCentre != "dc0")
        continue;
      ++LocalVms;
      for (const auto &[Id, Target] : View.m_Servers)
        Used += dispatch::isInService(View, Target) &&
                        usesServer(Vm.m_Host, Vm.m_DataCentre, Target,
                                   Rings.at("service"), Policy)
                    ? 1
                    : 0;
    }
    double Mean = static_cast<double>(Used) / LocalVms;
    double Wanted = Policy.m_LocalServers + Policy.m_RemoteServers;
    CHECK(Mean > 0.8 * Wanted);
    CHECK(Mean < 1.2 * Wanted);
  }
}

// Guards against counts of another VM that decide about a version by
// themselves.
TEST_CASE(
    "counts and verdicts of roll-outs survive encoding if they are valid") {
  fleet::RolloutCounts Counts{
      "service", "v2", 2s, 100, 7, 3, 1, {{17, true, 90, 2, 88, -4.5, 12.25}}};
  fleet::RolloutVerdict Verdict{"service", "v2", 2, 1, 0.25, 3s, true};
  fleet::Datagram Sent;
  Sent.m_RolloutCounts = {Counts};
  Sent.m_RolloutVerdicts = {Verdict};
  auto Read = fleet::decodeDatagram(fleet::encodeDatagram(Sent));
  REQUIRE(Read);
  REQUIRE(Read.value().m_RolloutCounts.size() == 1);
  const fleet::RolloutCounts &Told = Read.value().m_RolloutCounts[0];
  CHECK(Told.m_Service == "service");
  CHECK(Told.m_Version == "v2");
  CHECK(Told.m_Age == 2s);
  CHECK(Told.m_Received == 100);
  CHECK(Told.m_Sent == 7);
  CHECK(Told.m_OldInFlight == 3);
  CHECK(Told.m_Step == 1);
  REQUIRE(Told.m_Routes.size() == 1);
  CHECK(Told.m_Routes[0].m_Route == 17);
  CHECK(Told.m_Routes[0].m_IsOld);
  CHECK(Told.m_Routes[0].m_Failures == 2);
  CHECK(Told.m_Routes[0].m_LogSum == -4.5);
  CHECK(Told.m_Routes[0].m_LogSquares == 12.25);
  REQUIRE(Read.value().m_RolloutVerdicts.size() == 1);
  CHECK(Read.value().m_RolloutVerdicts[0].m_State == 2);
  CHECK(Read.value().m_RolloutVerdicts[0].m_Share == 0.25);
  CHECK(Read.value().m_RolloutVerdicts[0].m_IsStored);

  auto IsDropped = [&](const fleet::RolloutRoute &Route) {
    Counts.m_Routes = {Route};
    Sent.m_RolloutCounts = {Counts};
    auto Decoded = fleet::decodeDatagram(fleet::encodeDatagram(Sent));
    return Decoded && Decoded.value().m_RolloutCounts.empty();
  };
  CHECK(IsDropped({17, true, 90, 91, 0, 0, 0}));
  CHECK(IsDropped({17, true, 90, 0, 91, 0, 0}));
  CHECK(IsDropped({17, true, 90, 0, 1, 1e9, 0}));
  CHECK(IsDropped({17, true, 90, 0, 1, 0, -1}));
  CHECK(IsDropped({17, true, 90, 0, 1, std::nan(""), 0}));
  Sent.m_RolloutVerdicts[0].m_State = 3;
  auto Decoded = fleet::decodeDatagram(fleet::encodeDatagram(Sent));
  REQUIRE(Decoded);
  CHECK(Decoded.value().m_RolloutVerdicts.empty());
}
