#ifndef HYSSOPCROSS_GATEWAY_SRC_STORECALLS_H
#define HYSSOPCROSS_GATEWAY_SRC_STORECALLS_H

#include "hyssopcross/base/Clock.h"

namespace hyssopcross::gateway {

/// Longest idle time after which a connection to the store or another VM is
/// reused.
inline constexpr Duration StoreMaxIdle = std::chrono::seconds(8);

} // namespace hyssopcross::gateway

#endif
