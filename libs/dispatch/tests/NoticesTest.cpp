// Notices that servers announce in their responses: that they are draining, or
// that they refuse requests for a time.
#include "hyssopcross/dispatch/Choice.h"
#include <doctest/doctest.h>
#include <functional>

using namespace hyssopcross;
using namespace hyssopcross::dispatch;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

ServerRecord makeRecord(const std::string &Id, int64_t Incarnation) {
  ServerRecord Record;
  Record.m_Id = Id;
  Record.m_Service = "service";
  Record.m_DataCentre = "here";
  Record.m_Slots = 2;
  Record.m_Incarnation = Incarnation;
  return Record;
}

void registerServer(ServerView &View, const std::string &Id,
                    int64_t Incarnation, TimePoint Now) {
  upsertServer(View, makeRecord(Id, Incarnation), Now);
}

/// Decides about a request at the time Now, when all servers are healthy.
Choice decideAt(ServerView &View, TimePoint Now,
                Duration MaxQueueTime = Duration(0)) {
  for (auto &[Id, Each] : View.m_Servers)
    recordReport(Each, LoadReport(), 0ms, Now);
  CallInputs Call;
  Call.m_Service = "service";
  Call.m_ObjectiveAt = Now + 200ms;
  Call.m_EndAt = Now + 800ms;
  Call.m_QueueUntil = Now + MaxQueueTime;
  Call.m_Work = 60ms;
  std::mt19937 Random(1);
  return choose(
      View, DispatchPolicy(), Call, [](const Server &) { return true; }, 6.7,
      Random, Now);
}

} // namespace

TEST_CASE("a server that announced draining gets no further requests") {
  struct Case {
    const char *m_Name;
    void (*m_Prepare)(ServerView &);
    bool m_IsUsed;
  };
  const Case Cases[] = {
      {"nothing was announced", [](ServerView &) {}, true},
      {"draining was announced",
       [](ServerView &View) { recordDraining(View, "s", 7, Start); }, false},
      {"its record changes without being marked as draining",
       [](ServerView &View) {
         recordDraining(View, "s", 7, Start);
         ServerRecord Changed = makeRecord("s", 7);
         Changed.m_Slots = 3;
         upsertServer(View, Changed, Start);
       },
       false},
      {"its record expires and is registered again",
       [](ServerView &View) {
         recordDraining(View, "s", 7, Start);
         removeServer(View, "s");
         registerServer(View, "s", 7, Start);
       },
       false},
      {"draining was announced while the record was missing",
       [](ServerView &View) {
         removeServer(View, "s");
         recordDraining(View, "s", 7, Start);
         registerServer(View, "s", 7, Start);
       },
       false},
      {"old notices are expired in between",
       [](ServerView &View) {
         recordDraining(View, "s", 7, Start);
         removeServer(View, "s");
         expireNotices(View, DispatchPolicy(), Start + 1min);
         registerServer(View, "s", 7, Start);
       },
       false},
      {"it restarts under its id",
       [](ServerView &View) {
         recordDraining(View, "s", 7, Start);
         registerServer(View, "s", 8, Start);
       },
       true},
      {"a response of an earlier incarnation arrives late",
       [](ServerView &View) {
         registerServer(View, "s", 8, Start);
         recordDraining(View, "s", 7, Start);
       },
       true},
      {"a response of an earlier incarnation arrives after that of a later one",
       [](ServerView &View) {
         registerServer(View, "s", 8, Start);
         recordDraining(View, "s", 8, Start);
         recordDraining(View, "s", 7, Start);
       },
       false},
      {"another server announces it",
       [](ServerView &View) { recordDraining(View, "t", 7, Start); }, true},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    ServerView View;
    View.m_OwnDataCentre = "here";
    registerServer(View, "s", 7, Start);
    Each.m_Prepare(View);
    CHECK((decideAt(View, Start + 1s).m_Verdict == Verdict::Send) ==
          Each.m_IsUsed);
    CHECK(isInService(View, View.m_Servers.at("s")) == Each.m_IsUsed);
  }
}

TEST_CASE("draining is reported as a change only once, registered or not") {
  ServerView View;
  CHECK(recordDraining(View, "s", 7, Start));
  CHECK_FALSE(recordDraining(View, "s", 7, Start));
  registerServer(View, "s", 8, Start);
  CHECK(recordDraining(View, "s", 8, Start));
  CHECK_FALSE(recordDraining(View, "s", 8, Start));
  CHECK_FALSE(recordDraining(View, "s", 7, Start));
}

