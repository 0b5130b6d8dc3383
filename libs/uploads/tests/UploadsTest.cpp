#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "UploadWorld.h"
#include "hyssopcross/uploads/BodyBudget.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <stdexcept>

using namespace hyssopcross;
using namespace hyssopcross::uploads;
using namespace hyssopcross::uploads::testing;

namespace {

struct BrokenInvariant : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void throwBroken(std::string_view What) {
  throw BrokenInvariant(std::string(What));
}

std::string runOnce(uint64_t Seed, Faults Rates, const UploadPolicy &Policy) {
  InvariantHandler Previous = setInvariantHandler(throwBroken);
  std::string Wrong;
  try {
    Wrong = UploadWorld(Seed, Rates, Policy).run();
  } catch (const BrokenInvariant &Broken) {
    Wrong = Broken.what();
  }
  setInvariantHandler(Previous);
  return Wrong;
}

/// Runs per property; the environment asks for longer ones.
int runCount() {
  const char *Asked = std::getenv("HYSSOPCROSS_TEST_RUNS");
  return Asked ? std::atoi(Asked) : 200;
}

bool holds(const UploadPolicy &Policy, int Runs, bool Print,
           std::string &Wrong) {
  auto Property = [&] {
    Faults Rates;
    Rates.m_LostPercent = *rc::gen::inRange(0U, 60U);
    Rates.m_Outages = *rc::gen::inRange(0U, 5U);
    Rates.m_Crashes = *rc::gen::inRange(0U, 6U);
    Rates.m_StepCrashes = *rc::gen::inRange(0U, 20U);
    Rates.m_BrokenPercent = *rc::gen::inRange(0U, 60U);
    Rates.m_CutPercent = *rc::gen::inRange(0U, 40U);
    Rates.m_RefusedPercent = *rc::gen::inRange(0U, 80U);
    Rates.m_ServerOutages = *rc::gen::inRange(0U, 5U);
    auto Seed = *rc::gen::inRange<uint64_t>(1, 1000000);
    Wrong = runOnce(Seed, Rates, Policy);
    if (!Wrong.empty())
      RC_FAIL(Wrong);
  };
  rc::detail::TestParams Params;
  Params.seed = 40;
  Params.maxSuccess = Runs;
  Params.disableShrinking = !Print;
  auto Result =
      rc::detail::checkTestable(Property, rc::detail::TestMetadata(), Params);
  if (Print)
    rc::detail::printResultMessage(Result, std::cerr);
  return Result.template is<rc::detail::SuccessResult>();
}

/// One process whose pool and store the test plays by hand.
struct Bench {
  UploadState m_State{"vm1", {}, 1};
  records::Instant m_Now{TimePoint(1h), WallTime(24h)};
  std::vector<Action> m_Actions;

  void feed(const Event &Event) {
    m_Actions.clear();
    step(m_State, Event, m_Now, m_Actions);
  }
  template <typename Kind> const Kind *find() const {
    for (const Action &Each : m_Actions)
      if (auto *Found = std::get_if<Kind>(&Each))
        return Found;
    return nullptr;
  }
};

const UploadHead Head{"fotos", "k1",        "POST", "/photo",
                      "image", "digest-d1", 100};

} // namespace

TEST_CASE("an upload is acknowledged only with the server's matching receipt") {
  struct Row {
    const char *m_Name;
    ServerAnswer m_Answer;
    bool m_Acknowledged;
  };
  const Row Rows[] = {
      {"matching", {201, "", "", "digest-d1", 100}, true},
      {"other digest", {201, "", "", "digest-d2", 100}, false},
      {"shorter", {201, "", "", "digest-d1", 99}, false},
      {"no receipt", {200, "", "", "", 0}, false},
      {"server fault", {500, "", "", "", 0}, false},
      {"refused for good", {415, "", "", "", 0}, true},
  };
  for (const Row &Case : Rows) {
    CAPTURE(std::string(Case.m_Name));
    Bench On;
    On.feed(UploadArrived{1, Head, On.m_Now.m_Wall + 2s});
    REQUIRE(On.find<SendUpload>());
    CHECK(On.find<SendUpload>()->m_Identity == "k1");
    On.feed(SendEnded{1, SendEnd::Answered, Case.m_Answer, {}});
    CHECK((On.find<Answer>() != nullptr) == Case.m_Acknowledged);
  }
}

TEST_CASE("what no server takes is held, and said so once it is recorded") {
  struct Row {
    const char *m_Name;
    records::ObjectEnd m_Object;
    records::CommitEnd m_Commit;
    std::optional<AnswerKind> m_Said;
  };
  using records::CommitEnd;
  using records::ObjectEnd;
  const Row Rows[] = {
      {"held", ObjectEnd::Done, CommitEnd::Committed, AnswerKind::Held},
      {"no object", ObjectEnd::Failed, CommitEnd::Committed,
       AnswerKind::Refused},
      {"no row", ObjectEnd::Done, CommitEnd::Unavailable, AnswerKind::Refused},
      {"row lost", ObjectEnd::Done, CommitEnd::Unknown, std::nullopt},
  };
  for (const Row &Case : Rows) {
    CAPTURE(std::string(Case.m_Name));
    Bench On;
    On.feed(UploadArrived{1, Head, On.m_Now.m_Wall + 2s});
    On.feed(SendEnded{1, SendEnd::NotRun, {}, 100ms});
    REQUIRE(On.find<HoldBody>());
    On.feed(records::ObjectEnded{
        On.find<HoldBody>()->m_Request, Case.m_Object, {}});
    if (auto *Commit = On.find<records::CommitRows>())
      On.feed(records::CommitEnded{Commit->m_Request, Case.m_Commit});
    auto *Said = On.find<Answer>();
    CHECK((Said ? std::optional(Said->m_Kind) : std::nullopt) == Case.m_Said);
    CHECK((On.find<records::ReadRow>() != nullptr) == !Case.m_Said);
  }
}

TEST_CASE("the budget for bodies is kept") {
  BodyBudget Budget{100, 0};
  CHECK(reserve(Budget, 60));
  CHECK_FALSE(reserve(Budget, 41));
  CHECK_FALSE(reserve(Budget, ~0ULL));
  CHECK(reserve(Budget, 40));
  release(Budget, 100);
  CHECK(Budget.m_Used == 0);
}

TEST_CASE("acknowledged uploads are stored whole and once under faults") {
  std::string Wrong;
  CHECK(holds({}, runCount(), true, Wrong));
}

TEST_CASE("without a mechanism the same runs fail") {
  struct Row {
    std::string m_Mechanism;
    bool UploadPolicy::*m_Switch;
  };
  const Row Rows[] = {
      {"check receipt", &UploadPolicy::m_CheckReceipt},
      {"record before held", &UploadPolicy::m_RecordBeforeHeld},
      {"same identity", &UploadPolicy::m_SameIdentity},
      {"read back lost writes", &UploadPolicy::m_ReadBackLostWrites},
      {"compare digest", &UploadPolicy::m_CompareDigest},
  };
  for (const Row &Case : Rows) {
    UploadPolicy Policy;
    Policy.*Case.m_Switch = false;
    std::string Wrong;
    CAPTURE(Case.m_Mechanism);
    CHECK_FALSE(holds(Policy, 200, false, Wrong));
    MESSAGE(Case.m_Mechanism << " off: " << Wrong);
  }
}
