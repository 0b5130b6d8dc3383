#include "Names.h"
#include "hyssopcross/catalogue/Codec.h"
#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <yaml-cpp/yaml.h>

namespace hyssopcross::catalogue {

namespace {

/// Carries a fault out of the reading functions; does not leave this file.
struct ReadFault {
  std::string m_Message;
};

[[noreturn]] void fault(const std::string &Where, const std::string &What) {
  throw ReadFault{Where + ": " + What};
}

std::string position(const YAML::Node &Node) {
  YAML::Mark Mark = Node.Mark();
  if (Mark.is_null())
    return {};
  return " (line " + std::to_string(Mark.line + 1) + ")";
}

void checkFields(const YAML::Node &Node, const std::string &Where,
                 std::initializer_list<std::string_view> Known) {
  if (!Node.IsMap())
    fault(Where, "must be a map of fields" + position(Node));
  std::set<std::string> Seen;
  for (const auto &Field : Node) {
    auto Name = Field.first.as<std::string>();
    if (std::find(Known.begin(), Known.end(), Name) == Known.end())
      fault(Where, "unknown field " + Name + position(Field.first));
    if (!Seen.insert(Name).second)
      fault(Where, "field " + Name + " stands twice" + position(Field.first));
  }
}

std::string readText(const YAML::Node &Entry, const std::string &Where,
                     const char *Field) {
  YAML::Node Value = Entry[Field];
  if (!Value)
    fault(Where,
          std::string("field ") + Field + " is missing" + position(Entry));
  if (!Value.IsScalar())
    fault(Where,
          std::string("field ") + Field + " must be a text" + position(Value));
  return Value.as<std::string>();
}

bool readBool(const YAML::Node &Entry, const std::string &Where,
              const char *Field, bool Default) {
  YAML::Node Value = Entry[Field];
  if (!Value)
    return Default;
  bool Read = Default;
  if (!Value.IsScalar() || !YAML::convert<bool>::decode(Value, Read))
    fault(Where, std::string("field ") + Field + " must be true or false" +
                     position(Value));
  return Read;
}

void readLimit(const YAML::Node &Limits, const std::string &Where,
               const LimitField &Field, ServiceLimits &Into) {
  YAML::Node Value = Limits[Field.m_Name];
  if (!Value)
    return;
  std::string Label = std::string("field limits.") + Field.m_Name;
  double Number = 0;
  if (!Value.IsScalar() || !YAML::convert<double>::decode(Value, Number) ||
      !std::isfinite(Number))
    fault(Where, Label + " must be a number" + position(Value));
  if (Field.m_Whole && std::floor(Number) != Number)
    fault(Where, Label + " must be a whole number" + position(Value));
  if (Number < Field.m_Low || Number > Field.m_High)
    fault(Where, Label + " is " + numberText(Number) + ", outside " +
                     numberText(Field.m_Low) + " to " +
                     numberText(Field.m_High) + position(Value));
  Field.m_Set(Into, Number);
}

ServiceLimits readLimits(const YAML::Node &Limits, const std::string &Where) {
  ServiceLimits Read;
  if (!Limits)
    return Read;
  checkFields(Limits, Where + ": limits",
              {"slots", "connections", "concurrency", "queue", "timeout_ms",
               "body_bytes", "probes_per_second"});
  for (const LimitField &Field : limitFields())
    readLimit(Limits, Where, Field, Read);
  return Read;
}

/// The label of an entry for messages: by name if it has one, else by place.
std::string labelOf(const YAML::Node &Entry, const char *Kind, size_t Index) {
  if (Entry.IsMap() && Entry["name"] && Entry["name"].IsScalar())
    return entryLabel(Kind, Entry["name"].as<std::string>());
  return std::string(Kind) + " number " + std::to_string(Index + 1);
}

ServiceEntry readService(const YAML::Node &Entry, const std::string &Where) {
  checkFields(Entry, Where, {"name", "owner", "class", "limits"});
  ServiceEntry Read;
  Read.m_Name = readText(Entry, Where, "name");
  Read.m_Owner = readText(Entry, Where, "owner");
  std::string ClassName = readText(Entry, Where, "class");
  auto Class = parseServiceClass(ClassName);
  if (!Class)
    fault(Where, "field class is \"" + ClassName +
                     "\", none of lookup, money, upload" +
                     position(Entry["class"]));
  Read.m_Class = *Class;
  Read.m_Limits = readLimits(Entry["limits"], Where);
  return Read;
}

DataCentreEntry readDataCentre(const YAML::Node &Entry,
                               const std::string &Where) {
  checkFields(Entry, Where, {"name", "region", "in_service"});
  DataCentreEntry Read;
  Read.m_Name = readText(Entry, Where, "name");
  Read.m_Region = readText(Entry, Where, "region");
  Read.m_InService = readBool(Entry, Where, "in_service", true);
  return Read;
}

template <typename Entry, typename ReadEntry>
void readList(const YAML::Node &List, const char *Field, const char *Kind,
              std::map<std::string, Entry> &Into, ReadEntry Read) {
  if (!List || List.IsNull())
    return;
  if (!List.IsSequence())
    fault(Field, "must be a list" + position(List));
  for (size_t I = 0; I < List.size(); ++I) {
    std::string Where = labelOf(List[I], Kind, I);
    Entry Value = Read(List[I], Where);
    std::string Name = Value.m_Name;
    if (!Into.emplace(Name, std::move(Value)).second)
      fault(Where, "the name stands twice" + position(List[I]));
  }
}

void readVmsOut(const YAML::Node &List, std::set<std::string> &Into) {
  if (!List || List.IsNull())
    return;
  if (!List.IsSequence())
    fault("vms_out", "must be a list of names" + position(List));
  for (const YAML::Node &Name : List) {
    if (!Name.IsScalar())
      fault("vms_out", "must be a list of names" + position(Name));
    Into.insert(Name.as<std::string>());
  }
}

uint64_t readVersion(const YAML::Node &Value) {
  uint64_t Version = 0;
  if (Value &&
      (!Value.IsScalar() || !YAML::convert<uint64_t>::decode(Value, Version)))
    fault("version", "must be a whole number" + position(Value));
  return Version;
}

Catalogue readDocument(const YAML::Node &Document) {
  if (Document.IsNull())
    return {};
  checkFields(Document, "document",
              {"version", "services", "data_centres", "vms_out"});
  Catalogue Read;
  Read.m_Version = readVersion(Document["version"]);
  readList(Document["services"], "services", "service", Read.m_Services,
           readService);
  readList(Document["data_centres"], "data_centres", "data centre",
           Read.m_DataCentres, readDataCentre);
  readVmsOut(Document["vms_out"], Read.m_VmsOut);
  return Read;
}

} // namespace

Result<Catalogue> readYaml(std::string_view Text) {
  if (Text.size() > MaxDocumentBytes)
    return fail(ErrorCode::LimitExceeded,
                "document has " + std::to_string(Text.size()) +
                    " bytes, more than " + std::to_string(MaxDocumentBytes));
  try {
    Catalogue Read = readDocument(YAML::Load(std::string(Text)));
    auto Valid = validate(Read);
    if (!Valid)
      return Valid.error();
    return Read;
  } catch (const ReadFault &Fault) {
    return fail(ErrorCode::InvalidInput, Fault.m_Message);
  } catch (const YAML::Exception &Problem) {
    return fail(ErrorCode::InvalidInput,
                "document: " + Problem.msg + " (line " +
                    std::to_string(Problem.mark.line + 1) + ")");
  }
}

} // namespace hyssopcross::catalogue
