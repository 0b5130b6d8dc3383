#ifndef HYSSOPCROSS_GATEWAY_SRC_DISCOVERYCLIENT_H
#define HYSSOPCROSS_GATEWAY_SRC_DISCOVERYCLIENT_H

#include "FleetMessenger.h"
#include "NodeState.h"
#include "hyssopcross/discovery/CallBackoff.h"
#include "hyssopcross/http/TimedExchange.h"
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace hyssopcross::gateway {

/// Maintains the node's view of configuration, servers and data centres from
/// two tables of the store. A few VMs follow the tables and forward changes;
/// the others call the store only for changes that they have missed, or while
/// no follower is heard. Registers this VM in the store if it is a follower,
/// and discovers the other VMs.
class DiscoveryClient {
public:
  DiscoveryClient(NodeState &State, FleetMessenger &Fleet,
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
  /// Returns the changes after version After, or the whole table if After is 0.
  /// Fails with Unavailable before this VM has read the table, or while it is
  /// sending the whole table to as many VMs as it can serve.
  Result<fleet::TableRows> rowsAfter(uint32_t Table, uint64_t After);

private:
  struct Follower {
    FollowedTable m_Which = FollowedTable::Operator;
    discovery::Table m_Copy;
    discovery::CallBackoff m_Pace;
    /// Pages read so far of a snapshot.
    discovery::RowBatch m_Pages;
    std::shared_ptr<http::TimedExchange> m_Call;
    /// Timer of the pause between two calls.
    std::unique_ptr<boost::asio::steady_timer> m_Timer;
    uint64_t m_After = 0;
    /// Version of the newest change known when the call started.
    uint64_t m_ChangedBefore = 0;
    /// Version of the newest change that another VM has announced.
    uint64_t m_Announced = 0;
    TimePoint m_AnnouncedAt{};
    /// Host of the VM that announced this version first.
    std::string m_AnnouncedBy;
    /// The call in progress is a watch that waits for changes.
    bool m_IsWatch = false;
    /// The whole table must be read; true until it has been read once.
    bool m_MustRead = true;
    /// The last call to the store failed.
    bool m_StoreFailed = false;
    TimePoint m_StoreFailedAt{};
    /// The next call goes to another VM instead of the store.
    bool m_AskPeer = false;
    /// Another VM has already been asked for the announced change.
    bool m_AskedPeer = false;

    /// Whether another VM has announced a change that this copy lacks.
    bool isBehind() const { return m_Announced > m_Copy.m_UpToVersion; }
  };
  using AnswerHandler = void (DiscoveryClient::*)(Follower &,
                                                  const http::ExchangeResult &);

  void next(Follower &Of);
  /// Sends a call. If there is no response within the limit, the call ends as a
  /// broken exchange.
  void call(Follower &Of, const Address &Source, http::Request Asked,
            Duration Limit, AnswerHandler Handler);
  void answered(Follower &Of, const http::ExchangeResult &Result);
  /// Logs the era of a response of the store if it differs from the last one,
  /// and an era that cannot be decoded.
  void logEra(const http::Response &Answer);
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
  bool storeAnswers() const;
  void updateStoreReachability();
  void updateRole();
  bool needsCall(const Follower &Of) const;
  /// Applies a batch from the store and forwards its changes.
  void applyStoreBatch(Follower &Of, const discovery::RowBatch &Batch);
  /// Applies a batch; returns the rows that were new to this VM.
  std::vector<discovery::Row> apply(Follower &Of,
                                    const discovery::RowBatch &Batch);
  void applyOperatorRow(const discovery::Row &Changed);
  void applyServerRow(const discovery::Row &Changed);
  void removeServer(const std::string &Id, const char *Why);
  void discoverVms();
  void scheduleVmDiscovery();
  void listVms();
  void registerVm();
  void retryLater(void (DiscoveryClient::*What)());

  NodeState &m_State;
  FleetMessenger &m_Fleet;
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
  boost::asio::steady_timer m_RegisterTimer;
  discovery::CallBackoff m_RegisterPace;
  bool m_IsRegistered = false;
};

} // namespace hyssopcross::gateway

#endif
