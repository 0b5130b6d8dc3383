#include "hyssopcross/entry/PoolHost.h"
#include "RawSocket.h"
#include "hyssopcross/entry/Timers.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::entry;
using namespace hyssopcross::http::test;
using namespace std::chrono_literals;

namespace {

/// The ports of a pool whose lease a test gives and takes.
class TestPorts final : public PoolPorts {
public:
  LeaseStanding standing(const balancing::PoolId &) override {
    return m_Standing;
  }
  void wakeAt(const balancing::PoolId &, TimePoint Time) override {
    m_Timers->schedule("pool", Time, m_Wake);
  }
  void announceQueueing(const balancing::PoolId &, bool) override {}
  void askPull(const balancing::PoolId &, const balancing::PoolId &,
               uint32_t) override {}

  LeaseStanding m_Standing = LeaseStanding::Confirmed;
  Timers *m_Timers = nullptr;
  std::function<void()> m_Wake;
};

/// Allows or denies all sends, and notes how they ended.
class TestGate final : public SendGate {
public:
  explicit TestGate(bool MaySend) : m_MaySend(MaySend) {}

  bool maySend() override { return m_MaySend; }
  void sendEnded(const backend::ServerAnswer &Answer) override {
    m_Ended.push_back(Answer.m_End);
  }

  bool m_MaySend;
  std::vector<balancing::AttemptEnd> m_Ended;
};

/// A pool with one backend server, which the test plays.
struct Fixture {
  Fixture() {
    m_Ports.m_Timers = &m_Timers;
    m_Ports.m_Wake = [this] { m_Host->apply(balancing::Woke{}); };
    m_Host->apply(balancing::ServersListed{
        {{"127.0.0.1:" + std::to_string(m_Server.port()), false}}});
  }

  balancing::CallId run(std::shared_ptr<SendGate> Gate = nullptr) {
    CallRequest Call;
    Call.m_Request.m_Message =
        backend::makeMessage("GET", "/x", "boletas", {}, "c1", {});
    Call.m_Request.m_CorrelationId = "c1";
    Call.m_Deadline = m_Clock.now() + 20s;
    Call.m_Gate = std::move(Gate);
    return m_Host->run(std::move(Call),
                       [this](const CallResult &Result) { m_Result = Result; });
  }

  /// The next connection of the pool, once a request has come over it.
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
  backend::Sender m_Sender{m_Loop, m_Clock};
  Timers m_Timers{m_Loop, m_Clock};
  TestPorts m_Ports;
  std::shared_ptr<PoolHost> m_Host = std::make_shared<PoolHost>(
      balancing::PoolState({"boletas", "aqp-a"}, {}, {}, 1), m_Clock, m_Loop,
      m_Sender, m_Ports);
  std::optional<CallResult> m_Result;
};

constexpr const char *Answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                               "Hyssopcross-Correlation-Id: c1\r\n\r\nok";

} // namespace

TEST_CASE("a call gets the answer of its attempt") {
  Fixture Test;
  Test.run();
  auto Server = Test.serve();
  Server->send(Answer);
  REQUIRE(Test.waitForResult());
  const auto &Answered = std::get<CallAnswered>(*Test.m_Result).m_Answer;
  CHECK(Answered.m_End == balancing::AttemptEnd::Completed);
  CHECK(Answered.m_Body == "ok");
  CHECK(Test.m_Host->figures().m_InFlight == 0);
}

TEST_CASE("a caller that leaves ends its attempt at the server") {
  Fixture Test;
  balancing::CallId Call = Test.run();
  auto Server = Test.serve();
  Test.m_Host->abandon(Call);
  CHECK(runUntil(Test.m_Loop, [&] { return Server->isEnded(); }));
  CHECK(Test.m_Host->figures().m_InFlight == 0);
  CHECK_FALSE(Test.m_Result.has_value());
  // The slot is free for the next call.
  Test.run();
  Test.serve()->send(Answer);
  CHECK(Test.waitForResult());
  // Leaving after the end changes nothing.
  Test.m_Host->abandon(Call);
}

TEST_CASE("nothing is sent without the gate's and the lease's leave") {
  struct Row {
    const char *m_Name;
    bool m_GateOpen;
    LeaseStanding m_AtSend;
    std::vector<balancing::AttemptEnd> m_Told;
  };
  const Row Rows[] = {
      {"the gate denies", false, LeaseStanding::Confirmed, {}},
      {"the lease has run out", true, LeaseStanding::NotOwner, {}},
  };
  for (const Row &Case : Rows) {
    CAPTURE(std::string(Case.m_Name));
    Fixture Test;
    auto Gate = std::make_shared<TestGate>(Case.m_GateOpen);
    Test.run(Gate);
    Test.m_Ports.m_Standing = Case.m_AtSend;
    REQUIRE(Test.waitForResult());
    CHECK_FALSE(std::holds_alternative<CallHandedOver>(*Test.m_Result));
    if (const auto *Answered = std::get_if<CallAnswered>(&*Test.m_Result))
      CHECK(Answered->m_Answer.m_End == balancing::AttemptEnd::NotSent);
    CHECK(Gate->m_Ended == Case.m_Told);
    CHECK(Test.m_Server.accept() == nullptr);
  }
}

TEST_CASE("the gate is told of each send that it allowed") {
  Fixture Test;
  auto Gate = std::make_shared<TestGate>(true);
  Test.run(Gate);
  Test.serve()->send(Answer);
  REQUIRE(Test.waitForResult());
  CHECK(Gate->m_Ended ==
        std::vector<balancing::AttemptEnd>{balancing::AttemptEnd::Completed});
}
