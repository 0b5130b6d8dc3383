#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/standins/PlatformServer.h"
#include "hyssopcross/store/HttpStore.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::store;

namespace {

constexpr Duration Timeout = std::chrono::seconds(5);

/// The ports in memory and over HTTP, each with the memory behind it.
struct Fixture {
  explicit Fixture(bool OverHttp,
                   const standins::PlatformServerOptions &Given = {}) {
    standins::PlatformServerOptions Options = Given;
    Options.m_Http.m_Listen.m_Host = "127.0.0.1";
    auto Started = standins::PlatformServer::start(Options, m_Clock);
    REQUIRE(Started.has_value());
    m_Server = std::move(Started.value());
    MemoryStore &Memory = m_Server->memory();
    m_Table = &Memory;
    m_Objects = &Memory;
    m_Vms = &Memory;
    if (!OverHttp)
      return;
    m_HttpTable = connectTable(m_Server->address(), Timeout);
    m_HttpObjects = connectObjectStore(m_Server->address(), Timeout);
    m_HttpVms = connectVmList(m_Server->address(), Timeout);
    m_Table = m_HttpTable.get();
    m_Objects = m_HttpObjects.get();
    m_Vms = m_HttpVms.get();
  }

  MemoryStore &memory() { return m_Server->memory(); }

  uint64_t version(std::string_view Key) {
    auto Read = memory().read(Key);
    return Read.value() ? Read.value()->m_Version : 0;
  }

  ManualClock m_Clock;
  std::unique_ptr<standins::PlatformServer> m_Server;
  std::unique_ptr<Table> m_HttpTable;
  std::unique_ptr<ObjectStore> m_HttpObjects;
  std::unique_ptr<VmList> m_HttpVms;
  Table *m_Table = nullptr;
  ObjectStore *m_Objects = nullptr;
  VmList *m_Vms = nullptr;
};

VmRecord makeVm(const char *Name) {
  return {Name,    VmRole::Backend, VmState::Leaving,
          "cusco", "10.0.0.1:80",   "10.0.0.1:81",
          "caja"};
}

} // namespace

TEST_CASE("a transaction applies all of its writes or none") {
  struct Row {
    const char *m_What;
    std::vector<Write> m_Writes;
    CommitResult m_Result;
    std::map<std::string, std::string> m_After;
  };
  // Before each: a=1 with version 1, b=2 with version 2.
  const Row Rows[] = {
      {"insert",
       {{"c", 0, "3"}},
       CommitResult::Committed,
       {{"a", "1"}, {"b", "2"}, {"c", "3"}}},
      {"insert of a present row",
       {{"a", 0, "9"}},
       CommitResult::Conflict,
       {{"a", "1"}, {"b", "2"}}},
      {"update",
       {{"a", 1, "9"}},
       CommitResult::Committed,
       {{"a", "9"}, {"b", "2"}}},
      {"stale update",
       {{"a", 7, "9"}},
       CommitResult::Conflict,
       {{"a", "1"}, {"b", "2"}}},
      {"deletion",
       {{"a", 1, std::nullopt}},
       CommitResult::Committed,
       {{"b", "2"}}},
      {"deletion of an absent row",
       {{"x", 0, std::nullopt}},
       CommitResult::Committed,
       {{"a", "1"}, {"b", "2"}}},
      {"two, the second stale",
       {{"a", 1, "9"}, {"b", 1, "9"}},
       CommitResult::Conflict,
       {{"a", "1"}, {"b", "2"}}},
      {"two",
       {{"a", 1, "\xc3\xb1"}, {"b", 2, ""}},
       CommitResult::Committed,
       {{"a", "\xc3\xb1"}, {"b", ""}}},
      {"none", {}, CommitResult::Committed, {{"a", "1"}, {"b", "2"}}},
  };
  for (bool OverHttp : {false, true})
    for (const Row &Case : Rows) {
      CAPTURE(OverHttp);
      CAPTURE(Case.m_What);
      Fixture Under(OverHttp);
      const Write Before[] = {{"a", 0, "1"}, {"b", 0, "2"}};
      REQUIRE(Under.m_Table->commit(Before).has_value());
      auto Ended = Under.m_Table->commit(Case.m_Writes);
      REQUIRE(Ended.has_value());
      CHECK(Ended.value() == Case.m_Result);
      std::map<std::string, std::string> After;
      auto Rows = Under.m_Table->scan("", 100);
      REQUIRE(Rows.has_value());
      for (const auto &[Key, Row] : Rows.value())
        After[Key] = Row.m_Value;
      CHECK(After == Case.m_After);
    }
}

