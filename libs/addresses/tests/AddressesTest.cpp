#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/addresses/Addresses.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::addresses;
using namespace std::chrono_literals;
using membership::VmStatus;

namespace {

const TimePoint Start{1h};
const TimePoint Later = Start + 10min;

/// Three data centres in two regions with two VMs each. The first VM of each
/// data centre owns its pool of the service "boletas".
RoutingView threeDataCentres() {
  RoutingView View;
  View.m_Self = "arequipa-1";
  View.m_DataCentre = "arequipa";
  View.m_ChangedAt = Start;
  const char *DataCentres[][2] = {
      {"arequipa", "south"}, {"cusco", "south"}, {"lima", "coast"}};
  for (auto [Name, Region] : DataCentres) {
    View.m_Catalogue.m_DataCentres[Name] = {Name, Region, true};
    for (const char *Number : {"-1", "-2"}) {
      std::string Vm = std::string(Name) + Number;
      View.m_Members[Vm] = {Name, Vm + ":80", Vm + ":81", VmStatus::Alive};
    }
    mergeOwner(View.m_Owners, {{"boletas", Name}, std::string(Name) + "-1", 1},
               Start);
  }
  View.m_Catalogue.m_Services["boletas"].m_Name = "boletas";
  return View;
}

std::vector<std::string> answeredVms(const RoutingView &View,
                                     const char *From) {
  auto Answer = addressesFor(View, "boletas", From, Later, 0.0);
  REQUIRE(Answer);
  std::vector<std::string> Names;
  for (const AnswerAddress &Item : Answer.value().m_Addresses)
    Names.push_back(Item.m_Vm);
  return Names;
}

using Names = std::vector<std::string>;

void setStatus(RoutingView &View, const std::string &Vm, VmStatus Status) {
  View.m_Members.at(Vm).m_Status = Status;
}

} // namespace

TEST_CASE("answers list eligible owners in order of latency") {
  struct Row {
    std::string m_Name;
    const char *m_From;
    void (*m_Change)(RoutingView &);
    Names m_Expected;
  };
  const Row Rows[] = {
      {"nearest first",
       "arequipa",
       [](RoutingView &) {},
       {"arequipa-1", "cusco-1", "lima-1"}},
      {"nearest first, from another data centre",
       "cusco",
       [](RoutingView &) {},
       {"cusco-1", "arequipa-1", "lima-1"}},
      {"configured distances apply to either order of a pair",
       "arequipa",
       [](RoutingView &View) {
         View.m_Distances[{"lima", "arequipa"}] = 1ms;
         View.m_Distances[{"arequipa", "cusco"}] = 5ms;
       },
       {"arequipa-1", "lima-1", "cusco-1"}},
      {"data centre of the caller is not in the catalogue",
       "unheard",
       [](RoutingView &) {},
       {"arequipa-1", "cusco-1", "lima-1"}},
      {"owner is suspect",
       "arequipa",
       [](RoutingView &View) {
         setStatus(View, "arequipa-1", VmStatus::Suspect);
       },
       {"cusco-1", "lima-1"}},
      {"owner is leaving",
       "arequipa",
       [](RoutingView &View) {
         setStatus(View, "arequipa-1", VmStatus::Leaving);
       },
       {"cusco-1", "lima-1"}},
      {"owner is no longer a member",
       "arequipa",
       [](RoutingView &View) { View.m_Members.erase("arequipa-1"); },
       {"cusco-1", "lima-1"}},
      {"data centre is out of service",
       "arequipa",
       [](RoutingView &View) {
         View.m_Catalogue.m_DataCentres["arequipa"].m_InService = false;
       },
       {"cusco-1", "lima-1"}},
      {"owner is out of service",
       "arequipa",
       [](RoutingView &View) { View.m_Catalogue.m_VmsOut.insert("cusco-1"); },
       {"arequipa-1", "lima-1"}},
      {"pool was released",
       "arequipa",
       [](RoutingView &View) {
         mergeOwner(View.m_Owners, {{"boletas", "arequipa"}, "", 2}, Start);
       },
       {"cusco-1", "lima-1"}},
      {"view of this VM is not up to date",
       "arequipa",
       [](RoutingView &View) { View.m_Current = false; },
       {"cusco-1", "lima-1"}},
      {"one VM owns two pools",
       "arequipa",
       [](RoutingView &View) {
         mergeOwner(View.m_Owners, {{"boletas", "lima"}, "cusco-1", 2}, Start);
       },
       {"arequipa-1", "cusco-1"}},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    RoutingView View = threeDataCentres();
    Case.m_Change(View);
    Names Vms = answeredVms(View, Case.m_From);
    REQUIRE(Vms.size() >= Case.m_Expected.size());
    // The owners are followed by entry VMs that forward.
    Names FirstVms(Vms.begin(), Vms.begin() + static_cast<std::ptrdiff_t>(
                                                  Case.m_Expected.size()));
    CHECK(FirstVms == Case.m_Expected);
    CHECK(Vms.size() <= View.m_Policy.m_Addresses);
    auto Answer = addressesFor(View, "boletas", Case.m_From, Later, 0.0);
    size_t Owners = 0;
    for (const AnswerAddress &Item : Answer.value().m_Addresses) {
      Owners += Item.m_Owner ? 1 : 0;
      CHECK(Item.m_Address == Item.m_Vm + ":80");
    }
    CHECK(Owners == Case.m_Expected.size());
  }
}

