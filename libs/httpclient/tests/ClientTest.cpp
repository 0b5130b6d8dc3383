#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/httpclient/Client.h"
#include "hyssopcross/standins/HttpServer.h"
#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace hyssopcross;
using namespace hyssopcross::httpclient;
using standins::HttpServer;
using standins::ServerAnswer;
using standins::ServerRequest;

namespace {

std::unique_ptr<HttpServer> serve(HttpServer::Handler Handler) {
  standins::HttpServerOptions Options;
  Options.m_Listen.m_Host = "127.0.0.1";
  auto Server = HttpServer::start(Options, std::move(Handler));
  REQUIRE(Server.has_value());
  return std::move(Server.value());
}

Request post(const HttpServer &Server, std::string_view Body) {
  Request Post;
  Post.m_Method = "POST";
  Post.m_Url = "http://" + Server.address().toString() + "/x";
  Post.m_Body = Body;
  return Post;
}

} // namespace

TEST_CASE("a request and its answer arrive whole") {
  const std::string Bytes("\0\xff\r\n\r\n", 6);
  auto Server = serve([](const ServerRequest &Request) {
    ServerAnswer Answer;
    Answer.m_Status = 418;
    Answer.m_Headers["X-Method"] = std::string(Request.m_Method);
    Answer.m_Headers["X-Header"] = std::string(Request.m_Header("X-Sent"));
    Answer.m_Body = std::string(Request.m_Body);
    return Answer;
  });
  Client Client;
  Request Post = post(*Server, Bytes);
  Post.m_Headers = {{"X-Sent", "a b"}};
  auto Answer = Client.send(Post);
  REQUIRE(Answer.has_value());
  CHECK(Answer.value().m_Status == 418);
  CHECK(Answer.value().header("x-method") == "POST");
  CHECK(Answer.value().header("X-HEADER") == "a b");
  CHECK(Answer.value().header("X-None").empty());
  CHECK(Answer.value().m_Body == Bytes);
}

TEST_CASE("connections are kept") {
  auto Server = serve([](const ServerRequest &) { return ServerAnswer(); });
  Client Client;
  for (int I = 0; I < 5; ++I)
    REQUIRE(Client.send(post(*Server, "")).has_value());
  CHECK(Server->connectionsAccepted() == 1);
}

TEST_CASE("a request is sent a second time only where that is allowed") {
  struct Row {
    bool m_MayResend;
    int m_Arrived;
  };
  // The first request leaves a kept connection; the second one breaks it.
  const Row Rows[] = {{false, 2}, {true, 3}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_MayResend);
    std::atomic<int> Arrived{0};
    auto Server = serve([&Arrived](const ServerRequest &) {
      ServerAnswer Answer;
      Answer.m_Lost = ++Arrived == 2;
      return Answer;
    });
    Client Client;
    Request Post = post(*Server, "");
    Post.m_MayResend = Case.m_MayResend;
    REQUIRE(Client.send(Post).has_value());
    auto Second = Client.send(Post);
    CHECK(Second.has_value() == Case.m_MayResend);
    if (!Second)
      CHECK(Second.error().m_Code == ErrorCode::Unknown);
    CHECK(Arrived == Case.m_Arrived);
  }
}

TEST_CASE("nothing sent is told from an answer that did not arrive") {
  std::promise<void> Release;
  auto Released = Release.get_future().share();
  auto Server = serve([Released](const ServerRequest &Request) {
    ServerAnswer Answer;
    Answer.m_Body = std::string(64, 'x');
    Answer.m_Lost = Request.m_Body == "lose";
    Answer.m_Cut = Request.m_Body == "cut";
    if (Request.m_Body == "hang")
      Released.wait();
    return Answer;
  });
  auto Gone = serve([](const ServerRequest &) { return ServerAnswer(); });
  Request Refused = post(*Gone, "");
  Gone.reset();
  Client Client(1, 32);
  auto Nothing = Client.send(Refused);
  REQUIRE(Nothing.has_error());
  CHECK(Nothing.error().m_Code == ErrorCode::Unavailable);
  for (const char *Body : {"lose", "cut", "large", "hang"}) {
    CAPTURE(std::string(Body));
    Request Post = post(*Server, Body);
    Post.m_Timeout = std::chrono::milliseconds(200);
    auto Answer = Client.send(Post);
    REQUIRE(Answer.has_error());
    CHECK(Answer.error().m_Code == ErrorCode::Unknown);
  }
  Release.set_value();
}

TEST_CASE("threads share a client") {
  auto Server = serve([](const ServerRequest &Request) {
    ServerAnswer Answer;
    Answer.m_Body = std::string(Request.m_Body);
    return Answer;
  });
  Client Client(4);
  std::atomic<int> Matching{0};
  {
    std::vector<std::jthread> Threads;
    Threads.reserve(8);
    for (int T = 0; T < 8; ++T)
      Threads.emplace_back([&, T] {
        for (int I = 0; I < 20; ++I) {
          std::string Body = std::to_string(T * 100 + I);
          auto Answer = Client.send(post(*Server, Body));
          if (Answer && Answer.value().m_Body == Body)
            ++Matching;
        }
      });
  }
  CHECK(Matching == 160);
}

TEST_CASE("text is escaped for a URL") {
  struct Row {
    const char *m_Text;
    const char *m_Escaped;
  };
  const Row Rows[] = {{"", ""},
                      {"aZ09-._~", "aZ09-._~"},
                      {"a/b c&d=", "a%2Fb%20c%26d%3D"},
                      {"\xc3\xb1", "%C3%B1"}};
  for (const Row &Case : Rows)
    CHECK(escapeUrl(Case.m_Text) == Case.m_Escaped);
}
