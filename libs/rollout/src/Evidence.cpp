#include "hyssopcross/rollout/Evidence.h"
#include <algorithm>
#include <cmath>
#include <initializer_list>

namespace hyssopcross::rollout {

namespace {

/// Recent old answers below which the old side says nothing of service times.
constexpr double MinOldTimed = 5;
/// Bounds of the assumed share of the new version among recent answers, so that
/// a single failure cannot decide.
constexpr double MinNewShare = 0.02;
constexpr double MaxNewShare = 0.98;
/// Shares of the expected answers with which a good version must be accepted on
/// average, so that chance seldom takes more than all of them. The sum of N
/// units of evidence varies by the square root of 2 N.
constexpr double UsableFailures = 0.35;
constexpr double UsableTimes = 0.2;
/// Largest increases that the tests look for.
constexpr double MaxFailureStep = 0.5;
constexpr double MaxSlowStep = 2;
/// Faults from which a single route is not judged by itself: the service as a
/// whole shows them.
constexpr double MaxRouteFailureStep = 0.35;
constexpr double MaxRouteSlowStep = 1.1;
/// Share of the new version from which it is judged by what was usual before,
/// and the increase of the share of failures that is then looked for.
constexpr double LateShare = 0.9;
constexpr double LateFactor = 3;
constexpr double LateStep = 0.15;
/// Largest addition to the variance for the uncertainty of the old mean.
constexpr double MaxUncertainty = 3;
/// Accepting evidence is capped, so that a fault that begins later is soon
/// seen.
constexpr double AcceptCapFactor = 1.5;
/// It is bounded below too, so that a bad start can be made up for. A bound of
/// zero would give a bad version many independent chances.
constexpr double AcceptFloor = -4;

uint64_t less(uint64_t From, uint64_t Other) {
  return From > Other ? From - Other : 0;
}

/// Subtracts a reference from the logarithms of the time ratios.
void relateTo(Counts &Of, double Reference) {
  auto Timed = static_cast<double>(Of.m_Timed);
  Of.m_LogSquares += Reference * (Timed * Reference - 2 * Of.m_LogSum);
  Of.m_LogSum -= Timed * Reference;
}

/// Scales sums down so that the first one leaves room for new answers.
void fade(std::initializer_list<double *> Sums, double Held, double Added,
          double Memory) {
  double Kept = std::max(0.0, Memory - Added);
  if (Held <= Kept)
    return;
  for (double *Each : Sums)
    *Each *= Kept / Held;
}

void addRecent(RouteTests &Tests, const Counts &New, const Counts &Old,
               const Observed &Given, const TestPolicy &Policy) {
  auto NewAnswers = static_cast<double>(New.m_Answers);
  auto OldAnswers = static_cast<double>(Old.m_Answers);
  auto OldTimed = static_cast<double>(Old.m_Timed);
  fade({&Tests.m_ShareNew, &Tests.m_ShareOld},
       Tests.m_ShareNew + Tests.m_ShareOld, NewAnswers + OldAnswers,
       Policy.m_ShareMemory);
  fade({&Tests.m_RecentOld, &Tests.m_RecentOldFailures}, Tests.m_RecentOld,
       OldAnswers, Policy.m_FailureMemory);
  fade({&Tests.m_RecentOldTimed, &Tests.m_RecentOldLogSum,
        &Tests.m_RecentOldLogSquares},
       Tests.m_RecentOldTimed, OldTimed, Given.m_TimeMemory);
  Tests.m_ShareNew += NewAnswers;
  Tests.m_ShareOld += OldAnswers;
  Tests.m_RecentOld += OldAnswers;
  Tests.m_RecentOldFailures += static_cast<double>(Old.m_Failures);
  Tests.m_RecentOldTimed += OldTimed;
  Tests.m_RecentOldLogSum += Old.m_LogSum;
  Tests.m_RecentOldLogSquares += Old.m_LogSquares;
}

double newShare(const RouteTests &Tests) {
  return Tests.m_ShareNew / std::max(1.0, Tests.m_ShareNew + Tests.m_ShareOld);
}

/// Average evidence that an answer of a good version gives against an increase
/// of the share of failures.
double evidenceOfAnswer(double Usual, double Faulty) {
  return (1 - Usual) * std::log((1 - Usual) / (1 - Faulty)) -
         Usual * std::log(Faulty / Usual);
}

/// The smallest increase of the share of failures that this many answers
/// exclude if the version is good.
double failureStep(double Usual, double Answers, const TestPolicy &Policy) {
  double Low = Policy.m_FailureStep;
  double High = MaxFailureStep;
  double Needed = Policy.m_Accept / std::max(1.0, Answers * UsableFailures);
  if (evidenceOfAnswer(Usual, std::min(0.99, Usual + Low)) >= Needed)
    return Low;
  for (int I = 0; I < 16; ++I) {
    double Middle = (Low + High) / 2;
    bool IsEnough =
        evidenceOfAnswer(Usual, std::min(0.99, Usual + Middle)) >= Needed;
    (IsEnough ? High : Low) = Middle;
  }
  return High;
}

/// The smallest increase of the logarithm of the time ratio that this many
/// answers exclude if the version is good.
double slowStep(double Variance, double Answers, const TestPolicy &Policy) {
  double Usable = std::max(1.0, Answers * UsableTimes);
  return std::clamp(std::sqrt(2 * Variance * Policy.m_Accept / Usable),
                    Policy.m_SlowStep, MaxSlowStep);
}

/// Evidence of new answers that their time ratio is greater by a step.
double evidenceOfTimes(double Excess, double Answers, double Variance,
                       double Step) {
  return Step / Variance * (Excess - Answers * Step / 2);
}

void updateFailures(RouteTests &Tests, const Counts &New, const Counts &Old,
                    double ExpectedNew, const TestPolicy &Policy) {
  auto NewFailures = static_cast<double>(New.m_Failures);
  auto OldFailures = static_cast<double>(Old.m_Failures);
  double Share = std::clamp(newShare(Tests), MinNewShare, MaxNewShare);
  // Without a fault, each failure is one of the new version with the share that
  // the new version has in the answers.
  if (NewFailures + OldFailures > 0 && Tests.m_RecentOld > 0)
    for (size_t I = 0; I < FailureFactors.size(); ++I) {
      double Weight = FailureFactors[I] * Share;
      double Faulty = Weight / (1 - Share + Weight);
      double &Evidence = Tests.m_FailureEvidence[I];
      Evidence =
          std::max(0.0, Evidence + NewFailures * std::log(Faulty / Share) +
                            OldFailures * std::log((1 - Faulty) / (1 - Share)));
    }
  double Usual =
      std::clamp((Tests.m_RecentOldFailures + 0.5) / (Tests.m_RecentOld + 25),
                 Policy.m_FailureFloor, 0.9);
  Tests.m_FailureStep = failureStep(Usual, ExpectedNew, Policy);
  double Faulty = std::min(0.99, Usual + Tests.m_FailureStep);
  double Good = static_cast<double>(New.m_Answers) - NewFailures;
  if (newShare(Tests) >= LateShare &&
      Tests.m_RecentOld >= Policy.m_KnownAnswers) {
    double Late = std::min(0.99, LateFactor * Usual + LateStep);
    Tests.m_LateEvidence = std::max(
        0.0, Tests.m_LateEvidence + NewFailures * std::log(Late / Usual) -
                 Good * std::log((1 - Usual) / (1 - Late)));
  }
  Tests.m_FailureAccept = std::clamp(
      Tests.m_FailureAccept + Good * std::log((1 - Usual) / (1 - Faulty)) -
          NewFailures * std::log(Faulty / Usual),
      AcceptFloor, Policy.m_Accept * AcceptCapFactor);
}

void updateTimes(RouteTests &Tests, const Counts &New, double ExpectedNew,
                 const TestPolicy &Policy) {
  if (New.m_Timed == 0 || Tests.m_RecentOldTimed < MinOldTimed)
    return;
  double Mean = Tests.m_RecentOldLogSum / Tests.m_RecentOldTimed;
  double Variance = std::max(
      Policy.m_MinVariance,
      Tests.m_RecentOldLogSquares / Tests.m_RecentOldTimed - Mean * Mean);
  auto Answers = static_cast<double>(New.m_Timed);
  // The mean of few old answers is itself uncertain.
  double Share = newShare(Tests);
  Variance *= 1 + std::min(MaxUncertainty, Share / std::max(0.01, 1 - Share));
  double Excess = New.m_LogSum - Answers * Mean;
  Tests.m_SlowEvidence = std::max(
      0.0, Tests.m_SlowEvidence +
               evidenceOfTimes(Excess, Answers, Variance, Policy.m_SlowStep));
  Tests.m_SlowStep = slowStep(Variance, ExpectedNew, Policy);
  Tests.m_SlowAccept =
      std::clamp(Tests.m_SlowAccept - evidenceOfTimes(Excess, Answers, Variance,
                                                      Tests.m_SlowStep),
                 AcceptFloor, Policy.m_Accept * AcceptCapFactor);
}

} // namespace

Counts &Counts::operator+=(const Counts &Other) {
  m_Answers += Other.m_Answers;
  m_Failures += Other.m_Failures;
  m_Timed += Other.m_Timed;
  m_LogSum += Other.m_LogSum;
  m_LogSquares += Other.m_LogSquares;
  return *this;
}

Counts Counts::operator-(const Counts &Other) const {
  return {less(m_Answers, Other.m_Answers), less(m_Failures, Other.m_Failures),
          less(m_Timed, Other.m_Timed), m_LogSum - Other.m_LogSum,
          m_LogSquares - Other.m_LogSquares};
}

bool hasOwnVerdict(const RouteTests &Tests) {
  return Tests.m_FailureStep < MaxRouteFailureStep &&
         Tests.m_SlowStep < MaxRouteSlowStep;
}

void update(RouteTests &Tests, const Observed &Given,
            const TestPolicy &Policy) {
  Counts New = Given.m_Totals.m_New - Tests.m_Seen.m_New;
  Counts Old = Given.m_Totals.m_Old - Tests.m_Seen.m_Old;
  if (New.m_Answers + Old.m_Answers == 0)
    return;
  Tests.m_Seen = Given.m_Totals;
  relateTo(New, Given.m_Reference);
  relateTo(Old, Given.m_Reference);
  addRecent(Tests, New, Old, Given, Policy);
  updateFailures(Tests, New, Old, Given.m_ExpectedNew, Policy);
  updateTimes(Tests, New, Given.m_ExpectedNew, Policy);
}

double oldTimeMean(const RouteTests &Tests) {
  return Tests.m_RecentOldTimed > 0
             ? Tests.m_RecentOldLogSum / Tests.m_RecentOldTimed
             : 0;
}

double evidenceAgainst(const RouteTests &Tests) {
  return std::max({Tests.m_SlowEvidence, Tests.m_LateEvidence,
                   *std::max_element(Tests.m_FailureEvidence.begin(),
                                     Tests.m_FailureEvidence.end())});
}

double evidenceFor(const RouteTests &Tests) {
  return std::min(Tests.m_FailureAccept, Tests.m_SlowAccept);
}

} // namespace hyssopcross::rollout
