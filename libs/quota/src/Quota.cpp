#include "hyssopcross/quota/Quota.h"
#include <algorithm>
#include <utility>

namespace hyssopcross::quota {

namespace {

/// Parts of the tolerance: what a granter's bucket holds beyond the burst, the
/// starting level of a new granter, and the capacity and the refill in each
/// window of all keepers' reserves together. After a long cut two data centres
/// may choose different keepers, eight instead of five, whose reserves grant
/// 0.64 of the tolerance; together with the other parts this stays below it.
/// Without the first part a quota of less than a request a second refuses two
/// requests that happen to arrive within one second.
constexpr double BurstShare = 0.25;
constexpr double StartShare = 0.1;
constexpr double ReserveShare = 0.2;
/// A VM that is not first in its view forwards to the one that is; a VM that is
/// first, but has no permission because a third one hears a higher rank,
/// forwards to that third one.
constexpr uint32_t MaxHops = 2;

double seconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

uint64_t toMicros(TimePoint At) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          At.time_since_epoch())
          .count());
}

TimePoint fromMicros(uint64_t Micros) {
  return TimePoint(
      std::chrono::microseconds(static_cast<int64_t>(Micros & (~0ULL >> 1))));
}

uint64_t hashOf(std::string_view Text) {
  uint64_t Hash = 0xcbf29ce484222325ULL;
  for (char Each : Text)
    Hash = (Hash ^ static_cast<uint8_t>(Each)) * 0x100000001b3ULL;
  return Hash;
}