TEST_CASE("a server that refuses requests for a time gets none") {
  struct Case {
    const char *m_Name;
    void (*m_Prepare)(ServerView &);
    Duration m_After;
    bool m_IsUsed;
  };
  const Case Cases[] = {
      {"at once",
       [](ServerView &View) { recordRefusal(View, "s", 7, 2s, Start); }, 0ms,
       false},
      {"until it ends",
       [](ServerView &View) { recordRefusal(View, "s", 7, 2s, Start); }, 1999ms,
       false},
      {"not after it ends",
       [](ServerView &View) { recordRefusal(View, "s", 7, 2s, Start); }, 2s,
       true},
      {"a shorter refusal that is announced later does not end a longer one",
       [](ServerView &View) {
         recordRefusal(View, "s", 7, 2s, Start);
         recordRefusal(View, "s", 7, 100ms, Start);
       },
       1s, false},
      {"its record expires and is registered again",
       [](ServerView &View) {
         recordRefusal(View, "s", 7, 2s, Start);
         removeServer(View, "s");
         registerServer(View, "s", 7, Start);
       },
       1s, false},
      {"it restarts under its id",
       [](ServerView &View) {
         recordRefusal(View, "s", 7, 2s, Start);
         registerServer(View, "s", 8, Start);
       },
       1s, true},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    ServerView View;
    View.m_OwnDataCentre = "here";
    registerServer(View, "s", 7, Start);
    Each.m_Prepare(View);
    CHECK((decideAt(View, Start + Each.m_After).m_Verdict == Verdict::Send) ==
          Each.m_IsUsed);
  }
}

TEST_CASE(
    "if all servers refuse for a time, Retry-After is when the first ends") {
  struct Case {
    const char *m_Name;
    /// Remaining refusal time of each server.
    std::vector<Duration> m_Refusals;
    Duration m_MaxQueueTime;
    Verdict m_Verdict;
    Duration m_RetryAfter;
  };
  const Case Cases[] = {
      {"the first refusal to end counts",
       {3s, 2s, 5s},
       0ms,
       Verdict::Refuse,
       2s},
      {"a request does not wait if no refusal ends in time",
       {3s, 2s},
       100ms,
       Verdict::Refuse,
       2s},
      {"a request waits for a refusal that ends in time",
       {3s, 50ms},
       100ms,
       Verdict::Wait,
       0ms},
      {"a server that accepts requests is used",
       {3s, 0ms},
       0ms,
       Verdict::Send,
       0ms},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    ServerView View;
    View.m_OwnDataCentre = "here";
    for (size_t I = 0; I < Each.m_Refusals.size(); ++I) {
      std::string Id = "s" + std::to_string(I);
      registerServer(View, Id, 1, Start);
      recordRefusal(View, Id, 1, Each.m_Refusals[I], Start);
    }
    Choice Made = decideAt(View, Start, Each.m_MaxQueueTime);
    CHECK(Made.m_Verdict == Each.m_Verdict);
    if (Each.m_Verdict != Verdict::Refuse)
      continue;
    CHECK(Made.m_Reason == std::string("servers_refuse"));
    CHECK(Made.m_RetryAfter >= Each.m_RetryAfter);
    CHECK(Made.m_RetryAfter <=
          Each.m_RetryAfter + DispatchPolicy().m_RefusalJitter);
  }
}

TEST_CASE("notices are kept while their servers may be registered again") {
  const DispatchPolicy Policy;
  struct Case {
    bool m_IsListed;
    Duration m_After;
    bool m_IsKept;
  };
  const Case Cases[] = {
      {false, Policy.m_NoticeRetention, true},
      {false, Policy.m_NoticeRetention + 1s, false},
      {true, Policy.m_NoticeRetention + 1s, true},
  };
  for (const Case &Each : Cases) {
    ServerView View;
    registerServer(View, "s", 7, Start);
    recordDraining(View, "s", 7, Start);
    if (!Each.m_IsListed)
      removeServer(View, "s");
    expireNotices(View, Policy, Start + Each.m_After);
    CHECK((View.m_Notices.count("s") > 0) == Each.m_IsKept);
  }
}