TEST_CASE("a row deleted and written again has a new version") {
  Fixture Under(false);
  const Write Insert[] = {{"a", 0, "1"}};
  REQUIRE(Under.m_Table->commit(Insert).value() == CommitResult::Committed);
  uint64_t First = Under.version("a");
  const Write Delete[] = {{"a", First, std::nullopt}};
  REQUIRE(Under.m_Table->commit(Delete).value() == CommitResult::Committed);
  REQUIRE(Under.m_Table->commit(Insert).value() == CommitResult::Committed);
  CHECK(Under.version("a") != First);
  CHECK(Under.version("a") != 0);
}

TEST_CASE("rows are read by key and by prefix") {
  for (bool OverHttp : {false, true}) {
    CAPTURE(OverHttp);
    Fixture Under(OverHttp);
    const Write Writes[] = {{"p/a&b=%", 0, "1"}, {"p/c", 0, "2"}, {"q", 0, ""}};
    REQUIRE(Under.m_Table->commit(Writes).has_value());
    auto Found = Under.m_Table->read("p/a&b=%");
    REQUIRE(Found.has_value());
    REQUIRE(Found.value().has_value());
    CHECK(Found.value()->m_Value == "1");
    CHECK_FALSE(Under.m_Table->read("p").value().has_value());
    CHECK(Under.m_Table->scan("p/", 100).value().size() == 2);
    CHECK(Under.m_Table->scan("p/", 1).value().begin()->first == "p/a&b=%");
    CHECK(Under.m_Table->scan("x", 100).value().empty());
  }
}

TEST_CASE("a transaction that names a row twice is refused") {
  for (bool OverHttp : {false, true}) {
    Fixture Under(OverHttp);
    const Write Twice[] = {{"a", 0, "1"}, {"a", 0, "2"}};
    auto Ended = Under.m_Table->commit(Twice);
    REQUIRE(Ended.has_error());
    CHECK(Ended.error().m_Code == ErrorCode::InvalidInput);
  }
}

TEST_CASE("objects hold any bytes") {
  const std::string Bytes("\0\xff\n{}", 5);
  for (bool OverHttp : {false, true}) {
    CAPTURE(OverHttp);
    Fixture Under(OverHttp);
    ObjectStore &Objects = *Under.m_Objects;
    CHECK(Objects.get("a/1").error().m_Code == ErrorCode::NotFound);
    REQUIRE(Objects.put("a/1", "old").has_value());
    REQUIRE(Objects.put("a/1", Bytes).has_value());
    REQUIRE(Objects.put("a/2", "").has_value());
    REQUIRE(Objects.put("b", "x").has_value());
    CHECK(Objects.get("a/1").value() == Bytes);
    CHECK(Objects.get("a/2").value().empty());
    CHECK(Objects.list("a/", 100).value() ==
          std::vector<std::string>{"a/1", "a/2"});
    CHECK(Objects.list("a/", 1).value().size() == 1);
    REQUIRE(Objects.remove("a/1").has_value());
    REQUIRE(Objects.remove("a/1").has_value());
    CHECK(Objects.get("a/1").has_error());
  }
}

TEST_CASE("the list of VMs lags") {
  for (bool OverHttp : {false, true}) {
    CAPTURE(OverHttp);
    Fixture Under(OverHttp);
    Under.memory().setListLag(std::chrono::seconds(2));
    Under.memory().setVm(makeVm("vm1"));
    CHECK(Under.m_Vms->fetch().value().empty());
    Under.m_Clock.advance(std::chrono::seconds(2));
    CHECK(Under.m_Vms->fetch().value() == std::vector{makeVm("vm1")});
    Under.memory().removeVm("vm1");
    Under.m_Clock.advance(std::chrono::seconds(1));
    Under.memory().setVm(makeVm("vm2"));
    CHECK(Under.m_Vms->fetch().value() == std::vector{makeVm("vm1")});
    Under.m_Clock.advance(std::chrono::seconds(1));
    CHECK(Under.m_Vms->fetch().value().empty());
    Under.m_Clock.advance(std::chrono::seconds(1));
    CHECK(Under.m_Vms->fetch().value() == std::vector{makeVm("vm2")});
  }
}