/// The finalizer of SplitMix64.
uint64_t mix(uint64_t Value) {
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

uint64_t scoreOf(uint64_t Organisation, uint32_t Of) {
  return mix(Organisation + 0x9e3779b97f4a7c15ULL * (Of + 1ULL));
}

size_t keeperCount(size_t Vms, const QuotaPolicy &Policy) {
  size_t Count = std::min(Vms, Policy.m_Keepers);
  return Count > 3 ? Count - Count % 2 : Count;
}

/// Selects keepers evenly from the data centres, so that a majority remains if
/// one of three or more fails.
std::vector<VmKey> selectKeepers(uint64_t Organisation, const View &Of,
                                 const QuotaPolicy &Policy) {
  std::map<uint32_t, std::vector<std::pair<uint64_t, VmKey>>> Sorted;
  size_t Heard = 0;
  for (const Member &Each : Of.m_Members) {
    if (!Each.m_WasHeard)
      continue;
    ++Heard;
    Sorted[Each.m_DataCentre].emplace_back(scoreOf(Organisation, Each.m_Vm),
                                           Each.m_Vm);
  }
  std::vector<std::pair<uint64_t, uint32_t>> DataCentres;
  for (auto &[DataCentre, Vms] : Sorted) {
    std::sort(Vms.rbegin(), Vms.rend());
    DataCentres.emplace_back(scoreOf(Organisation, DataCentre), DataCentre);
  }
  std::sort(DataCentres.rbegin(), DataCentres.rend());
  size_t Wanted = keeperCount(Heard, Policy);
  std::vector<VmKey> Keepers;
  for (size_t Turn = 0; Keepers.size() < Wanted; ++Turn)
    for (const auto &[Score, DataCentre] : DataCentres) {
      const auto &Vms = Sorted[DataCentre];
      if (Turn < Vms.size() && Keepers.size() < Wanted)
        Keepers.push_back(Vms[Turn].second);
    }
  return Keepers;
}

const Ranking &rankingOf(OrganisationState &Of, std::string_view Name,
                         const Context &In) {
  if (Of.m_Ranking.m_Version == In.m_View.m_Version)
    return Of.m_Ranking;
  uint64_t Organisation = hashOf(Name);
  std::pair<uint64_t, VmKey> First;
  std::pair<uint64_t, VmKey> Second;
  for (const Member &Each : In.m_View.m_Members) {
    if (!Each.m_IsLive)
      continue;
    std::pair Own(scoreOf(Organisation, Each.m_Vm), Each.m_Vm);
    if (Own > First)
      Second = std::exchange(First, Own);
    else if (Own > Second)
      Second = Own;
  }
  Of.m_Ranking = {In.m_View.m_Version, First.second, Second.second,
                  selectKeepers(Organisation, In.m_View, In.m_Policy)};
  return Of.m_Ranking;
}

void refill(Bucket &Of, double PerSecond, double Capacity, TimePoint Now) {
  if (Now > Of.m_At)
    Of.m_Level += PerSecond * seconds(Now - Of.m_At);
  Of.m_At = std::max(Of.m_At, Now);
  Of.m_Level = std::min(Of.m_Level, Capacity);
}

bool take(Bucket &From) {
  // Sums of refills may fall short of a whole token by a rounding error.
  constexpr double WholeToken = 1 - 1e-9;
  if (From.m_Level < WholeToken)
    return false;
  From.m_Level -= 1;
  return true;
}

double capacityOf(const QuotaPolicy &Policy, const Quota &Of) {
  return std::max(1.0, Of.m_Burst + BurstShare * tolerance(Policy, Of));
}

/// Number of keepers that hold a part of the reserve, each at least one token.
size_t reserveKeepers(const OrganisationState &Of, const QuotaPolicy &Policy) {
  double Tokens = tolerance(Policy, Of.m_Quota) * ReserveShare;
  return std::min(Of.m_Ranking.m_Keepers.size(), static_cast<size_t>(Tokens));
}

/// Takes a token of this VM's part of the reserve.
bool takeReserve(OrganisationState &Of, const Context &In) {
  size_t Count = reserveKeepers(Of, In.m_Policy);
  auto End =
      Of.m_Ranking.m_Keepers.begin() + static_cast<std::ptrdiff_t>(Count);
  if (std::find(Of.m_Ranking.m_Keepers.begin(), End, In.m_View.m_Self) == End)
    return false;
  double Part = tolerance(In.m_Policy, Of.m_Quota) * ReserveShare /
                static_cast<double>(Count);
  refill(Of.m_Reserve, Part / seconds(In.m_Policy.m_Window), Part, In.m_Now);
  return take(Of.m_Reserve);
}

/// End of the time for which a majority of the keepers gives permission.
TimePoint permissionEnd(const OrganisationState &Of) {
  const auto &Keepers = Of.m_Ranking.m_Keepers;
  std::vector<TimePoint> Ends;
  for (VmKey Each : Keepers)
    if (auto Found = Of.m_Permits.find(Each); Found != Of.m_Permits.end())
      Ends.push_back(Found->second.m_Until);
  size_t Needed = Keepers.size() / 2 + 1;
  if (Ends.size() < Needed)
    return {};
  std::sort(Ends.rbegin(), Ends.rend());
  return Ends[Needed - 1];
}

/// Sets the level of the bucket when the permission begins. The tokens of an
/// earlier permission remain if no other VM had one since: the majority of its
/// keepers would have one in common with the majority of this VM.
void beginGranting(const QuotaState &State, OrganisationState &Of,
                   const Context &In) {
  TimePoint OtherAt{};
  TimePoint ChangeAt = State.m_StartedAt;
  for (VmKey Each : Of.m_Ranking.m_Keepers)
    if (auto Found = Of.m_Permits.find(Each);
        Found != Of.m_Permits.end() && Found->second.m_Until > In.m_Now) {
      OtherAt = std::max(OtherAt, Found->second.m_OtherAt);
      ChangeAt = std::max(ChangeAt, Found->second.m_ChangeAt);
    }
  if (Of.m_HeldUntil != TimePoint{} && OtherAt <= Of.m_HeldUntil)
    return;
  bool IsFirstInWindow = In.m_Now - ChangeAt > In.m_Policy.m_Window;
  double Start = StartShare * tolerance(In.m_Policy, Of.m_Quota);
  Of.m_Tokens = {IsFirstInWindow ? Start : 0, In.m_Now};
}

/// Updates whether this VM is the granter.
bool updateGranter(const QuotaState &State, OrganisationState &Of,
                   const Context &In) {
  TimePoint End = permissionEnd(Of);
  bool Holds = End > In.m_Now && In.m_View.m_HearsMajority;
  if (Holds && !Of.m_IsGranter)
    beginGranting(State, Of, In);
  Of.m_IsGranter = Holds;
  if (Holds) {
    Of.m_HeldUntil = End;
    Of.m_Bridge = 0;
  }
  return Holds;
}

void sendAsk(QuotaState &State, VmKey To, const Ask &Made, const Context &In,
             Effects &Out) {
  if (To == In.m_View.m_Self)
    receiveAsk(State, To, Made, In, Out);
  else
    Out.m_Asks.emplace_back(To, Made);
}

void sendGrant(QuotaState &State, VmKey To, const Grant &Made,
               const Context &In, Effects &Out) {
  if (To == In.m_View.m_Self)
    receiveGrant(State, To, Made, In, Out);
  else
    Out.m_Grants.emplace_back(To, Made);
}

/// Asks for the permissions that are missing or due for renewal.
void renewPermits(QuotaState &State, std::string_view Name,
                  OrganisationState &Of, const Context &In, Effects &Out) {
  std::vector<VmKey> Keepers = rankingOf(Of, Name, In).m_Keepers;
  for (VmKey Keeper : Keepers) {
    Permit &Known = Of.m_Permits[Keeper];
    bool IsRecent = Known.m_Until - In.m_Now >
                    In.m_Policy.m_PermitTime - In.m_Policy.m_PermitRenewal;
    if (IsRecent || In.m_Now - Known.m_AskedAt < In.m_Policy.m_PermitRetry)
      continue;
    Known.m_AskedAt = In.m_Now;
    sendAsk(State, Keeper,
            {toMicros(In.m_Now), std::string(Name), In.m_View.m_Self,
             Purpose::Permit, 0},
            In, Out);
  }
}

/// Notes that this VM, first in rank, is needed as granter.
void noteNeeded(QuotaState &State, std::string_view Name, OrganisationState &Of,
                const Context &In, Effects &Out) {
  Of.m_AskedAt = In.m_Now;
  State.m_PermitsDueAt =
      std::min(State.m_PermitsDueAt, In.m_Now + In.m_Policy.m_PermitRetry);
  if (!updateGranter(State, Of, In))
    renewPermits(State, Name, Of, In, Out);
}

void releasePermits(QuotaState &State, std::string_view Name,
                    OrganisationState &Of, const Context &In, Effects &Out) {
  updateGranter(State, Of, In);
  // The permission ends before any keeper can give it to another VM.
  Of.m_HeldUntil = std::min(Of.m_HeldUntil, In.m_Now);
  Of.m_IsGranter = false;
  for (const auto &[Keeper, Known] : std::exchange(Of.m_Permits, {}))
    sendAsk(State, Keeper,
            {toMicros(In.m_Now), std::string(Name), In.m_View.m_Self,
             Purpose::Release, 0},
            In, Out);
}

/// Time until the next token that has not been promised to another caller.
Duration promiseToken(OrganisationState &Of, const Context &In) {
  double Rate = Of.m_Quota.m_PerSecond;
  if (Rate <= 0)
    return In.m_Policy.m_MaxPromise;
  Duration Interval = scale(std::chrono::seconds(1), 1 / Rate);
  TimePoint NextToken =
      In.m_Now + scale(Interval, std::max(0.0, 1 - Of.m_Tokens.m_Level));
  Of.m_PromisedAt = std::max(NextToken, Of.m_PromisedAt + Interval);
  // More callers than the quota serves in this time cannot all be promised a
  // token of their own.
  TimePoint Latest = In.m_Now + std::max(In.m_Policy.m_MaxPromise, Interval);
  Of.m_PromisedAt = std::min(Of.m_PromisedAt, Latest);
  return Of.m_PromisedAt - In.m_Now;
}

void answerToken(QuotaState &State, VmKey From, const Ask &Received,
                 bool IsGranted, Duration RetryAfter, const Context &In,
                 Effects &Out) {
  Grant Made{Received.m_Id, Received.m_Origin, IsGranted, RetryAfter,
             std::nullopt};
  if (Received.m_Origin != In.m_View.m_Self)
    State.m_Answers[{Received.m_Origin, Received.m_Id}] = {Made, In.m_Now};
  sendGrant(State, From, Made, In, Out);
}

void receiveTokenAsk(QuotaState &State, OrganisationState &Of, VmKey From,
                     const Ask &Received, const Context &In, Effects &Out) {
  const Ranking &Ranks = rankingOf(Of, Received.m_Organisation, In);
  bool IsFirst = Ranks.m_First == In.m_View.m_Self;
  if (IsFirst)
    noteNeeded(State, Received.m_Organisation, Of, In, Out);
  if (updateGranter(State, Of, In)) {
    refill(Of.m_Tokens, Of.m_Quota.m_PerSecond,
           capacityOf(In.m_Policy, Of.m_Quota), In.m_Now);
    bool IsGranted = take(Of.m_Tokens);
    return answerToken(State, From, Received, IsGranted,
                       IsGranted ? Duration(0) : promiseToken(Of, In), In, Out);
  }
  VmKey Next = IsFirst ? Of.m_Bridge : Ranks.m_First;
  if (Next == 0 || Next == From || Received.m_Hops >= MaxHops)
    return;
  if (From != In.m_View.m_Self)
    State.m_WaysBack[{Received.m_Origin, Received.m_Id}] = {From, In.m_Now};
  Ask Forwarded = Received;
  ++Forwarded.m_Hops;
  sendAsk(State, Next, Forwarded, In, Out);
}

void receivePermitAsk(QuotaState &State, OrganisationState &Of, VmKey From,
                      const Ask &Received, const Context &In, Effects &Out) {
  VmKey Asker = Received.m_Origin;
  // A promise made before a restart is forgotten, and has to run out first.
  if (In.m_Now - State.m_StartedAt < In.m_Policy.m_PermitTime ||
      !In.m_View.m_HearsMajority)
    return;
  Grant Answer{Received.m_Id, Asker, false, {}, Received.m_Organisation};
  bool IsFirst = rankingOf(Of, Received.m_Organisation, In).m_First == Asker;
  bool IsFree = Of.m_Holder == Asker || Of.m_HolderUntil <= In.m_Now;
  if (IsFirst && IsFree) {
    if (Of.m_Holder != Asker) {
      Of.m_OtherUntil = Of.m_HolderUntil;
      Of.m_OtherChangedAt = Of.m_ChangedAt;
      Of.m_Holder = Asker;
      Of.m_ChangedAt = In.m_Now;
      Of.m_HolderAskId = 0;
    }
    Of.m_HolderUntil = In.m_Now + In.m_Policy.m_PermitTime;
    Of.m_HolderAskId = std::max(Of.m_HolderAskId, Received.m_Id);
    Answer.m_IsGranted = true;
    Answer.m_OtherAge = In.m_Now - Of.m_OtherUntil;
    Answer.m_ChangeAge = In.m_Now - Of.m_OtherChangedAt;
  }
  sendGrant(State, From, Answer, In, Out);
}

void receiveRelease(OrganisationState &Of, const Ask &Received,
                    const Context &In) {
  // A late duplicate must not end a permission given since.
  if (Of.m_Holder == Received.m_Origin && Received.m_Id >= Of.m_HolderAskId)
    Of.m_HolderUntil = std::min(Of.m_HolderUntil, In.m_Now);
}

void receivePermit(QuotaState &State, VmKey From, const Grant &Received,
                   const Context &In) {
  auto Found = State.m_Organisations.find(*Received.m_Permit);
  if (Found == State.m_Organisations.end())
    return;
  OrganisationState &Of = Found->second;
  auto Known = Of.m_Permits.find(From);
  // The permission was returned meanwhile.
  if (Known == Of.m_Permits.end())
    return;
  if (!Received.m_IsGranted) {
    if (!Of.m_IsGranter && From != In.m_View.m_Self)
      Of.m_Bridge = From;
    return;
  }
  TimePoint AskedAt = fromMicros(Received.m_Id);
  if (AskedAt > In.m_Now || AskedAt < State.m_StartedAt)
    return;
  Known->second.m_Until =
      std::max(Known->second.m_Until, AskedAt + In.m_Policy.m_PermitTime);
  Known->second.m_OtherAt = In.m_Now - Received.m_OtherAge;
  Known->second.m_ChangeAt = In.m_Now - Received.m_ChangeAge;
  rankingOf(Of, Found->first, In);
  updateGranter(State, Of, In);
}

bool isSkipped(const OrganisationState &Of, VmKey Vm, TimePoint Now) {
  auto Found = Of.m_Responders.find(Vm);
  return Found != Of.m_Responders.end() && Now < Found->second.m_SkippedUntil;
}

bool isLive(const View &In, VmKey Vm) {
  return std::any_of(
      In.m_Members.begin(), In.m_Members.end(),
      [Vm](const Member &Each) { return Each.m_Vm == Vm && Each.m_IsLive; });
}

/// The next live keeper that holds a part of the reserve; zero if all have been
/// asked.
VmKey nextReserveKeeper(OrganisationState &Of, PendingAsk &Which,
                        const Context &In) {
  size_t Count = reserveKeepers(Of, In.m_Policy);
  while (Which.m_KeepersAsked < Count) {
    ++Which.m_KeepersAsked;
    VmKey Next = Of.m_Ranking.m_Keepers[Of.m_KeeperTurn++ % Count];
    if (isLive(In.m_View, Next))
      return Next;
  }
  return 0;
}

void conclude(QuotaState &State, uint64_t Id, Cause Why, Duration RetryAfter,
              Effects &Out) {
  auto Found = State.m_Pending.find(Id);
  Out.m_Decisions.push_back({Id, Why, RetryAfter, Found->second.m_Step});
  State.m_Pending.erase(Found);
}

/// Sends or repeats an ask; it may be answered at once.
void sendPending(QuotaState &State, uint64_t Id, const Context &In,
                 Effects &Out) {
  PendingAsk &Which = State.m_Pending.at(Id);
  Which.m_ResendAt = In.m_Now + In.m_Policy.m_ResendTime;
  Ask Made{Id, Which.m_Organisation, In.m_View.m_Self,
           Which.m_Step < 2 ? Purpose::Token : Purpose::Reserve, 0};
  sendAsk(State, Which.m_Asked, Made, In, Out);
}

/// Moves an ask to the first step from this one on that has a VM to ask, or
/// refuses the request.
void beginStep(QuotaState &State, uint64_t Id, const Context &In,
               Effects &Out) {
  PendingAsk &Which = State.m_Pending.at(Id);
  OrganisationState &Of =
      State.m_Organisations.find(Which.m_Organisation)->second;
  const Ranking &Ranks = rankingOf(Of, Which.m_Organisation, In);
  for (; Which.m_Step < 2; ++Which.m_Step) {
    VmKey To = Which.m_Step == 0 ? Ranks.m_First : Ranks.m_Second;
    if (To == 0 || isSkipped(Of, To, In.m_Now))
      continue;
    Which.m_Asked = To;
    Which.m_StepEndsAt = In.m_Now + In.m_Policy.m_StepTime;
    return sendPending(State, Id, In, Out);
  }
  if (Which.m_KeepersAsked == 0)
    Which.m_StepEndsAt = In.m_Now + In.m_Policy.m_StepTime;
  Which.m_Asked = nextReserveKeeper(Of, Which, In);
  // A granter takes over when the permission of the last one ends.
  if (Which.m_Asked == 0)
    return conclude(State, Id, Cause::NoGranter, In.m_Policy.m_PermitTime / 2,
                    Out);
  sendPending(State, Id, In, Out);
}

void stepEnded(QuotaState &State, uint64_t Id, const Context &In,
               Effects &Out) {
  PendingAsk &Which = State.m_Pending.at(Id);
  if (Which.m_Step >= 2)
    return conclude(State, Id, Cause::NoGranter, In.m_Policy.m_PermitTime / 2,
                    Out);
  // Under heavy loss, a VM that has just answered another ask is not skipped:
  // at 30% loss and 25 requests a second, the granter would always be.
  Responder &Asked = State.m_Organisations.find(Which.m_Organisation)
                         ->second.m_Responders[Which.m_Asked];
  if (In.m_Now - Asked.m_AnsweredAt > In.m_Policy.m_SilenceTime)
    Asked.m_SkippedUntil = In.m_Now + In.m_Policy.m_SkipTime;
  ++Which.m_Step;
  beginStep(State, Id, In, Out);
}

void dropSpares(OrganisationState &Of, TimePoint Now) {
  while (!Of.m_SparesUntil.empty() && Of.m_SparesUntil.front() <= Now)
    Of.m_SparesUntil.pop_front();
}

void advancePermits(QuotaState &State, const Context &In, Effects &Out) {
  bool AnyNeeded = false;
  for (auto &[Name, Of] : State.m_Organisations) {
    bool IsFirst = rankingOf(Of, Name, In).m_First == In.m_View.m_Self;
    bool IsNeeded = Of.m_AskedAt != TimePoint{} &&
                    In.m_Now - Of.m_AskedAt < In.m_Policy.m_ActiveTime;
    if (IsFirst && IsNeeded) {
      updateGranter(State, Of, In);
      renewPermits(State, Name, Of, In, Out);
      AnyNeeded = true;
    } else if (!IsFirst && !Of.m_Permits.empty()) {
      releasePermits(State, Name, Of, In, Out);
    } else if (!Of.m_Permits.empty()) {
      // An idle granter gives up its permission by not renewing it. It is still
      // looked at, since a lower rank has to return it.
      updateGranter(State, Of, In);
      AnyNeeded = true;
      if (!Of.m_IsGranter)
        Of.m_Permits.clear();
    }
  }
  State.m_PermitsDueAt =
      AnyNeeded ? In.m_Now + In.m_Policy.m_PermitRetry : TimePoint::max();
}

void purge(QuotaState &State, const Context &In) {
  if (In.m_Now - State.m_PurgedAt < In.m_Policy.m_AnswerTime)
    return;
  State.m_PurgedAt = In.m_Now;
  auto IsOld = [&](const auto &Each) {
    return In.m_Now - Each.second.m_At >= In.m_Policy.m_AnswerTime;
  };
  std::erase_if(State.m_Answers, IsOld);
  std::erase_if(State.m_WaysBack, IsOld);
}

} // namespace

