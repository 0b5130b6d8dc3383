#ifndef HYSSOPCROSS_ROLLOUT_EVIDENCE_H
#define HYSSOPCROSS_ROLLOUT_EVIDENCE_H

#include <array>
#include <cstdint>

namespace hyssopcross::rollout {

/// Ended attempts at servers of one side of a roll-out, on one route. Attempts
/// that have not run are not counted.
struct Counts {
  uint64_t m_Answers = 0;
  uint64_t m_Failures = 0;
  /// Answers with a known expected time, and the sum and the sum of squares of
  /// the logarithm of time taken over expected time.
  uint64_t m_Timed = 0;
  double m_LogSum = 0;
  double m_LogSquares = 0;

  Counts &operator+=(const Counts &Other);
  Counts operator-(const Counts &Other) const;
};

/// Both sides of a roll-out on one route.
struct Sides {
  Counts m_New;
  /// Servers of any other version.
  Counts m_Old;
};

/// Parameters of the sequential tests.
struct TestPolicy {
  /// Evidence that rejects a version, in units of the logarithm of the odds.
  /// Each test restarts when its evidence falls to zero, which happens some
  /// hundred times in a roll-out; 9.2 allows one false alarm in 10,000
  /// restarts.
  double m_Reject = 9.2;
  /// Evidence that accepts a version: the logarithm of the odds against the
  /// smallest fault that must be found, 1 in 660. It is not far below the 1 in
  /// 100 that is allowed, because the tests of the routes and of times err too.
  double m_Accept = 6.5;
  /// Smallest increase of the share of failures that must be found.
  double m_FailureStep = 0.02;
  /// Share of failures that is assumed of any version, also if none was seen.
  double m_FailureFloor = 0.002;
  /// Smallest factor of the time taken that must be found, as its logarithm:
  /// 1.5 less what versions may differ without a fault.
  double m_SlowStep = 0.36;
  /// Variance that is assumed at least of the logarithm of the time ratio.
  double m_MinVariance = 0.12;
  /// Largest logarithm of a time ratio that counts, so that one outlier cannot
  /// decide.
  double m_MaxLogRatio = 2.2;
  /// Old answers after which earlier ones no longer describe the present: the
  /// share of failures needs many, and the speed of servers changes within
  /// seconds. How a route differs from the whole service changes slowly.
  double m_FailureMemory = 4000;
  double m_TimeMemory = 60;
  double m_RouteTimeMemory = 400;
  /// Answers from which the share of the new version is taken. It changes with
  /// each step, so old ones would make usual failures look like too many.
  double m_ShareMemory = 40;
  /// Old answers from which the usual share of failures is known well enough to
  /// judge the new version while it gets nearly all requests.
  double m_KnownAnswers = 200;
};

/// State of the sequential tests of one route.
struct RouteTests {
  /// Totals as of the last update.
  Sides m_Seen;
  /// Recent counts; older ones are scaled down.
  double m_ShareNew = 0;
  double m_ShareOld = 0;
  double m_RecentOld = 0;
  double m_RecentOldFailures = 0;
  double m_RecentOldTimed = 0;
  double m_RecentOldLogSum = 0;
  double m_RecentOldLogSquares = 0;
  /// Evidence that failures are more frequent by a factor, for each of
  /// FailureFactors.
  std::array<double, 4> m_FailureEvidence{};
  /// Evidence that failures are more frequent than they usually were at other
  /// versions, while hardly any requests go to those.
  double m_LateEvidence = 0;
  double m_SlowEvidence = 0;
  /// Evidence that the version does not have the smallest fault that must be
  /// found.
  double m_FailureAccept = 0;
  double m_SlowAccept = 0;
  /// The smallest increase of the share of failures, and of the logarithm of
  /// the time ratio, that the expected answers can exclude.
  double m_FailureStep = 0;
  double m_SlowStep = 0;
};

inline constexpr std::array<double, 4> FailureFactors = {3, 8, 25, 100};

/// Inputs of an update apart from the state of the tests.
struct Observed {
  Sides m_Totals;
  /// Answers of the new version that the roll-out is expected to bring: fewer
  /// answers can exclude only greater faults.
  double m_ExpectedNew = 0;
  /// Present mean of the logarithms of the time ratios of the old servers on
  /// all routes; routes are compared relative to it.
  double m_Reference = 0;
  double m_TimeMemory = 0;
};

/// Applies the totals of a route, or of all routes together.
void update(RouteTests &Tests, const Observed &Given, const TestPolicy &Policy);

/// Present mean of the logarithms of the time ratios of the old servers.
double oldTimeMean(const RouteTests &Tests);

/// Whether the expected answers of a route can exclude faults that the service
/// as a whole would hide.
bool hasOwnVerdict(const RouteTests &Tests);

/// The greatest evidence against the version, over all its tests.
double evidenceAgainst(const RouteTests &Tests);

/// The least evidence for the version, over its tests.
double evidenceFor(const RouteTests &Tests);

} // namespace hyssopcross::rollout

#endif
