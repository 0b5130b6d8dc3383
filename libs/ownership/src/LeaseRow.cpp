#include "hyssopcross/ownership/LeaseRow.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::ownership {

namespace {

using Json = nlohmann::json;

const char *rowStateName(RowState State) {
  switch (State) {
  case RowState::Held:
    return "held";
  case RowState::Offered:
    return "offered";
  case RowState::Free:
    return "free";
  }
  return "free";
}

RowState parseRowState(const std::string &Name) {
  if (Name == "held")
    return RowState::Held;
  if (Name == "offered")
    return RowState::Offered;
  if (Name == "free")
    return RowState::Free;
  throw std::invalid_argument("lease state \"" + Name + "\" is not known");
}

LeaseRow fromJson(const Json &Object) {
  LeaseRow Row;
  Row.m_State = parseRowState(Object.at("state").get<std::string>());
  Object.at("owner").get_to(Row.m_Owner);
  Object.at("incarnation").get_to(Row.m_Incarnation);
  Object.at("epoch").get_to(Row.m_Epoch);
  Object.at("renewal").get_to(Row.m_Renewal);
  Object.at("nonce").get_to(Row.m_Nonce);
  Object.at("peer").get_to(Row.m_PeerAddress);
  Row.m_TimeToLive =
      std::chrono::milliseconds(Object.at("ttl_ms").get<uint32_t>());
  Row.m_Extension =
      std::chrono::milliseconds(Object.at("extension_ms").get<uint32_t>());
  for (const Json &Named : Object.at("electors"))
    Row.m_Electors.push_back({Named.at("vm").get<std::string>(),
                              Named.at("incarnation").get<uint64_t>()});
  return Row;
}

} // namespace

std::string leaseKey(const PoolId &Pool) {
  return "lease/" + Pool.m_Service + "/" + Pool.m_DataCentre;
}

std::string encodeLeaseRow(const LeaseRow &Row) {
  Json Electors = Json::array();
  for (const Elector &Named : Row.m_Electors)
    Electors.push_back(
        {{"vm", Named.m_Name}, {"incarnation", Named.m_Incarnation}});
  Json Object = {{"state", rowStateName(Row.m_State)},
                 {"owner", Row.m_Owner},
                 {"incarnation", Row.m_Incarnation},
                 {"epoch", Row.m_Epoch},
                 {"renewal", Row.m_Renewal},
                 {"nonce", Row.m_Nonce},
                 {"peer", Row.m_PeerAddress},
                 {"ttl_ms", Row.m_TimeToLive.count()},
                 {"extension_ms", Row.m_Extension.count()},
                 {"electors", std::move(Electors)}};
  return Object.dump();
}

Result<LeaseRow> parseLeaseRow(std::string_view Text) {
  try {
    return fromJson(Json::parse(Text));
  } catch (const std::exception &Problem) {
    return fail(ErrorCode::Protocol,
                std::string("lease row: ") + Problem.what());
  }
}

} // namespace hyssopcross::ownership
