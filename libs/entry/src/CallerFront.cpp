#include "hyssopcross/entry/CallerFront.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/protocol/Headers.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::entry {

using protocol::Outcome;

namespace {

/// Time allowed for a request of a service that the catalogue does not name.
constexpr Duration FallbackTimeout = std::chrono::seconds(2);

Duration defaultTimeout(const addresses::RoutingView &View,
                        std::string_view Path) {
  Path.remove_prefix(std::min<size_t>(Path.size(), sizeof("/call/") - 1));
  std::string Service(Path.substr(0, Path.find('/')));
  auto Entry = View.m_Catalogue.m_Services.find(Service);
  if (Entry == View.m_Catalogue.m_Services.end())
    return FallbackTimeout;
  return Entry->second.m_Limits.m_Timeout;
}

nlohmann::json toJson(const addresses::AddressAnswer &Answer,
                      std::string_view Service) {
  nlohmann::json Document;
  Document["service"] = Service;
  Document["ttl_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(Answer.m_Holds)
          .count();
  Document["addresses"] = nlohmann::json::array();
  for (const addresses::AnswerAddress &Each : Answer.m_Addresses)
    Document["addresses"].push_back({{"vm", Each.m_Vm},
                                     {"address", Each.m_Address},
                                     {"data_centre", Each.m_DataCentre},
                                     {"owner", Each.m_Owner}});
  return Document;
}

} // namespace

CallerFront::CallerFront(const Clock &Time, Control &Routing, Router &Calls,
                         trace::Tracer &Tracer, Metrics &Figures,
                         std::string VmName, uint64_t Seed)
    : m_Clock(Time), m_Control(Routing), m_Router(Calls), m_Tracer(Tracer),
      m_Metrics(Figures), m_VmName(std::move(VmName)), m_Random(Seed) {}

web::HttpAnswer CallerFront::handle(const web::HttpRequest &Request) {
  std::string CorrelationId(
      Request.header(protocol::CorrelationHeader).value_or(""));
  if (CorrelationId.empty())
    CorrelationId = makeCorrelationId();
  CallerAnswer Answer = answer(Request, CorrelationId);
  web::HttpAnswer Sent;
  Sent.m_Status = Answer.m_Status;
  Sent.m_Body = std::move(Answer.m_Body);
  for (auto &[Name, Value] : Answer.m_Headers)
    if (strcasecmp(Name.c_str(), protocol::CorrelationHeader) != 0)
      Sent.m_Headers.emplace_back(std::move(Name), std::move(Value));
  Sent.m_Headers.emplace_back(protocol::CorrelationHeader, CorrelationId);
  Sent.m_Headers.emplace_back(protocol::OutcomeHeader,
                              protocol::outcomeName(Answer.m_Outcome));
  return Sent;
}

CallerAnswer CallerFront::answer(const web::HttpRequest &Request,
                                 const std::string &CorrelationId) {
  std::string_view Path = Request.path();
  if (Path == "/addresses")
    return answerAddresses(Request);
  if (Path.starts_with("/call/"))
    return answerCall(Request, CorrelationId);
  return originatedAnswer(404, Outcome::NotRun, "unknown-path",
                          "The paths are /addresses and /call/SERVICE/...");
}

CallerAnswer CallerFront::answerAddresses(const web::HttpRequest &Request) {
  auto Service = Request.parameter("service");
  if (!Service)
    return originatedAnswer(400, Outcome::NotRun, "no-service",
                            "The parameter service is missing.");
  std::shared_ptr<const addresses::RoutingView> View = m_Control.routing();
  std::string DataCentre(
      Request.parameter("data_centre").value_or(View->m_DataCentre));
  auto Found = addresses::addressesFor(*View, *Service, DataCentre,
                                       m_Clock.now(), random());
  if (!Found)
    return originatedAnswer(404, Outcome::NotRun, "unknown-service",
                            Found.error().m_Message);
  CallerAnswer Answer;
  Answer.m_Outcome = Outcome::Completed;
  Answer.m_Status = 200;
  Answer.m_Headers.emplace_back("Content-Type", "application/json");
  Answer.m_Body = toJson(Found.value(), *Service).dump();
  return Answer;
}

CallerAnswer CallerFront::answerCall(const web::HttpRequest &Request,
                                     const std::string &CorrelationId) {
  std::shared_ptr<const addresses::RoutingView> View = m_Control.routing();
  auto Call = parseCall(Request, m_Clock.wallNow(),
                        defaultTimeout(*View, Request.path()));
  if (!Call)
    return originatedAnswer(400, Outcome::NotRun, "malformed-request",
                            Call.error().m_Message);
  IncomingCall &Incoming = Call.value();
  Incoming.m_CorrelationId = CorrelationId;
  trace::HopSpan Span = m_Tracer.start("entry", Incoming.m_TraceParent);
  Span.tag("request_id", CorrelationId);
  Span.tag("service", Incoming.m_Service);
  Incoming.m_TraceParent = trace::formatTraceParent(Span.context());
  TimePoint Arrived = m_Clock.now();
  CallerAnswer Answer = m_Router.serve(Incoming);
  bool Known = View->m_Catalogue.m_Services.contains(Incoming.m_Service);
  m_Metrics.countCall(Known ? Incoming.m_Service : "unknown", Answer.m_Outcome,
                      m_Clock.now() - Arrived);
  Span.tag("outcome", protocol::outcomeName(Answer.m_Outcome));
  if (Answer.m_Outcome != Outcome::Completed)
    logEvent(LogLevel::Info, "call_not_completed",
             {{"request_id", CorrelationId},
              {"service", Incoming.m_Service},
              {"outcome", protocol::outcomeName(Answer.m_Outcome)},
              {"status", Answer.m_Status},
              {"code", Answer.m_Code}});
  return Answer;
}

std::string CallerFront::makeCorrelationId() {
  std::lock_guard Lock(m_Mutex);
  return m_VmName + "-" + trace::formatSpanId(m_Random());
}

double CallerFront::random() {
  std::lock_guard Lock(m_Mutex);
  return std::uniform_real_distribution<>()(m_Random);
}

} // namespace hyssopcross::entry
