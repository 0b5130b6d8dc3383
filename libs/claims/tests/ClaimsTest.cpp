#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "MoneyWorld.h"
#include "hyssopcross/claims/Answers.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::claims;
using namespace std::chrono_literals;

namespace {

/// One process against a store whose answers the test gives by hand.
struct Bench {
  ClaimState m_State{"vm1", {}, 1};
  records::Instant m_Now{TimePoint(1h), WallTime(24h)};
  std::vector<Action> m_Actions;

  void feed(const Event &Event) {
    m_Actions.clear();
    step(m_State, Event, m_Now, m_Actions);
  }
  void arrive(CallId Call, std::string Key, std::string Digest = "d1",
              bool Repeat = false) {
    feed(MoneyArrived{Call, "caja", std::move(Key), std::move(Digest),
                      m_Now.m_Wall + 1s, Repeat});
  }
  void wait(Duration Span) {
    m_Now.m_Now += Span;
    m_Now.m_Wall += Span;
    feed(Woke{});
  }
  template <typename Kind> const Kind *find() const {
    for (const Action &Each : m_Actions)
      if (auto *Found = std::get_if<Kind>(&Each))
        return Found;
    return nullptr;
  }
  template <typename Kind> size_t count() const {
    size_t Count = 0;
    for (const Action &Each : m_Actions)
      Count += std::holds_alternative<Kind>(Each) ? 1 : 0;
    return Count;
  }
  std::optional<AnswerKind> said() const {
    auto *Found = find<Answer>();
    return Found ? std::optional(Found->m_Kind) : std::nullopt;
  }
};

} // namespace

TEST_CASE("a lost claim write ends as the store shows and the caller asked") {
  struct Row {
    const char *m_Name;
    bool m_Repeat;
    records::CommitEnd m_End;
    std::optional<AnswerKind> m_Said;
  };
  const Row Rows[] = {
      {"store down", false, records::CommitEnd::Unavailable,
       AnswerKind::StoreDown},
      {"store down, repeat", true, records::CommitEnd::Unavailable,
       AnswerKind::Unresolved},
      {"lost", false, records::CommitEnd::Unknown, std::nullopt},
      {"conflict", false, records::CommitEnd::Conflict, std::nullopt},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    Bench On;
    On.arrive(1, "k1", "d1", Case.m_Repeat);
    On.wait(2ms);
    REQUIRE(On.find<records::CommitRows>());
    On.feed(records::CommitEnded{On.find<records::CommitRows>()->m_Request,
                                 Case.m_End});
    CHECK(On.said() == Case.m_Said);
    CHECK((On.find<records::ReadRow>() != nullptr) == !Case.m_Said);
  }
}

TEST_CASE("a refused arrival is told why, and when to come back") {
  struct Row {
    const char *m_Key;
    Duration m_Left;
    AnswerKind m_Said;
    bool m_RetryAfter;
  };
  const std::string Long(201, 'k');
  const Row Rows[] = {
      {"", 1s, AnswerKind::NoKey, false},
      {"with space", 1s, AnswerKind::NoKey, false},
      {Long.c_str(), 1s, AnswerKind::NoKey, false},
      {"k1", 0s, AnswerKind::DeadlinePassed, true},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Key);
    Bench On;
    On.feed(MoneyArrived{1, "caja", Case.m_Key, "d1",
                         On.m_Now.m_Wall + Case.m_Left, false});
    CHECK(On.said() == Case.m_Said);
    CHECK((On.find<Answer>()->m_RetryAfter > 0s) == Case.m_RetryAfter);
    CHECK(On.m_State.m_Claims.empty());
  }
}

