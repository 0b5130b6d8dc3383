#include "ClaimRow.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::claims {

namespace {

using nlohmann::json;

const char *stateName(RowState State) {
  switch (State) {
  case RowState::Claimed:
    return "claimed";
  case RowState::Done:
    return "done";
  case RowState::Released:
    return "released";
  }
  return "claimed";
}

std::optional<RowState> parseState(const std::string &Name) {
  for (RowState State : {RowState::Claimed, RowState::Done, RowState::Released})
    if (Name == stateName(State))
      return State;
  return std::nullopt;
}

int64_t toMicroseconds(WallTime Time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Time.time_since_epoch())
      .count();
}

Result<ClaimRow> readFields(const json &Value) {
  ClaimRow Row;
  Row.m_Digest = Value.at("digest").get<std::string>();
  Row.m_Attempt = Value.at("attempt").get<std::string>();
  Row.m_Deadline = WallTime(
      std::chrono::microseconds(Value.at("deadline_us").get<int64_t>()));
  auto State = parseState(Value.at("state").get<std::string>());
  if (!State)
    return fail(ErrorCode::Protocol, "claim row has an unknown state");
  Row.m_State = *State;
  if (*State != RowState::Done)
    return Row;
  Row.m_Answer.m_Status = Value.at("status").get<uint16_t>();
  Row.m_Answer.m_ContentType = Value.at("content_type").get<std::string>();
  if (Value.contains("object"))
    Row.m_ObjectKey = Value.at("object").get<std::string>();
  else
    Row.m_Answer.m_Body = Value.at("body").get<std::string>();
  return Row;
}

} // namespace

std::string writeRow(const ClaimRow &Row) {
  json Value = {{"digest", Row.m_Digest},
                {"attempt", Row.m_Attempt},
                {"deadline_us", toMicroseconds(Row.m_Deadline)},
                {"state", stateName(Row.m_State)}};
  if (Row.m_State == RowState::Done) {
    Value["status"] = Row.m_Answer.m_Status;
    Value["content_type"] = Row.m_Answer.m_ContentType;
    if (Row.m_ObjectKey.empty())
      Value["body"] = Row.m_Answer.m_Body;
    else
      Value["object"] = Row.m_ObjectKey;
  }
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ClaimRow> readRow(std::string_view Value) {
  try {
    return readFields(json::parse(Value));
  } catch (const json::exception &Problem) {
    return fail(ErrorCode::Protocol,
                std::string("claim row: ") + Problem.what());
  }
}

bool isUtf8(const std::string &Text) {
  try {
    (void)json(Text).dump();
    return true;
  } catch (const json::exception &) {
    return false;
  }
}

} // namespace hyssopcross::claims
