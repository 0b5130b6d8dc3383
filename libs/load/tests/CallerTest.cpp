#include "hyssopcross/load/Caller.h"
#include "hyssopcross/load/AddedLatency.h"
#include "hyssopcross/load/Comparison.h"
#include "hyssopcross/load/Run.h"
#include "hyssopcross/protocol/Headers.h"
#include "hyssopcross/protocol/Outcome.h"
#include "hyssopcross/standins/Answers.h"
#include "hyssopcross/standins/HttpServer.h"
#include <atomic>
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::load;
using catalogue::ServiceClass;
using standins::HttpServer;
using standins::ServerAnswer;
using standins::ServerRequest;

namespace {

/// What a scripted entry VM does with one call.
enum class Step { Complete, Refuse, SayUnknown, NoOutcome, Lose, Better };

ServerAnswer answerTrue(const ServerRequest &Request) {
  std::string_view Key = Request.m_Header(protocol::IdempotencyKeyHeader);
  std::string Target(Request.m_Target.substr(std::string("/call/s").size()));
  if (Target.starts_with("/deposits"))
    return standins::jsonAnswer(
        200,
        standins::moneyAnswer(
            "s", Key, standins::parseAmount(Request.m_Body).value(), "r1"));
  if (Target.starts_with("/photos"))
    return standins::jsonAnswer(
        200, standins::uploadAnswer("s", Key,
                                    protocol::contentDigest(Request.m_Body),
                                    Request.m_Body.size()));
  return standins::jsonAnswer(200, standins::lookupAnswer("s", Target));
}

/// An entry VM that names itself and the other, and follows a script.
struct ScriptedEntry {
  explicit ScriptedEntry(std::vector<Step> Script)
      : m_Script(std::move(Script)) {
    standins::HttpServerOptions Options;
    Options.m_Listen.m_Host = "127.0.0.1";
    m_Http = std::move(
        HttpServer::start(Options, [this](const ServerRequest &Request) {
          return serve(Request);
        }).value());
  }

  ServerAnswer serve(const ServerRequest &Request) {
    if (Request.m_Path == "/addresses") {
      ++m_Asked;
      return standins::jsonAnswer(
          200,
          R"({"service":"s","ttl_ms":60000,"addresses":[)" + m_Named + "]}");
    }
    Step Next = m_Script.at(std::min(m_Calls++, m_Script.size() - 1));
    ServerAnswer Answer = answerTrue(Request);
    Answer.m_Headers[protocol::CorrelationHeader] =
        Request.m_Header(protocol::CorrelationHeader);
    Answer.m_Headers[protocol::OutcomeHeader] = "completed";
    if (Next == Step::Refuse)
      Answer.m_Headers[protocol::OutcomeHeader] = "not-run";
    if (Next == Step::SayUnknown)
      Answer.m_Headers[protocol::OutcomeHeader] = "unknown";
    if (Next == Step::NoOutcome)
      Answer.m_Headers.erase(protocol::OutcomeHeader);
    if (Next == Step::Better)
      Answer.m_Headers[protocol::BetterAddressHeader] = m_Better;
    Answer.m_Lost = Next == Step::Lose;
    return Answer;
  }

  std::string address() const { return m_Http->address().toString(); }

  std::vector<Step> m_Script;
  std::atomic<size_t> m_Calls{0};
  std::atomic<int> m_Asked{0};
  std::string m_Named;
  std::string m_Better;
  std::unique_ptr<HttpServer> m_Http;
};

std::string nameAddresses(const std::vector<std::string> &Addresses) {
  std::string Text;
  for (const std::string &Address : Addresses)
    Text += (Text.empty() ? "" : ",") + ("{\"address\":\"" + Address) +
            "\",\"data_centre\":\"x\"}";
  return Text;
}

/// Two entry VMs; callers are told to use the first, then the second.
struct Fixture {
  Fixture(std::vector<Step> First, std::vector<Step> Second)
      : m_First(std::move(First)), m_Second(std::move(Second)),
        m_Book({m_First.m_Http->address(), m_Second.m_Http->address()},
               m_Client, m_Clock, 1),
        m_Caller({std::chrono::milliseconds(2000), true, "run"}, m_Book,
                 m_Client) {
    m_First.m_Named = m_Second.m_Named =
        nameAddresses({m_First.address(), m_Second.address()});
    m_First.m_Better = m_Second.address();
  }

  SystemClock m_Clock;
  httpclient::Client m_Client;
  ScriptedEntry m_First;
  ScriptedEntry m_Second;
  AddressBook m_Book;
  Caller m_Caller;
};

PlannedCall makeCall(ServiceClass Class) {
  PlannedCall Call;
  Call.m_Service = {"s", Class, 1};
  Call.m_DataCentre = "x";
  Call.m_Number = 42;
  Call.m_BodyBytes = 100;
  return Call;
}

} // namespace

