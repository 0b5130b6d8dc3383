#include "hyssopcross/dispatch/CrashSuspects.h"
#include "hyssopcross/dispatch/Servers.h"
#include <algorithm>
#include <set>

namespace hyssopcross::dispatch {

namespace {

/// Crashes of one incarnation that are reported further apart count as two. A
/// restarted server may keep its id and incarnation; a restart takes seconds.
constexpr Duration SameCrashTime = std::chrono::seconds(1);
/// Crashes kept for one request; more do not change any decision.
constexpr size_t MaxCrashes = 8;
/// Attempts that wait for the confirmation of a crash.
constexpr size_t MaxCutOff = 1024;

bool isSameCrash(const Crash &A, const Crash &B) {
  return A.m_Server == B.m_Server && A.m_Incarnation == B.m_Incarnation &&
         A.m_At - B.m_At < SameCrashTime && B.m_At - A.m_At < SameCrashTime;
}

bool contains(const Suspect &Of, const Crash &Sought) {
  return std::any_of(
      Of.m_Crashes.begin(), Of.m_Crashes.end(),
      [&](const Crash &Each) { return isSameCrash(Each, Sought); });
}

TimePoint lastNewsOf(const Suspect &Of) {
  TimePoint Last = Of.m_ClearedAt;
  for (const Crash &Each : Of.m_Crashes)
    Last = std::max(Last, Each.m_At);
  return Last;
}

/// Drops the suspect that has had no news for the longest time.
void makeRoom(CrashSuspects &State, const DispatchPolicy &Policy) {
  if (State.m_Suspects.size() < Policy.m_MaxSuspects)
    return;
  State.m_Suspects.erase(std::min_element(
      State.m_Suspects.begin(), State.m_Suspects.end(),
      [](const auto &A, const auto &B) {
        return std::pair(A.second.m_Crashes.size(), lastNewsOf(A.second)) <
               std::pair(B.second.m_Crashes.size(), lastNewsOf(B.second));
      }));
}

Suspect &suspectFor(CrashSuspects &State, const DispatchPolicy &Policy,
                    RequestFingerprint Request) {
  if (auto Found = State.m_Suspects.find(Request);
      Found != State.m_Suspects.end())
    return Found->second;
  makeRoom(State, Policy);
  return State.m_Suspects[Request];
}

bool addCrash(Suspect &To, const Crash &Seen) {
  if (Seen.m_At <= To.m_ClearedAt || contains(To, Seen))
    return false;
  if (To.m_Crashes.size() >= MaxCrashes)
    To.m_Crashes.erase(To.m_Crashes.begin());
  To.m_Crashes.push_back(Seen);
  return true;
}

bool clearUpTo(Suspect &Of, TimePoint At) {
  if (At <= Of.m_ClearedAt)
    return false;
  Of.m_ClearedAt = At;
  std::erase_if(Of.m_Crashes,
                [At](const Crash &Each) { return Each.m_At <= At; });
  return true;
}

enum class CrashEvidence { Crashed, StillThere, Unknown };

CrashEvidence evidenceFor(const Crash &Possible, const ServerView &View) {
  auto Found = View.m_Servers.find(Possible.m_Server);
  if (Found == View.m_Servers.end())
    return CrashEvidence::Unknown;
  const Server &Target = Found->second;
  // A server that ends on purpose may close connections at any time.
  if (isDraining(Target))
    return CrashEvidence::StillThere;
  bool HasRestarted = Target.m_Record.m_Incarnation != Possible.m_Incarnation;
  return HasRestarted || Target.m_Report.m_HasEnded ? CrashEvidence::Crashed
                                                    : CrashEvidence::Unknown;
}

/// Whether another request was in progress at a crash that was in progress at
/// more crashes than Count.
bool hasWorseSuspect(const CrashSuspects &State, RequestFingerprint Request,
                     const Crash &At, size_t Count) {
  return std::any_of(
      State.m_Suspects.begin(), State.m_Suspects.end(), [&](const auto &Each) {
        return Each.first != Request && Each.second.m_Crashes.size() > Count &&
               contains(Each.second, At);
      });
}

} // namespace

void recordCutOff(CrashSuspects &State, const DispatchPolicy &Policy,
                  const CutOffAttempt &Seen) {
  if (Policy.m_QuarantineCrashers && State.m_CutOff.size() < MaxCutOff)
    State.m_CutOff.push_back(Seen);
}

std::vector<RequestFingerprint> confirmCrashes(CrashSuspects &State,
                                               const ServerView &View,
                                               const DispatchPolicy &Policy,
                                               TimePoint Now) {
  std::set<RequestFingerprint> Confirmed;
  std::erase_if(State.m_CutOff, [&](const CutOffAttempt &Each) {
    CrashEvidence Found = evidenceFor(Each.m_Possible, View);
    if (Found == CrashEvidence::Crashed &&
        addCrash(suspectFor(State, Policy, Each.m_Request), Each.m_Possible))
      Confirmed.insert(Each.m_Request);
    return Found != CrashEvidence::Unknown ||
           Now - Each.m_Possible.m_At > Policy.m_CrashConfirmTime;
  });
  return {Confirmed.begin(), Confirmed.end()};
}

bool mergeSuspect(CrashSuspects &State, const DispatchPolicy &Policy,
                  RequestFingerprint Request, const Suspect &Known,
                  TimePoint Now) {
  auto IsRecent = [&](TimePoint At) {
    return At <= Now && Now - At <= Policy.m_SuspectRetention;
  };
  bool IsNews = false;
  if (IsRecent(Known.m_ClearedAt) && State.m_Suspects.count(Request))
    IsNews = clearUpTo(State.m_Suspects[Request], Known.m_ClearedAt);
  for (const Crash &Each : Known.m_Crashes)
    if (Policy.m_QuarantineCrashers && IsRecent(Each.m_At))
      IsNews = addCrash(suspectFor(State, Policy, Request), Each) || IsNews;
  return IsNews;
}

bool clearSuspect(CrashSuspects &State, RequestFingerprint Request,
                  TimePoint Now) {
  auto Found = State.m_Suspects.find(Request);
  if (Found == State.m_Suspects.end() || Found->second.m_Crashes.empty())
    return false;
  return clearUpTo(Found->second, Now);
}

bool isSuspect(const CrashSuspects &State, RequestFingerprint Request) {
  auto Found = State.m_Suspects.find(Request);
  return Found != State.m_Suspects.end() && !Found->second.m_Crashes.empty();
}

TimePoint quarantinedUntil(const CrashSuspects &State,
                           const DispatchPolicy &Policy,
                           RequestFingerprint Request) {
  auto Found = State.m_Suspects.find(Request);
  if (Found == State.m_Suspects.end())
    return {};
  const std::vector<Crash> &Crashes = Found->second.m_Crashes;
  auto Attributed =
      std::count_if(Crashes.begin(), Crashes.end(), [&](const Crash &Each) {
        return !hasWorseSuspect(State, Request, Each, Crashes.size());
      });
  if (static_cast<uint32_t>(Attributed) < Policy.m_CrashesUntilQuarantine)
    return {};
  return lastNewsOf(Found->second) + Policy.m_QuarantineTime;
}

std::map<RequestFingerprint, Suspect> suspectsSince(const CrashSuspects &State,
                                                    TimePoint Since) {
  std::map<RequestFingerprint, Suspect> Recent;
  for (const auto &[Request, Each] : State.m_Suspects)
    if (lastNewsOf(Each) > Since)
      Recent.emplace(Request, Each);
  return Recent;
}

void expireSuspects(CrashSuspects &State, const DispatchPolicy &Policy,
                    TimePoint Now) {
  for (auto &[Request, Each] : State.m_Suspects) {
    // One crash less, so that one further crash begins the next quarantine.
    bool IsReleased =
        Each.m_Crashes.size() >= Policy.m_CrashesUntilQuarantine &&
        Now - lastNewsOf(Each) >= Policy.m_QuarantineTime;
    if (IsReleased)
      Each.m_Crashes.resize(Policy.m_CrashesUntilQuarantine - 1);
  }
  std::erase_if(State.m_Suspects, [&](const auto &Each) {
    return Now - lastNewsOf(Each.second) > Policy.m_SuspectRetention;
  });
}

} // namespace hyssopcross::dispatch
