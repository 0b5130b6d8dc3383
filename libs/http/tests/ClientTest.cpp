#include "hyssopcross/http/Client.h"
#include "RawSocket.h"
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <random>
#include <thread>

using namespace hyssopcross;
using namespace hyssopcross::http;
using namespace hyssopcross::http::test;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  explicit Fixture(ClientPolicy Policy = ClientPolicy())
      : m_Client(m_Loop, m_Clock, Policy) {}

  void ask(const std::string &Id, std::string Body = {}) {
    auto Asked =
        std::make_shared<Request>(Body.empty() ? boost::beast::http::verb::get
                                               : boost::beast::http::verb::post,
                                  "/" + Id, 11);
    Asked->set("Id", Id);
    Asked->body() = std::move(Body);
    Asked->prepare_payload();
    m_Result.reset();
    m_Call = m_Client.send(
        {"127.0.0.1", m_Server.port()}, Asked, 60s,
        [Id](const Response &Answer) { return headerOf(Answer, "Id") == Id; },
        [this](ExchangeResult Ended) { m_Result = std::move(Ended); });
  }

  /// The next connection of the client, once it has sent a request.
  std::unique_ptr<RawSocket> serve() {
    std::unique_ptr<RawSocket> Made = m_Server.acceptRequest();
    REQUIRE(Made != nullptr);
    return Made;
  }

  bool waitForResult() {
    return runUntil(m_Loop, [&] { return m_Result.has_value(); });
  }

  SystemClock m_Clock;
  boost::asio::io_context m_Loop;
  RawServer m_Server{m_Loop};
  Client m_Client;
  std::shared_ptr<ClientCall> m_Call;
  std::optional<ExchangeResult> m_Result;
};

const std::string Good =
    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("an exchange ends as what it was") {
  enum class Then { Keep, Close, Reset };
  struct Case {
    const char *m_Name;
    std::string m_Bytes;
    Then m_Then;
    ExchangeEnd m_End;
    const char *m_Body;
  };
  const Case Cases[] = {
      {"whole", Good, Then::Keep, ExchangeEnd::Answered, "ok"},
      {"cut body", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nok",
       Then::Close, ExchangeEnd::Broken, ""},
      {"cut headers", "HTTP/1.1 200 OK\r\nId:", Then::Close,
       ExchangeEnd::Broken, ""},
      {"cut first line", "HTTP/1.1 2", Then::Close, ExchangeEnd::Broken, ""},
      {"cut after the first line", "HTTP/1.1 200 OK\r\n", Then::Close,
       ExchangeEnd::Broken, ""},
      {"cut between two headers", "HTTP/1.1 200 OK\r\nId: a\r\n", Then::Close,
       ExchangeEnd::Broken, ""},
      {"cut before the blank line",
       "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r", Then::Close,
       ExchangeEnd::Broken, ""},
      {"cut in a length", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1",
       Then::Close, ExchangeEnd::Broken, ""},
      {"cut between head and body",
       "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\n", Then::Close,
       ExchangeEnd::Broken, ""},
      {"cut in a chunk's head",
       "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2",
       Then::Close, ExchangeEnd::Broken, ""},
      {"cut before the first chunk",
       "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
       Then::Close, ExchangeEnd::Broken, ""},
      {"cut in the last chunk",
       "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked"
       "\r\n\r\n2\r\nok\r\n0\r\n",
       Then::Close, ExchangeEnd::Broken, ""},
      {"nothing", "", Then::Close, ExchangeEnd::Broken, ""},
      {"reset", "", Then::Reset, ExchangeEnd::Broken, ""},
      {"no answer at all", "\x01\x02garbage\r\n\r\n", Then::Keep,
       ExchangeEnd::Malformed, ""},
      {"no length, orderly end", "HTTP/1.1 200 OK\r\nId: a\r\n\r\nbody",
       Then::Close, ExchangeEnd::Answered, "body"},
      {"no length, reset", "HTTP/1.1 200 OK\r\nId: a\r\n\r\nbody", Then::Reset,
       ExchangeEnd::Broken, ""},
      {"a body whose lines begin with a blank",
       "HTTP/1.1 200 OK\r\nId: a\r\n\r\n a\r\n b", Then::Close,
       ExchangeEnd::Answered, " a\r\n b"},
      {"another request's answer first",
       "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 1\r\n\r\nz" + Good,
       Then::Keep, ExchangeEnd::Answered, "ok"},
      {"an interim answer first", "HTTP/1.1 100 Continue\r\n\r\n" + Good,
       Then::Keep, ExchangeEnd::Answered, "ok"},
      {"chunks",
       "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked"
       "\r\n\r\n2\r\nok\r\n0\r\n\r\n",
       Then::Keep, ExchangeEnd::Answered, "ok"},
      {"cut chunks",
       "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked"
       "\r\n\r\n2\r\nok\r\n",
       Then::Close, ExchangeEnd::Broken, ""},
      {"a length beyond the limit, with the first bytes of the body",
       "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 33554433\r\n\r\nok",
       Then::Keep, ExchangeEnd::Malformed, ""},
      {"a length that no memory holds, with the first bytes of the body",
       "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 99999999999999\r\n\r\nok",
       Then::Keep, ExchangeEnd::Malformed, ""},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    Fixture Test;
    Test.ask("a");
    auto Peer = Test.serve();
    Peer->send(Each.m_Bytes);
    if (Each.m_Then == Then::Close)
      Peer->close();
    if (Each.m_Then == Then::Reset) {
      // Let the bytes arrive before the reset discards them.
      runUntil(
          Test.m_Loop, [] { return false; }, 20ms);
      Peer->reset();
    }
    REQUIRE(Test.waitForResult());
    CHECK(Test.m_Result->m_End == Each.m_End);
    CHECK(Test.m_Result->m_ClosedByServer ==
          (Each.m_End == ExchangeEnd::Broken));
    if (Each.m_End == ExchangeEnd::Answered)
      CHECK(Test.m_Result->m_Answer.body() == Each.m_Body);
  }
}

