#ifndef HYSSOPCROSS_GATEWAY_SRC_ROLLOUTHOST_H
#define HYSSOPCROSS_GATEWAY_SRC_ROLLOUTHOST_H

#include "FleetMessenger.h"
#include "NodeState.h"
#include "hyssopcross/http/TimedExchange.h"
#include "hyssopcross/rollout/Rollout.h"
#include <map>
#include <memory>
#include <set>
#include <string>

namespace hyssopcross::gateway {

/// Carries out the roll-outs that operators order: supplies the counts of this
/// VM and of the others to libs/rollout, restricts the servers of calls by
/// their version, and writes the state of each roll-out to the store.
class RolloutHost {
public:
  RolloutHost(NodeState &State, FleetMessenger &Fleet);
  ~RolloutHost();
  RolloutHost(const RolloutHost &) = delete;
  RolloutHost &operator=(const RolloutHost &) = delete;

  /// Begins or changes the roll-out of a service.
  void onOrder(const rollout::Order &Given);
  void onWithdrawal(const std::string &Service);
  /// Applies counts and verdicts of another VM.
  void onMessage(const fleet::Datagram &Message, const std::string &Host);
  /// Evaluates the roll-outs, sends and writes what is due. Era is the latest
  /// era of the store. Called several times a second.
  void sweep(uint64_t Era);

  /// Counts a request. Returns whether it is to be sent to the version under
  /// trial.
  bool takeRequest(const std::string &Service);
  /// The servers that a call may be sent to; null if it may be sent to any. A
  /// second attempt never goes to the version under trial.
  const dispatch::ServerFilter *filterOf(std::string_view Service, bool IsTrial,
                                         bool IsFirstAttempt) const;
  /// Whether a request that the version under trial cannot take goes to the
  /// other servers; false once nothing may be sent to those.
  bool hasFallback(std::string_view Service) const;

  /// An attempt at a server as needed to count it.
  struct SentAttempt {
    std::string m_Service;
    std::string m_Version;
    std::string m_Route;
    /// Time expected without what this VM has learned from the server's own
    /// responses, which would hide a slow version.
    Duration m_Expected{};
  };
  enum class AttemptResult {
    Answered,
    Failed,
    /// It ended without a response that the version is responsible for, or has
    /// not run.
    Unknown,
  };
  void attemptStarted(const SentAttempt &Which);
  void attemptEnded(const SentAttempt &Which, AttemptResult Result,
                    Duration Took);

private:
  struct Active {
    rollout::Rollout m_Rollout;
    rollout::VmCounts m_Own;
    rollout::ShareState m_Share;
    dispatch::ServerFilter m_Trial;
    dispatch::ServerFilter m_New;
    dispatch::ServerFilter m_Others;
    std::set<dispatch::ServerKey> m_TrialServers;
    size_t m_NewServers = 0;
    size_t m_OldServers = 0;
    /// The order was in force when this VM started, so the state in the store
    /// must be read before any request goes to the new version.
    bool m_MustRead = false;
    /// The state in the store as last read or written; empty if not known.
    std::optional<RolloutStatus> m_Stored;
    std::shared_ptr<http::TimedExchange> m_Call;
    /// The completion was written, and whether that took effect is not known.
    bool m_MayBeCompleted = false;
    TimePoint m_StoreRetryAt{};
    /// Since when the store should hold the present state.
    TimePoint m_WantedSince{};
    TimePoint m_CountsSentAt{};
    TimePoint m_VerdictSentAt{};
    TimePoint m_OutcomeAt{};
    /// Requests as of the start of the present second, for the own rate.
    uint64_t m_ReceivedBefore = 0;
    TimePoint m_RateAt{};
    double m_OwnPerSecond = 0;
    bool m_IsWithdrawn = false;
  };
  using ActiveRef = std::shared_ptr<Active>;

  void begin(const rollout::Order &Given);
  /// Ends a call to the store whose result does not matter any more.
  static void dropCall(Active &Of);
  void evaluate(Active &Of);
  void refreshServers(Active &Of);
  rollout::FleetView viewOf(const Active &Of) const;
  uint32_t rankOf(const Active &Of) const;
  void onChange(Active &Of);
  void sendCounts(Active &Of);
  void sendVerdict(Active &Of);
  /// Reads or writes the state in the store if that is due.
  void updateStore(const ActiveRef &Of);
  /// The state that the store should hold; empty if this VM has none to write.
  std::optional<rollout::State> wantedState(const Active &Of) const;
  void readStatus(const ActiveRef &Of);
  void writeStatus(const ActiveRef &Of, rollout::State Wanted);
  void applyStatus(Active &Of, const RolloutStatus &Read);
  void callStore(const ActiveRef &Of, http::Request Asked,
                 std::function<void(const http::ExchangeResult &)> Handler);
  void logState(const Active &Of, const char *Event) const;
  uint32_t oldInFlight(const Active &Of) const;

  NodeState &m_State;
  FleetMessenger &m_Fleet;
  std::map<std::string, ActiveRef, std::less<>> m_Active;
  /// Versions that were rolled back, by service; they get no further requests.
  std::map<std::string, std::set<std::string>, std::less<>> m_RolledBack;
  /// Attempts of this VM in flight, by service and version.
  std::map<std::string, std::map<std::string, uint32_t>, std::less<>>
      m_InFlight;
  TimePoint m_StartedAt{};
  TimePoint m_SweptAt{};
  TimePoint m_DecidesFrom{};
  uint64_t m_Era = 0;
};

} // namespace hyssopcross::gateway

#endif
