#include "Host.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::balancing;
using namespace hyssopcross::balancing::tests;
using catalogue::ServiceClass;

namespace {

/// How a call ends after its first attempt has.
enum class Follow { Retried, Refused, Finished };

Follow seenAfter(const Host &Host) {
  if (!Host.all<SendAttempt>().empty())
    return Follow::Retried;
  return Host.all<RefuseCall>().empty() ? Follow::Finished : Follow::Refused;
}

} // namespace

TEST_CASE("an attempt is retried only where that is safe and allowed") {
  struct Row {
    const char *m_Name;
    ServiceClass m_Class;
    AttemptEnd m_End;
    uint32_t m_Depth;
    uint32_t m_PriorAttempts;
    double m_Tokens;
    Duration m_Allowed;
    Follow m_Follow;
  };
  constexpr auto Lookup = ServiceClass::Lookup;
  constexpr auto Money = ServiceClass::Money;
  constexpr auto Upload = ServiceClass::Upload;
  const Row Rows[] = {
      {"shed", Money, AttemptEnd::Shed, 1, 0, 9, 1s, Follow::Retried},
      {"not sent", Money, AttemptEnd::NotSent, 1, 0, 9, 1s, Follow::Retried},
      {"money broken", Money, AttemptEnd::Broken, 1, 0, 9, 1s,
       Follow::Finished},
      {"upload broken", Upload, AttemptEnd::Broken, 1, 0, 9, 1s,
       Follow::Finished},
      {"lookup broken", Lookup, AttemptEnd::Broken, 1, 0, 9, 1s,
       Follow::Retried},
      {"nested lookup broken", Lookup, AttemptEnd::Broken, 2, 0, 9, 1s,
       Follow::Finished},
      {"nested shed", Lookup, AttemptEnd::Shed, 8, 7, 9, 1s, Follow::Retried},
      {"nested shed, retried above", Lookup, AttemptEnd::Shed, 8, 8, 9, 1s,
       Follow::Refused},
      {"retried at earlier hops", Lookup, AttemptEnd::Shed, 1, 2, 9, 1s,
       Follow::Refused},
      {"no budget, shed", Lookup, AttemptEnd::Shed, 1, 0, 0.9, 1s,
       Follow::Refused},
      {"no budget, broken", Lookup, AttemptEnd::Broken, 1, 0, 0.9, 1s,
       Follow::Finished},
      {"too late, shed", Lookup, AttemptEnd::Shed, 1, 0, 9, 19ms,
       Follow::Refused},
      {"cancelled by the host", Lookup, AttemptEnd::Cancelled, 1, 0, 9, 1s,
       Follow::Finished},
  };
  for (const Row &Row : Rows) {
    CAPTURE(std::string(Row.m_Name));
    Host Host(makeEntry(Row.m_Class));
    Host.takeOverWarm(3);
    Host.m_State.m_RetryBudget.m_Tokens = Row.m_Tokens;
    CallArrived Event;
    Event.m_Call = 1;
    Event.m_Deadline = Host.m_Now + Row.m_Allowed;
    Event.m_Depth = Row.m_Depth;
    Event.m_PriorAttempts = Row.m_PriorAttempts;
    Host.apply(Event);
    AttemptId First = Host.only<SendAttempt>().m_Attempt;
    Host.m_Now += 10ms;
    Host.end(First, Row.m_End);
    CHECK(seenAfter(Host) == Row.m_Follow);
    if (Row.m_Follow == Follow::Finished)
      CHECK(Host.only<FinishCall>().m_Attempt == First);
  }
}

TEST_CASE("retries are off when switched off") {
  PoolPolicy Policy;
  Policy.m_Switches.m_Retry = false;
  Host Host(makeEntry(), Policy);
  Host.takeOverWarm(2);
  Host.arrive(1);
  Host.end(Host.only<SendAttempt>().m_Attempt, AttemptEnd::Shed);
  CHECK(Host.all<RefuseCall>().size() == 1);
}

TEST_CASE("a lookup that may have run is not refused as not run") {
  Host Host;
  Host.takeOverWarm(2);
  Host.arrive(1);
  AttemptId Broken = Host.only<SendAttempt>().m_Attempt;
  Host.end(Broken, AttemptEnd::Broken);
  AttemptId Second = Host.only<SendAttempt>().m_Attempt;
  Host.m_State.m_RetryBudget.m_Tokens = 0;
  Host.end(Second, AttemptEnd::Shed);
  CHECK(Host.all<RefuseCall>().empty());
  CHECK(Host.only<FinishCall>().m_Attempt == Broken);
}

TEST_CASE("a failure that is not the server's costs it nothing") {
  Host Host(makeEntry(ServiceClass::Money));
  Host.takeOverWarm(2);
  Host.arrive(1);
  SendAttempt Sent = Host.only<SendAttempt>();
  Host.apply(AttemptEnded{Sent.m_Attempt, AttemptEnd::NotSent, {}, false});
  CHECK(Host.only<RefuseCall>().m_Call == 1);
  CHECK(Host.m_State.m_Servers.at(Sent.m_Server).m_Stage == ServerStage::Warm);
}

TEST_CASE("an abandoned call is cancelled and keeps its slot until it ends") {
  Host Host;
  Host.takeOverWarm(1);
  Host.arrive(1);
  AttemptId First = Host.only<SendAttempt>().m_Attempt;
  Host.arrive(2);
  Host.arrive(3);
  Host.apply(CallAbandoned{1});
  CHECK(Host.only<CancelAttempt>().m_Attempt == First);
  CHECK(Host.all<SendAttempt>().empty());
  Host.end(First, AttemptEnd::Cancelled);
  CHECK(Host.all<FinishCall>().empty());
  CHECK(Host.only<SendAttempt>().m_Call == 3);
  Host.arrive(4);
  Host.apply(CallAbandoned{4});
  CHECK(figures(Host.m_State, Host.m_Now).m_Queued == 0);
}

