#ifndef HYSSOPCROSS_DISPATCH_SERVERS_H
#define HYSSOPCROSS_DISPATCH_SERVERS_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Settings.h"
#include "hyssopcross/dispatch/Policy.h"
#include "hyssopcross/dispatch/RequestLimit.h"
#include "hyssopcross/dispatch/ServiceModel.h"
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross::dispatch {

/// Identifies a backend server in messages between VMs: a hash of its id. Two
/// servers whose keys collide share their reports, which costs performance
/// only; every request names the server it is meant for.
using ServerKey = uint32_t;

/// A backend server as registered in service discovery.
struct ServerRecord {
  std::string m_Id;
  std::string m_Service;
  /// Version of the service that it runs; empty if it states none.
  std::string m_Version;
  Address m_Address;
  std::string m_DataCentre;
  /// Number of requests that it processes concurrently.
  uint32_t m_Slots = 1;
  bool m_Leaving = false;
  /// Remaining warm-up time when the record was written.
  Duration m_ColdFor{};
  /// Distinguishes restarts under the same id.
  int64_t m_Incarnation = 0;
};

/// Load of a server, from a health check or the load header of a response.
struct LoadReport {
  enum class Health { Healthy, Unhealthy, Unreachable };
  Health m_Health = Health::Healthy;
  /// Of an unreachable server: its host refuses connections, so the server has
  /// ended. Otherwise its checks are not answered in time.
  bool m_HasEnded = false;
  uint32_t m_Running = 0;
  uint32_t m_Waiting = 0;
  /// Current service time on its machine relative to normal, in percent.
  uint32_t m_SlowdownPercent = 100;
  Duration m_ColdFor{};
};

/// Requests that one VM has in flight at a server.
struct InFlight {
  VmKey m_Vm = 0;
  uint32_t m_Count = 0;
  TimePoint m_UpdatedAt;
};

/// Drain and refusal state and the request limit that a server has announced in
/// its responses. It is kept while the server is missing from service
/// discovery, where it may be registered again, and applies to one incarnation
/// only.
struct ServerNotice {
  int64_t m_Incarnation = 0;
  /// The server is draining: it receives no further requests, whatever its
  /// record in service discovery says.
  bool m_IsLeaving = false;
  /// End of the period in which it refuses requests from this VM.
  TimePoint m_RefusesUntil{};
  RequestLimit m_Limit;
  TimePoint m_NotedAt{};
};

struct Server {
  ServerRecord m_Record;
  /// Model of the servers of its service; lives as long as the view.
  ServiceModel *m_Model = nullptr;
  ServerKey m_Key = 0;
  LoadReport m_Report;
  /// When the report was made, by the clock of this VM; zero before the first
  /// one.
  TimePoint m_ReportAt{};
  /// Until then the VM that checks this server publishes a speed change at
  /// once, so without an update the last report is still valid.
  TimePoint m_ReportValidUntil{};
  /// When it was first registered here or restarted.
  TimePoint m_ListedAt{};
  /// Time of the last healthy report; zero if it must be confirmed again.
  TimePoint m_ConfirmedAt{};
  TimePoint m_ColdUntil{};
  /// Requests that this VM has sent and that have not ended.
  uint32_t m_OwnInFlight = 0;
  std::vector<InFlight> m_PeerInFlight;
  /// Times of the requests that this VM sent within the last second while the
  /// server was cold or unconfirmed.
  std::deque<TimePoint> m_ColdSends;
  uint32_t m_FailuresInRow = 0;
  uint32_t m_Ejections = 0;
  TimePoint m_EjectedUntil{};
  /// Moving average of the share of attempts, of all VMs, that failed or were
  /// refused.
  double m_FailureRate = 0;
  TimePoint m_OutcomeAt{};
  /// Moving average of the ratio of measured to expected service time.
  double m_ServiceTimeRatio = 1.0;
  /// The registered incarnation has announced in a response that it is
  /// draining.
  bool m_HasAnnouncedDraining = false;
  /// End of the period in which the server refuses requests from this VM, as
  /// announced in its response.
  TimePoint m_RefusesUntil{};
  /// Notice of an incarnation of this server; null if there is none. Lives as
  /// long as the server is registered.
  ServerNotice *m_Notice = nullptr;
  /// This VM normally sends to this server; other servers are used only if no
  /// candidate is usable.
  bool m_IsCandidate = true;
  /// When to remove a server that disappeared from service discovery while the
  /// store was not trusted; it remains in use until then.
  TimePoint m_RemoveAt = TimePoint::max();
};

/// A VM's view of all backend servers. Changed only through the functions below
/// and those of dispatch/Choice.h; performs no I/O.
struct ServerView {
  std::map<std::string, Server, std::less<>> m_Servers;
  std::map<ServerKey, Server *> m_ByKey;
  /// Candidates come first, as of the last partitionCandidatesFirst; servers
  /// added since then are at the end.
  std::map<std::string, std::vector<Server *>, std::less<>> m_ByService;
  /// Data centres that operators have taken out of service.
  std::set<std::string, std::less<>> m_DisabledDataCentres;
  std::string m_OwnDataCentre;
  /// By service; kept while a service has no servers.
  std::map<std::string, ServiceModel, std::less<>> m_Models;
  /// By server id, for servers that are registered or may be registered again.
  std::map<std::string, ServerNotice, std::less<>> m_Notices;
};

ServerKey serverKey(std::string_view Id);

/// Adds a server or updates its record. A changed incarnation or address resets
/// its learned state. Returns false if nothing changed.
bool upsertServer(ServerView &View, const ServerRecord &Record, TimePoint Now);

/// Removes a server. Returns false if it was not known.
bool removeServer(ServerView &View, std::string_view Id);

/// Moves the candidates to the front of each service, so that a choice examines
/// other servers only if no candidate is usable.
void partitionCandidatesFirst(ServerView &View);

/// Takes a data centre out of service or returns it to service. Until a health
/// check confirms them, servers of a returned data centre count as cold.
void setDataCentreDisabled(ServerView &View, std::string_view DataCentre,
                           bool IsDisabled);

/// Records that an incarnation of a server, registered or not, has announced
/// that it is draining. Returns whether this was not known before.
bool recordDraining(ServerView &View, std::string_view Id, int64_t Incarnation,
                    TimePoint Now);

/// Records that an incarnation of a server refuses requests from this VM for a
/// time. Never shortens a refusal that was announced before.
void recordRefusal(ServerView &View, std::string_view Id, int64_t Incarnation,
                   Duration For, TimePoint Now);

/// Applies what a response of an incarnation of a server shows of its request
/// limit. Returns whether the rate has changed.
bool recordLimit(ServerView &View, std::string_view Id, int64_t Incarnation,
                 const LimitObservation &Seen, TimePoint Now);

/// Applies what another VM has learned of a server's request limit. Returns
/// whether the rate has changed.
bool recordPeerLimit(ServerView &View, std::string_view Id, int64_t Incarnation,
                     std::optional<double> PerSecond, TimePoint SaidAt,
                     TimePoint Now);

/// The request limit that the registered incarnation names or has named; null
/// if it never did.
RequestLimit *limitOf(const Server &Target);

/// The request limit that the registered incarnation names now, or null.
RequestLimit *activeLimitOf(const Server &Target);

/// Removes the notices of unregistered servers that are older than the
/// retention time.
void expireNotices(ServerView &View, const DispatchPolicy &Policy,
                   TimePoint Now);

/// Whether a server is draining, by its record or by its own responses.
bool isDraining(const Server &Target);

/// Whether a server may receive requests at all: it is not draining, its data
/// centre is in service, and it was not found unreachable.
bool isInService(const ServerView &View, const Server &Target);

/// Records a report that was made Age ago. Ignored if a later report is known.
void recordReport(Server &Target, const LoadReport &Report, Duration Age,
                  TimePoint Now);

/// Extends the validity of the last report: for this long, its sender publishes
/// any speed change at once.
void extendReportValidity(Server &Target, Duration For, TimePoint Now);

/// The last report of a server that this VM published to its peers.
struct PublishedReport {
  LoadReport m_Report;
  /// Zero before the first one.
  TimePoint m_At{};
};

/// Whether the result of a health check must be published to the other VMs.
enum class CheckResult {
  /// They have the same report, and it is recent enough.
  Known,
  /// Nothing changed, but the published report must be renewed.
  Refresh,
  /// It differs from the published report by more than jitter.
  Change,
};

CheckResult comparePublished(const PublishedReport &Published,
                             const LoadReport &Found,
                             const DispatchPolicy &Policy, TimePoint Now);

/// When a server was last heard of: its last report or its registration.
TimePoint lastHeardAt(const Server &Target);

/// Records how many requests another VM has in flight at a server.
void recordPeerInFlight(Server &Target, VmKey Vm, uint32_t Count,
                        TimePoint Now);

/// Records the outcomes of attempts of this or another VM.
void recordOutcomes(Server &Target, const DispatchPolicy &Policy,
                    uint32_t Succeeded, uint32_t Failed, TimePoint Now);

/// The current share of failed attempts, decayed since the last outcome.
double failureRateOf(const Server &Target, const DispatchPolicy &Policy,
                     TimePoint Now);

/// Removes the in-flight and request counts of a VM that has left the fleet.
void forgetVm(ServerView &View, VmKey Vm);

/// Requests that all VMs together have in flight at a server, as far as known.
uint32_t inFlightAt(const Server &Target, TimePoint Now);

/// Whether a server may have started within its warm-up time: it is known to be
/// cold, or no recent healthy report has confirmed that it is not.
bool isCold(const Server &Target, const DispatchPolicy &Policy, TimePoint Now);

/// The current slowdown in percent, from the last report and its age.
double reportedSlowdown(const Server &Target, const DispatchPolicy &Policy,
                        TimePoint Now);

/// reportedSlowdown, corrected by the service times of the server's own
/// responses and, while the server is cold, by the slowdown of a cold one.
double slowdownOf(const Server &Target, const DispatchPolicy &Policy,
                  TimePoint Now);

} // namespace hyssopcross::dispatch

#endif
