#ifndef HYSSOPCROSS_UPLOADS_TESTS_UPLOADWORLD_H
#define HYSSOPCROSS_UPLOADS_TESTS_UPLOADWORLD_H

#include "FakeStore.h"
#include "hyssopcross/base/Invariant.h"
#include "hyssopcross/uploads/Uploads.h"

namespace hyssopcross::uploads::testing {

using namespace std::chrono_literals;

/// How often things go wrong in a run, in percent or counts.
struct Faults {
  uint32_t m_LostPercent = 20;
  uint32_t m_Outages = 2;
  uint32_t m_Crashes = 3;
  /// Crashes in a thousand actions, right after the action.
  uint32_t m_StepCrashes = 3;
  uint32_t m_BrokenPercent = 20;
  uint32_t m_CutPercent = 15;
  uint32_t m_RefusedPercent = 30;
  uint32_t m_ServerOutages = 3;
};

/// Several processes, one store, one backend server that stores an identity
/// once, and callers that retry through other processes. Collects what went
/// wrong.
class UploadWorld {
public:
  UploadWorld(uint64_t Seed, Faults Rates, UploadPolicy Policy);

  /// Runs the whole story and returns the first thing that went wrong.
  std::string run();

  records::testing::Agenda m_Time;
  records::testing::FakeStore m_Store;
  uint64_t m_SaidHeld = 0;

private:
  static constexpr size_t Processes = 3;
  static constexpr size_t Keys = 20;
  static constexpr Duration Span = 15s;

  struct Process {
    std::optional<UploadState> m_State;
    uint64_t m_Incarnation = 0;
  };

  struct Call {
    std::string m_Key;
    std::string m_Body;
    size_t m_Process = 0;
    uint64_t m_Incarnation = 0;
    uint32_t m_Try = 0;
    bool m_Stored = false;
    std::optional<AnswerKind> m_Said;
    uint16_t m_Status = 0;
  };

  void wrong(const std::string &What) {
    if (m_Wrong.empty())
      m_Wrong = What;
  }
  void restart(size_t Index);
  void feed(size_t Index, uint64_t Incarnation, const Event &Event);
  void perform(size_t Index, const Action &Action);
  CallId holderOf(size_t Index, DeliveryId Delivery);
  /// Runs a body at the backend server and reports how that ended.
  template <typename End>
  void serve(const std::string &Key, const std::string &Identity,
             const std::string &Body, CallId Call, End Ended);
  void said(const Answer &Answer);
  void arrive(const std::string &Key, const std::string &Body, uint32_t Try);
  void plan();
  bool isStored(const Call &Of) const;
  bool isRejected(const Call &Of) const;
  void checkEnd();

  Faults m_Rates;
  UploadPolicy m_Policy;
  bool m_ServerDown = false;
  Process m_Processes[Processes];
  std::map<CallId, Call> m_Calls;
  /// The calls that put objects into the store.
  std::map<std::string, CallId> m_Holders;
  /// What the backend server stores by identity, and identities by key.
  std::map<std::string, std::string> m_Stored;
  std::map<std::string, std::set<std::string>> m_Identities;
  CallId m_LastCall = 0;
  std::string m_Wrong;
};

} // namespace hyssopcross::uploads::testing

#endif
