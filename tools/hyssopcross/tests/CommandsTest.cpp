#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "Commands.h"
#include "FakeTable.h"
#include "hyssopcross/admin/Admin.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::tool;

namespace {

constexpr const char *First = "services:\n"
                              "  - {name: caja, owner: ana, class: money}\n"
                              "data_centres:\n"
                              "  - {name: cusco, region: south}\n";

/// The operator's side of a system with one entry VM, without a network.
struct Bench final : Client {
  records::testing::FakeTable m_Table;
  ManualClock m_Clock;
  admin::AdminContext m_Context;
  bool m_InForce = true;
  int m_Unreachable = 0;
  std::map<std::string, std::string> m_Files{{"first", First}};
  std::optional<bool> m_Answer;
  std::string m_Out;
  std::string m_Err;
  Options m_With;

  Bench() {
    m_Context.m_Table = &m_Table;
    m_Context.m_Clock = &m_Clock;
    m_Context.m_Pause = [this](Duration For) { m_Clock.advance(For); };
    m_Context.m_Current = [] { return catalogue::CatalogueRef(); };
    m_Context.m_Accepted = [](const catalogue::CatalogueRef &) {};
    m_Context.m_InForce = [this](uint64_t Version) {
      catalogue::InForceStatus Status;
      Status.m_InForce = m_InForce;
      Status.m_Confirmed = {{"vm1", Version}};
      if (!m_InForce)
        Status.m_Missing = {{"vm2", Version - 1}};
      return Status;
    };
    m_Context.m_Status = [] { return std::string("{}"); };
    m_With.m_Yes = true;
  }

  Result<Response> send(std::string_view Method, std::string_view Path,
                        std::string_view Body) override {
    if (m_Unreachable-- > 0)
      return fail(ErrorCode::Unavailable, "connection refused");
    admin::AdminRequest Request{
        std::string(Method), std::string(Path), {}, std::string(Body)};
    size_t Mark = Path.find('?');
    if (Mark != std::string_view::npos) {
      std::string_view Query = Path.substr(Mark + 1);
      size_t Equals = Query.find('=');
      Request.m_Path = std::string(Path.substr(0, Mark));
      Request.m_Query[std::string(Query.substr(0, Equals))] =
          std::string(Query.substr(Equals + 1));
    }
    auto Answer = admin::handleAdmin(m_Context, Request);
    return Response{Answer.m_Status, Answer.m_Body};
  }

  int run(const std::vector<std::string> &Words) {
    m_Out.clear();
    m_Err.clear();
    Surroundings Around;
    Around.m_Client = this;
    Around.m_Clock = &m_Clock;
    Around.m_Pause = m_Context.m_Pause;
    Around.m_ReadFile = [this](const std::string &Path) -> Result<std::string> {
      if (!m_Files.contains(Path))
        return fail(ErrorCode::NotFound, Path + " cannot be read");
      return m_Files[Path];
    };
    Around.m_Ask = [this](std::string_view) { return m_Answer; };
    Around.m_Out = [this](std::string_view Text) { m_Out += Text; };
    Around.m_Err = [this](std::string_view Text) { m_Err += Text; };
    return runCommand(Around, m_With, Words);
  }
};

} // namespace

