#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/standins/BackendServer.h"
#include "hyssopcross/httpclient/Client.h"
#include "hyssopcross/protocol/Headers.h"
#include "hyssopcross/protocol/Outcome.h"
#include "hyssopcross/standins/Answers.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::standins;
using catalogue::ServiceClass;
using httpclient::Header;
using httpclient::Response;

namespace {

/// A backend server without service time, and a client of it.
struct Fixture {
  explicit Fixture(BackendOptions Options) {
    Options.m_Http.m_Listen.m_Host = "127.0.0.1";
    Options.m_Service = "caja";
    Options.m_Boot = "boot1";
    auto Started = BackendServer::start(std::move(Options), m_Clock);
    REQUIRE(Started.has_value());
    m_Server = std::move(Started.value());
  }

  explicit Fixture(ServiceClass Class) : Fixture(ofClass(Class)) {}

  static BackendOptions ofClass(ServiceClass Class) {
    BackendOptions Options;
    Options.m_Class = Class;
    return Options;
  }

  Result<Response> send(const char *Method, const std::string &Target,
                        std::string_view Body = {},
                        std::vector<Header> Headers = {}) {
    httpclient::Request Request;
    Request.m_Method = Method;
    Request.m_Url = "http://" + m_Server->address().toString() + Target;
    Request.m_Headers = std::move(Headers);
    Request.m_Body = Body;
    return m_Client.send(Request);
  }

  std::vector<LedgerEntry> ledger() {
    return parseLedger(send("GET", "/ledger").value().m_Body).value();
  }

  SystemClock m_Clock;
  httpclient::Client m_Client;
  std::unique_ptr<BackendServer> m_Server;
};

constexpr const char *Correlation = protocol::CorrelationHeader;
constexpr const char *Key = protocol::IdempotencyKeyHeader;
constexpr const char *Digest = protocol::ContentDigestHeader;
constexpr const char *Deadline = protocol::DeadlineHeader;

} // namespace

TEST_CASE("a request is executed, or refused with proof that it was not") {
  struct Row {
    const char *m_What;
    ServiceClass m_Class;
    const char *m_Body;
    std::vector<Header> m_Headers;
    long m_Status;
  };
  const std::string Matching = protocol::contentDigest("{\"amount\":5}");
  const std::string Other = protocol::contentDigest("other");
  const std::string Future = "99999999999999999";
  const Row Rows[] = {
      {"lookup", ServiceClass::Lookup, "", {}, 200},
      {"in time", ServiceClass::Lookup, "", {{Deadline, Future}}, 200},
      {"too late", ServiceClass::Lookup, "", {{Deadline, "1"}}, 503},
      {"bad deadline", ServiceClass::Lookup, "", {{Deadline, "x"}}, 400},
      {"money", ServiceClass::Money, "{\"amount\":5}", {{Key, "k"}}, 200},
      {"money without key", ServiceClass::Money, "{\"amount\":5}", {}, 400},
      {"money of no amount", ServiceClass::Money, "{}", {{Key, "k"}}, 400},
      {"money too late",
       ServiceClass::Money,
       "{\"amount\":5}",
       {{Key, "k"}, {Deadline, "1"}},
       503},
      {"upload",
       ServiceClass::Upload,
       "{\"amount\":5}",
       {{Key, "k"}, {Digest, Matching}},
       200},
      {"upload without digest", ServiceClass::Upload, "a", {{Key, "k"}}, 200},
      {"upload of another body",
       ServiceClass::Upload,
       "{\"amount\":5}",
       {{Key, "k"}, {Digest, Other}},
       400},
      {"upload without key", ServiceClass::Upload, "a", {}, 400},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_What);
    Fixture Under(Case.m_Class);
    bool Get = Case.m_Class == ServiceClass::Lookup;
    std::vector<Header> Headers = Case.m_Headers;
    Headers.push_back({Correlation, "c1"});
    auto Answer =
        Under.send(Get ? "GET" : "POST", "/x?y=1", Case.m_Body, Headers);
    REQUIRE(Answer.has_value());
    const Response &Got = Answer.value();
    CHECK(Got.m_Status == Case.m_Status);
    CHECK(Got.header(Correlation) == "c1");
    CHECK(Got.header(Digest) == protocol::contentDigest(Got.m_Body));
    CHECK(Got.header(protocol::ServerLoadHeader) ==
          "in_flight=0;queued=0;draining=0;boot=boot1");
    bool Ran = Case.m_Status == 200;
    CHECK(Got.header(protocol::ServerRefusedHeader) == (Ran ? "" : "not-run"));
    auto Ledger = Under.ledger();
    REQUIRE(Ledger.size() == (Ran ? 1 : 0));
    if (!Ran)
      continue;
    CHECK(Ledger[0].m_Correlation == "c1");
    CHECK(Ledger[0].m_Target == "/x?y=1");
    CHECK(Ledger[0].m_Digest == protocol::contentDigest(Case.m_Body));
    CHECK(Ledger[0].m_Length == std::string_view(Case.m_Body).size());
    CHECK(Ledger[0].m_EndUs >= Ledger[0].m_StartUs);
    CHECK_FALSE(Ledger[0].m_Cancelled);
  }
}

