#ifndef HYSSOPCROSS_TESTBED_LEDGER_H
#define HYSSOPCROSS_TESTBED_LEDGER_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/catalogue/Types.h"
#include <map>
#include <string>
#include <vector>

namespace hyssopcross::testbed {

/// What a caller was told about its call.
enum class Told {
  /// Nothing yet.
  Nothing,
  Completed,
  NotRun,
  Unknown,
  /// No answer came until the deadline.
  TimedOut,
  /// The caller hung up.
  Abandoned,
};

/// One call as its caller saw it.
struct CallRecord {
  std::string m_Service;
  std::string m_DataCentre;
  std::string m_ShareKey;
  catalogue::ServiceClass m_Class = catalogue::ServiceClass::Lookup;
  TimePoint m_Start;
  TimePoint m_End;
  TimePoint m_Deadline;
  Duration m_Work{};
  Duration m_RetryAfter{};
  Told m_Told = Told::Nothing;
  /// The answer belonged to another call.
  bool m_Mismatched = false;
  /// How often servers ran it.
  uint32_t m_Runs = 0;
};

/// One request as it reached a server.
struct ArrivalRecord {
  TimePoint m_When;
  uint64_t m_Call = 0;
  /// Requests that the server held with this one.
  uint32_t m_InFlight = 0;
  bool m_Cold = false;
  bool m_Shed = false;
};

/// What callers were told, and what servers did. Written by the fakes only.
struct Ledger {
  /// By call, counted up from one; the first entry is unused.
  std::vector<CallRecord> m_Calls{1};
  std::map<std::string, std::vector<ArrivalRecord>> m_Arrivals;
  uint64_t m_Probes = 0;
  uint64_t m_PeerMessages = 0;
  uint64_t m_HandOvers = 0;
};

} // namespace hyssopcross::testbed

#endif
