#ifndef HYSSOPCROSS_ENTRY_CLAIMSHOST_H
#define HYSSOPCROSS_ENTRY_CLAIMSHOST_H

#include "hyssopcross/claims/Claims.h"
#include "hyssopcross/entry/PoolHost.h"
#include "hyssopcross/entry/StoreAccess.h"
#include "hyssopcross/entry/Timers.h"
#include <mutex>

namespace hyssopcross::entry {

/// Hosts the decisions about claims. Functions are safe from any thread;
/// callbacks are called on the loop's thread.
class ClaimsHost {
public:
  /// Sends a call whose claim stands to its pool, with the gate that the pool
  /// asks, and reports what came of it.
  using SendCall =
      std::function<void(std::shared_ptr<SendGate>, ResultCallback)>;
  using AnswerCallback = std::function<void(const claims::Answer &)>;

  /// Process identifies this process start among all, for good.
  ClaimsHost(std::string Process, claims::ClaimPolicy Policy, uint64_t Seed,
             const Clock &Time, boost::asio::io_context &Loop,
             StoreAccess &Store, Timers &Wakes);

  /// Begins a money call. Send is called once the claim stands, at most once;
  /// Done is called once, with the final answer.
  void run(const claims::MoneyArrived &Arrival, SendCall Send,
           AnswerCallback Done);

  /// Whether this process removes the service's expired claims.
  void setSweeper(const std::string &Service, bool Sweep);

  /// Claims whose call has not been answered or whose result is not recorded.
  size_t open();

  /// Counts since the start.
  claims::ClaimCounters counters();

private:
  /// A money call that has no final answer yet.
  struct OpenCall {
    SendCall m_Send;
    AnswerCallback m_Done;
    bool m_MaySend = false;
  };

  class Gate;

  void apply(const claims::Event &Event);
  void stepLocked(const claims::Event &Event);
  void carryOut(const claims::StartCall &Action);
  void carryOut(const claims::AllowSend &Action);
  void carryOut(const claims::DenySend &Action);
  void carryOut(const claims::Answer &Action);
  void carryOut(const claims::WakeAt &Action);
  void carryOut(const records::RemoveObject &Action);
  template <typename Request> void carryOut(const Request &Action);
  void report(claims::CallId Call, const CallResult &Result);

  const Clock &m_Clock;
  boost::asio::io_context &m_Loop;
  StoreAccess &m_Store;
  Timers &m_Timers;
  std::mutex m_Mutex;
  claims::ClaimState m_State;
  claims::CallId m_LastCall = 0;
  std::map<claims::CallId, OpenCall> m_Calls;
};

} // namespace hyssopcross::entry

#endif