TEST_CASE("a request limit belongs to an incarnation, registered or not") {
  const LimitObservation Named{2.0, false, true, Start};
  struct Case {
    const char *m_Name;
    std::function<void(ServerView &)> m_Prepare;
    bool m_IsLimited;
  };
  const Case Cases[] = {
      {"none was named", [](ServerView &) {}, false},
      {"named",
       [&](ServerView &View) { recordLimit(View, "s", 7, Named, Start); },
       true},
      {"told by another VM",
       [](ServerView &View) {
         recordPeerLimit(View, "s", 7, 2.0, Start, Start);
       },
       true},
      {"told while its record was missing",
       [](ServerView &View) {
         removeServer(View, "s");
         recordPeerLimit(View, "s", 7, 2.0, Start, Start);
         registerServer(View, "s", 7, Start);
       },
       true},
      {"its record expires and is registered again",
       [&](ServerView &View) {
         recordLimit(View, "s", 7, Named, Start);
         removeServer(View, "s");
         registerServer(View, "s", 7, Start);
       },
       true},
      {"it restarts under its id",
       [&](ServerView &View) {
         recordLimit(View, "s", 7, Named, Start);
         registerServer(View, "s", 8, Start);
       },
       false},
      {"a later incarnation names it before its record arrives",
       [&](ServerView &View) {
         recordLimit(View, "s", 8, Named, Start);
         registerServer(View, "s", 8, Start);
       },
       true},
      {"an earlier incarnation names it late",
       [&](ServerView &View) {
         registerServer(View, "s", 8, Start);
         recordLimit(View, "s", 8, Named, Start);
         recordLimit(View, "s", 7, {1.0, false, true, Start}, Start);
       },
       true},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    ServerView View;
    View.m_OwnDataCentre = "here";
    registerServer(View, "s", 7, Start);
    Each.m_Prepare(View);
    Server &Target = View.m_Servers.at("s");
    REQUIRE((activeLimitOf(Target) != nullptr) == Each.m_IsLimited);
    if (Each.m_IsLimited)
      CHECK(activeLimitOf(Target)->m_PerSecond == 2.0);
    // The limit admits two requests and then another after half a second.
    recordSend(Target, DispatchPolicy(), Start);
    recordSend(Target, DispatchPolicy(), Start);
    Target.m_OwnInFlight = 0;
    CHECK((decideAt(View, Start).m_Verdict == Verdict::Send) !=
          Each.m_IsLimited);
    CHECK(decideAt(View, Start + 500ms).m_Verdict == Verdict::Send);
  }
}

TEST_CASE("if limits admit no request in time, callers get different times to "
          "return") {
  ServerView View;
  View.m_OwnDataCentre = "here";
  registerServer(View, "s", 7, Start);
  recordLimit(View, "s", 7, {2.0, false, true, Start}, Start);
  recordSend(View.m_Servers.at("s"), DispatchPolicy(), Start);
  recordSend(View.m_Servers.at("s"), DispatchPolicy(), Start);
  recordReport(View.m_Servers.at("s"), LoadReport(), 0ms, Start);
  CallInputs Call;
  Call.m_Service = "service";
  Call.m_ObjectiveAt = Start + 200ms;
  Call.m_EndAt = Start + 4s;
  Call.m_QueueUntil = Start + 100ms;
  Call.m_Work = 60ms;
  std::mt19937 Random(1);
  Duration Before{};
  for (int I = 1; I <= 5; ++I) {
    CAPTURE(I);
    Choice Made = choose(
        View, DispatchPolicy(), Call, [](const Server &) { return true; }, 6.7,
        Random, Start);
    REQUIRE(Made.m_Verdict == Verdict::Refuse);
    CHECK(Made.m_Reason == std::string("servers_limited"));
    // One request is admitted every 500 ms.
    CHECK(Made.m_PromisedAt == Start + I * 500ms);
    CHECK(Made.m_RetryAfter >= I * 500ms);
    CHECK(Made.m_RetryAfter > Before);
    Before = Made.m_RetryAfter;
    Call.m_PromisedAt = Made.m_PromisedAt;
  }
  // A request waits if the limit admits it in time, after those that wait.
  Call.m_QueueUntil = Start + 600ms;
  for (size_t Waiting : {0U, 1U}) {
    Call.m_QueueLength = Waiting;
    Choice Made = choose(
        View, DispatchPolicy(), Call, [](const Server &) { return true; }, 6.7,
        Random, Start);
    CHECK((Made.m_Verdict == Verdict::Wait) == (Waiting == 0));
    if (Waiting == 0)
      CHECK(Made.m_RetryAt == Start + 500ms);
  }
}
