#include "hyssopcross/entry/PoolHost.h"
#include "hyssopcross/base/Invariant.h"
#include <boost/asio/post.hpp>

namespace hyssopcross::entry {

using namespace balancing;

namespace {

/// Time allowed for a server to answer a probe.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);

/// An attempt that ended before it was sent, for a reason that is not the
/// server's.
backend::ServerAnswer notSent(const char *Why) {
  backend::ServerAnswer Answer;
  Answer.m_Detail = Why;
  Answer.m_ServerFault = false;
  return Answer;
}

} // namespace

PoolHost::PoolHost(PoolState State, const Clock &Time,
                   boost::asio::io_context &Loop, backend::Sender &Servers,
                   PoolPorts &Ports)
    : m_Clock(Time), m_Loop(Loop), m_Servers(Servers), m_Ports(Ports),
      m_State(std::move(State)) {}

CallId PoolHost::run(CallRequest Call, ResultCallback Done) {
  std::lock_guard Lock(m_Mutex);
  CallId Id = ++m_LastCall;
  CallArrived Arrival;
  Arrival.m_Call = Id;
  Arrival.m_Deadline = Call.m_Deadline;
  Arrival.m_ShareKey = Call.m_ShareKey;
  Arrival.m_PriorAttempts = Call.m_PriorAttempts;
  Arrival.m_Depth = Call.m_Depth;
  Arrival.m_HandedOver = Call.m_HandedOver;
  auto Opened = std::make_shared<OpenCall>();
  Opened->m_Call = std::move(Call);
  Opened->m_Done = std::move(Done);
  m_Calls[Id] = std::move(Opened);
  stepLocked(Arrival);
  return Id;
}

void PoolHost::abandon(CallId Call) {
  std::lock_guard Lock(m_Mutex);
  if (m_Calls.erase(Call) != 0)
    stepLocked(CallAbandoned{Call});
}

void PoolHost::apply(const Event &Event) {
  std::lock_guard Lock(m_Mutex);
  stepLocked(Event);
}

PoolFigures PoolHost::figures() {
  std::lock_guard Lock(m_Mutex);
  return balancing::figures(m_State, m_Clock.now());
}

void PoolHost::stepLocked(const Event &Event) {
  m_Pending.push_back(Event);
  if (m_Stepping)
    return;
  m_Stepping = true;
  checkStandingLocked();
  while (!m_Pending.empty()) {
    balancing::Event Next = std::move(m_Pending.front());
    m_Pending.pop_front();
    stepOnceLocked(Next);
  }
  m_Stepping = false;
}

void PoolHost::stepOnceLocked(const Event &Event) {
  std::vector<Action> Actions;
  step(m_State, Event, m_Clock.now(), Actions);
  carryOutLocked(Actions);
}

void PoolHost::checkStandingLocked() {
  LeaseStanding Standing = m_Ports.standing(m_State.m_Id);
  if (Standing == m_Standing)
    return;
  m_Standing = Standing;
  m_Pending.push_front(LeaseChanged{Standing == LeaseStanding::Confirmed});
}

void PoolHost::carryOutLocked(std::vector<Action> &Actions) {
  for (const Action &Next : Actions)
    std::visit([this](const auto &Known) { carryOut(Known); }, Next);
}

void PoolHost::carryOut(const SendAttempt &Action) {
  auto Call = m_Calls.find(Action.m_Call);
  HYSSOPCROSS_INVARIANT(Call != m_Calls.end(),
                        "attempts are made for open calls");
  m_Attempts[Action.m_Attempt] = {Action.m_Server, Call->second, nullptr};
  boost::asio::post(m_Loop,
                    [Self = shared_from_this(), Attempt = Action.m_Attempt] {
                      Self->begin(Attempt);
                    });
}

void PoolHost::carryOut(const CancelAttempt &Action) {
  auto Known = m_Attempts.find(Action.m_Attempt);
  if (Known == m_Attempts.end())
    return;
  Known->second.m_Cancelled = true;
  boost::asio::post(m_Loop,
                    [Self = shared_from_this(), Attempt = Action.m_Attempt] {
                      Self->cancel(Attempt);
                    });
}

std::shared_ptr<PoolHost::OpenCall> PoolHost::closeLocked(CallId Call) {
  auto Known = m_Calls.find(Call);
  HYSSOPCROSS_INVARIANT(Known != m_Calls.end(), "a call ends once");
  std::shared_ptr<OpenCall> Closed = std::move(Known->second);
  m_Calls.erase(Known);
  return Closed;
}

void PoolHost::finishLocked(const std::shared_ptr<OpenCall> &Call,
                            CallResult Result) {
  boost::asio::post(m_Loop, [Done = std::move(Call->m_Done),
                             Result = std::move(Result)]() mutable {
    Done(std::move(Result));
  });
}

void PoolHost::carryOut(const FinishCall &Action) {
  std::shared_ptr<OpenCall> Call = closeLocked(Action.m_Call);
  finishLocked(Call,
               CallAnswered{std::move(Call->m_Answers[Action.m_Attempt])});
}

void PoolHost::carryOut(const RefuseCall &Action) {
  finishLocked(closeLocked(Action.m_Call),
               CallRefused{Action.m_Reason, Action.m_RetryAfter});
}

void PoolHost::carryOut(const HandOverCall &Action) {
  finishLocked(closeLocked(Action.m_Call), CallHandedOver{Action.m_Pool});
}

void PoolHost::carryOut(const SendProbe &Action) {
  boost::asio::post(m_Loop,
                    [Self = shared_from_this(), Server = Action.m_Server] {
                      Self->probe(Server);
                    });
}

void PoolHost::carryOut(const KeepConnections &Action) {
  boost::asio::post(m_Loop, [Self = shared_from_this(), Action] {
    Self->m_Servers.keep(Action.m_Server, Action.m_Count);
  });
}

void PoolHost::carryOut(const AnnounceQueueing &Action) {
  m_Ports.announceQueueing(m_State.m_Id, Action.m_Queueing);
}

void PoolHost::carryOut(const AskPull &Action) {
  m_Ports.askPull(m_State.m_Id, Action.m_Pool, Action.m_FreeSlots);
}

void PoolHost::carryOut(const WakeAt &Action) {
  m_Ports.wakeAt(m_State.m_Id, Action.m_Time);
}

bool PoolHost::mayBeginLocked(const OpenAttempt &Attempt) {
  return !Attempt.m_Cancelled &&
         m_Ports.standing(m_State.m_Id) != LeaseStanding::NotOwner;
}

void PoolHost::begin(AttemptId Attempt) {
  std::shared_ptr<OpenCall> Call;
  ServerId Server;
  bool MayBegin = false;
  {
    std::lock_guard Lock(m_Mutex);
    const OpenAttempt &Known = m_Attempts.at(Attempt);
    Call = Known.m_Call;
    Server = Known.m_Server;
    MayBegin = mayBeginLocked(Known);
  }
  if (!MayBegin)
    return endAttempt(Attempt, notSent("cancelled, or the lease has run out"));
  const std::shared_ptr<SendGate> &Gate = Call->m_Call.m_Gate;
  if (Gate && !Gate->maySend())
    return endAttempt(Attempt, notSent("the send was not allowed"));
  backend::ServerRequest Request = Call->m_Call.m_Request;
  Request.m_Timeout = Call->m_Call.m_Deadline - m_Clock.now();
  if (Request.m_Timeout <= Duration::zero()) {
    backend::ServerAnswer Late = notSent("the deadline has passed");
    if (Gate)
      Gate->sendEnded(Late);
    return endAttempt(Attempt, std::move(Late));
  }
  auto Sent = m_Servers.send(
      Server, Request,
      [Self = shared_from_this(), Attempt, Gate](backend::ServerAnswer Answer) {
        if (Gate)
          Gate->sendEnded(Answer);
        Self->endAttempt(Attempt, std::move(Answer));
      });
  std::lock_guard Lock(m_Mutex);
  m_Attempts.at(Attempt).m_Exchange = std::move(Sent);
}

void PoolHost::cancel(AttemptId Attempt) {
  std::shared_ptr<http::TimedExchange> Exchange;
  std::shared_ptr<SendGate> Gate;
  {
    std::lock_guard Lock(m_Mutex);
    auto Known = m_Attempts.find(Attempt);
    if (Known == m_Attempts.end() || !Known->second.m_Exchange)
      return;
    Exchange = Known->second.m_Exchange;
    Gate = Known->second.m_Call->m_Call.m_Gate;
  }
  Exchange->cancel();
  backend::ServerAnswer Answer;
  Answer.m_End = AttemptEnd::Cancelled;
  Answer.m_Detail = "cancelled";
  if (Gate)
    Gate->sendEnded(Answer);
  endAttempt(Attempt, std::move(Answer));
}

void PoolHost::endAttempt(AttemptId Attempt, backend::ServerAnswer Answer) {
  std::lock_guard Lock(m_Mutex);
  auto Known = m_Attempts.find(Attempt);
  HYSSOPCROSS_INVARIANT(Known != m_Attempts.end(), "an attempt ends once");
  OpenAttempt Ended = std::move(Known->second);
  m_Attempts.erase(Known);
  if (Ended.m_Exchange)
    reportConnectionsLocked(Ended.m_Server);
  AttemptEnded Event{Attempt, Answer.m_End, Answer.m_Report,
                     Answer.m_ServerFault};
  Ended.m_Call->m_Answers[Attempt] = std::move(Answer);
  stepLocked(Event);
}

void PoolHost::probe(const ServerId &Server) {
  constexpr const char *Id = "probe";
  backend::ServerRequest Request;
  Request.m_Message =
      backend::makeMessage("GET", "/load", m_State.m_Id.m_Service, {}, Id, {});
  Request.m_CorrelationId = Id;
  Request.m_Timeout = ProbeTimeout;
  Request.m_Idempotent = true;
  m_Servers.send(
      Server, Request,
      [Self = shared_from_this(), Server](const backend::ServerAnswer &Answer) {
        std::lock_guard Lock(Self->m_Mutex);
        Self->reportConnectionsLocked(Server);
        Self->stepLocked(ProbeEnded{Server, Answer.m_Report});
      });
}

void PoolHost::reportConnectionsLocked(const ServerId &Server) {
  uint32_t Open = m_Servers.open(Server);
  uint32_t &Known = m_OpenConnections[Server];
  if (Known == Open)
    return;
  Known = Open;
  stepLocked(ConnectionsChanged{Server, Open});
}

} // namespace hyssopcross::entry
