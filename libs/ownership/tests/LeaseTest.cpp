#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "World.h"
#include <doctest/doctest.h>
#include <set>

using namespace hyssopcross;
using namespace hyssopcross::ownership;
using namespace std::chrono_literals;

namespace {

const PoolId Boletas{"boletas", "arequipa"};

World::Setup smallSetup() {
  World::Setup Setup;
  Setup.m_Vms = {"arequipa", "arequipa", "arequipa"};
  Setup.m_Pools = {Boletas};
  Setup.m_Policy.m_Extension = 20s;
  return Setup;
}

/// The number of the one confirmed owner.
uint32_t ownerOf(World &Run, const PoolId &Pool) {
  std::vector<std::string> Names = Run.confirmed(Pool);
  REQUIRE(Names.size() == 1);
  return static_cast<uint32_t>(std::stoul(Names.front().substr(3)));
}

} // namespace

TEST_CASE("a lease row survives its encoding, and a bad one is refused") {
  LeaseRow Row;
  Row.m_State = RowState::Offered;
  Row.m_Owner = "vm-1";
  Row.m_Incarnation = 7;
  Row.m_Epoch = 3;
  Row.m_Nonce = UINT64_MAX;
  Row.m_TimeToLive = 6000ms;
  Row.m_Electors = {{"vm-2", 4}};
  CHECK(parseLeaseRow(encodeLeaseRow(Row)).value() == Row);
  const char *Bad[] = {"", "{}", "[]", "{\"state\":\"lost\"}", "nonsense"};
  for (const char *Text : Bad) {
    CAPTURE(Text);
    auto Parsed = parseLeaseRow(Text);
    REQUIRE(!Parsed);
    CHECK(Parsed.error().m_Code == ErrorCode::Protocol);
  }
}

TEST_CASE("one VM takes a free pool, and its first successor is another") {
  World Run(smallSetup());
  Run.runUntil(50);
  uint32_t Owner = ownerOf(Run, Boletas);
  CHECK(Run.row(Boletas)->m_Epoch == 1);
  auto Successor = successorOf(Run.state(Owner), Boletas);
  REQUIRE(Successor);
  CHECK(*Successor != Run.row(Boletas)->m_Owner);
  CHECK(Run.m_Broken.empty());
}

TEST_CASE("what an owner's pool does under one fault") {
  struct Row {
    std::string m_Name;
    FaultKind m_Kind;
    uint32_t m_Length;
    // Seconds after the fault, and what is seen then.
    uint32_t m_Later;
    LeaseStatus m_OldOwner;
    bool m_Moved;
  };
  const Row Rows[] = {
      {"killed: another one takes over", FaultKind::Kill, 0, 12,
       LeaseStatus::NotOwner, true},
      {"paused beyond its lease: another one takes over", FaultKind::Pause, 130,
       15, LeaseStatus::NotOwner, true},
      {"paused shortly: goes on", FaultKind::Pause, 20, 4,
       LeaseStatus::Confirmed, false},
      {"store down: promises keep it confirmed", FaultKind::StoreDown, 200, 15,
       LeaseStatus::Confirmed, false},
      {"store down beyond the extension: unconfirmed", FaultKind::StoreDown,
       400, 35, LeaseStatus::Unconfirmed, false},
      {"store cut for the owner alone: promises keep it confirmed",
       FaultKind::StoreCut, 200, 15, LeaseStatus::Confirmed, false},
      {"answers lost: reads back and stays confirmed", FaultKind::AnswersLost,
       200, 15, LeaseStatus::Confirmed, false},
      {"cut from the others only: renews in the store", FaultKind::NetCut, 200,
       15, LeaseStatus::Confirmed, false},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    World Run(smallSetup());
    Run.runUntil(100);
    uint32_t Owner = ownerOf(Run, Boletas);
    Run.inject({Case.m_Kind, Owner, 100, Case.m_Length});
    Run.runUntil(100 + 10 * Case.m_Later);
    CHECK(Run.status(Owner, Boletas) == Case.m_OldOwner);
    CHECK(Run.row(Boletas)->m_Epoch == (Case.m_Moved ? 2 : 1));
    CHECK(Run.m_Broken == "");
  }
}

TEST_CASE("after an outage the unconfirmed owner renews at the same epoch") {
  World Run(smallSetup());
  Run.inject({FaultKind::StoreDown, 0, 100, 400});
  Run.runUntil(490);
  uint64_t Epoch = Run.row(Boletas)->m_Epoch;
  Run.runUntil(540);
  ownerOf(Run, Boletas);
  CHECK(Run.row(Boletas)->m_Epoch == Epoch);
}

