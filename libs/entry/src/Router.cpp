#include "hyssopcross/entry/Router.h"
#include "RecordAnswers.h"
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

CallerAnswer answerNoOwner(Duration Wait = Duration::zero()) {
  Duration RetryAfter = std::max(Wait, NoOwnerRetryAfter);
  return refusedAnswer(503, "no-owner",
                       "No VM in service decides for the service now.",
                       RetryAfter);
}

CallerAnswer answerPeerLost() {
  return originatedAnswer(502, Outcome::Unknown, "peer-answer-lost",
                          "The VM that had the request did not answer.");
}

/// The request of an upload under the identity that the server stores it by.
std::shared_ptr<const http::Request> withIdentity(const http::Request &Sent,
                                                  const std::string &Identity) {
  auto Made = std::make_shared<http::Request>(Sent);
  Made->set(protocol::IdempotencyKeyHeader, Identity);
  return Made;
}

} // namespace

Router::Router(RouterParts Parts)
    : m_Parts(Parts), m_Peers(Parts.m_Loop, Parts.m_Clock, {}) {}

std::shared_ptr<CallWatch> Router::serve(IncomingCall Call,
                                         CallerCallback Done) {
  auto Taken = std::make_shared<Job>();
  Taken->m_View = m_Parts.m_Control.routing();
  Taken->m_Pool = {Call.m_Service, Call.m_PoolDataCentre.empty()
                                       ? Taken->m_View->m_DataCentre
                                       : Call.m_PoolDataCentre};
  Taken->m_Call = std::move(Call);
  Taken->m_Done = std::move(Done);
  Taken->m_Watch = std::make_shared<CallWatch>();
  route(Taken);
  return Taken->m_Watch;
}

void Router::route(const JobRef &Call) {
  const auto &Services = Call->m_View->m_Catalogue.m_Services;
  auto Entry = Services.find(Call->m_Call.m_Service);
  if (Entry == Services.end())
    return Call->m_Done(
        originatedAnswer(404, Outcome::NotRun, "unknown-service",
                         "The catalogue does not name the service."));
  if (!m_Parts.m_Control.takesWork())
    return Call->m_Done(refusedAnswer(503, "out-of-service",
                                      "This VM can't confirm its catalogue.",
                                      NoOwnerRetryAfter));
  if (auto Refused = checkCall(Call->m_Call, Entry->second))
    return Call->m_Done(std::move(*Refused));
  Call->m_Entry = Entry->second;
  ForwardDecision Decision = addresses::decideForward(
      *Call->m_View, Call->m_Pool, Call->m_Call.m_Hops);
  switch (Decision.m_Kind) {
  case ForwardKind::ServeHere:
    return serveHere(Call, Decision.m_Pool);
  case ForwardKind::Forward:
    if (Call->m_Tries++ < MaxForwardTries)
      return forwardToOwner(Call, Decision);
    return Call->m_Done(answerNoOwner());
  case ForwardKind::Refuse:
    return Call->m_Done(answerNoOwner(Decision.m_RetryAfter));
  }
}

void Router::forwardToOwner(const JobRef &Call,
                            const ForwardDecision &Decision) {
  auto Owner = Call->m_View->m_Members.find(Decision.m_Vm);
  if (Owner == Call->m_View->m_Members.end())
    return Call->m_Done(answerNoOwner());
  std::string Address = Owner->second.m_Address;
  forward(
      Call, Decision.m_Pool, Address,
      [this, Call, Vm = Decision.m_Vm, Address](Result<CallerAnswer> Answer) {
        if (Answer) {
          if (Call->m_Call.m_Hops == 0)
            Answer.value().m_Headers.emplace_back(protocol::BetterAddressHeader,
                                                  Address);
          return Call->m_Done(std::move(Answer.value()));
        }
        bool MayRepeat = Answer.error().m_Code == ErrorCode::Unavailable ||
                         Call->m_Entry.m_Class == ServiceClass::Lookup;
        if (!MayRepeat)
          return Call->m_Done(answerPeerLost());
        Call->m_View = without(*Call->m_View, Vm);
        route(Call);
      });
}

void Router::serveHere(const JobRef &Call, const PoolId &Pool) {
  std::shared_ptr<PoolHost> Host = m_Parts.m_Pools.find(Pool);
  if (!Host || m_Parts.m_Control.standing(Pool) == LeaseStanding::NotOwner)
    return Call->m_Done(answerNoOwner());
  runHere(Call, Host);
}

