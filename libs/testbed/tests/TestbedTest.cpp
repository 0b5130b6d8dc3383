#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/testbed/Testbed.h"
#include "hyssopcross/testbed/EventQueue.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::testbed;
using namespace std::chrono_literals;

namespace {

Layout smallLayout(uint64_t Seed) {
  Layout Small;
  Small.m_DataCentres = {"a", "b"};
  Small.m_Entries = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
  ServiceLayout Service;
  Service.m_Entry.m_Name = "parts";
  Small.m_Services = {Service};
  Small.m_Servers = {{"sa1", "parts", "a", false},
                     {"sa2", "parts", "a", false},
                     {"sb1", "parts", "b", false}};
  LoadLayout Load;
  Load.m_Service = "parts";
  Load.m_CallsPerSecond = 100;
  for (const char *DataCentre : {"a", "b"}) {
    Load.m_DataCentre = DataCentre;
    Small.m_Loads.push_back(Load);
  }
  Small.m_Seed = Seed;
  return Small;
}

size_t countTold(const Ledger &Ledger, Told Told) {
  size_t Count = 0;
  for (const CallRecord &Call : Ledger.m_Calls)
    Count += Call.m_Told == Told ? 1 : 0;
  return Count;
}

} // namespace

TEST_CASE("work for one instant runs in the order in which it was added") {
  EventQueue Queue;
  std::string Order;
  Queue.after(2ms, [&] { Order += 'c'; });
  Queue.after(1ms, [&] { Order += 'a'; });
  Queue.after(1ms, [&] {
    Order += 'b';
    Queue.after(0ms, [&] { Order += 'x'; });
  });
  Queue.runUntil(Queue.now() + 5ms);
  CHECK(Order == "abxc");
}

TEST_CASE("a run is the same for the same seed and differs for another") {
  auto Fingerprint = [](uint64_t Seed) {
    Testbed Bed(smallLayout(Seed));
    Bed.runUntil(2s);
    uint64_t Hash = 0;
    for (const CallRecord &Call : Bed.ledger().m_Calls)
      Hash = Hash * 31 +
             static_cast<uint64_t>((Call.m_End - Call.m_Start).count());
    return Hash;
  };
  CHECK(Fingerprint(1) == Fingerprint(1));
  CHECK(Fingerprint(1) != Fingerprint(2));
}

TEST_CASE("every decider layout serves a light load") {
  for (Deciders Known :
       {Deciders::Owners, Deciders::Everyone, Deciders::EveryoneNearest}) {
    CAPTURE(static_cast<int>(Known));
    Layout Small = smallLayout(1);
    Small.m_Deciders = Known;
    Testbed Bed(Small);
    Bed.runUntil(3s);
    size_t Calls = Bed.ledger().m_Calls.size() - 1;
    CHECK(Calls > 400);
    CHECK(countTold(Bed.ledger(), Told::Completed) + 10 > Calls);
  }
}

TEST_CASE("a killed owner's pool is taken over after its lease") {
  struct Row {
    Duration m_For;
    FaultKind m_Kind;
    bool m_TakenOver;
  };
  const Row Rows[] = {{0s, FaultKind::Kill, true},
                      {100ms, FaultKind::Kill, true},
                      {4s, FaultKind::Freeze, true},
                      {500ms, FaultKind::Freeze, false}};
  for (const Row &Row : Rows) {
    Testbed Bed(smallLayout(3));
    std::string Before = Bed.ownerOf({"parts", "a"});
    Bed.at(1s, {Row.m_Kind, Before, "", Row.m_For, 0, true});
    Bed.runUntil(4s);
    CHECK((Bed.ownerOf({"parts", "a"}) != Before) == Row.m_TakenOver);
    Bed.runUntil(8s);
    const Ledger &Ledger = Bed.ledger();
    for (size_t I = Ledger.m_Calls.size() - 60; I < Ledger.m_Calls.size() - 30;
         ++I)
      CHECK(Ledger.m_Calls[I].m_Told == Told::Completed);
  }
}

TEST_CASE("crossed answers are dropped, and seen if the check is off") {
  for (bool Checks : {true, false}) {
    Layout Small = smallLayout(1);
    Small.m_ChecksAnswers = Checks;
    Testbed Bed(Small);
    Bed.at(1s, {FaultKind::CrossAnswers, "sa1", "", 2s, 0, true});
    Bed.runUntil(4s);
    size_t Mismatched = 0;
    for (const CallRecord &Call : Bed.ledger().m_Calls)
      Mismatched += Call.m_Mismatched ? 1 : 0;
    CHECK((Mismatched == 0) == Checks);
  }
}
