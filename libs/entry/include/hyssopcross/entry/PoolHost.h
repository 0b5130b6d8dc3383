#ifndef HYSSOPCROSS_ENTRY_POOLHOST_H
#define HYSSOPCROSS_ENTRY_POOLHOST_H

#include "hyssopcross/backend/Exchange.h"
#include "hyssopcross/balancing/Pool.h"
#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>
#include <mutex>

namespace hyssopcross::entry {

/// Asked around each send of a call whose class restricts sends. Called on the
/// loop's thread, while the pool is not locked.
class SendGate {
public:
  virtual ~SendGate() = default;

  /// Whether the call may be sent to a backend server now.
  virtual bool maySend() = 0;

  /// A send that was allowed has ended.
  virtual void sendEnded(const backend::ServerAnswer &Answer) = 0;
};

/// A call to run in a pool.
struct CallRequest {
  /// The timeout is set at each send, from the deadline.
  backend::ServerRequest m_Request;
  TimePoint m_Deadline;
  std::string m_ShareKey;
  uint32_t m_PriorAttempts = 0;
  uint32_t m_Depth = 1;
  bool m_HandedOver = false;
  /// Null if sends need no permission.
  std::shared_ptr<SendGate> m_Gate;
};

/// An attempt's answer is the call's result.
struct CallAnswered {
  backend::ServerAnswer m_Answer;
};

/// The pool refused the call; it did not run.
struct CallRefused {
  balancing::RefusalReason m_Reason = balancing::RefusalReason::Overloaded;
  Duration m_RetryAfter{};
};

/// The pool gave the call up to another pool, for good.
struct CallHandedOver {
  balancing::PoolId m_Pool;
};

using CallResult = std::variant<CallAnswered, CallRefused, CallHandedOver>;

/// Called on the loop's thread with what came of a call.
using ResultCallback = std::function<void(CallResult)>;

/// What this VM may do with a pool at an instant.
enum class LeaseStanding { Confirmed, Unconfirmed, NotOwner };

/// What a pool needs from the process that hosts it. Safe from any thread;
/// called while the pool is locked, so implementations neither block nor call
/// back.
class PoolPorts {
public:
  virtual ~PoolPorts() = default;

  /// The standing of this VM's lease right now.
  virtual LeaseStanding standing(const balancing::PoolId &Pool) = 0;

  /// Asks for wake() of the pool at Time; replaces an earlier wish.
  virtual void wakeAt(const balancing::PoolId &Pool, TimePoint Time) = 0;

  /// Tells the owners of the service's other pools whether calls queue here.
  virtual void announceQueueing(const balancing::PoolId &Pool,
                                bool Queueing) = 0;

  /// Offers free slots of Pool to the owner of Target.
  virtual void askPull(const balancing::PoolId &Pool,
                       const balancing::PoolId &Target, uint32_t FreeSlots) = 0;
};

/// Hosts the decisions for one pool: feeds events in and carries actions out.
/// Events are taken on any thread and decided at once; sends, their answers and
/// all callbacks are on the loop's thread. The loop and the sender outlive the
/// host.
class PoolHost : public std::enable_shared_from_this<PoolHost> {
public:
  PoolHost(balancing::PoolState State, const Clock &Time,
           boost::asio::io_context &Loop, backend::Sender &Servers,
           PoolPorts &Ports);

  /// Begins a call. Done is called once, later, unless the call is abandoned.
  balancing::CallId run(CallRequest Call, ResultCallback Done);

  /// Ends a call whose caller has left: what runs is cancelled. Nothing happens
  /// if the call has ended.
  void abandon(balancing::CallId Call);

  /// Applies an event that does not come from a call.
  void apply(const balancing::Event &Event);

  /// The pool's figures at this instant.
  balancing::PoolFigures figures();

  /// What the pool looks like now, for metrics and for digests.
  template <typename Function> auto inspect(Function Look) {
    std::lock_guard Lock(m_Mutex);
    return Look(std::as_const(m_State));
  }

private:
  /// A call that has not ended.
  struct OpenCall {
    CallRequest m_Call;
    ResultCallback m_Done;
    std::map<balancing::AttemptId, backend::ServerAnswer> m_Answers;
  };

  /// An attempt between the decision to send and its end.
  struct OpenAttempt {
    balancing::ServerId m_Server;
    std::shared_ptr<OpenCall> m_Call;
    /// Null until the request is sent.
    std::shared_ptr<http::TimedExchange> m_Exchange;
    bool m_Cancelled = false;
  };

  void stepLocked(const balancing::Event &Event);
  void stepOnceLocked(const balancing::Event &Event);
  void checkStandingLocked();
  void carryOutLocked(std::vector<balancing::Action> &Actions);
  void carryOut(const balancing::SendAttempt &Action);
  void carryOut(const balancing::CancelAttempt &Action);
  void carryOut(const balancing::FinishCall &Action);
  void carryOut(const balancing::RefuseCall &Action);
  void carryOut(const balancing::HandOverCall &Action);
  void carryOut(const balancing::SendProbe &Action);
  void carryOut(const balancing::KeepConnections &Action);
  void carryOut(const balancing::AnnounceQueueing &Action);
  void carryOut(const balancing::AskPull &Action);
  void carryOut(const balancing::WakeAt &Action);
  std::shared_ptr<OpenCall> closeLocked(balancing::CallId Call);
  void finishLocked(const std::shared_ptr<OpenCall> &Call, CallResult Result);
  void begin(balancing::AttemptId Attempt);
  void cancel(balancing::AttemptId Attempt);
  bool mayBeginLocked(const OpenAttempt &Attempt);
  void endAttempt(balancing::AttemptId Attempt, backend::ServerAnswer Answer);
  void probe(const balancing::ServerId &Server);
  void reportConnectionsLocked(const balancing::ServerId &Server);

  const Clock &m_Clock;
  boost::asio::io_context &m_Loop;
  backend::Sender &m_Servers;
  PoolPorts &m_Ports;

  mutable std::mutex m_Mutex;
  balancing::PoolState m_State;
  balancing::CallId m_LastCall = 0;
  LeaseStanding m_Standing = LeaseStanding::Confirmed;
  std::deque<balancing::Event> m_Pending;
  bool m_Stepping = false;
  std::map<balancing::CallId, std::shared_ptr<OpenCall>> m_Calls;
  std::map<balancing::AttemptId, OpenAttempt> m_Attempts;
  std::map<balancing::ServerId, uint32_t> m_OpenConnections;
};

} // namespace hyssopcross::entry

#endif
