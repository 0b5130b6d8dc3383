#ifndef HYSSOPCROSS_ROUTING_KEYS_H
#define HYSSOPCROSS_ROUTING_KEYS_H

#include "hyssopcross/routing/Routes.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace hyssopcross::routing {

/// Finds the organisation that a key belongs to. Holds pointers into the
/// configuration that it is built from, which must outlive the table.
class KeyTable {
public:
  /// Seed is random and secret to the process, so that callers can infer
  /// nothing about stored keys from the time that a lookup takes.
  KeyTable(const Configuration &Config, uint64_t Seed);

  /// Returns the organisation of the key, or null if the key is unknown or
  /// empty.
  const Organisation *find(std::string_view Key) const;

private:
  struct Entry {
    std::string_view m_Key;
    const Organisation *m_Organisation;
  };
  uint64_t m_Seed;
  /// Entries by the seeded hash of the key.
  std::unordered_multimap<uint64_t, Entry> m_ByHash;
};

/// Whether two texts are equal. The time depends on their lengths only.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

/// Returns the names of two organisations that share a key, if there are any.
std::optional<std::pair<std::string, std::string>>
findSharedKey(const Configuration &Config);

/// What a configuration says of a request with this key.
struct KeyDecision {
  /// Null if the key is missing or unknown, or there are no organisations.
  const Organisation *m_Organisation = nullptr;
  /// Whether organisations are configured, so that the credential is withheld
  /// from backend servers and the organisation's name is sent instead.
  bool m_HasOrganisations = false;
  bool m_IsAllowed = true;
};

/// Decides whether a request with this key may be sent. For is the route of the
/// request; an unknown route (null) counts as not public.
KeyDecision decideKey(const Configuration &Config, const KeyTable &Keys,
                      const Route *For, std::string_view Key);

/// The priority of a request: that of its organisation, or else of its route.
uint32_t effectivePriority(const Organisation *Of, const Route &For);

} // namespace hyssopcross::routing

#endif
