// Many VMs in virtual time that ask each other for tokens, with lost datagrams,
// cuts, freezes, crashes and restarts.
#include "hyssopcross/quota/Quota.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <queue>
#include <random>

using namespace hyssopcross;
using namespace hyssopcross::quota;
using namespace std::chrono_literals;

/// Figures of each run; printed if the macro is defined.
#ifdef QUOTA_TEST_FIGURES
#define REPORT(...) MESSAGE(__VA_ARGS__)
#else
#define REPORT(...) static_cast<void>(0)
#endif

namespace {

const std::string Name = "org";
/// Time without which a VM does not notice that another one is silent.
constexpr Duration FailureTimeout = 2200ms;

struct SimulatedVm {
  QuotaState m_State;
  View m_View;
  LastLive m_Seen;
  Quota m_Quota;
  TimePoint m_FrozenUntil{};
  TimePoint m_TimerAt = TimePoint::max();
  bool m_IsUp = true;
  uint64_t m_Run = 0;
};

struct Simulation {
  QuotaPolicy m_Policy;
  std::vector<SimulatedVm> m_Vms;
  std::function<bool(size_t, size_t)> m_IsCut = [](size_t, size_t) {
    return false;
  };
  double m_Loss = 0;
  double m_ReturnShare = 0;
  std::mt19937_64 m_Random;
  TimePoint m_Now{1h};
  TimePoint m_ViewsChangeUntil{};
  /// Time after a fault until all views have settled.
  Duration m_ViewsTime = 130s;
  std::vector<std::vector<TimePoint>> m_Heard;
  std::vector<TimePoint> m_Sent;
  uint64_t m_Datagrams = 0;
  uint64_t m_Requests = 0;
  uint64_t m_OverQuota = 0;
  uint64_t m_NoGranter = 0;

  struct Event {
    TimePoint m_At;
    uint64_t m_Order;
    std::function<void()> m_Run;
    bool operator>(const Event &Other) const {
      return std::tie(m_At, m_Order) > std::tie(Other.m_At, Other.m_Order);
    }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
  uint64_t m_Order = 0;

  Simulation(size_t Vms, Quota Of, uint64_t Seed) : m_Random(Seed) {
    m_Vms.resize(Vms);
    m_Heard.assign(Vms, std::vector<TimePoint>(Vms, m_Now));
    for (size_t I = 0; I < Vms; ++I) {
      m_Vms[I].m_Quota = Of;
      start(I);
    }
    refreshViews();
  }

  static uint32_t dataCentreOf(size_t Vm) {
    return static_cast<uint32_t>(Vm % 3);
  }
  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  void at(TimePoint When, std::function<void()> Run) {
    m_Events.push({When, ++m_Order, std::move(Run)});
  }

  void start(size_t I) {
    SimulatedVm &Vm = m_Vms[I];
    Quota Of = Vm.m_Quota;
    uint64_t Run = Vm.m_Run + 1;
    Vm = {};
    Vm.m_Quota = Of;
    Vm.m_Run = Run;
    Vm.m_View.m_Self = static_cast<VmKey>(I + 1);
    Vm.m_State = makeState(m_Now);
    setQuotas(Vm.m_State, {{Name, Of}}, m_Policy, m_Now);
    changed();
  }
  void changed() { m_ViewsChangeUntil = m_Now + m_ViewsTime; }

  /// Which VMs each one hears.
  void refreshViews() {
    if (m_Now < m_ViewsChangeUntil)
      for (size_t I = 0; I < m_Vms.size(); ++I) {
        if (!m_Vms[I].m_IsUp || m_Vms[I].m_FrozenUntil > m_Now)
          continue;
        std::vector<Member> Listed;
        for (size_t J = 0; J < m_Vms.size(); ++J) {
          if (m_Vms[J].m_IsUp && m_Vms[J].m_FrozenUntil <= m_Now &&
              !m_IsCut(I, J))
            m_Heard[I][J] = m_Now;
          Listed.push_back({static_cast<VmKey>(J + 1), dataCentreOf(J),
                            I == J || m_Now - m_Heard[I][J] < FailureTimeout,
                            true});
        }
        updateView(m_Vms[I].m_View, m_Vms[I].m_Seen, m_Policy, Listed, {},
                   m_Now);
      }
    at(m_Now + 500ms, [this] { refreshViews(); });
  }