TEST_CASE("while the platform is down nothing takes effect") {
  for (bool OverHttp : {false, true}) {
    CAPTURE(OverHttp);
    Fixture Under(OverHttp);
    Under.memory().setDown(true);
    const Write Insert[] = {{"a", 0, "1"}};
    CHECK(Under.m_Table->commit(Insert).error().m_Code ==
          ErrorCode::Unavailable);
    CHECK(Under.m_Table->read("a").error().m_Code == ErrorCode::Unavailable);
    CHECK(Under.m_Table->scan("", 1).error().m_Code == ErrorCode::Unavailable);
    CHECK(Under.m_Objects->put("a", "1").error().m_Code ==
          ErrorCode::Unavailable);
    CHECK(Under.m_Objects->get("a").error().m_Code == ErrorCode::Unavailable);
    CHECK(Under.m_Objects->remove("a").error().m_Code ==
          ErrorCode::Unavailable);
    CHECK(Under.m_Objects->list("", 1).error().m_Code ==
          ErrorCode::Unavailable);
    CHECK(Under.m_Vms->fetch().error().m_Code == ErrorCode::Unavailable);
    Under.memory().setDown(false);
    CHECK(Under.version("a") == 0);
    CHECK(Under.memory().get("a").error().m_Code == ErrorCode::NotFound);
  }
}

TEST_CASE("a write whose answer is lost takes effect once") {
  for (bool OverHttp : {false, true}) {
    CAPTURE(OverHttp);
    Fixture Under(OverHttp);
    // Leaves a kept connection, on which a library may be tempted to repeat.
    REQUIRE(Under.m_Table->read("a").has_value());
    Under.memory().loseAnswers(3);
    const Write Insert[] = {{"a", 0, "1"}};
    CHECK(Under.m_Table->commit(Insert).error().m_Code == ErrorCode::Unknown);
    CHECK(Under.m_Objects->put("b", "2").error().m_Code == ErrorCode::Unknown);
    CHECK(Under.m_Objects->remove("b").error().m_Code == ErrorCode::Unknown);
    CHECK(Under.version("a") == 1);
    CHECK(Under.memory().get("b").error().m_Code == ErrorCode::NotFound);
    CHECK(Under.memory().counters().m_Writes == 3);
    CHECK(Under.m_Table->commit(Insert).value() == CommitResult::Conflict);
  }
}

TEST_CASE("a gate sees each access and can refuse it") {
  Fixture Under(false);
  std::vector<MemoryStore::Access> Seen;
  Under.memory().setGate([&Seen](MemoryStore::Access Access) {
    Seen.push_back(Access);
    if (Seen.size() == 2)
      return Result<void>(fail(ErrorCode::Unavailable, "refused"));
    return Result<void>(boost::outcome_v2::success());
  });
  const Write Insert[] = {{"a", 0, "1"}};
  CHECK(Under.m_Table->read("a").has_value());
  CHECK(Under.m_Table->commit(Insert).error().m_Message == "refused");
  CHECK(Under.m_Table->commit(Insert).value() == CommitResult::Committed);
  using Access = MemoryStore::Access;
  CHECK(Seen == std::vector{Access::Read, Access::Write, Access::Write});
}

TEST_CASE("operations beyond the limits of rate are refused") {
  standins::PlatformServerOptions Options;
  Options.m_MaxWritesPerSecond = 10;
  Options.m_MaxReadsPerSecond = 10;
  Fixture Under(true, Options);
  CHECK(Under.m_Objects->put("a", "1").has_value());
  CHECK(Under.m_Objects->put("a", "2").error().m_Code ==
        ErrorCode::Unavailable);
  CHECK(Under.m_Objects->get("a").value() == "1");
  CHECK(Under.m_Objects->get("a").has_error());
  CHECK(Under.m_Server->throttled() == 2);
  Under.m_Clock.advance(std::chrono::milliseconds(100));
  CHECK(Under.m_Objects->put("a", "2").has_value());
}

TEST_CASE("a platform that cannot be reached is unavailable") {
  Address Gone;
  {
    Fixture Under(true);
    Gone = Under.m_Server->address();
  }
  const Write Insert[] = {{"a", 0, "1"}};
  CHECK(connectTable(Gone, Timeout)->commit(Insert).error().m_Code ==
        ErrorCode::Unavailable);
  CHECK(connectTable(Gone, Timeout)->read("a").error().m_Code ==
        ErrorCode::Unavailable);
  CHECK(connectObjectStore(Gone, Timeout)->put("a", "").error().m_Code ==
        ErrorCode::Unavailable);
  CHECK(connectVmList(Gone, Timeout)->fetch().error().m_Code ==
        ErrorCode::Unavailable);
}