double tolerance(const QuotaPolicy &Policy, const Quota &Of) {
  return Policy.m_Over *
             (Of.m_PerSecond * seconds(Policy.m_Window) + Of.m_Burst) +
         Policy.m_Slack;
}

void updateView(View &Of, LastLive &Seen, const QuotaPolicy &Policy,
                std::span<const Member> Listed, std::span<const VmKey> Left,
                TimePoint Now) {
  std::map<VmKey, Member> Known;
  for (Member Each : Of.m_Members) {
    Each.m_IsLive = false;
    Known.emplace(Each.m_Vm, Each);
  }
  for (VmKey Each : Left)
    Known.erase(Each);
  for (Member Each : Listed) {
    auto Before = Known.find(Each.m_Vm);
    if (!Each.m_WasHeard && Before != Known.end() && Before->second.m_WasHeard)
      continue;
    Known[Each.m_Vm] = Each;
  }
  size_t Live = 0;
  for (const auto &[Vm, Each] : Known) {
    if (Each.m_IsLive)
      Seen[Vm] = Now;
    else
      Seen.try_emplace(Vm, Now);
    Live += Each.m_IsLive ? 1 : 0;
  }
  if (2 * Live > Known.size())
    std::erase_if(Known, [&](const auto &Each) {
      return !Each.second.m_IsLive &&
             Now - Seen[Each.first] > Policy.m_ForgetAfter;
    });
  // What is forgotten may still be listed, and stays forgotten until it is
  // heard.
  std::erase_if(Seen, [&](const auto &Each) {
    return Known.find(Each.first) == Known.end() &&
           Now - Each.second > 3 * Policy.m_ForgetAfter;
  });
  std::vector<Member> Members;
  Members.reserve(Known.size());
  for (const auto &[Vm, Each] : Known)
    Members.push_back(Each);
  if (Members == Of.m_Members)
    return;
  Of.m_HearsMajority = 2 * Live > Members.size();
  Of.m_Members = std::move(Members);
  ++Of.m_Version;
}