CallRequest Router::makeRequest(const IncomingCall &Call,
                                const catalogue::ServiceEntry &Entry,
                                std::string_view TraceParent) const {
  CallRequest Request;
  Request.m_Request.m_Message =
      backend::makeMessage(Call.m_Method, Call.m_Target, Call.m_Service,
                           hopHeaders(Call, Call.m_Attempts + 1, TraceParent),
                           Call.m_CorrelationId, Call.m_Body);
  Request.m_Request.m_CorrelationId = Call.m_CorrelationId;
  Request.m_Request.m_Idempotent = Entry.m_Class == ServiceClass::Lookup;
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

void Router::runHere(const JobRef &Call,
                     const std::shared_ptr<PoolHost> &Host) {
  auto Span = std::make_shared<trace::HopSpan>(
      m_Parts.m_Tracer.start("pool", Call->m_Call.m_TraceParent));
  Span->tag("request_id", Call->m_Call.m_CorrelationId);
  Span->tag("service", Call->m_Call.m_Service);
  Call->m_Done = [Span, Done = std::move(Call->m_Done)](CallerAnswer Answer) {
    Span->tag("outcome", protocol::outcomeName(Answer.m_Outcome));
    Done(std::move(Answer));
  };
  CallRequest Request = makeRequest(Call->m_Call, Call->m_Entry,
                                    trace::formatTraceParent(Span->context()));
  switch (Call->m_Entry.m_Class) {
  case ServiceClass::Lookup:
    return runLookup(Call, Host, std::move(Request));
  case ServiceClass::Money:
    return runMoney(Call, Host, std::move(Request));
  case ServiceClass::Upload:
    return runUpload(Call, Host, std::move(Request));
  }
}

void Router::runLookup(const JobRef &Call,
                       const std::shared_ptr<PoolHost> &Host,
                       CallRequest Request) {
  balancing::CallId Id =
      Host->run(std::move(Request), [this, Call](CallResult Result) {
        Call->m_Watch->setEnd(nullptr);
        answerResult(Call, std::move(Result));
      });
  Call->m_Watch->setEnd([Host, Id] { Host->abandon(Id); });
}

void Router::runMoney(const JobRef &Call, const std::shared_ptr<PoolHost> &Host,
                      CallRequest Request) {
  // A refusal without a claim costs the store nothing. A repeat has to look at
  // the claim of the request before it.
  const IncomingCall &Incoming = Call->m_Call;
  if (Incoming.m_Attempts == 0)
    if (auto Refused =
            refuseBeforeClaim(Host->figures(), Request, m_Parts.m_Clock.now()))
      return Call->m_Done(answerRefusal(*Refused));
  claims::MoneyArrived Arrival;
  Arrival.m_Service = Incoming.m_Service;
  Arrival.m_Key = Incoming.m_IdempotencyKey;
  Arrival.m_Digest = requestDigest(Incoming);
  Arrival.m_Deadline = Incoming.m_Deadline;
  Arrival.m_Repeat = Incoming.m_Attempts > 0;
  m_Parts.m_Claims.run(
      Arrival,
      [Host, Request = std::move(Request)](std::shared_ptr<SendGate> Gate,
                                           ResultCallback Ended) {
        CallRequest Gated = Request;
        Gated.m_Gate = std::move(Gate);
        Host->run(std::move(Gated), std::move(Ended));
      },
      [Call](const claims::Answer &Answer) {
        Call->m_Done(answerMoney(Answer));
      });
}

void Router::runUpload(const JobRef &Call,
                       const std::shared_ptr<PoolHost> &Host,
                       CallRequest Request) {
  const IncomingCall &Incoming = Call->m_Call;
  uploads::UploadHead Head;
  Head.m_Service = Incoming.m_Service;
  Head.m_Key = Incoming.m_IdempotencyKey;
  Head.m_Method = Incoming.m_Method;
  Head.m_Path = Incoming.m_Target;
  Head.m_Digest = protocol::contentDigest(Incoming.m_Body);
  Head.m_Length = Incoming.m_Body.size();
  Head.m_ContentType =
      http::headerOf(*Request.m_Request.m_Message, "Content-Type");
  // The pool gives the call back while there is still time to hold it.
  Request.m_Deadline -= UploadHoldTime;
  std::shared_ptr<const std::string> Body(Call, &Incoming.m_Body);
  m_Parts.m_Uploads.run(
      Head, Body, Incoming.m_Deadline,
      [Host, Request = std::move(Request)](const std::string &Identity,
                                           ResultCallback Ended) {
        CallRequest Sent = Request;
        Sent.m_Request.m_Message =
            withIdentity(*Request.m_Request.m_Message, Identity);
        Host->run(std::move(Sent), std::move(Ended));
      },
      [Call](const uploads::Answer &Answer) {
        Call->m_Done(answerUpload(Answer));
      });
}

void Router::receipt(const std::string &Service, const std::string &Key,
                     CallerCallback Done) {
  m_Parts.m_Uploads.receipt(
      Service, Key, [Done = std::move(Done)](const uploads::Answer &Answer) {
        Done(answerUpload(Answer));
      });
}

void Router::deliver(const uploads::DeliverUpload &Held, ResultCallback Done) {
  std::shared_ptr<const RoutingView> View = m_Parts.m_Control.routing();
  auto Entry = View->m_Catalogue.m_Services.find(Held.m_Head.m_Service);
  std::shared_ptr<PoolHost> Host;
  for (const auto &[Id, Each] : m_Parts.m_Pools.all())
    if (Id.m_Service == Held.m_Head.m_Service)
      Host = Each;
  if (!Host || Entry == View->m_Catalogue.m_Services.end())
    return Done(
        CallRefused{balancing::RefusalReason::NoServer, NoOwnerRetryAfter});
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
  Host->run(makeRequest(Call, Entry->second, {}), std::move(Done));
}

void Router::answerResult(const JobRef &Call, CallResult Result) {
  if (auto *Answered = std::get_if<CallAnswered>(&Result)) {
    bool IsLate = m_Parts.m_Clock.wallNow() >= Call->m_Call.m_Deadline;
    return Call->m_Done(answerAttempt(std::move(Answered->m_Answer), IsLate));
  }
  if (const auto *Refused = std::get_if<CallRefused>(&Result))
    return Call->m_Done(answerRefusal(*Refused));
  handOver(Call, std::get<CallHandedOver>(Result).m_Pool);
}

void Router::handOver(const JobRef &Call, const PoolId &Pool) {
  std::shared_ptr<const RoutingView> View = m_Parts.m_Control.routing();
  auto Owner = View->m_Owners.m_Owners.find(Pool);
  if (Owner == View->m_Owners.m_Owners.end() ||
      Owner->second.m_Owner == View->m_Self)
    return Call->m_Done(answerNoOwner());
  auto Member = View->m_Members.find(Owner->second.m_Owner);
  if (Member == View->m_Members.end())
    return Call->m_Done(answerNoOwner());
  Call->m_Call.m_HandedOver = true;
  forward(Call, Pool, Member->second.m_Address,
          [Call](Result<CallerAnswer> Answer) {
            if (Answer)
              return Call->m_Done(std::move(Answer.value()));
            bool NotRun = Answer.error().m_Code == ErrorCode::Unavailable;
            Call->m_Done(NotRun ? answerNoOwner() : answerPeerLost());
          });
}

void Router::forward(const JobRef &Call, const PoolId &Pool,
                     const std::string &Address, ForwardCallback Done) {
  const IncomingCall &Incoming = Call->m_Call;
  Duration Left = Incoming.m_Deadline - m_Parts.m_Clock.wallNow();
  if (Left <= Duration::zero())
    return Done(refusedAnswer(
        504, "deadline-passed",
        "The deadline passed before the request was sent.", NoOwnerRetryAfter));
  auto Where = parseAddress(Address);
  if (!Where)
    return Done(fail(ErrorCode::Unavailable, Where.error().m_Message));
  auto Span = std::make_shared<trace::HopSpan>(
      m_Parts.m_Tracer.start("forward", Incoming.m_TraceParent));
  Span->tag("request_id", Incoming.m_CorrelationId);
  Span->tag("service", Incoming.m_Service);
  http::TimedRequest Sent;
  Sent.m_Request = forwardedRequest(Incoming, Pool, Incoming.m_Hops + 1,
                                    trace::formatTraceParent(Span->context()));
  Sent.m_Timeout = Left + ForwardSlack;
  auto Ended = [Call, Span, Address,
                Done = std::move(Done)](http::ExchangeResult Result) {
    Call->m_Watch->setEnd(nullptr);
    if (Result.m_End == http::ExchangeEnd::Answered)
      return Done(readForwardedAnswer(std::move(Result.m_Answer)));
    logEvent(LogLevel::Warning, "forward_failed",
             {{"request_id", Call->m_Call.m_CorrelationId},
              {"peer", Address},
              {"error", http::exchangeEndName(Result.m_End)}});
    bool NotSent = Result.m_End == http::ExchangeEnd::NotSent;
    Done(fail(NotSent ? ErrorCode::Unavailable : ErrorCode::Unknown,
              http::exchangeEndName(Result.m_End)));
  };
  auto Running =
      http::TimedExchange::start(m_Parts.m_Loop, m_Peers, Where.value(),
                                 std::move(Sent), std::move(Ended));
  if (Call->m_Entry.m_Class == ServiceClass::Lookup)
    Call->m_Watch->setEnd([Running] { Running->cancel(); });
}

} // namespace hyssopcross::entry