  Context contextOf(size_t I) const {
    return {m_Policy, m_Vms[I].m_View, m_Now};
  }

  template <typename Message>
  void transmit(size_t From, VmKey To, const Message &Sent) {
    ++m_Datagrams;
    size_t I = To - 1;
    if (m_IsCut(From, I) || draw() < m_Loss)
      return;
    bool IsNear = dataCentreOf(From) == dataCentreOf(I);
    auto Delay = IsNear ? scale(1ms, 0.1 + 0.2 * draw())
                        : scale(1ms, 0.5 + 3.9 * draw());
    int Copies = draw() < 0.02 ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy)
      at(m_Now + Delay * (1 + Copy), [this, From, I, Sent] {
        deliver(I, [this, From, I, Sent](Effects &Out) {
          auto Sender = static_cast<VmKey>(From + 1);
          if constexpr (std::is_same_v<Message, Ask>)
            receiveAsk(m_Vms[I].m_State, Sender, Sent, contextOf(I), Out);
          else
            receiveGrant(m_Vms[I].m_State, Sender, Sent, contextOf(I), Out);
        });
      });
  }

  /// Runs an input of a VM, once it is no longer frozen.
  void deliver(size_t I, const std::function<void(Effects &)> &Run) {
    SimulatedVm &Vm = m_Vms[I];
    if (!Vm.m_IsUp)
      return;
    if (Vm.m_FrozenUntil > m_Now)
      return at(Vm.m_FrozenUntil, [this, I, Run] { deliver(I, Run); });
    Effects Out;
    Run(Out);
    for (const auto &[To, Each] : Out.m_Asks)
      transmit(I, To, Each);
    for (const auto &[To, Each] : Out.m_Grants)
      transmit(I, To, Each);
    for (const Decision &Each : Out.m_Decisions)
      decided(I, Each);
    TimePoint Next = nextAt(Vm.m_State);
    if (Next >= Vm.m_TimerAt)
      return;
    Vm.m_TimerAt = Next;
    at(std::max(Next, m_Now), [this, I, Next, Run = Vm.m_Run] {
      if (m_Vms[I].m_TimerAt != Next || m_Vms[I].m_Run != Run)
        return;
      deliver(I, [this, I](Effects &Due) {
        m_Vms[I].m_TimerAt = TimePoint::max();
        advance(m_Vms[I].m_State, contextOf(I), Due);
      });
    });
  }

  void decided(size_t I, const Decision &Made) {
    if (Made.m_Cause == Cause::OverQuota) {
      ++m_OverQuota;
      CHECK(Made.m_RetryAfter > Duration(0));
    } else if (Made.m_Cause == Cause::NoGranter) {
      ++m_NoGranter;
    } else if (draw() < m_ReturnShare) {
      giveBack(m_Vms[I].m_State, Name, contextOf(I));
    } else {
      m_Sent.push_back(m_Now);
    }
  }

  /// Sends requests at random times to random VMs.
  void load(TimePoint From, Duration For, double PerSecond,
            std::vector<TimePoint> *Arrivals = nullptr) {
    std::exponential_distribution<double> Gap(PerSecond);
    for (TimePoint T = From + scale(1s, Gap(m_Random)); T < From + For;
         T += scale(1s, Gap(m_Random))) {
      size_t I = m_Random() % m_Vms.size();
      if (Arrivals)
        Arrivals->push_back(T);
      at(T, [this, I] {
        ++m_Requests;
        // Callers use another VM if one does not answer.
        size_t To = I;
        while (!m_Vms[To].m_IsUp)
          To = (To + 1) % m_Vms.size();
        deliver(To, [this, To](Effects &Out) {
          requestToken(m_Vms[To].m_State, Name, contextOf(To), Out);
        });
      });
    }
  }

