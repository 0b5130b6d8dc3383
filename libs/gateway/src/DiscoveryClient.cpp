#include "DiscoveryClient.h"
#include "StoreCalls.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/base/Recovery.h"
#include "hyssopcross/discovery/WatchSchedule.h"

namespace hyssopcross::gateway {

namespace {

using boost::system::error_code;

/// How long a watch of the servers' table waits for changes. Watches of the
/// operators' table, which the followers complete in rotation, confirm that the
/// store responds.
constexpr Duration ServersWatchTime = std::chrono::seconds(8);
/// How long the response to a watch may take beyond the requested wait time.
constexpr Duration WatchSlack = std::chrono::milliseconds(400);
/// Timeout of a call to the store that does not wait for changes.
constexpr Duration StoreTimeout = std::chrono::milliseconds(1200);
/// Time after startup for the other VMs to be heard. VMs that start
/// simultaneously all hear each other within some 0.4 s; without this wait,
/// each would follow the store until it has heard the others.
constexpr Duration SettleTime = std::chrono::milliseconds(500);
/// Time in which a VM without tables asks other VMs for them before the store
/// when the whole system starts: callers arrive seconds later, and the tables
/// spread from VM to VM in about two seconds.
constexpr Duration PeersFirstTime = std::chrono::milliseconds(4000);
/// Mean pause of such a VM after it found no VM to ask or was rejected:
/// meanwhile others get the tables and can be asked next.
constexpr Duration PeersFirstPause = std::chrono::milliseconds(200);
/// Pause after a watch that returned changes; small compared with the two
/// seconds within which a change must be in force. The pauses of three
/// followers overlap, which shortens the delay of a change.
constexpr Duration ChangeBatchPause = std::chrono::milliseconds(300);
/// Longest pause between calls for the servers' table while they fail. Calls
/// for the operators' table detect that the store has recovered.
constexpr Duration ServersMaxPause = std::chrono::seconds(2);
/// Age from which the last response of the store to this VM no longer counts:
/// the longest watch plus the time that its response may take.
constexpr Duration OwnConfirmationAge = std::chrono::milliseconds(2200);
/// How long rows that another VM has announced may be in transit to this one.
constexpr Duration CatchUpTimeout = std::chrono::milliseconds(150);
/// An outage shorter than the expiry time of a server's row cannot have removed
/// it.
constexpr Duration ShortOutage = std::chrono::milliseconds(700);

const char *failureName(StoreFailure Why) {
  switch (Why) {
  case StoreFailure::Unavailable:
    return "unavailable";
  case StoreFailure::HistoryLost:
    return "history_lost";
  case StoreFailure::Conflict:
    return "conflict";
  case StoreFailure::Malformed:
    return "malformed";
  case StoreFailure::EarlierEra:
    return "earlier_era";
  }
  return "unknown";
}

} // namespace

const char *tableName(FollowedTable Which) {
  return Which == FollowedTable::Operator ? "operator" : "servers";
}

DiscoveryClient::DiscoveryClient(NodeState &State, FleetMessenger &Fleet,
                                 RolloutHost &Rollouts,
                                 std::function<void()> ConfigurationChanged)
    : m_State(State), m_Fleet(Fleet), m_Rollouts(Rollouts),
      m_ConfigurationChanged(std::move(ConfigurationChanged)),
      m_RegisterTimer(State.m_Loop) {
  m_Followers[0].m_Which = FollowedTable::Operator;
  m_Followers[1].m_Which = FollowedTable::Servers;
  m_Followers[1].m_Pace.m_MaxDelay = ServersMaxPause;
  for (Follower &Each : m_Followers)
    Each.m_Timer = std::make_unique<boost::asio::steady_timer>(State.m_Loop);
}

DiscoveryClient::~DiscoveryClient() {
  for (Follower &Each : m_Followers)
    if (Each.m_Call)
      Each.m_Call->cancel();
}

void DiscoveryClient::start() {
  m_StartedAt = m_State.now();
  // After a crash callers are waiting, and two calls cost little.
  if (!m_State.m_Settings.m_IsFirstStart)
    for (Follower &Each : m_Followers)
      next(Each);
  // Wait for the greetings of other VMs: a ready one has everything that the
  // store could return.
  m_RegisterTimer.expires_after(SettleTime);
  m_RegisterTimer.async_wait([this](const error_code &Ended) {
    if (Ended)
      return;
    runWithRecovery(
        [this] {
          updateRole();
          for (Follower &Each : m_Followers)
            next(Each);
          discoverVms();
        },
        [this] {
          for (Follower &Each : m_Followers)
            restart(Each);
          scheduleVmDiscovery();
        });
  });
}

bool DiscoveryClient::isComplete() const {
  for (const Follower &Each : m_Followers)
    if (!Each.m_Copy.m_IsComplete)
      return false;
  return true;
}

bool DiscoveryClient::storeAnswers() const {
  for (const Follower &Each : m_Followers)
    if (Each.m_StoreFailed || !Each.m_Copy.m_IsComplete)
      return false;
  return true;
}

Duration DiscoveryClient::watchTime(const Follower &Of) const {
  // Do not wait for changes after a failure, so that an immediate response
  // shows that the store has recovered, or after some time without responses,
  // to confirm that it is reachable.
  TimePoint Now = m_State.now();
  const fleet::FleetPolicy &Policy = m_State.m_Settings.m_FleetPolicy;
  if (!m_IsFollower || Of.m_MustRead || Of.m_StoreFailed || Of.isBehind() ||
      Now - m_ConfirmedAt >= Policy.m_ConfirmationAge)
    return Duration(0);
  if (Of.m_Which != FollowedTable::Operator)
    return ServersWatchTime;
  auto Turn = fleet::followerSlot(m_State.m_Fleet, Policy, Now);
  return discovery::watchTime({}, Turn.m_Index, Turn.m_Count,
                              m_State.m_Clock.wallNow());
}

bool DiscoveryClient::needsCall(const Follower &Of) const {
  return m_IsFollower || Of.m_MustRead || Of.isBehind();
}

void DiscoveryClient::next(Follower &Of) {
  if (!discovery::canStartCall(Of.m_Pace))
    return;
  if (!needsCall(Of))
    return discovery::onCallCancelled(Of.m_Pace);
  Of.m_Timer->cancel();
  bool IsNew = mustUsePeersOnly(Of);
  if ((std::exchange(Of.m_AskPeer, false) || IsNew) && askPeer(Of))
    return;
  if (IsNew)
    return pauseThenNext(Of);
  Duration Wait = watchTime(Of);
  AskedRows Asked{Of.m_MustRead, Of.m_Copy.m_UpTo, Of.m_Copy.m_LastChange,
                  Wait > Duration(0)};
  http::Request Request;
  if (Asked.m_IsWhole) {
    std::string_view From;
    if (!Of.m_Pages.m_Rows.empty())
      From = Of.m_Pages.m_Rows.back().m_Key;
    Request = m_State.m_PlatformCodec.m_EncodeReadAll(Of.m_Which, From);
  } else {
    Request = m_State.m_PlatformCodec.m_EncodeWatch(
        Of.m_Which, Asked.m_After.m_Version, Wait);
  }
  m_State.m_Metrics.count(Asked.m_IsWhole ? "store_read" : "store_watch");
  logEvent(LogLevel::Debug, "store_call",
           {{"table", tableName(Of.m_Which)},
            {"whole", Asked.m_IsWhole},
            {"era", Asked.m_After.m_Era},
            {"after", Asked.m_After.m_Version},
            {"wait_ms", toMillis(Wait)},
            {"follower", m_IsFollower},
            {"announced_era", Of.m_Announced.m_Era},
            {"announced", Of.m_Announced.m_Version}});
  Of.m_Asked = Asked;
  call(Of, m_State.m_Settings.m_Store, std::move(Request),
       Asked.m_IsWatch ? Wait + WatchSlack : StoreTimeout,
       &DiscoveryClient::answered);
}

void DiscoveryClient::call(Follower &Of, const Address &Source,
                           http::Request Asked, Duration Limit,
                           AnswerHandler Handler) {
  discovery::onCallStarted(Of.m_Pace);
  http::TimedRequest Sent;
  Sent.m_Request = std::make_shared<http::Request>(std::move(Asked));
  Sent.m_Timeout = Limit;
  Sent.m_MaxIdle = StoreMaxIdle;
  Of.m_Call = http::TimedExchange::start(
      m_State.m_Loop, m_State.m_Client, Source, std::move(Sent),
      [this, &Of, Handler](const http::ExchangeResult &Result) {
        Of.m_Call.reset();
        runWithRecovery([&] { (this->*Handler)(Of, Result); },
                        [&] { restart(Of); });
      });
}

void DiscoveryClient::answered(Follower &Of,
                               const http::ExchangeResult &Result) {
  if (Result.m_End != http::ExchangeEnd::Answered)
    return failed(Of, StoreFailure::Unavailable);
  std::optional<uint64_t> Era = readEra(Result.m_Answer);
  auto Batch = m_State.m_PlatformCodec.m_DecodeRows(Result.m_Answer);
  if (!Batch)
    return failed(Of, Batch.error());
  discovery::RowBatch &Received = Batch.value();
  uint64_t KnownEra = Of.m_Copy.m_UpTo.m_Era;
  Received.m_UpTo.m_Era = Era.value_or(KnownEra);
  if (Received.m_UpTo.m_Era < KnownEra)
    return failed(Of, StoreFailure::EarlierEra);
  discovery::onCallSucceeded(Of.m_Pace);
  m_ConfirmedAt = m_State.now();
  if (Of.m_Asked.m_IsWhole) {
    pageRead(Of, std::move(Received));
    return;
  }
  // The versions of the copy mean nothing in another era.
  if (Received.m_UpTo.m_Era > KnownEra) {
    Of.m_MustRead = true;
    return next(Of);
  }
  // Another VM's rows have begun the era of the copy since the call was sent.
  if (Of.m_Asked.m_After.m_Era != KnownEra)
    return next(Of);
  restored(Of);
  applyStoreBatch(Of, Received);
  if (Received.m_Rows.empty() && !Of.isBehind())
    return next(Of);
  // Changes come in groups; after a short pause one call can return several.
  pause(Of, ChangeBatchPause);
}

void DiscoveryClient::pageRead(Follower &Of, discovery::RowBatch Page) {
  discovery::RowBatch &Pages = Of.m_Pages;
  if (!Pages.m_Rows.empty() && Pages.m_UpTo.m_Era != Page.m_UpTo.m_Era) {
    Pages = {};
    return next(Of);
  }
  Pages.m_UpTo =
      Pages.m_Rows.empty() ? Page.m_UpTo : std::min(Pages.m_UpTo, Page.m_UpTo);
  for (discovery::Row &Each : Page.m_Rows)
    Pages.m_Rows.push_back(std::move(Each));
  if (!Page.m_HasMore) {
    discovery::RowBatch Whole = std::move(Pages);
    Pages = {};
    Whole.m_IsSnapshot = true;
    // The snapshot is older than the local copy, so the source is behind.
    if (Whole.m_UpTo < Of.m_Copy.m_UpTo)
      return failed(Of, StoreFailure::Unavailable);
    Of.m_MustRead = false;
    restored(Of);
    applyStoreBatch(Of, Whole);
  }
  next(Of);
}

std::optional<uint64_t> DiscoveryClient::readEra(const http::Response &Answer) {
  auto Era = m_State.m_PlatformCodec.m_DecodeEra(Answer);
  bool IsInvalid = !Era || !Era.value();
  if (IsInvalid != std::exchange(m_IsEraInvalid, IsInvalid) && IsInvalid) {
    m_State.m_Metrics.count("store_era_invalid");
    logEvent(LogLevel::Warning, "store_era_invalid",
             {{"error", Era ? "no era is stated" : Era.error().m_Message},
              {"last_era", m_LoggedEra.value_or(0)},
              {"outcome", "ignored"}});
  }
  if (IsInvalid)
    return std::nullopt;
  if (m_LoggedEra == Era.value())
    return Era.value();
  logEvent(LogLevel::Info, "store_era",
           {{"era", *Era.value()},
            {"last_era", m_LoggedEra.value_or(0)},
            {"status", Answer.result_int()}});
  m_LoggedEra = Era.value();
  return Era.value();
}

void DiscoveryClient::failed(Follower &Of, StoreFailure Why) {
  TimePoint Now = m_State.now();
  m_State.m_Metrics.count(std::string("store_") + failureName(Why));
  Of.m_Pages = {};
  if (Why == StoreFailure::HistoryLost) {
    logEvent(LogLevel::Info, "store_history_lost",
             {{"table", tableName(Of.m_Which)},
              {"era", Of.m_Asked.m_After.m_Era},
              {"after", Of.m_Asked.m_After.m_Version}});
    Of.m_MustRead = true;
    discovery::onCallSucceeded(Of.m_Pace);
    return next(Of);
  }
  // Restart the watch of the other table, which would notice the failure much
  // later.
  for (Follower &Other : m_Followers)
    if (&Other != &Of && Other.m_Call && Other.m_Asked.m_IsWatch) {
      dropCall(Other);
      next(Other);
    }
  if (!Of.m_StoreFailed) {
    Of.m_StoreFailed = true;
    Of.m_StoreFailedAt = Now;
    logEvent(LogLevel::Warning, "store_lost",
             {{"table", tableName(Of.m_Which)},
              {"why", failureName(Why)},
              {"known_era", Of.m_Copy.m_UpTo.m_Era},
              {"known_version", Of.m_Copy.m_UpTo.m_Version}});
    updateStoreReachability();
    if (m_IsFollower)
      m_Fleet.announce();
  }
  // Every other call goes to another VM, which may have the missing rows.
  Of.m_AskPeer = Of.m_Pace.m_Failures % 2 == 0;
  pauseThenNext(Of);
}

bool DiscoveryClient::mustUsePeersOnly(const Follower &Of) const {
  return !Of.m_Copy.m_IsComplete && !m_IsFollower &&
         m_State.m_Settings.m_IsFirstStart &&
         m_State.now() - m_StartedAt < PeersFirstTime;
}

void DiscoveryClient::pauseThenNext(Follower &Of) {
  if (mustUsePeersOnly(Of))
    return pause(Of, scale(PeersFirstPause, 0.5 + m_State.draw()));
  pause(Of, discovery::onCallFailed(Of.m_Pace, m_State.draw()));
}

void DiscoveryClient::pause(Follower &Of, Duration Length) {
  discovery::onBackoffStarted(Of.m_Pace);
  Of.m_Timer->expires_after(Length);
  Of.m_Timer->async_wait([this, &Of](const error_code &Ended) {
    if (Ended)
      return;
    discovery::onBackoffElapsed(Of.m_Pace);
    runWithRecovery([&] { next(Of); }, [&] { restart(Of); });
  });
}

void DiscoveryClient::restart(Follower &Of) {
  if (Of.m_Call)
    Of.m_Call->cancel();
  Of.m_Call.reset();
  Of.m_Pages = {};
  Of.m_MustRead = true;
  pauseThenNext(Of);
}

void DiscoveryClient::dropCall(Follower &Of) {
  if (Of.m_Call)
    Of.m_Call->cancel();
  Of.m_Call.reset();
  Of.m_Timer->cancel();
  Of.m_StoreFailed = false;
  discovery::onCallCancelled(Of.m_Pace);
}

void DiscoveryClient::restored(Follower &Of) {
  if (std::exchange(Of.m_StoreFailed, false)) {
    logEvent(LogLevel::Info, "store_regained",
             {{"table", tableName(Of.m_Which)},
              {"lost_ms", toMillis(m_State.now() - Of.m_StoreFailedAt)},
              {"known_era", Of.m_Copy.m_UpTo.m_Era},
              {"known_version", Of.m_Copy.m_UpTo.m_Version}});
    for (Follower &Other : m_Followers)
      if (&Other != &Of && Other.m_StoreFailed && !Other.m_Call) {
        Other.m_Timer->cancel();
        discovery::onBackoffElapsed(Other.m_Pace);
        next(Other);
      }
  }
  bool WasInSight = m_StoreReachable;
  updateStoreReachability();
  if (!WasInSight && m_IsFollower)
    m_Fleet.announce();
}

void DiscoveryClient::updateStoreReachability() {
  TimePoint Now = m_State.now();
  bool IsAnswered = m_IsFollower && storeAnswers() &&
                    Now - m_ConfirmedAt < OwnConfirmationAge;
  bool InSight = IsAnswered ||
                 fleet::hasFreshFollower(m_State.m_Fleet,
                                         m_State.m_Settings.m_FleetPolicy, Now);
  const discovery::Table &Operator = m_Followers[0].m_Copy;
  // A row that the store has lost is missing until it is written again.
  bool MayLackRows = Now < m_DeferredUntil ||
                     m_Followers[0].m_Announced.m_Era > Operator.m_UpTo.m_Era;
  m_State.m_SeesOperator =
      !MayLackRows &&
      (InSight ||
       (Operator.m_IsComplete && Now - Operator.m_ConfirmedAt <
                                     m_State.m_Settings.m_ConfigurationBound));
  m_State.m_LacksOperatorRows = m_Followers[0].isBehind();
  m_State.m_SourcesSeenAt = Now;
  if (InSight == m_StoreReachable)
    return;
  m_StoreReachable = InSight;
  if (!InSight) {
    m_UnreachableAt = Now;
    logEvent(LogLevel::Warning, "store_out_of_sight",
             {{"follower", m_IsFollower},
              {"fleet_version", m_State.m_Fleet.m_Version}});
    return;
  }
  if (Now - m_UnreachableAt > ShortOutage)
    m_RestoredAt = Now;
  logEvent(LogLevel::Info, "store_in_sight",
           {{"follower", m_IsFollower},
            {"after_ms", toMillis(Now - m_UnreachableAt)}});
}

void DiscoveryClient::updateRole() {
  TimePoint Now = m_State.now();
  const fleet::FleetPolicy &Policy = m_State.m_Settings.m_FleetPolicy;
  // The initial reads suffice until the other VMs have been heard.
  if (Now - m_StartedAt < SettleTime)
    return;
  bool IsRanked = fleet::isFollower(m_State.m_Fleet, Policy);
  bool IsAlone = !fleet::hasFreshFollower(m_State.m_Fleet, Policy, Now);
  if (!IsAlone)
    m_NoFollowerSince = {};
  else if (m_NoFollowerSince == TimePoint{})
    m_NoFollowerSince = Now;
  bool Follows =
      IsRanked || (IsAlone && !m_State.isStopping() &&
                   Now - m_NoFollowerSince >=
                       fleet::followTakeoverDelay(m_State.m_Fleet, Policy));
  if (Follows != m_IsFollower) {
    m_IsFollower = Follows;
    logEvent(LogLevel::Info, Follows ? "follow_begin" : "follow_end",
             {{"ranked", IsRanked},
              {"alone", IsAlone},
              {"fleet_version", m_State.m_Fleet.m_Version}});
    if (!Follows)
      for (Follower &Each : m_Followers)
        if (!needsCall(Each))
          dropCall(Each);
    m_Fleet.announce();
  }
  for (Follower &Each : m_Followers) {
    bool IsBehind =
        Each.isBehind() && Now - Each.m_AnnouncedAt > CatchUpTimeout;
    // A watch that has not returned a change already announced by other VMs
    // hangs: its store or connection no longer responds.
    if (IsBehind && Each.m_Call && Each.m_Asked.m_IsWatch) {
      logEvent(LogLevel::Warning, "watch_overtaken",
               {{"table", tableName(Each.m_Which)},
                {"known_era", Each.m_Copy.m_UpTo.m_Era},
                {"known_version", Each.m_Copy.m_UpTo.m_Version},
                {"announced_era", Each.m_Announced.m_Era},
                {"announced_version", Each.m_Announced.m_Version}});
      dropCall(Each);
    }
    // The VM that announced the change has it and is cheaper to ask than the
    // store.
    if (IsBehind && discovery::canStartCall(Each.m_Pace))
      Each.m_AskPeer = !std::exchange(Each.m_AskedPeer, true);
    if (m_IsFollower || IsBehind)
      next(Each);
  }
}

void DiscoveryClient::applyStoreBatch(Follower &Of,
                                      const discovery::RowBatch &Batch) {
  discovery::Revision Before = Of.m_Copy.m_UpTo;
  discovery::Revision ChangedBefore = Of.m_Copy.m_LastChange;
  bool WasComplete = Of.m_Copy.m_IsComplete;
  std::vector<discovery::Change> Changes = apply(Of, Batch, Of.m_Asked.m_After);
  if (!m_IsFollower || !WasComplete)
    return;
  // Of a snapshot, forward only the rows that are new to this VM: the others
  // know the rest, unless it begins an era.
  discovery::ForwardedRows News =
      discovery::rowsToForward(Batch, Of.m_Asked.m_ChangedBefore);
  if (Batch.m_IsSnapshot && Batch.m_UpTo.m_Era == Before.m_Era) {
    News = {ChangedBefore, {{}, Batch.m_UpTo}};
    for (discovery::Change &Each : Changes)
      News.m_Batch.m_Rows.push_back(std::move(Each.m_Row));
  }
  if (!News.m_Batch.m_Rows.empty())
    m_Fleet.sendTableRows({static_cast<uint32_t>(Of.m_Which), News.m_After,
                           std::move(News.m_Batch)});
  else if (Of.m_Which == FollowedTable::Operator)
    m_Fleet.sendStoreConfirmation();
}

std::vector<discovery::Change>
DiscoveryClient::apply(Follower &Of, const discovery::RowBatch &Batch,
                       discovery::Revision After) {
  discovery::Revision Former = Of.m_Copy.m_UpTo;
  bool WasComplete = Of.m_Copy.m_IsComplete;
  std::vector<discovery::Change> Changes =
      discovery::applyBatch(Of.m_Copy, Batch, After, m_State.now());
  if (WasComplete && Of.m_Copy.m_UpTo.m_Era != Former.m_Era)
    eraBegan(Of, Former);
  updateStoreReachability();
  for (const discovery::Change &Each : Changes) {
    Of.m_Deferred.erase(Each.m_Row.m_Key);
    if (Of.m_Which == FollowedTable::Operator)
      applyOperatorChange(Each);
    else
      applyServerChange(Each);
  }
  if (!Changes.empty() && Of.m_Which == FollowedTable::Servers)
    ++m_State.m_ServersVersion;
  return Changes;
}

void DiscoveryClient::sweep() {
  updateRole();
  updateStoreReachability();
  if (m_State.now() >= m_DeferredUntil)
    applyDeferred();
  dispatch::expireNotices(m_State.m_Servers, m_State.m_Settings.m_Dispatch,
                          m_State.now());
  std::vector<std::string> Over;
  for (const auto &[Id, Of] : m_State.m_Servers.m_Servers)
    if (m_State.now() >= Of.m_RemoveAt)
      Over.push_back(Id);
  for (const std::string &Id : Over)
    removeServer(Id, "not_listed_again");
}

} // namespace hyssopcross::gateway