QuotaState makeState(TimePoint Now) {
  QuotaState Made;
  Made.m_StartedAt = Now;
  // Ids of an earlier run may still have answers.
  Made.m_LastId = toMicros(Now);
  return Made;
}

void setQuotas(QuotaState &State,
               const std::map<std::string, Quota, std::less<>> &Quotas,
               const QuotaPolicy &Policy, TimePoint Now) {
  std::erase_if(State.m_Removed, [&](const auto &Each) {
    return Now - Each.second > Policy.m_Window + Policy.m_PermitTime;
  });
  std::erase_if(State.m_Organisations, [&](const auto &Each) {
    bool IsGone = Quotas.find(Each.first) == Quotas.end();
    if (IsGone)
      State.m_Removed[Each.first] = Now;
    return IsGone;
  });
  std::erase_if(State.m_Pending, [&](const auto &Each) {
    return Quotas.find(Each.second.m_Organisation) == Quotas.end();
  });
  for (const auto &[Name, Given] : Quotas) {
    auto [Found, IsNew] = State.m_Organisations.try_emplace(Name);
    OrganisationState &Of = Found->second;
    if (IsNew) {
      Of.m_Reserve.m_At = Now;
      Of.m_HolderUntil = State.m_StartedAt;
      Of.m_ChangedAt = State.m_StartedAt;
      // A permission given before the quota was removed may not have ended.
      if (State.m_Removed.count(Name)) {
        Of.m_HolderUntil = Now + Policy.m_PermitTime;
        Of.m_ChangedAt = Now;
      }
    }
    Of.m_Quota = Given;
  }
}

