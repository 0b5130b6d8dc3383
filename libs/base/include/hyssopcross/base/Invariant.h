#ifndef HYSSOPCROSS_BASE_INVARIANT_H
#define HYSSOPCROSS_BASE_INVARIANT_H

#include <string_view>

namespace hyssopcross {

/// Called with a description when an invariant does not hold.
using InvariantHandler = void (*)(std::string_view What);

/// Replaces the handler for broken invariants and returns the previous one.
/// Tests install one that throws, so that a property test can shrink; the
/// default prints the description and stops the process. Not thread-safe.
InvariantHandler setInvariantHandler(InvariantHandler Handler);

/// Reports a broken invariant to the handler. Used through
/// HYSSOPCROSS_INVARIANT.
void reportBrokenInvariant(const char *Condition, const char *What,
                           const char *File, int Line);

} // namespace hyssopcross

/// Checks a condition that must hold whatever the input is. Active in every
/// build type.
#define HYSSOPCROSS_INVARIANT(Condition, What)                                 \
  do {                                                                         \
    if (!(Condition))                                                          \
      ::hyssopcross::reportBrokenInvariant(#Condition, What, __FILE__,         \
                                           __LINE__);                          \
  } while (false)

#endif
