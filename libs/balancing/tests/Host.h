#ifndef HYSSOPCROSS_BALANCING_TESTS_HOST_H
#define HYSSOPCROSS_BALANCING_TESTS_HOST_H

#include "hyssopcross/balancing/Pool.h"
#include "hyssopcross/base/Invariant.h"
#include <stdexcept>
#include <string>

namespace hyssopcross::balancing::tests {

using namespace std::chrono_literals;

/// What the handler of broken invariants throws in tests.
struct BrokenInvariant : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Makes broken invariants throw for as long as it lives.
class ThrowingInvariants {
public:
  ThrowingInvariants()
      : m_Previous(setInvariantHandler([](std::string_view What) {
          throw BrokenInvariant(std::string(What));
        })) {}
  ~ThrowingInvariants() { setInvariantHandler(m_Previous); }
  ThrowingInvariants(const ThrowingInvariants &) = delete;
  ThrowingInvariants &operator=(const ThrowingInvariants &) = delete;

private:
  InvariantHandler m_Previous;
};

inline catalogue::ServiceEntry
makeEntry(catalogue::ServiceClass Class = catalogue::ServiceClass::Lookup) {
  catalogue::ServiceEntry Entry;
  Entry.m_Name = "boletas";
  Entry.m_Class = Class;
  return Entry;
}

/// One pool with a clock that the test moves, and the actions of the last
/// step.
struct Host {
  explicit Host(catalogue::ServiceEntry Entry = makeEntry(),
                PoolPolicy Policy = {}, uint64_t Seed = 1)
      : m_State({"boletas", "arequipa"}, std::move(Entry), Policy, Seed) {}

  void apply(const Event &Event) {
    m_Actions.clear();
    step(m_State, Event, m_Now, m_Actions);
  }

  /// Moves the clock and wakes the pool there.
  void wakeAfter(Duration Time) {
    m_Now += Time;
    apply(Woke{});
  }

  /// The actions of one type in the last step.
  template <typename Kind> std::vector<Kind> all() const {
    std::vector<Kind> Found;
    for (const Action &Action : m_Actions)
      if (const auto *Known = std::get_if<Kind>(&Action))
        Found.push_back(*Known);
    return Found;
  }

  /// The only action of one type in the last step.
  template <typename Kind> Kind only() const {
    std::vector<Kind> Found = all<Kind>();
    if (Found.size() != 1)
      throw std::runtime_error("expected one action, found " +
                               std::to_string(Found.size()));
    return Found[0];
  }

  /// Lists servers s1 to sN.
  void list(int Count) {
    ServersListed Event;
    for (int Index = 1; Index <= Count; ++Index)
      Event.m_Servers.push_back({"s" + std::to_string(Index), false});
    apply(Event);
  }

  /// Takes over N servers that are warm, with nothing in flight.
  void takeOverWarm(int Count) {
    TookOver Event;
    Event.m_Until = m_Now;
    Event.m_Exact = true;
    for (int Index = 1; Index <= Count; ++Index)
      Event.m_Digest.push_back({"s" + std::to_string(Index), "boot", true,
                                false, m_State.m_Entry.m_Limits.m_Slots, 0});
    list(Count);
    apply(Event);
  }

  void arrive(CallId Call, Duration Allowed = 1s, std::string Share = "") {
    CallArrived Event;
    Event.m_Call = Call;
    Event.m_Deadline = m_Now + Allowed;
    Event.m_ShareKey = std::move(Share);
    apply(Event);
  }

  void end(AttemptId Attempt, AttemptEnd End = AttemptEnd::Completed,
           std::optional<LoadReport> Report = {}) {
    apply(AttemptEnded{Attempt, End, std::move(Report)});
  }

  /// Runs calls one after the other, each for Service.
  void runCalls(int Count, Duration Service = 10ms) {
    for (int Index = 0; Index < Count; ++Index) {
      arrive(m_NextCall++);
      AttemptId Attempt = only<SendAttempt>().m_Attempt;
      m_Now += Service;
      end(Attempt);
    }
  }

  ServerState &server(int Index) {
    return m_State.m_Servers.at("s" + std::to_string(Index));
  }

  PoolState m_State;
  TimePoint m_Now{std::chrono::hours(1)};
  std::vector<Action> m_Actions;
  CallId m_NextCall = 1000000;
};

} // namespace hyssopcross::balancing::tests

#endif
