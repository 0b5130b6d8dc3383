#include "hyssopcross/entry/PoolHost.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::entry {

using namespace balancing;

namespace {

/// Time allowed for a server to answer a probe.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);

/// Attempts that wait for a helper thread.
constexpr size_t MaxHelpedAttempts = 256;

} // namespace

PoolHost::PoolHost(PoolState State, const Clock &Time,
                   backend::Connections &Servers, Workers &Helpers,
                   PoolPorts &Ports)
    : m_Clock(Time), m_Servers(Servers), m_Helpers(Helpers), m_Ports(Ports),
      m_State(std::move(State)) {}

CallResult PoolHost::run(const CallRequest &Call) {
  std::unique_lock Lock(m_Mutex);
  CallId Id = ++m_LastCall;
  WaitingCall Waiting(Call);
  m_Waiting[Id] = &Waiting;
  CallArrived Arrival;
  Arrival.m_Call = Id;
  Arrival.m_Deadline = Call.m_Deadline;
  Arrival.m_ShareKey = Call.m_ShareKey;
  Arrival.m_PriorAttempts = Call.m_PriorAttempts;
  Arrival.m_Depth = Call.m_Depth;
  Arrival.m_HandedOver = Call.m_HandedOver;
  stepLocked(Arrival);
  std::optional<CallResult> Result;
  // Attempts of this call that helpers run use its request, so they have to
  // end first; they were cancelled when the result was decided.
  while (!Result || Waiting.m_Helping > 0) {
    Waiting.m_Changed.wait(Lock, [&] {
      return !Waiting.m_Inbox.empty() || (Result && Waiting.m_Helping == 0);
    });
    if (Waiting.m_Inbox.empty())
      break;
    Instruction Next = std::move(Waiting.m_Inbox.front());
    Waiting.m_Inbox.pop_front();
    if (const auto *Send = std::get_if<SendAttempt>(&Next))
      performAttempt(Lock, Waiting, *Send);
    else if (const auto *Finish = std::get_if<FinishCall>(&Next))
      Result = CallAnswered{std::move(Waiting.m_Answers[Finish->m_Attempt])};
    else if (const auto *Refuse = std::get_if<RefuseCall>(&Next))
      Result = CallRefused{Refuse->m_Reason, Refuse->m_RetryAfter};
    else if (const auto *Hand = std::get_if<HandOverCall>(&Next))
      Result = CallHandedOver{Hand->m_Pool};
  }
  m_Waiting.erase(Id);
  return std::move(*Result);
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

void PoolHost::instruct(CallId Call, Instruction Next) {
  auto Found = m_Waiting.find(Call);
  HYSSOPCROSS_INVARIANT(Found != m_Waiting.end(),
                        "actions name calls that are waiting");
  Found->second->m_Inbox.push_back(std::move(Next));
  Found->second->m_Changed.notify_one();
}

void PoolHost::carryOut(const SendAttempt &Action) {
  if (!Action.m_Hedge) {
    instruct(Action.m_Call, Action);
    return;
  }
  WaitingCall *Call = m_Waiting.at(Action.m_Call);
  ++Call->m_Helping;
  bool Posted = m_Helpers.post(
      [this, Call, Action] {
        std::unique_lock Lock(m_Mutex);
        performAttempt(Lock, *Call, Action);
        --Call->m_Helping;
        Call->m_Changed.notify_one();
      },
      MaxHelpedAttempts);
  if (Posted)
    return;
  --Call->m_Helping;
  m_Pending.push_back(
      AttemptEnded{Action.m_Attempt, AttemptEnd::NotSent, {}, false});
}

void PoolHost::carryOut(const CancelAttempt &Action) {
  auto Running = m_Running.find(Action.m_Attempt);
  if (Running == m_Running.end()) {
    m_CancelledEarly.insert(Action.m_Attempt);
    return;
  }
  Running->second->cancel();
}

void PoolHost::carryOut(const FinishCall &Action) {
  instruct(Action.m_Call, Action);
}

void PoolHost::carryOut(const RefuseCall &Action) {
  instruct(Action.m_Call, Action);
}

void PoolHost::carryOut(const HandOverCall &Action) {
  instruct(Action.m_Call, Action);
}

void PoolHost::carryOut(const SendProbe &Action) {
  bool Posted =
      m_Helpers.post([Self = shared_from_this(),
                      Server = Action.m_Server] { Self->probe(Server); },
                     MaxHelpedAttempts);
  if (!Posted)
    m_Pending.push_back(ProbeEnded{Action.m_Server, {}});
}

void PoolHost::carryOut(const KeepConnections &Action) {
  m_Servers.keep(Action.m_Server, Action.m_Count);
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

std::shared_ptr<backend::Channel>
PoolHost::beginAttemptLocked(const SendAttempt &Attempt) {
  if (m_CancelledEarly.erase(Attempt.m_Attempt) != 0)
    return nullptr;
  if (m_Ports.standing(m_State.m_Id) == LeaseStanding::NotOwner)
    return nullptr;
  std::shared_ptr<backend::Channel> Used = m_Servers.acquire(Attempt.m_Server);
  m_Running[Attempt.m_Attempt] = Used;
  return Used;
}

void PoolHost::endAttemptLocked(WaitingCall &Call, const SendAttempt &Attempt,
                                std::shared_ptr<backend::Channel> Used,
                                backend::ServerAnswer Answer) {
  if (Used) {
    m_Running.erase(Attempt.m_Attempt);
    m_Servers.release(Attempt.m_Server, std::move(Used));
    reportConnectionsLocked(Attempt.m_Server);
  }
  AttemptEnded Ended{Attempt.m_Attempt, Answer.m_End, Answer.m_Report,
                     Answer.m_ServerFault};
  Call.m_Answers[Attempt.m_Attempt] = std::move(Answer);
  stepLocked(Ended);
}

void PoolHost::performAttempt(std::unique_lock<std::mutex> &Lock,
                              WaitingCall &Call, const SendAttempt &Attempt) {
  std::shared_ptr<backend::Channel> Used = beginAttemptLocked(Attempt);
  backend::ServerAnswer Answer;
  if (Used) {
    Lock.unlock();
    Answer = send(Call.m_Call, *Used);
    Lock.lock();
  } else {
    Answer.m_Detail = "cancelled, or the lease has run out";
    Answer.m_ServerFault = false;
  }
  endAttemptLocked(Call, Attempt, std::move(Used), std::move(Answer));
}

backend::ServerAnswer PoolHost::send(const CallRequest &Call,
                                     backend::Channel &Used) const {
  backend::ServerAnswer Answer;
  if (Call.m_Gate && !Call.m_Gate->maySend()) {
    Answer.m_Detail = "the send was not allowed";
    Answer.m_ServerFault = false;
    return Answer;
  }
  Duration Left = Call.m_Deadline - m_Clock.now();
  if (Left > Duration::zero()) {
    backend::ServerRequest Request = Call.m_Request;
    Request.m_Timeout = Left;
    Answer = Used.exchange(Request);
  } else {
    Answer.m_Detail = "the deadline has passed";
    Answer.m_ServerFault = false;
  }
  if (Call.m_Gate)
    Call.m_Gate->sendEnded(Answer);
  return Answer;
}

void PoolHost::probe(const ServerId &Server) {
  backend::ServerRequest Request;
  Request.m_Method = "GET";
  Request.m_Target = "/load";
  Request.m_CorrelationId = "probe";
  Request.m_Timeout = ProbeTimeout;
  Request.m_Idempotent = true;
  std::shared_ptr<backend::Channel> Used = m_Servers.acquire(Server);
  backend::ServerAnswer Answer = Used->exchange(Request);
  m_Servers.release(Server, std::move(Used));
  std::lock_guard Lock(m_Mutex);
  reportConnectionsLocked(Server);
  stepLocked(ProbeEnded{Server, Answer.m_Report});
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
