#ifndef HYSSOPCROSS_DISCOVERY_REVISION_H
#define HYSSOPCROSS_DISCOVERY_REVISION_H

#include <compare>
#include <cstdint>
#include <tuple>

namespace hyssopcross::discovery {

/// A position in the history of the store. When the store returns from an older
/// copy of its contents, it begins a new era and gives out again the versions
/// that followed the copy. A version therefore has a meaning only within its
/// era, and a later era is newer whatever its versions are.
struct Revision {
  /// Zero if the era is not known.
  uint64_t m_Era = 0;
  uint64_t m_Version = 0;

  friend bool operator==(const Revision &, const Revision &) = default;
  friend auto operator<=>(const Revision &A, const Revision &B) {
    return std::tie(A.m_Era, A.m_Version) <=> std::tie(B.m_Era, B.m_Version);
  }
};

} // namespace hyssopcross::discovery

#endif