// Guards against a truncated answer that is taken for a whole one because the
// write of the request, not the read of the answer, got the connection's error.
TEST_CASE("an answer that arrives during an upload is whole or broken") {
  enum class Then { End, EndAndRead, EndAndReset, Reset, StopReading };
  const std::string Head = "HTTP/1.1 200 OK\r\nId: a\r\n";
  struct Case {
    const char *m_Name;
    std::string m_Bytes;
    Then m_Then;
    ExchangeEnd m_End;
    const char *m_Body;
    bool m_ClosedByServer;
  };
  const Case Cases[] = {
      {"no length, reset", Head + "\r\npart", Then::Reset, ExchangeEnd::Broken,
       "", true},
      {"no length, reset before the body", Head + "\r\n", Then::Reset,
       ExchangeEnd::Broken, "", true},
      {"no length, nothing read nor sent any more", Head + "\r\npart",
       Then::StopReading, ExchangeEnd::Broken, "", false},
      {"cut head, reset", Head, Then::Reset, ExchangeEnd::Broken, "", true},
      {"cut body, reset", Head + "Content-Length: 9\r\n\r\npart", Then::Reset,
       ExchangeEnd::Broken, "", true},
      {"cut chunks, reset",
       Head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", Then::Reset,
       ExchangeEnd::Broken, "", true},
      // As when a server closes after it has read everything received so far.
      {"no length, end, then reset", Head + "\r\npart", Then::EndAndReset,
       ExchangeEnd::Broken, "", true},
      {"no length, end, the rest of the request is read", Head + "\r\nbody",
       Then::EndAndRead, ExchangeEnd::Answered, "body", false},
      {"no length, end, the rest of the request is not read", Head + "\r\nbody",
       Then::End, ExchangeEnd::Answered, "body", false},
      {"whole by its length, then reset",
       Head + "Content-Length: 4\r\n\r\nbody", Then::Reset,
       ExchangeEnd::Answered, "body", false},
      {"whole by its chunks, then reset",
       Head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
       Then::Reset, ExchangeEnd::Answered, "body", false},
  };
  // More than the kernel holds on both sides.
  constexpr size_t UploadBytes = 32ULL << 20;
  ClientPolicy Policy;
  Policy.m_SilenceTimeout = 300ms;
  for (const Case &Each : Cases)
    // Whether the client reads what has come before each next step.
    for (bool IsReadBefore : {false, true}) {
      CAPTURE(std::string(Each.m_Name));
      CAPTURE(IsReadBefore);
      Fixture Test(Policy);
      Test.ask("a", std::string(UploadBytes, 'x'));
      auto Peer = Test.serve();
      Peer->send(Each.m_Bytes);
      if (IsReadBefore)
        runUntil(
            Test.m_Loop, [] { return false; }, 20ms);
      if (Each.m_Then == Then::Reset) {
        Peer->reset();
      } else if (Each.m_Then != Then::StopReading) {
        Peer->m_Socket.shutdown(tcp::socket::shutdown_send);
        if (IsReadBefore)
          runUntil(
              Test.m_Loop, [] { return false; }, 20ms);
        if (Each.m_Then == Then::EndAndReset)
          Peer->reset();
      }
      REQUIRE(runUntil(Test.m_Loop, [&] {
        if (Each.m_Then == Then::EndAndRead)
          Peer->received();
        return Test.m_Result.has_value();
      }));
      CHECK(std::string(exchangeEndName(Test.m_Result->m_End)) ==
            std::string(exchangeEndName(Each.m_End)));
      CHECK(Test.m_Result->m_ClosedByServer == Each.m_ClosedByServer);
      CHECK(Test.m_Result->m_Answer.body() == Each.m_Body);
    }
}

