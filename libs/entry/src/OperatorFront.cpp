#include "hyssopcross/entry/OperatorFront.h"
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <thread>

namespace hyssopcross::entry {

namespace {

/// Operators' requests that wait for the store at once.
constexpr unsigned OperatorThreads = 4;

/// Operators' requests that wait for a thread.
constexpr size_t MaxWaiting = 64;

admin::AdminRequest toAdmin(const http::Request &Request) {
  std::string_view Target = http::toView(Request.target());
  std::string_view Path = http::pathOf(Target);
  std::string_view Query =
      Target.substr(std::min(Path.size() + 1, Target.size()));
  admin::AdminRequest Made;
  Made.m_Method = std::string(http::toView(Request.method_string()));
  Made.m_Path = http::percentDecoded(Path);
  for (std::string_view Part : splitList(Query, '&')) {
    size_t Equals = std::min(Part.find('='), Part.size());
    std::string_view Value = Part.substr(std::min(Equals + 1, Part.size()));
    Made.m_Query[http::percentDecoded(Part.substr(0, Equals))] =
        http::percentDecoded(Value);
  }
  Made.m_Body = Request.body();
  return Made;
}

const char *standingName(LeaseStanding Standing) {
  switch (Standing) {
  case LeaseStanding::Confirmed:
    return "confirmed";
  case LeaseStanding::Unconfirmed:
    return "unconfirmed";
  case LeaseStanding::NotOwner:
    break;
  }
  return "not-owner";
}

std::string poolName(const balancing::PoolId &Pool) {
  return Pool.m_Service + "/" + Pool.m_DataCentre;
}

} // namespace

OperatorFront::OperatorFront(const Clock &Time, boost::asio::io_context &Loop,
                             store::Table &Table, Control &Routing,
                             Pools &Served, ClaimsHost &Claims,
                             Metrics &Figures)
    : m_Loop(Loop), m_Control(Routing), m_Pools(Served), m_Claims(Claims),
      m_Metrics(Figures),
      m_Threads(std::make_unique<Workers>(OperatorThreads)) {
  m_Context.m_Table = &Table;
  m_Context.m_Clock = &Time;
  m_Context.m_Pause = [](Duration Pause) {
    std::this_thread::sleep_for(Pause);
  };
  m_Context.m_Current = [this] { return m_Control.currentCatalogue(); };
  m_Context.m_Accepted = [this](catalogue::CatalogueRef Version) {
    m_Control.accepted(std::move(Version));
  };
  m_Context.m_InForce = [this](uint64_t Version) {
    return m_Control.inForceStatus(Version);
  };
  m_Context.m_Status = [this] { return status(); };
}

void OperatorFront::handle(const std::shared_ptr<http::Exchange> &Asked) {
  bool Posted = m_Threads->post(
      [this, Asked] {
        http::Response Answer = answer(Asked->m_Request);
        boost::asio::post(m_Loop, [Asked, Answer = std::move(Answer)] {
          Asked->answer(Answer);
        });
      },
      MaxWaiting);
  if (!Posted)
    Asked->answer(http::makeResponse(503, "too many requests wait\n"));
}

http::Response OperatorFront::answer(const http::Request &Request) {
  if (http::pathOf(http::toView(Request.target())) == "/metrics")
    return answerMetrics();
  admin::AdminResponse Answer = admin::handleAdmin(m_Context, toAdmin(Request));
  return http::makeResponse(Answer.m_Status, Answer.m_Body,
                            Answer.m_ContentType);
}

http::Response OperatorFront::answerMetrics() {
  updateGauges();
  return http::makeResponse(200, m_Metrics.serialize(),
                            "text/plain; version=0.0.4");
}

std::string OperatorFront::status() {
  nlohmann::json Document;
  Document["takes_work"] = m_Control.takesWork();
  membership::View Members = m_Control.members();
  Document["vm"] = Members.m_Self;
  Document["view_current"] = Members.m_Fresh;
  for (const membership::MemberView &Each : Members.m_Members)
    Document["members"].push_back(
        {{"name", Each.m_Info.m_Name},
         {"data_centre", Each.m_Info.m_DataCentre},
         {"address", Each.m_Info.m_Address},
         {"status", membership::vmStatusName(Each.m_Status)}});
  for (const auto &[Id, Host] : m_Pools.all()) {
    balancing::PoolFigures Figures = Host->figures();
    Document["pools"].push_back(
        {{"service", Id.m_Service},
         {"data_centre", Id.m_DataCentre},
         {"lease", standingName(m_Control.standing(Id))},
         {"queued", Figures.m_Queued},
         {"in_flight", Figures.m_InFlight},
         {"servers", Figures.m_Servers}});
  }
  for (const auto &[Id, Owner] : m_Control.routing()->m_Owners.m_Owners)
    Document["owners"].push_back({{"service", Id.m_Service},
                                  {"data_centre", Id.m_DataCentre},
                                  {"owner", Owner.m_Owner},
                                  {"epoch", Owner.m_Epoch}});
  return Document.dump();
}

void OperatorFront::updateGauges() {
  for (const auto &[Id, Host] : m_Pools.all()) {
    balancing::PoolFigures Figures = Host->figures();
    std::string Pool = poolName(Id);
    m_Metrics.setGauge("hyssopcross_pool_queued", "Calls that wait in a pool.",
                       static_cast<double>(Figures.m_Queued), "pool", Pool);
    m_Metrics.setGauge("hyssopcross_pool_in_flight",
                       "Attempts that run at a pool's servers.",
                       static_cast<double>(Figures.m_InFlight), "pool", Pool);
    m_Metrics.setGauge("hyssopcross_lease_confirmed",
                       "One if this VM holds the pool's lease for certain.",
                       m_Control.standing(Id) == LeaseStanding::Confirmed ? 1
                                                                          : 0,
                       "pool", Pool);
  }
  catalogue::CatalogueRef Current = m_Control.currentCatalogue();
  m_Metrics.setGauge("hyssopcross_catalogue_version",
                     "Version of the catalogue in force on this VM.",
                     Current ? static_cast<double>(Current->m_Version) : 0);
  m_Metrics.setGauge("hyssopcross_takes_work", "One if this VM takes new work.",
                     m_Control.takesWork() ? 1 : 0);
  claims::ClaimCounters Counts = m_Claims.counters();
  m_Metrics.setGauge("hyssopcross_claims_open", "Claims that are not settled.",
                     static_cast<double>(m_Claims.open()));
  m_Metrics.setGauge("hyssopcross_claims_total", "Claims made since the start.",
                     static_cast<double>(Counts.m_Claims));
  m_Metrics.setGauge("hyssopcross_claim_transactions_total",
                     "Transactions for claims since the start.",
                     static_cast<double>(Counts.m_Transactions));
  m_Metrics.setGauge("hyssopcross_claim_row_writes_total",
                     "Rows written for claims since the start.",
                     static_cast<double>(Counts.m_RowWrites));
}

} // namespace hyssopcross::entry
