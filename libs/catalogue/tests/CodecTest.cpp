#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/catalogue/Codec.h"
#include "hyssopcross/catalogue/Diff.h"
#include "hyssopcross/catalogue/InForce.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::catalogue;

namespace {

constexpr const char *Sample = R"(
version: 7
services:
  - name: caja
    owner: treasury
    class: money
    limits: {slots: 2, queue: 16, probes_per_second: 0.5}
  - {name: boletas, owner: "yes", class: lookup}
data_centres:
  - {name: cusco, region: south, in_service: false}
vms_out: [vm3]
)";

Catalogue read(const std::string &Text) {
  auto Read = readYaml(Text);
  REQUIRE(Read.has_value());
  return Read.value();
}

} // namespace

TEST_CASE("a document is read, written and read back in both forms") {
  Catalogue Read = read(Sample);
  CHECK(Read.m_Version == 7);
  CHECK(Read.m_Services.at("caja").m_Class == ServiceClass::Money);
  CHECK(Read.m_Services.at("caja").m_Limits.m_Queue == 16);
  CHECK(Read.m_Services.at("caja").m_Limits.m_Connections == 200);
  CHECK_FALSE(Read.m_DataCentres.at("cusco").m_InService);
  auto FromYaml = readYaml(writeYaml(Read));
  REQUIRE(FromYaml.has_value());
  CHECK(FromYaml.value() == Read);
  auto FromJson = readJson(writeJson(Read));
  REQUIRE(FromJson.has_value());
  CHECK(FromJson.value() == Read);
}

TEST_CASE("a faulty document is refused with the entry and the field") {
  struct Row {
    const char *m_Text;
    const char *m_Message;
  };
  const Row Rows[] = {
      {"services: 3", "services: must be a list (line 1)"},
      {"things: []", "document: unknown field things (line 1)"},
      {"services: [{owner: a, class: money}]",
       "service number 1: field name is missing (line 1)"},
      {"services: [{name: caja, owner: a, class: cash}]",
       "service \"caja\": field class is \"cash\", none of lookup, money, "
       "upload (line 1)"},
      {"services: [{name: caja, owner: '', class: money}]",
       "service \"caja\": field owner is empty"},
      {"services: [{name: Caja, owner: a, class: money}]",
       "service \"Caja\": field name must be 1 to 63 of a-z, 0-9 and -, and "
       "not start with -"},
      {"services: [{name: a, owner: a, class: money, limits: {slots: 0}}]",
       "service \"a\": field limits.slots is 0, outside 1 to 1000 (line 1)"},
      {"services: [{name: a, owner: a, class: money, limits: {slots: 1.5}}]",
       "service \"a\": field limits.slots must be a whole number (line 1)"},
      {"services: [{name: a, owner: a, class: money, limits: {slots: x}}]",
       "service \"a\": field limits.slots must be a number (line 1)"},
      {"services: [{name: a, owner: a, class: money, limits: {slot: 1}}]",
       "service \"a\": limits: unknown field slot (line 1)"},
      {"services:\n- {name: a, owner: a, class: money}\n"
       "- {name: a, owner: b, class: money}",
       "service \"a\": the name stands twice (line 3)"},
      {"data_centres: [{name: a}]",
       "data centre \"a\": field region is missing (line 1)"},
      {"data_centres: [{name: a, region: r, in_service: maybe}]",
       "data centre \"a\": field in_service must be true or false (line 1)"},
      {"vms_out: ['a b']",
       "VM \"a b\": the name must be 1 to 63 of letters, digits, -, . and _"},
      {"services: [", "document: end of sequence flow not found (line 1)"},
  };
  for (const Row &Case : Rows) {
    CAPTURE(std::string(Case.m_Text));
    auto Read = readYaml(Case.m_Text);
    REQUIRE(Read.has_error());
    CHECK(Read.error().m_Message == Case.m_Message);
  }
  CHECK(readJson("services: []").has_error());
  CHECK(readYaml(std::string(MaxDocumentBytes + 1, ' ')).has_error());
}

TEST_CASE("a diff names entries and fields") {
  Catalogue Before = read(Sample);
  Catalogue After = Before;
  After.m_Services.at("caja").m_Limits.m_Slots = 3;
  After.m_Services.erase("boletas");
  After.m_DataCentres.at("cusco").m_InService = true;
  After.m_VmsOut = {"vm4"};
  auto Changes = diff(Before, After);
  std::string Text = diffText(Changes);
  CHECK(Text.find("- service boletas\n    owner: yes\n") == 0);
  CHECK(Text.find("~ service caja\n    limits.slots: 2 -> 3\n"
                  "~ data_centre cusco\n    in_service: false -> true\n"
                  "- vm_out vm3\n+ vm_out vm4\n") != std::string::npos);
  CHECK(diffJson(Changes).find(R"("field":"limits.slots","before":"2")") !=
        std::string::npos);
  CHECK(diff(Before, Before).empty());
}

