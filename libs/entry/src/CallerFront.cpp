#include "hyssopcross/entry/CallerFront.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/protocol/Headers.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::entry {

using protocol::Outcome;

namespace {

/// When to come back while bodies take up the memory.
constexpr Duration NoMemoryRetryAfter = std::chrono::milliseconds(300);

/// A part of the budget for bodies, for the life of the object.
class BodyReservation {
public:
  BodyReservation(uploads::BodyBudget &Budget, uint64_t Bytes)
      : m_Budget(Budget), m_Bytes(Bytes),
        m_Granted(uploads::reserve(Budget, Bytes)) {}
  ~BodyReservation() {
    if (m_Granted)
      uploads::release(m_Budget, m_Bytes);
  }
  BodyReservation(const BodyReservation &) = delete;
  BodyReservation &operator=(const BodyReservation &) = delete;

  bool granted() const { return m_Granted; }

private:
  uploads::BodyBudget &m_Budget;
  uint64_t m_Bytes;
  bool m_Granted;
};

/// Time allowed for a request of a service that the catalogue does not name.
constexpr Duration FallbackTimeout = std::chrono::seconds(2);

constexpr std::string_view ReceiptPrefix = "/uploads/";

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
      std::chrono::duration_cast<std::chrono::milliseconds>(Answer.m_TimeToLive)
          .count();
  Document["addresses"] = nlohmann::json::array();
  for (const addresses::AnswerAddress &Each : Answer.m_Addresses)
    Document["addresses"].push_back({{"vm", Each.m_Vm},
                                     {"address", Each.m_Address},
                                     {"data_centre", Each.m_DataCentre},
                                     {"owner", Each.m_Owner}});
  return Document;
}

CallerAnswer answerNoMemory() {
  return refusedAnswer(503, "no-memory",
                       "The bodies of other requests take up the memory.",
                       NoMemoryRetryAfter);
}

} // namespace

CallerFront::CallerFront(const Clock &Time, Control &Routing, Router &Calls,
                         trace::Tracer &Tracer, Metrics &Figures,
                         std::string VmName, uint64_t Seed, uint64_t BodyBytes)
    : m_Clock(Time), m_Control(Routing), m_Router(Calls), m_Tracer(Tracer),
      m_Metrics(Figures), m_VmName(std::move(VmName)), m_Random(Seed) {
  m_Bodies.m_Limit = BodyBytes;
}

void CallerFront::handle(const std::shared_ptr<http::Exchange> &Asked) {
  std::string CorrelationId(
      http::headerOf(Asked->m_Request, protocol::CorrelationHeader));
  if (CorrelationId.empty())
    CorrelationId = makeCorrelationId();
  CallerCallback Done = [Asked, CorrelationId](CallerAnswer Answer) {
    Asked->answer(toResponse(std::move(Answer), CorrelationId));
  };
  std::string_view Target = http::toView(Asked->m_Request.target());
  std::string_view Path = http::pathOf(Target);
  if (Path == "/addresses")
    return Done(answerAddresses(Target));
  if (Path.starts_with("/call/"))
    return answerCall(Asked, CorrelationId, std::move(Done));
  if (Path.starts_with(ReceiptPrefix))
    return answerReceipt(Path.substr(ReceiptPrefix.size()), std::move(Done));
  Done(originatedAnswer(404, Outcome::NotRun, "unknown-path",
                        "The paths are /addresses, /call/SERVICE/... and "
                        "/uploads/SERVICE/KEY."));
}

http::Response CallerFront::refuseInput(unsigned Status) {
  constexpr unsigned TooLarge = 413;
  constexpr unsigned NoMemory = 503;
  CallerAnswer Answer;
  if (Status == NoMemory)
    Answer = answerNoMemory();
  else if (Status == TooLarge)
    Answer = originatedAnswer(Status, Outcome::NotRun, "body-too-large",
                              "The body exceeds the limit of this VM.");
  else
    Answer = originatedAnswer(Status, Outcome::NotRun, "malformed-request",
                              "The request can't be read, or came too slowly.");
  return toResponse(std::move(Answer), makeCorrelationId());
}

