#include "hyssopcross/routing/Keys.h"
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace hyssopcross::routing {

namespace {

uint64_t hashOf(std::string_view Key, uint64_t Seed) {
  return XXH3_64bits_withSeed(Key.data(), Key.size(), Seed);
}

} // namespace

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  // Volatile, so that the compiler does not end the loop at a difference.
  volatile unsigned char Difference = 0;
  for (size_t I = 0; I < Left.size(); ++I)
    Difference = static_cast<unsigned char>(
        Difference | (static_cast<unsigned char>(Left[I]) ^
                      static_cast<unsigned char>(Right[I])));
  return Difference == 0;
}

KeyTable::KeyTable(const Configuration &Config, uint64_t Seed) : m_Seed(Seed) {
  if (!Config.m_Organisations)
    return;
  for (const auto &[Name, Each] : *Config.m_Organisations)
    for (const std::string &Key : Each.m_Keys)
      m_ByHash.emplace(hashOf(Key, Seed), Entry{Key, &Each});
}

const Organisation *KeyTable::find(std::string_view Key) const {
  if (Key.empty())
    return nullptr;
  auto [Begin, End] = m_ByHash.equal_range(hashOf(Key, m_Seed));
  for (auto Each = Begin; Each != End; ++Each)
    if (equalInConstantTime(Each->second.m_Key, Key))
      return Each->second.m_Organisation;
  return nullptr;
}

std::optional<std::pair<std::string, std::string>>
findSharedKey(const Configuration &Config) {
  if (!Config.m_Organisations)
    return std::nullopt;
  std::unordered_map<std::string_view, const std::string *> Owners;
  for (const auto &[Name, Each] : *Config.m_Organisations)
    for (const std::string &Key : Each.m_Keys) {
      auto [Known, IsNew] = Owners.emplace(Key, &Name);
      if (!IsNew && *Known->second != Name)
        return std::pair(*Known->second, Name);
    }
  return std::nullopt;
}

KeyDecision decideKey(const Configuration &Config, const KeyTable &Keys,
                      const Route *For, std::string_view Key) {
  KeyDecision Made;
  Made.m_HasOrganisations = Config.m_Organisations.has_value();
  if (!Made.m_HasOrganisations)
    return Made;
  Made.m_Organisation = Keys.find(Key);
  Made.m_IsAllowed = Made.m_Organisation || (For && For->m_IsPublic);
  return Made;
}

uint32_t effectivePriority(const Organisation *Of, const Route &For) {
  return Of ? Of->m_Priority.value_or(For.m_Priority) : For.m_Priority;
}

} // namespace hyssopcross::routing
