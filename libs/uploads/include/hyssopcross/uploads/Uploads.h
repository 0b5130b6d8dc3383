#ifndef HYSSOPCROSS_UPLOADS_UPLOADS_H
#define HYSSOPCROSS_UPLOADS_UPLOADS_H

#include "hyssopcross/uploads/Events.h"
#include <random>
#include <set>

namespace hyssopcross::uploads {

/// Settings of the decisions, the same on every VM. The bool fields switch a
/// mechanism off; only tests set them.
struct UploadPolicy {
  /// Sends of one upload before it is held.
  uint32_t m_MaxSends = 3;
  /// Pause before the next send; jittered by half in both directions.
  Duration m_SendPause = std::chrono::milliseconds(50);
  /// Time before the deadline at which holding starts, sent or not.
  Duration m_HoldReserve = std::chrono::milliseconds(400);
  /// The longest idempotency key, in bytes.
  size_t m_KeyBytes = 200;
  /// What callers are told to wait; jittered upwards by half.
  Duration m_RetryAfter = std::chrono::milliseconds(500);
  /// Pause between two looks for held uploads, rows of one look, and
  /// deliveries at the same time.
  Duration m_ScanPause = std::chrono::seconds(1);
  size_t m_ScanRows = 16;
  size_t m_MaxDeliveries = 4;
  /// First and longest pause between deliveries of one upload.
  Duration m_DeliveryPause = std::chrono::seconds(2);
  Duration m_DeliveryPauseMax = std::chrono::minutes(5);
  /// How long a receipt is kept after the delivery.
  Duration m_Retention = std::chrono::hours(24 * 7);

  /// Whether uploads are held at all; without, they are refused.
  bool m_Hold = true;
  bool m_CheckReceipt = true;
  bool m_RecordBeforeHeld = true;
  bool m_SameIdentity = true;
  bool m_ReadBackLostWrites = true;
  bool m_CompareDigest = true;
};

/// Where a call stands.
enum class UploadPhase {
  /// Being sent, or waiting for the next send.
  Sending,
  /// The body is being put into the object store.
  Storing,
  /// The row is being written.
  Recording,
  /// The row is being read to learn what became of the write.
  Checking,
  /// The receipt is being read for the caller.
  ReadingReceipt,
};

/// One call of this process.
struct Upload {
  UploadArrived m_Arrival;
  UploadPhase m_Phase = UploadPhase::Sending;
  uint32_t m_Sends = 0;
  bool m_SendOpen = false;
  /// A send may have been stored by a backend server.
  bool m_MayHaveRun = false;
  /// A row may have been written, or may still be.
  bool m_MayBeHeld = false;
  TimePoint m_HoldAt;
  TimePoint m_AnswerBy;
  std::optional<TimePoint> m_SendAt;
  Duration m_RetryAfter{};
  std::string m_ObjectKey;
  WallTime m_HeldAt;
  /// The request to the store that the call waits for; zero for none.
  records::RequestId m_Request = 0;
};

/// One held upload on its way to a backend server.
struct Delivery {
  std::string m_Service;
  std::string m_Key;
  std::string m_DueKey;
  uint64_t m_DueVersion = 0;
  uint32_t m_Tries = 0;
  uint64_t m_RowVersion = 0;
  Receipt m_Receipt;
  /// The object to remove once the transaction in flight has taken effect.
  std::string m_Obsolete;
  bool m_Committing = false;
};

/// The look for held uploads of one service.
struct ScanState {
  TimePoint m_NextScan;
  records::RequestId m_Request = 0;
};

/// Figures for metrics, counted since the start.
struct UploadCounters {
  uint64_t m_Held = 0;
  uint64_t m_Delivered = 0;
  uint64_t m_Unconfirmed = 0;
};

/// Everything that the decisions of one process depend on. Owned by the host,
/// changed only by step(). The host bounds it by its budget for bodies.
struct UploadState {
  /// Process identifies this process start among all, for good.
  UploadState(std::string Process, UploadPolicy Policy, uint64_t Seed)
      : m_Process(std::move(Process)), m_Policy(Policy), m_Random(Seed) {}

  std::string m_Process;
  UploadPolicy m_Policy;
  std::mt19937_64 m_Random;
  uint64_t m_LastObject = 0;
  records::RequestId m_LastRequest = 0;
  DeliveryId m_LastDelivery = 0;
  std::map<CallId, Upload> m_Uploads;
  std::map<DeliveryId, Delivery> m_Deliveries;
  /// What waits for a request to the store.
  std::map<records::RequestId, CallId> m_WaitingCalls;
  std::map<records::RequestId, DeliveryId> m_WaitingDeliveries;
  /// Objects of calls that were answered before the object was stored.
  std::map<records::RequestId, std::string> m_Abandoned;
  std::map<std::string, ScanState> m_Scans;
  /// When to look at a call again, at most three times for each.
  std::set<std::pair<TimePoint, CallId>> m_Timers;
  std::optional<TimePoint> m_WakeAt;
  UploadCounters m_Counters;
};

/// Applies one event and appends the actions that follow from it.
/// Deterministic. Not thread-safe for one state; independent for different
/// states. An upload that a backend server takes costs the store nothing; one
/// that is held costs an object, four row writes and the look for it.
void step(UploadState &State, const Event &Event, const records::Instant &Now,
          std::vector<Action> &Actions);

/// The key of the row that records an upload which was held:
/// upload/SERVICE/KEY.
std::string rowKey(std::string_view Service, std::string_view Key);

/// The name of a state, as receipts show it.
const char *heldStateName(HeldState State);

} // namespace hyssopcross::uploads

#endif
