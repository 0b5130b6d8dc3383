#include "hyssopcross/load/Plan.h"
#include <doctest/doctest.h>
#include <map>

using namespace hyssopcross;
using namespace hyssopcross::load;
using catalogue::ServiceClass;

TEST_CASE("a list of services is read or refused with the reason") {
  struct Row {
    const char *m_Text;
    const char *m_Message;
  };
  const Row Rows[] = {
      {"a:lookup:1.5,b:money:2,c:upload:0.1", ""},
      {"", "no service is named"},
      {"a:lookup", "service \"a:lookup\" is not name:class:rate"},
      {"a:cat:1", "class \"cat\" is none of lookup, money, upload"},
      {"a:lookup:0", "rate \"0\" is not a number above zero"},
      {"a:lookup:-1", "rate \"-1\" is not a number above zero"},
      {"a:lookup:x", "rate \"x\" is not a number above zero"},
      {"a:lookup:nan", "rate \"nan\" is not a number above zero"},
      {"a:lookup:1,a:money:1", "service \"a\" is named twice"},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Text);
    auto Parsed = parseServices(Case.m_Text);
    REQUIRE(Parsed.has_value() == std::string_view(Case.m_Message).empty());
    if (!Parsed)
      CHECK(Parsed.error().m_Message == Case.m_Message);
  }
  CHECK(parseServices(Rows[0].m_Text).value()[1].m_Class ==
        ServiceClass::Money);
  CHECK(parseNames("", "--data_centres").error().m_Message ==
        "--data_centres is empty");
  CHECK(parseAddresses("127.0.0.1:1,x", "--entries").error().m_Message ==
        "--entries: address \"x\" has no port");
}

TEST_CASE("the same options give the same calls, at the rates asked for") {
  PlanOptions Options;
  Options.m_Services = {{"a", ServiceClass::Lookup, 500},
                        {"b", ServiceClass::Upload, 50}};
  Options.m_DataCentres = {"x", "y"};
  Options.m_Length = std::chrono::seconds(20);
  Options.m_UploadBytes = 100;
  Options.m_Seed = 7;
  auto Plan = drawPlan(Options);
  auto Again = drawPlan(Options);
  REQUIRE(Plan.size() == Again.size());
  std::map<std::string, int> Counts;
  Duration Last{};
  for (size_t I = 0; I < Plan.size(); ++I) {
    CHECK(Plan[I].m_Index == I);
    CHECK(Plan[I].m_Due == Again[I].m_Due);
    CHECK(Plan[I].m_Number == Again[I].m_Number);
    CHECK(Plan[I].m_Due >= Last);
    CHECK(Plan[I].m_Due < Options.m_Length);
    CHECK(Plan[I].m_BodyBytes >= 1);
    CHECK(Plan[I].m_BodyBytes <= 100);
    Last = Plan[I].m_Due;
    ++Counts[Plan[I].m_Service.m_Name];
    ++Counts[Plan[I].m_DataCentre];
  }
  // Five standard deviations around 10000, 1000 and half of 11000.
  CHECK(std::abs(Counts["a"] - 10000) < 500);
  CHECK(std::abs(Counts["b"] - 1000) < 160);
  CHECK(std::abs(Counts["x"] - 5500) < 400);
  Options.m_Seed = 8;
  CHECK(drawPlan(Options)[0].m_Due != Plan[0].m_Due);
}
