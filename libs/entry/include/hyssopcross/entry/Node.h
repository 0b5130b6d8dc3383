#ifndef HYSSOPCROSS_ENTRY_NODE_H
#define HYSSOPCROSS_ENTRY_NODE_H

#include "hyssopcross/entry/CallerFront.h"
#include "hyssopcross/entry/OperatorFront.h"
#include "hyssopcross/entry/PeerHandler.h"
#include "hyssopcross/peer/PeerServer.h"

namespace hyssopcross::entry {

/// Everything that an entry VM is told when it starts.
struct NodeSettings {
  std::string m_Name;
  std::string m_DataCentre;
  std::string m_Region;
  /// Where callers, operators and other entry VMs connect.
  Address m_Listen;
  Address m_AdminListen;
  Address m_PeerListen;
  Address m_Platform;
  /// Time allowed for a request to the platform.
  Duration m_StoreTimeout = std::chrono::seconds(1);
  /// Requests to the platform at once.
  unsigned m_StoreThreads = 8;
  /// Messages to other VMs at once.
  unsigned m_PeerThreads = 4;
  http::ServerLimits m_CallerLimits;
  /// Share of calls without a trace context that are traced.
  double m_TraceShare = 0.0;
  uint64_t m_Seed = 0;
  /// The longest time that a stop waits for calls and hand-overs.
  Duration m_StopTimeout = std::chrono::seconds(15);
  /// How long a stopping VM goes on to answer callers that kept its address.
  Duration m_StopLinger = std::chrono::seconds(3);
  balancing::PoolPolicy m_Pool;
  membership::MembershipPolicy m_Membership;
  ownership::OwnershipPolicy m_Ownership;
  catalogue::FollowerPolicy m_Follower;
  addresses::AddressPolicy m_Addresses;
  addresses::Distances m_Distances;
  claims::ClaimPolicy m_Claims;
  uploads::UploadPolicy m_Uploads;
  /// Memory for the bodies of requests in progress, in bytes.
  uint64_t m_BodyBudget = 64U << 20U;
};

/// An entry VM: one event loop on a thread of its own, beside threads that wait
/// for the store, for other VMs' control messages and for operators' changes.
/// Built, started, stopped and destroyed by one thread.
class Node {
public:
  explicit Node(NodeSettings Settings);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Starts to listen and to take part. Fails if an address can't be bound.
  Result<void> start();

  /// Leaves: callers are sent elsewhere, pools are handed over, and what runs
  /// is finished, for at most the stop timeout.
  void stop();

private:
  struct Parts;

  /// Takes on, or gives up, the upkeep of the records of services.
  void assignUpkeep();
  /// Closes what has been idle or silent for too long, and comes back.
  void sweep();
  Result<void> listen();

  NodeSettings m_Settings;
  SystemClock m_Clock;
  std::unique_ptr<Parts> m_Parts;
};

} // namespace hyssopcross::entry

#endif
