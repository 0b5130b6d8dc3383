#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/backend/Exchange.h"
#include "RawServer.h"
#include "hyssopcross/protocol/Outcome.h"
#include <doctest/doctest.h>
#include <future>

using namespace hyssopcross;
using namespace hyssopcross::backend;
using balancing::AttemptEnd;

namespace {

std::string answer(const std::string &Headers, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n" + Headers + "\r\n" + Body;
}

ServerRequest request(std::string_view Body, bool Idempotent) {
  ServerRequest Request;
  Request.m_Message = makeMessage(Body.empty() ? "GET" : "POST", "/x",
                                  "boletas", {}, "c1", Body);
  Request.m_CorrelationId = "c1";
  Request.m_Timeout = std::chrono::seconds(20);
  Request.m_Idempotent = Idempotent;
  return Request;
}

constexpr const char *Echo = "Hyssopcross-Correlation-Id: c1\r\n";

/// A sender with the loop that it lives on.
struct Sending {
  /// Sends a request and runs the loop until it has ended.
  ServerAnswer exchange(const std::string &Server, const ServerRequest &Asked) {
    std::optional<ServerAnswer> Ended;
    m_Sender.send(Server, Asked,
                  [&](ServerAnswer Answer) { Ended = std::move(Answer); });
    while (!Ended) {
      m_Loop.restart();
      m_Loop.run_one();
    }
    return std::move(*Ended);
  }

  SystemClock m_Clock;
  boost::asio::io_context m_Loop;
  Sender m_Sender{m_Loop, m_Clock};
};

} // namespace

TEST_CASE("an answer ends the exchange by what it is") {
  struct Row {
    const char *m_Name;
    std::string m_Bytes;
    AttemptEnd m_End;
  };
  const std::string Digest = protocol::contentDigest("body");
  const Row Rows[] = {
      {"whole", answer(Echo, "body"), AttemptEnd::Completed},
      {"whole with digest",
       answer(Echo + ("Content-Digest: " + Digest) + "\r\n", "body"),
       AttemptEnd::Completed},
      {"changed on the way",
       answer(Echo + ("Content-Digest: " + Digest) + "\r\n", "bodx"),
       AttemptEnd::Broken},
      {"crossed", answer("Hyssopcross-Correlation-Id: c2\r\n", "body"),
       AttemptEnd::Broken},
      {"a late answer before the whole one",
       answer("Hyssopcross-Correlation-Id: c2\r\n", "late") +
           answer(Echo, "body"),
       AttemptEnd::Completed},
      {"no correlation id", answer("", "body"), AttemptEnd::Broken},
      {"refused by contract",
       answer(Echo + std::string("Server-Refused: not-run\r\n"), ""),
       AttemptEnd::Shed},
      {"refusal that is crossed",
       answer("Hyssopcross-Correlation-Id: c2\r\nServer-Refused: not-run\r\n",
              ""),
       AttemptEnd::Broken},
      {"cut in the body",
       "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n" + std::string(Echo) +
           "\r\nshort",
       AttemptEnd::Broken},
      {"cut in the headers", "HTTP/1.1 200 OK\r\nContent-Le",
       AttemptEnd::Broken},
      {"no answer", "", AttemptEnd::Broken},
      {"oversized", answer(Echo, std::string((4U << 20U) + 1, 'x')),
       AttemptEnd::Broken},
  };
  for (const Row &Case : Rows) {
    CAPTURE(std::string(Case.m_Name));
    RawServer Server([&Case](int, const std::string &) {
      return RawServer::Reply{Case.m_Bytes, true};
    });
    Sending Used;
    ServerAnswer Answer =
        Used.exchange(Server.address(), request("deposit", false));
    CHECK(Answer.m_End == Case.m_End);
    CHECK(Server.requests() == 1);
    if (Case.m_End == AttemptEnd::Broken)
      CHECK(Used.m_Sender.open(Server.address()) == 0);
    if (Case.m_End == AttemptEnd::Completed)
      CHECK(Answer.m_Body == "body");
  }
}

TEST_CASE("a server that is not there is proof that nothing was sent") {
  std::string Address;
  {
    RawServer Gone([](int, const std::string &) { return RawServer::Reply{}; });
    Address = Gone.address();
  }
  for (const std::string &Server : {Address, std::string("no address")}) {
    CAPTURE(Server);
    Sending Used;
    CHECK(Used.exchange(Server, request("deposit", false)).m_End ==
          AttemptEnd::NotSent);
  }
}

