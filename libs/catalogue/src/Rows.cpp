#include "hyssopcross/catalogue/Codec.h"
#include "hyssopcross/catalogue/Editor.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::catalogue {

namespace {

using Json = nlohmann::json;

int64_t toMicroseconds(WallTime Time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Time.time_since_epoch())
      .count();
}

Result<VersionRecord> readRecord(const Json &Value) {
  auto Document = readJson(Value.at("catalogue").get<std::string>());
  if (!Document)
    return fail(ErrorCode::Protocol,
                "version row: " + Document.error().m_Message);
  VersionRecord Record;
  Record.m_ChangeId = Value.at("change_id").get<std::string>();
  Record.m_Author = Value.at("author").get<std::string>();
  Record.m_At =
      WallTime(std::chrono::microseconds(Value.at("at_us").get<int64_t>()));
  Record.m_Catalogue = std::move(Document).value();
  return Record;
}

} // namespace

std::string versionRowKey(uint64_t Version) {
  // Fixed width, so that the rows stand in order.
  std::string Digits = std::to_string(Version);
  constexpr size_t Width = 12;
  if (Digits.size() < Width)
    Digits.insert(0, Width - Digits.size(), '0');
  return "catalogue/version/" + Digits;
}

std::string changeRowKey(std::string_view ChangeId) {
  return "catalogue/change/" + std::string(ChangeId);
}

std::string writeVersionRow(const VersionRecord &Record) {
  Json Value = {{"change_id", Record.m_ChangeId},
                {"author", Record.m_Author},
                {"at_us", toMicroseconds(Record.m_At)},
                {"catalogue", writeJson(Record.m_Catalogue)}};
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<VersionRecord> readVersionRow(std::string_view Value) {
  try {
    return readRecord(Json::parse(Value));
  } catch (const Json::exception &Problem) {
    return fail(ErrorCode::Protocol,
                std::string("version row: ") + Problem.what());
  }
}

std::string writeHeadRow(uint64_t Version) {
  return Json{{"version", Version}}.dump();
}

Result<uint64_t> readHeadRow(std::string_view Value) {
  try {
    return Json::parse(Value).at("version").get<uint64_t>();
  } catch (const Json::exception &Problem) {
    return fail(ErrorCode::Protocol,
                std::string("head row: ") + Problem.what());
  }
}

} // namespace hyssopcross::catalogue
