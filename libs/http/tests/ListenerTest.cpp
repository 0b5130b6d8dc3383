#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/http/Listener.h"
#include "RawSocket.h"
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::http;
using namespace hyssopcross::http::test;
using namespace std::chrono_literals;

namespace {

constexpr uint16_t Port = 18571;

/// A listener whose requests are kept until the test answers them.
struct Fixture {
  Fixture()
      : m_Listener(m_Loop, m_Clock, [this](std::shared_ptr<Exchange> Asked) {
          m_Asked.push_back(std::move(Asked));
        }) {
    REQUIRE(m_Listener.listen({"127.0.0.1", Port}));
    m_Peer.connect(Port);
  }

  bool waitForRequests(size_t Count) {
    return runUntil(m_Loop, [&] { return m_Asked.size() >= Count; });
  }

  bool waitForBytes(std::string_view Text) {
    return runUntil(m_Loop, [&] {
      return m_Peer.received().find(Text) != std::string::npos;
    });
  }

  SystemClock m_Clock;
  boost::asio::io_context m_Loop;
  std::vector<std::shared_ptr<Exchange>> m_Asked;
  Listener m_Listener;
  RawSocket m_Peer{m_Loop};
};

} // namespace

TEST_CASE("pipelined requests run side by side and are answered in order") {
  Fixture Test;
  Test.m_Peer.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                   "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"
                   "GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(Test.waitForRequests(3));
  CHECK(Test.m_Asked[1]->m_Request.body() == "xyz");
  Test.m_Asked[2]->answer(makeResponse(200, "third"));
  Test.m_Asked[1]->answer(makeResponse(200, "second"));
  CHECK_FALSE(runUntil(
      Test.m_Loop, [&] { return !Test.m_Peer.received().empty(); }, 50ms));
  Test.m_Asked[0]->answer(makeResponse(200, "first"));
  REQUIRE(Test.waitForBytes("third"));
  const std::string &All = Test.m_Peer.received();
  CHECK(All.find("first") < All.find("second"));
  CHECK(All.find("second") < All.find("third"));
}

TEST_CASE("a chunked body arrives whole") {
  Fixture Test;
  Test.m_Peer.send("POST /b HTTP/1.1\r\nHost: h\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  CHECK_FALSE(runUntil(
      Test.m_Loop, [&] { return !Test.m_Asked.empty(); }, 30ms));
  Test.m_Peer.send("2\r\nde\r\n0\r\n\r\n");
  REQUIRE(Test.waitForRequests(1));
  CHECK(Test.m_Asked[0]->m_Request.body() == "abcde");
}

TEST_CASE("what cannot be understood or is too large is refused") {
  struct Case {
    const char *m_Name;
    std::string m_Bytes;
    const char *m_Status;
  };
  const Case Cases[] = {
      {"no request", "what is this\r\n\r\n", " 400 "},
      {"two ways of framing",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       " 400 "},
      {"two lengths",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
       "Content-Length: 4\r\n\r\nabcd",
       " 400 "},
      {"a header without a name", "GET / HTTP/1.1\r\n: x\r\n\r\n", " 400 "},
      {"long headers",
       "GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n", " 431 "},
      {"a long body",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n",
       " 413 "},
      {"a long body that has begun",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\nabcd",
       " 413 "},
      {"a body that no memory holds",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
       "99999999999999\r\n\r\nabc",
       " 413 "},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    Fixture Test;
    Test.m_Peer.send(Each.m_Bytes);
    CHECK(Test.waitForBytes(Each.m_Status));
    CHECK(Test.m_Asked.empty());
    CHECK(runUntil(Test.m_Loop, [&] { return Test.m_Peer.isEnded(); }));
  }
}

TEST_CASE("a peer that leaves is noticed while its request runs") {
  for (bool Reset : {false, true}) {
    Fixture Test;
    Test.m_Peer.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(Test.waitForRequests(1));
    bool Gone = false;
    Test.m_Asked[0]->onPeerGone([&] { Gone = true; });
    if (Reset)
      Test.m_Peer.reset();
    else
      Test.m_Peer.close();
    CHECK(runUntil(Test.m_Loop, [&] { return Gone; }));
    Test.m_Asked[0]->answer(makeResponse(200, "late"));
    CHECK(Test.m_Listener.connectionCount() == 0);
  }
}

TEST_CASE("an answer that ends the connection leaves later requests unread") {
  Fixture Test;
  Test.m_Peer.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(Test.waitForRequests(1));
  Test.m_Listener.closeAfterAnswers();
  Test.m_Asked[0]->answer(makeResponse(200, "last"));
  REQUIRE(Test.waitForBytes("last"));
  CHECK(Test.m_Peer.received().find("Connection: close") != std::string::npos);
  CHECK(runUntil(Test.m_Loop, [&] { return Test.m_Peer.isEnded(); }));
}

TEST_CASE("idle connections close after their time, busy ones do not") {
  Fixture Test;
  ServerLimits Limits;
  Limits.m_IdleTimeout = 50ms;
  Test.m_Listener.setLimits(Limits);
  Test.m_Peer.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(Test.waitForRequests(1));
  runUntil(
      Test.m_Loop, [] { return false; }, 120ms);
  Test.m_Listener.sweep();
  CHECK(Test.m_Listener.connectionCount() == 1);
  Test.m_Asked[0]->answer(makeResponse(200, "ok"));
  REQUIRE(Test.waitForBytes("ok"));
  CHECK(runUntil(Test.m_Loop, [&] {
    Test.m_Listener.sweep();
    return Test.m_Listener.connectionCount() == 0;
  }));
}

TEST_CASE("headers that do not come to an end are refused as not run") {
  Fixture Test;
  ServerLimits Limits;
  Limits.m_HeaderTimeout = 30ms;
  Test.m_Listener.setLimits(Limits);
  Test.m_Peer.send("GET /a HTTP/1.1\r\nHost:");
  CHECK(runUntil(Test.m_Loop, [&] {
    Test.m_Listener.sweep();
    return Test.m_Peer.received().find(" 408 ") != std::string::npos;
  }));
}

TEST_CASE("a HEAD request is answered without the body") {
  Fixture Test;
  Test.m_Peer.send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n"
                   "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(Test.waitForRequests(2));
  Test.m_Asked[0]->answer(makeResponse(200, "unsent"));
  Test.m_Asked[1]->answer(makeResponse(200, "sent"));
  REQUIRE(Test.waitForBytes("\r\n\r\nsent"));
  CHECK(Test.m_Peer.received().find("unsent") == std::string::npos);
}

TEST_CASE("query parameters are decoded") {
  struct Case {
    const char *m_Target;
    const char *m_Value;
  };
  const Case Cases[] = {{"/p?Zone=a", "a"},
                        {"/p?x=1&Zone=a%2Fb", "a/b"},
                        {"/p?Zones=a&Zone=b", "b"},
                        {"/p?Zone", ""},
                        {"/p", ""},
                        {"/p?Zone=%zz", "%zz"}};
  for (const Case &Each : Cases)
    CHECK(queryParameter(Each.m_Target, "Zone") == Each.m_Value);
}

TEST_CASE("headers of one connection are not passed on") {
  Request Asked;
  Asked.set("Connection", "close, X-Hop");
  Asked.set("X-Hop", "1");
  Asked.set("Transfer-Encoding", "chunked");
  Asked.set("Keep-Alive", "timeout=5");
  Asked.set("X-End", "1");
  removeConnectionHeaders(Asked);
  CHECK(std::distance(Asked.begin(), Asked.end()) == 1);
  CHECK(headerOf(Asked, "X-End") == "1");
}
