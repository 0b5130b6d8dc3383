#include "Responses.h"
#include "hyssopcross/catalogue/Codec.h"
#include "hyssopcross/catalogue/Editor.h"

namespace hyssopcross::admin {

namespace {

using catalogue::VersionRecord;

constexpr uint64_t DefaultHistory = 10;
constexpr uint64_t MaxHistory = 100;

Result<uint64_t> readHead(AdminContext &Context) {
  auto Row = Context.m_Table->read(catalogue::HeadRowKey);
  if (!Row)
    return Row.error();
  if (!Row.value())
    return uint64_t(0);
  return catalogue::readHeadRow(Row.value()->m_Value);
}

Result<VersionRecord> readVersion(AdminContext &Context, uint64_t Version) {
  auto Row = Context.m_Table->read(catalogue::versionRowKey(Version));
  if (!Row)
    return Row.error();
  if (!Row.value())
    return fail(ErrorCode::NotFound, "version " + std::to_string(Version) +
                                         " does not exist or is no longer "
                                         "kept");
  return catalogue::readVersionRow(Row.value()->m_Value);
}

AdminResponse respondFailure(const Error &Failure) {
  if (Failure.m_Code == ErrorCode::NotFound)
    return respondError(404, "not-found", Failure.m_Message);
  if (Failure.m_Code == ErrorCode::Protocol)
    return respondError(500, "bad-record", Failure.m_Message);
  return storeUnavailable();
}

int64_t toMilliseconds(WallTime Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

Json describe(const VersionRecord &Record) {
  return {{"version", Record.m_Catalogue.m_Version},
          {"change_id", Record.m_ChangeId},
          {"author", Record.m_Author},
          {"at_ms", toMilliseconds(Record.m_At)}};
}

AdminResponse respondRecord(const VersionRecord &Record) {
  Json Body = describe(Record);
  Body["confirmed"] = true;
  Body["catalogue"] = Json::parse(catalogue::writeJson(Record.m_Catalogue));
  return respond(200, Body);
}

/// With the store out of reach, the version in force here, marked so.
AdminResponse respondOwn(AdminContext &Context) {
  catalogue::CatalogueRef Own = Context.m_Current();
  if (!Own)
    return storeUnavailable();
  return respond(200, {{"version", Own->m_Version},
                       {"change_id", ""},
                       {"author", ""},
                       {"at_ms", 0},
                       {"confirmed", false},
                       {"catalogue", Json::parse(catalogue::writeJson(*Own))}});
}

AdminResponse badNumber(std::string_view Name) {
  return respondError(400, "invalid-request",
                      std::string(Name) + " must be a whole number");
}

/// A number of the query, or Default if it is not given; no value if it is
/// malformed.
std::optional<uint64_t> queryNumber(const AdminRequest &Request,
                                    const std::string &Name, uint64_t Default) {
  auto Found = Request.m_Query.find(Name);
  if (Found == Request.m_Query.end())
    return Default;
  return parseNumber(Found->second);
}

Json vmList(const std::vector<catalogue::VmVersion> &Vms) {
  Json List = Json::array();
  for (const catalogue::VmVersion &Vm : Vms)
    List.push_back({{"vm", Vm.m_Vm}, {"version", Vm.m_Version}});
  return List;
}

} // namespace

AdminResponse showCatalogue(AdminContext &Context,
                            const AdminRequest &Request) {
  auto Asked = queryNumber(Request, "version", 0);
  if (!Asked)
    return badNumber("version");
  uint64_t Version = *Asked;
  if (Version == 0) {
    auto Head = readHead(Context);
    if (!Head)
      return respondOwn(Context);
    Version = Head.value();
  }
  if (Version == 0)
    return respondRecord({});
  auto Record = readVersion(Context, Version);
  if (Record)
    return respondRecord(Record.value());
  bool Lost = Record.error().m_Code == ErrorCode::Unavailable;
  if (Lost && *Asked == 0)
    return respondOwn(Context);
  return respondFailure(Record.error());
}

AdminResponse showHistory(AdminContext &Context, const AdminRequest &Request) {
  auto Limit = queryNumber(Request, "limit", DefaultHistory);
  if (!Limit)
    return badNumber("limit");
  auto Head = readHead(Context);
  if (!Head)
    return respondFailure(Head.error());
  Json Versions = Json::array();
  std::optional<VersionRecord> Newer;
  uint64_t Left = std::min(*Limit, MaxHistory);
  for (uint64_t Version = Head.value(); Left > 0; --Version) {
    auto Older = Version == 0 ? Result<VersionRecord>(VersionRecord())
                              : readVersion(Context, Version);
    bool Pruned = !Older && Older.error().m_Code == ErrorCode::NotFound;
    if (!Older && !Pruned)
      return respondFailure(Older.error());
    if (Newer) {
      Json Entry = describe(*Newer);
      Entry["changes"] = Json::array();
      if (!Pruned)
        Entry["changes"] = Json::parse(catalogue::diffJson(
            catalogue::diff(Older.value().m_Catalogue, Newer->m_Catalogue)));
      Versions.push_back(std::move(Entry));
      --Left;
    }
    if (Pruned || Version == 0)
      break;
    Newer = std::move(Older).value();
  }
  return respond(200, {{"versions", std::move(Versions)}});
}

AdminResponse showInForce(AdminContext &Context, const AdminRequest &Request) {
  auto Version = queryNumber(Request, "version", 0);
  if (!Version)
    return badNumber("version");
  bool Confirmed = true;
  if (*Version == 0) {
    auto Head = readHead(Context);
    Confirmed = Head.has_value();
    catalogue::CatalogueRef Own = Context.m_Current();
    Version = Head ? Head.value() : Own ? Own->m_Version : 0;
  }
  catalogue::InForceStatus Status = Context.m_InForce(*Version);
  return respond(200, {{"version", *Version},
                       {"confirmed", Confirmed},
                       {"in_force", Status.m_InForce},
                       {"vms_confirmed", vmList(Status.m_Confirmed)},
                       {"vms_missing", vmList(Status.m_Missing)}});
}

} // namespace hyssopcross::admin
