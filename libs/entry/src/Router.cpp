#include "hyssopcross/entry/Router.h"
#include "RecordAnswers.h"
#include "WireCodec.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/protocol/Headers.h"

namespace hyssopcross::entry {

using addresses::ForwardDecision;
using addresses::ForwardKind;
using addresses::RoutingView;
using balancing::PoolId;
using catalogue::ServiceClass;
using protocol::Outcome;

namespace {

/// VMs that a call is sent on to, one after the other, while none of them can
/// be reached.
constexpr unsigned MaxForwardTries = 3;

/// Added to the time that another VM has for its answer.
constexpr Duration ForwardSlack = std::chrono::milliseconds(50);

/// Part of an upload's time that is kept for holding it.
constexpr Duration UploadHoldTime = std::chrono::milliseconds(400);

/// When to come back while no owner is known or reached.
constexpr Duration NoOwnerRetryAfter = std::chrono::milliseconds(500);

std::optional<CallerAnswer> checkCall(const IncomingCall &Call,
                                      const catalogue::ServiceEntry &Entry) {
  if (Call.m_Body.size() > Entry.m_Limits.m_BodyBytes)
    return originatedAnswer(413, Outcome::NotRun, "body-too-large",
                            "The body exceeds the service's limit.");
  if (Entry.m_Class != ServiceClass::Lookup && Call.m_IdempotencyKey.empty())
    return originatedAnswer(400, Outcome::NotRun, "no-idempotency-key",
                            "The service needs the header Idempotency-Key.");
  if (!Call.m_ContentDigest.empty() &&
      Call.m_ContentDigest != protocol::contentDigest(Call.m_Body))
    return originatedAnswer(400, Outcome::NotRun, "digest-mismatch",
                            "The body does not match Content-Digest.");
  return std::nullopt;
}

void setHeader(HeaderList &Headers, const char *Name,
               const std::string &Value) {
  std::erase_if(Headers, [Name](const auto &Each) {
    return strcasecmp(Each.first.c_str(), Name) == 0;
  });
  Headers.emplace_back(Name, Value);
}

/// Digest over everything that makes two requests the same.
std::string requestDigest(const IncomingCall &Call) {
  std::string Text = Call.m_Method + "\n" + Call.m_Target + "\n";
  Text += Call.m_Body;
  return protocol::contentDigest(Text);
}

/// Refuses a call that its pool would refuse anyway.
std::optional<CallRefused>
refuseBeforeClaim(const balancing::PoolFigures &Figures,
                  const CallRequest &Request, TimePoint Now) {
  if (Figures.m_ExpectedWait < Request.m_Deadline - Now)
    return std::nullopt;
  Duration RetryAfter = std::clamp<Duration>(
      Figures.m_ExpectedWait, NoOwnerRetryAfter, std::chrono::seconds(10));
  return CallRefused{balancing::RefusalReason::Overloaded, RetryAfter};
}

/// The view without a VM that could not be reached.
std::shared_ptr<const RoutingView> without(const RoutingView &View,
                                           const std::string &Vm) {
  auto Changed = std::make_shared<RoutingView>(View);
  auto Member = Changed->m_Members.find(Vm);
  if (Member != Changed->m_Members.end())
    Member->second.m_Status = membership::VmStatus::Suspect;
  return Changed;
}

CallerAnswer answerNoOwner(const ForwardDecision &Decision) {
  Duration RetryAfter = std::max(Decision.m_RetryAfter, NoOwnerRetryAfter);
  return refusedAnswer(503, "no-owner",
                       "No VM in service decides for the service now.",
                       RetryAfter);
}

} // namespace

Router::Router(RouterParts Parts) : m_Parts(Parts) {}

CallerAnswer Router::serve(const IncomingCall &Call) {
  std::shared_ptr<const RoutingView> View = m_Parts.m_Control.routing();
  return route(Call, {Call.m_Service, View->m_DataCentre}, View);
}

CallerAnswer Router::serveForwarded(const IncomingCall &Call,
                                    const PoolId &Pool) {
  return route(Call, Pool, m_Parts.m_Control.routing());
}

CallerAnswer Router::route(const IncomingCall &Call, const PoolId &Pool,
                           std::shared_ptr<const RoutingView> View) {
  auto Entry = View->m_Catalogue.m_Services.find(Call.m_Service);
  if (Entry == View->m_Catalogue.m_Services.end())
    return originatedAnswer(404, Outcome::NotRun, "unknown-service",
                            "The catalogue does not name the service.");
  if (!m_Parts.m_Control.takesWork())
    return refusedAnswer(503, "out-of-service",
                         "This VM can't confirm its catalogue.",
                         NoOwnerRetryAfter);
  if (auto Refused = checkCall(Call, Entry->second))
    return std::move(*Refused);
  for (unsigned Try = 0; Try < MaxForwardTries; ++Try) {
    ForwardDecision Decision =
        addresses::decideForward(*View, Pool, Call.m_Hops);
    if (Decision.m_Kind == ForwardKind::ServeHere)
      return serveHere(Call, Entry->second, Decision.m_Pool);
    if (Decision.m_Kind == ForwardKind::Refuse)
      return answerNoOwner(Decision);
    IncomingCall Next = Call;
    ++Next.m_Hops;
    auto Answer = forward(Next, Decision.m_Pool, Decision.m_PeerAddress);
    if (Answer) {
      auto Better = View->m_Members.find(Decision.m_Vm);
      if (Better != View->m_Members.end() && Call.m_Hops == 0)
        Answer.value().m_Headers.emplace_back(protocol::BetterAddressHeader,
                                              Better->second.m_Address);
      return std::move(Answer.value());
    }
    bool MayRepeat = Answer.error().m_Code == ErrorCode::Unavailable ||
                     Entry->second.m_Class == ServiceClass::Lookup;
    if (!MayRepeat)
      return originatedAnswer(502, Outcome::Unknown, "peer-answer-lost",
                              "The VM that had the request did not answer.");
    View = without(*View, Decision.m_Vm);
  }
  return answerNoOwner({});
}

CallerAnswer Router::serveHere(const IncomingCall &Call,
                               const catalogue::ServiceEntry &Entry,
                               const PoolId &Pool) {
  std::shared_ptr<PoolHost> Host = m_Parts.m_Pools.find(Pool);
  if (!Host || m_Parts.m_Control.standing(Pool) == LeaseStanding::NotOwner)
    return answerNoOwner({});
  return runHere(Call, Entry, *Host);
}

CallRequest Router::makeRequest(const IncomingCall &Call,
                                const catalogue::ServiceEntry &Entry) const {
  CallRequest Request;
  Request.m_Request.m_Method = Call.m_Method;
  Request.m_Request.m_Target = Call.m_Target;
  Request.m_Request.m_Body = Call.m_Body;
  Request.m_Request.m_Headers = Call.m_Headers;
  Request.m_Request.m_CorrelationId = Call.m_CorrelationId;
  Request.m_Request.m_Idempotent = Entry.m_Class == ServiceClass::Lookup;
  auto Micros = std::chrono::duration_cast<std::chrono::microseconds>(
      Call.m_Deadline.time_since_epoch());
  HeaderList &Headers = Request.m_Request.m_Headers;
  Headers.emplace_back(protocol::DeadlineHeader,
                       std::to_string(Micros.count()));
  Headers.emplace_back(protocol::DepthHeader, std::to_string(Call.m_Depth));
  Headers.emplace_back(protocol::AttemptsHeader,
                       std::to_string(Call.m_Attempts + 1));
  Request.m_Deadline =
      m_Parts.m_Clock.now() + (Call.m_Deadline - m_Parts.m_Clock.wallNow());
  Request.m_ShareKey = Call.m_ShareKey;
  Request.m_PriorAttempts = Call.m_Attempts;
  Request.m_Depth = Call.m_Depth;
  // Money and uploads stay with the VM that keeps their records.
  Request.m_HandedOver =
      Call.m_HandedOver || Entry.m_Class != ServiceClass::Lookup;
  return Request;
}

CallerAnswer Router::runHere(const IncomingCall &Call,
                             const catalogue::ServiceEntry &Entry,
                             PoolHost &Host) {
  trace::HopSpan Span = m_Parts.m_Tracer.start("pool", Call.m_TraceParent);
  Span.tag("request_id", Call.m_CorrelationId);
  Span.tag("service", Call.m_Service);
  CallRequest Request = makeRequest(Call, Entry);
  Request.m_Request.m_Headers.emplace_back(
      protocol::TraceParentHeader, trace::formatTraceParent(Span.context()));
  CallerAnswer Answer;
  switch (Entry.m_Class) {
  case ServiceClass::Lookup:
    Answer = answerResult(Call, Host.run(Request));
    break;
  case ServiceClass::Money:
    Answer = runMoney(Call, Host, Request);
    break;
  case ServiceClass::Upload:
    Answer = runUpload(Call, Host, Request);
    break;
  }
  Span.tag("outcome", protocol::outcomeName(Answer.m_Outcome));
  return Answer;
}

CallerAnswer Router::runMoney(const IncomingCall &Call, PoolHost &Host,
                              const CallRequest &Request) {
  // A refusal without a claim costs the store nothing. A repeat has to look at
  // the claim of the request before it.
  if (Call.m_Attempts == 0)
    if (auto Refused =
            refuseBeforeClaim(Host.figures(), Request, m_Parts.m_Clock.now()))
      return answerRefusal(*Refused);
  claims::MoneyArrived Arrival;
  Arrival.m_Service = Call.m_Service;
  Arrival.m_Key = Call.m_IdempotencyKey;
  Arrival.m_Digest = requestDigest(Call);
  Arrival.m_Deadline = Call.m_Deadline;
  Arrival.m_Repeat = Call.m_Attempts > 0;
  return answerMoney(
      m_Parts.m_Claims.run(Arrival, [&Host, &Request](SendGate &Gate) {
        CallRequest Gated = Request;
        Gated.m_Gate = &Gate;
        return Host.run(Gated);
      }));
}

CallerAnswer Router::runUpload(const IncomingCall &Call, PoolHost &Host,
                               const CallRequest &Request) {
  uploads::UploadHead Head;
  Head.m_Service = Call.m_Service;
  Head.m_Key = Call.m_IdempotencyKey;
  Head.m_Method = Call.m_Method;
  Head.m_Path = Call.m_Target;
  Head.m_Digest = protocol::contentDigest(Call.m_Body);
  Head.m_Length = Call.m_Body.size();
  for (const auto &[Name, Value] : Call.m_Headers)
    if (strcasecmp(Name.c_str(), "Content-Type") == 0)
      Head.m_ContentType = Value;
  CallRequest Sent = Request;
  // The pool gives the call back while there is still time to hold it.
  Sent.m_Deadline -= UploadHoldTime;
  return answerUpload(m_Parts.m_Uploads.run(
      Head, Call.m_Body, Call.m_Deadline, [&](const std::string &Identity) {
        setHeader(Sent.m_Request.m_Headers, protocol::IdempotencyKeyHeader,
                  Identity);
        return Host.run(Sent);
      }));
}

CallerAnswer Router::receipt(const std::string &Service,
                             const std::string &Key) {
  return answerUpload(m_Parts.m_Uploads.receipt(Service, Key));
}

CallResult Router::deliver(const uploads::DeliverUpload &Held) {
  std::shared_ptr<const RoutingView> View = m_Parts.m_Control.routing();
  auto Entry = View->m_Catalogue.m_Services.find(Held.m_Head.m_Service);
  std::shared_ptr<PoolHost> Host;
  for (const auto &[Id, Each] : m_Parts.m_Pools.all())
    if (Id.m_Service == Held.m_Head.m_Service)
      Host = Each;
  if (!Host || Entry == View->m_Catalogue.m_Services.end())
    return CallRefused{balancing::RefusalReason::NoServer, NoOwnerRetryAfter};
  IncomingCall Call;
  Call.m_Service = Held.m_Head.m_Service;
  Call.m_Method = Held.m_Head.m_Method;
  Call.m_Target = Held.m_Head.m_Path;
  Call.m_Body = Held.m_Body;
  Call.m_CorrelationId =
      "held-" + View->m_Self + "-" + std::to_string(Held.m_Delivery);
  Call.m_Deadline =
      m_Parts.m_Clock.wallNow() + Entry->second.m_Limits.m_Timeout;
  Call.m_Headers = {{protocol::IdempotencyKeyHeader, Held.m_Identity},
                    {protocol::ContentDigestHeader, Held.m_Head.m_Digest},
                    {"Content-Type", Held.m_Head.m_ContentType}};
  return Host->run(makeRequest(Call, Entry->second));
}

CallerAnswer Router::answerResult(const IncomingCall &Call, CallResult Result) {
  if (auto *Answered = std::get_if<CallAnswered>(&Result))
    return answerAttempt(std::move(Answered->m_Answer),
                         m_Parts.m_Clock.wallNow() >= Call.m_Deadline);
  if (const auto *Refused = std::get_if<CallRefused>(&Result))
    return answerRefusal(*Refused);
  return handOver(Call, std::get<CallHandedOver>(Result).m_Pool);
}

CallerAnswer Router::handOver(const IncomingCall &Call, const PoolId &Pool) {
  std::shared_ptr<const RoutingView> View = m_Parts.m_Control.routing();
  auto Owner = View->m_Owners.m_Owners.find(Pool);
  if (Owner == View->m_Owners.m_Owners.end() ||
      Owner->second.m_Owner == View->m_Self)
    return answerNoOwner({});
  auto Member = View->m_Members.find(Owner->second.m_Owner);
  if (Member == View->m_Members.end())
    return answerNoOwner({});
  IncomingCall Next = Call;
  ++Next.m_Hops;
  Next.m_HandedOver = true;
  auto Answer = forward(Next, Pool, Member->second.m_PeerAddress);
  if (Answer)
    return std::move(Answer.value());
  if (Answer.error().m_Code == ErrorCode::Unavailable)
    return answerNoOwner({});
  return originatedAnswer(502, Outcome::Unknown, "peer-answer-lost",
                          "The VM that took the request did not answer.");
}

Result<CallerAnswer> Router::forward(const IncomingCall &Call,
                                     const PoolId &Pool,
                                     const std::string &PeerAddress) {
  Duration Left = Call.m_Deadline - m_Parts.m_Clock.wallNow();
  if (Left <= Duration::zero())
    return refusedAnswer(504, "deadline-passed",
                         "The deadline passed before the request was sent.",
                         NoOwnerRetryAfter);
  trace::HopSpan Span = m_Parts.m_Tracer.start("forward", Call.m_TraceParent);
  Span.tag("request_id", Call.m_CorrelationId);
  Span.tag("service", Call.m_Service);
  peer::wire::ForwardedCall Wire = toWire(Call, Pool);
  Wire.traceParent = trace::formatTraceParent(Span.context());
  peer::wire::ForwardedAnswer Answer;
  auto Called = m_Parts.m_Peers.call(
      PeerAddress, Left + ForwardSlack,
      [&](peer::wire::PeerClient &Peer) { Peer.forward(Answer, Wire); });
  if (!Called) {
    logEvent(LogLevel::Warning, "forward_failed",
             {{"request_id", Call.m_CorrelationId},
              {"peer", PeerAddress},
              {"error", Called.error().m_Message}});
    return fail(Called.error().m_Code, Called.error().m_Message);
  }
  return fromWire(Answer);
}

} // namespace hyssopcross::entry
