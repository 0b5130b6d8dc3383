#ifndef HYSSOPCROSS_LOAD_RECORDS_H
#define HYSSOPCROSS_LOAD_RECORDS_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/catalogue/Types.h"
#include <string>
#include <vector>

namespace hyssopcross::load {

/// What a caller was told about one attempt.
enum class Told {
  /// The three outcomes, as the outcome header names them. An answer without
  /// the header counts as Unknown.
  Completed,
  NotRun,
  Unknown,
  /// No answer arrived after a byte of the request had been sent.
  NoAnswer,
  /// Nothing was sent.
  NotSent,
};

/// One attempt of a call, sent to one entry VM.
struct AttemptRecord {
  std::string m_Correlation;
  Told m_Told = Told::NotSent;
  /// Why the answer does not belong to the request or is not whole; empty if
  /// all is well. Judged only for Completed.
  std::string m_Flaw;
  /// The receipt that the answer named, for money.
  std::string m_Receipt;
  /// Why the attempt was not completed, for people; empty if it was.
  std::string m_Reason;
};

/// One call and everything that the caller was told about it.
struct CallRecord {
  catalogue::ServiceClass m_Class = catalogue::ServiceClass::Lookup;
  std::string m_Service;
  std::string m_IdempotencyKey;
  /// Digest and length of the body.
  std::string m_Digest;
  uint64_t m_Length = 0;
  std::vector<AttemptRecord> m_Attempts;
  /// From when the call was due to its last answer.
  Duration m_Latency{};
};

/// What a call comes to for its caller.
enum class CallOutcome { Completed, NotRun, Unknown };

/// Completed if any attempt was; NotRun only if no attempt may have run.
CallOutcome callOutcome(const CallRecord &Call);

} // namespace hyssopcross::load

#endif
