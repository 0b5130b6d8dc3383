#include "hyssopcross/addresses/OwnerTable.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hyssopcross;
using namespace hyssopcross::addresses;
using namespace std::chrono_literals;

namespace {

const TimePoint Now{1h};
const PoolId BoletasPool{"boletas", "arequipa"};

rc::Gen<OwnerEntry> arbitraryEntry() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(1, 9)),
      [](const std::tuple<int, int> &Sample) {
        auto [Pool, Epoch] = Sample;
        // Leases guarantee a single owner per pool and epoch.
        return OwnerEntry{{"service-" + std::to_string(Pool), "arequipa"},
                          "vm-" + std::to_string(Pool * 31 + Epoch),
                          static_cast<uint64_t>(Epoch)};
      });
}

bool propertyHolds(const std::function<void()> &Property) {
  rc::detail::TestParams Params;
  Params.seed = 4;
  return rc::detail::checkTestable(
             Property, rc::detail::TestMetadata{"owners", "owners"}, Params)
      .is<rc::detail::SuccessResult>();
}

} // namespace

TEST_CASE("an entry replaces the owner only if its epoch is higher") {
  struct Row {
    std::string m_Name;
    uint64_t m_Epoch;
    std::string m_Owner;
    bool m_Changed;
    std::string m_Expected;
  };
  const Row Rows[] = {
      {"higher", 6, "vm-2", true, "vm-2"},
      {"higher, the same owner", 6, "vm-1", false, "vm-1"},
      {"equal", 5, "vm-2", false, "vm-1"},
      {"lower", 4, "vm-2", false, "vm-1"},
      {"released", 6, "", true, ""},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    OwnerTable Table;
    CHECK(mergeOwner(Table, {BoletasPool, "vm-1", 5}, Now));
    CHECK(mergeOwner(Table, {BoletasPool, Case.m_Owner, Case.m_Epoch},
                     Now + 1s) == Case.m_Changed);
    CHECK(Table.m_Owners.at(BoletasPool).m_Owner == Case.m_Expected);
  }
}

TEST_CASE("tables that merge the same entries in opposite orders are equal") {
  CHECK(propertyHolds([] {
    auto Entries =
        *rc::gen::container<std::vector<OwnerEntry>>(arbitraryEntry());
    OwnerTable Forward;
    OwnerTable Backward;
    for (size_t Index = 0; Index < Entries.size(); ++Index) {
      mergeOwner(Forward, Entries[Index], Now);
      mergeOwner(Backward, Entries[Entries.size() - 1 - Index], Now);
    }
    RC_ASSERT(Forward.m_Owners.size() == Backward.m_Owners.size());
    for (const auto &[Pool, Record] : Forward.m_Owners) {
      RC_ASSERT(Record.m_Epoch == Backward.m_Owners.at(Pool).m_Epoch);
      RC_ASSERT(Record.m_Owner == Backward.m_Owners.at(Pool).m_Owner);
    }
  }));
}

TEST_CASE(
    "digests stay within the byte budget and eventually cover all pools") {
  OwnerTable Table;
  for (int Index = 0; Index < 264; ++Index)
    mergeOwner(Table,
               {{"service-" + std::to_string(Index / 11),
                 "dc-" + std::to_string(Index % 11)},
                "vm-" + std::to_string(Index),
                1},
               Now);
  OwnerTable Other;
  size_t Rounds = 0;
  for (; Other.m_Owners.size() < 264 && Rounds < 1000; ++Rounds) {
    size_t Bytes = 0;
    for (const OwnerEntry &Entry : nextOwnerDigest(Table, 300)) {
      Bytes += encodedSize(Entry);
      mergeOwner(Other, Entry, Now);
    }
    CHECK(Bytes <= 300);
  }
  CHECK(Other.m_Owners.size() == 264);
  // The next digest includes a new change.
  mergeOwner(Table, {{"service-5", "dc-5"}, "vm-new", 2}, Now);
  bool First = false;
  for (const OwnerEntry &Entry : nextOwnerDigest(Table, 300))
    First = First || Entry.m_Owner == "vm-new";
  CHECK(First);
}

TEST_CASE("retainPools removes all other pools") {
  OwnerTable Table;
  mergeOwner(Table, {BoletasPool, "vm-1", 1}, Now);
  mergeOwner(Table, {{"caja", "arequipa"}, "vm-1", 1}, Now);
  retainPools(Table, {BoletasPool});
  CHECK(Table.m_Owners.size() == 1);
  CHECK(Table.m_Owners.contains(BoletasPool));
}
