#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/admin/Admin.h"
#include "FakeTable.h"
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace hyssopcross;
using namespace hyssopcross::admin;
using Json = nlohmann::json;

namespace {

constexpr const char *Document =
    R"({"services":[{"name":"caja","owner":"ana","class":"money"}],)"
    R"("data_centres":[{"name":"cusco","region":"south"}]})";

struct Bench {
  records::testing::FakeTable m_Table;
  ManualClock m_Clock;
  catalogue::CatalogueRef m_Current;
  AdminContext m_Context;

  Bench() {
    m_Context.m_Table = &m_Table;
    m_Context.m_Clock = &m_Clock;
    m_Context.m_Pause = [this](Duration For) { m_Clock.advance(For); };
    m_Context.m_Current = [this] { return m_Current; };
    m_Context.m_Accepted = [this](catalogue::CatalogueRef Accepted) {
      m_Current = std::move(Accepted);
    };
    m_Context.m_InForce = [](uint64_t Version) {
      return catalogue::InForceStatus{
          false, {{"vm1", Version}}, {{"vm2", Version - 1}}};
    };
    m_Context.m_Status = [] { return std::string("{\"members\":[]}"); };
  }
  AdminResponse ask(std::string Method, std::string Path, std::string Body = "",
                    std::map<std::string, std::string> Query = {}) {
    return handleAdmin(m_Context, {std::move(Method), std::move(Path),
                                   std::move(Query), std::move(Body)});
  }
  AdminResponse apply(const std::string &Id, uint64_t Base,
                      const std::string &Text = Document) {
    return ask("POST", "/admin/catalogue",
               R"({"change_id":")" + Id + R"(","base_version":)" +
                   std::to_string(Base) + R"(,"catalogue":)" + Text + "}");
  }
};

} // namespace

TEST_CASE("bad requests are refused with a stable code") {
  struct Row {
    const char *m_Method;
    const char *m_Path;
    std::string m_Body;
    uint16_t m_Status;
    std::string m_Code;
  };
  const Row Rows[] = {
      {"GET", "/admin/nothing", "", 404, "not-found"},
      {"DELETE", "/admin/catalogue", "", 405, "method-not-allowed"},
      {"GET", "/admin/vms/vm1/out", "", 405, "method-not-allowed"},
      {"POST", "/admin/vms/vm1/away", "", 404, "not-found"},
      {"POST", "/admin/vms/vm1/out", "", 400, "invalid-request"},
      {"POST", "/admin/vms/vm1/out", "[", 400, "invalid-request"},
      {"POST", "/admin/catalogue", "{}", 400, "invalid-request"},
      {"POST", "/admin/catalogue", R"({"base_version":0,"catalogue":3})", 400,
       "invalid-request"},
      {"POST", "/admin/catalogue",
       R"({"change_id":"c","base_version":0,"catalogue":{"services":[{}]}})",
       400, "invalid-document"},
      {"POST", "/admin/catalogue",
       R"({"change_id":"a b","base_version":0,"catalogue":{}})", 400,
       "invalid-request"},
      {"POST", "/admin/catalogue",
       R"({"change_id":"c","base_version":9,"catalogue":{}})", 400,
       "invalid-change"},
      {"POST", "/admin/data-centres/cusco/out", R"({"change_id":"c"})", 400,
       "invalid-change"},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Body);
    Bench On;
    AdminResponse Response = On.ask(Case.m_Method, Case.m_Path, Case.m_Body);
    CHECK(Response.m_Status == Case.m_Status);
    CHECK(Json::parse(Response.m_Body).at("code") == Case.m_Code);
  }
}

TEST_CASE("a change is accepted once under its id, and shown") {
  Bench On;
  CHECK(Json::parse(On.ask("GET", "/admin/catalogue").m_Body)["version"] == 0);
  AdminResponse First = On.apply("c1", 0);
  CHECK(First.m_Status == 200);
  CHECK(On.m_Current->m_Version == 1);
  CHECK(On.apply("c1", 0).m_Body == First.m_Body);
  CHECK(On.ask("POST", "/admin/data-centres/cusco/out",
               R"({"change_id":"c2","author":"ana"})")
            .m_Status == 200);
  CHECK(On.ask("POST", "/admin/vms/vm1/out", "", {{"change_id", "c3"}})
            .m_Status == 200);
  CHECK(On.m_Current->m_Version == 3);
  CHECK_FALSE(On.m_Current->m_DataCentres.at("cusco").m_InService);
  Json Shown = Json::parse(On.ask("GET", "/admin/catalogue").m_Body);
  CHECK(Shown["catalogue"]["vms_out"][0] == "vm1");
  Json History = Json::parse(
      On.ask("GET", "/admin/catalogue/history", "", {{"limit", "2"}})
          .m_Body)["versions"];
  REQUIRE(History.size() == 2);
  CHECK(History[1]["author"] == "ana");
  CHECK(History[1]["changes"][0]["name"] == "cusco");
  Json Status = Json::parse(On.ask("GET", "/admin/catalogue/status").m_Body);
  CHECK(Status["version"] == 3);
  CHECK(Status["vms_missing"][0]["vm"] == "vm2");
  CHECK(On.ask("GET", "/admin/status").m_Body == "{\"members\":[]}\n");
}

TEST_CASE("a change to the same entry conflicts with the current version") {
  Bench On;
  On.apply("c1", 0);
  std::string Mine(Document);
  Mine.replace(Mine.find("ana"), 3, "eva");
  std::string Other(Document);
  Other.replace(Other.find("ana"), 3, "leo");
  CHECK(On.apply("c2", 1, Mine).m_Status == 200);
  AdminResponse Response = On.apply("c3", 1, Other);
  CHECK(Response.m_Status == 409);
  CHECK(Json::parse(Response.m_Body)["current_version"] == 2);
}

TEST_CASE("a store that fails is told honestly") {
  struct Row {
    const char *m_Name;
    std::optional<ErrorCode> m_Reads;
    std::optional<ErrorCode> m_Commits;
    bool m_Applied;
    uint16_t m_Status;
  };
  const Row Rows[] = {
      {"down", ErrorCode::Unavailable, {}, false, 503},
      {"commits refused", {}, ErrorCode::Unavailable, false, 503},
      {"answers lost, nothing written", {}, ErrorCode::Unknown, false, 504},
      {"answer lost, but written", {}, ErrorCode::Unknown, true, 200},
  };
  for (const Row &Case : Rows) {
    CAPTURE(std::string(Case.m_Name));
    Bench On;
    On.m_Table.m_FailReads = Case.m_Reads;
    On.m_Table.m_FailCommits = Case.m_Commits;
    On.m_Table.m_ApplyFailed = Case.m_Applied;
    CHECK(On.apply("c1", 0).m_Status == Case.m_Status);
  }
  Bench On;
  On.apply("c1", 0);
  On.m_Table.m_FailReads = ErrorCode::Unavailable;
  Json Shown = Json::parse(On.ask("GET", "/admin/catalogue").m_Body);
  CHECK(Shown["confirmed"] == false);
  CHECK(On.ask("GET", "/admin/catalogue/history").m_Status == 503);
}

TEST_CASE("old versions are removed as new ones come") {
  Bench On;
  On.m_Context.m_KeepVersions = 3;
  On.apply("c1", 0);
  for (int I = 0; I < 10; ++I)
    On.ask("POST", I % 2 ? "/admin/vms/vm1/back" : "/admin/vms/vm1/out", "",
           {{"change_id", "v" + std::to_string(I)}});
  // Three versions, their change rows and the head row.
  CHECK(On.m_Table.m_Rows.size() == 7);
}
