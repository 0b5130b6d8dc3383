#include "hyssopcross/catalogue/Diff.h"
#include "Names.h"
#include "hyssopcross/catalogue/Codec.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::catalogue {

namespace {

using FieldValues = std::vector<std::pair<std::string, std::string>>;

FieldValues fieldsOf(const ServiceEntry &Entry) {
  FieldValues Fields = {{"owner", Entry.m_Owner},
                        {"class", serviceClassName(Entry.m_Class)}};
  for (const LimitField &Field : limitFields())
    Fields.emplace_back(std::string("limits.") + Field.m_Name,
                        numberText(Field.m_Get(Entry.m_Limits)));
  return Fields;
}

FieldValues fieldsOf(const DataCentreEntry &Entry) {
  return {{"region", Entry.m_Region},
          {"in_service", Entry.m_InService ? "true" : "false"}};
}

template <typename Entry>
EntryChange compare(EntryKind Kind, const std::string &Name,
                    const Entry *Before, const Entry *After) {
  EntryChange Change{Kind, Name, Before != nullptr, After != nullptr, {}};
  FieldValues Old = Before ? fieldsOf(*Before) : FieldValues();
  FieldValues New = After ? fieldsOf(*After) : FieldValues();
  const FieldValues &Names = Before ? Old : New;
  for (size_t I = 0; I < Names.size(); ++I) {
    std::string OldText = Before ? Old[I].second : "";
    std::string NewText = After ? New[I].second : "";
    if (OldText != NewText)
      Change.m_Fields.push_back({Names[I].first, OldText, NewText});
  }
  return Change;
}

template <typename Entry>
const Entry *find(const std::map<std::string, Entry> &In,
                  const std::string &Name) {
  auto Found = In.find(Name);
  return Found == In.end() ? nullptr : &Found->second;
}

template <typename Entry> bool same(const Entry *Left, const Entry *Right) {
  return Left && Right ? *Left == *Right : Left == Right;
}

template <typename Entry>
std::set<std::string> namesOf(const std::map<std::string, Entry> &Left,
                              const std::map<std::string, Entry> &Right) {
  std::set<std::string> Names;
  for (const auto *Each : {&Left, &Right})
    for (const auto &[Name, Value] : *Each)
      Names.insert(Name);
  return Names;
}

template <typename Entry>
void diffEntries(EntryKind Kind, const std::map<std::string, Entry> &Before,
                 const std::map<std::string, Entry> &After,
                 std::vector<EntryChange> &Changes) {
  for (const std::string &Name : namesOf(Before, After)) {
    const Entry *Old = find(Before, Name);
    const Entry *New = find(After, Name);
    if (!same(Old, New))
      Changes.push_back(compare(Kind, Name, Old, New));
  }
}

const char *kindName(EntryKind Kind) {
  switch (Kind) {
  case EntryKind::Service:
    return "service";
  case EntryKind::DataCentre:
    return "data_centre";
  case EntryKind::VmOut:
    return "vm_out";
  }
  return "";
}

/// Applies what changed from Base to Proposed in one list of entries. Returns
/// the name of an entry that Current changed otherwise.
template <typename Entry>
std::optional<std::string>
rebaseEntries(const std::map<std::string, Entry> &Base,
              const std::map<std::string, Entry> &Proposed,
              std::map<std::string, Entry> &Current) {
  for (const std::string &Name : namesOf(Base, Proposed)) {
    const Entry *Old = find(Base, Name);
    const Entry *New = find(Proposed, Name);
    const Entry *Now = find(Current, Name);
    if (same(Old, New) || same(New, Now))
      continue;
    if (!same(Old, Now))
      return Name;
    if (New)
      Current[Name] = *New;
    else
      Current.erase(Name);
  }
  return std::nullopt;
}

void rebaseVmsOut(const std::set<std::string> &Base,
                  const std::set<std::string> &Proposed,
                  std::set<std::string> &Current) {
  for (const std::string &Name : Base)
    if (!Proposed.contains(Name))
      Current.erase(Name);
  for (const std::string &Name : Proposed)
    if (!Base.contains(Name))
      Current.insert(Name);
}

auto conflict(std::string_view Kind, const std::string &Name,
              uint64_t Version) {
  return fail(ErrorCode::Conflict,
              entryLabel(Kind, Name) +
                  " was changed by another up to version " +
                  std::to_string(Version));
}

} // namespace

std::vector<EntryChange> diff(const Catalogue &Before, const Catalogue &After) {
  std::vector<EntryChange> Changes;
  diffEntries(EntryKind::Service, Before.m_Services, After.m_Services, Changes);
  diffEntries(EntryKind::DataCentre, Before.m_DataCentres, After.m_DataCentres,
              Changes);
  std::set<std::string> Vms = Before.m_VmsOut;
  Vms.insert(After.m_VmsOut.begin(), After.m_VmsOut.end());
  for (const std::string &Name : Vms) {
    bool Old = Before.m_VmsOut.contains(Name);
    bool New = After.m_VmsOut.contains(Name);
    if (Old != New)
      Changes.push_back({EntryKind::VmOut, Name, Old, New, {}});
  }
  return Changes;
}

std::string diffText(const std::vector<EntryChange> &Changes) {
  std::string Text;
  for (const EntryChange &Change : Changes) {
    char Mark = !Change.m_Before ? '+' : !Change.m_After ? '-' : '~';
    Text += Mark;
    Text += std::string(" ") + kindName(Change.m_Kind) + " " + Change.m_Name;
    Text += "\n";
    for (const FieldChange &Field : Change.m_Fields) {
      Text += "    " + Field.m_Field + ": ";
      if (Change.m_Before && Change.m_After)
        Text += Field.m_Before + " -> " + Field.m_After;
      else
        Text += Field.m_Before + Field.m_After;
      Text += "\n";
    }
  }
  return Text;
}

std::string diffJson(const std::vector<EntryChange> &Changes) {
  using Json = nlohmann::ordered_json;
  Json List = Json::array();
  for (const EntryChange &Change : Changes) {
    Json Fields = Json::array();
    for (const FieldChange &Field : Change.m_Fields)
      Fields.push_back({{"field", Field.m_Field},
                        {"before", Field.m_Before},
                        {"after", Field.m_After}});
    const char *Action = !Change.m_Before  ? "added"
                         : !Change.m_After ? "removed"
                                           : "changed";
    List.push_back({{"kind", kindName(Change.m_Kind)},
                    {"name", Change.m_Name},
                    {"action", Action},
                    {"fields", std::move(Fields)}});
  }
  return List.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Catalogue> rebase(const Catalogue &Base, const Catalogue &Proposed,
                         const Catalogue &Current) {
  Catalogue Rebased = Current;
  auto Service =
      rebaseEntries(Base.m_Services, Proposed.m_Services, Rebased.m_Services);
  if (Service)
    return conflict("service", *Service, Current.m_Version);
  auto DataCentre = rebaseEntries(Base.m_DataCentres, Proposed.m_DataCentres,
                                  Rebased.m_DataCentres);
  if (DataCentre)
    return conflict("data centre", *DataCentre, Current.m_Version);
  rebaseVmsOut(Base.m_VmsOut, Proposed.m_VmsOut, Rebased.m_VmsOut);
  return Rebased;
}

} // namespace hyssopcross::catalogue
