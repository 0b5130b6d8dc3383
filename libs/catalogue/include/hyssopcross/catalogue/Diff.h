#ifndef HYSSOPCROSS_CATALOGUE_DIFF_H
#define HYSSOPCROSS_CATALOGUE_DIFF_H

#include "hyssopcross/base/Error.h"
#include "hyssopcross/catalogue/Types.h"
#include <optional>
#include <string>
#include <vector>

namespace hyssopcross::catalogue {

/// What an entry of a catalogue is about.
enum class EntryKind { Service, DataCentre, VmOut };

/// One field whose value differs, written as in documents.
struct FieldChange {
  std::string m_Field;
  std::string m_Before;
  std::string m_After;
};

/// How one entry changes. An entry that is absent before was added, one that
/// is absent after was removed.
struct EntryChange {
  EntryKind m_Kind = EntryKind::Service;
  std::string m_Name;
  bool m_Before = false;
  bool m_After = false;
  std::vector<FieldChange> m_Fields;
};

/// The entries that differ, by kind and name; versions are not compared.
std::vector<EntryChange> diff(const Catalogue &Before, const Catalogue &After);

/// One line for each entry, with `+`, `-` or `~`, and one for each field.
std::string diffText(const std::vector<EntryChange> &Changes);

/// The changes as a JSON array.
std::string diffJson(const std::vector<EntryChange> &Changes);

/// Applies to Current what changed from Base to Proposed. Fails with Conflict,
/// naming the entry, if Current changed the same entry in another way.
Result<Catalogue> rebase(const Catalogue &Base, const Catalogue &Proposed,
                         const Catalogue &Current);

} // namespace hyssopcross::catalogue

#endif