TEST_CASE("one bad claim does not fail the others of its transaction") {
  Bench On;
  for (CallId Call = 1; Call <= 3; ++Call)
    On.arrive(Call, "k" + std::to_string(Call));
  On.wait(2ms);
  REQUIRE(On.count<records::CommitRows>() == 1);
  REQUIRE(On.find<records::CommitRows>()->m_Writes.size() == 3);
  On.feed(records::CommitEnded{On.find<records::CommitRows>()->m_Request,
                               records::CommitEnd::Conflict});
  REQUIRE(On.count<records::ReadRow>() == 3);
  std::vector<records::RequestId> Reads;
  for (const Action &Each : On.m_Actions)
    if (auto *Read = std::get_if<records::ReadRow>(&Each))
      Reads.push_back(Read->m_Request);
  On.feed(records::RowRead{
      Reads[0], true,
      store::Row{R"({"digest":"d1","attempt":"vm2.1","deadline_us":1,)"
                 R"("state":"claimed"})",
                 7}});
  CHECK(On.said() == AnswerKind::InProgress);
  On.feed(records::RowRead{Reads[1], true, {}});
  On.feed(records::RowRead{Reads[2], true, {}});
  On.wait(1ms);
  size_t Again = On.m_State.m_Counters.m_RowWrites;
  CHECK(Again == 5);
}

TEST_CASE("a send is allowed once, and not when the window has closed") {
  struct Row {
    const char *m_Name;
    Duration m_Wait;
    bool m_Allowed;
  };
  const Row Rows[] = {{"in time", 10ms, true}, {"too late", 996ms, false}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Name);
    Bench On;
    On.arrive(1, "k1");
    On.wait(2ms);
    On.feed(records::CommitEnded{On.find<records::CommitRows>()->m_Request,
                                 records::CommitEnd::Committed});
    REQUIRE(On.find<StartCall>());
    On.m_Now.m_Now += Case.m_Wait;
    On.m_Now.m_Wall += Case.m_Wait;
    On.feed(SendAsked{1});
    CHECK((On.find<AllowSend>() != nullptr) == Case.m_Allowed);
    On.feed(SendAsked{1});
    CHECK(On.find<DenySend>());
  }
}

TEST_CASE("expired rows go, in bounded scans and transactions") {
  using namespace hyssopcross::claims::testing;
  records::testing::Agenda Time(1);
  records::testing::FakeStore Store(Time);
  ClaimPolicy Policy;
  Policy.m_SweepRows = 20;
  Policy.m_SweepDeletes = 10;
  ClaimState State("vm1", Policy, 1);
  auto Value = [](int64_t DeadlineUs) {
    return R"({"digest":"d","attempt":"a","state":"claimed","deadline_us":)" +
           std::to_string(DeadlineUs) + "}";
  };
  for (int I = 0; I < 300; ++I) {
    // Every third row is far from its end.
    int64_t Deadline = I % 3 == 0 ? 86400000000LL * 3 : 0;
    Store.apply(
        {{rowKey("caja", "k" + std::to_string(I)), 0, Value(Deadline)}});
  }
  size_t Largest = 0;
  std::function<void(const Event &)> Feed = [&](const Event &Event) {
    std::vector<Action> Actions;
    step(State, Event, Time.now(), Actions);
    for (const Action &Each : Actions) {
      if (auto *Scan = std::get_if<records::ScanRows>(&Each))
        Store.perform(*Scan, Feed);
      if (auto *Commit = std::get_if<records::CommitRows>(&Each)) {
        Largest = std::max(Largest, Commit->m_Writes.size());
        Store.perform(*Commit, Feed);
      }
      if (auto *Wake = std::get_if<WakeAt>(&Each))
        Time.in(Wake->m_Time - Time.now().m_Now, [&] { Feed(Woke{}); });
    }
  };
  Time.run(2h);
  Feed(SweeperChanged{"caja", true});
  Time.run(60s);
  CHECK(Store.m_Rows.size() == 100);
  CHECK(Largest == 10);
}

TEST_CASE("a quiet money call costs two row writes and one read") {
  testing::MoneyWorld World(1, testing::NoFaults, {});
  CHECK(World.run() == "");
  MESSAGE("executions=" << World.m_Executions
                        << " row_writes=" << World.m_Store.m_RowWrites
                        << " transactions=" << World.m_Store.m_Commits
                        << " reads=" << World.m_Store.m_Reads);
  CHECK(World.m_Store.m_RowWrites == 2 * World.m_Executions);
}