TEST_CASE("only an idempotent request is repeated on a closed connection") {
  struct Row {
    const char *m_Body;
    bool m_Idempotent;
    AttemptEnd m_Second;
    int m_Requests;
  };
  const Row Rows[] = {
      // The server reads the second request and closes without an answer.
      {"", true, AttemptEnd::Completed, 3},
      {"deposit", true, AttemptEnd::Completed, 3},
      {"deposit", false, AttemptEnd::Broken, 2},
      {"", false, AttemptEnd::Broken, 2},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Body);
    CAPTURE(Case.m_Idempotent);
    RawServer Server([](int Count, const std::string &) {
      if (Count == 2)
        return RawServer::Reply{};
      return RawServer::Reply{answer(Echo, "body"), false};
    });
    Sending Used;
    REQUIRE(Used.exchange(Server.address(), request("first", true)).m_End ==
            AttemptEnd::Completed);
    ServerAnswer Second = Used.exchange(
        Server.address(), request(Case.m_Body, Case.m_Idempotent));
    CHECK(Second.m_End == Case.m_Second);
    CHECK(Server.requests() == Case.m_Requests);
  }
}

TEST_CASE("cancelling ends an exchange that runs and closes its connection") {
  std::promise<void> Arrived;
  std::promise<void> Cancelled;
  RawServer Server([&](int, const std::string &) {
    Arrived.set_value();
    Cancelled.get_future().wait();
    return RawServer::Reply{};
  });
  Sending Used;
  bool Ended = false;
  auto Running =
      Used.m_Sender.send(Server.address(), request("x", true),
                         [&](const ServerAnswer &) { Ended = true; });
  auto Seen = Arrived.get_future();
  while (Seen.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
    Used.m_Loop.run_one_for(std::chrono::milliseconds(10));
  CHECK(Used.m_Sender.open(Server.address()) == 1);
  Running->cancel();
  CHECK(Used.m_Sender.open(Server.address()) == 0);
  Used.m_Loop.run();
  CHECK_FALSE(Ended);
  Cancelled.set_value();
}

TEST_CASE("an exchange ends at its timeout as what may have happened") {
  std::promise<void> Release;
  auto Released = Release.get_future().share();
  RawServer Server([Released](int, const std::string &) {
    Released.wait();
    return RawServer::Reply{};
  });
  Sending Used;
  ServerRequest Asked = request("x", true);
  Asked.m_Timeout = std::chrono::milliseconds(50);
  CHECK(Used.exchange(Server.address(), Asked).m_End == AttemptEnd::Broken);
  CHECK(Used.m_Sender.open(Server.address()) == 0);
  Release.set_value();
}

TEST_CASE("a load report is read or refused") {
  struct Row {
    const char *m_Text;
    bool m_Valid;
  };
  const Row Rows[] = {{"in_flight=1;queued=2;draining=1;boot=b7", true},
                      {"in_flight=1", true},
                      {"", false},
                      {"in_flight", false},
                      {"in_flight=x", false}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Text);
    CHECK(parseLoadReport(Case.m_Text).has_value() == Case.m_Valid);
  }
  auto Report = parseLoadReport(Rows[0].m_Text);
  CHECK(Report->m_InFlight == 1);
  CHECK(Report->m_Queued == 2);
  CHECK(Report->m_Draining);
  CHECK(Report->m_BootId == "b7");
}

TEST_CASE("connections are kept up to the number asked for") {
  RawServer Server([](int, const std::string &) {
    return RawServer::Reply{answer(Echo, "body"), false};
  });
  Sending Used;
  Used.m_Sender.keep(Server.address(), 1);
  int Ended = 0;
  for (int I = 0; I < 2; ++I)
    Used.m_Sender.send(Server.address(), request("", true),
                       [&](const ServerAnswer &) { ++Ended; });
  CHECK(Used.m_Sender.open(Server.address()) == 2);
  while (Ended < 2)
    Used.m_Loop.run_one();
  CHECK(Used.m_Sender.open(Server.address()) == 1);
  Used.m_Sender.keep(Server.address(), 0);
  CHECK(Used.m_Sender.open(Server.address()) == 0);
}
