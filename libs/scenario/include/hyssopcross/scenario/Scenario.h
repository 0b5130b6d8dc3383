#ifndef HYSSOPCROSS_SCENARIO_SCENARIO_H
#define HYSSOPCROSS_SCENARIO_SCENARIO_H

#include "hyssopcross/base/Error.h"
#include "hyssopcross/testbed/Fault.h"
#include "hyssopcross/testbed/Layout.h"
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross::scenario {

/// A fault and when it happens, counted from the start of the run.
struct TimedFault {
  Duration m_At{};
  testbed::Fault m_Fault;
};

/// What an expectation is about.
enum class Measure {
  // Over calls, chosen by their start, service, data centre and share key.
  Calls,
  CompletedShare,
  NotRunShare,
  /// Calls told "unknown" and calls without an answer.
  UnknownShare,
  P50Milliseconds,
  P99Milliseconds,
  /// The slowest answer that said "not run".
  SlowestRefusalMilliseconds,
  /// The shortest Retry-After of an answer that said "not run".
  ShortestRetryAfterMilliseconds,
  NotRunButRan,
  /// Further runs of requests that are not idempotent.
  DuplicateRuns,
  Mismatched,
  // Over requests at servers, chosen by their arrival, server, service and
  // data centre.
  Received,
  /// Requests that a server accepted.
  Accepted,
  Shed,
  MaxInFlight,
  /// The most requests that a cold server was sent at once.
  MaxInFlightCold,
  // Over the whole run.
  /// Probes per second and server.
  ProbesPerSecond,
  HandOvers,
};

/// A bound on a measure.
struct Expectation {
  Measure m_Measure = Measure::Calls;
  std::optional<double> m_Min;
  std::optional<double> m_Max;
  Duration m_From{};
  /// No value for the end of the run.
  std::optional<Duration> m_To;
  std::string m_Service;
  std::string m_DataCentre;
  std::string m_ShareKey;
  std::string m_Server;
  /// Line in the file, counted from one; zero if there is none.
  int m_Line = 0;
};

/// A layout, what happens to it, and what is expected.
struct Scenario {
  std::string m_Name;
  testbed::Layout m_Layout;
  /// When arrivals and faults have been observed long enough.
  Duration m_Length = std::chrono::seconds(10);
  std::vector<TimedFault> m_Faults;
  std::vector<Expectation> m_Expectations;
};

/// The name of a measure in scenario files.
struct MeasureWord {
  Measure m_Measure;
  std::string_view m_Name;
};

/// All measures.
std::span<const MeasureWord> measureWords();

/// The name of a measure.
std::string_view measureName(Measure Measure);

/// Parses the text of a scenario file. The message of an error starts with
/// FileName, line and column.
Result<Scenario> parseScenario(std::string_view Text,
                               std::string_view FileName);

/// Reads and parses a scenario file. Fails with NotFound or InvalidInput.
Result<Scenario> readScenario(const std::string &Path);

/// The text of a file that parses to the same scenario.
std::string writeScenario(const Scenario &Scenario);

/// An expectation with its value in a run.
struct Check {
  Expectation m_Expectation;
  /// No value if nothing was measured, for example no call was refused.
  std::optional<double> m_Value;
  bool m_Met = false;
};

/// Runs a scenario and evaluates its expectations in the order of the file.
std::vector<Check> runScenario(const Scenario &Scenario);

/// One line of text that says what was expected and seen.
std::string describe(const Check &Check);

} // namespace hyssopcross::scenario

#endif