TEST_CASE("without a known owner, forwarding VMs near the caller come first") {
  RoutingView View = threeDataCentres();
  View.m_Owners = {};
  Names Vms = answeredVms(View, "cusco");
  REQUIRE(Vms.size() == 4);
  CHECK(View.m_Members.at(Vms[0]).m_DataCentre == "cusco");
  CHECK(View.m_Members.at(Vms[1]).m_DataCentre == "cusco");
  for (auto &[Vm, Member] : View.m_Members)
    Member.m_Status = VmStatus::Dead;
  CHECK(answeredVms(View, "cusco").empty());
}

TEST_CASE("addresses of an unknown service fail with NotFound") {
  auto Answer =
      addressesFor(threeDataCentres(), "nothing", "cusco", Later, 0.0);
  REQUIRE(!Answer);
  CHECK(Answer.error().m_Code == ErrorCode::NotFound);
}

TEST_CASE(
    "the time to live of an answer is jittered, and shorter after changes") {
  struct Row {
    std::string m_Name;
    void (*m_Change)(RoutingView &);
    double m_Random;
    Duration m_TimeToLive;
  };
  const Row Rows[] = {
      {"steady", [](RoutingView &) {}, 0.0, 30s},
      {"jittered", [](RoutingView &) {}, 0.5, 25500ms},
      {"members changed",
       [](RoutingView &View) { View.m_ChangedAt = Later - 1s; }, 0.0, 3s},
      {"an owner changed",
       [](RoutingView &View) {
         mergeOwner(View.m_Owners, {{"boletas", "lima"}, "lima-2", 2},
                    Later - 1s);
       },
       0.0, 3s},
      {"an owner for another service changed",
       [](RoutingView &View) {
         mergeOwner(View.m_Owners, {{"caja", "lima"}, "lima-2", 2}, Later - 1s);
       },
       0.0, 30s},
      {"a pool has no owner",
       [](RoutingView &View) {
         mergeOwner(View.m_Owners, {{"boletas", "lima"}, "", 2}, Start);
       },
       0.0, 3s},
      {"view is not up to date",
       [](RoutingView &View) { View.m_Current = false; }, 0.0, 3s},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    RoutingView View = threeDataCentres();
    Case.m_Change(View);
    auto Answer =
        addressesFor(View, "boletas", "arequipa", Later, Case.m_Random);
    CHECK(Answer.value().m_TimeToLive == Case.m_TimeToLive);
  }
}

TEST_CASE("the preferred address is the nearest owner other than this VM") {
  RoutingView View = threeDataCentres();
  CHECK(!preferredAddress(View, "boletas", "arequipa"));
  auto Preferred = preferredAddress(View, "boletas", "cusco");
  REQUIRE(Preferred);
  CHECK(Preferred->m_Vm == "cusco-1");
  CHECK(Preferred->m_Address == "cusco-1:80");
  View.m_Owners = {};
  CHECK(!preferredAddress(View, "boletas", "cusco"));
}

