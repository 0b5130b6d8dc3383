#include "Measures.h"
#include "hyssopcross/scenario/Scenario.h"
#include "hyssopcross/testbed/Testbed.h"
#include <algorithm>
#include <cstdio>

namespace hyssopcross::scenario {

namespace {

/// For calls that are still open at the end of the length.
constexpr Duration Tail = std::chrono::seconds(1);

std::string format(double Value) {
  char Buffer[32];
  std::snprintf(Buffer, sizeof(Buffer), "%g", Value);
  return Buffer;
}

Duration longestTimeout(const testbed::Layout &Layout) {
  Duration Longest{};
  for (const testbed::LoadLayout &Load : Layout.m_Loads)
    Longest = std::max(Longest, Load.m_Timeout);
  return Longest;
}

Check check(const Expectation &Expected, std::optional<double> Value) {
  bool Above = !Expected.m_Min || (Value && *Value >= *Expected.m_Min);
  bool Below = !Expected.m_Max || !Value || *Value <= *Expected.m_Max;
  return {Expected, Value, Above && Below};
}

} // namespace

std::vector<Check> runScenario(const Scenario &Scenario) {
  testbed::Testbed Bed(Scenario.m_Layout);
  for (const TimedFault &Timed : Scenario.m_Faults)
    Bed.at(Timed.m_At, Timed.m_Fault);
  Bed.runUntil(Scenario.m_Length + longestTimeout(Scenario.m_Layout) + Tail);
  std::vector<Check> Checks;
  for (const Expectation &Expected : Scenario.m_Expectations)
    Checks.push_back(check(Expected, evaluate(Expected, Scenario, Bed)));
  return Checks;
}

std::string describe(const Check &Check) {
  const Expectation &Expected = Check.m_Expectation;
  std::string Text = std::string(measureName(Expected.m_Measure));
  for (const std::string &Filter : {Expected.m_Service, Expected.m_DataCentre,
                                    Expected.m_ShareKey, Expected.m_Server})
    if (!Filter.empty())
      Text += " " + Filter;
  Text += " is " + (Check.m_Value ? format(*Check.m_Value) : "not measured");
  if (Expected.m_Min)
    Text += ", at least " + format(*Expected.m_Min);
  if (Expected.m_Max)
    Text += ", at most " + format(*Expected.m_Max);
  return Text;
}

} // namespace hyssopcross::scenario
