#ifndef HYSSOPCROSS_TESTBED_EVENTQUEUE_H
#define HYSSOPCROSS_TESTBED_EVENTQUEUE_H

#include "hyssopcross/base/Clock.h"
#include <cstdint>
#include <functional>
#include <vector>

namespace hyssopcross::testbed {

/// Work ordered by time on a manual clock. Work for the same instant runs in
/// the order in which it was added. Not thread-safe.
class EventQueue {
public:
  /// The instant of the work that runs, or of the end of the last run.
  TimePoint now() const { return m_Now; }

  /// Adds work for an instant; an instant in the past means now.
  void at(TimePoint When, std::function<void()> Work);

  /// Adds work for the instant Wait from now.
  void after(Duration Wait, std::function<void()> Work) {
    at(m_Now + Wait, std::move(Work));
  }

  /// Runs all work up to and including End, then moves the clock to End.
  void runUntil(TimePoint End);

private:
  struct Item {
    TimePoint m_When;
    uint64_t m_Order = 0;
    std::function<void()> m_Work;
  };

  static bool isLater(const Item &Left, const Item &Right);

  std::vector<Item> m_Heap;
  uint64_t m_Added = 0;
  uint64_t m_AtThisInstant = 0;
  TimePoint m_Now{std::chrono::hours(1)};
};

} // namespace hyssopcross::testbed

#endif
