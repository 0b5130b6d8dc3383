#include "hyssopcross/balancing/Pool.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>

namespace hyssopcross::balancing {

namespace {

constexpr Duration RefusalRetryAfter = std::chrono::milliseconds(200);

/// The state, instant and output of one step.
struct Context {
  PoolState &m_State;
  TimePoint m_Now;
  std::vector<Action> &m_Actions;
};

ServerState *findFreeServer(PoolState &State, ServerId &Found) {
  ServerState *Best = nullptr;
  for (auto &[Id, Server] : State.m_Servers) {
    if (Server.m_Leaving || Server.m_InFlight >= State.m_Entry.m_Limits.m_Slots)
      continue;
    if (Best && Best->m_InFlight <= Server.m_InFlight)
      continue;
    Best = &Server;
    Found = Id;
  }
  return Best;
}

void refuse(Context &Step, CallId Call, RefusalReason Reason) {
  Step.m_State.m_Calls.erase(Call);
  Step.m_Actions.emplace_back(RefuseCall{Call, Reason, RefusalRetryAfter});
}

void dispatchQueue(Context &Step) {
  PoolState &State = Step.m_State;
  while (!State.m_Queue.empty()) {
    CallId Call = State.m_Queue.front();
    if (State.m_Calls.at(Call).m_Arrival.m_Deadline <= Step.m_Now) {
      State.m_Queue.pop_front();
      refuse(Step, Call, RefusalReason::DeadlinePassed);
      continue;
    }
    ServerId Id;
    ServerState *Server = findFreeServer(State, Id);
    if (!Server)
      return;
    State.m_Queue.pop_front();
    ++Server->m_InFlight;
    AttemptId Attempt = ++State.m_LastAttempt;
    State.m_Attempts[Attempt] = {Call, Id};
    State.m_Calls.at(Call).m_Running.push_back(Attempt);
    Step.m_Actions.emplace_back(SendAttempt{Call, Attempt, Id, false});
  }
}

void apply(Context &Step, const CallArrived &Event) {
  PoolState &State = Step.m_State;
  if (State.m_Servers.empty() || !State.m_InService) {
    refuse(Step, Event.m_Call, RefusalReason::NoServer);
    return;
  }
  if (State.m_Queue.size() >= State.m_Entry.m_Limits.m_Queue) {
    refuse(Step, Event.m_Call, RefusalReason::Overloaded);
    return;
  }
  State.m_Calls[Event.m_Call] = {Event, {}};
  State.m_Queue.push_back(Event.m_Call);
}

void apply(Context &Step, const CallAbandoned &Event) {
  PoolState &State = Step.m_State;
  auto Call = State.m_Calls.find(Event.m_Call);
  if (Call == State.m_Calls.end())
    return;
  for (AttemptId Attempt : Call->second.m_Running)
    Step.m_Actions.emplace_back(CancelAttempt{Attempt});
  std::erase(State.m_Queue, Event.m_Call);
  State.m_Calls.erase(Call);
}

void apply(Context &Step, const AttemptEnded &Event) {
  PoolState &State = Step.m_State;
  auto Attempt = State.m_Attempts.find(Event.m_Attempt);
  HYSSOPCROSS_INVARIANT(Attempt != State.m_Attempts.end(),
                        "an attempt ends once");
  auto Server = State.m_Servers.find(Attempt->second.m_Server);
  if (Server != State.m_Servers.end())
    --Server->second.m_InFlight;
  CallId Call = Attempt->second.m_Call;
  State.m_Attempts.erase(Attempt);
  if (State.m_Calls.erase(Call) != 0)
    Step.m_Actions.emplace_back(FinishCall{Call, Event.m_Attempt});
}

void apply(Context &Step, const ServersListed &Event) {
  for (const ServerRecord &Record : Event.m_Servers) {
    ServerState &Server = Step.m_State.m_Servers[Record.m_Server];
    Server.m_Leaving = Server.m_Leaving || Record.m_Leaving;
  }
}

void apply(Context &Step, const EntryChanged &Event) {
  Step.m_State.m_Entry = Event.m_Entry;
  Step.m_State.m_InService = Event.m_InService;
}

template <typename Other> void apply(Context &, const Other &) {}

} // namespace

void step(PoolState &State, const Event &Event, TimePoint Now,
          std::vector<Action> &Actions) {
  Context Step{State, Now, Actions};
  std::visit([&Step](const auto &Known) { apply(Step, Known); }, Event);
  dispatchQueue(Step);
}

} // namespace hyssopcross::balancing
