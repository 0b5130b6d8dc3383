#ifndef HYSSOPCROSS_DISPATCH_CRASHSUSPECTS_H
#define HYSSOPCROSS_DISPATCH_CRASHSUSPECTS_H

#include <cstdint>

namespace hyssopcross::dispatch {

/// Identifies requests that a server cannot tell apart, except for what is new
/// in each attempt of a caller.
using RequestFingerprint = uint64_t;

} // namespace hyssopcross::dispatch

#endif
