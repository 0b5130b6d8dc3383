#ifndef HYSSOPCROSS_OWNERSHIP_MESSAGES_H
#define HYSSOPCROSS_OWNERSHIP_MESSAGES_H

#include "hyssopcross/balancing/Events.h"
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace hyssopcross::ownership {

using balancing::PoolId;

/// A pool and the epoch of its lease.
struct PoolEpoch {
  PoolId m_Pool;
  uint64_t m_Epoch = 0;

  friend bool operator==(const PoolEpoch &, const PoolEpoch &) = default;
};

/// An owner that cannot renew asks an elector of these leases not to take any
/// of them for the promise time.
struct PromiseRequest {
  std::string m_From;
  uint64_t m_Incarnation = 0;
  uint64_t m_Round = 0;
  std::vector<PoolEpoch> m_Pools;
};

/// The elector's answer: the pools that it promises not to take. It promises
/// only for a lease that it has itself read as the asking owner's.
struct PromiseAnswer {
  std::string m_From;
  uint64_t m_Incarnation = 0;
  uint64_t m_Round = 0;
  std::vector<PoolEpoch> m_Granted;
};

/// An owner asks whether the receiver takes a pool over. The host fills in the
/// digest of the pool's servers when it sends the message.
struct HandOverOffer {
  std::string m_From;
  uint64_t m_Incarnation = 0;
  PoolId m_Pool;
  uint64_t m_Epoch = 0;
  std::vector<balancing::ServerDigest> m_Digest;
};

/// The successor's answer to an offer. Epoch is that of the offer.
struct HandOverAnswer {
  std::string m_From;
  uint64_t m_Incarnation = 0;
  PoolId m_Pool;
  uint64_t m_Epoch = 0;
  bool m_Accepted = false;
};

/// The owner has released the pool: the row names the receiver with this
/// epoch.
struct HandOverReleased {
  std::string m_From;
  PoolId m_Pool;
  uint64_t m_Epoch = 0;
};

/// The successor holds the lease with this epoch.
struct HandOverConfirmed {
  std::string m_From;
  PoolId m_Pool;
  uint64_t m_Epoch = 0;
};

using Message =
    std::variant<PromiseRequest, PromiseAnswer, HandOverOffer, HandOverAnswer,
                 HandOverReleased, HandOverConfirmed>;

/// The size of a message in bytes in the encoding that membership/Messages.h
/// describes, with three bytes for the message's kind.
size_t encodedSize(const Message &Value);

} // namespace hyssopcross::ownership

#endif
