#ifndef HYSSOPCROSS_GATEWAY_SRC_DISCOVERYCLIENT_H
#define HYSSOPCROSS_GATEWAY_SRC_DISCOVERYCLIENT_H

#include "FleetMessenger.h"
#include "NodeState.h"
#include "RolloutHost.h"
#include "hyssopcross/discovery/CallBackoff.h"
#include "hyssopcross/http/TimedExchange.h"
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace hyssopcross::gateway {

/// The name of a table in log lines.
const char *tableName(FollowedTable Which);

/// Maintains the node's view of configuration, servers and data centres from
/// two tables of the store. A few VMs follow the tables and forward changes;
/// the others call the store only for changes that they have missed, or while
/// no follower is heard. Registers this VM in the store if it is a follower,
/// and discovers the other VMs.
class DiscoveryClient {
public:
  DiscoveryClient(NodeState &State, FleetMessenger &Fleet,
                  RolloutHost &Rollouts,
                  std::function<void()> ConfigurationChanged);
  /// Cancels the calls in progress.
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient &) = delete;
  DiscoveryClient &operator=(const DiscoveryClient &) = delete;
  void start();
  /// Whether both tables have been read.
  bool isComplete() const;
  /// Removes servers whose grace period after expiry is over, and starts or
  /// stops following the store. Called several times a second.
  void sweep();
  /// Applies rows that another VM forwarded.
  void applyPeerRows(const fleet::TableRows &News);
  /// Records another VM's progress in following the store.
  void applyPeerFollowing(const fleet::Following &News,
                          const std::string &From);
  /// This VM's progress in following the store; absent if it does not follow
  /// it.
  std::optional<fleet::Following> ownFollowing() const;
  /// Returns the changes after the revision After, or the whole table if its
  /// version is 0 or it is of another era.
  /// Fails with Unavailable before this VM has read the table, or while it is
  /// sending the whole table to as many VMs as it can serve.
  Result<fleet::TableRows> rowsAfter(uint32_t Table, discovery::Revision After);
  /// The latest era of the store that this VM follows; 0 if it is not known.
  uint64_t era() const;

private:
  /// What a call asked for, which decides how its answer is read. The copy and
  /// the flags of its follower may change before the answer arrives.
  struct AskedRows {
    /// The whole table, or else the changes after m_After.
    bool m_IsWhole = false;
    discovery::Revision m_After;
    /// The newest change that the copy included.
    discovery::Revision m_ChangedBefore;
    /// The call waits for changes.
    bool m_IsWatch = false;
  };

  struct Follower {
    FollowedTable m_Which = FollowedTable::Operator;
    discovery::Table m_Copy;
    discovery::CallBackoff m_Pace;
    /// Pages read so far of a snapshot.
    discovery::RowBatch m_Pages;
    std::shared_ptr<http::TimedExchange> m_Call;
    /// What the call in progress, or the last one, asked for.
    AskedRows m_Asked;
    /// Timer of the pause between two calls.
    std::unique_ptr<boost::asio::steady_timer> m_Timer;
    /// Revision of the newest change that another VM has announced.
    discovery::Revision m_Announced;
    TimePoint m_AnnouncedAt{};
    /// Host of the VM that announced this revision first.
    std::string m_AnnouncedBy;
    /// The whole table must be read; true until it has been read once.
    bool m_MustRead = true;
    /// The last call to the store failed.
    bool m_StoreFailed = false;
    TimePoint m_StoreFailedAt{};
    /// The next call goes to another VM instead of the store.
    bool m_AskPeer = false;
    /// Another VM has already been asked for the announced change.
    bool m_AskedPeer = false;

    /// Changes by the beginning of an era that are applied only if the store
    /// still says so when what it has lost has been written again. By key.
    std::map<std::string, discovery::Row, std::less<>> m_Deferred;

    /// Whether another VM has announced a change that this copy lacks.
    bool isBehind() const { return m_Announced > m_Copy.m_UpTo; }
  };
  using AnswerHandler = void (DiscoveryClient::*)(Follower &,
                                                  const http::ExchangeResult &);

  void next(Follower &Of);
  /// Sends a call. If there is no response within the limit, the call ends as a
  /// broken exchange.
  void call(Follower &Of, const Address &Source, http::Request Asked,
            Duration Limit, AnswerHandler Handler);
  void answered(Follower &Of, const http::ExchangeResult &Result);
  /// Returns the era that a response of the store states, if it is valid. Logs
  /// an era that differs from the last one, and one that is invalid.
  std::optional<uint64_t> readEra(const http::Response &Answer);
  /// Adds a page of a snapshot; applies the snapshot once it is whole.
  void pageRead(Follower &Of, discovery::RowBatch Page);
  /// Begins the time in which what the store has lost is written again.
  void eraBegan(Follower &Of, discovery::Revision Former);
  /// Ends that time: applies the deferred changes.
  void applyDeferred();
  /// Defers a change that may be outdated.
  void defer(Follower &Of, const discovery::Row &Changed);
  void failed(Follower &Of, StoreFailure Why);
  void restored(Follower &Of);
  bool askPeer(Follower &Of);
  Duration watchTime(const Follower &Of) const;
  void peerAnswered(Follower &Of, const http::ExchangeResult &Result);
  /// Whether this VM has no tables yet and leaves the store to other VMs
  /// because the whole system is starting.
  bool mustUsePeersOnly(const Follower &Of) const;
  void pauseThenNext(Follower &Of);
  void pause(Follower &Of, Duration Length);
  void dropCall(Follower &Of);
  /// After an exception: reads the whole table after a pause, since some rows
  /// may not have been applied.
  void restart(Follower &Of);
  bool storeAnswers() const;
  void updateStoreReachability();
  void updateRole();
  bool needsCall(const Follower &Of) const;
  /// Applies a batch from the store and forwards its changes.
  void applyStoreBatch(Follower &Of, const discovery::RowBatch &Batch);
  /// Applies a snapshot, or a batch of all changes after the revision After;
  /// returns the rows that were new to this VM.
  std::vector<discovery::Change> apply(Follower &Of,
                                       const discovery::RowBatch &Batch,
                                       discovery::Revision After);
  void applyOperatorChange(const discovery::Change &Changed);
  void applyOperatorRow(const discovery::Row &Changed);
  void applyServerChange(const discovery::Change &Changed);
  void applyServerRow(const discovery::Row &Changed);
  /// Whether the row of a server contradicts what this VM knows of the same
  /// start of the server, or of a later one.
  bool isServerRowOlder(const discovery::Row &Changed) const;
  void removeServer(const std::string &Id, const char *Why);
  void discoverVms();
  void scheduleVmDiscovery();
  void listVms();
  void registerVm();
  void retryLater(void (DiscoveryClient::*What)());

  NodeState &m_State;
  FleetMessenger &m_Fleet;
  RolloutHost &m_Rollouts;
  std::function<void()> m_ConfigurationChanged;
  std::array<Follower, FollowedTableCount> m_Followers;
  /// Whether this VM follows the store, either by its rank or because no other
  /// VM does.
  bool m_IsFollower = false;
  discovery::SnapshotRateLimit m_HandOvers;
  TimePoint m_StartedAt{};
  /// When the store last answered this VM.
  TimePoint m_ConfirmedAt{};
  /// Time since which no follower has been heard; zero if one is heard.
  TimePoint m_NoFollowerSince{};
  bool m_StoreReachable = true;
  /// Era of the last response of the store that stated one.
  std::optional<uint64_t> m_LoggedEra;
  /// The last response of the store stated no valid era.
  bool m_IsEraInvalid = false;
  TimePoint m_UnreachableAt{};
  /// When the store recovered from an outage.
  TimePoint m_RestoredAt{};
  /// Until when changes that may be outdated are deferred.
  TimePoint m_DeferredUntil{};
  boost::asio::steady_timer m_RegisterTimer;
  discovery::CallBackoff m_RegisterPace;
  bool m_IsRegistered = false;
  /// Beginnings of an era in either table, after the first read.
  uint32_t m_ErasBegan = 0;
};

} // namespace hyssopcross::gateway

#endif
