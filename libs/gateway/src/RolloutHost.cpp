#include "RolloutHost.h"
#include "StoreCalls.h"
#include "hyssopcross/base/Log.h"
#include <algorithm>
#include <cmath>

namespace hyssopcross::gateway {

namespace {

using rollout::State;

/// VMs, first in rank, that receive the counts of all others. Two may fail at
/// once.
constexpr uint32_t CountReceivers = 3;
constexpr Duration CountInterval = std::chrono::milliseconds(500);
constexpr Duration VerdictInterval = std::chrono::milliseconds(500);
/// Interval at which an outcome is repeated at first, in case a message is
/// lost, and from then on for VMs that start.
constexpr Duration OutcomeInterval = std::chrono::milliseconds(200);
constexpr Duration OutcomeReminder = std::chrono::seconds(1);
constexpr Duration StoreTimeout = std::chrono::milliseconds(1200);
constexpr Duration StoreRetry = std::chrono::milliseconds(250);
/// How much later each further VM in rank writes a state that the store does
/// not hold yet: the first one may not reach the store.
constexpr Duration WriterStep = std::chrono::seconds(1);
constexpr uint32_t MaxWriterRank = 10;
/// An order that arrives within this time after the start may have been in
/// force before.
constexpr Duration StartTime = std::chrono::seconds(30);
/// Time within which the reads of the VMs that need the state are spread.
constexpr Duration ReadSpread = std::chrono::milliseconds(500);
/// A VM that was frozen for this long has lost its duties.
constexpr Duration FreezeTime = std::chrono::milliseconds(2200);
/// Time after which a VM that was frozen knows the others again.
constexpr Duration ThawTime = std::chrono::seconds(2);
/// How long a VM counts as known that is not heard any more.
constexpr Duration KnownTime = std::chrono::seconds(60);
/// Ended attempts are counted as slow without a response from this multiple of
/// the expected time on.
constexpr double CensoredFactor = 1.5;

uint32_t routeHash(std::string_view Name) { return dispatch::serverKey(Name); }

uint32_t toCount(uint64_t Count) {
  return static_cast<uint32_t>(std::min<uint64_t>(Count, INT32_MAX));
}

/// Whether the other VMs do not learn of a step or an outcome from where this
/// VM did.
bool isOwnFinding(const rollout::Rollout &Of) {
  std::string_view Why = Of.m_Why;
  return Why != "announced" && Why != "stored";
}

void addRoute(fleet::RolloutCounts &To, uint32_t Route, bool IsOld,
              const rollout::Counts &From) {
  if (From.m_Answers > 0)
    To.m_Routes.push_back({Route, IsOld, toCount(From.m_Answers),
                           toCount(From.m_Failures), toCount(From.m_Timed),
                           From.m_LogSum, From.m_LogSquares});
}

} // namespace

RolloutHost::RolloutHost(NodeState &State, FleetMessenger &Fleet)
    : m_State(State), m_Fleet(Fleet) {}

RolloutHost::~RolloutHost() {
  for (const auto &[Service, Each] : m_Active)
    dropCall(*Each);
}

void RolloutHost::dropCall(Active &Of) {
  if (Of.m_Call)
    Of.m_Call->cancel();
  Of.m_Call.reset();
}

void RolloutHost::onOrder(const rollout::Order &Given) {
  auto Found = m_Active.find(Given.m_Service);
  if (Found != m_Active.end()) {
    Active &Known = *Found->second;
    if (Known.m_Rollout.m_Order.m_To == Given.m_To) {
      Known.m_Rollout.m_Order.m_Time = Given.m_Time;
      Known.m_IsWithdrawn = false;
      return;
    }
    // Nothing is known of a version whose roll-out is cut short, so it must not
    // count as an old one.
    if (rollout::applyOutcome(Known.m_Rollout, State::RolledBack, "replaced"))
      logState(Known, "rollout_outcome");
    if (Known.m_Rollout.m_State == State::RolledBack)
      m_RolledBack[Given.m_Service].insert(Known.m_Rollout.m_Order.m_To);
    dropCall(Known);
    m_Active.erase(Found);
  }
  begin(Given);
}

void RolloutHost::begin(const rollout::Order &Given) {
  auto Made = std::make_shared<Active>();
  Active *Of = Made.get();
  TimePoint Now = m_State.now();
  Of->m_Rollout.m_Order = Given;
  Of->m_Rollout.m_OrderedAt = Now;
  Of->m_RateAt = Now;
  Of->m_WantedSince = Now;
  Of->m_Share.m_Accumulated = m_State.draw();
  Of->m_MustRead = Now - m_StartedAt < StartTime;
  Of->m_Own.m_Incarnation = m_State.m_Fleet.m_Self.m_Incarnation;
  if (rankOf(*Of) >= CountReceivers)
    Of->m_StoreRetryAt = Now + scale(ReadSpread, m_State.draw());
  Of->m_New = [Of](const dispatch::Server &Each) {
    return Each.m_Record.m_Version == Of->m_Rollout.m_Order.m_To;
  };
  Of->m_Trial = [Of](const dispatch::Server &Each) {
    return Of->m_New(Each) && (Of->m_Rollout.m_Step > rollout::TrialStep ||
                               Of->m_TrialServers.count(Each.m_Key) > 0);
  };
  Of->m_Others = [this, Of](const dispatch::Server &Each) {
    if (Of->m_New(Each))
      return false;
    auto Past = m_RolledBack.find(Of->m_Rollout.m_Order.m_Service);
    return Past == m_RolledBack.end() ||
           Past->second.count(Each.m_Record.m_Version) == 0;
  };
  m_Active[Given.m_Service] = Made;
  logState(*Of, "rollout_ordered");
  m_State.m_Metrics.count("rollout_ordered");
  auto Past = m_RolledBack.find(Given.m_Service);
  if (Past != m_RolledBack.end() && Past->second.count(Given.m_To) > 0 &&
      rollout::applyOutcome(Of->m_Rollout, State::RolledBack,
                            "rolled_back_before"))
    onChange(*Of);
  refreshServers(*Of);
}

void RolloutHost::onWithdrawal(const std::string &Service) {
  auto Found = m_Active.find(Service);
  if (Found == m_Active.end())
    return;
  Active &Of = *Found->second;
  Of.m_IsWithdrawn = true;
  if (rollout::applyOutcome(Of.m_Rollout, State::RolledBack, "withdrawn"))
    return onChange(Of);
  // The filter of a completed roll-out ends with its order.
  if (Of.m_Rollout.m_State == State::Completed) {
    dropCall(Of);
    m_Active.erase(Found);
  }
}

uint32_t RolloutHost::rankOf(const Active &Of) const {
  return fleet::dutyRank(m_State.m_Fleet,
                         "rollout/" + Of.m_Rollout.m_Order.m_Service, {});
}

rollout::FleetView RolloutHost::viewOf(const Active &Of) const {
  TimePoint Now = m_State.now();
  size_t Known = 1;
  size_t Heard = 1;
  for (const auto &[Host, Each] : m_State.m_Fleet.m_Peers) {
    if (!Each.m_Heard || Each.m_Info.m_Leaving ||
        Now - Each.m_HeardAt >= KnownTime)
      continue;
    ++Known;
    Heard += Each.m_Alive ? 1 : 0;
  }
  rollout::FleetView Fleet;
  Fleet.m_HasServers = Of.m_NewServers > 0;
  Fleet.m_Vms = Heard;
  // The state in the store may be an outcome of VMs that have restarted.
  Fleet.m_Decides = Of.m_Stored && Heard * 2 > Known && rankOf(Of) == 0 &&
                    !m_State.isStopping() && Now >= m_DecidesFrom;
  return Fleet;
}

void RolloutHost::refreshServers(Active &Of) {
  const rollout::Rollout &Rollout = Of.m_Rollout;
  std::vector<dispatch::ServerKey> New;
  Of.m_OldServers = 0;
  auto Service = m_State.m_Servers.m_ByService.find(Rollout.m_Order.m_Service);
  if (Service != m_State.m_Servers.m_ByService.end())
    for (const dispatch::Server *Each : Service->second) {
      if (!dispatch::isInService(m_State.m_Servers, *Each))
        continue;
      if (Each->m_Record.m_Version == Rollout.m_Order.m_To)
        New.push_back(Each->m_Key);
      else
        ++Of.m_OldServers;
    }
  Of.m_NewServers = New.size();
  std::sort(New.begin(), New.end());
  size_t Used =
      rollout::trialServers(Rollout.m_Share, Of.m_OldServers, New.size());
  New.resize(std::min(New.size(), Used));
  Of.m_TrialServers = {New.begin(), New.end()};
}

void RolloutHost::sweep(uint64_t Era) {
  TimePoint Now = m_State.now();
  if (m_StartedAt == TimePoint{})
    m_StartedAt = Now;
  bool WasFrozen = m_SweptAt != TimePoint{} && Now - m_SweptAt >= FreezeTime;
  m_SweptAt = Now;
  if (WasFrozen)
    m_DecidesFrom = Now + ThawTime;
  bool IsNewEra = std::exchange(m_Era, Era) != Era;
  std::vector<ActiveRef> All;
  for (const auto &[Service, Each] : m_Active)
    All.push_back(Each);
  for (const ActiveRef &Each : All) {
    // An older copy of the store may lack what was written, and a call in
    // progress may be answered with what was true before.
    if (WasFrozen || IsNewEra) {
      dropCall(*Each);
      Each->m_Stored.reset();
      Each->m_WantedSince = Now;
    }
    evaluate(*Each);
    updateStore(Each);
  }
}

uint32_t RolloutHost::oldInFlight(const Active &Of) const {
  uint32_t Count = 0;
  auto Known = m_InFlight.find(Of.m_Rollout.m_Order.m_Service);
  if (Known != m_InFlight.end())
    for (const auto &[Version, Each] : Known->second)
      Count += Version == Of.m_Rollout.m_Order.m_To ? 0 : Each;
  return Count;
}

void RolloutHost::evaluate(Active &Of) {
  TimePoint Now = m_State.now();
  if (Now - Of.m_RateAt >= std::chrono::seconds(1)) {
    Of.m_OwnPerSecond =
        static_cast<double>(Of.m_Own.m_Received - Of.m_ReceivedBefore) /
        std::chrono::duration<double>(Now - Of.m_RateAt).count();
    Of.m_ReceivedBefore = Of.m_Own.m_Received;
    Of.m_RateAt = Now;
    m_State.m_Metrics.gauge("rollout_share:" + Of.m_Rollout.m_Order.m_Service +
                                ":" + Of.m_Rollout.m_Order.m_To,
                            Of.m_Rollout.m_Share);
  }
  refreshServers(Of);
  if (Of.m_Rollout.m_State == State::Running) {
    Of.m_Own.m_Step = Of.m_Rollout.m_Step;
    Of.m_Own.m_OldInFlight = oldInFlight(Of);
    Of.m_Own.m_HeardAt = Now;
    rollout::recordCounts(Of.m_Rollout, m_State.m_Fleet.m_SelfKey, Of.m_Own);
    if (!Of.m_MayBeCompleted &&
        rollout::evaluate(Of.m_Rollout, viewOf(Of),
                          m_State.m_Settings.m_Rollout, Now))
      onChange(Of);
    if (Now - Of.m_CountsSentAt >= CountInterval)
      sendCounts(Of);
  }
  bool IsRunning = Of.m_Rollout.m_State == State::Running;
  bool IsRecent = !IsRunning && Now - Of.m_OutcomeAt <
                                    m_State.m_Settings.m_Rollout.m_RollbackTime;
  Duration Interval = IsRunning  ? VerdictInterval
                      : IsRecent ? OutcomeInterval
                                 : OutcomeReminder;
  bool IsFirst = rankOf(Of) == 0;
  bool Found = isOwnFinding(Of.m_Rollout);
  bool Speaks =
      IsRunning ? viewOf(Of).m_Decides : (IsRecent && Found) || IsFirst;
  if (Speaks && Now - Of.m_VerdictSentAt >= Interval)
    sendVerdict(Of);
}

void RolloutHost::onChange(Active &Of) {
  const rollout::Rollout &Rollout = Of.m_Rollout;
  TimePoint Now = m_State.now();
  bool IsOutcome = Rollout.m_State != State::Running;
  if (IsOutcome) {
    Of.m_OutcomeAt = Now;
    Of.m_WantedSince = Now;
    if (Rollout.m_State == State::RolledBack)
      m_RolledBack[Rollout.m_Order.m_Service].insert(Rollout.m_Order.m_To);
  }
  m_State.m_Metrics.count(IsOutcome ? std::string("rollout_") +
                                          rollout::stateName(Rollout.m_State)
                                    : "rollout_step");
  logState(Of, IsOutcome ? "rollout_outcome" : "rollout_step");
  refreshServers(Of);
  if (isOwnFinding(Rollout))
    sendVerdict(Of);
}

void RolloutHost::logState(const Active &Of, const char *Event) const {
  const rollout::Rollout &Rollout = Of.m_Rollout;
  rollout::VmCounts Total = rollout::totalOf(Rollout);
  const rollout::Sides &Seen = Rollout.m_Whole.m_Seen;
  double Against = rollout::evidenceAgainst(Rollout.m_Whole);
  for (const auto &[Route, Each] : Rollout.m_Routes)
    Against = std::max(Against, rollout::evidenceAgainst(Each));
  logEvent(Rollout.m_State == State::RolledBack ? LogLevel::Warning
                                                : LogLevel::Info,
           Event,
           {{"service", Rollout.m_Order.m_Service},
            {"version", Rollout.m_Order.m_To},
            {"state", rollout::stateName(Rollout.m_State)},
            {"why", Rollout.m_Why},
            {"step", Rollout.m_Step},
            {"share", Rollout.m_Share},
            {"since_order_ms", toMillis(m_State.now() - Rollout.m_OrderedAt)},
            {"deadline_in_ms", toMillis(Rollout.deadline() - m_State.now())},
            {"received", Total.m_Received},
            {"sent", Total.m_Sent},
            {"new_answers", Seen.m_New.m_Answers},
            {"new_failures", Seen.m_New.m_Failures},
            {"old_answers", Seen.m_Old.m_Answers},
            {"old_failures", Seen.m_Old.m_Failures},
            {"evidence_for", rollout::evidenceFor(Rollout.m_Whole)},
            {"evidence_against", Against},
            {"new_servers", Of.m_NewServers},
            {"old_servers", Of.m_OldServers},
            {"old_in_flight", Total.m_OldInFlight},
            {"vms", Rollout.m_Vms.size()}});
}

void RolloutHost::sendCounts(Active &Of) {
  const rollout::Rollout &Rollout = Of.m_Rollout;
  TimePoint Now = m_State.now();
  Of.m_CountsSentAt = Now;
  fleet::RolloutCounts Told;
  Told.m_Service = Rollout.m_Order.m_Service;
  Told.m_Version = Rollout.m_Order.m_To;
  Told.m_Age = Now - Rollout.m_OrderedAt;
  Told.m_Received = toCount(Of.m_Own.m_Received);
  Told.m_Sent = toCount(Of.m_Own.m_Sent);
  Told.m_OldInFlight = Of.m_Own.m_OldInFlight;
  Told.m_Step = Of.m_Own.m_Step;
  for (const auto &[Route, Each] : Of.m_Own.m_Routes) {
    if (Told.m_Routes.size() + 2 > fleet::MaxRolloutRoutes)
      break;
    addRoute(Told, Route, false, Each.m_New);
    addRoute(Told, Route, true, Each.m_Old);
  }
  m_Fleet.sendRolloutCounts(
      Told, fleet::dutyStandbys(m_State.m_Fleet,
                                "rollout/" + Rollout.m_Order.m_Service, {},
                                CountReceivers));
}

void RolloutHost::sendVerdict(Active &Of) {
  const rollout::Rollout &Rollout = Of.m_Rollout;
  TimePoint Now = m_State.now();
  Of.m_VerdictSentAt = Now;
  fleet::RolloutVerdict Told;
  Told.m_Service = Rollout.m_Order.m_Service;
  Told.m_Version = Rollout.m_Order.m_To;
  Told.m_State = static_cast<uint32_t>(Rollout.m_State);
  Told.m_Step = Rollout.m_Step;
  Told.m_Share = Rollout.m_Share;
  Told.m_Age = Now - Rollout.m_OrderedAt;
  Told.m_IsStored = Of.m_Stored && Of.m_Stored->m_State == Rollout.m_State &&
                    Of.m_Stored->m_To == Rollout.m_Order.m_To;
  m_Fleet.sendRolloutVerdict(Told);
}

void RolloutHost::onMessage(const fleet::Datagram &Message,
                            const std::string &Host) {
  TimePoint Now = m_State.now();
  auto Find = [&](const std::string &Service,
                  const std::string &Version) -> Active * {
    auto Found = m_Active.find(Service);
    bool IsSame = Found != m_Active.end() &&
                  Found->second->m_Rollout.m_Order.m_To == Version;
    return IsSame ? Found->second.get() : nullptr;
  };
  for (const fleet::RolloutCounts &Each : Message.m_RolloutCounts) {
    Active *Of = Find(Each.m_Service, Each.m_Version);
    if (!Of)
      continue;
    Of->m_Rollout.m_OrderedAt =
        std::min(Of->m_Rollout.m_OrderedAt, Now - Each.m_Age);
    rollout::VmCounts News;
    News.m_Incarnation = Message.m_Incarnation;
    News.m_Received = Each.m_Received;
    News.m_Sent = Each.m_Sent;
    News.m_OldInFlight = Each.m_OldInFlight;
    News.m_Step = Each.m_Step;
    News.m_HeardAt = Now;
    for (const fleet::RolloutRoute &Route : Each.m_Routes) {
      rollout::Sides &Sides = News.m_Routes[Route.m_Route];
      (Route.m_IsOld ? Sides.m_Old : Sides.m_New) = {
          Route.m_Answers, Route.m_Failures, Route.m_Timed, Route.m_LogSum,
          Route.m_LogSquares};
    }
    rollout::recordCounts(Of->m_Rollout, fleet::vmKey(Host), News);
  }
  for (const fleet::RolloutVerdict &Each : Message.m_RolloutVerdicts) {
    auto Told = static_cast<State>(Each.m_State);
    Active *Of = Find(Each.m_Service, Each.m_Version);
    if (!Of) {
      // The order has not arrived yet; the version must not be used then.
      if (Told == State::RolledBack)
        m_RolledBack[Each.m_Service].insert(Each.m_Version);
      continue;
    }
    Of->m_Rollout.m_OrderedAt =
        std::min(Of->m_Rollout.m_OrderedAt, Now - Each.m_Age);
    if (Each.m_IsStored && Told != State::Running)
      applyStatus(*Of, {Told, Each.m_Version,
                        Of->m_Stored ? Of->m_Stored->m_RowVersion : 0});
    if (Told != State::Running) {
      // Only the store says that a version is completed.
      if (Told == State::RolledBack &&
          rollout::applyOutcome(Of->m_Rollout, Told, "announced"))
        onChange(*Of);
      continue;
    }
    if (Of->m_MustRead && !Of->m_Stored)
      continue;
    if (rollout::applyStep(Of->m_Rollout, Each.m_Step, Each.m_Share, Now)) {
      Of->m_Rollout.m_Why = "announced";
      onChange(*Of);
      // The end waits until all VMs have said that they apply the last step.
      if (Each.m_Step == rollout::LastStep)
        Of->m_CountsSentAt = {};
    }
  }
}

std::optional<State> RolloutHost::wantedState(const Active &Of) const {
  const rollout::Rollout &Rollout = Of.m_Rollout;
  if (Rollout.m_State != State::Running)
    return Rollout.m_State;
  rollout::FleetView Fleet = viewOf(Of);
  if (!Fleet.m_Decides)
    return std::nullopt;
  if (rollout::isDrained(Rollout, Fleet, m_State.m_Settings.m_Rollout,
                         m_State.now()))
    return State::Completed;
  return State::Running;
}

void RolloutHost::updateStore(const ActiveRef &Of) {
  TimePoint Now = m_State.now();
  if (Of->m_Call || Now < Of->m_StoreRetryAt)
    return;
  uint32_t Rank = rankOf(*Of);
  bool IsDue = Now - Of->m_WantedSince >= WriterStep * Rank;
  if (!Of->m_Stored) {
    if ((Rank <= MaxWriterRank && IsDue) || Rank < CountReceivers ||
        Of->m_MustRead)
      readStatus(Of);
    return;
  }
  std::optional<State> Wanted = wantedState(*Of);
  bool IsHeld = Wanted && Of->m_Stored->m_RowVersion > 0 &&
                Of->m_Stored->m_State == *Wanted &&
                Of->m_Stored->m_To == Of->m_Rollout.m_Order.m_To;
  bool IsToldHeld = Wanted && *Wanted != State::Running &&
                    Of->m_Stored->m_State == *Wanted &&
                    Of->m_Stored->m_To == Of->m_Rollout.m_Order.m_To;
  if (Wanted && !IsHeld && !IsToldHeld && IsDue && Rank <= MaxWriterRank)
    writeStatus(Of, *Wanted);
}

void RolloutHost::callStore(
    const ActiveRef &Of, http::Request Asked,
    std::function<void(const http::ExchangeResult &)> Handler) {
  Of->m_StoreRetryAt = m_State.now() + StoreRetry;
  http::TimedRequest Sent;
  Sent.m_Request = std::make_shared<http::Request>(std::move(Asked));
  Sent.m_Timeout = StoreTimeout;
  Sent.m_MaxIdle = StoreMaxIdle;
  Of->m_Call = http::TimedExchange::start(
      m_State.m_Loop, m_State.m_Client, m_State.m_Settings.m_Store,
      std::move(Sent),
      [Of, Handler = std::move(Handler)](const http::ExchangeResult &Result) {
        Of->m_Call.reset();
        Handler(Result);
      });
}

void RolloutHost::readStatus(const ActiveRef &Of) {
  m_State.m_Metrics.count("store_read");
  const std::string &Service = Of->m_Rollout.m_Order.m_Service;
  callStore(Of, m_State.m_PlatformCodec.m_EncodeReadRollout(Service),
            [this, Of](const http::ExchangeResult &Result) {
              if (Result.m_End != http::ExchangeEnd::Answered)
                return;
              auto Read = m_State.m_PlatformCodec.m_DecodeRollout(
                  Result.m_Answer, Of->m_Rollout.m_Order.m_Service);
              if (Read)
                applyStatus(*Of, *Read);
            });
}

void RolloutHost::applyStatus(Active &Of, const RolloutStatus &Read) {
  rollout::Rollout &Rollout = Of.m_Rollout;
  Of.m_Stored = Read;
  Of.m_MayBeCompleted = false;
  if (Read.m_To != Rollout.m_Order.m_To || Read.m_State == State::Running ||
      Read.m_State == Rollout.m_State)
    return;
  // The operators act on what the store holds, also if this VM has found
  // another outcome in the meantime.
  if (Rollout.m_State != State::Running) {
    logEvent(LogLevel::Error, "rollout_outcome_differs",
             {{"service", Rollout.m_Order.m_Service},
              {"version", Rollout.m_Order.m_To},
              {"own", rollout::stateName(Rollout.m_State)},
              {"store", rollout::stateName(Read.m_State)}});
    if (Read.m_State == State::Completed)
      m_RolledBack[Rollout.m_Order.m_Service].erase(Rollout.m_Order.m_To);
    Rollout.m_State = State::Running;
  }
  if (rollout::applyOutcome(Rollout, Read.m_State, "stored"))
    onChange(Of);
}

void RolloutHost::writeStatus(const ActiveRef &Of, State Wanted) {
  m_State.m_Metrics.count("store_write");
  Of->m_MayBeCompleted = Wanted == State::Completed;
  RolloutStatus Status{Wanted, Of->m_Rollout.m_Order.m_To,
                       Of->m_Stored->m_RowVersion};
  callStore(Of,
            m_State.m_PlatformCodec.m_EncodeWriteRollout(
                Of->m_Rollout.m_Order.m_Service, Status),
            [this, Of, Status](const http::ExchangeResult &Result) {
              bool IsAnswered = Result.m_End == http::ExchangeEnd::Answered;
              unsigned Code = IsAnswered ? Result.m_Answer.result_int() : 0;
              logEvent(LogLevel::Info, "rollout_written",
                       {{"service", Of->m_Rollout.m_Order.m_Service},
                        {"version", Status.m_To},
                        {"state", rollout::stateName(Status.m_State)},
                        {"row_version", Status.m_RowVersion},
                        {"status", Code}});
              m_State.m_Metrics.count(Code == 200 ? "rollout_written"
                                                  : "rollout_not_written");
              if (Code == 200)
                return applyStatus(
                    *Of, {Status.m_State, Status.m_To,
                          std::max<uint64_t>(1, Status.m_RowVersion)});
              // Whether a write without an answer has taken effect is read
              // back, and so is what another VM has written.
              Of->m_Stored.reset();
              if (Code == 412)
                Of->m_StoreRetryAt = {};
              updateStore(Of);
            });
}

bool RolloutHost::takeRequest(const std::string &Service) {
  auto Found = m_Active.find(Service);
  if (Found == m_Active.end())
    return false;
  Active &Of = *Found->second;
  ++Of.m_Own.m_Received;
  if (Of.m_Rollout.m_State != State::Running ||
      Of.m_Rollout.m_Step == rollout::WaitStep || Of.m_NewServers == 0)
    return false;
  return rollout::takeShare(
      Of.m_Share, rollout::localShare(Of.m_Rollout, Of.m_OwnPerSecond,
                                      m_State.m_Fleet.m_Peers.size() + 1,
                                      m_State.m_Settings.m_Rollout));
}

const dispatch::ServerFilter *RolloutHost::filterOf(std::string_view Service,
                                                    bool IsTrial,
                                                    bool IsFirstAttempt) const {
  static const dispatch::ServerFilter None = [](const dispatch::Server &) {
    return false;
  };
  auto Found = m_Active.find(Service);
  if (Found == m_Active.end())
    return nullptr;
  const Active &Of = *Found->second;
  switch (Of.m_Rollout.m_State) {
  case State::Completed:
    return Of.m_NewServers > 0 ? &Of.m_New : nullptr;
  case State::RolledBack:
    return &Of.m_Others;
  case State::Running:
    break;
  }
  if (Of.m_Rollout.m_Step == rollout::LastStep)
    return IsFirstAttempt ? &Of.m_New : &None;
  // An unknown version is better than none.
  if (Of.m_OldServers == 0)
    return nullptr;
  return IsTrial && IsFirstAttempt ? &Of.m_Trial : &Of.m_Others;
}

bool RolloutHost::hasFallback(std::string_view Service) const {
  auto Found = m_Active.find(Service);
  return Found == m_Active.end() ||
         (Found->second->m_Rollout.m_State == State::Running &&
          Found->second->m_Rollout.m_Step != rollout::LastStep);
}

void RolloutHost::attemptStarted(const SentAttempt &Which) {
  ++m_InFlight[Which.m_Service][Which.m_Version];
  auto Found = m_Active.find(Which.m_Service);
  if (Found != m_Active.end() &&
      Found->second->m_Rollout.m_Order.m_To == Which.m_Version)
    ++Found->second->m_Own.m_Sent;
}

void RolloutHost::attemptEnded(const SentAttempt &Which, AttemptResult Result,
                               Duration Took) {
  auto Service = m_InFlight.find(Which.m_Service);
  if (Service != m_InFlight.end()) {
    uint32_t &Count = Service->second[Which.m_Version];
    if (Count > 0 && --Count == 0)
      Service->second.erase(Which.m_Version);
    if (Service->second.empty())
      m_InFlight.erase(Service);
  }
  auto Found = m_Active.find(Which.m_Service);
  if (Found == m_Active.end() ||
      Found->second->m_Rollout.m_State != State::Running)
    return;
  Active &Of = *Found->second;
  double Ratio =
      static_cast<double>(Took.count()) /
      static_cast<double>(std::max<int64_t>(1, Which.m_Expected.count()));
  if (Result == AttemptResult::Unknown && Ratio < CensoredFactor)
    return;
  rollout::Sides &Sides = Of.m_Own.m_Routes[routeHash(Which.m_Route)];
  rollout::Counts &To =
      Which.m_Version == Of.m_Rollout.m_Order.m_To ? Sides.m_New : Sides.m_Old;
  ++To.m_Answers;
  if (Result == AttemptResult::Failed) {
    ++To.m_Failures;
    return;
  }
  double Most = m_State.m_Settings.m_Rollout.m_Tests.m_MaxLogRatio;
  double Log = std::clamp(std::log(std::max(Ratio, 1e-3)), -Most, Most);
  ++To.m_Timed;
  To.m_LogSum += Log;
  To.m_LogSquares += Log * Log;
}

} // namespace hyssopcross::gateway
