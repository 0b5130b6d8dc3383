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

/// What parseCall makes of a request with these headers.
Result<IncomingCall> parsed(
    std::string_view Target,
    const std::vector<std::pair<std::string_view, std::string_view>> &Headers) {
  http::Request Request;
  Request.method_string("POST");
  Request.target(http::toBoost(Target));
  for (const auto &[Name, Value] : Headers)
    Request.insert(http::toBoost(Name), http::toBoost(Value));
  return parseCall(Request, Now, DefaultTimeout);
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
    auto Call = parsed(Case.m_Path, {});
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
    auto Call = parsed("/call/a/b", {{Case.m_Name, Case.m_Value}});
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
                      {protocol::HopsHeader, "9"},
                      {protocol::HandedOverHeader, "yes"},
                      {protocol::CorrelationHeader, "two words"},
                      {protocol::IdempotencyKeyHeader, Long}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Value);
    auto Call = parsed("/call/a/b", {{Case.m_Name, Case.m_Value}});
    REQUIRE(Call.has_error());
    CHECK(Call.error().m_Code == ErrorCode::InvalidInput);
    CHECK(Call.error().m_Message.find(Case.m_Name) != std::string::npos);
  }
}

TEST_CASE("headers of one hop are not passed on") {
  auto Call = parsed(
      "/call/a/b",
      {{"Connection", "close"}, {"content-length", "4"}, {"X-Kept", "yes"}});
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

TEST_CASE("a call that is sent on arrives as it was") {
  struct Row {
    const char *m_Target;
    std::string m_Body;
    bool m_HandedOver;
  };
  const Row Rows[] = {{"/history?watch=7", "", false},
                      {"/", std::string("\0\xff\r\n", 4), true}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Target);
    IncomingCall Sent;
    Sent.m_Service = "boletas";
    Sent.m_Method = Case.m_Body.empty() ? "GET" : "POST";
    Sent.m_Target = Case.m_Target;
    Sent.m_Body = Case.m_Body;
    Sent.m_Headers = {{"X-Kept", "yes"},
                      {protocol::IdempotencyKeyHeader, "k1"},
                      {protocol::ShareHeader, "taller-7"}};
    Sent.m_CorrelationId = "c1";
    Sent.m_TraceParent = "00-1-2-01";
    Sent.m_Deadline = Now + std::chrono::microseconds(123456);
    Sent.m_Attempts = 2;
    Sent.m_Depth = 3;
    Sent.m_Hops = 1;
    Sent.m_HandedOver = Case.m_HandedOver;
    http::Request Arrived = *forwardedRequest(Sent, {"boletas", "aqp-b"},
                                              Sent.m_Hops, Sent.m_TraceParent);
    auto Read = parseCall(Arrived, Now, DefaultTimeout);
    REQUIRE(Read.has_value());
    const IncomingCall &Got = Read.value();
    CHECK(Got.m_Service == Sent.m_Service);
    CHECK(Got.m_Method == Sent.m_Method);
    CHECK(Got.m_Target == Sent.m_Target);
    CHECK(Got.m_Body == Sent.m_Body);
    CHECK(Got.m_Headers == Sent.m_Headers);
    CHECK(Got.m_CorrelationId == Sent.m_CorrelationId);
    CHECK(Got.m_IdempotencyKey == "k1");
    CHECK(Got.m_ShareKey == "taller-7");
    CHECK(Got.m_TraceParent == Sent.m_TraceParent);
    CHECK(Got.m_Deadline == Sent.m_Deadline);
    CHECK(Got.m_Attempts == Sent.m_Attempts);
    CHECK(Got.m_Depth == Sent.m_Depth);
    CHECK(Got.m_Hops == Sent.m_Hops);
    CHECK(Got.m_HandedOver == Sent.m_HandedOver);
    CHECK(Got.m_PoolDataCentre == "aqp-b");
  }
}

TEST_CASE("an answer that another VM gave is read as it was given") {
  CallerAnswer Given = refusedAnswer(503, "overloaded", "No room.",
                                     std::chrono::milliseconds(1200));
  auto Read = readForwardedAnswer(toResponse(Given, "c1"));
  REQUIRE(Read.has_value());
  CHECK(Read.value().m_Outcome == Given.m_Outcome);
  CHECK(Read.value().m_Status == Given.m_Status);
  CHECK(Read.value().m_Headers == Given.m_Headers);
  CHECK(Read.value().m_Body == Given.m_Body);
  CHECK(readForwardedAnswer(http::makeResponse(200)).has_error());
}