TEST_CASE("a paused process finds its lease run out before any event") {
  World Run(smallSetup());
  Run.runUntil(100);
  uint32_t Owner = ownerOf(Run, Boletas);
  TimePoint Woken = Run.localNow(Owner) + 10s;
  CHECK(leaseStatus(Run.state(Owner), Boletas, Woken) ==
        LeaseStatus::Unconfirmed);
}

TEST_CASE("a join moves pools one at a time, and only after a while") {
  for (bool Sticky : {true, false}) {
    CAPTURE(Sticky);
    World::Setup Setup = smallSetup();
    Setup.m_LateVm = 2;
    Setup.m_LateAt = 150;
    Setup.m_Policy.m_Sticky = Sticky;
    Setup.m_Pools.clear();
    for (int Index = 0; Index < 12; ++Index)
      Setup.m_Pools.push_back({"service-" + std::to_string(Index), "arequipa"});
    World Run(Setup);
    Run.runUntil(200);
    auto OwnedByLate = [&] {
      return std::count_if(
          Setup.m_Pools.begin(), Setup.m_Pools.end(), [&](const PoolId &Pool) {
            return Run.status(2, Pool) == LeaseStatus::Confirmed;
          });
    };
    CHECK((OwnedByLate() == 0) == Sticky);
    Run.runUntil(700);
    CHECK(OwnedByLate() > 0);
    CHECK((Run.m_MostHandOversAtOnce <= 2) == Sticky);
    for (const PoolId &Pool : Setup.m_Pools)
      CHECK(Run.confirmed(Pool).size() == 1);
    CHECK(Run.m_Broken == "");
  }
}

TEST_CASE("a stop hands all pools over and reports when done") {
  struct Row {
    std::string m_Name;
    std::vector<std::string> m_Vms;
    Fault m_Beside;
    bool m_Drained;
    size_t m_Owners;
  };
  const Row Rows[] = {
      {"to the others", {"a", "a", "a"}, {FaultKind::NetCut, 0, 0, 0}, true, 1},
      {"to nobody", {"a"}, {FaultKind::NetCut, 0, 0, 0}, true, 0},
      {"store down", {"a", "a"}, {FaultKind::StoreDown, 0, 99, 200}, false, 1},
      {"the others do not hear the offers",
       {"a", "a"},
       {FaultKind::NetCut, 0, 99, 200},
       true,
       1},
      {"answers lost",
       {"a", "a"},
       {FaultKind::AnswersLost, 0, 99, 200},
       true,
       1},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    World::Setup Setup = smallSetup();
    Setup.m_Vms = Case.m_Vms;
    Setup.m_Pools = {{"one", "a"},  {"two", "a"},  {"three", "a"},
                     {"four", "a"}, {"five", "a"}, {"six", "a"}};
    World Run(Setup);
    Run.inject(Case.m_Beside);
    Run.inject({FaultKind::Stop, 0, 100, 0});
    Run.runUntil(200);
    CHECK(Run.drained(0) == Case.m_Drained);
    for (const PoolId &Pool : Setup.m_Pools) {
      CHECK(Run.confirmed(Pool).size() == Case.m_Owners);
      if (Case.m_Drained)
        CHECK(Run.status(0, Pool) == LeaseStatus::NotOwner);
    }
    CHECK(Run.m_Broken == "");
  }
}

TEST_CASE("a data centre without VMs is served from another, and gets back") {
  World::Setup Setup = smallSetup();
  Setup.m_Vms = {"cusco", "cusco", "arequipa"};
  Setup.m_LateVm = 2;
  Setup.m_LateAt = 200;
  World Run(Setup);
  Run.runUntil(100);
  CHECK(ownerOf(Run, Boletas) != 2);
  Run.runUntil(550);
  CHECK(ownerOf(Run, Boletas) == 2);
  CHECK(Run.row(Boletas)->m_Epoch == 2);
}

TEST_CASE("a malformed or older row is left alone until it changes") {
  World Run(smallSetup());
  Run.runUntil(100);
  LeaseRow Older = *Run.row(Boletas);
  Older.m_Epoch = 0;
  for (const std::string &Value :
       {std::string("nonsense"), encodeLeaseRow(Older)}) {
    World Again(smallSetup());
    Again.runUntil(100);
    Again.putRow(Boletas, Value);
    Again.runUntil(200);
    CHECK(Again.m_RowsRejected > 0);
    CHECK(Again.confirmed(Boletas).empty());
    Older.m_Epoch = 9;
    Again.putRow(Boletas, encodeLeaseRow(Older));
    Again.runUntil(700);
    CHECK(Again.confirmed(Boletas).size() == 1);
    CHECK(Again.m_Broken == "");
  }
}

