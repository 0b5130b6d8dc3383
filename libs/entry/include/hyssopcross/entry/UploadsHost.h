#ifndef HYSSOPCROSS_ENTRY_UPLOADSHOST_H
#define HYSSOPCROSS_ENTRY_UPLOADSHOST_H

#include "hyssopcross/entry/Loop.h"
#include "hyssopcross/entry/PoolHost.h"
#include "hyssopcross/entry/StoreAccess.h"
#include "hyssopcross/uploads/Uploads.h"
#include <condition_variable>
#include <functional>
#include <mutex>

namespace hyssopcross::entry {

/// Hosts the decisions about uploads. An upload waits in the thread that
/// brought it; held ones are delivered by threads of this object. All
/// functions are safe from any thread.
class UploadsHost {
public:
  /// Sends a held upload to a backend server and returns how that ended.
  using Deliver = std::function<CallResult(const uploads::DeliverUpload &)>;

  /// Process identifies this process start among all, for good.
  UploadsHost(std::string Process, uploads::UploadPolicy Policy, uint64_t Seed,
              const Clock &Time, StoreAccess &Store, Loop &Timers,
              Deliver Delivery);

  /// Runs an upload whose body stays valid until the return. Send is called
  /// for each send with the identity to use. Returns the final answer.
  uploads::Answer
  run(const uploads::UploadHead &Head, std::string_view Body, WallTime Deadline,
      const std::function<CallResult(const std::string &)> &Send);

  /// The receipt of an upload that was held.
  uploads::Answer receipt(const std::string &Service, const std::string &Key);

  /// Whether this process delivers the service's held uploads.
  void setDeliverer(const std::string &Service, bool Delivers);

  /// Counts since the start.
  uploads::UploadCounters counters();

  /// Ends the threads that deliver; call before what they use ends.
  void end() { m_Deliveries.reset(); }

private:
  /// An upload whose thread is inside run(), or a receipt asked for.
  struct WaitingCall {
    std::condition_variable m_Changed;
    std::string_view m_Body;
    std::optional<std::string> m_Send;
    std::optional<uploads::Answer> m_Answer;
  };

  void apply(const uploads::Event &Event);
  void stepLocked(const uploads::Event &Event);
  void carryOut(const uploads::SendUpload &Action);
  void carryOut(const uploads::HoldBody &Action);
  void carryOut(const uploads::DeliverUpload &Action);
  void carryOut(const uploads::Answer &Action);
  void carryOut(const uploads::WakeAt &Action);
  void carryOut(const records::RemoveObject &Action);
  template <typename Request> void carryOut(const Request &Action);
  template <typename Request> void request(const Request &Action);

  const Clock &m_Clock;
  StoreAccess &m_Store;
  Loop &m_Timers;
  Deliver m_Deliver;
  std::mutex m_Mutex;
  uploads::UploadState m_State;
  uploads::CallId m_LastCall = 0;
  std::map<uploads::CallId, WaitingCall *> m_Waiting;
  std::unique_ptr<Workers> m_Deliveries;
};

} // namespace hyssopcross::entry

#endif