// The server runs on its own thread, so that the reset can come at any point of
// the client's writes and reads.
TEST_CASE(
    "a reset during an upload breaks an answer without a length at any time") {
  constexpr uint32_t Seeds = 50;
  for (uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Random(Seed);
    size_t UploadBytes = size_t(1) << (16 + Random() % 10);
    std::string Part(Random() % 20000, 'y');
    std::chrono::microseconds Pause(Random() % 3000);
    bool ReadsOn = Random() % 2 == 0;
    Fixture Test;
    Test.ask("a", std::string(UploadBytes, 'x'));
    std::thread Server([&] {
      std::unique_ptr<RawSocket> Peer;
      while (!Peer || Peer->received().find("\r\n\r\n") == std::string::npos) {
        if (!Peer)
          Peer = Test.m_Server.accept();
        std::this_thread::yield();
      }
      Peer->send("HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + Part);
      auto End = std::chrono::steady_clock::now() + Pause;
      while (std::chrono::steady_clock::now() < End) {
        if (ReadsOn)
          Peer->received();
        std::this_thread::yield();
      }
      Peer->reset();
    });
    bool HasEnded = Test.waitForResult();
    Server.join();
    REQUIRE(HasEnded);
    CHECK(Test.m_Result->m_End == ExchangeEnd::Broken);
    CHECK(Test.m_Result->m_ClosedByServer);
  }
}

TEST_CASE("an answer with a malformed head is rejected") {
  struct Case {
    const char *m_Name;
    std::string m_Head;
  };
  const std::string Head = "HTTP/1.1 200 OK\r\nId: a\r\n";
  const Case Cases[] = {
      {"status of two digits", "HTTP/1.1 20 OK\r\nId: a\r\n"},
      {"status of four digits", "HTTP/1.1 2000 OK\r\nId: a\r\n"},
      {"a blank in a name", Head + "Na me: value\r\n"},
      {"a blank after a name", Head + "Name : value\r\n"},
      {"a blank before a name", Head + " Name: value\r\n"},
      {"a tab before a name", Head + "\tName: value\r\n"},
      {"a blank before the first name",
       "HTTP/1.1 200 OK\r\n Name: value\r\nId: a\r\n"},
      {"a blank line before a name", Head + " \r\nName: value\r\n"},
      {"a tab in a name", Head + "Na\tme: value\r\n"},
      {"a null byte in a name",
       Head + "Na" + std::string(1, '\0') + "me: value\r\n"},
      {"an escape in a name", Head + "Na\x1bme: value\r\n"},
      {"a deleted byte in a name", Head + "Na\x7fme: value\r\n"},
      {"a line feed in a name", Head + "Na\nme: value\r\n"},
      {"a carriage return in a name", Head + "Na\rme: value\r\n"},
      {"a byte beyond ASCII in a name", Head + "Na\xe9me: value\r\n"},
      {"no name", Head + ": value\r\n"},
      {"no colon", Head + "Name\r\n"},
      {"a blank after the name of the length", Head + "Content-Length : 2\r\n"},
      {"a blank before the name of the length",
       Head + " Content-Length: 2\r\n"},
      {"a blank after the name of the coding",
       Head + "Transfer-Encoding : chunked\r\n"},
  };
  for (const Case &Each : Cases)
    for (const char *Framing :
         {"", "Content-Length: 2\r\n", "Connection: close\r\n"})
      for (bool IsInPieces : {false, true})
        for (bool Closes : {false, true}) {
          CAPTURE(std::string(Each.m_Name));
          CAPTURE(std::string(Framing));
          CAPTURE(IsInPieces);
          CAPTURE(Closes);
          Fixture Test;
          Test.ask("a");
          auto Peer = Test.serve();
          std::string Bytes = Each.m_Head + Framing + "\r\nok";
          size_t PieceBytes = IsInPieces ? 1 : Bytes.size();
          for (size_t I = 0; I < Bytes.size() && !Test.m_Result;
               I += PieceBytes) {
            Peer->send(Bytes.substr(I, PieceBytes));
            Test.m_Loop.restart();
            Test.m_Loop.poll();
          }
          if (Closes)
            Peer->close();
          bool HasEnded = runUntil(
              Test.m_Loop, [&] { return Test.m_Result.has_value(); }, 500ms);
          CHECK(HasEnded);
          if (!HasEnded)
            continue;
          CHECK(std::string(exchangeEndName(Test.m_Result->m_End)) ==
                std::string(exchangeEndName(ExchangeEnd::Malformed)));
          CHECK(Test.m_Result->m_Answer.body().empty());
        }
}

TEST_CASE("an answer with a status below 100 is not passed on") {
  for (const char *Line : {"HTTP/1.1 000 \r\n", "HTTP/1.1 000 Unknown\r\n",
                           "HTTP/1.1 099 Odd\r\n"})
    for (const char *Framing :
         {"", "Content-Length: 2\r\n", "Connection: close\r\n"})
      for (bool Closes : {false, true}) {
        CAPTURE(std::string(Line));
        CAPTURE(std::string(Framing));
        CAPTURE(Closes);
        Fixture Test;
        Test.ask("a");
        auto Peer = Test.serve();
        Peer->send(Line + std::string("Id: a\r\n") + Framing + "\r\nok");
        if (Closes)
          Peer->close();
        runUntil(
            Test.m_Loop, [&] { return Test.m_Result.has_value(); }, 200ms);
        if (Test.m_Result)
          CHECK(Test.m_Result->m_End != ExchangeEnd::Answered);
      }
}

TEST_CASE("bytes that come without end are not kept") {
  struct Case {
    const char *m_Name;
    std::string m_Head;
    /// Sent again and again until the client closes.
    std::string m_Endless;
  };
  const std::string Good200 = "HTTP/1.1 200 OK\r\nId: a\r\n";
  const std::string Block(16384, 'x');
  const Case Cases[] = {
      {"a head without a line's end", "", Block},
      {"a status line without end", "HTTP/1.1 200 ", Block},
      {"a header without end", Good200 + "Field: ", Block},
      {"headers without end", Good200, "Field: value\r\n"},
      {"a body that ends with its connection", Good200 + "\r\n", Block},
      {"chunks without end", Good200 + "Transfer-Encoding: chunked\r\n\r\n",
       "4000\r\n" + Block + "\r\n"},
      {"a chunk's extension without end",
       Good200 + "Transfer-Encoding: chunked\r\n\r\n4;", Block},
      {"trailers without end",
       Good200 + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n"},
      {"a chunk of a length that no memory holds",
       Good200 + "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", Block},
      {"interim answers without end", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"answers to other requests without end", "",
       "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 2\r\n\r\nzz"},
  };
  // Beside what may be held, what the kernel holds on both sides.
  constexpr uint64_t HeldBytes = 1ULL << 20;
  constexpr uint64_t KernelBytes = 16ULL << 20;
  ClientPolicy OneAnswer;
  OneAnswer.m_AnswerBytes = HeldBytes;
  ClientPolicy AllAnswers;
  AllAnswers.m_HeldBytes = HeldBytes;
  for (const ClientPolicy &Policy : {OneAnswer, AllAnswers})
    for (const Case &Each : Cases) {
      CAPTURE(std::string(Each.m_Name));
      CAPTURE(Policy.m_HeldBytes);
      Fixture Test(Policy);
      Test.ask("a");
      auto Peer = Test.serve();
      Peer->send(Each.m_Head);
      uint64_t Sent = 0;
      bool HasEnded = runUntil(Test.m_Loop, [&] {
        while (Sent < HeldBytes + 2 * KernelBytes) {
          size_t Taken = Peer->sendSome(Each.m_Endless);
          Sent += Taken;
          if (Taken == 0)
            break;
        }
        return Test.m_Result.has_value();
      });
      REQUIRE(HasEnded);
      CHECK(Test.m_Result->m_End != ExchangeEnd::Answered);
      CHECK(Sent <= HeldBytes + KernelBytes);
      CHECK(runUntil(Test.m_Loop, [&] { return Peer->isEnded(); }));
    }
}

TEST_CASE("an endless answer costs no other exchange its own") {
  ClientPolicy Policy;
  Policy.m_HeldBytes = 1ULL << 20;
  Fixture Test(Policy);
  Test.ask("endless");
  auto Endless = Test.serve();
  Endless->send("HTTP/1.1 200 OK\r\nId: endless\r\n\r\n");
  auto EndlessCall = Test.m_Call;
  const std::string Block(16384, 'x');
  // Just below what is given up.
  uint64_t Sent = 0;
  runUntil(
      Test.m_Loop,
      [&] {
        if (Sent < Policy.m_HeldBytes - Block.size())
          Sent += Endless->sendSome(Block);
        return false;
      },
      50ms);
  REQUIRE_FALSE(Test.m_Result.has_value());
  Test.ask("a");
  auto Peer = Test.serve();
  Peer->send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 40000\r\n\r\n" +
             std::string(40000, 'y'));
  REQUIRE(Test.waitForResult());
  CHECK(Test.m_Result->m_End == ExchangeEnd::Answered);
  CHECK(Test.m_Result->m_Answer.body().size() == 40000);
}

TEST_CASE("a connection is used again only while nothing else came over it") {
  struct Case {
    const char *m_Name;
    std::string m_Extra;
    bool m_Close;
    bool m_IsReused;
  };
  const Case Cases[] = {
      {"quiet", "", false, true},
      {"extra bytes", Good, false, false},
      {"closed by the server", "", true, false},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    Fixture Test;
    Test.ask("a");
    auto Peer = Test.serve();
    Peer->send(Good);
    REQUIRE(Test.waitForResult());
    if (!Each.m_Extra.empty())
      Peer->send(Each.m_Extra);
    if (Each.m_Close)
      Peer->close();
    runUntil(
        Test.m_Loop, [] { return false; }, 20ms);
    Test.ask("a");
    if (!Each.m_IsReused)
      Peer = Test.serve();
    else
      REQUIRE(runUntil(Test.m_Loop,
                       [&] { return Peer->received().rfind("GET /a") > 0; }));
    Peer->send(Good);
    REQUIRE(Test.waitForResult());
    CHECK(Test.m_Result->m_Reused == Each.m_IsReused);
    CHECK(Test.m_Client.openedCount() == (Each.m_IsReused ? 1 : 2));
  }
}

TEST_CASE("the server's own idle timeout is kept with a margin") {
  Fixture Test;
  Test.ask("a");
  auto Peer = Test.serve();
  // One second, less the margin, is nothing: the connection is not kept.
  Peer->send("HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=1\r\n"
             "Content-Length: 0\r\n\r\n");
  REQUIRE(Test.waitForResult());
  runUntil(
      Test.m_Loop, [] { return false; }, 5ms);
  Test.ask("a");
  Peer = Test.serve();
  CHECK(Test.m_Client.openedCount() == 2);
}

TEST_CASE("a cancelled exchange closes its connection and calls nobody") {
  Fixture Test;
  Test.ask("a");
  auto Peer = Test.serve();
  Test.m_Call->cancel();
  CHECK(runUntil(Test.m_Loop, [&] { return Peer->isEnded(); }));
  CHECK_FALSE(Test.m_Result.has_value());
}

TEST_CASE("a refused connection means that nothing was sent") {
  Fixture Test;
  uint16_t Free = 0;
  {
    RawServer Other(Test.m_Loop);
    Free = Other.port();
  }
  std::optional<ExchangeResult> Result;
  auto Call = Test.m_Client.send(
      {"127.0.0.1", Free}, std::make_shared<Request>(), 1s,
      [](const Response &) { return true; },
      [&](ExchangeResult Ended) { Result = std::move(Ended); });
  REQUIRE(runUntil(Test.m_Loop, [&] { return Result.has_value(); }));
  CHECK(Result->m_End == ExchangeEnd::NotSent);
  CHECK(Result->m_ConnectionRefused);
}