TEST_CASE("a call goes elsewhere only where its class allows it") {
  struct Row {
    const char *m_What;
    ServiceClass m_Class;
    std::vector<Step> m_First;
    std::vector<Step> m_Second;
    std::vector<Told> m_Told;
  };
  constexpr auto Lookup = ServiceClass::Lookup;
  constexpr auto Money = ServiceClass::Money;
  constexpr auto Upload = ServiceClass::Upload;
  constexpr auto Completed = Told::Completed;
  constexpr auto NoAnswer = Told::NoAnswer;
  const Row Rows[] = {
      {"lookup", Lookup, {Step::Complete}, {Step::Lose}, {Completed}},
      {"money", Money, {Step::Complete}, {Step::Lose}, {Completed}},
      {"upload", Upload, {Step::Complete}, {Step::Lose}, {Completed}},
      {"lookup refused",
       Lookup,
       {Step::Refuse},
       {Step::Complete},
       {Told::NotRun}},
      {"lookup lost once",
       Lookup,
       {Step::Lose},
       {Step::Complete},
       {NoAnswer, Completed}},
      {"lookup lost twice",
       Lookup,
       {Step::Lose},
       {Step::Lose},
       {NoAnswer, NoAnswer}},
      {"no outcome",
       Lookup,
       {Step::NoOutcome},
       {Step::Complete},
       {Told::Unknown, Completed}},
      {"money lost",
       Money,
       {Step::Lose},
       {Step::Complete},
       {NoAnswer, Completed}},
      {"money unknown twice",
       Money,
       {Step::SayUnknown, Step::Complete},
       {Step::SayUnknown},
       {Told::Unknown, Told::Unknown, Completed}},
      {"money refused",
       Money,
       {Step::Refuse},
       {Step::Complete},
       {Told::NotRun}},
      {"upload lost",
       Upload,
       {Step::Lose},
       {Step::Complete},
       {NoAnswer, Completed}},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_What);
    Fixture Under(Case.m_First, Case.m_Second);
    CallRecord Record = Under.m_Caller.run(makeCall(Case.m_Class));
    std::vector<Told> Told;
    for (const AttemptRecord &Attempt : Record.m_Attempts) {
      Told.push_back(Attempt.m_Told);
      CHECK(Attempt.m_Flaw == "");
      CHECK(Attempt.m_Reason.empty() == (Attempt.m_Told == Completed));
    }
    CHECK(Told == Case.m_Told);
    if (Case.m_Class == Money && Told.back() == Completed)
      CHECK(Record.m_Attempts.back().m_Receipt == "r1");
  }
}

TEST_CASE("a caller follows a better address and keeps answers") {
  Fixture Under({Step::Better}, {Step::Complete});
  for (int I = 0; I < 3; ++I)
    Under.m_Caller.run(makeCall(ServiceClass::Lookup));
  CHECK(Under.m_First.m_Calls == 1);
  CHECK(Under.m_Second.m_Calls == 2);
  CHECK(Under.m_First.m_Asked + Under.m_Second.m_Asked == 1);
}

TEST_CASE("an entry VM that is gone costs a caller nothing but time") {
  Fixture Under({Step::Complete}, {Step::Complete});
  Under.m_First.m_Http.reset();
  CallRecord Record = Under.m_Caller.run(makeCall(ServiceClass::Money));
  CHECK(callOutcome(Record) == CallOutcome::Completed);
  CHECK(Under.m_Second.m_Calls == 1);
  Under.m_Second.m_Http.reset();
  Record = Under.m_Caller.run(makeCall(ServiceClass::Lookup));
  CHECK(callOutcome(Record) == CallOutcome::NotRun);
}

TEST_CASE("an address that failed is used again if no other is named") {
  Fixture Under({Step::Lose, Step::Complete}, {Step::Complete});
  Under.m_First.m_Named = Under.m_Second.m_Named =
      nameAddresses({Under.m_First.address()});
  CallRecord Record = Under.m_Caller.run(makeCall(ServiceClass::Lookup));
  CHECK(callOutcome(Record) == CallOutcome::Completed);
  CHECK(Under.m_First.m_Calls == 2);
}

TEST_CASE("answers that are not the request's own have a flaw") {
  PlannedCall Call = makeCall(ServiceClass::Upload);
  CallRequest Request = buildRequest(Call, "run");
  const std::string Body = standins::uploadAnswer(
      "s", Request.m_IdempotencyKey, Request.m_Digest, Request.m_Body.size());
  const std::string Digest = protocol::contentDigest(Body);
  struct Row {
    const char *m_What;
    long m_Status;
    std::string m_Correlation;
    std::string m_Digest;
    std::string m_Body;
    bool m_Flawed;
  };
  const Row Rows[] = {
      {"its own", 200, "c1", Digest, Body, false},
      {"without digest", 200, "c1", "", Body, false},
      {"another correlation id", 200, "c2", Digest, Body, true},
      {"no correlation id", 200, "", Digest, Body, true},
      {"shortened", 200, "c1", Digest, Body.substr(1), true},
      {"another body", 200, "c1", "", "{}", true},
      {"to be delivered later", 202, "c1", "", "{}", false},
      {"an error told completed", 500, "c1", "", "{}", true},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_What);
    httpclient::Response Answer;
    Answer.m_Status = static_cast<int>(Case.m_Status);
    Answer.m_Headers["hyssopcross-correlation-id"] = Case.m_Correlation;
    Answer.m_Headers["content-digest"] = Case.m_Digest;
    Answer.m_Body = Case.m_Body;
    CHECK(findFlaw(Call, Request, "c1", Answer).empty() != Case.m_Flawed);
  }
}

TEST_CASE("answers to the question for addresses are read or refused") {
  auto Answer = parseAddressAnswer(
      R"({"service":"s","addresses":[{"address":"a","data_centre":"x"}],)"
      R"("ttl_ms":5})");
  REQUIRE(Answer.has_value());
  CHECK(Answer.value().m_Addresses == std::vector<std::string>{"a"});
  CHECK(Answer.value().m_TimeToLive == std::chrono::milliseconds(5));
  for (const char *Text : {"", "{}", R"({"addresses":[{}],"ttl_ms":5})",
                           R"({"addresses":7,"ttl_ms":5})"})
    CHECK(parseAddressAnswer(Text).has_error());
}
