#include "hyssopcross/standins/BackendServer.h"
#include "hyssopcross/protocol/Headers.h"
#include "hyssopcross/protocol/Outcome.h"
#include "hyssopcross/standins/Answers.h"
#include <charconv>
#include <nlohmann/json.hpp>

namespace hyssopcross::standins {

using catalogue::ServiceClass;

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int InternalError = 500;
constexpr int ServiceUnavailable = 503;
constexpr Duration LongestQueueWait = std::chrono::seconds(60);

const char *className(ServiceClass Class) {
  switch (Class) {
  case ServiceClass::Lookup:
    return "lookup";
  case ServiceClass::Money:
    return "money";
  case ServiceClass::Upload:
    return "upload";
  }
  return "lookup";
}

/// How long a request may still run; the longest wait if it names no deadline.
Result<Duration> timeLeft(const ServerRequest &Request, WallTime Now) {
  std::string_view Text = Request.m_Header(protocol::DeadlineHeader);
  if (Text.empty())
    return LongestQueueWait;
  int64_t DeadlineUs = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), DeadlineUs);
  if (Failure != std::errc() || End != Text.data() + Text.size())
    return fail(ErrorCode::InvalidInput,
                "the deadline \"" + std::string(Text) + "\" is not a number");
  return std::chrono::microseconds(DeadlineUs - toMicroseconds(Now));
}

/// Gives the slot back when the request ends.
class SlotHold {
public:
  explicit SlotHold(SlotQueue &Slots) : m_Slots(Slots) {}
  ~SlotHold() { m_Slots.leave(); }
  SlotHold(const SlotHold &) = delete;
  SlotHold &operator=(const SlotHold &) = delete;

private:
  SlotQueue &m_Slots;
};

} // namespace

BackendServer::BackendServer(BackendOptions Options, const Clock &Clock)
    : m_Options(std::move(Options)), m_Clock(Clock),
      m_Slots(m_Options.m_Limits, Clock.now()), m_Random(m_Options.m_Seed) {}

Result<std::unique_ptr<BackendServer>>
BackendServer::start(BackendOptions Options, const Clock &Clock) {
  std::unique_ptr<BackendServer> Server(
      new BackendServer(std::move(Options), Clock));
  auto Http =
      HttpServer::start(Server->m_Options.m_Http,
                        [Raw = Server.get()](const ServerRequest &Request) {
                          return Raw->serve(Request);
                        });
  if (!Http)
    return Http.as_failure();
  Server->m_Http = std::move(Http.value());
  return Server;
}

ServerAnswer BackendServer::serve(const ServerRequest &Request) {
  if (Request.m_Path == "/health")
    return showHealth();
  if (Request.m_Path == "/load")
    return showLoad();
  if (Request.m_Path == "/ledger") {
    ServerAnswer Answer = jsonAnswer(Ok, m_Ledger.toJsonLines());
    Answer.m_Headers["Content-Type"] = "application/x-ndjson";
    return Answer;
  }
  if (Request.m_Path.starts_with("/control/"))
    return serveControl(Request);
  return serveWork(Request);
}

ServerAnswer BackendServer::serveWork(const ServerRequest &Request) {
  AnswerFaults Faults;
  ServerAnswer Answer;
  if (m_Faults.failsFast(m_Clock.now()))
    Answer =
        errorAnswer(InternalError, {ErrorCode::Unknown, "the server fails"});
  else
    Answer = runInSlot(Request, Faults);
  if (Faults.m_Crossed)
    Answer.m_Body = lookupAnswer(m_Options.m_Service, "/another/request");
  std::string Correlation(Request.m_Header(protocol::CorrelationHeader));
  if (Faults.m_Crossed)
    Correlation = "another-" + Correlation;
  if (!Correlation.empty())
    Answer.m_Headers[protocol::CorrelationHeader] = Correlation;
  Answer.m_Headers[protocol::ServerLoadHeader] = loadHeader(report());
  Answer.m_Headers[protocol::ContentDigestHeader] =
      protocol::contentDigest(Answer.m_Body);
  Answer.m_Cut = Faults.m_Cut;
  if (Faults.m_Late > Duration::zero())
    Request.m_Peer.closesWithin(Faults.m_Late);
  return Answer;
}

ServerAnswer BackendServer::refuse(std::string Why) const {
  ServerAnswer Answer =
      errorAnswer(ServiceUnavailable, {ErrorCode::Unavailable, std::move(Why)});
  Answer.m_Headers[protocol::ServerRefusedHeader] =
      protocol::outcomeName(protocol::Outcome::NotRun);
  return Answer;
}

ServerAnswer BackendServer::runInSlot(const ServerRequest &Request,
                                      AnswerFaults &Faults) {
  auto Checked = check(Request);
  auto Left = timeLeft(Request, m_Clock.wallNow());
  if (!Checked || !Left) {
    ServerAnswer Answer = refuse("");
    const Error &Failure = Checked ? Left.error() : Checked.error();
    Answer.m_Body = errorAnswer(BadRequest, Failure).m_Body;
    Answer.m_Status = BadRequest;
    return Answer;
  }
  if (Left.value() <= Duration::zero())
    return refuse("the deadline has passed");
  switch (m_Slots.enter(m_Clock.now(), Left.value())) {
  case Admission::Granted:
    break;
  case Admission::Full:
    return refuse("the server is full");
  case Admission::Draining:
    return refuse("the server drains");
  case Admission::Expired:
    return refuse("the deadline passed in the queue");
  }
  SlotHold Hold(m_Slots);
  Left = timeLeft(Request, m_Clock.wallNow());
  if (Left.value() <= Duration::zero())
    return refuse("the deadline passed in the queue");
  Faults = m_Faults.takeAnswerFaults();
  return execute(Request);
}

