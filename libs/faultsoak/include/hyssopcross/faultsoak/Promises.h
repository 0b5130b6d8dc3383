#ifndef HYSSOPCROSS_FAULTSOAK_PROMISES_H
#define HYSSOPCROSS_FAULTSOAK_PROMISES_H

#include "hyssopcross/base/Clock.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross::faultsoak {

/// What the callers' and the servers' side of one request have seen.
struct RequestRecord {
  bool m_RunsOnce = false;
  uint32_t m_Runs = 0;
  /// Status of a promise that it has not run and never will; zero if none was
  /// given.
  unsigned m_Refusal = 0;
};

/// Totals of a run.
struct Totals {
  uint64_t m_Sent = 0;
  uint64_t m_Answered = 0;
  uint64_t m_Refused = 0;
  uint64_t m_Unknown = 0;
};

/// Holds what callers and servers see against what is promised. No I/O.
class Promises {
public:
  void noteSent(const std::string &Id, bool RunsOnce);
  /// A server begins to work on a request.
  void noteRun(const std::string &Id);
  /// A caller has a whole answer. IsMatching tells whether body and signature
  /// are those that a server made for this request.
  void noteAnswer(const std::string &Id, unsigned Status, bool IsMatching);
  /// The connection ended without an answer. IsPlanned tells that the VM was
  /// being stopped as planned and nothing else was wrong.
  void noteBroken(const std::string &Id, bool IsPlanned);
  /// Another promise was broken.
  void violate(std::string What);

  const std::vector<std::string> &violations() const { return m_Violations; }
  const Totals &totals() const { return m_Totals; }

private:
  std::map<std::string, RequestRecord> m_Requests;
  std::vector<std::string> m_Violations;
  Totals m_Totals;
};

} // namespace hyssopcross::faultsoak

#endif
