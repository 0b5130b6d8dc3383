#include "hyssopcross/admin/Admin.h"
#include "Responses.h"
#include "hyssopcross/base/Settings.h"
#include <charconv>

namespace hyssopcross::admin {

namespace {

using PathParts = std::vector<std::string_view>;

/// A path that takes no names.
struct Route {
  std::string_view m_Path;
  std::string_view m_Method;
  AdminResponse (*m_Handle)(AdminContext &, const AdminRequest &);
};

AdminResponse showStatus(AdminContext &Context, const AdminRequest &) {
  return {200, "application/json", Context.m_Status() + "\n"};
}

constexpr Route Routes[] = {
    {"/admin/catalogue", "GET", showCatalogue},
    {"/admin/catalogue", "POST", applyDocument},
    {"/admin/catalogue/history", "GET", showHistory},
    {"/admin/catalogue/status", "GET", showInForce},
    {"/admin/status", "GET", showStatus},
};

AdminResponse wrongMethod(const AdminRequest &Request) {
  return respondError(405, "method-not-allowed",
                      Request.m_Method + " is not allowed on " +
                          Request.m_Path);
}

/// Handles /admin/data-centres/NAME/out|back and /admin/vms/NAME/out|back.
std::optional<AdminResponse> handleNamed(AdminContext &Context,
                                         const AdminRequest &Request,
                                         const PathParts &Parts) {
  if (Parts.size() != 4 || Parts[0] != "admin")
    return std::nullopt;
  bool Out = Parts[3] == "out";
  bool Known = Parts[1] == "data-centres" || Parts[1] == "vms";
  if (!Known || (!Out && Parts[3] != "back"))
    return std::nullopt;
  if (Request.m_Method != "POST")
    return wrongMethod(Request);
  std::string Name(Parts[2]);
  if (Parts[1] == "vms")
    return setVm(Context, Request, Name, Out);
  return setDataCentre(Context, Request, Name, !Out);
}

} // namespace

AdminResponse handleAdmin(AdminContext &Context, const AdminRequest &Request) {
  bool PathKnown = false;
  for (const Route &Each : Routes) {
    if (Each.m_Path != Request.m_Path)
      continue;
    if (Each.m_Method == Request.m_Method)
      return Each.m_Handle(Context, Request);
    PathKnown = true;
  }
  if (PathKnown)
    return wrongMethod(Request);
  auto Named = handleNamed(Context, Request, splitList(Request.m_Path, '/'));
  if (Named)
    return *Named;
  return respondError(404, "not-found", "no such path: " + Request.m_Path);
}

std::optional<uint64_t> parseNumber(std::string_view Text) {
  uint64_t Number = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Failure != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

} // namespace hyssopcross::admin
