#ifndef HYSSOPCROSS_STANDINS_BACKENDFAULTS_H
#define HYSSOPCROSS_STANDINS_BACKENDFAULTS_H

#include "hyssopcross/base/Clock.h"
#include <cstdint>
#include <mutex>

namespace hyssopcross::standins {

/// What is wrong with one answer.
struct AnswerFaults {
  /// Closes the connection in the middle of the answer.
  bool m_Cut = false;
  /// Answers with the correlation id and body of another request.
  bool m_Crossed = false;
  /// Holds the finished answer back for this long.
  Duration m_Late{};
};

/// The faults that are injected into a backend server. Safe from any thread.
class BackendFaults {
public:
  /// Multiplies service times by Factor until Until.
  void slowDown(double Factor, TimePoint Until);

  /// Answers everything at once with an error until Until.
  void failFast(TimePoint Until);

  /// The next Count answers are cut, crossed, or late by Delay.
  void cutAnswers(uint32_t Count);
  void crossAnswers(uint32_t Count);
  void delayAnswers(uint32_t Count, Duration Delay);

  double slowFactor(TimePoint Now) const;
  bool failsFast(TimePoint Now) const;

  /// Uses up the faults of the next answer.
  AnswerFaults takeAnswerFaults();

private:
  mutable std::mutex m_Mutex;
  double m_Factor = 1;
  TimePoint m_SlowUntil{};
  TimePoint m_FailUntil{};
  uint32_t m_Cuts = 0;
  uint32_t m_Crossings = 0;
  uint32_t m_Delays = 0;
  Duration m_Delay{};
};

} // namespace hyssopcross::standins

#endif
