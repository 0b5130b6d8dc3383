#include "RecordAnswers.h"
#include "hyssopcross/claims/Answers.h"
#include "hyssopcross/protocol/Headers.h"
#include "hyssopcross/uploads/Answers.h"

namespace hyssopcross::entry {

using protocol::Outcome;

namespace {

/// A completed answer with a body and its digest.
CallerAnswer answerWith(unsigned Status, const std::string &ContentType,
                        const std::string &Body) {
  CallerAnswer Completed;
  Completed.m_Outcome = Outcome::Completed;
  Completed.m_Status = Status;
  if (!ContentType.empty())
    Completed.m_Headers.emplace_back("Content-Type", ContentType);
  Completed.m_Headers.emplace_back(protocol::ContentDigestHeader,
                                   protocol::contentDigest(Body));
  Completed.m_Body = Body;
  return Completed;
}

/// An error of the system's own. Answers that are final have no time to come
/// back.
template <typename Text>
CallerAnswer answerError(const Text &Said, Duration RetryAfter) {
  CallerAnswer Answer = RetryAfter > Duration::zero()
                            ? refusedAnswer(Said.m_Status, Said.m_Code,
                                            Said.m_Message, RetryAfter)
                            : originatedAnswer(Said.m_Status, Said.m_Outcome,
                                               Said.m_Code, Said.m_Message);
  Answer.m_Outcome = Said.m_Outcome;
  return Answer;
}

} // namespace

CallerAnswer answerMoney(const claims::Answer &Answer) {
  claims::AnswerText Said = claims::describe(Answer.m_Kind);
  if (Said.m_Status != 0)
    return answerError(Said, Answer.m_RetryAfter);
  return answerWith(Answer.m_Answer.m_Status, Answer.m_Answer.m_ContentType,
                    Answer.m_Answer.m_Body);
}

CallerAnswer answerUpload(const uploads::Answer &Answer) {
  uploads::AnswerText Said = uploads::describe(Answer.m_Kind);
  if (Said.m_Status == 0)
    return answerWith(Answer.m_Answer.m_Status, Answer.m_Answer.m_ContentType,
                      Answer.m_Answer.m_Body);
  if (Answer.m_Receipt)
    return answerWith(Said.m_Status, "application/json",
                      uploads::receiptJson(*Answer.m_Receipt));
  return answerError(Said, Answer.m_RetryAfter);
}

} // namespace hyssopcross::entry
