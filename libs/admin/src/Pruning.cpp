#include "Responses.h"
#include "hyssopcross/catalogue/Editor.h"

namespace hyssopcross::admin {

namespace {

constexpr uint64_t PrunedAtOnce = 3;

/// Removes a version and its change row; false if there was none or the store
/// failed.
bool pruneOne(store::Table &Table, uint64_t Version) {
  std::string VersionKey = catalogue::versionRowKey(Version);
  auto Row = Table.read(VersionKey);
  if (!Row || !Row.value())
    return false;
  std::vector<store::Write> Writes = {
      {VersionKey, Row.value()->m_Version, std::nullopt}};
  auto Record = catalogue::readVersionRow(Row.value()->m_Value);
  if (Record) {
    std::string ChangeKey = catalogue::changeRowKey(Record.value().m_ChangeId);
    auto Change = Table.read(ChangeKey);
    if (!Change)
      return false;
    if (Change.value())
      Writes.push_back({ChangeKey, Change.value()->m_Version, std::nullopt});
  }
  return Table.commit(Writes).has_value();
}

} // namespace

void pruneVersions(store::Table &Table, uint64_t Accepted, uint64_t Keep) {
  if (Accepted <= Keep)
    return;
  uint64_t Version = Accepted - Keep;
  for (uint64_t Done = 0; Done < PrunedAtOnce && Version > 0; ++Done)
    if (!pruneOne(Table, Version--))
      return;
}

} // namespace hyssopcross::admin