TEST_CASE("a slow lookup is hedged at another server and the loser cancelled") {
  struct Row {
    const char *m_Name;
    ServiceClass m_Class;
    bool m_Hedge;
    double m_Tokens;
    int m_Busy;
    bool m_Hedged;
  };
  const Row Rows[] = {
      {"lookup", ServiceClass::Lookup, true, 1, 0, true},
      {"money", ServiceClass::Money, true, 1, 0, false},
      {"upload", ServiceClass::Upload, true, 1, 0, false},
      {"off", ServiceClass::Lookup, false, 1, 0, false},
      {"no budget", ServiceClass::Lookup, true, 0.5, 0, false},
      {"no free slot elsewhere", ServiceClass::Lookup, true, 1, 3, false},
  };
  for (const Row &Row : Rows) {
    CAPTURE(std::string(Row.m_Name));
    PoolPolicy Policy;
    Policy.m_Switches.m_Hedge = Row.m_Hedge;
    Host Host(makeEntry(Row.m_Class), Policy);
    Host.takeOverWarm(2);
    Host.runCalls(40);
    Host.arrive(1);
    SendAttempt First = Host.only<SendAttempt>();
    for (int Index = 0; Index < Row.m_Busy; ++Index)
      Host.arrive(2 + Index);
    Host.m_State.m_HedgeBudget.m_Tokens = Row.m_Tokens;
    Host.wakeAfter(13ms);
    REQUIRE(Host.all<SendAttempt>().size() == (Row.m_Hedged ? 1 : 0));
    if (!Row.m_Hedged)
      continue;
    SendAttempt Second = Host.only<SendAttempt>();
    CHECK(Second.m_Hedge);
    CHECK(Second.m_Call == 1);
    CHECK(Second.m_Server != First.m_Server);
    Host.end(Second.m_Attempt);
    CHECK(Host.only<FinishCall>().m_Attempt == Second.m_Attempt);
    CHECK(Host.only<CancelAttempt>().m_Attempt == First.m_Attempt);
    CHECK(figures(Host.m_State, Host.m_Now).m_InFlight == 1);
    Host.end(First.m_Attempt, AttemptEnd::Cancelled);
    CHECK(Host.all<FinishCall>().empty());
    CHECK(Host.m_State.m_Attempts.empty());
  }
}

TEST_CASE("a server that is slow right now is avoided") {
  for (bool Avoids : {true, false}) {
    CAPTURE(Avoids);
    PoolPolicy Policy;
    Policy.m_Switches.m_AvoidSlowed = Avoids;
    Policy.m_Switches.m_Hedge = false;
    Host Host(makeEntry(), Policy);
    Host.takeOverWarm(2);
    Host.runCalls(40);
    Host.arrive(1);
    ServerId Slow = Host.only<SendAttempt>().m_Server;
    Host.m_Now += 60ms;
    int ToSlow = 0;
    for (CallId Call = 2; Call <= 4; ++Call) {
      Host.arrive(Call);
      for (const SendAttempt &Sent : Host.all<SendAttempt>())
        ToSlow += Sent.m_Server == Slow ? 1 : 0;
    }
    CHECK(ToSlow == (Avoids ? 0 : 1));
  }
}

TEST_CASE("retries stay a share of successes when servers shed everything") {
  struct Row {
    int m_Successes;
    uint64_t m_MostRetries;
  };
  const Row Rows[] = {{0, 10}, {50, 15}};
  for (const Row &Row : Rows) {
    CAPTURE(Row.m_Successes);
    PoolPolicy Policy;
    Policy.m_Switches.m_DropOnTrouble = false;
    Host Host(makeEntry(ServiceClass::Money), Policy);
    Host.takeOverWarm(4);
    Host.m_State.m_RetryBudget.m_Tokens = 0;
    Host.runCalls(Row.m_Successes);
    Host.m_State.m_RetryBudget.m_Tokens += Row.m_Successes == 0 ? 10 : 0;
    for (CallId Call = 1; Call <= 500; ++Call) {
      Host.arrive(Call);
      std::vector<SendAttempt> Sent = Host.all<SendAttempt>();
      while (!Sent.empty()) {
        Host.m_Now += 1ms;
        Host.end(Sent[0].m_Attempt, AttemptEnd::Shed);
        Sent = Host.all<SendAttempt>();
      }
      CHECK(Host.only<RefuseCall>().m_Call == Call);
    }
    CHECK(Host.m_State.m_Counters.m_Retries > 0);
    CHECK(Host.m_State.m_Counters.m_Retries <= Row.m_MostRetries);
  }
}

TEST_CASE(
    "a retry goes elsewhere, and the failed server is tried again later") {
  Host Host;
  Host.takeOverWarm(2);
  Host.arrive(1);
  SendAttempt First = Host.only<SendAttempt>();
  Host.arrive(2);
  Host.end(First.m_Attempt, AttemptEnd::Shed);
  SendAttempt Second = Host.only<SendAttempt>();
  CHECK(Second.m_Call == 1);
  CHECK(Second.m_Server != First.m_Server);
  Host.m_Now += 1s;
  Host.end(Second.m_Attempt);
  Host.arrive(3);
  CHECK(Host.only<SendAttempt>().m_Server == First.m_Server);
}