uint64_t requestToken(QuotaState &State, std::string_view Organisation,
                      const Context &In, Effects &Out) {
  OrganisationState &Of = State.m_Organisations.find(Organisation)->second;
  uint64_t Id = ++State.m_LastId;
  State.m_Pending[Id].m_Organisation = Organisation;
  dropSpares(Of, In.m_Now);
  if (!Of.m_SparesUntil.empty()) {
    Of.m_SparesUntil.pop_front();
    conclude(State, Id, Cause::Granted, {}, Out);
    return Id;
  }
  beginStep(State, Id, In, Out);
  return Id;
}

void cancel(QuotaState &State, uint64_t Id) { State.m_Pending.erase(Id); }

void giveBack(QuotaState &State, std::string_view Organisation,
              const Context &In) {
  auto Found = State.m_Organisations.find(Organisation);
  if (Found == State.m_Organisations.end())
    return;
  dropSpares(Found->second, In.m_Now);
  Found->second.m_SparesUntil.push_back(In.m_Now + In.m_Policy.m_SpareTime);
}

void receiveAsk(QuotaState &State, VmKey From, const Ask &Received,
                const Context &In, Effects &Out) {
  purge(State, In);
  auto Found = State.m_Organisations.find(Received.m_Organisation);
  if (Found == State.m_Organisations.end())
    return;
  OrganisationState &Of = Found->second;
  rankingOf(Of, Received.m_Organisation, In);
  if (Received.m_Purpose == Purpose::Permit)
    return receivePermitAsk(State, Of, From, Received, In, Out);
  if (Received.m_Purpose == Purpose::Release)
    return receiveRelease(Of, Received, In);
  auto Known = State.m_Answers.find({Received.m_Origin, Received.m_Id});
  if (Known != State.m_Answers.end())
    return sendGrant(State, From, Known->second.m_Answer, In, Out);
  if (Received.m_Purpose == Purpose::Reserve)
    return answerToken(State, From, Received, takeReserve(Of, In), {}, In, Out);
  receiveTokenAsk(State, Of, From, Received, In, Out);
}