TEST_CASE("edits of different entries rebase, of the same one conflict") {
  Catalogue Base = read(Sample);
  Catalogue Mine = Base;
  Mine.m_Services.at("caja").m_Limits.m_Slots = 3;
  struct Row {
    const char *m_Name;
    void (*m_Edit)(Catalogue &);
    bool m_Rebases;
  };
  const Row Rows[] = {
      {"nothing", [](Catalogue &) {}, true},
      {"other entry",
       [](Catalogue &Now) { Now.m_Services.at("boletas").m_Owner = "x"; },
       true},
      {"same edit",
       [](Catalogue &Now) { Now.m_Services.at("caja").m_Limits.m_Slots = 3; },
       true},
      {"same entry",
       [](Catalogue &Now) { Now.m_Services.at("caja").m_Owner = "x"; }, false},
      {"removed", [](Catalogue &Now) { Now.m_Services.erase("caja"); }, false},
  };
  for (const Row &Case : Rows) {
    CAPTURE(std::string(Case.m_Name));
    Catalogue Current = Base;
    Case.m_Edit(Current);
    auto Rebased = rebase(Base, Mine, Current);
    REQUIRE(Rebased.has_value() == Case.m_Rebases);
    if (!Case.m_Rebases)
      continue;
    CHECK(Rebased.value().m_Services.at("caja").m_Limits.m_Slots == 3);
    CHECK(Rebased.value().m_Services.at("boletas") ==
          Current.m_Services.at("boletas"));
  }
}

TEST_CASE("a version is in force when every live VM has it") {
  InForceState State;
  setLive(State, {"vm1", "vm2", "vm3"});
  TimePoint Now;
  observe(State, {"vm1", 5}, Now);
  observe(State, {"vm2", 6}, Now);
  CHECK(inForce(State, 5).m_Missing.size() == 1);
  observe(State, {"vm3", 4}, Now);
  observe(State, {"gone", 9}, Now);
  CHECK_FALSE(inForce(State, 5).m_InForce);
  CHECK(inForce(State, 4).m_InForce);
  observe(State, {"vm3", 5}, Now);
  observe(State, {"vm3", 3}, Now);
  CHECK(inForce(State, 5).m_InForce);
  forgetVm(State, "vm3");
  CHECK_FALSE(inForce(State, 5).m_InForce);
  setLive(State, {"vm1", "vm2"});
  CHECK(inForce(State, 5).m_InForce);
  auto First = versionsToPass(State, "r", 1, TimePoint{});
  auto Second = versionsToPass(State, "r", 1, TimePoint{});
  CHECK(First[0].m_Vm != Second[0].m_Vm);
}

TEST_CASE("a catalogue of the intended size is a small document") {
  constexpr size_t MostBytes = 8192;
  Catalogue Large;
  for (int I = 0; I < 24; ++I) {
    std::string Name = "service-number-" + std::to_string(I);
    Large.m_Services[Name] = {
        Name, "team@example.org", ServiceClass::Money, {}};
  }
  for (int I = 0; I < 11; ++I) {
    std::string Name = "data-centre-" + std::to_string(I);
    Large.m_DataCentres[Name] = {Name, "region-1", true};
  }
  for (int I = 0; I < 50; ++I)
    Large.m_VmsOut.insert("entry-vm-" + std::to_string(I));
  size_t Bytes = writeJson(Large).size();
  MESSAGE("document_bytes=" << Bytes);
  CHECK(Bytes < MostBytes);
}

TEST_CASE("each receiver learns all versions, whoever else is sent some") {
  struct Row {
    size_t m_Receivers;
    size_t m_Max;
    /// Messages to one receiver after which it knows all six VMs.
    size_t m_Messages;
  };
  const Row Rows[] = {{1, 6, 1}, {2, 3, 2}, {3, 2, 3}, {3, 4, 2}, {2, 1, 6}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Receivers);
    CAPTURE(Case.m_Max);
    InForceState State;
    setLive(State, {"a", "b", "c", "d", "e", "f", "r0", "r1", "r2"});
    for (const char *Vm : {"a", "b", "c", "d", "e", "f"})
      observe(State, {Vm, 2}, TimePoint{});
    std::set<std::string> Learned;
    for (size_t Message = 0; Message < Case.m_Messages; ++Message)
      for (size_t Receiver = 0; Receiver < Case.m_Receivers; ++Receiver)
        for (const VmVersion &Passed :
             versionsToPass(State, "r" + std::to_string(Receiver), Case.m_Max,
                            TimePoint{}))
          if (Receiver == 0)
            Learned.insert(Passed.m_Vm);
    CHECK(Learned.size() == 6);
  }
}

TEST_CASE("a version that rose lately is passed on before others") {
  InForceState State;
  setLive(State, {"a", "b", "c"});
  TimePoint Start{};
  for (const char *Vm : {"a", "b", "c"})
    observe(State, {Vm, 1}, Start);
  TimePoint Later = Start + std::chrono::minutes(1);
  observe(State, {"c", 2}, Later);
  auto Passed = versionsToPass(State, "r", 1, Later);
  REQUIRE(Passed.size() == 1);
  CHECK(Passed[0].m_Vm == "c");
  CHECK(Passed[0].m_Version == 2);
}