TEST_CASE("the store's load keeps to the bound of the policy") {
  World::Setup Setup = smallSetup();
  Setup.m_Vms = {"a", "a", "a", "a", "a", "a"};
  Setup.m_Pools.clear();
  for (int Index = 0; Index < 24; ++Index)
    Setup.m_Pools.push_back({"service-" + std::to_string(Index), "a"});
  World Run(Setup);
  Run.runUntil(100);
  uint64_t Rows = Run.m_RowWrites;
  uint64_t Transactions = Run.m_Transactions;
  uint64_t Reads = Run.m_Reads;
  Run.runUntil(700);
  double Seconds = 60.0;
  CHECK(static_cast<double>(Run.m_RowWrites - Rows) / Seconds <= 24 / 1.9);
  CHECK(static_cast<double>(Run.m_Transactions - Transactions) / Seconds <=
        6 / 1.9);
  CHECK(static_cast<double>(Run.m_Reads - Reads) / Seconds <=
        24 / 1.9 + 24 / 2.9 + 24 * 3 / 29.0);
}

TEST_CASE("two mechanisms that only a certain course of faults needs") {
  struct Row {
    std::string m_Name;
    bool OwnershipPolicy::*m_Switch;
    void (*m_Script)(World &, uint32_t Owner);
  };
  const Row Rows[] = {
      {"an answer comes late, then the owner is cut off",
       &OwnershipPolicy::m_ValidFromSend,
       [](World &Run, uint32_t Owner) {
         Run.inject({FaultKind::AnswersLost, Owner, 100, 50});
         Run.inject({FaultKind::StoreCut, Owner, 148, 200});
         Run.inject({FaultKind::NetCut, Owner, 148, 200});
         Run.runUntil(300);
       }},
      {"an elector has taken the lease and handed it on",
       &OwnershipPolicy::m_PromiseOnlyWhatWasRead,
       [](World &Run, uint32_t Owner) {
         std::string Elector = Run.row(Boletas)->m_Electors.front().m_Name;
         Run.inject({FaultKind::StoreCut, Owner, 100, 300});
         Run.inject({FaultKind::NetCut, Owner, 100, 120});
         auto Number = static_cast<uint32_t>(std::stoul(Elector.substr(3)));
         Run.inject({FaultKind::Stop, Number, 210, 0});
         Run.runUntil(400);
       }},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    for (bool On : {true, false}) {
      size_t Broken = 0;
      for (uint64_t Seed = 1; Seed <= 30; ++Seed) {
        World::Setup Setup = smallSetup();
        Setup.m_Seed = Seed;
        Setup.m_Policy.m_Electors = 1;
        Setup.m_Policy.*Case.m_Switch = On;
        World Run(Setup);
        Run.runUntil(100);
        Case.m_Script(Run, ownerOf(Run, Boletas));
        Broken += Run.m_Broken.empty() ? 0 : 1;
      }
      CHECK((Broken == 0) == On);
    }
  }
}

TEST_CASE("a pool that is new to a VM may have been promised by it before") {
  LeaseRow Held;
  Held.m_Owner = "vm-1";
  Held.m_Epoch = 1;
  Held.m_TimeToLive = 6s;
  Held.m_Electors = {{"vm-2", 2}};
  for (bool Wait : {true, false}) {
    OwnershipPolicy Policy;
    Policy.m_PromiseTime = 30s;
    Policy.m_WaitAfterStart = Wait;
    TimePoint Now{1h};
    OwnershipState State({"vm-2", 2, "arequipa", ""}, Policy, Now, 1);
    std::vector<Action> Actions;
    step(State, CandidatesChanged{{{"vm-2", 2, "arequipa", ""}}}, Now, Actions);
    step(State, PoolsChanged{{Boletas}}, Now, Actions);
    size_t Taken = 0;
    for (int Tenth = 0; Tenth < 200; ++Tenth) {
      std::vector<Action> Before = std::move(Actions);
      Actions.clear();
      for (const Action &Wanted : Before) {
        Taken += std::holds_alternative<CommitLease>(Wanted) ? 1 : 0;
        if (const auto *Read = std::get_if<ReadLease>(&Wanted))
          step(State,
               ReadSucceeded{Read->m_Request,
                             store::Row{encodeLeaseRow(Held), 5}},
               Now, Actions);
      }
      Now += 100ms;
      step(State, Woke{}, Now, Actions);
    }
    CHECK((Taken == 0) == Wait);
  }
}
