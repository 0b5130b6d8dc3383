#include "hyssopcross/store/Wire.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::store {

namespace {

using Json = nlohmann::json;

std::string write(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Parses Text and hands the value to Read, whose exceptions on missing or
/// wrong members become errors.
template <typename Value, typename Reader>
Result<Value> decode(std::string_view Text, const char *What, Reader Read) {
  try {
    return Read(Json::parse(Text));
  } catch (const Json::exception &Failure) {
    return fail(ErrorCode::Protocol,
                std::string("unreadable ") + What + ": " + Failure.what());
  }
}

Json toJson(const Row &Row) {
  return {{"value", Row.m_Value}, {"version", Row.m_Version}};
}

Row toRow(const Json &Value) {
  return {Value.at("value").get<std::string>(),
          Value.at("version").get<uint64_t>()};
}

Json toJson(const Write &Write) {
  Json Value{{"key", Write.m_Key},
             {"expected_version", Write.m_ExpectedVersion}};
  Value["value"] = Write.m_Value ? Json(*Write.m_Value) : Json(nullptr);
  return Value;
}

Write toWrite(const Json &Value) {
  Write Read;
  Read.m_Key = Value.at("key").get<std::string>();
  Read.m_ExpectedVersion = Value.at("expected_version").get<uint64_t>();
  if (!Value.at("value").is_null())
    Read.m_Value = Value.at("value").get<std::string>();
  return Read;
}

Json toJson(const VmRecord &Vm) {
  return {{"name", Vm.m_Name},
          {"role", Vm.m_Role == VmRole::Entry ? "entry" : "backend"},
          {"state", Vm.m_State == VmState::Live ? "live" : "leaving"},
          {"data_centre", Vm.m_DataCentre},
          {"address", Vm.m_Address},
          {"peer_address", Vm.m_PeerAddress},
          {"service", Vm.m_Service}};
}

/// The value of the first or second of two names.
template <typename Enum>
Enum toEnum(const Json &Value, const char *First, Enum IfFirst,
            const char *Second, Enum IfSecond) {
  auto Name = Value.get<std::string>();
  if (Name == First)
    return IfFirst;
  if (Name == Second)
    return IfSecond;
  throw Json::other_error::create(
      501, "\"" + Name + "\" is neither " + First + " nor " + Second, &Value);
}

VmRecord toVm(const Json &Value) {
  VmRecord Vm;
  Vm.m_Name = Value.at("name").get<std::string>();
  Vm.m_Role = toEnum(Value.at("role"), "entry", VmRole::Entry, "backend",
                     VmRole::Backend);
  Vm.m_State = toEnum(Value.at("state"), "live", VmState::Live, "leaving",
                      VmState::Leaving);
  Vm.m_DataCentre = Value.at("data_centre").get<std::string>();
  Vm.m_Address = Value.at("address").get<std::string>();
  Vm.m_PeerAddress = Value.value("peer_address", "");
  Vm.m_Service = Value.value("service", "");
  return Vm;
}

} // namespace

std::string encodeRow(const Row &Row) { return write(toJson(Row)); }

Result<Row> decodeRow(std::string_view Text) {
  return decode<Row>(Text, "row", toRow);
}

std::string encodeRows(const std::map<std::string, Row> &Rows) {
  Json List = Json::array();
  for (const auto &[Key, Row] : Rows) {
    Json Value = toJson(Row);
    Value["key"] = Key;
    List.push_back(std::move(Value));
  }
  return write({{"rows", std::move(List)}});
}

Result<std::map<std::string, Row>> decodeRows(std::string_view Text) {
  using Rows = std::map<std::string, Row>;
  return decode<Rows>(Text, "rows", [](const Json &Value) {
    Rows Read;
    for (const Json &Item : Value.at("rows"))
      Read[Item.at("key").get<std::string>()] = toRow(Item);
    return Read;
  });
}

Result<std::string> encodeWrites(std::span<const Write> Writes) {
  Json List = Json::array();
  for (const Write &Write : Writes)
    List.push_back(toJson(Write));
  try {
    return Json{{"writes", std::move(List)}}.dump();
  } catch (const Json::type_error &) {
    return fail(ErrorCode::InvalidInput,
                "a key or value of the transaction is not UTF-8");
  }
}

Result<std::vector<Write>> decodeWrites(std::string_view Text) {
  using Writes = std::vector<Write>;
  return decode<Writes>(Text, "writes", [](const Json &Value) {
    Writes Read;
    for (const Json &Item : Value.at("writes"))
      Read.push_back(toWrite(Item));
    return Read;
  });
}

std::string encodeCommitResult(CommitResult Committed) {
  bool Took = Committed == CommitResult::Committed;
  return write({{"result", Took ? "committed" : "conflict"}});
}

Result<CommitResult> decodeCommitResult(std::string_view Text) {
  return decode<CommitResult>(Text, "commit result", [](const Json &Value) {
    return toEnum(Value.at("result"), "committed", CommitResult::Committed,
                  "conflict", CommitResult::Conflict);
  });
}

std::string encodeKeys(std::span<const std::string> Keys) {
  Json List = Json::array();
  for (const std::string &Key : Keys)
    List.push_back(Key);
  return write({{"keys", std::move(List)}});
}

Result<std::vector<std::string>> decodeKeys(std::string_view Text) {
  using Keys = std::vector<std::string>;
  return decode<Keys>(Text, "keys", [](const Json &Value) {
    return Value.at("keys").get<Keys>();
  });
}

std::string encodeVms(std::span<const VmRecord> Vms) {
  Json List = Json::array();
  for (const VmRecord &Vm : Vms)
    List.push_back(toJson(Vm));
  return write({{"vms", std::move(List)}});
}

Result<std::vector<VmRecord>> decodeVms(std::string_view Text) {
  using Vms = std::vector<VmRecord>;
  return decode<Vms>(Text, "list of VMs", [](const Json &Value) {
    Vms Read;
    for (const Json &Item : Value.at("vms"))
      Read.push_back(toVm(Item));
    return Read;
  });
}

std::string encodeVm(const VmRecord &Vm) { return write(toJson(Vm)); }

Result<VmRecord> decodeVm(std::string_view Text) {
  return decode<VmRecord>(Text, "VM", toVm);
}

} // namespace hyssopcross::store
