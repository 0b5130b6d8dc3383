#include "Names.h"
#include "hyssopcross/catalogue/Codec.h"
#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace hyssopcross::catalogue {

namespace {

using Json = nlohmann::ordered_json;

Json limitsJson(const ServiceLimits &Limits) {
  Json Value = Json::object();
  for (const LimitField &Field : limitFields()) {
    double Number = Field.m_Get(Limits);
    if (Field.m_Whole)
      Value[Field.m_Name] = static_cast<uint64_t>(Number);
    else
      Value[Field.m_Name] = Number;
  }
  return Value;
}

void emitService(YAML::Emitter &Out, const ServiceEntry &Entry) {
  Out << YAML::BeginMap;
  Out << YAML::Key << "name" << YAML::Value << Entry.m_Name;
  Out << YAML::Key << "owner" << YAML::Value << Entry.m_Owner;
  Out << YAML::Key << "class" << YAML::Value << serviceClassName(Entry.m_Class);
  Out << YAML::Key << "limits" << YAML::Value << YAML::BeginMap;
  for (const LimitField &Field : limitFields())
    Out << YAML::Key << Field.m_Name << YAML::Value
        << numberText(Field.m_Get(Entry.m_Limits));
  Out << YAML::EndMap << YAML::EndMap;
}

void emitDataCentre(YAML::Emitter &Out, const DataCentreEntry &Entry) {
  Out << YAML::BeginMap;
  Out << YAML::Key << "name" << YAML::Value << Entry.m_Name;
  Out << YAML::Key << "region" << YAML::Value << Entry.m_Region;
  Out << YAML::Key << "in_service" << YAML::Value << Entry.m_InService;
  Out << YAML::EndMap;
}

} // namespace

std::string writeYaml(const Catalogue &Value) {
  YAML::Emitter Out;
  Out << YAML::BeginMap;
  Out << YAML::Key << "version" << YAML::Value << Value.m_Version;
  Out << YAML::Key << "services" << YAML::Value << YAML::BeginSeq;
  for (const auto &[Name, Entry] : Value.m_Services)
    emitService(Out, Entry);
  Out << YAML::EndSeq;
  Out << YAML::Key << "data_centres" << YAML::Value << YAML::BeginSeq;
  for (const auto &[Name, Entry] : Value.m_DataCentres)
    emitDataCentre(Out, Entry);
  Out << YAML::EndSeq;
  Out << YAML::Key << "vms_out" << YAML::Value << YAML::BeginSeq;
  for (const std::string &Name : Value.m_VmsOut)
    Out << Name;
  Out << YAML::EndSeq << YAML::EndMap;
  return std::string(Out.c_str()) + "\n";
}

std::string writeJson(const Catalogue &Value) {
  Json Services = Json::array();
  for (const auto &[Name, Entry] : Value.m_Services)
    Services.push_back({{"name", Entry.m_Name},
                        {"owner", Entry.m_Owner},
                        {"class", serviceClassName(Entry.m_Class)},
                        {"limits", limitsJson(Entry.m_Limits)}});
  Json DataCentres = Json::array();
  for (const auto &[Name, Entry] : Value.m_DataCentres)
    DataCentres.push_back({{"name", Entry.m_Name},
                           {"region", Entry.m_Region},
                           {"in_service", Entry.m_InService}});
  Json Document = {{"version", Value.m_Version},
                   {"services", std::move(Services)},
                   {"data_centres", std::move(DataCentres)},
                   {"vms_out", Value.m_VmsOut}};
  return Document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Catalogue> readJson(std::string_view Text) {
  if (Text.size() <= MaxDocumentBytes && !Json::accept(Text))
    return fail(ErrorCode::InvalidInput, "document: not valid JSON");
  return readYaml(Text);
}

} // namespace hyssopcross::catalogue
