#include "hyssopcross/dispatch/Choice.h"
#include <algorithm>
#include <cmath>

namespace hyssopcross::dispatch {

namespace {

/// Scores that differ by less than this are equal; one of these servers is
/// chosen at random, so that VMs that decide at the same time spread their
/// requests.
constexpr double ScoreTie = 0.01;
/// Score penalty for using up the whole remaining objective, which favours
/// short estimates among servers that are all likely to be in time.
constexpr double EstimateWeight = 0.15;
constexpr double BytesPerMegabyte = 1e6;
/// Weight of the newest response in a server's service time ratio, and the
/// bounds of that ratio.
constexpr double ServiceTimeRatioSmoothing = 0.25;
constexpr double MinServiceTimeRatio = 0.7;
constexpr double MaxServiceTimeRatio = 20;

struct Candidate {
  Server *m_Server = nullptr;
  Duration m_Estimate{};
  double m_OnTimeProbability = 0;
  double m_Score = 0;
  double m_Slowdown = 0;
  uint32_t m_InFlight = 0;
  bool m_IsRemote = false;
  bool m_HasRoom = false;
};

/// Whether a server may get a call at all, apart from limits that end by
/// themselves after a known time.
bool isEligible(const ServerView &View, const Server &Target,
                const CallInputs &Call, const DispatchPolicy &Policy,
                TimePoint Now) {
  if (!isInService(View, Target))
    return false;
  if (Call.m_Admits && !(*Call.m_Admits)(Target))
    return false;
  if (Policy.m_Eject && Now < Target.m_EjectedUntil)
    return false;
  if (Target.m_ReportAt != TimePoint{} &&
      Target.m_Report.m_Health != LoadReport::Health::Healthy)
    return false;
  for (const std::string &Id : Call.m_Tried)
    if (Id == Target.m_Record.m_Id)
      return false;
  return true;
}

bool isUsable(const ServerView &View, const Server &Target,
              const CallInputs &Call, const DispatchPolicy &Policy,
              const WarmupOwner &OwnsWarmup, double WarmupRate, TimePoint Now) {
  if (!isEligible(View, Target, Call, Policy, Now) ||
      Now < Target.m_RefusesUntil)
    return false;
  bool IsCold = isCold(Target, Policy, Now);
  const RequestLimit *Limit =
      Policy.m_KeepRequestLimits ? activeLimitOf(Target) : nullptr;
  // A VM that is not a candidate does not learn of the requests of others. A
  // cold server gets requests from one VM only.
  if (Limit &&
      ((!Target.m_IsCandidate && !IsCold) || Now < admitsAt(*Limit, Policy)))
    return false;
  if (!IsCold)
    return true;
  if (!OwnsWarmup(Target))
    return false;
  double Allowed = std::max(1.0, WarmupRate * Policy.m_WarmupShare);
  auto SinceSecond = std::count_if(
      Target.m_ColdSends.begin(), Target.m_ColdSends.end(),
      [&](TimePoint Sent) { return Now - Sent < std::chrono::seconds(1); });
  return static_cast<double>(SinceSecond) + 1 <= Allowed;
}

Candidate scoreServer(const ServerView &View, Server &Target,
                      const CallInputs &Call, const DispatchPolicy &Policy,
                      TimePoint Now) {
  Candidate Scored;
  Scored.m_Server = &Target;
  Scored.m_InFlight = inFlightAt(Target, Now);
  Scored.m_Slowdown = slowdownOf(Target, Policy, Now);
  Scored.m_IsRemote = Target.m_Record.m_DataCentre != View.m_OwnDataCentre;
  uint32_t Slots = std::max(1U, Target.m_Record.m_Slots);
  const OccupancyCurve &Curve = Target.m_Model->m_Curve;
  Scored.m_HasRoom = Scored.m_InFlight < usableSlots(Curve, Slots, Call.m_Work,
                                                     Call.m_Objective, Policy);
  double Slowdown =
      Scored.m_Slowdown / 100 *
      occupancySlowdown(Curve, Policy, Scored.m_InFlight + 1, Slots);
  Scored.m_Estimate =
      scale(Call.m_Work, Slowdown) +
      (Scored.m_IsRemote ? Policy.m_RemoteRoundTrip : Policy.m_LocalRoundTrip);
  Scored.m_OnTimeProbability = onTimeProbability(
      Scored.m_Estimate, Call.m_ObjectiveAt - Now, Policy.m_ServiceTimeSpread);
  Scored.m_Score = Scored.m_OnTimeProbability;
  // Servers that fail often rank last but are still used: a request that is not
  // sent fails for certain.
  if (Policy.m_AvoidFailing)
    Scored.m_Score *= 1 - failureRateOf(Target, Policy, Now);
  if (Scored.m_IsRemote)
    Scored.m_Score -= Policy.m_RemoteCostPerMegabyte *
                      static_cast<double>(Call.m_Bytes) / BytesPerMegabyte;
  double Left = static_cast<double>((Call.m_ObjectiveAt - Now).count());
  if (Left > 0)
    Scored.m_Score -=
        EstimateWeight *
        std::min(1.0, static_cast<double>(Scored.m_Estimate.count()) / Left);
  return Scored;
}

void fillChoice(Choice &Decision, const Candidate &From, TimePoint Now) {
  Decision.m_Server = From.m_Server;
  Decision.m_Estimate = From.m_Estimate;
  Decision.m_OnTimeProbability = From.m_OnTimeProbability;
  Decision.m_Slowdown = From.m_Slowdown;
  Decision.m_InFlight = From.m_InFlight;
  Decision.m_ReportAge = From.m_Server->m_ReportAt == TimePoint{}
                             ? Duration(-1)
                             : Now - From.m_Server->m_ReportAt;
}

/// Returns the server with a free slot that has the highest score.
const Candidate *highestScore(std::span<const Candidate> Scored,
                              std::mt19937 &Random) {
  const Candidate *Best = nullptr;
  uint32_t Ties = 0;
  for (const Candidate &Each : Scored) {
    if (!Each.m_HasRoom)
      continue;
    if (!Best || Each.m_Score > Best->m_Score + ScoreTie) {
      Best = &Each;
      Ties = 1;
      continue;
    }
    if (Each.m_Score < Best->m_Score - ScoreTie)
      continue;
    ++Ties;
    if (std::uniform_int_distribution<uint32_t>(1, Ties)(Random) == 1)
      Best = &Each;
  }
  return Best;
}

/// Returns the slowest server that still meets the deadline: a late call must
/// not take a fast slot from one that can still meet its objective. Null while
/// the service is short of capacity.
const Candidate *slowestBeforeDeadline(std::span<const Candidate> Scored,
                                       const CallInputs &Call,
                                       const DispatchPolicy &Policy,
                                       TimePoint Now) {
  // The service time of a request is fixed when it starts, so it holds its slot
  // long after the server is fast again: no slot is spare while others wait.
  if (Policy.m_ReserveForFresh && Call.m_IsUnderPressure)
    return nullptr;
  const Candidate *Best = nullptr;
  Duration Longest =
      scale(std::max(Duration(0), Call.m_EndAt - Now), Policy.m_LateMargin);
  for (const Candidate &Each : Scored) {
    if (!Each.m_HasRoom || Each.m_Estimate > Longest)
      continue;
    if (!Best || Each.m_Slowdown > Best->m_Slowdown)
      Best = &Each;
  }
  return Best;
}

double drawUniform(std::mt19937 &Random) {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

Duration retryAfter(const CallInputs &Call, const DispatchPolicy &Policy,
                    std::mt19937 &Random, TimePoint Now) {
  Duration Left = std::max(Duration(0), Call.m_EndAt - Now);
  double Jitter = 0.5 + drawUniform(Random) / 2;
  return std::max(Policy.m_MinRetryAfter,
                  scale(Left, Policy.m_RetryAfterShare * Jitter));
}

/// When servers of a service that accept no requests now accept them again.
struct NextAcceptance {
  /// First end of a refusal.
  std::optional<TimePoint> m_RefusalEnd;
  /// First time at which a request limit admits another request.
  std::optional<TimePoint> m_LimitAdmits;
  /// Average interval of the requests that limits leave to this VM.
  Duration m_LimitInterval{};
};

/// Extends a first time by another one.
void extendFirst(std::optional<TimePoint> &First, TimePoint Other) {
  First = std::min(First.value_or(TimePoint::max()), Other);
}

NextAcceptance nextAcceptance(const ServerView &View,
                              const DispatchPolicy &Policy,
                              const CallInputs &Call, TimePoint Now) {
  NextAcceptance Next;
  auto Service = View.m_ByService.find(Call.m_Service);
  if (Service == View.m_ByService.end())
    return Next;
  double PerSecond = 0;
  size_t Candidates = 0;
  for (const Server *Each : Service->second) {
    Candidates += Each->m_IsCandidate ? 1 : 0;
    if (!isInService(View, *Each) ||
        (Call.m_Admits && !(*Call.m_Admits)(*Each)))
      continue;
    const RequestLimit *Limit = activeLimitOf(*Each);
    if (Now < Each->m_RefusesUntil)
      extendFirst(Next.m_RefusalEnd, Each->m_RefusesUntil);
    else if (Policy.m_KeepRequestLimits && Limit && Each->m_IsCandidate &&
             isEligible(View, *Each, Call, Policy, Now)) {
      extendFirst(Next.m_LimitAdmits, admitsAt(*Limit, Policy));
      PerSecond += std::max(*Limit->m_PerSecond, Policy.m_MinLimitedRate);
    }
  }
  if (PerSecond <= 0)
    return Next;
  // Each VM uses some of the servers, and each server is used by as large a
  // part of the VMs.
  double Share = static_cast<double>(Service->second.size()) /
                 static_cast<double>(Candidates) / std::max(1U, Call.m_VmCount);
  Next.m_LimitInterval =
      scale(std::chrono::seconds(1), 1 / (PerSecond * Share));
  return Next;
}

/// Decides about a request while no server accepts requests but some will at a
/// known time. Returns nothing if no such time is known.
std::optional<Choice> awaitAcceptance(const ServerView &View,
                                      const DispatchPolicy &Policy,
                                      const CallInputs &Call,
                                      std::mt19937 &Random, TimePoint Now) {
  NextAcceptance Next = nextAcceptance(View, Policy, Call, Now);
  if (!Next.m_RefusalEnd && !Next.m_LimitAdmits)
    return std::nullopt;
  TimePoint RefusalEnd = Next.m_RefusalEnd.value_or(TimePoint::max());
  // Requests that already wait come first.
  TimePoint LimitAdmits = TimePoint::max();
  if (Next.m_LimitAdmits)
    LimitAdmits =
        std::max(Now, *Next.m_LimitAdmits) +
        Next.m_LimitInterval * static_cast<int64_t>(Call.m_QueueLength);
  Choice Decision;
  if (std::min(RefusalEnd, LimitAdmits) <= Call.m_QueueUntil) {
    Decision.m_Verdict = Verdict::Wait;
    Decision.m_RetryAt =
        std::min(RefusalEnd, Next.m_LimitAdmits.value_or(TimePoint::max()));
    return Decision;
  }
  Decision.m_Reason = "servers_refuse";
  TimePoint ReturnAt = RefusalEnd;
  if (Next.m_LimitAdmits) {
    TimePoint Promised = std::min(
        std::max(LimitAdmits, Call.m_PromisedAt + Next.m_LimitInterval),
        Now + Policy.m_MaxReturnTime);
    if (Promised < ReturnAt) {
      ReturnAt = Promised;
      Decision.m_PromisedAt = Promised;
      Decision.m_Reason = "servers_limited";
    }
  }
  Decision.m_RetryAfter = std::max(Policy.m_MinRetryAfter, ReturnAt - Now) +
                          scale(Policy.m_RefusalJitter, drawUniform(Random));
  return Decision;
}

std::vector<Candidate> scoreServers(const ServerView &View,
                                    const DispatchPolicy &Policy,
                                    const CallInputs &Call,
                                    const WarmupOwner &OwnsWarmup,
                                    double WarmupRate, TimePoint Now) {
  std::vector<Candidate> Scored;
  auto Service = View.m_ByService.find(Call.m_Service);
  if (Service == View.m_ByService.end())
    return Scored;
  // Candidates are listed first; other servers are used only if no candidate is
  // usable.
  bool IsCandidate = true;
  for (Server *Each : Service->second) {
    if (Each->m_IsCandidate != IsCandidate) {
      if (!Scored.empty())
        break;
      IsCandidate = Each->m_IsCandidate;
    }
    if (isUsable(View, *Each, Call, Policy, OwnsWarmup, WarmupRate, Now))
      Scored.push_back(scoreServer(View, *Each, Call, Policy, Now));
  }
  return Scored;
}

} // namespace

uint32_t usableSlots(const OccupancyCurve &Curve, uint32_t Slots, Duration Work,
                     Duration Objective, const DispatchPolicy &Policy) {
  uint32_t Best = 1;
  double Most = 0;
  for (uint32_t Count = 1; Count <= Slots; ++Count) {
    // On a saturated server each request starts next to the maximum number of
    // others and has the slowdown of the last slot.
    double Slowdown = occupancySlowdown(Curve, Policy, Count, Slots);
    double InTime = onTimeProbability(scale(Work, Slowdown), Objective,
                                      Policy.m_ServiceTimeSpread);
    double Value = InTime + Policy.m_LateValue * (1 - InTime);
    double Finished = Count / Slowdown * Value;
    if (Finished < Most * (1 - Policy.m_FewerSlotsGain))
      continue;
    Most = std::max(Most, Finished);
    Best = Count;
  }
  return Best;
}

bool completesBeforeShutdown(const ShutdownWindow &Stop,
                             const DispatchPolicy &Policy, Duration Work,
                             TimePoint CallEnd, TimePoint Now) {
  if (Now < Stop.m_BeganAt)
    return true;
  if (Now + scale(Work, Policy.m_ShutdownServiceTimeFactor) > Stop.m_EndAt)
    return false;
  TimePoint Middle = Stop.m_BeganAt + (Stop.m_EndAt - Stop.m_BeganAt) / 2;
  return Now < Middle || CallEnd <= Stop.m_EndAt;
}

double onTimeProbability(Duration Estimate, Duration Left, double Spread) {
  if (Left <= Duration(0))
    return 0;
  if (Estimate <= Duration(0))
    return 1;
  double Distance = std::log(static_cast<double>(Left.count()) /
                             static_cast<double>(Estimate.count()));
  return 0.5 * std::erfc(-Distance / (Spread * std::sqrt(2.0)));
}

Choice choose(const ServerView &View, const DispatchPolicy &Policy,
              const CallInputs &Call, const WarmupOwner &OwnsWarmup,
              double WarmupRate, std::mt19937 &Random, TimePoint Now) {
  Choice Decision;
  Decision.m_RetryAfter = retryAfter(Call, Policy, Random, Now);
  if (Now >= Call.m_EndAt) {
    Decision.m_Reason = "no_time";
    return Decision;
  }
  std::vector<Candidate> Scored =
      scoreServers(View, Policy, Call, OwnsWarmup, WarmupRate, Now);
  const Candidate *Best = highestScore(Scored, Random);
  if (Best && (Best->m_OnTimeProbability >= Policy.m_MinOnTimeProbability ||
               !Policy.m_RefuseHopeless)) {
    Decision.m_Verdict = Verdict::Send;
    fillChoice(Decision, *Best, Now);
    return Decision;
  }
  if (Scored.empty())
    if (auto Awaited = awaitAcceptance(View, Policy, Call, Random, Now);
        Awaited && (Policy.m_Queue || Awaited->m_Verdict == Verdict::Refuse))
      return *Awaited;
  if (Policy.m_Queue && Now < Call.m_QueueUntil) {
    Decision.m_Verdict = Verdict::Wait;
    return Decision;
  }
  const Candidate *Late = Policy.m_ServeLate
                              ? slowestBeforeDeadline(Scored, Call, Policy, Now)
                              : nullptr;
  if (Late) {
    Decision.m_Verdict = Verdict::Send;
    fillChoice(Decision, *Late, Now);
    return Decision;
  }
  Decision.m_Reason = Scored.empty() ? "no_server" : "overload";
  return Decision;
}

std::optional<Duration> remainingAfterSlowStart(const RunningAttempt &Attempt,
                                                const Server &At,
                                                const DispatchPolicy &Policy,
                                                TimePoint Now) {
  if (!Policy.m_HedgeSlowStarts || At.m_ReportAt <= Attempt.m_SentAt ||
      At.m_ReportAt - Attempt.m_SentAt > Policy.m_SlowStartTime)
    return std::nullopt;
  double Factor =
      At.m_Report.m_SlowdownPercent / std::max(1.0, Attempt.m_Slowdown);
  if (Factor < Policy.m_SlowStartFactor)
    return std::nullopt;
  return std::max(Duration(0),
                  scale(Attempt.m_Estimate, Factor) - (Now - Attempt.m_SentAt));
}

Duration hedgeDelay(const DispatchPolicy &Policy, bool TellsSpeed,
                    Duration Expected, Duration Work, Duration ObjectiveLeft) {
  Duration Latest = scale(Expected, Policy.m_HedgeFactor);
  if (!Policy.m_HedgeInTime || TellsSpeed)
    return Latest;
  Duration Earliest = scale(Expected, Policy.m_EarlyHedgeFactor);
  return std::clamp(ObjectiveLeft - scale(Work, Policy.m_HedgeMargin), Earliest,
                    Latest);
}

Choice chooseHedge(const ServerView &View, const DispatchPolicy &Policy,
                   const CallInputs &Call, const WarmupOwner &OwnsWarmup,
                   double WarmupRate, Duration Remaining, std::mt19937 &Random,
                   TimePoint Now) {
  Choice Decision;
  if (!Policy.m_Hedge || Now >= Call.m_EndAt)
    return Decision;
  std::vector<Candidate> Scored =
      scoreServers(View, Policy, Call, OwnsWarmup, WarmupRate, Now);
  const Candidate *Best = highestScore(Scored, Random);
  if (!Best || Best->m_Estimate >= Remaining)
    return Decision;
  Decision.m_Verdict = Verdict::Send;
  fillChoice(Decision, *Best, Now);
  return Decision;
}

Duration retryAfterShed(const DispatchPolicy &Policy, bool HadRoom,
                        Duration Left) {
  Left = std::max(Duration(0), Left);
  if (HadRoom && Policy.m_RetryShedSoon)
    return Policy.m_MinRetryAfter;
  return std::max(Policy.m_MinRetryAfter,
                  scale(Left, Policy.m_ShedRetryAfterShare));
}

void recordSend(Server &To, const DispatchPolicy &Policy, TimePoint Now) {
  ++To.m_OwnInFlight;
  if (RequestLimit *Limit = activeLimitOf(To))
    countOwnSend(*Limit, Policy, Now);
  if (!isCold(To, Policy, Now))
    return;
  To.m_ColdSends.push_back(Now);
  while (Now - To.m_ColdSends.front() >= std::chrono::seconds(1))
    To.m_ColdSends.pop_front();
}

void recordAttemptEnd(Server &At, const DispatchPolicy &Policy, AttemptEnd End,
                      Duration Took, Duration Expected, TimePoint Now) {
  recordOutcomes(At, Policy, End == AttemptEnd::Answered ? 1 : 0,
                 End == AttemptEnd::Answered ? 0 : 1, Now);
  // Zero if the server was removed and registered again in the meantime.
  if (At.m_OwnInFlight > 0)
    --At.m_OwnInFlight;
  if (End == AttemptEnd::Answered) {
    At.m_FailuresInRow = 0;
    At.m_Ejections = 0;
    if (Expected > Duration(0)) {
      double Ratio = static_cast<double>(Took.count()) /
                     static_cast<double>(Expected.count());
      At.m_ServiceTimeRatio = std::clamp(
          At.m_ServiceTimeRatio * ((1 - ServiceTimeRatioSmoothing) +
                                   ServiceTimeRatioSmoothing * Ratio),
          MinServiceTimeRatio, MaxServiceTimeRatio);
    }
    return;
  }
  if (End == AttemptEnd::Shed)
    return;
  if (++At.m_FailuresInRow < Policy.m_EjectAfter)
    return;
  Duration Time = Policy.m_EjectTime * (1U << std::min(At.m_Ejections, 4U));
  At.m_EjectedUntil = Now + std::min(Time, Policy.m_MaxEjectTime);
  ++At.m_Ejections;
  // After the ejection ends, a single failure ejects the server again.
  At.m_FailuresInRow = Policy.m_EjectAfter - 1;
}

} // namespace hyssopcross::dispatch
