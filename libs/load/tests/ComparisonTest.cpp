#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/load/Comparison.h"
#include "hyssopcross/load/Report.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::load;
using catalogue::ServiceClass;
using standins::LedgerEntry;

namespace {

constexpr const char *Key = "k1";
constexpr const char *Digest = "d1";
constexpr uint64_t Length = 7;

CallRecord makeCall(ServiceClass Class, std::vector<AttemptRecord> Attempts) {
  CallRecord Call;
  Call.m_Class = Class;
  Call.m_Service = "s";
  if (Class != ServiceClass::Lookup) {
    Call.m_IdempotencyKey = Key;
    Call.m_Digest = Digest;
    Call.m_Length = Length;
  }
  Call.m_Attempts = std::move(Attempts);
  return Call;
}

LedgerEntry makeRun(const char *Correlation, const char *RunKey = "",
                    const char *Receipt = "") {
  LedgerEntry Entry;
  Entry.m_Correlation = Correlation;
  Entry.m_IdempotencyKey = RunKey;
  Entry.m_Receipt = Receipt;
  Entry.m_Digest = Digest;
  Entry.m_Length = Length;
  Entry.m_StartUs = 1;
  Entry.m_EndUs = 2;
  return Entry;
}

LedgerEntry makeOtherBody(const char *OtherDigest, uint64_t OtherLength,
                          int64_t EndUs) {
  LedgerEntry Entry = makeRun("c1", Key);
  Entry.m_Digest = OtherDigest;
  Entry.m_Length = OtherLength;
  Entry.m_EndUs = EndUs;
  return Entry;
}

} // namespace

TEST_CASE("what callers were told is compared with what ran") {
  struct Row {
    const char *m_What;
    ServiceClass m_Class;
    std::vector<AttemptRecord> m_Attempts;
    std::vector<LedgerEntry> m_Ledger;
    CallOutcome m_Outcome;
    uint32_t m_Mismatched;
    uint32_t m_Duplicates;
    uint32_t m_Lost;
  };
  constexpr auto Lookup = ServiceClass::Lookup;
  constexpr auto Money = ServiceClass::Money;
  constexpr auto Upload = ServiceClass::Upload;
  constexpr auto Completed = CallOutcome::Completed;
  constexpr auto NotRun = CallOutcome::NotRun;
  constexpr auto Unknown = CallOutcome::Unknown;
  const AttemptRecord Done{"c1", Told::Completed, "", "", ""};
  const AttemptRecord Paid{"c1", Told::Completed, "", "r1", ""};
  const AttemptRecord Refused{"c1", Told::NotRun, "", "", ""};
  const AttemptRecord NotSent{"c1", Told::NotSent, "", "", ""};
  const AttemptRecord NoAnswer{"c1", Told::NoAnswer, "", "", ""};
  const AttemptRecord Unsure{"c1", Told::Unknown, "", "", ""};
  const AttemptRecord Crossed{"c1", Told::Completed, "another body", "", ""};
  const AttemptRecord SecondDone{"c2", Told::Completed, "", "", ""};
  const AttemptRecord SecondPaid{"c2", Told::Completed, "", "r1", ""};
  const AttemptRecord SecondRefused{"c2", Told::NotRun, "", "", ""};
  const Row Rows[] = {
      {"completed, ran", Lookup, {Done}, {makeRun("c1")}, Completed, 0, 0, 0},
      {"completed, hedged",
       Lookup,
       {Done},
       {makeRun("c1"), makeRun("c1")},
       Completed,
       0,
       0,
       0},
      {"completed, did not run", Lookup, {Done}, {}, Completed, 1, 0, 0},
      {"completed, another one ran",
       Lookup,
       {Done},
       {makeRun("c9")},
       Completed,
       1,
       0,
       0},
      {"not its own answer",
       Lookup,
       {Crossed},
       {makeRun("c1")},
       Completed,
       1,
       0,
       0},
      {"not run, did not", Lookup, {Refused}, {}, NotRun, 0, 0, 0},
      {"not run, but ran", Lookup, {Refused}, {makeRun("c1")}, NotRun, 1, 0, 0},
      {"not sent, but ran",
       Lookup,
       {NotSent},
       {makeRun("c1")},
       NotRun,
       1,
       0,
       0},
      {"no answer, ran", Lookup, {NoAnswer}, {makeRun("c1")}, Unknown, 0, 0, 0},
      {"no answer, did not run", Lookup, {NoAnswer}, {}, Unknown, 0, 0, 0},
      {"no answer, then completed",
       Lookup,
       {NoAnswer, SecondDone},
       {makeRun("c2")},
       Completed,
       0,
       0,
       0},
      {"no answer, then refused",
       Lookup,
       {NoAnswer, SecondRefused},
       {makeRun("c1")},
       Unknown,
       0,
       0,
       0},
      {"refused first though it ran, then completed",
       Lookup,
       {Refused, SecondDone},
       {makeRun("c1"), makeRun("c2")},
       Completed,
       1,
       0,
       0},
      {"two flaws count as one call",
       Lookup,
       {Refused, SecondDone},
       {makeRun("c1")},
       Completed,
       1,
       0,
       0},
      {"money once",
       Money,
       {Paid},
       {makeRun("c1", Key, "r1")},
       Completed,
       0,
       0,
       0},
      {"money did not run", Money, {Paid}, {}, Completed, 1, 0, 0},
      {"money with another's receipt",
       Money,
       {Paid},
       {makeRun("c1", Key, "r2")},
       Completed,
       1,
       0,
       0},
      {"money told from the record",
       Money,
       {Unsure, SecondPaid},
       {makeRun("c1", Key, "r1")},
       Completed,
       0,
       0,
       0},
      {"money twice",
       Money,
       {Paid},
       {makeRun("c1", Key, "r1"), makeRun("c1", Key, "r2")},
       Completed,
       0,
       1,
       0},
      {"money twice, nobody knows",
       Money,
       {Unsure},
       {makeRun("c1", Key, "r1"), makeRun("c2", Key, "r2")},
       Unknown,
       0,
       1,
       0},
      {"money twice and told not run",
       Money,
       {Refused},
       {makeRun("c1", Key, "r1"), makeRun("c1", Key, "r2")},
       NotRun,
       1,
       1,
       0},
      {"two keys are no duplicate",
       Money,
       {Paid},
       {makeRun("c1", Key, "r1"), makeRun("c2", "k2", "r2")},
       Completed,
       0,
       0,
       0},
      {"upload kept", Upload, {Done}, {makeRun("c1", Key)}, Completed, 0, 0, 0},
      {"upload kept twice",
       Upload,
       {Done},
       {makeRun("c1", Key), makeRun("c1", Key)},
       Completed,
       0,
       0,
       0},
      {"upload lost", Upload, {Done}, {}, Completed, 0, 0, 1},
      {"upload under another key",
       Upload,
       {Done},
       {makeRun("c1", "k2")},
       Completed,
       0,
       0,
       1},
      {"upload changed",
       Upload,
       {Done},
       {makeOtherBody("d2", Length, 2)},
       Completed,
       0,
       0,
       1},
      {"upload shortened",
       Upload,
       {Done},
       {makeOtherBody(Digest, Length - 1, 2)},
       Completed,
       0,
       0,
       1},
      {"upload not finished",
       Upload,
       {Done},
       {makeOtherBody(Digest, Length, 0)},
       Completed,
       0,
       0,
       1},
      {"upload nobody promised", Upload, {NoAnswer}, {}, Unknown, 0, 0, 0},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_What);
    const CallRecord Calls[] = {makeCall(Case.m_Class, Case.m_Attempts)};
    Findings Found = compare(Calls, Case.m_Ledger);
    CHECK(callOutcome(Calls[0]) == Case.m_Outcome);
    CHECK(Found.m_Calls == 1);
    CHECK(Found.m_Completed == (Case.m_Outcome == Completed ? 1 : 0));
    CHECK(Found.m_NotRun == (Case.m_Outcome == NotRun ? 1 : 0));
    CHECK(Found.m_Unknown == (Case.m_Outcome == Unknown ? 1 : 0));
    CHECK(Found.m_Mismatched == Case.m_Mismatched);
    CHECK(Found.m_DuplicateRuns == Case.m_Duplicates);
    CHECK(Found.m_LostUploads == Case.m_Lost);
    bool Clean = Case.m_Mismatched + Case.m_Duplicates + Case.m_Lost == 0;
    CHECK(Found.m_Details.empty() == Clean);
  }
}

