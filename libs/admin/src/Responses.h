#ifndef HYSSOPCROSS_ADMIN_RESPONSES_H
#define HYSSOPCROSS_ADMIN_RESPONSES_H

#include "hyssopcross/admin/Admin.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::admin {

using Json = nlohmann::ordered_json;

/// A JSON text; bytes that are not UTF-8 are replaced.
inline std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

inline AdminResponse respond(uint16_t Status, const Json &Body) {
  return {Status, "application/json", dump(Body) + "\n"};
}

inline AdminResponse respondError(uint16_t Status, std::string_view Code,
                                  std::string_view Message) {
  return respond(Status, {{"code", Code}, {"message", Message}});
}

inline AdminResponse storeUnavailable() {
  return respondError(503, "store-unavailable",
                      "the platform's table was not reached; try again");
}

/// A whole number of a query or path; no value if it is none.
std::optional<uint64_t> parseNumber(std::string_view Text);

// Queries.cpp

AdminResponse showCatalogue(AdminContext &Context, const AdminRequest &Request);
AdminResponse showHistory(AdminContext &Context, const AdminRequest &Request);
AdminResponse showInForce(AdminContext &Context, const AdminRequest &Request);

// Changes.cpp

AdminResponse applyDocument(AdminContext &Context, const AdminRequest &Request);
AdminResponse setDataCentre(AdminContext &Context, const AdminRequest &Request,
                            const std::string &Name, bool InService);
AdminResponse setVm(AdminContext &Context, const AdminRequest &Request,
                    const std::string &Name, bool Out);

// Pruning.cpp

/// Removes the version that is Keep versions older than Accepted, and a few
/// before it that an earlier failure may have left. Failures are ignored.
void pruneVersions(store::Table &Table, uint64_t Accepted, uint64_t Keep);

} // namespace hyssopcross::admin

#endif
