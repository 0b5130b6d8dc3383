#include "RequestFingerprint.h"
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace hyssopcross::gateway {

dispatch::RequestFingerprint fingerprintOf(const http::Request &Received,
                                           std::string_view Caller) {
  // The hash of each part seeds that of the next, so that the parts of two
  // requests cannot be confused.
  uint64_t Hash = 0;
  for (std::string_view Part : {http::toView(Received.method_string()),
                                http::headerOf(Received.base(), "Host"),
                                http::toView(Received.target()), Caller,
                                std::string_view(Received.body())})
    Hash = XXH3_64bits_withSeed(Part.data(), Part.size(), Hash);
  return Hash;
}

} // namespace hyssopcross::gateway