void CallerFront::answerReceipt(std::string_view Rest, CallerCallback Done) {
  size_t Slash = Rest.find('/');
  if (Slash == std::string_view::npos || Slash + 1 == Rest.size())
    return Done(originatedAnswer(400, Outcome::NotRun, "malformed-request",
                                 "The path must be /uploads/SERVICE/KEY."));
  m_Router.receipt(std::string(Rest.substr(0, Slash)),
                   std::string(Rest.substr(Slash + 1)), std::move(Done));
}

CallerAnswer CallerFront::answerAddresses(std::string_view Target) {
  std::string Service = http::queryParameter(Target, "service");
  if (Service.empty())
    return originatedAnswer(400, Outcome::NotRun, "no-service",
                            "The parameter service is missing.");
  std::shared_ptr<const addresses::RoutingView> View = m_Control.routing();
  std::string DataCentre = http::queryParameter(Target, "data_centre");
  if (DataCentre.empty())
    DataCentre = View->m_DataCentre;
  double Draw = std::uniform_real_distribution<>()(m_Random);
  auto Found =
      addresses::addressesFor(*View, Service, DataCentre, m_Clock.now(), Draw);
  if (!Found)
    return originatedAnswer(404, Outcome::NotRun, "unknown-service",
                            Found.error().m_Message);
  CallerAnswer Answer;
  Answer.m_Outcome = Outcome::Completed;
  Answer.m_Status = 200;
  Answer.m_Headers.emplace_back("Content-Type", "application/json");
  Answer.m_Body = toJson(Found.value(), Service).dump();
  return Answer;
}

void CallerFront::answerCall(const std::shared_ptr<http::Exchange> &Asked,
                             const std::string &CorrelationId,
                             CallerCallback Done) {
  std::shared_ptr<const addresses::RoutingView> View = m_Control.routing();
  std::string_view Path = http::pathOf(http::toView(Asked->m_Request.target()));
  auto Call = parseCall(Asked->m_Request, m_Clock.wallNow(),
                        defaultTimeout(*View, Path));
  if (!Call)
    return Done(originatedAnswer(400, Outcome::NotRun, "malformed-request",
                                 Call.error().m_Message));
  Call.value().m_CorrelationId = CorrelationId;
  auto Reserved =
      std::make_shared<BodyReservation>(m_Bodies, Call.value().m_Body.size());
  if (!Reserved->granted())
    return Done(refusedAnswer(
        503, "no-memory", "The bodies of other requests take up the memory.",
        NoMemoryRetryAfter));
  serve(Asked, std::move(Call.value()),
        [Reserved, Done = std::move(Done)](CallerAnswer Answer) {
          Done(std::move(Answer));
        });
}

void CallerFront::serve(const std::shared_ptr<http::Exchange> &Asked,
                        IncomingCall Call, CallerCallback Done) {
  auto Span = std::make_shared<trace::HopSpan>(
      m_Tracer.start("entry", Call.m_TraceParent));
  Span->tag("request_id", Call.m_CorrelationId);
  Span->tag("service", Call.m_Service);
  Call.m_TraceParent = trace::formatTraceParent(Span->context());
  bool IsKnown =
      m_Control.routing()->m_Catalogue.m_Services.contains(Call.m_Service);
  std::string Service = IsKnown ? Call.m_Service : "unknown";
  std::string CorrelationId = Call.m_CorrelationId;
  auto Ended = [this, Span, Service, CorrelationId, Arrived = m_Clock.now(),
                Done = std::move(Done)](CallerAnswer Answer) {
    m_Metrics.countCall(Service, Answer.m_Outcome, m_Clock.now() - Arrived);
    Span->tag("outcome", protocol::outcomeName(Answer.m_Outcome));
    if (Answer.m_Outcome != Outcome::Completed)
      logEvent(LogLevel::Info, "call_not_completed",
               {{"request_id", CorrelationId},
                {"service", Service},
                {"outcome", protocol::outcomeName(Answer.m_Outcome)},
                {"status", Answer.m_Status},
                {"code", Answer.m_Code}});
    Done(std::move(Answer));
  };
  auto Watch = m_Router.serve(std::move(Call), std::move(Ended));
  if (Asked->isAnswered())
    return;
  Asked->onPeerGone([Watch, Service, CorrelationId] {
    logEvent(LogLevel::Info, "caller_left",
             {{"request_id", CorrelationId}, {"service", Service}});
    Watch->abandon();
  });
}

std::string CallerFront::makeCorrelationId() {
  return m_VmName + "-" + trace::formatSpanId(m_Random());
}

} // namespace hyssopcross::entry
