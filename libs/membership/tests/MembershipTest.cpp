#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "Fleet.h"
#include "hyssopcross/membership/Rendezvous.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::membership;
using namespace std::chrono_literals;

namespace {

std::string name(int Index) {
  std::string Digits = std::to_string(Index);
  return "vm-" + std::string(3 - Digits.size(), '0') + Digits;
}

/// Starts the given number of VMs, distributed evenly over the data centres.
std::unique_ptr<Fleet> fleetOf(int Vms, int DataCentres,
                               MembershipPolicy Policy = {}) {
  auto Result = std::make_unique<Fleet>(Policy, 5);
  for (int Index = 0; Index < Vms; ++Index)
    Result->start(name(Index), "dc-" + std::to_string(Index % DataCentres));
  Result->run(60s);
  return Result;
}

auto acrossDataCentre(const std::string &One) {
  return [One](const VmInfo &From, const VmInfo &To) {
    return (From.m_DataCentre == One) != (To.m_DataCentre == One);
  };
}

} // namespace

TEST_CASE(
    "removing a node moves only the keys that rendezvous hashing gave to it") {
  std::vector<std::string> Nodes;
  Nodes.reserve(20);
  for (int Index = 0; Index < 20; ++Index)
    Nodes.push_back(name(Index));
  std::vector<std::string> Fewer(Nodes.begin() + 1, Nodes.end());
  std::map<std::string, int> Firsts;
  for (int Key = 0; Key < 1000; ++Key) {
    std::string Text = "key-" + std::to_string(Key);
    std::string Before = rankByRendezvous(Text, Nodes, 1).front();
    std::string After = rankByRendezvous(Text, Fewer, 1).front();
    ++Firsts[Before];
    if (Before != Nodes.front())
      CHECK(Before == After);
  }
  for (const auto &[Node, Count] : Firsts)
    CHECK((Count > 20 && Count < 100));
}

TEST_CASE("all VMs discover each other") {
  struct Row {
    int m_Vms;
    int m_DataCentres;
  };
  const Row Rows[] = {{1, 1},  {2, 1},  {2, 2},  {6, 3},
                      {12, 3}, {18, 3}, {33, 11}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Vms);
    CAPTURE(Case.m_DataCentres);
    auto Vms = fleetOf(Case.m_Vms, Case.m_DataCentres);
    CHECK(Vms->disagreement() == "");
    for (int Index = 0; Index < Case.m_Vms; ++Index) {
      const MembershipState &State = Vms->state(name(Index));
      CHECK(State.m_Neighbours.size() <= 3);
      CHECK(Vms->m_BytesSent[name(Index)] < 60 * 2000);
    }
  }
}

TEST_CASE("status of a VM in the other VMs' views after one fault") {
  struct Row {
    std::string m_Name;
    void (*m_Fault)(Fleet &);
    Duration m_After;
    VmStatus m_Seen;
  };
  const std::string Subject = name(4);
  const Row Rows[] = {
      {"shortly after a kill", [](Fleet &Vms) { Vms.kill(name(4)); }, 8s,
       VmStatus::Suspect},
      {"killed", [](Fleet &Vms) { Vms.kill(name(4)); }, 30s, VmStatus::Dead},
      {"killed, still listed", [](Fleet &Vms) { Vms.kill(name(4), 10min); },
       60s, VmStatus::Dead},
      {"frozen", [](Fleet &Vms) { Vms.freeze(name(4), 60s); }, 40s,
       VmStatus::Dead},
      {"frozen and resumed", [](Fleet &Vms) { Vms.freeze(name(4), 15s); }, 40s,
       VmStatus::Alive},
      {"announced its shutdown", [](Fleet &Vms) { Vms.stop(name(4)); }, 9s,
       VmStatus::Leaving},
      {"listed as leaving", [](Fleet &Vms) { Vms.listLeaving(name(4)); }, 25s,
       VmStatus::Leaving},
      {"restarted on the same address",
       [](Fleet &Vms) { Vms.restart(name(4)); }, 15s, VmStatus::Alive},
      {"left and restarted while the list marks it as leaving",
       [](Fleet &Vms) {
         Vms.listLeaving(name(4));
         Vms.run(20s);
         Vms.restart(name(4), 10min);
       },
       20s, VmStatus::Alive},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    auto Vms = fleetOf(12, 3);
    Case.m_Fault(*Vms);
    Vms->run(Case.m_After);
    for (int Index = 0; Index < 12; ++Index)
      if (Index != 4) {
        VmStatus Seen = Vms->observedStatus(name(Index), Subject);
        CAPTURE(Index);
        // A suspicion or death reaches some VMs sooner than others.
        bool Soon = Case.m_Seen == VmStatus::Suspect;
        CHECK((Soon ? Seen != VmStatus::Alive : Seen == Case.m_Seen));
      }
  }
}