  void runUntil(TimePoint End) {
    while (!m_Events.empty() && m_Events.top().m_At <= End) {
      Event Next = m_Events.top();
      m_Events.pop();
      m_Now = std::max(m_Now, Next.m_At);
      Next.m_Run();
    }
    m_Now = End;
  }

  /// Index of the VM that may grant; the number of VMs if there is none.
  size_t granter() const {
    for (size_t I = 0; I < m_Vms.size(); ++I) {
      auto Found = m_Vms[I].m_State.m_Organisations.find(Name);
      if (m_Vms[I].m_IsUp && holdsPermission(Found->second, contextOf(I)))
        return I;
    }
    return m_Vms.size();
  }

  size_t mostInWindow(TimePoint From = {}) const {
    std::vector<TimePoint> Times = m_Sent;
    std::sort(Times.begin(), Times.end());
    size_t Most = 0;
    size_t First = 0;
    for (size_t I = 0; I < Times.size(); ++I) {
      while (Times[I] - Times[First] >= m_Policy.m_Window ||
             Times[First] < From)
        if (++First > I)
          break;
      if (First <= I)
        Most = std::max(Most, I - First + 1);
    }
    return Most;
  }

  size_t sentSince(TimePoint From) const {
    return static_cast<size_t>(
        std::count_if(m_Sent.begin(), m_Sent.end(),
                      [&](TimePoint Each) { return Each >= From; }));
  }
};

double allowed(const QuotaPolicy &Policy, const Quota &Of) {
  return Of.m_PerSecond * 5 + Of.m_Burst + tolerance(Policy, Of);
}

/// How many of these requests the quota allows, if its bucket is full at first.
double owed(const std::vector<TimePoint> &Arrivals, const Quota &Of) {
  double Level = Of.m_Burst;
  double Count = 0;
  for (size_t I = 0; I < Arrivals.size(); ++I) {
    if (I > 0)
      Level =
          std::min(Of.m_Burst,
                   Level + Of.m_PerSecond * std::chrono::duration<double>(
                                                Arrivals[I] - Arrivals[I - 1])
                                                .count());
    if (Level >= 1) {
      Level -= 1;
      ++Count;
    }
  }
  return Count;
}

Quota quotaOf(double PerSecond) {
  return {PerSecond, std::max(1.0, PerSecond)};
}

} // namespace

// Guards against a limit that all VMs together exceed, and against one whose
// unused part is stranded at VMs that do not need it.
TEST_CASE("the fleet grants what the quota allows, and no more") {
  struct Size {
    size_t m_Vms;
    std::vector<double> m_Losses;
  };
  const Size Sizes[] = {
      {1, {0}}, {12, {0, 0.3}}, {94, {0.05, 0.3}}, {300, {0}}};
  for (const Size &Each : Sizes)
    for (double Rate : {0.3, 5.0, 60.0, 300.0})
      for (double Loss : Each.m_Losses)
        for (double Demand : {0.62, 3.0}) {
          size_t Vms = Each.m_Vms;
          CAPTURE(Vms);
          CAPTURE(Rate);
          CAPTURE(Loss);
          CAPTURE(Demand);
          Quota Of = quotaOf(Rate);
          Simulation Test(Vms, Of, Vms * 1000 + uint64_t(Rate * 10));
          Test.m_ViewsChangeUntil = Test.m_Now + 5s;
          Test.m_Loss = Loss;
          Test.load(Test.m_Now + 2500ms, 12s, Rate * 0.62);
          TimePoint From = Test.m_Now + 15s;
          Duration For = scale(1s, std::max(100 / Rate, 10.0));
          std::vector<TimePoint> Arrivals;
          Test.load(From, For, Rate * Demand, &Arrivals);
          Test.runUntil(From + For + 1s);
          // The bucket may hold up to one token less than the reference at
          // first.
          double Share = (1 + double(Test.sentSince(From))) /
                         std::max(1.0, owed(Arrivals, Of));
          REPORT(Vms << " VMs, rate " << Rate << ", loss " << Loss
                     << ", demand " << Demand << ": share " << Share
                     << ", without granter " << Test.m_NoGranter << " of "
                     << Test.m_Requests << ", datagrams per request "
                     << double(Test.m_Datagrams) / double(Test.m_Requests)
                     << ", most in window " << Test.mostInWindow() << " of "
                     << allowed(Test.m_Policy, Of));
          CHECK(double(Test.mostInWindow()) <= allowed(Test.m_Policy, Of));
          // At 30% loss, half of the round trips fail.
          CHECK(Share >= (Loss > 0.1 ? 0.9 : 0.97));
        }
}

