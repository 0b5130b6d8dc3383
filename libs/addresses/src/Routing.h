#ifndef HYSSOPCROSS_ADDRESSES_ROUTING_H
#define HYSSOPCROSS_ADDRESSES_ROUTING_H

#include "hyssopcross/addresses/Addresses.h"

namespace hyssopcross::addresses {

/// A pool and the VM that owns it, as a possible route for a call.
struct OwnerRoute {
  PoolId m_Pool;
  std::string m_Vm;
  const RoutingMember *m_Member = nullptr;
};

/// Returns true if the VM may be listed in answers to callers or be the target
/// of a forward.
bool isEligible(const RoutingView &View, const std::string &Vm,
                const RoutingMember &Member);

/// Returns true if the catalogue lists the data centre as in service. A data
/// centre that is not in the catalogue counts as in service.
bool isInService(const RoutingView &View, const std::string &DataCentre);

/// Returns the one-way latency between two data centres: the configured
/// distance, or a default that depends on whether they are in the same region.
Duration latencyBetween(const RoutingView &View, const std::string &From,
                        const std::string &To);

/// What the routes are used for.
enum class RoutePurpose {
  /// An answer that the caller may cache.
  Answer,
  /// An incoming call. This VM serves the pools that it still owns, even while
  /// it is leaving.
  Call,
};

/// Returns the owners of a service's pools that may serve its calls, ordered by
/// latency between From and the pool's data centre.
std::vector<OwnerRoute> ownerRoutes(const RoutingView &View,
                                    const std::string &Service,
                                    const std::string &From,
                                    RoutePurpose Purpose);

} // namespace hyssopcross::addresses

#endif
