#include "hyssopcross/load/Report.h"
#include <cstdio>
#include <map>

namespace hyssopcross::load {

using statistics::toMilliseconds;

namespace {

constexpr size_t LineBytes = 512;

} // namespace

statistics::Sample completedLatencies(std::span<const CallRecord> Calls) {
  statistics::Sample Latencies;
  for (const CallRecord &Call : Calls)
    if (callOutcome(Call) == CallOutcome::Completed)
      Latencies.add(Call.m_Latency);
  return Latencies;
}

std::vector<std::string> listReasons(std::span<const CallRecord> Calls) {
  std::map<std::pair<std::string, std::string>, size_t> Counts;
  for (const CallRecord &Call : Calls)
    for (const AttemptRecord &Attempt : Call.m_Attempts)
      if (!Attempt.m_Reason.empty())
        ++Counts[{Call.m_Service, Attempt.m_Reason}];
  std::vector<std::string> Lines;
  Lines.reserve(Counts.size());
  for (const auto &[Key, Count] : Counts)
    Lines.push_back("event=attempts_not_completed service=" + Key.first +
                    " count=" + std::to_string(Count) + " reason=\"" +
                    Key.second + "\"");
  return Lines;
}

std::string formatLine(const Report &Report) {
  const Findings &Found = Report.m_Findings;
  const statistics::Sample &Latencies = Report.m_Latencies;
  char Line[LineBytes];
  std::snprintf(
      Line, sizeof(Line),
      "calls=%ju completed=%ju not_run=%ju unknown=%ju mismatched=%ju "
      "duplicate_runs=%ju lost_uploads=%ju p50_ms=%.3f p99_ms=%.3f "
      "p999_ms=%.3f added_p99_ms=%.3f",
      uintmax_t{Found.m_Calls}, uintmax_t{Found.m_Completed},
      uintmax_t{Found.m_NotRun}, uintmax_t{Found.m_Unknown},
      uintmax_t{Found.m_Mismatched}, uintmax_t{Found.m_DuplicateRuns},
      uintmax_t{Found.m_LostUploads}, toMilliseconds(Latencies.percentile(0.5)),
      toMilliseconds(Latencies.percentile(0.99)),
      toMilliseconds(Latencies.percentile(0.999)),
      toMilliseconds(Report.m_AddedP99));
  return Line;
}

bool succeeded(const Report &Report, std::optional<Duration> MaxAddedP99) {
  const Findings &Found = Report.m_Findings;
  if (Found.m_Completed == 0 || Found.m_Mismatched != 0 ||
      Found.m_DuplicateRuns != 0 || Found.m_LostUploads != 0)
    return false;
  if (!MaxAddedP99)
    return true;
  return Report.m_AddedP99 && *Report.m_AddedP99 <= *MaxAddedP99;
}

} // namespace hyssopcross::load