TEST_CASE("a VM that is not in the list yet is discovered by its heartbeats") {
  auto Vms = fleetOf(6, 1);
  Vms->start("vm-new", "dc-0", 10min);
  Vms->run(15s);
  CHECK(Vms->disagreement() == "");
}

TEST_CASE(
    "a VM that resumes after a freeze reports that its view is not fresh") {
  for (bool Notice : {true, false}) {
    CAPTURE(Notice);
    MembershipPolicy Policy;
    Policy.m_DetectOwnFreeze = Notice;
    auto Vms = fleetOf(6, 1, Policy);
    Vms->freeze(name(2), 20s);
    Vms->run(20s);
    CHECK(Vms->viewOf(name(2)).m_Fresh != Notice);
    int NotAlive = 0;
    for (int Index = 0; Index < 6; ++Index)
      NotAlive +=
          Vms->observedStatus(name(2), name(Index)) != VmStatus::Alive ? 1 : 0;
    CHECK((NotAlive == 0) == Notice);
    Vms->run(20s);
    CHECK(Vms->viewOf(name(2)).m_Fresh);
    CHECK(Vms->disagreement() == "");
  }
}

TEST_CASE("a partition between data centres causes suspicion and then heals") {
  auto Vms = fleetOf(12, 3);
  Vms->partition(acrossDataCentre("dc-1"), 120s);
  Vms->run(60s);
  CHECK(Vms->observedStatus(name(0), name(1)) == VmStatus::Suspect);
  CHECK(Vms->observedStatus(name(1), name(0)) == VmStatus::Suspect);
  CHECK(Vms->observedStatus(name(0), name(2)) == VmStatus::Alive);
  CHECK(Vms->observedStatus(name(1), name(4)) == VmStatus::Alive);
  Vms->run(90s);
  CHECK(Vms->disagreement() == "");
}

TEST_CASE("a data centre whose VMs were all replaced during a partition is "
          "rediscovered") {
  auto Vms = fleetOf(6, 2);
  Vms->partition(acrossDataCentre("dc-1"), 60s);
  for (int Index : {1, 3, 5}) {
    Vms->kill(name(Index), 5s);
    Vms->start("vm-r" + std::to_string(Index), "dc-1", 5s);
  }
  Vms->run(150s);
  CHECK(Vms->observedStatus(name(0), "vm-r1") == VmStatus::Alive);
  CHECK(Vms->observedStatus("vm-r1", name(0)) == VmStatus::Alive);
}

