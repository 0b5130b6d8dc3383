#ifndef HYSSOPCROSS_GATEWAY_SRC_REQUESTFINGERPRINT_H
#define HYSSOPCROSS_GATEWAY_SRC_REQUESTFINGERPRINT_H

#include "hyssopcross/dispatch/CrashSuspects.h"
#include "hyssopcross/http/Message.h"
#include <string_view>

namespace hyssopcross::gateway {

/// The fingerprint of a request with this caller: of its method, host, target,
/// caller and body. All VMs compute the same value.
dispatch::RequestFingerprint fingerprintOf(const http::Request &Received,
                                           std::string_view Caller);

} // namespace hyssopcross::gateway

#endif
