#ifndef HYSSOPCROSS_ENTRY_CLAIMSHOST_H
#define HYSSOPCROSS_ENTRY_CLAIMSHOST_H

#include "hyssopcross/claims/Claims.h"
#include "hyssopcross/entry/Loop.h"
#include "hyssopcross/entry/PoolHost.h"
#include "hyssopcross/entry/StoreAccess.h"
#include <condition_variable>
#include <mutex>

namespace hyssopcross::entry {

/// Hosts the decisions about claims. A money call waits in the thread that
/// brought it. All functions are safe from any thread.
class ClaimsHost {
public:
  /// Process identifies this process start among all, for good.
  ClaimsHost(std::string Process, claims::ClaimPolicy Policy, uint64_t Seed,
             const Clock &Time, StoreAccess &Store, Loop &Timers);

  /// Runs a money call. Run is called once the claim stands, at most once, and
  /// passes the gate to the pool with the call. Returns the final answer.
  claims::Answer run(const claims::MoneyArrived &Arrival,
                     const std::function<CallResult(SendGate &)> &Run);

  /// Whether this process removes the service's expired claims.
  void setSweeper(const std::string &Service, bool Sweep);

  /// Claims whose call has not been answered or whose result is not recorded.
  size_t open();

  /// Counts since the start.
  claims::ClaimCounters counters();

private:
  /// A money call whose thread is inside run().
  struct WaitingCall {
    std::condition_variable m_Changed;
    bool m_Start = false;
    std::optional<bool> m_MaySend;
    std::optional<claims::Answer> m_Answer;
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
  StoreAccess &m_Store;
  Loop &m_Timers;
  std::mutex m_Mutex;
  claims::ClaimState m_State;
  claims::CallId m_LastCall = 0;
  std::map<claims::CallId, WaitingCall *> m_Waiting;
};

} // namespace hyssopcross::entry

#endif
