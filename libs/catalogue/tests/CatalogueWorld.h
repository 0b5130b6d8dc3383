#ifndef HYSSOPCROSS_CATALOGUE_TESTS_CATALOGUEWORLD_H
#define HYSSOPCROSS_CATALOGUE_TESTS_CATALOGUEWORLD_H

#include "FakeStore.h"
#include "hyssopcross/base/Invariant.h"
#include "hyssopcross/catalogue/Editor.h"
#include "hyssopcross/catalogue/Follower.h"
#include <set>

namespace hyssopcross::catalogue::testing {

using namespace std::chrono_literals;

/// How often things go wrong in a run, in percent or counts.
struct Faults {
  uint32_t m_LostPercent = 20;
  uint32_t m_Outages = 2;
  uint32_t m_Partitions = 3;
  uint32_t m_Restarts = 3;
  uint32_t m_SlowStore = 1;
  /// Pairs of operators that change the catalogue at the same moment.
  uint32_t m_Races = 10;
};

/// Entry VMs that follow the catalogue, operators that race to change it, one
/// store, and a network that parts VMs from it and from each other. Collects
/// what went wrong.
class CatalogueWorld {
public:
  CatalogueWorld(uint64_t Seed, Faults Rates, EditorPolicy Edits,
                 FollowerPolicy Follows);

  /// Runs the whole story and returns the first thing that went wrong.
  std::string run();

  records::testing::Agenda m_Time;
  records::testing::FakeStore m_Store;
  /// From acceptance until all have it, with all connected at the end.
  Duration m_LastSpread{};
  uint64_t m_Announced = 0;
  uint64_t m_Fetched = 0;

private:
  static constexpr size_t Vms = 30;
  static constexpr size_t PollerEvery = 15;
  static constexpr size_t Services = 6;
  static constexpr Duration Span = 30s;
  static constexpr Duration Heartbeat = 1s;

  struct Vm {
    std::optional<FollowerState> m_State;
    uint64_t m_Incarnation = 0;
    uint64_t m_Highest = 0;
    bool m_Takes = false;
    /// VMs hear only those of the same group; the store hears group zero.
    uint32_t m_Group = 0;
    bool m_CutFromStore = false;
    TimePoint m_AloneSince;
  };

  struct Operator {
    std::optional<EditorState> m_State;
    std::string m_Service;
    uint32_t m_Slots = 0;
  };

  void wrong(const std::string &What) {
    if (m_Wrong.empty())
      m_Wrong = What;
  }
  void restart(size_t Index);
  void feed(size_t Index, uint64_t Incarnation, const FollowerEvent &Event);
  void perform(size_t Index, const FollowerAction &Action);
  void tell(size_t From, size_t To, uint64_t Version);
  void heartbeat(size_t Index);
  bool connected(size_t Left, size_t Right) const;
  void change(const std::string &Service, uint32_t Slots);
  void follow(size_t Operator, const EditorAction &Action);
  void ended(size_t Operator, const ChangeResult &Result);
  void planFaults();
  void part();
  void checkAlone(size_t Index);
  void checkAccepted();
  void checkSpread();

  Faults m_Rates;
  EditorPolicy m_Edits;
  FollowerPolicy m_Follows;
  std::vector<Vm> m_Vms;
  std::vector<Operator> m_Operators;
  /// The change ids that were accepted, with their versions.
  std::map<std::string, uint64_t> m_Accepted;
  std::set<std::string> m_Refused;
  bool m_EditorDies = false;
  std::string m_Wrong;
};

} // namespace hyssopcross::catalogue::testing

#endif
