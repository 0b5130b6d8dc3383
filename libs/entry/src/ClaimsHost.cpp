#include "hyssopcross/entry/ClaimsHost.h"
#include "hyssopcross/base/Invariant.h"
#include <boost/asio/post.hpp>

namespace hyssopcross::entry {

using balancing::AttemptEnd;

namespace {

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
    auto Found = m_Host.m_Calls.find(m_Call);
    if (Found == m_Host.m_Calls.end())
      return false;
    Found->second.m_MaySend = false;
    m_Host.stepLocked(claims::SendAsked{m_Call});
    Found = m_Host.m_Calls.find(m_Call);
    return Found != m_Host.m_Calls.end() && Found->second.m_MaySend;
  }

  void sendEnded(const backend::ServerAnswer &Answer) override {
    claims::SendEnded Ended;
    Ended.m_Call = m_Call;
    Ended.m_End = toSendEnd(Answer.m_End);
    if (Ended.m_End == claims::SendEnd::Completed)
      Ended.m_Answer = {
          static_cast<uint16_t>(Answer.m_Status),
          std::string(backend::findHeader(Answer, "Content-Type")),
          Answer.m_Body};
    m_Host.apply(Ended);
  }

private:
  ClaimsHost &m_Host;
  claims::CallId m_Call;
};

ClaimsHost::ClaimsHost(std::string Process, claims::ClaimPolicy Policy,
                       uint64_t Seed, const Clock &Time,
                       boost::asio::io_context &Loop, StoreAccess &Store,
                       Timers &Wakes)
    : m_Clock(Time), m_Loop(Loop), m_Store(Store), m_Timers(Wakes),
      m_State(std::move(Process), Policy, Seed) {}

void ClaimsHost::run(const claims::MoneyArrived &Arrival, SendCall Send,
                     AnswerCallback Done) {
  std::lock_guard Lock(m_Mutex);
  claims::MoneyArrived Event = Arrival;
  Event.m_Call = ++m_LastCall;
  m_Calls[Event.m_Call] = {std::move(Send), std::move(Done)};
  stepLocked(Event);
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
  SendCall Send = std::move(m_Calls.at(Action.m_Call).m_Send);
  boost::asio::post(
      m_Loop, [this, Call = Action.m_Call, Send = std::move(Send)] {
        Send(std::make_shared<Gate>(*this, Call),
             [this, Call](const CallResult &Result) { report(Call, Result); });
      });
}

void ClaimsHost::carryOut(const claims::AllowSend &Action) {
  m_Calls.at(Action.m_Call).m_MaySend = true;
}

void ClaimsHost::carryOut(const claims::DenySend &Action) {
  m_Calls.at(Action.m_Call).m_MaySend = false;
}

void ClaimsHost::carryOut(const claims::Answer &Action) {
  auto Known = m_Calls.find(Action.m_Call);
  HYSSOPCROSS_INVARIANT(Known != m_Calls.end(), "a call is answered once");
  boost::asio::post(m_Loop, [Done = std::move(Known->second.m_Done), Action] {
    Done(Action);
  });
  m_Calls.erase(Known);
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
