#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/entry/Call.h"
#include "hyssopcross/protocol/Headers.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::entry;
using balancing::AttemptEnd;
using balancing::RefusalReason;
using protocol::Outcome;

namespace {

const WallTime Now{std::chrono::seconds(1000)};
constexpr Duration DefaultTimeout = std::chrono::seconds(2);

web::HttpRequest
request(std::string_view Target,
        std::vector<std::pair<std::string_view, std::string_view>> Headers) {
  web::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = Target;
  Request.m_Headers = std::move(Headers);
  return Request;
}

bool hasHeader(const CallerAnswer &Answer, const char *Name) {
  for (const auto &Header : Answer.m_Headers)
    if (Header.first == Name)
      return true;
  return false;
}

} // namespace

TEST_CASE("a path names the service and the target") {
  struct Row {
    const char *m_Path;
    const char *m_Service;
    const char *m_Target;
  };
  const Row Rows[] = {
      {"/call/boletas/history?watch=7", "boletas", "/history?watch=7"},
      {"/call/boletas", "boletas", "/"},
      {"/call/boletas/", "boletas", "/"},
      {"/call/boletas?x=1", "boletas", "/?x=1"}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Path);
    auto Call = parseCall(request(Case.m_Path, {}), Now, DefaultTimeout);
    REQUIRE(Call.has_value());
    CHECK(Call.value().m_Service == Case.m_Service);
    CHECK(Call.value().m_Target == Case.m_Target);
  }
}

TEST_CASE("the deadline is the earliest one given") {
  struct Row {
    const char *m_Name;
    const char *m_Value;
    Duration m_Left;
  };
  const Row Rows[] = {
      {"X-Nothing", "1", DefaultTimeout},
      {protocol::TimeoutHeader, "500", std::chrono::milliseconds(500)},
      {protocol::DeadlineHeader, "1000100000", std::chrono::milliseconds(100)},
      {protocol::DeadlineHeader, "9000000000", DefaultTimeout},
      {protocol::DeadlineHeader, "999000000", std::chrono::seconds(-1)},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Value);
    auto Call = parseCall(request("/call/a/b", {{Case.m_Name, Case.m_Value}}),
                          Now, DefaultTimeout);
    REQUIRE(Call.has_value());
    CHECK(Call.value().m_Deadline - Now == Case.m_Left);
  }
}

TEST_CASE("a malformed header is refused by name") {
  const std::string Long(201, 'k');
  struct Row {
    const char *m_Name;
    std::string m_Value;
  };
  const Row Rows[] = {{protocol::TimeoutHeader, "0"},
                      {protocol::TimeoutHeader, "soon"},
                      {protocol::TimeoutHeader, "3600001"},
                      {protocol::DeadlineHeader, "-5"},
                      {protocol::DepthHeader, "9"},
                      {protocol::DepthHeader, "0"},
                      {protocol::AttemptsHeader, "-1"},
                      {protocol::CorrelationHeader, "two words"},
                      {protocol::IdempotencyKeyHeader, Long}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Value);
    auto Call = parseCall(request("/call/a/b", {{Case.m_Name, Case.m_Value}}),
                          Now, DefaultTimeout);
    REQUIRE(Call.has_error());
    CHECK(Call.error().m_Code == ErrorCode::InvalidInput);
    CHECK(Call.error().m_Message.find(Case.m_Name) != std::string::npos);
  }
}

TEST_CASE("headers of one hop are not passed on") {
  auto Call = parseCall(request("/call/a/b", {{"Connection", "close"},
                                              {"content-length", "4"},
                                              {"X-Kept", "yes"}}),
                        Now, DefaultTimeout);
  REQUIRE(Call.has_value());
  REQUIRE(Call.value().m_Headers.size() == 1);
  CHECK(Call.value().m_Headers[0].first == "X-Kept");
}

TEST_CASE("an attempt's end decides outcome and status") {
  struct Row {
    AttemptEnd m_End;
    Outcome m_Outcome;
    unsigned m_Status;
    bool m_Late;
    bool m_RetryAfter;
  };
  const Row Rows[] = {
      {AttemptEnd::Completed, Outcome::Completed, 201, false, false},
      {AttemptEnd::Completed, Outcome::Completed, 201, true, false},
      {AttemptEnd::Shed, Outcome::NotRun, 503, false, true},
      {AttemptEnd::NotSent, Outcome::NotRun, 503, false, true},
      {AttemptEnd::NotSent, Outcome::NotRun, 504, true, true},
      {AttemptEnd::Broken, Outcome::Unknown, 502, false, false},
      {AttemptEnd::Broken, Outcome::Unknown, 504, true, false},
      {AttemptEnd::Cancelled, Outcome::Unknown, 502, false, false},
  };
  for (const Row &Case : Rows) {
    backend::ServerAnswer Answer;
    Answer.m_End = Case.m_End;
    Answer.m_Status = 201;
    CallerAnswer Told = answerAttempt(Answer, Case.m_Late);
    CAPTURE(Told.m_Status);
    CHECK(Told.m_Outcome == Case.m_Outcome);
    CHECK(Told.m_Status == Case.m_Status);
    CHECK(hasHeader(Told, protocol::RetryAfterHeader) == Case.m_RetryAfter);
  }
}

TEST_CASE("every refusal is not-run and says when to come back") {
  struct Row {
    RefusalReason m_Reason;
    unsigned m_Status;
  };
  const Row Rows[] = {{RefusalReason::Overloaded, 503},
                      {RefusalReason::OverLimit, 429},
                      {RefusalReason::NoServer, 503},
                      {RefusalReason::DeadlinePassed, 504},
                      {RefusalReason::OutOfService, 503}};
  for (const Row &Case : Rows) {
    CallerAnswer Told =
        answerRefusal({Case.m_Reason, std::chrono::milliseconds(1200)});
    CHECK(Told.m_Outcome == Outcome::NotRun);
    CHECK(Told.m_Status == Case.m_Status);
    CHECK(hasHeader(Told, protocol::RetryAfterHeader));
    CHECK(hasHeader(Told, protocol::RetryAfterMsHeader));
  }
}
