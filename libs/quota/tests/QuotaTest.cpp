#include "hyssopcross/quota/Quota.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::quota;
using namespace std::chrono_literals;

namespace {

/// One VM by itself, which grants to itself and to others that ask it.
struct SingleVm {
  QuotaPolicy m_Policy;
  View m_View{1, 0, {}, false};
  LastLive m_Seen;
  TimePoint m_Now{1h};
  QuotaState m_State = makeState(m_Now);
  Effects m_Out;

  explicit SingleVm(Quota Of) {
    // Without a tolerance the bucket holds exactly the burst.
    m_Policy.m_Over = 0;
    m_Policy.m_Slack = 0;
    const Member Self[] = {{1, 0, true, true}};
    updateView(m_View, m_Seen, m_Policy, Self, {}, m_Now);
    setQuotas(m_State, {{"org", Of}}, m_Policy, m_Now);
    // Asks so that it becomes granter, and lets the bucket fill.
    m_Now += 3s;
    request();
    m_Now += 200s;
  }
  Context context() const { return {m_Policy, m_View, m_Now}; }
  Decision request() {
    m_Out = {};
    uint64_t Id = requestToken(m_State, "org", context(), m_Out);
    REQUIRE(m_Out.m_Decisions.size() == 1);
    CHECK(m_Out.m_Decisions[0].m_Id == Id);
    return m_Out.m_Decisions[0];
  }
  Grant askFrom(VmKey Vm, uint64_t Id) {
    m_Out = {};
    receiveAsk(m_State, Vm, {Id, "org", Vm, Purpose::Token, 0}, context(),
               m_Out);
    REQUIRE(m_Out.m_Grants.size() == 1);
    CHECK(m_Out.m_Grants[0].first == Vm);
    return m_Out.m_Grants[0].second;
  }
};

} // namespace

// Guards against a repeated datagram that uses up a second token.
TEST_CASE("a duplicate ask gets the same answer and takes no token") {
  SingleVm Test({1, 2});
  for (int I = 0; I < 5; ++I)
    CHECK(Test.askFrom(2, 77).m_IsGranted);
  CHECK(Test.askFrom(2, 78).m_IsGranted);
  Grant Refused = Test.askFrom(3, 77);
  CHECK(!Refused.m_IsGranted);
  CHECK(Test.askFrom(3, 77).m_RetryAfter == Refused.m_RetryAfter);
  CHECK(Test.askFrom(2, 77).m_IsGranted);
}

// Guards against refused callers that all come back at the same time.
TEST_CASE("refused callers are promised tokens one after another") {
  SingleVm Test({2, 1});
  CHECK(Test.request().m_Cause == Cause::Granted);
  Duration Last(0);
  for (int I = 0; I < 10; ++I) {
    Decision Refused = Test.request();
    CHECK(Refused.m_Cause == Cause::OverQuota);
    CHECK(Refused.m_RetryAfter - Last == 500ms);
    Last = Refused.m_RetryAfter;
  }
  for (int I = 0; I < 100; ++I)
    CHECK(Test.request().m_RetryAfter <= Test.m_Policy.m_MaxPromise);
}

// Guards against tokens of requests that were not sent, lost to the
// organisation or kept for so long that a window holds too many.
TEST_CASE("a returned token serves one request within the spare time") {
  SingleVm Test({0.01, 1});
  CHECK(Test.request().m_Cause == Cause::Granted);
  CHECK(Test.request().m_Cause == Cause::OverQuota);
  giveBack(Test.m_State, "org", Test.context());
  CHECK(Test.request().m_Cause == Cause::Granted);
  CHECK(Test.request().m_Cause == Cause::OverQuota);
  giveBack(Test.m_State, "org", Test.context());
  Test.m_Now += 1s;
  CHECK(Test.request().m_Cause == Cause::OverQuota);
}

// Guards against a process that grants by what an earlier run of it, which it
// has forgotten, had allowed.
TEST_CASE("a VM that has just started gives no permission") {
  QuotaPolicy Policy;
  TimePoint Start(1h);
  QuotaState State = makeState(Start);
  setQuotas(State, {{"org", {5, 5}}}, Policy, Start);
  View Seen{1, 0, {}, false};
  LastLive Live;
  const Member Members[] = {{1, 0, true, true}, {2, 0, true, true}};
  updateView(Seen, Live, Policy, Members, {}, Start);
  for (VmKey Asker : {VmKey(1), VmKey(2)}) {
    Effects Out;
    receiveAsk(State, Asker, {1, "org", Asker, Purpose::Permit, 0},
               {Policy, Seen, Start + Policy.m_PermitTime - 1ms}, Out);
    CHECK(Out.m_Grants.empty());
  }
}

// Guards against a late duplicate that ends a permission given since, so that
// two VMs grant.
TEST_CASE("an old return of a permission does not end a newer one") {
  QuotaPolicy Policy;
  TimePoint Now(1h);
  QuotaState State = makeState(Now);
  setQuotas(State, {{"org", {5, 5}}}, Policy, Now);
  Now += 3s;
  View Seen{1, 0, {}, false};
  LastLive Live;
  auto Ask = [&](VmKey First, VmKey Asker, uint64_t Id, Purpose For) {
    const Member Members[] = {{1, 0, true, true},
                              {2, 0, First == 2, true},
                              {3, 0, First == 3, true},
                              {4, 0, true, true},
                              {5, 0, true, true}};
    updateView(Seen, Live, Policy, Members, {}, Now);
    Effects Out;
    receiveAsk(State, Asker, {Id, "org", Asker, For, 0}, {Policy, Seen, Now},
               Out);
    return !Out.m_Grants.empty() && Out.m_Grants[0].second.m_IsGranted;
  };
  // Whichever VM ranks first among those that are live.
  VmKey Holder = 0;
  for (VmKey Each : {VmKey(2), VmKey(3), VmKey(4), VmKey(5)})
    if (Holder == 0 && Ask(2, Each, 100, Purpose::Permit))
      Holder = Each;
  if (Holder == 0)
    return;
  Ask(2, Holder, 50, Purpose::Release);
  CHECK(Ask(2, Holder, 101, Purpose::Permit));
  Ask(2, Holder, 100, Purpose::Release);
  const OrganisationState &Of = State.m_Organisations.at("org");
  CHECK(Of.m_HolderUntil == Now + Policy.m_PermitTime);
  Ask(2, Holder, 102, Purpose::Release);
  CHECK(Of.m_HolderUntil == Now);
}

// Guards against a group that is cut off for long and then takes itself for the
// whole fleet.
TEST_CASE("only a VM that hears a majority forgets silent ones") {
  QuotaPolicy Policy;
  for (size_t Live : {size_t(2), size_t(4)}) {
    CAPTURE(Live);
    View Seen{1, 0, {}, false};
    LastLive At;
    TimePoint Now(1h);
    std::vector<Member> Members;
    for (VmKey Vm = 1; Vm <= 5; ++Vm)
      Members.push_back({Vm, Vm % 2, true, true});
    updateView(Seen, At, Policy, Members, {}, Now);
    CHECK(Seen.m_HearsMajority);
    Members.resize(Live);
    for (int I = 0; I < 300; ++I)
      updateView(Seen, At, Policy, Members, {}, Now += 1s);
    CHECK(Seen.m_HearsMajority == (Live > 2));
    CHECK(Seen.m_Members.size() == (Live > 2 ? Live : 5));
    // One that announces that it is leaving is not waited for.
    const VmKey Left[] = {5};
    updateView(Seen, At, Policy, Members, Left, Now);
    CHECK(Seen.m_Members.size() == 4);
  }
}
