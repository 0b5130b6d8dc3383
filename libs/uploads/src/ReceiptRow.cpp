#include "ReceiptRow.h"
#include "hyssopcross/uploads/Uploads.h"
#include <charconv>
#include <nlohmann/json.hpp>

namespace hyssopcross::uploads {

namespace {

using nlohmann::json;

constexpr size_t DueDigits = 12;

std::string dump(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<HeldState> parseState(const std::string &Name) {
  for (HeldState State :
       {HeldState::Held, HeldState::Delivered, HeldState::Rejected})
    if (Name == heldStateName(State))
      return State;
  return std::nullopt;
}

Result<Receipt> readFields(const json &Value) {
  auto State = parseState(Value.at("state").get<std::string>());
  if (!State)
    return fail(ErrorCode::Protocol, "upload row has an unknown state");
  Receipt Read;
  Read.m_State = *State;
  Read.m_Head.m_Service = Value.at("service").get<std::string>();
  Read.m_Head.m_Key = Value.at("key").get<std::string>();
  Read.m_Head.m_Method = Value.at("method").get<std::string>();
  Read.m_Head.m_Path = Value.at("path").get<std::string>();
  Read.m_Head.m_ContentType = Value.at("content_type").get<std::string>();
  Read.m_Head.m_Digest = Value.at("digest").get<std::string>();
  Read.m_Head.m_Length = Value.at("length").get<uint64_t>();
  Read.m_Status = Value.at("status").get<uint16_t>();
  Read.m_HeldAt = WallTime(
      std::chrono::microseconds(Value.at("held_at_us").get<int64_t>()));
  Read.m_ObjectKey = Value.at("object").get<std::string>();
  return Read;
}

} // namespace

std::string writeReceipt(const Receipt &Value) {
  const UploadHead &Head = Value.m_Head;
  auto HeldAt = std::chrono::duration_cast<std::chrono::microseconds>(
      Value.m_HeldAt.time_since_epoch());
  return dump({{"state", heldStateName(Value.m_State)},
               {"service", Head.m_Service},
               {"key", Head.m_Key},
               {"method", Head.m_Method},
               {"path", Head.m_Path},
               {"content_type", Head.m_ContentType},
               {"digest", Head.m_Digest},
               {"length", Head.m_Length},
               {"status", Value.m_Status},
               {"held_at_us", HeldAt.count()},
               {"object", Value.m_ObjectKey}});
}

Result<Receipt> readReceipt(std::string_view Value) {
  try {
    return readFields(json::parse(Value));
  } catch (const json::exception &Problem) {
    return fail(ErrorCode::Protocol,
                std::string("upload row: ") + Problem.what());
  }
}

std::string duePrefix(std::string_view Service) {
  return "upload-due/" + std::string(Service) + "/";
}

std::string dueRowKey(std::string_view Service, WallTime Due,
                      std::string_view Key) {
  auto Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(Due.time_since_epoch());
  std::string Digits = std::to_string(Seconds.count());
  if (Digits.size() < DueDigits)
    Digits.insert(0, DueDigits - Digits.size(), '0');
  return duePrefix(Service) + Digits + "/" + std::string(Key);
}

std::optional<WallTime> dueTime(std::string_view Service,
                                std::string_view DueKey) {
  size_t Start = duePrefix(Service).size();
  if (DueKey.size() < Start + DueDigits)
    return std::nullopt;
  std::string_view Digits = DueKey.substr(Start, DueDigits);
  int64_t Seconds = 0;
  auto [End, Failure] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  if (Failure != std::errc() || End != Digits.data() + Digits.size())
    return std::nullopt;
  return WallTime(std::chrono::seconds(Seconds));
}

std::string writeDueRow(const DueRow &Row) {
  return dump({{"key", Row.m_Key}, {"tries", Row.m_Tries}});
}

Result<DueRow> readDueRow(std::string_view Value) {
  try {
    json Read = json::parse(Value);
    return DueRow{Read.at("key").get<std::string>(),
                  Read.at("tries").get<uint32_t>()};
  } catch (const json::exception &Problem) {
    return fail(ErrorCode::Protocol, std::string("due row: ") + Problem.what());
  }
}

} // namespace hyssopcross::uploads