// Checks everything that makes a request unusable, before it gets a slot.
Result<void> BackendServer::check(const ServerRequest &Request) const {
  if (m_Options.m_Class == ServiceClass::Lookup)
    return boost::outcome_v2::success();
  if (Request.m_Header(protocol::IdempotencyKeyHeader).empty())
    return fail(ErrorCode::InvalidInput, "the idempotency key is missing");
  std::string_view Digest = Request.m_Header(protocol::ContentDigestHeader);
  if (!Digest.empty() && Digest != protocol::contentDigest(Request.m_Body))
    return fail(ErrorCode::InvalidInput, "the body does not match its digest");
  if (m_Options.m_Class == ServiceClass::Upload)
    return boost::outcome_v2::success();
  auto Amount = parseAmount(Request.m_Body);
  if (!Amount)
    return Amount.as_failure();
  return boost::outcome_v2::success();
}

ServerAnswer BackendServer::execute(const ServerRequest &Request) {
  Duration ServiceTime = drawServiceTime(Request);
  LedgerEntry Entry;
  Entry.m_Correlation = Request.m_Header(protocol::CorrelationHeader);
  Entry.m_IdempotencyKey = Request.m_Header(protocol::IdempotencyKeyHeader);
  Entry.m_Class = className(m_Options.m_Class);
  Entry.m_Target = Request.m_Target;
  Entry.m_Digest = protocol::contentDigest(Request.m_Body);
  Entry.m_Length = Request.m_Body.size();
  Entry.m_Receipt = makeReceipt(Request);
  Entry.m_StartUs = toMicroseconds(m_Clock.wallNow());
  std::string Receipt = Entry.m_Receipt;
  size_t Index = m_Ledger.begin(std::move(Entry));
  bool Cancelled = ServiceTime > Duration::zero() &&
                   Request.m_Peer.closesWithin(ServiceTime);
  m_Ledger.end(Index, m_Clock.wallNow(), Cancelled);
  return jsonAnswer(Ok, answerBody(Request, Receipt));
}

std::string BackendServer::makeReceipt(const ServerRequest &Request) {
  switch (m_Options.m_Class) {
  case ServiceClass::Lookup:
    return "";
  case ServiceClass::Money:
    return m_Options.m_Boot + "-" + std::to_string(++m_Receipts);
  case ServiceClass::Upload:
    return protocol::contentDigest(Request.m_Body);
  }
  return "";
}

std::string BackendServer::answerBody(const ServerRequest &Request,
                                      std::string_view Receipt) const {
  std::string_view Key = Request.m_Header(protocol::IdempotencyKeyHeader);
  switch (m_Options.m_Class) {
  case ServiceClass::Lookup:
    return lookupAnswer(m_Options.m_Service, Request.m_Target);
  case ServiceClass::Money:
    return moneyAnswer(m_Options.m_Service, Key,
                       parseAmount(Request.m_Body).value(), Receipt);
  case ServiceClass::Upload:
    return uploadAnswer(m_Options.m_Service, Key, Receipt,
                        Request.m_Body.size());
  }
  return "";
}

Duration BackendServer::drawServiceTime(const ServerRequest &Request) {
  if (Request.m_Path.starts_with(MeasurePath))
    return Duration::zero();
  TimePoint Now = m_Clock.now();
  double Factor = m_Faults.slowFactor(Now);
  if (m_Slots.isCold(Now))
    Factor *= m_Options.m_ColdFactor;
  if (m_Options.m_Times == ServiceTimes::Exponential) {
    std::lock_guard Lock(m_Mutex);
    Factor *= std::exponential_distribution<double>(1.0)(m_Random);
  }
  double Nanoseconds =
      static_cast<double>(m_Options.m_ServiceTime.count()) * Factor;
  return Duration(static_cast<Duration::rep>(Nanoseconds));
}

BackendServer::Report BackendServer::report() const {
  return {m_Slots.inFlight(), m_Slots.queued(), m_Slots.isDraining()};
}

std::string BackendServer::loadHeader(const Report &Load) const {
  return "in_flight=" + std::to_string(Load.m_InFlight) +
         ";queued=" + std::to_string(Load.m_Queued) +
         ";draining=" + (Load.m_Draining ? "1" : "0") +
         ";boot=" + m_Options.m_Boot;
}

ServerAnswer BackendServer::showLoad() {
  TimePoint Now = m_Clock.now();
  Report Shown;
  {
    std::lock_guard Lock(m_Mutex);
    if (Now - m_LastReportTime >= m_Options.m_LoadLag) {
      m_LastReport = report();
      m_LastReportTime = Now;
    }
    Shown = m_LastReport;
  }
  nlohmann::json Json{{"in_flight", Shown.m_InFlight},
                      {"queued", Shown.m_Queued},
                      {"draining", Shown.m_Draining},
                      {"boot", m_Options.m_Boot},
                      {"cold_overloads", m_Slots.coldOverloads()},
                      {"connections", m_Http->connectionsAccepted()}};
  ServerAnswer Answer = jsonAnswer(Ok, Json.dump());
  Answer.m_Headers[protocol::ServerLoadHeader] = loadHeader(Shown);
  return Answer;
}

ServerAnswer BackendServer::showHealth() const {
  TimePoint Drained = m_DrainTime;
  bool Known = Drained != TimePoint::max() &&
               m_Clock.now() - Drained >= m_Options.m_HealthLag;
  if (Known)
    return jsonAnswer(ServiceUnavailable, R"({"status":"draining"})");
  return jsonAnswer(Ok, R"({"status":"ok"})");
}

} // namespace hyssopcross::standins
