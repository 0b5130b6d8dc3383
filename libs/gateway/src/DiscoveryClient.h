#ifndef HYSSOPCROSS_GATEWAY_SRC_DISCOVERYCLIENT_H
#define HYSSOPCROSS_GATEWAY_SRC_DISCOVERYCLIENT_H

#include "FleetMessenger.h"
#include "NodeState.h"
#include "hyssopcross/discovery/Pace.h"
#include "hyssopcross/http/TimedExchange.h"
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace hyssopcross::gateway {

/// Keeps what the node believes of configuration, servers and data centres,
/// from two tables of the store. A few VMs follow the tables and pass changes
/// on; the others ask the store only for what they have missed, or while nobody
/// that follows it is heard. Registers this VM in the store and learns the
/// others from there.
class DiscoveryClient {
public:
  DiscoveryClient(NodeState &State, FleetMessenger &Fleet,
                  std::function<void()> ConfigurationChanged);
  /// Gives up the calls under way.
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient &) = delete;
  DiscoveryClient &operator=(const DiscoveryClient &) = delete;
  void start();
  /// Both tables have been read.
  bool isComplete() const;
  /// Removes servers whose time of doubt is over, and starts or ends to follow
  /// the store. Called a few times a second.
  void sweep();
  /// Rows that another VM passed on.
  void applyPeerRows(const fleet::TableRows &News);
  /// How far another VM follows the store.
  void applyPeerFollowing(const fleet::Following &News,
                          const std::string &From);
  /// What this VM tells others; absent if it does not follow the store.
  std::optional<fleet::Following> ownFollowing() const;
  /// What a follower that holds everything up to After has missed, or the
  /// whole table if that is 0. Fails with Unavailable before this VM has read
  /// the table, or while it hands the whole to as many others as it can.
  Result<fleet::TableRows> rowsAfter(uint32_t Table, uint64_t After);

private:
  struct Follower {
    FollowedTable m_Which = FollowedTable::Operator;
    discovery::Table m_Copy;
    discovery::Pace m_Pace;
    /// Pages of a snapshot that is being read.
    discovery::RowBatch m_Pages;
    std::shared_ptr<http::TimedExchange> m_Call;
    /// Of the pause between two calls.
    std::unique_ptr<boost::asio::steady_timer> m_Timer;
    uint64_t m_After = 0;
    /// Version of the newest change known when the call began.
    uint64_t m_ChangedBefore = 0;
    /// Version of the newest change that another VM knows.
    uint64_t m_Announced = 0;
    TimePoint m_AnnouncedAt{};
    /// Host of the VM that announced it first.
    std::string m_AnnouncedBy;
    /// The call under way waits for news.
    bool m_IsWatch = false;
    /// The whole table is to be read; always so until it was read once.
    bool m_MustRead = true;
    /// The last call to the store failed.
    bool m_IsLost = false;
    TimePoint m_LostAt{};
    /// The next call asks another VM instead.
    bool m_AskPeer = false;
    /// Another VM was asked for the change that is announced.
    bool m_AskedPeer = false;

    /// Another VM knows of a change that this copy has not.
    bool isBehind() const { return m_Announced > m_Copy.m_At; }
  };
  using AnswerHandler = void (DiscoveryClient::*)(Follower &,
                                                  const http::ExchangeResult &);

  void next(Follower &Of);
  /// Sends a call. Silence until the limit ends it as a broken exchange.
  void call(Follower &Of, const Address &Source, http::Request Asked,
            Duration Limit, AnswerHandler Handler);
  void answered(Follower &Of, const http::ExchangeResult &Result);
  void failed(Follower &Of, StoreFailure Why);
  void restored(Follower &Of);
  bool askPeer(Follower &Of);
  Duration watchTime(const Follower &Of) const;
  void peerAnswered(Follower &Of, const http::ExchangeResult &Result);
  /// Whether this VM has no tables yet and leaves the store to others, since
  /// the whole system starts.
  bool mustUsePeersOnly(const Follower &Of) const;
  void pauseThenNext(Follower &Of);
  void pause(Follower &Of, Duration Length);
  void dropCall(Follower &Of);
  bool storeAnswers() const;
  void updateStoreReachability();
  void updateRole();
  bool needsCall(const Follower &Of) const;
  /// Takes in what the store answered, and passes changes on.
  void applyStoreBatch(Follower &Of, const discovery::RowBatch &Batch);
  /// Takes in a batch; returns the rows that are new here.
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
  /// This VM follows the store: by its rank, or because no other does.
  bool m_IsFollower = false;
  discovery::HandOvers m_HandOvers;
  TimePoint m_StartedAt{};
  /// When the store last answered this VM.
  TimePoint m_ConfirmedAt{};
  /// Since when nobody that follows the store is heard; zero if somebody is.
  TimePoint m_AloneSince{};
  bool m_StoreReachable = true;
  TimePoint m_UnreachableAt{};
  /// When the store came back after an outage.
  TimePoint m_RestoredAt{};
  boost::asio::steady_timer m_RegisterTimer;
  discovery::Pace m_RegisterPace;
  bool m_IsRegistered = false;
};

} // namespace hyssopcross::gateway

#endif
