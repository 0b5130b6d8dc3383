#include "hyssopcross/discovery/Pace.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>

namespace hyssopcross::discovery {

bool mayCall(const Pace &Of) { return Of.m_Phase == Pace::Phase::Idle; }

void noteCall(Pace &Of) {
  HYSSOPCROSS_INVARIANT(Of.m_Phase == Pace::Phase::Idle,
                        "a source gets one call at a time");
  Of.m_Phase = Pace::Phase::Calling;
}

void noteSuccess(Pace &Of) {
  Of.m_Phase = Pace::Phase::Idle;
  Of.m_Failures = 0;
}

Duration noteFailure(Pace &Of, double Jitter) {
  Duration Pause = Of.m_First * (1U << std::min(Of.m_Failures, 10U));
  ++Of.m_Failures;
  Of.m_Phase = Pace::Phase::Pausing;
  return scale(std::min(Pause, Of.m_Longest), 0.75 + 0.5 * Jitter);
}

void notePause(Pace &Of) { Of.m_Phase = Pace::Phase::Pausing; }

void notePauseOver(Pace &Of) {
  if (Of.m_Phase == Pace::Phase::Pausing)
    Of.m_Phase = Pace::Phase::Idle;
}

void noteDropped(Pace &Of) {
  Of.m_Phase = Pace::Phase::Idle;
  Of.m_Failures = 0;
}

bool takeHandOver(HandOvers &Of, TimePoint Now) {
  if (Now - Of.m_SliceAt >= Of.m_Slice) {
    Of.m_SliceAt = Now;
    Of.m_Given = 0;
  }
  if (Of.m_Given >= Of.m_MostInSlice)
    return false;
  ++Of.m_Given;
  return true;
}

} // namespace hyssopcross::discovery
