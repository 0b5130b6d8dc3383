#ifndef HYSSOPCROSS_ADDRESSES_ADDRESSES_H
#define HYSSOPCROSS_ADDRESSES_ADDRESSES_H

#include "hyssopcross/addresses/OwnerTable.h"
#include "hyssopcross/base/Error.h"
#include "hyssopcross/catalogue/Types.h"
#include "hyssopcross/membership/Membership.h"
#include <optional>

namespace hyssopcross::addresses {

/// Settings for address selection and forwarding. They must be identical on
/// every VM.
struct AddressPolicy {
  /// Maximum number of addresses in an answer.
  uint32_t m_Addresses = 4;
  /// How long a caller may cache an answer: in steady state, and while owners
  /// or members are changing.
  Duration m_TimeToLive = std::chrono::seconds(30);
  Duration m_TimeToLiveWhileChanging = std::chrono::seconds(3);
  /// How long after a change the shorter time to live applies.
  Duration m_ChangeWindow = std::chrono::seconds(15);
  /// Maximum fraction by which the time to live is randomly shortened, so that
  /// callers do not all refresh at the same time.
  double m_Jitter = 0.3;
  /// Maximum number of times a call may be forwarded between entry VMs.
  uint32_t m_MaxHops = 1;
  /// One-way latency assumed between two data centres without a configured
  /// distance: in the same region, and in different or unknown regions.
  Duration m_SameRegionLatency = std::chrono::milliseconds(2);
  Duration m_CrossRegionLatency = std::chrono::milliseconds(40);

  // Only tests disable these.
  bool m_ExcludeUnavailable = true;
  bool m_ExcludeOutOfService = true;
  bool m_NearestFirst = true;
  bool m_LimitHops = true;
  bool m_ShortenWhileChanging = true;
};

/// One-way latencies between data centres. Symmetric: a pair is looked up in
/// either order.
using Distances = std::map<std::pair<std::string, std::string>, Duration>;

/// The properties of an entry VM that routing uses.
struct RoutingMember {
  std::string m_DataCentre;
  std::string m_Address;
  std::string m_PeerAddress;
  membership::VmStatus m_Status = membership::VmStatus::Alive;
};

/// All inputs to routing decisions. Plain data: the host builds a new view
/// whenever an input changes and may share it between threads.
struct RoutingView {
  std::string m_Self;
  std::string m_DataCentre;
  /// False if this VM cannot tell whether its view is up to date.
  bool m_Current = true;
  std::map<std::string, RoutingMember> m_Members;
  OwnerTable m_Owners;
  catalogue::Catalogue m_Catalogue;
  Distances m_Distances;
  /// When the members or the catalogue last changed.
  TimePoint m_ChangedAt;
  AddressPolicy m_Policy;
};

/// Copies the members, this VM's name and data centre, and whether the view is
/// up to date from a membership view.
void setMembers(RoutingView &View, const membership::View &Members);

/// One address in an answer.
struct AnswerAddress {
  std::string m_Vm;
  /// The host:port that callers connect to.
  std::string m_Address;
  std::string m_DataCentre;
  /// True if the VM owns a pool of the service. Otherwise it forwards calls.
  bool m_Owner = false;
};

/// The response to a caller that asks for the addresses of a service.
struct AddressAnswer {
  /// In order of preference. Empty only if no entry VM is eligible.
  std::vector<AnswerAddress> m_Addresses;
  /// How long the caller may use the addresses before it must refresh them.
  Duration m_TimeToLive{};
};

/// Returns the addresses of a service for a caller in CallerDataCentre. The
/// owners of the service's pools come first, by latency from the caller,
/// followed by entry VMs that forward, nearest first. Forwarding VMs at equal
/// latency are ordered differently for each service. VMs that are not alive,
/// are out of service or are in a data centre that is out of service are
/// excluded. Fails with NotFound if the service is not in the catalogue. Random
/// must be uniformly distributed in [0, 1).
Result<AddressAnswer> addressesFor(const RoutingView &View,
                                   std::string_view Service,
                                   std::string_view CallerDataCentre,
                                   TimePoint Now, double Random);

/// The address that a caller should use instead of this VM.
struct PreferredAddress {
  std::string m_Vm;
  std::string m_Address;
  PoolId m_Pool;
};

/// Returns the address of the owner to which the caller should send calls to
/// the service, if that is not this VM. Returns nothing if this VM owns the
/// nearest pool or no eligible owner is known.
std::optional<PreferredAddress>
preferredAddress(const RoutingView &View, std::string_view Service,
                 std::string_view CallerDataCentre);

/// How to handle an incoming call.
enum class ForwardKind { ServeHere, Forward, Refuse };

/// Why a call is refused.
enum class ForwardRefusal {
  None,
  UnknownService,
  /// The call has reached the hop limit and this VM owns no pool that can serve
  /// it.
  TooManyHops,
  /// No pool of the service has a known and eligible owner.
  NoOwner,
};

/// The routing decision for an incoming call.
struct ForwardDecision {
  ForwardKind m_Kind = ForwardKind::Refuse;
  /// The pool that serves the call, for ServeHere and Forward.
  PoolId m_Pool;
  /// The owner of the pool and its address for calls from other entry VMs, for
  /// ServeHere and Forward.
  std::string m_Vm;
  std::string m_PeerAddress;
  ForwardRefusal m_Refusal = ForwardRefusal::None;
  /// For NoOwner: how long the caller should wait before it retries.
  Duration m_RetryAfter{};
};

/// Decides how to handle a call to Pool's service that asks for Pool's data
/// centre and has been forwarded Hops times. Pools of the service are tried by
/// latency from Pool's data centre, so that Pool itself comes first. When the
/// call may not be forwarded again, this VM serves it from the nearest pool
/// that it owns.
ForwardDecision decideForward(const RoutingView &View, const PoolId &Pool,
                              uint32_t Hops);

} // namespace hyssopcross::addresses

#endif
