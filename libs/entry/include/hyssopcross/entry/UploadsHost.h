#ifndef HYSSOPCROSS_ENTRY_UPLOADSHOST_H
#define HYSSOPCROSS_ENTRY_UPLOADSHOST_H

#include "hyssopcross/entry/PoolHost.h"
#include "hyssopcross/entry/StoreAccess.h"
#include "hyssopcross/entry/Timers.h"
#include "hyssopcross/uploads/Uploads.h"
#include <functional>
#include <mutex>

namespace hyssopcross::entry {

/// Hosts the decisions about uploads. Functions are safe from any thread;
/// callbacks are called on the loop's thread.
class UploadsHost {
public:
  /// Sends a held upload to a backend server and reports how that ended.
  using Deliver =
      std::function<void(const uploads::DeliverUpload &, ResultCallback)>;
  /// Sends an upload with the identity to use, and reports how that ended.
  using SendCall = std::function<void(const std::string &, ResultCallback)>;
  using AnswerCallback = std::function<void(const uploads::Answer &)>;

  /// Process identifies this process start among all, for good.
  UploadsHost(std::string Process, uploads::UploadPolicy Policy, uint64_t Seed,
              const Clock &Time, boost::asio::io_context &Loop,
              StoreAccess &Store, Timers &Wakes, Deliver Delivery);

  /// Begins an upload; Body is kept until the answer. Send is called for each
  /// send; Done is called once, with the final answer.
  void run(const uploads::UploadHead &Head,
           std::shared_ptr<const std::string> Body, WallTime Deadline,
           SendCall Send, AnswerCallback Done);

  /// Asks for the receipt of an upload that was held.
  void receipt(const std::string &Service, const std::string &Key,
               AnswerCallback Done);

  /// Whether this process delivers the service's held uploads.
  void setDeliverer(const std::string &Service, bool Delivers);

  /// Counts since the start.
  uploads::UploadCounters counters();

private:
  /// An upload without a final answer, or a receipt asked for.
  struct OpenCall {
    std::shared_ptr<const std::string> m_Body;
    SendCall m_Send;
    AnswerCallback m_Done;
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
  boost::asio::io_context &m_Loop;
  StoreAccess &m_Store;
  Timers &m_Timers;
  Deliver m_Deliver;
  std::mutex m_Mutex;
  uploads::UploadState m_State;
  uploads::CallId m_LastCall = 0;
  std::map<uploads::CallId, OpenCall> m_Calls;
};

} // namespace hyssopcross::entry

#endif
