#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "RawServer.h"
#include "hyssopcross/backend/Connections.h"
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
  Request.m_Method = Body.empty() ? "GET" : "POST";
  Request.m_Target = "/x";
  Request.m_Body = Body;
  Request.m_CorrelationId = "c1";
  Request.m_Timeout = std::chrono::seconds(20);
  Request.m_Idempotent = Idempotent;
  Request.m_AnswerBytes = 100;
  return Request;
}

constexpr const char *Echo = "Hyssopcross-Correlation-Id: c1\r\n";

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
      {"oversized", answer(Echo, std::string(101, 'x')), AttemptEnd::Broken},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    RawServer Server([&Case](int, const std::string &) {
      return RawServer::Reply{Case.m_Bytes, true};
    });
    Channel Used(Server.address());
    ServerAnswer Answer = Used.exchange(request("deposit", false));
    CHECK(Answer.m_End == Case.m_End);
    CHECK(Server.requests() == 1);
    if (Case.m_End == AttemptEnd::Broken)
      CHECK_FALSE(Used.reusable());
  }
}

TEST_CASE("a server that is not there is proof that nothing was sent") {
  std::string Address;
  {
    RawServer Gone([](int, const std::string &) { return RawServer::Reply{}; });
    Address = Gone.address();
  }
  Channel Used(Address);
  CHECK(Used.exchange(request("deposit", false)).m_End == AttemptEnd::NotSent);
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
      // Without a body it goes on a connection of its own.
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
    Channel Used(Server.address());
    ServerRequest First = request("first", true);
    REQUIRE(Used.exchange(First).m_End == AttemptEnd::Completed);
    ServerAnswer Second =
        Used.exchange(request(Case.m_Body, Case.m_Idempotent));
    CHECK(Second.m_End == Case.m_Second);
    CHECK(Server.requests() == Case.m_Requests);
  }
}

TEST_CASE("cancelling ends an exchange that runs") {
  std::promise<void> Arrived;
  std::promise<void> Cancelled;
  RawServer Server([&](int, const std::string &) {
    Arrived.set_value();
    Cancelled.get_future().wait();
    return RawServer::Reply{};
  });
  Channel Used(Server.address());
  auto Ended = std::async(std::launch::async, [&Used] {
    return Used.exchange(request("x", true)).m_End;
  });
  Arrived.get_future().wait();
  Used.cancel();
  CHECK(Ended.get() == AttemptEnd::Cancelled);
  CHECK_FALSE(Used.reusable());
  Cancelled.set_value();
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
  Connections All;
  All.keep(Server.address(), 1);
  auto First = All.acquire(Server.address());
  auto Second = All.acquire(Server.address());
  CHECK(All.open(Server.address()) == 2);
  All.release(Server.address(), First);
  All.release(Server.address(), Second);
  CHECK(All.open(Server.address()) == 1);
  CHECK(All.acquire(Server.address()) == First);
}