TEST_CASE("a run succeeds only without findings and with completed calls") {
  using std::chrono::microseconds;
  struct Row {
    const char *m_What;
    uint64_t m_Completed, m_Mismatched, m_Duplicates, m_Lost;
    std::optional<Duration> m_Added, m_MaxAdded;
    bool m_Succeeded;
  };
  const Row Rows[] = {
      {"clean", 1, 0, 0, 0, {}, {}, true},
      {"nothing completed", 0, 0, 0, 0, {}, {}, false},
      {"mismatched", 5, 1, 0, 0, {}, {}, false},
      {"run twice", 5, 0, 1, 0, {}, {}, false},
      {"lost", 5, 0, 0, 1, {}, {}, false},
      {"at the limit", 1, 0, 0, 0, microseconds(320), microseconds(320), true},
      {"above it", 1, 0, 0, 0, microseconds(321), microseconds(320), false},
      {"not measured", 1, 0, 0, 0, {}, microseconds(320), false},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_What);
    Report Report;
    Report.m_Findings.m_Completed = Case.m_Completed;
    Report.m_Findings.m_Mismatched = Case.m_Mismatched;
    Report.m_Findings.m_DuplicateRuns = Case.m_Duplicates;
    Report.m_Findings.m_LostUploads = Case.m_Lost;
    Report.m_AddedP99 = Case.m_Added;
    CHECK(succeeded(Report, Case.m_MaxAdded) == Case.m_Succeeded);
  }
}

TEST_CASE("reasons are counted by service") {
  AttemptRecord Refused{"c1", Told::NotRun, "", "", "overloaded"};
  AttemptRecord Done{"c2", Told::Completed, "", "", ""};
  const CallRecord Calls[] = {makeCall(ServiceClass::Lookup, {Refused, Done}),
                              makeCall(ServiceClass::Lookup, {Refused}),
                              makeCall(ServiceClass::Lookup, {Done})};
  CHECK(listReasons(Calls) ==
        std::vector<std::string>{"event=attempts_not_completed service=s "
                                 "count=2 reason=\"overloaded\""});
}

TEST_CASE("the line names every figure once") {
  Report Report;
  Report.m_Findings.m_Calls = 3;
  Report.m_Findings.m_Completed = 2;
  Report.m_Findings.m_Unknown = 1;
  Report.m_Latencies.add(std::chrono::microseconds(1500));
  CHECK(formatLine(Report) ==
        "calls=3 completed=2 not_run=0 unknown=1 mismatched=0 "
        "duplicate_runs=0 lost_uploads=0 p50_ms=1.500 p99_ms=1.500 "
        "p999_ms=1.500 added_p99_ms=nan");
}
