#ifndef HYSSOPCROSS_ADDRESSES_ADDRESSES_H
#define HYSSOPCROSS_ADDRESSES_ADDRESSES_H

#include "hyssopcross/addresses/OwnerTable.h"
#include "hyssopcross/base/Error.h"
#include "hyssopcross/catalogue/Types.h"
#include "hyssopcross/membership/Membership.h"
#include <optional>

namespace hyssopcross::addresses {

/// Settings of the decisions, the same on every VM.
struct AddressPolicy {
  /// Addresses in an answer, at most.
  uint32_t m_Addresses = 4;
  /// How long a caller may keep an answer, while all is steady and while
  /// owners or members change.
  Duration m_TimeToLive = std::chrono::seconds(30);
  Duration m_TimeToLiveWhileChanging = std::chrono::seconds(3);
  /// How long after a change things count as changing.
  Duration m_ChangeWindow = std::chrono::seconds(15);
  /// Share by which the time is shortened at random, so that callers do not
  /// all come back at once.
  double m_Jitter = 0.3;
  /// Forwards between entry VMs that a call may take.
  uint32_t m_MaxHops = 1;
  /// Crossing time assumed between two data centres that the distances do not
  /// name, in the same region and otherwise.
  Duration m_SameRegionLatency = std::chrono::milliseconds(2);
  Duration m_CrossRegionLatency = std::chrono::milliseconds(40);

  // Switches that only tests turn off.
  bool m_ExcludeUnavailable = true;
  bool m_ExcludeOutOfService = true;
  bool m_NearestFirst = true;
  bool m_LimitHops = true;
  bool m_ShortenWhileChanging = true;
};

/// One-way crossing times between data centres. Symmetric: either order of a
/// pair is found.
using Distances = std::map<std::pair<std::string, std::string>, Duration>;

/// An entry VM, as routing needs it.
struct RoutingMember {
  std::string m_DataCentre;
  std::string m_Address;
  std::string m_PeerAddress;
  membership::VmStatus m_Status = membership::VmStatus::Alive;
};

/// Everything that routing depends on. Plain data: the host builds a new one
/// when something changes and may share it between threads.
struct RoutingView {
  std::string m_Self;
  std::string m_DataCentre;
  /// False if this VM cannot know whether its view is current.
  bool m_Current = true;
  std::map<std::string, RoutingMember> m_Members;
  OwnerTable m_Owners;
  catalogue::Catalogue m_Catalogue;
  Distances m_Distances;
  /// When the members or the catalogue last changed.
  TimePoint m_ChangedAt;
  AddressPolicy m_Policy;
};

/// Fills in the members of a routing view.
void setMembers(RoutingView &View, const membership::View &Members);

/// One address of an answer.
struct AnswerAddress {
  std::string m_Vm;
  /// host:port for callers.
  std::string m_Address;
  std::string m_DataCentre;
  /// The VM owns a pool of the service; otherwise it forwards.
  bool m_Owner = false;
};

/// What a caller of a service is told.
struct AddressAnswer {
  /// Best first. Empty only if no entry VM is in service.
  std::vector<AnswerAddress> m_Addresses;
  /// How long the caller may use them without asking again.
  Duration m_TimeToLive{};
};

/// The addresses for a caller of a service in a data centre. Owners of the
/// service's pools by crossing time from the caller, then entry VMs that
/// forward, nearest first and in an order that differs from service to
/// service. VMs that are not alive, are out of service or lie in a data centre
/// out of service are left out. Fails with NotFound for a service that the
/// catalogue does not name. Random is uniform in [0, 1).
Result<AddressAnswer> addressesFor(const RoutingView &View,
                                   std::string_view Service,
                                   std::string_view CallerDataCentre,
                                   TimePoint Now, double Random);

/// The address that a caller should have used.
struct PreferredAddress {
  std::string m_Vm;
  std::string m_Address;
  PoolId m_Pool;
};

/// The address of the owner that a call of the service should go to, if that
/// is not this VM. None if this VM owns the nearest pool or no owner is known.
std::optional<PreferredAddress>
preferredAddress(const RoutingView &View, std::string_view Service,
                 std::string_view CallerDataCentre);

/// What to do with a call that has arrived.
enum class ForwardKind { ServeHere, Forward, Refuse };

/// Why a call is refused.
enum class ForwardRefusal {
  None,
  UnknownService,
  /// It was forwarded as often as a call may be.
  TooManyHops,
  /// No owner of a pool of the service is known and fit.
  NoOwner,
};

/// A decision about a call.
struct ForwardDecision {
  ForwardKind m_Kind = ForwardKind::Refuse;
  /// The pool that serves the call, for ServeHere and Forward.
  PoolId m_Pool;
  /// Where to forward to.
  std::string m_Vm;
  std::string m_PeerAddress;
  ForwardRefusal m_Refusal = ForwardRefusal::None;
  /// Without an owner: when a new try makes sense.
  Duration m_RetryAfter{};
};

/// Decides for a call of Pool's service that wants Pool's data centre and was
/// forwarded Hops times before. The pool itself comes first, then the
/// service's other pools by crossing time; of these, one that this VM owns is
/// served here at any hop count.
ForwardDecision decideForward(const RoutingView &View, const PoolId &Pool,
                              uint32_t Hops);

} // namespace hyssopcross::addresses

#endif