TEST_CASE("each execution of money has a receipt of its own") {
  Fixture Under(ServiceClass::Money);
  std::string Body = moneyRequest(25);
  for (const char *Receipt : {"boot1-1", "boot1-2"}) {
    auto Answer = Under.send("POST", "/deposits", Body, {{Key, "k"}});
    REQUIRE(Answer.has_value());
    CHECK(Answer.value().m_Body == moneyAnswer("caja", "k", 25, Receipt));
    CHECK(parseReceipt(Answer.value().m_Body).value() == Receipt);
  }
}

TEST_CASE("faults of answers spoil as many as were asked for") {
  struct Row {
    const char *m_Control;
    bool m_Arrives;
    const char *m_Correlation;
  };
  const Row Rows[] = {{"/control/cut?count=1", false, ""},
                      {"/control/cross?count=1", true, "another-c1"},
                      {"/control/late?count=1&ms=1", true, "c1"}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Control);
    Fixture Under(ServiceClass::Lookup);
    REQUIRE(Under.send("POST", Case.m_Control).value().m_Status == 204);
    auto Spoilt = Under.send("GET", "/x", {}, {{Correlation, "c1"}});
    REQUIRE(Spoilt.has_value() == Case.m_Arrives);
    if (Case.m_Arrives)
      CHECK(Spoilt.value().header(Correlation) == Case.m_Correlation);
    auto Next = Under.send("GET", "/x", {}, {{Correlation, "c2"}});
    REQUIRE(Next.has_value());
    CHECK(Next.value().m_Body == lookupAnswer("caja", "/x"));
    CHECK(Under.ledger().size() == 2);
  }
}

TEST_CASE("a server that fails fast executes nothing and proves nothing") {
  Fixture Under(ServiceClass::Lookup);
  REQUIRE(Under.send("POST", "/control/fail?ms=600000").has_value());
  auto Answer = Under.send("GET", "/x");
  CHECK(Answer.value().m_Status == 500);
  CHECK(Answer.value().header(protocol::ServerRefusedHeader).empty());
  CHECK(Under.ledger().empty());
}

TEST_CASE("a draining server says so at once, but its health lags") {
  BackendOptions Options;
  Options.m_HealthLag = std::chrono::hours(1);
  Fixture Under(Options);
  REQUIRE(Under.send("POST", "/control/drain").value().m_Status == 204);
  auto Answer = Under.send("GET", "/x");
  CHECK(Answer.value().m_Status == 503);
  CHECK(Answer.value().header(protocol::ServerRefusedHeader) == "not-run");
  CHECK(Answer.value().header(protocol::ServerLoadHeader) ==
        "in_flight=0;queued=0;draining=1;boot=boot1");
  CHECK(Under.send("GET", "/health").value().m_Status == 200);
  Fixture Prompt(ServiceClass::Lookup);
  REQUIRE(Prompt.send("POST", "/control/drain").has_value());
  CHECK(Prompt.send("GET", "/health").value().m_Status == 503);
}

TEST_CASE("a client that goes away is noted in the ledger") {
  BackendOptions Options;
  Options.m_ServiceTime = std::chrono::seconds(30);
  Options.m_Times = ServiceTimes::Fixed;
  Fixture Under(Options);
  httpclient::Request Request;
  Request.m_Url = "http://" + Under.m_Server->address().toString() + "/x";
  Request.m_Timeout = std::chrono::seconds(1);
  CHECK(httpclient::Client().send(Request).has_error());
  auto Ledger = Under.ledger();
  TimePoint Until = Under.m_Clock.now() + std::chrono::seconds(20);
  while ((Ledger.empty() || Ledger[0].m_EndUs == 0) &&
         Under.m_Clock.now() < Until)
    Ledger = Under.ledger();
  REQUIRE(Ledger.size() == 1);
  CHECK(Ledger[0].m_Cancelled);
}

TEST_CASE("controls check their parameters") {
  Fixture Under(ServiceClass::Lookup);
  struct Row {
    const char *m_Method;
    const char *m_Target;
    int m_Status;
  };
  const Row Rows[] = {{"POST", "/control/slow?ms=5&factor=3", 204},
                      {"POST", "/control/cold?ms=1", 204},
                      {"POST", "/control/slow?ms=-5", 400},
                      {"POST", "/control/slow?ms=5x", 400},
                      {"POST", "/control/cut?count=99999999", 400},
                      {"POST", "/control/nothing", 404},
                      {"GET", "/control/drain", 404}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Target);
    CHECK(Under.send(Case.m_Method, Case.m_Target).value().m_Status ==
          Case.m_Status);
  }
}

TEST_CASE("a body beyond the limit is refused whole") {
  BackendOptions Options = Fixture::ofClass(ServiceClass::Upload);
  Options.m_Http.m_MaxBodyBytes = 1000;
  Fixture Under(Options);
  std::string Body(1001, 'x');
  CHECK(Under.send("POST", "/x", Body, {{Key, "k"}}).value().m_Status == 413);
  Body.pop_back();
  CHECK(Under.send("POST", "/x", Body, {{Key, "k"}}).value().m_Status == 200);
  CHECK(Under.ledger().size() == 1);
}
