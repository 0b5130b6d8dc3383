#ifndef HYSSOPCROSS_UPLOADS_ANSWERS_H
#define HYSSOPCROSS_UPLOADS_ANSWERS_H

#include "hyssopcross/protocol/Outcome.h"
#include "hyssopcross/uploads/Events.h"

namespace hyssopcross::uploads {

/// How an answer is written for the caller.
struct AnswerText {
  /// The HTTP status; zero for the backend server's own answer.
  uint16_t m_Status = 0;
  protocol::Outcome m_Outcome = protocol::Outcome::Completed;
  /// The stable code and the sentence; empty for the server's own answer.
  const char *m_Code = "";
  const char *m_Message = "";
};

/// The status, outcome and text of an answer, as docs/CALLERS.md lists them.
AnswerText describe(AnswerKind Kind);

/// A receipt as a JSON object for the caller.
std::string receiptJson(const Receipt &Value);

} // namespace hyssopcross::uploads

#endif