TEST_CASE("each command ends with its exit code") {
  struct Row {
    std::vector<std::string> m_Words;
    int m_Code;
    const char *m_Output;
  };
  const Row Rows[] = {
      {{}, BadUsage, "no command given"},
      {{"catalogue"}, BadUsage, "unknown command"},
      {{"catalogue", "apply"}, BadUsage, "wrong number of arguments"},
      {{"catalogue", "apply", "absent"}, BadUsage, "absent cannot be read"},
      {{"catalogue", "check", "first"}, Done, "1 services, 1 data centres"},
      {{"catalogue", "check", "bad"}, Refused, "bad: service number 1"},
      {{"catalogue", "show", "x"}, BadUsage, "must be a number"},
      {{"catalogue", "show", "9"}, Refused, "version 9 does not exist"},
      {{"catalogue", "show"}, Done, "owner: ana"},
      {{"catalogue", "apply", "first"}, Done, "nothing changes"},
      {{"catalogue", "history"}, Done, "added service caja"},
      {{"catalogue", "status"}, Done, "in force on 1 of 1 entry VMs"},
      {{"data-centre", "out", "lima"}, Refused, "not in the catalogue"},
      {{"data-centre", "away", "cusco"}, BadUsage, "neither out nor back"},
      {{"data-centre", "out", "cusco"}, Done, "accepted as version 2"},
      {{"vm", "out", "vm1"}, Done, "accepted as version 3"},
      {{"vm", "back", "vm1"}, Done, "accepted as version 4"},
      {{"status"}, Done, "{}"},
  };
  Bench On;
  On.m_Files["bad"] = "services: [{}]";
  REQUIRE(On.run({"catalogue", "apply", "first"}) == Done);
  for (const Row &Case : Rows) {
    int Code = On.run(Case.m_Words);
    CAPTURE(On.m_Out);
    CAPTURE(On.m_Err);
    CHECK(Code == Case.m_Code);
    CHECK((On.m_Out + On.m_Err).find(Case.m_Output) != std::string::npos);
  }
}

TEST_CASE("a diff is shown and the operator is asked") {
  struct Row {
    bool m_Yes;
    std::optional<bool> m_Answer;
    int m_Code;
  };
  const Row Rows[] = {{false, {}, BadUsage},
                      {false, false, Refused},
                      {false, true, Done},
                      {true, {}, Done}};
  for (const Row &Case : Rows) {
    Bench On;
    On.m_With.m_Yes = Case.m_Yes;
    On.m_Answer = Case.m_Answer;
    CHECK(On.run({"catalogue", "apply", "first"}) == Case.m_Code);
    CHECK(On.m_Out.find("+ service caja") != std::string::npos);
    CHECK(On.m_Table.m_Rows.empty() == (Case.m_Code != Done));
  }
}

TEST_CASE("a document names the version that it was made from") {
  Bench On;
  On.run({"catalogue", "apply", "first"});
  On.run({"catalogue", "show"});
  std::string Shown = On.m_Out;
  auto Edited = [&](const char *Owner) {
    std::string Text = Shown;
    return Text.replace(Text.find("ana"), 3, Owner);
  };
  On.m_Files["mine"] = Edited("eva");
  On.m_Files["other"] = Edited("leo");
  CHECK(On.run({"catalogue", "apply", "mine"}) == Done);
  CHECK(On.run({"catalogue", "apply", "other"}) == Refused);
  CHECK(On.m_Err.find("was changed by another") != std::string::npos);
}

TEST_CASE("a change is repeated under its id until its end is known") {
  struct Row {
    const char *m_Name;
    int m_Unreachable;
    std::optional<ErrorCode> m_Commits;
    bool m_InForce;
    int m_Code;
  };
  const Row Rows[] = {
      {"at once", 0, {}, true, Done},
      {"after two tries", 2, {}, true, Done},
      {"unreachable", 99, {}, true, Unreachable},
      {"answers lost", 0, ErrorCode::Unknown, true, Unreachable},
      {"slow to spread", 0, {}, false, NotInForce},
  };
  for (const Row &Case : Rows) {
    CAPTURE(std::string(Case.m_Name));
    Bench On;
    REQUIRE(On.run({"catalogue", "apply", "first"}) == Done);
    On.m_Unreachable = Case.m_Unreachable;
    On.m_Table.m_FailCommits = Case.m_Commits;
    On.m_InForce = Case.m_InForce;
    CHECK(On.run({"vm", "out", "vm1"}) == Case.m_Code);
    bool Hint = On.m_Err.find("--change_id=") != std::string::npos;
    CHECK(Hint == (Case.m_Code == Unreachable));
    bool Missing =
        On.m_Out.find("vm2 has version 1 (missing)") != std::string::npos;
    CHECK(Missing == !Case.m_InForce);
  }
}
