#include "hyssopcross/entry/ClaimsHost.h"
#include <strings.h>

namespace hyssopcross::entry {

using balancing::AttemptEnd;

namespace {

std::string contentType(const backend::ServerAnswer &Answer) {
  for (const auto &[Name, Value] : Answer.m_Headers)
    if (strcasecmp(Name.c_str(), "Content-Type") == 0)
      return Value;
  return {};
}

claims::SendEnd toSendEnd(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Completed:
    return claims::SendEnd::Completed;
  case AttemptEnd::Shed:
  case AttemptEnd::NotSent:
    return claims::SendEnd::NotRun;
  case AttemptEnd::Broken:
  case AttemptEnd::Cancelled:
    break;
  }
  return claims::SendEnd::Broken;
}

/// When to come back after a server refused the call or was not reached.
constexpr Duration ServerRetryAfter = std::chrono::milliseconds(250);

} // namespace

/// Asks the claim of one call around each of its sends.
class ClaimsHost::Gate final : public SendGate {
public:
  Gate(ClaimsHost &Host, claims::CallId Call) : m_Host(Host), m_Call(Call) {}

  bool maySend() override {
    std::lock_guard Lock(m_Host.m_Mutex);
    auto Found = m_Host.m_Waiting.find(m_Call);
    if (Found == m_Host.m_Waiting.end() || Found->second->m_Answer)
      return false;
    Found->second->m_MaySend.reset();
    m_Host.stepLocked(claims::SendAsked{m_Call});
    return Found->second->m_MaySend.value_or(false);
  }

  void sendEnded(const backend::ServerAnswer &Answer) override {
    claims::SendEnded Ended;
    Ended.m_Call = m_Call;
    Ended.m_End = toSendEnd(Answer.m_End);
    if (Ended.m_End == claims::SendEnd::Completed)
      Ended.m_Answer = {static_cast<uint16_t>(Answer.m_Status),
                        contentType(Answer), Answer.m_Body};
    m_Host.apply(Ended);
  }

private:
  ClaimsHost &m_Host;
  claims::CallId m_Call;
};

ClaimsHost::ClaimsHost(std::string Process, claims::ClaimPolicy Policy,
                       uint64_t Seed, const Clock &Time, StoreAccess &Store,
                       Loop &Timers)
    : m_Clock(Time), m_Store(Store), m_Timers(Timers),
      m_State(std::move(Process), Policy, Seed) {}

claims::Answer
ClaimsHost::run(const claims::MoneyArrived &Arrival,
                const std::function<CallResult(SendGate &)> &Run) {
  WaitingCall Waiting;
  std::unique_lock Lock(m_Mutex);
  claims::MoneyArrived Event = Arrival;
  Event.m_Call = ++m_LastCall;
  m_Waiting[Event.m_Call] = &Waiting;
  stepLocked(Event);
  auto Decided = [&Waiting] { return Waiting.m_Start || Waiting.m_Answer; };
  Waiting.m_Changed.wait(Lock, Decided);
  if (Waiting.m_Start && !Waiting.m_Answer) {
    Lock.unlock();
    Gate Asked(*this, Event.m_Call);
    CallResult Result = Run(Asked);
    report(Event.m_Call, Result);
    Lock.lock();
  }
  Waiting.m_Changed.wait(Lock,
                         [&Waiting] { return Waiting.m_Answer.has_value(); });
  m_Waiting.erase(Event.m_Call);
  return std::move(*Waiting.m_Answer);
}

void ClaimsHost::report(claims::CallId Call, const CallResult &Result) {
  Duration RetryAfter = ServerRetryAfter;
  if (const auto *Refused = std::get_if<CallRefused>(&Result))
    RetryAfter = Refused->m_RetryAfter;
  else if (const auto *Answered = std::get_if<CallAnswered>(&Result))
    if (toSendEnd(Answered->m_Answer.m_End) != claims::SendEnd::NotRun)
      return;
  apply(claims::CallRefused{Call, RetryAfter});
}

void ClaimsHost::setSweeper(const std::string &Service, bool Sweep) {
  apply(claims::SweeperChanged{Service, Sweep});
}

size_t ClaimsHost::open() {
  std::lock_guard Lock(m_Mutex);
  return m_State.m_Claims.size();
}

claims::ClaimCounters ClaimsHost::counters() {
  std::lock_guard Lock(m_Mutex);
  return m_State.m_Counters;
}

void ClaimsHost::apply(const claims::Event &Event) {
  std::lock_guard Lock(m_Mutex);
  stepLocked(Event);
}

void ClaimsHost::stepLocked(const claims::Event &Event) {
  std::vector<claims::Action> Actions;
  step(m_State, Event, {m_Clock.now(), m_Clock.wallNow()}, Actions);
  for (const claims::Action &Next : Actions)
    std::visit([this](const auto &Known) { carryOut(Known); }, Next);
}

void ClaimsHost::carryOut(const claims::StartCall &Action) {
  WaitingCall &Call = *m_Waiting.at(Action.m_Call);
  Call.m_Start = true;
  Call.m_Changed.notify_one();
}

void ClaimsHost::carryOut(const claims::AllowSend &Action) {
  m_Waiting.at(Action.m_Call)->m_MaySend = true;
}

void ClaimsHost::carryOut(const claims::DenySend &Action) {
  m_Waiting.at(Action.m_Call)->m_MaySend = false;
}

void ClaimsHost::carryOut(const claims::Answer &Action) {
  WaitingCall &Call = *m_Waiting.at(Action.m_Call);
  Call.m_Answer = Action;
  Call.m_Changed.notify_one();
}

void ClaimsHost::carryOut(const claims::WakeAt &Action) {
  m_Timers.schedule("claims", Action.m_Time, [this] { apply(claims::Woke{}); });
}

void ClaimsHost::carryOut(const records::RemoveObject &Action) {
  m_Store.run(Action);
}

template <typename Request> void ClaimsHost::carryOut(const Request &Action) {
  // A refused request is answered at once, on this thread, which holds the
  // lock; so every answer goes through the timers' thread.
  m_Store.run(Action, [this](auto Answer) {
    m_Timers.post([this, Answer = std::move(Answer)] { apply(Answer); });
  });
}

} // namespace hyssopcross::entry