void receiveGrant(QuotaState &State, VmKey From, const Grant &Received,
                  const Context &In, Effects &Out) {
  if (Received.m_Permit) {
    if (Received.m_Origin == In.m_View.m_Self)
      receivePermit(State, From, Received, In);
    return;
  }
  if (Received.m_Origin != In.m_View.m_Self) {
    auto Way = State.m_WaysBack.find({Received.m_Origin, Received.m_Id});
    if (Way == State.m_WaysBack.end())
      return;
    VmKey To = Way->second.m_To;
    State.m_WaysBack.erase(Way);
    return sendGrant(State, To, Received, In, Out);
  }
  auto Found = State.m_Pending.find(Received.m_Id);
  // A VM that was frozen finds answers to asks that it should have given up.
  if (Found == State.m_Pending.end() || In.m_Now >= Found->second.m_StepEndsAt)
    return;
  PendingAsk &Which = Found->second;
  if (Which.m_Step < 2)
    State.m_Organisations.find(Which.m_Organisation)
        ->second.m_Responders[From] = {In.m_Now, {}};
  if (Received.m_IsGranted)
    return conclude(State, Received.m_Id, Cause::Granted, {}, Out);
  if (Which.m_Step >= 2)
    return beginStep(State, Received.m_Id, In, Out);
  conclude(State, Received.m_Id, Cause::OverQuota, Received.m_RetryAfter, Out);
}

