#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "Host.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::balancing;
using namespace hyssopcross::balancing::tests;

TEST_CASE("a call goes to a free slot and finishes with its attempt") {
  PoolState State({"boletas", "arequipa"}, {}, {}, 1);
  TimePoint Now{std::chrono::seconds(1)};
  std::vector<Action> Actions;
  step(State, ServersListed{{{"127.0.0.1:1", false}}}, Now, Actions);
  Actions.clear();
  CallArrived Arrival;
  Arrival.m_Call = 7;
  Arrival.m_Deadline = Now + std::chrono::seconds(1);
  step(State, Arrival, Now, Actions);
  REQUIRE(Actions.size() == 1);
  auto Sent = std::get<SendAttempt>(Actions[0]);
  CHECK(Sent.m_Call == 7);
  CHECK(Sent.m_Server == "127.0.0.1:1");
  Actions.clear();
  step(State, AttemptEnded{Sent.m_Attempt, AttemptEnd::Completed, {}}, Now,
       Actions);
  REQUIRE(Actions.size() == 1);
  CHECK(std::get<FinishCall>(Actions[0]).m_Call == 7);
  CHECK(std::get<FinishCall>(Actions[0]).m_Attempt == Sent.m_Attempt);
  CHECK(State.m_Calls.empty());
  CHECK(State.m_Attempts.empty());
}
