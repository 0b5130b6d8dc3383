#ifndef HYSSOPCROSS_DISPATCH_SERVERS_H
#define HYSSOPCROSS_DISPATCH_SERVERS_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Settings.h"
#include "hyssopcross/dispatch/Policy.h"
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

/// Names a backend server in messages between VMs: a hash of its id. Two
/// servers with one key would share their reports, which costs speed only;
/// every request names the server it is meant for.
using ServerKey = uint32_t;
/// Names an entry VM in messages: a hash of its name and address.
using VmKey = uint32_t;

/// A backend server as service discovery names it.
struct ServerRecord {
  std::string m_Id;
  std::string m_Service;
  Address m_Address;
  std::string m_DataCentre;
  /// Requests that it works on at a time.
  uint32_t m_Slots = 1;
  bool m_Leaving = false;
  /// How much longer it was cold when the record was written.
  Duration m_ColdFor{};
  /// Distinguishes starts under the same id.
  int64_t m_Incarnation = 0;
};

/// What a health check, or the load header of an answer, told.
struct LoadReport {
  enum class Health { Healthy, Unhealthy, Unreachable };
  Health m_Health = Health::Healthy;
  uint32_t m_Running = 0;
  uint32_t m_Waiting = 0;
  /// How long work takes on its machine now; 100 is usual.
  uint32_t m_SlowdownPercent = 100;
  Duration m_ColdFor{};
};

/// Requests that one VM has in flight at a server.
struct InFlight {
  VmKey m_Vm = 0;
  uint32_t m_Count = 0;
  TimePoint m_UpdatedAt;
};

/// What a server has said of itself in its answers. It outlives the server's
/// listing, which may lapse and come back, and ends with its incarnation.
struct ServerNotice {
  int64_t m_Incarnation = 0;
  /// It leaves: it gets nothing more, whatever its listing says.
  bool m_IsLeaving = false;
  /// Until when it wants no requests from this VM.
  TimePoint m_RefusesUntil{};
  TimePoint m_NotedAt{};
};

struct Server {
  ServerRecord m_Record;
  /// What was learned of its service's servers; lives as long as the view.
  ServiceModel *m_Model = nullptr;
  ServerKey m_Key = 0;
  LoadReport m_Report;
  /// When the report arrived here; zero before the first one.
  TimePoint m_ReportAt{};
  /// Until when whoever checks it tells at once if its speed changes: silence
  /// means that the report holds.
  TimePoint m_ReportValidUntil{};
  /// When it was first listed here, or started anew.
  TimePoint m_ListedAt{};
  /// When a healthy report last arrived.
  TimePoint m_ConfirmedAt{};
  TimePoint m_ColdUntil{};
  /// Sent by this VM and not ended.
  uint32_t m_OwnInFlight = 0;
  std::vector<InFlight> m_PeerInFlight;
  /// This VM's recent sends while the server was cold or unconfirmed.
  std::deque<TimePoint> m_ColdSends;
  uint32_t m_FailuresInRow = 0;
  uint32_t m_Ejections = 0;
  TimePoint m_EjectedUntil{};
  /// Moving average of attempts, of all VMs, that failed or were refused.
  double m_FailureRate = 0;
  TimePoint m_OutcomeAt{};
  /// Moving average of measured over expected service time.
  double m_ServiceTimeRatio = 1.0;
  /// The incarnation of the record has said in an answer that it leaves.
  bool m_HasAnnouncedDraining = false;
  /// Until when it wants no requests from this VM, by its own refusal.
  TimePoint m_RefusesUntil{};
  /// This VM sends to it as a rule; otherwise only if it must.
  bool m_IsCandidate = true;
  /// Removed from the list while the store's answers could not be trusted;
  /// still used until then.
  TimePoint m_RemoveAt = TimePoint::max();
};

/// All that a VM believes of the backend servers. Changed only through the
/// functions below and dispatch/Choice.h; no I/O.
struct ServerView {
  std::map<std::string, Server, std::less<>> m_Servers;
  std::map<ServerKey, Server *> m_ByKey;
  /// Candidates come first, as of partitionCandidatesFirst; what was listed
  /// since then comes last.
  std::map<std::string, std::vector<Server *>, std::less<>> m_ByService;
  /// Data centres whose servers operators have taken out.
  std::set<std::string, std::less<>> m_DisabledDataCentres;
  std::string m_OwnDataCentre;
  /// By service; kept while a service has no servers.
  std::map<std::string, ServiceModel, std::less<>> m_Models;
  /// By server id, for servers that are listed or may be listed again.
  std::map<std::string, ServerNotice, std::less<>> m_Notices;
};

