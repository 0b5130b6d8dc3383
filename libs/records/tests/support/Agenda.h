#ifndef HYSSOPCROSS_RECORDS_TESTS_AGENDA_H
#define HYSSOPCROSS_RECORDS_TESTS_AGENDA_H

#include "hyssopcross/records/Store.h"
#include <functional>
#include <random>

namespace hyssopcross::records::testing {

/// Virtual time with things to do in it, the same for the same seed.
class Agenda {
public:
  explicit Agenda(uint64_t Seed) : m_Random(Seed) {}

  Instant now() const { return m_Now; }

  void in(Duration Delay, std::function<void()> Task) {
    m_Tasks.emplace(m_Now.m_Now + Delay, std::move(Task));
  }

  /// Runs what is due within Span, then stands at its end.
  void run(Duration Span) {
    TimePoint End = m_Now.m_Now + Span;
    while (!m_Tasks.empty() && m_Tasks.begin()->first <= End) {
      auto Node = m_Tasks.extract(m_Tasks.begin());
      moveTo(std::max(Node.key(), m_Now.m_Now));
      Node.mapped()();
    }
    moveTo(End);
  }

  bool chance(uint32_t Percent) { return m_Random() % 100 < Percent; }
  uint64_t below(uint64_t Bound) { return m_Random() % Bound; }
  Duration between(Duration Low, Duration High) {
    auto Span = static_cast<uint64_t>((High - Low).count()) + 1;
    return Low + Duration(static_cast<int64_t>(m_Random() % Span));
  }

private:
  void moveTo(TimePoint Time) {
    m_Now.m_Wall += Time - m_Now.m_Now;
    m_Now.m_Now = Time;
  }

  std::mt19937_64 m_Random;
  Instant m_Now{TimePoint(std::chrono::hours(1)),
                WallTime(std::chrono::hours(24))};
  std::multimap<TimePoint, std::function<void()>> m_Tasks;
};

} // namespace hyssopcross::records::testing

#endif
