#include "hyssopcross/load/Comparison.h"
#include <map>
#include <set>

namespace hyssopcross::load {

using catalogue::ServiceClass;
using standins::LedgerEntry;

namespace {

/// The entries of all ledgers by correlation id and by idempotency key.
class Index {
public:
  explicit Index(std::span<const LedgerEntry> Ledger) {
    for (const LedgerEntry &Entry : Ledger) {
      m_Correlations.insert(Entry.m_Correlation);
      if (!Entry.m_IdempotencyKey.empty())
        m_ByKey.emplace(Entry.m_IdempotencyKey, &Entry);
    }
  }

  bool ran(const std::string &Correlation) const {
    return m_Correlations.contains(Correlation);
  }

  size_t runs(const std::string &Key) const { return m_ByKey.count(Key); }

  /// Whether an execution under the key satisfies the condition.
  template <typename Condition>
  bool any(const std::string &Key, Condition Holds) const {
    auto [Next, End] = m_ByKey.equal_range(Key);
    for (; Next != End; ++Next)
      if (Holds(*Next->second))
        return true;
    return false;
  }

private:
  std::set<std::string_view> m_Correlations;
  std::multimap<std::string_view, const LedgerEntry *> m_ByKey;
};

/// Why a completed attempt contradicts the ledgers; empty if it does not. A
/// repeated key is answered with the recorded answer, so the execution may
/// carry another attempt's correlation id.
std::string judgeCompleted(const CallRecord &Call, const AttemptRecord &Attempt,
                           const Index &Ran) {
  if (!Attempt.m_Flaw.empty())
    return Attempt.m_Flaw;
  // Judged as a lost upload instead.
  if (Call.m_Class == ServiceClass::Upload)
    return "";
  if (Call.m_Class == ServiceClass::Lookup)
    return Ran.ran(Attempt.m_Correlation) ? ""
                                          : "told completed, but did not run";
  if (Ran.runs(Call.m_IdempotencyKey) == 0)
    return "told completed, but did not run";
  bool Named =
      Ran.any(Call.m_IdempotencyKey, [&Attempt](const LedgerEntry &Entry) {
        return Entry.m_Receipt == Attempt.m_Receipt;
      });
  return Named ? "" : "told a receipt that no server gave";
}

std::string judge(const CallRecord &Call, const AttemptRecord &Attempt,
                  const Index &Ran) {
  switch (Attempt.m_Told) {
  case Told::Completed:
    return judgeCompleted(Call, Attempt, Ran);
  case Told::NotRun:
    return Ran.ran(Attempt.m_Correlation) ? "told not-run, but ran" : "";
  case Told::NotSent:
    return Ran.ran(Attempt.m_Correlation) ? "was not sent, but ran" : "";
  case Told::Unknown:
  case Told::NoAnswer:
    return "";
  }
  return "";
}

void judgeAttempts(const CallRecord &Call, const Index &Ran, Findings &Found) {
  bool Mismatched = false;
  for (const AttemptRecord &Attempt : Call.m_Attempts) {
    std::string Flaw = judge(Call, Attempt, Ran);
    if (Flaw.empty())
      continue;
    Mismatched = true;
    Found.m_Details.push_back("mismatched: " + Call.m_Service + " " +
                              Attempt.m_Correlation + " " + Flaw);
  }
  Found.m_Mismatched += Mismatched ? 1 : 0;
}

void judgeMoney(const CallRecord &Call, const Index &Ran, Findings &Found) {
  size_t Runs = Ran.runs(Call.m_IdempotencyKey);
  if (Call.m_Class != ServiceClass::Money || Runs <= 1)
    return;
  ++Found.m_DuplicateRuns;
  Found.m_Details.push_back("duplicate run: " + Call.m_Service + " " +
                            Call.m_IdempotencyKey + " ran " +
                            std::to_string(Runs) + " times");
}

void judgeUpload(const CallRecord &Call, const Index &Ran, Findings &Found) {
  if (Call.m_Class != ServiceClass::Upload ||
      callOutcome(Call) != CallOutcome::Completed)
    return;
  bool Kept = Ran.any(Call.m_IdempotencyKey, [&Call](const LedgerEntry &Entry) {
    return Entry.m_EndUs != 0 && Entry.m_Digest == Call.m_Digest &&
           Entry.m_Length == Call.m_Length;
  });
  if (Kept)
    return;
  ++Found.m_LostUploads;
  Found.m_Details.push_back("lost upload: " + Call.m_Service + " " +
                            Call.m_IdempotencyKey);
}

void countOutcome(const CallRecord &Call, Findings &Found) {
  ++Found.m_Calls;
  switch (callOutcome(Call)) {
  case CallOutcome::Completed:
    ++Found.m_Completed;
    return;
  case CallOutcome::NotRun:
    ++Found.m_NotRun;
    return;
  case CallOutcome::Unknown:
    ++Found.m_Unknown;
    return;
  }
}

} // namespace

Findings compare(std::span<const CallRecord> Calls,
                 std::span<const LedgerEntry> Ledger) {
  Index Ran(Ledger);
  Findings Found;
  for (const CallRecord &Call : Calls) {
    countOutcome(Call, Found);
    judgeAttempts(Call, Ran, Found);
    judgeMoney(Call, Ran, Found);
    judgeUpload(Call, Ran, Found);
  }
  return Found;
}

} // namespace hyssopcross::load
