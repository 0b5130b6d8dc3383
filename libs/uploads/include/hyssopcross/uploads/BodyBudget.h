#ifndef HYSSOPCROSS_UPLOADS_BODYBUDGET_H
#define HYSSOPCROSS_UPLOADS_BODYBUDGET_H

#include "hyssopcross/base/Invariant.h"
#include <cstdint>

namespace hyssopcross::uploads {

/// The memory that request and answer bodies may take in this process, in
/// bytes. Not thread-safe; the host guards it.
struct BodyBudget {
  uint64_t m_Limit = 64U << 20U;
  uint64_t m_Used = 0;
};

/// Takes Bytes out of the budget, before a body is read. False if they do not
/// fit: refuse the request with 'not-run'.
inline bool reserve(BodyBudget &Budget, uint64_t Bytes) {
  HYSSOPCROSS_INVARIANT(Budget.m_Used <= Budget.m_Limit,
                        "bodies stay within their budget");
  if (Bytes > Budget.m_Limit - Budget.m_Used)
    return false;
  Budget.m_Used += Bytes;
  return true;
}

/// Gives back what reserve() took.
inline void release(BodyBudget &Budget, uint64_t Bytes) {
  HYSSOPCROSS_INVARIANT(Bytes <= Budget.m_Used,
                        "only reserved bytes are given back");
  Budget.m_Used -= Bytes;
}

} // namespace hyssopcross::uploads

#endif
