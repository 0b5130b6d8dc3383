#ifndef HYSSOPCROSS_ENTRY_POOLHOST_H
#define HYSSOPCROSS_ENTRY_POOLHOST_H

#include "hyssopcross/backend/Connections.h"
#include "hyssopcross/balancing/Pool.h"
#include "hyssopcross/entry/Workers.h"
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <set>

namespace hyssopcross::entry {

/// Asked around each send of a call whose class restricts sends. Called on the
/// thread that sends, while the pool is not locked.
class SendGate {
public:
  virtual ~SendGate() = default;

  /// Whether the call may be sent to a backend server now.
  virtual bool maySend() = 0;

  /// A send that was allowed has ended.
  virtual void sendEnded(const backend::ServerAnswer &Answer) = 0;
};

/// A call to run in a pool. The views of the request must stay valid until
/// run() returns.
struct CallRequest {
  backend::ServerRequest m_Request;
  TimePoint m_Deadline;
  std::string m_ShareKey;
  uint32_t m_PriorAttempts = 0;
  uint32_t m_Depth = 1;
  bool m_HandedOver = false;
  /// Null if sends need no permission.
  SendGate *m_Gate = nullptr;
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

/// Hosts the decisions for one pool: feeds events in, carries actions out, and
/// lets each call wait in the thread that brought it. All functions are safe
/// from any thread.
class PoolHost : public std::enable_shared_from_this<PoolHost> {
public:
  PoolHost(balancing::PoolState State, const Clock &Time,
           backend::Connections &Servers, Workers &Helpers, PoolPorts &Ports);

  /// Runs a call to its end. Returns as soon as the result is decided.
  CallResult run(const CallRequest &Call);

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
  using Instruction =
      std::variant<balancing::SendAttempt, balancing::FinishCall,
                   balancing::RefuseCall, balancing::HandOverCall>;

  /// A call whose thread is inside run().
  struct WaitingCall {
    explicit WaitingCall(const CallRequest &Call) : m_Call(Call) {}

    const CallRequest &m_Call;
    std::condition_variable m_Changed;
    std::deque<Instruction> m_Inbox;
    std::map<balancing::AttemptId, backend::ServerAnswer> m_Answers;
    uint32_t m_Helping = 0;
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
  void instruct(balancing::CallId Call, Instruction Next);
  std::shared_ptr<backend::Channel>
  beginAttemptLocked(const balancing::SendAttempt &Attempt);
  void endAttemptLocked(WaitingCall &Call,
                        const balancing::SendAttempt &Attempt,
                        std::shared_ptr<backend::Channel> Used,
                        backend::ServerAnswer Answer);
  void performAttempt(std::unique_lock<std::mutex> &Lock, WaitingCall &Call,
                      const balancing::SendAttempt &Attempt);
  backend::ServerAnswer send(const CallRequest &Call,
                             backend::Channel &Used) const;
  void probe(const balancing::ServerId &Server);
  void reportConnectionsLocked(const balancing::ServerId &Server);

  const Clock &m_Clock;
  backend::Connections &m_Servers;
  Workers &m_Helpers;
  PoolPorts &m_Ports;

  mutable std::mutex m_Mutex;
  balancing::PoolState m_State;
  balancing::CallId m_LastCall = 0;
  LeaseStanding m_Standing = LeaseStanding::Confirmed;
  std::deque<balancing::Event> m_Pending;
  bool m_Stepping = false;
  std::map<balancing::CallId, WaitingCall *> m_Waiting;
  std::map<balancing::AttemptId, std::shared_ptr<backend::Channel>> m_Running;
  std::set<balancing::AttemptId> m_CancelledEarly;
  std::map<balancing::ServerId, uint32_t> m_OpenConnections;
};

} // namespace hyssopcross::entry

#endif