TEST_CASE("disabling a mechanism causes the failure that it prevents") {
  struct Row {
    std::string m_Name;
    bool MembershipPolicy::*m_Switch;
    /// Returns whether the mechanism's guarantee holds.
    bool (*m_Check)(MembershipPolicy);
  };
  const Row Rows[] = {
      {"old incarnations", &MembershipPolicy::m_IgnoreOldIncarnations,
       [](MembershipPolicy Policy) {
         MembershipState State({"a", 5, "dc", "", "", ""}, Policy, {});
         std::vector<Action> Actions;
         DigestEntry New{{"b", 7, "dc", "", "", ""}, 1, VmStatus::Alive};
         DigestEntry Old{{"b", 6, "dc", "", "", ""}, 90, VmStatus::Dead};
         Heartbeat Message;
         Message.m_From = {"c", 1, "dc", "", "", ""};
         Message.m_Entries = {New, Old};
         step(State, HeartbeatArrived{Message}, TimePoint(1s), Actions);
         return statusOf(State, "b", TimePoint(1s)) == VmStatus::Alive;
       }},
      {"refutation", &MembershipPolicy::m_RefuteSuspicion,
       [](MembershipPolicy Policy) {
         MembershipState State({"a", 5, "dc", "", "", ""}, Policy, {});
         std::vector<Action> Actions;
         Heartbeat Message;
         Message.m_From = {"c", 1, "dc", "", "", ""};
         Message.m_Entries = {
             {{"a", 5, "dc", "", "", ""}, 90, VmStatus::Suspect}};
         step(State, HeartbeatArrived{Message}, TimePoint(1s), Actions);
         return State.m_Counter > 90;
       }},
      {"Leaving is sticky", &MembershipPolicy::m_KeepLeaving,
       [](MembershipPolicy Policy) {
         auto Vms = fleetOf(6, 1, Policy);
         Vms->listLeaving(name(2));
         Vms->run(6s);
         Vms->partition([](const VmInfo &, const VmInfo &) { return false; },
                        1s);
         MembershipState State({"a", 5, "dc", "", "", ""}, Policy, {});
         std::vector<Action> Actions;
         Heartbeat Message;
         Message.m_From = {"c", 1, "dc", "", "", ""};
         DigestEntry LeavingEntry{
             {"b", 7, "dc", "", "", ""}, 3, VmStatus::Leaving};
         DigestEntry Late{{"b", 7, "dc", "", "", ""}, 4, VmStatus::Alive};
         Message.m_Entries = {LeavingEntry, Late};
         step(State, HeartbeatArrived{Message}, TimePoint(1s), Actions);
         return statusOf(State, "b", TimePoint(1s)) == VmStatus::Leaving;
       }},
      {"changes are forwarded", &MembershipPolicy::m_ForwardChanges,
       [](MembershipPolicy Policy) {
         auto Vms = fleetOf(27, 3, Policy);
         Vms->kill(name(4));
         Vms->run(12s);
         return Vms->disagreement().empty();
       }},
      {"dead VMs are removed", &MembershipPolicy::m_ForgetDead,
       [](MembershipPolicy Policy) {
         Policy.m_ForgetAfter = 60s;
         auto Vms = fleetOf(6, 1, Policy);
         for (int Round = 0; Round < 10; ++Round) {
           std::string Name = "vm-short-" + std::to_string(Round);
           Vms->start(Name, "dc-0");
           Vms->run(10s);
           Vms->kill(Name, 5s);
         }
         Vms->run(120s);
         return Vms->viewOf(name(0)).m_Members.size() == 6;
       }},
      {"bytes are limited", &MembershipPolicy::m_LimitBytes,
       [](MembershipPolicy Policy) {
         auto Vms = fleetOf(120, 3, Policy);
         uint64_t Most = 0;
         for (const auto &[Name, Bytes] : Vms->m_BytesSent)
           Most = std::max(Most, Bytes);
         return Most < uint64_t{60} * 1500;
       }},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    MembershipPolicy Off;
    Off.*Case.m_Switch = false;
    CHECK(Case.m_Check({}));
    CHECK(!Case.m_Check(Off));
  }
}

TEST_CASE("a few VMs poll the platform and give the list to the others") {
  auto Vms = fleetOf(18, 3);
  uint64_t Before = Vms->m_ListFetches;
  Vms->run(60s);
  // Two pollers in each of three data centres, every five seconds.
  CHECK(Vms->m_ListFetches - Before <= 3 * 2 * 13);
  for (int Index = 0; Index < 18; ++Index)
    CHECK(Vms->state(name(Index)).m_List.size() == 18);
}

TEST_CASE(
    "a restart after the calendar clock was set back raises the incarnation") {
  Fleet Vms({}, 3);
  Vms.start("a", "dc-0");
  Vms.start("b", "dc-0");
  Vms.run(10s);
  MembershipState Late({"b", 1, "dc-0", "", "b:80", "b:81"}, {}, Vms.m_Now);
  std::vector<Action> Actions;
  Heartbeat Message;
  Message.m_From = Vms.state("a").m_Self;
  Message.m_Entries = {{Vms.state("b").m_Self, 9, VmStatus::Alive}};
  step(Late, HeartbeatArrived{Message}, Vms.m_Now, Actions);
  CHECK(Late.m_Self.m_Incarnation == Vms.state("b").m_Self.m_Incarnation + 1);
}
