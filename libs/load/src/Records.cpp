#include "hyssopcross/load/Records.h"

namespace hyssopcross::load {

CallOutcome callOutcome(const CallRecord &Call) {
  bool MayHaveRun = false;
  for (const AttemptRecord &Attempt : Call.m_Attempts) {
    if (Attempt.m_Told == Told::Completed)
      return CallOutcome::Completed;
    MayHaveRun |=
        Attempt.m_Told == Told::Unknown || Attempt.m_Told == Told::NoAnswer;
  }
  return MayHaveRun ? CallOutcome::Unknown : CallOutcome::NotRun;
}

} // namespace hyssopcross::load
