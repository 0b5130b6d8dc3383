#ifndef HYSSOPCROSS_ADMIN_ADMIN_H
#define HYSSOPCROSS_ADMIN_ADMIN_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/catalogue/Follower.h"
#include "hyssopcross/catalogue/InForce.h"
#include "hyssopcross/store/Ports.h"
#include <functional>

namespace hyssopcross::admin {

/// A request of an operator, as the HTTP server received it.
struct AdminRequest {
  std::string m_Method;
  /// The decoded path, starting with /admin.
  std::string m_Path;
  std::map<std::string, std::string> m_Query;
  std::string m_Body;
};

/// The answer to an operator. The body is JSON.
struct AdminResponse {
  uint16_t m_Status = 200;
  std::string m_ContentType = "application/json";
  std::string m_Body;
};

/// What the handling of operator requests needs of its host. The host keeps
/// the ports alive; the functions must be safe from any thread that calls
/// handleAdmin().
struct AdminContext {
  store::Table *m_Table = nullptr;
  const Clock *m_Clock = nullptr;
  /// Waits between two tries at the store.
  std::function<void(Duration)> m_Pause;
  /// The version in force on this VM; none before the first.
  std::function<catalogue::CatalogueRef()> m_Current;
  /// Told of each version that this VM has committed, to put it in force.
  std::function<void(catalogue::CatalogueRef)> m_Accepted;
  /// Which live entry VMs have confirmed a version.
  std::function<catalogue::InForceStatus(uint64_t)> m_InForce;
  /// Members, pools and leases as a JSON object.
  std::function<std::string()> m_Status;
  /// How long a change may take, and how many versions are kept.
  Duration m_ChangeTimeout = std::chrono::seconds(5);
  uint64_t m_KeepVersions = 5000;
};

/// Answers one request. Blocks while the store does, a change for at most
/// about the change timeout and one request to the store more. Safe from any
/// thread if the context's functions are. An error is JSON with a stable code
/// and a message. docs/ADMIN-API.md lists the requests.
AdminResponse handleAdmin(AdminContext &Context, const AdminRequest &Request);

} // namespace hyssopcross::admin

#endif
