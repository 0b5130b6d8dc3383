#ifndef HYSSOPCROSS_CLAIMS_ANSWERS_H
#define HYSSOPCROSS_CLAIMS_ANSWERS_H

#include "hyssopcross/claims/Events.h"
#include "hyssopcross/protocol/Outcome.h"

namespace hyssopcross::claims {

/// How an answer is written for the caller.
struct AnswerText {
  /// The HTTP status; zero for answers that carry the recorded one.
  uint16_t m_Status = 0;
  protocol::Outcome m_Outcome = protocol::Outcome::Completed;
  /// The stable code and the sentence of the error; empty if it is none.
  const char *m_Code = "";
  const char *m_Message = "";
};

/// The status, outcome and error of an answer, as docs/CALLERS.md lists them.
AnswerText describe(AnswerKind Kind);

} // namespace hyssopcross::claims

#endif
