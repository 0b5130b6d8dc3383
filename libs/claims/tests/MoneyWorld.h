#ifndef HYSSOPCROSS_CLAIMS_TESTS_MONEYWORLD_H
#define HYSSOPCROSS_CLAIMS_TESTS_MONEYWORLD_H

#include "FakeStore.h"
#include "hyssopcross/base/Invariant.h"
#include "hyssopcross/claims/Claims.h"

namespace hyssopcross::claims::testing {

using namespace std::chrono_literals;

/// How often things go wrong in a run, in percent or counts.
struct Faults {
  uint32_t m_LostPercent = 10;
  uint32_t m_Outages = 2;
  uint32_t m_Crashes = 4;
  /// Crashes in a thousand actions, right after the action.
  uint32_t m_StepCrashes = 2;
  uint32_t m_Freezes = 3;
  uint32_t m_ShedPercent = 20;
  uint32_t m_BrokenPercent = 10;
  uint32_t m_RefusedPercent = 15;
};

inline constexpr Faults NoFaults{0, 0, 0, 0, 0, 0, 0, 0};

/// Several processes, one store, one backend server that counts, and callers
/// that send keys twice at once, retry through other processes and now and
/// then reuse a key for another body. Collects what went wrong.
class MoneyWorld {
public:
  MoneyWorld(uint64_t Seed, Faults Rates, ClaimPolicy Policy)
      : m_Time(Seed), m_Store(m_Time), m_Rates(Rates), m_Policy(Policy) {
    m_Store.m_LostPercent = Rates.m_LostPercent;
    for (size_t I = 0; I < Processes; ++I)
      restart(I);
  }

  /// Runs the whole story and returns the first thing that went wrong.
  std::string run();

  records::testing::Agenda m_Time;
  records::testing::FakeStore m_Store;
  uint64_t m_Executions = 0;
  uint64_t m_AnswersSaid = 0;

private:
  static constexpr size_t Processes = 4;
  static constexpr size_t Keys = 24;
  static constexpr Duration Span = 12s;

  struct Process {
    std::optional<ClaimState> m_State;
    uint64_t m_Incarnation = 0;
    TimePoint m_FrozenUntil;
  };

  struct Call {
    std::string m_Key;
    std::string m_Digest;
    size_t m_Process = 0;
    uint64_t m_Incarnation = 0;
    TimePoint m_Arrived;
    WallTime m_Deadline;
    bool m_Repeat = false;
    uint32_t m_Try = 0;
    uint32_t m_Executions = 0;
    std::optional<AnswerKind> m_Said;
  };

  struct Key {
    uint32_t m_Executions = 0;
    TimePoint m_ExecutedAt;
    std::string m_Body;
    /// A process died that may have held a claim of this key.
    bool m_Orphaned = false;
  };

  void wrong(const std::string &What) {
    if (m_Wrong.empty())
      m_Wrong = What;
  }
  void restart(size_t Index);
  void crash(size_t Index);
  void feed(size_t Index, uint64_t Incarnation, const Event &Event);
  void perform(size_t Index, const Action &Action);
  void send(size_t Index, CallId Call);
  void execute(Call &Of);
  void said(const Answer &Answer);
  void arrive(const std::string &Key, const std::string &Digest, uint32_t Try,
              bool Repeat, Duration Allowed);
  Duration drawTimeout() { return m_Time.between(60ms, 1500ms); }
  void planFaults();
  void planCallers();
  void checkRefusedKeysRun();

  Faults m_Rates;
  ClaimPolicy m_Policy;
  Process m_Processes[Processes];
  std::map<CallId, Call> m_Calls;
  std::map<std::string, Key> m_Keys;
  CallId m_LastCall = 0;
  std::string m_Wrong;
};

} // namespace hyssopcross::claims::testing

#endif