TEST_CASE("transactions for each call fall as the load grows") {
  struct Row {
    uint32_t m_CallsPerSecond;
    double m_MostTransactions;
  };
  const Row Rows[] = {{10, 2.0}, {100, 1.5}, {300, 1.0}, {1000, 0.4}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_CallsPerSecond);
    records::testing::Agenda Time(1);
    records::testing::FakeStore Store(Time);
    ClaimState State("vm1", {}, 1);
    uint64_t Answers = 0;
    std::vector<Duration> Waits;
    std::map<CallId, TimePoint> Arrived;
    std::function<void(const Event &)> Feed = [&](const Event &Event) {
      std::vector<Action> Actions;
      step(State, Event, Time.now(), Actions);
      for (const Action &Each : Actions) {
        if (auto *Start = std::get_if<StartCall>(&Each)) {
          Waits.push_back(Time.now().m_Now - Arrived[Start->m_Call]);
          Feed(SendAsked{Start->m_Call});
        }
        if (auto *Allow = std::get_if<AllowSend>(&Each))
          Time.in(10ms, [&, Id = Allow->m_Call] {
            Feed(SendEnded{Id, SendEnd::Completed, {200, "", "ok"}});
          });
        if (auto *Read = std::get_if<records::ReadRow>(&Each))
          Store.perform(*Read, Feed);
        if (auto *Commit = std::get_if<records::CommitRows>(&Each))
          Store.perform(*Commit, Feed);
        if (auto *Wake = std::get_if<WakeAt>(&Each))
          Time.in(Wake->m_Time - Time.now().m_Now, [&] { Feed(Woke{}); });
        Answers += std::holds_alternative<Answer>(Each) ? 1 : 0;
      }
    };
    constexpr uint32_t Seconds = 5;
    uint32_t Calls = Case.m_CallsPerSecond * Seconds;
    for (uint32_t I = 1; I <= Calls; ++I)
      Time.in(Time.between({}, std::chrono::seconds(Seconds)), [&, I] {
        Arrived[I] = Time.now().m_Now;
        Feed(MoneyArrived{I, "caja", "k" + std::to_string(I), "d",
                          Time.now().m_Wall + 2s, false});
      });
    Time.run(20s);
    std::sort(Waits.begin(), Waits.end());
    double PerCall = static_cast<double>(Store.m_Commits) / Calls;
    MESSAGE(
        "calls_per_second="
        << Case.m_CallsPerSecond << " transactions_per_call=" << PerCall
        << " rows_per_call=" << static_cast<double>(Store.m_RowWrites) / Calls
        << " reads_per_call=" << static_cast<double>(Store.m_Reads) / Calls
        << " claim_p50_us=" << Waits[Waits.size() / 2].count() / 1000
        << " claim_p99_us=" << Waits[Waits.size() * 99 / 100].count() / 1000);
    CHECK(Answers == Calls);
    CHECK(Store.m_RowWrites == 2 * Calls);
    CHECK(PerCall <= Case.m_MostTransactions);
  }
}

TEST_CASE("only answers that prove it say not-run") {
  struct Row {
    AnswerKind m_Kind;
    uint16_t m_Status;
    const char *m_Outcome;
  };
  const Row Rows[] = {
      {AnswerKind::Completed, 0, "completed"},
      {AnswerKind::Recorded, 0, "completed"},
      {AnswerKind::NoKey, 400, "not-run"},
      {AnswerKind::OtherRequest, 422, "not-run"},
      {AnswerKind::InProgress, 409, "unknown"},
      {AnswerKind::StoreDown, 503, "not-run"},
      {AnswerKind::Refused, 503, "not-run"},
      {AnswerKind::DeadlinePassed, 504, "not-run"},
      {AnswerKind::Broken, 502, "unknown"},
      {AnswerKind::TimedOut, 504, "unknown"},
      {AnswerKind::Unresolved, 503, "unknown"},
  };
  for (const Row &Case : Rows) {
    AnswerText Text = describe(Case.m_Kind);
    CHECK(Text.m_Status == Case.m_Status);
    CHECK(std::string(protocol::outcomeName(Text.m_Outcome)) == Case.m_Outcome);
  }
}