TEST_CASE("an incoming call is served, forwarded or refused") {
  struct Row {
    std::string m_Name;
    PoolId m_Pool;
    uint32_t m_Hops;
    void (*m_Change)(RoutingView &);
    std::string m_Vm;
    ForwardKind m_Kind;
    ForwardRefusal m_Refusal;
  };
  const PoolId LocalPool{"boletas", "arequipa"};
  const PoolId RemotePool{"boletas", "cusco"};
  const auto NoChange = [](RoutingView &) {};
  const Row Rows[] = {
      {"own pool", LocalPool, 0, NoChange, "arequipa-1", ForwardKind::ServeHere,
       ForwardRefusal::None},
      {"own pool after one forward", LocalPool, 1, NoChange, "arequipa-1",
       ForwardKind::ServeHere, ForwardRefusal::None},
      {"pool of another VM", RemotePool, 0, NoChange, "cusco-1",
       ForwardKind::Forward, ForwardRefusal::None},
      {"hop limit reached, another pool is owned here", RemotePool, 1, NoChange,
       "arequipa-1", ForwardKind::ServeHere, ForwardRefusal::None},
      {"hop limit reached, no pool is owned here", RemotePool, 1,
       [](RoutingView &View) { View.m_Self = "arequipa-2"; }, "",
       ForwardKind::Refuse, ForwardRefusal::TooManyHops},
      {"unknown service",
       {"nothing", "cusco"},
       0,
       NoChange,
       "",
       ForwardKind::Refuse,
       ForwardRefusal::UnknownService},
      {"no owner", RemotePool, 0, [](RoutingView &View) { View.m_Owners = {}; },
       "", ForwardKind::Refuse, ForwardRefusal::NoOwner},
      {"data centre is out of service: nearest other pool", LocalPool, 0,
       [](RoutingView &View) {
         View.m_Catalogue.m_DataCentres["arequipa"].m_InService = false;
       },
       "cusco-1", ForwardKind::Forward, ForwardRefusal::None},
      {"this VM is leaving but still owns the pool", LocalPool, 0,
       [](RoutingView &View) {
         setStatus(View, "arequipa-1", VmStatus::Leaving);
       },
       "arequipa-1", ForwardKind::ServeHere, ForwardRefusal::None},
      {"owner is suspect: nearest other pool", RemotePool, 0,
       [](RoutingView &View) { setStatus(View, "cusco-1", VmStatus::Suspect); },
       "arequipa-1", ForwardKind::ServeHere, ForwardRefusal::None},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    RoutingView View = threeDataCentres();
    Case.m_Change(View);
    ForwardDecision Decision = decideForward(View, Case.m_Pool, Case.m_Hops);
    CHECK(Decision.m_Kind == Case.m_Kind);
    CHECK(Decision.m_Vm == Case.m_Vm);
    CHECK(Decision.m_Refusal == Case.m_Refusal);
    CHECK((Decision.m_RetryAfter > Duration::zero()) ==
          (Case.m_Refusal == ForwardRefusal::NoOwner));
  }
}

TEST_CASE("each policy switch changes the decision that it controls") {
  struct Row {
    std::string m_Name;
    bool AddressPolicy::*m_Switch;
    bool (*m_Check)(RoutingView &);
  };
  const Row Rows[] = {
      {"exclude unavailable VMs", &AddressPolicy::m_ExcludeUnavailable,
       [](RoutingView &View) {
         setStatus(View, "arequipa-1", VmStatus::Dead);
         return answeredVms(View, "arequipa").front() != "arequipa-1";
       }},
      {"exclude VMs out of service", &AddressPolicy::m_ExcludeOutOfService,
       [](RoutingView &View) {
         View.m_Catalogue.m_DataCentres["arequipa"].m_InService = false;
         return answeredVms(View, "arequipa").front() != "arequipa-1";
       }},
      {"nearest first", &AddressPolicy::m_NearestFirst,
       [](RoutingView &View) {
         return answeredVms(View, "lima").front() == "lima-1";
       }},
      {"limit hops", &AddressPolicy::m_LimitHops,
       [](RoutingView &View) {
         PoolId Pool{"boletas", "cusco"};
         View.m_Self = "arequipa-2";
         return decideForward(View, Pool, 9).m_Kind == ForwardKind::Refuse;
       }},
      {"shorter time to live while changing",
       &AddressPolicy::m_ShortenWhileChanging,
       [](RoutingView &View) {
         View.m_ChangedAt = Later;
         return addressesFor(View, "boletas", "lima", Later, 0.0)
                    .value()
                    .m_TimeToLive < 10s;
       }},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    RoutingView On = threeDataCentres();
    CHECK(Case.m_Check(On));
    RoutingView Off = threeDataCentres();
    Off.m_Policy.*Case.m_Switch = false;
    CHECK(!Case.m_Check(Off));
  }
}
