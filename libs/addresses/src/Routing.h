#ifndef HYSSOPCROSS_ADDRESSES_ROUTING_H
#define HYSSOPCROSS_ADDRESSES_ROUTING_H

#include "hyssopcross/addresses/Addresses.h"

namespace hyssopcross::addresses {

/// A VM that owns a pool, as a way for a call.
struct OwnerRoute {
  PoolId m_Pool;
  std::string m_Vm;
  const RoutingMember *m_Member = nullptr;
};

/// Whether a VM may be named to callers or forwarded to.
bool isEligible(const RoutingView &View, const std::string &Vm,
                const RoutingMember &Member);

/// Whether a data centre is in service by the catalogue. One that the
/// catalogue does not name is.
bool isInService(const RoutingView &View, const std::string &DataCentre);

/// The crossing time between two data centres.
Duration latencyBetween(const RoutingView &View, const std::string &From,
                        const std::string &To);

/// Who asks for routes.
enum class RoutePurpose {
  /// A caller, that may keep the answer for a while.
  Answer,
  /// A call that has arrived: this VM serves the pools that it still owns,
  /// also while it leaves.
  Call,
};

/// The owners of a service's pools that may serve its calls, by crossing time
/// between From and the pool.
std::vector<OwnerRoute> ownerRoutes(const RoutingView &View,
                                    const std::string &Service,
                                    const std::string &From,
                                    RoutePurpose Purpose);

} // namespace hyssopcross::addresses

#endif