/// The key of a server id.
ServerKey serverKey(std::string_view Id);

/// Adds a server, or takes in a change of its record. A changed incarnation or
/// address forgets what was learned. Returns false if nothing changed.
bool upsertServer(ServerView &View, const ServerRecord &Record, TimePoint Now);

/// Forgets a server. Returns false if it was not known.
bool removeServer(ServerView &View, std::string_view Id);

/// Puts the servers that this VM sends to as a rule first, so that a choice
/// looks at no others as long as one of them can serve.
void partitionCandidatesFirst(ServerView &View);

/// Takes a data centre out, or back in. Servers that come back are confirmed
/// by a health check before they get more than a cold server.
void setDataCentreDisabled(ServerView &View, std::string_view DataCentre,
                           bool Out);

/// Takes in that an incarnation of a server has said that it leaves. Returns
/// whether this changes what is believed of a listed server.
bool recordDraining(ServerView &View, std::string_view Id, int64_t Incarnation,
                    TimePoint Now);

/// Takes in that an incarnation of a server wants no requests from this VM for
/// a time. A longer time that was told before stays.
void recordRefusal(ServerView &View, std::string_view Id, int64_t Incarnation,
                   Duration For, TimePoint Now);

/// Drops what servers said that are not listed and can no longer come back.
void expireNotices(ServerView &View, const DispatchPolicy &Policy,
                   TimePoint Now);

/// Whether a server leaves, by its listing or its own answers.
bool isDraining(const Server &Target);

/// Whether a server can get requests at all: it does not leave, its data centre
/// is in service, and it was not found unreachable.
bool isInService(const ServerView &View, const Server &Target);

/// Takes in a report that is Age old.
void recordReport(Server &Target, const LoadReport &Report, Duration Age,
                  TimePoint Now);

/// Takes in a promise, given with a report: for so long its teller tells at
/// once if the speed changes.
void extendReportValidity(Server &Target, Duration For, TimePoint Now);

/// The last report of a server that a VM told others.
struct PublishedReport {
  LoadReport m_Report;
  /// Zero before the first one.
  TimePoint m_At{};
};

/// What a check's result is to other VMs.
enum class CheckResult {
  /// They know it.
  Known,
  /// Nothing changed, but what they were told is no longer fresh.
  Refresh,
  /// It differs from what they were told by more than jitter.
  Change,
};

CheckResult comparePublished(const PublishedReport &Told,
                             const LoadReport &Found,
                             const DispatchPolicy &Policy, TimePoint Now);

/// Since when nothing was heard of a server.
TimePoint lastHeardAt(const Server &Target);

/// Takes in how many requests another VM has in flight at a server.
void recordPeerInFlight(Server &Target, VmKey Vm, uint32_t Count,
                        TimePoint Now);

/// Takes in how attempts of this or another VM ended.
void recordOutcomes(Server &Target, const DispatchPolicy &Policy,
                    uint32_t Succeeded, uint32_t Failed, TimePoint Now);

/// The share of attempts that fail at present, as far as known.
double failureRateOf(const Server &Target, const DispatchPolicy &Policy,
                     TimePoint Now);

/// Forgets what a VM that is gone had in flight.
void forgetVm(ServerView &View, VmKey Vm);

/// Requests that all VMs together have in flight at a server, as far as known.
uint32_t inFlightAt(const Server &Target, TimePoint Now);

/// Whether a server may have started within its warm-up time, or has not
/// confirmed that it has not.
bool isCold(const Server &Target, const DispatchPolicy &Policy, TimePoint Now);

/// The present slowdown in percent, from the last report and its age.
double reportedSlowdown(const Server &Target, const DispatchPolicy &Policy,
                        TimePoint Now);

/// The same times what the server's own answers add to it.
double slowdownOf(const Server &Target, const DispatchPolicy &Policy,
                  TimePoint Now);

} // namespace hyssopcross::dispatch

#endif