// Guards against several granters at once and against a reserve that groups of
// VMs use up several times over.
TEST_CASE("the sum over all VMs holds through faults") {
  struct Fault {
    const char *m_Name;
    std::function<void(Simulation &, TimePoint From)> m_Plan;
    bool m_Bridged = false;
  };
  auto SetCut = [](Simulation &Test, TimePoint At,
                   const std::function<bool(size_t, size_t)> &Cut) {
    Test.at(At, [&Test, Cut] {
      Test.m_IsCut = Cut;
      Test.changed();
    });
  };
  auto None = [](size_t, size_t) { return false; };
  auto DataCentre = Simulation::dataCentreOf;
  const Fault Faults[] = {
      {"two data centres cut off from each other, a third hears both",
       [&](Simulation &Test, TimePoint From) {
         SetCut(Test, From, [&](size_t A, size_t B) {
           return DataCentre(A) + DataCentre(B) == 1;
         });
         SetCut(Test, From + 90s, None);
       },
       true},
      {"each data centre alone",
       [&](Simulation &Test, TimePoint From) {
         SetCut(Test, From, [&](size_t A, size_t B) {
           return DataCentre(A) != DataCentre(B);
         });
         SetCut(Test, From + 90s, None);
       }},
      {"two halves",
       [&](Simulation &Test, TimePoint From) {
         size_t Half = Test.m_Vms.size() / 2;
         SetCut(Test, From, [Half](size_t A, size_t B) {
           return (A < Half) != (B < Half);
         });
         SetCut(Test, From + 90s, None);
       }},
      {"the cut changes every second",
       [&](Simulation &Test, TimePoint From) {
         for (int I = 0; I < 60; ++I)
           SetCut(Test, From + I * 1s, [&, I](size_t A, size_t B) {
             return I % 2 == 0 && (DataCentre(A) == uint32_t(I / 2 % 3)) !=
                                      (DataCentre(B) == uint32_t(I / 2 % 3));
           });
         SetCut(Test, From + 60s, None);
       }},
      {"granters crash one after another and come back",
       [&](Simulation &Test, TimePoint From) {
         for (int I = 0; I < 10; ++I)
           Test.at(From + I * 6s, [&Test] {
             size_t Which = Test.granter();
             if (Which == Test.m_Vms.size())
               return;
             Test.m_Vms[Which].m_IsUp = false;
             Test.changed();
             Test.at(Test.m_Now + 4s, [&Test, Which] { Test.start(Which); });
           });
       }},
      {"granters restart at once, again and again",
       [&](Simulation &Test, TimePoint From) {
         for (int I = 0; I < 40; ++I)
           Test.at(From + I * 700ms, [&Test] {
             if (size_t Which = Test.granter(); Which < Test.m_Vms.size())
               Test.start(Which);
           });
       }},
      {"granters freeze one after another",
       [&](Simulation &Test, TimePoint From) {
         for (int I = 0; I < 12; ++I)
           Test.at(From + I * 4s, [&Test, I] {
             size_t Which = Test.granter();
             if (Which == Test.m_Vms.size())
               return;
             Test.m_Vms[Which].m_FrozenUntil = Test.m_Now + 700ms * (1 + I);
             Test.changed();
           });
       }},
      {"all VMs restart",
       [&](Simulation &Test, TimePoint From) {
         for (int I = 0; I < 4; ++I)
           Test.at(From + I * 8s, [&Test] {
             for (size_t Vm = 0; Vm < Test.m_Vms.size(); ++Vm)
               Test.start(Vm);
           });
       }},
      {"half of the VMs restart in turn",
       [&](Simulation &Test, TimePoint From) {
         for (size_t I = 0; I < Test.m_Vms.size(); I += 2)
           Test.at(From + scale(20s, double(I) / double(Test.m_Vms.size())),
                   [&Test, I] { Test.start(I); });
       }},
  };
  struct Setup {
    size_t m_Vms;
    double m_Rate;
    double m_Loss;
    /// Share of the granted requests that are not sent.
    double m_Returned;
  };
  const Setup Setups[] = {{12, 0.3, 0, 0},
                          {12, 20, 0.2, 0.1},
                          {12, 300, 0, 0.1},
                          {94, 20, 0, 0},
                          {94, 0.3, 0.2, 0}};
  for (const Fault &Each : Faults)
    for (const Setup &Given : Setups) {
      auto Vms = Given.m_Vms;
      auto Rate = Given.m_Rate;
      auto Loss = Given.m_Loss;
      auto Returned = Given.m_Returned;
      std::string Case = Each.m_Name;
      CAPTURE(Case);
      CAPTURE(Vms);
      CAPTURE(Rate);
      CAPTURE(Loss);
      CAPTURE(Returned);
      Quota Of = quotaOf(Rate);
      Simulation Test(Vms, Of, Vms + uint64_t(Rate * 10));
      Test.m_Loss = Loss;
      Test.m_ReturnShare = Returned;
      TimePoint From = Test.m_Now + 12s;
      std::vector<TimePoint> Arrivals;
      Test.load(Test.m_Now + 2500ms, 9500ms, Rate * 0.62);
      Test.load(From, 100s, Rate * 1.5, &Arrivals);
      Each.m_Plan(Test, From + 2s);
      Test.runUntil(From + 100s);
      double Share = double(Test.sentSince(From)) / owed(Arrivals, Of);
      // An organisation that nobody asks for has no granter.
      Test.load(From + 100s, 2s, 10);
      Test.runUntil(From + 102s);
      REPORT(Case << ", " << Vms << " VMs, rate " << Rate << ", loss " << Loss
                  << ": share " << Share << ", most in window "
                  << Test.mostInWindow() << " of "
                  << allowed(Test.m_Policy, Of));
      CHECK(double(Test.mostInWindow()) <= allowed(Test.m_Policy, Of));
      if (Each.m_Bridged && Loss == 0)
        CHECK(Share >= 0.97 * (1 - Returned));
      // The fleet has recovered.
      CHECK(Test.granter() < Vms);
    }
}

// Guards against a lowered quota that some VMs do not apply.
TEST_CASE("a lowered quota is binding one window after all VMs have it") {
  for (size_t Vms : {size_t(12), size_t(94)}) {
    CAPTURE(Vms);
    Simulation Test(Vms, quotaOf(50), 7);
    TimePoint Begin = Test.m_Now;
    Test.load(Begin + 2500ms, 40s, 150);
    Quota Lowered = quotaOf(5);
    for (size_t I = 0; I < Vms; ++I)
      Test.at(Begin + 15s + scale(2s, double(I) / double(Vms)),
              [&Test, I, Lowered] {
                setQuotas(Test.m_Vms[I].m_State, {{Name, Lowered}},
                          Test.m_Policy, Test.m_Now);
              });
    Test.runUntil(Begin + 43s);
    CHECK(double(Test.mostInWindow(Begin + 22s)) <=
          allowed(Test.m_Policy, Lowered));
    CHECK(double(Test.sentSince(Begin + 22s)) >= 0.97 * 5 * 20);
  }
}