void advance(QuotaState &State, const Context &In, Effects &Out) {
  purge(State, In);
  std::vector<uint64_t> Due;
  for (const auto &[Id, Each] : State.m_Pending)
    if (std::min(Each.m_StepEndsAt, Each.m_ResendAt) <= In.m_Now)
      Due.push_back(Id);
  for (uint64_t Id : Due) {
    auto Found = State.m_Pending.find(Id);
    if (Found == State.m_Pending.end())
      continue;
    if (Found->second.m_StepEndsAt <= In.m_Now)
      stepEnded(State, Id, In, Out);
    else if (Found->second.m_Step >= 2)
      beginStep(State, Id, In, Out);
    else
      sendPending(State, Id, In, Out);
  }
  if (State.m_PermitsDueAt <= In.m_Now)
    advancePermits(State, In, Out);
}

TimePoint nextAt(const QuotaState &State) {
  TimePoint At = State.m_PermitsDueAt;
  for (const auto &[Id, Each] : State.m_Pending)
    At = std::min({At, Each.m_StepEndsAt, Each.m_ResendAt});
  return At;
}

bool holdsPermission(const OrganisationState &Of, const Context &In) {
  return permissionEnd(Of) > In.m_Now && In.m_View.m_HearsMajority;
}

} // namespace hyssopcross::quota
