#include "World.h"
#include <algorithm>

namespace hyssopcross::balancing::tests {

namespace {

constexpr int ServerCount = 4;
constexpr Duration ServiceTime = 10ms;

void check(bool Condition, const char *What) {
  if (!Condition)
    throw Violation(What);
}

} // namespace

World::World(catalogue::ServiceEntry Entry, PoolPolicy Policy, uint64_t Seed)
    : m_Host(std::move(Entry), Policy, Seed) {
  for (int Index = 1; Index <= ServerCount; ++Index)
    m_Servers["s" + std::to_string(Index)];
  apply(PeersListed{{{"boletas", "cusco"}}});
  listServers();
}

void World::run(const Command &Command) {
  FakeServer &Server = pick(Command.m_A);
  PoolId Peer{"boletas", "cusco"};
  switch (Command.m_Kind % 24) {
  default:
    arrive(Command.m_A, Command.m_B);
    break;
  case 0:
  case 1:
  case 2:
  case 3:
    advance(std::chrono::microseconds(Command.m_A * 200));
    break;
  case 4:
    advance(std::chrono::milliseconds(Command.m_A * 8));
    break;
  case 5:
    Server.m_SlowFactor = Command.m_B % 2 ? 1 : 8;
    break;
  case 6:
    Server.m_Draining = true;
    break;
  case 7:
    Server.m_Draining = false;
    ++Server.m_Boot;
    break;
  case 8:
    Server.m_Breaks = !Server.m_Breaks;
    break;
  case 9:
    toggleLeaving(Command.m_A);
    break;
  case 10:
    apply(LeaseChanged{Command.m_A % 3 != 0});
    break;
  case 11:
    takeOver(Command.m_A);
    break;
  case 12:
    apply(PeerQueueing{Peer, Command.m_A % 2 == 0});
    break;
  case 13:
    apply(PullAsked{Peer, Command.m_A % 5U});
    break;
  case 14:
    if (m_LastCall > 0 && m_Calls.erase(m_LastCall - Command.m_A % 4U))
      apply(CallAbandoned{m_LastCall - Command.m_A % 4U});
    break;
  case 15:
    apply(EntryChanged{m_Host.m_State.m_Entry, Command.m_A % 4 != 0});
    break;
  }
}

void World::advance(Duration Time) {
  TimePoint End = m_Host.m_Now + Time;
  while (runNextUntil(End)) {
  }
  m_Host.m_Now = End;
}

void World::finish() {
  for (auto &[Id, Server] : m_Servers)
    Server.m_SlowFactor = 1;
  advance(10s);
  check(m_Calls.empty(), "every call ends");
  const PoolState &State = m_Host.m_State;
  bool Clean = State.m_Calls.empty() && State.m_Attempts.empty() &&
               State.m_Queue.size() == 0 && State.m_Queue.m_Shares.empty() &&
               State.m_Hedges.empty();
  check(Clean, "nothing is left of calls that have ended");
}

bool World::runNextUntil(TimePoint End) {
  TimePoint Next = m_WakeAt.value_or(TimePoint::max());
  AttemptId Ends = 0;
  for (const auto &[Id, Attempt] : m_Attempts)
    if (Attempt.m_EndsAt < Next) {
      Next = Attempt.m_EndsAt;
      Ends = Id;
    }
  ServerId Probed;
  for (const auto &[Id, Time] : m_ProbesRunning)
    if (Time < Next) {
      Next = Time;
      Probed = Id;
    }
  if (Next > End)
    return false;
  m_Host.m_Now = std::max(m_Host.m_Now, Next);
  if (!Probed.empty()) {
    m_ProbesRunning.erase(Probed);
    const FakeServer &Server = m_Servers.at(Probed);
    std::optional<LoadReport> Report;
    if (!Server.m_Breaks)
      Report = report(Server);
    apply(ProbeEnded{Probed, Report});
  } else if (Ends != 0) {
    endAttempt(Ends);
  } else {
    m_WakeAt.reset();
    apply(Woke{});
  }
  return true;
}

void World::endAttempt(AttemptId Id) {
  Attempt Ended = m_Attempts.at(Id);
  m_Attempts.erase(Id);
  FakeServer &Server = m_Servers.at(Ended.m_Server);
  bool Ran =
      Ended.m_End != AttemptEnd::Shed && Ended.m_End != AttemptEnd::NotSent;
  if (Ran)
    --Server.m_Running;
  AttemptEnded Event{Id, Ended.m_End, {}};
  if (Ended.m_End == AttemptEnd::Completed || Ended.m_End == AttemptEnd::Shed)
    Event.m_Report = report(Server);
  apply(Event);
}

void World::apply(const Event &Event) {
  m_Host.apply(Event);
  std::vector<Action> Actions = m_Host.m_Actions;
  for (const Action &Action : Actions)
    std::visit([this](const auto &Known) { carryOut(Known); }, Action);
}

void World::carryOut(const SendAttempt &Action) {
  auto Call = m_Calls.find(Action.m_Call);
  check(Call != m_Calls.end(), "only open calls are sent");
  check(Call->second.m_Deadline > m_Host.m_Now, "no call is sent too late");
  FakeServer &Server = m_Servers.at(Action.m_Server);
  check(!Server.m_ListedLeaving && Server.m_LeavingBoot != Server.m_Boot,
        "a leaving server gets no work");
  Attempt Sent;
  Sent.m_Call = Action.m_Call;
  Sent.m_Server = Action.m_Server;
  bool Refuses = Server.m_Draining ||
                 Server.m_Running >= m_Host.m_State.m_Entry.m_Limits.m_Slots;
  if (Refuses) {
    Sent.m_End = AttemptEnd::Shed;
    Sent.m_EndsAt = m_Host.m_Now + 1ms;
  } else {
    Sent.m_End = Server.m_Breaks ? AttemptEnd::Broken : AttemptEnd::Completed;
    Sent.m_EndsAt = m_Host.m_Now + ServiceTime * Server.m_SlowFactor;
    ++Server.m_Running;
    uint32_t Executions = ++Call->second.m_Executions;
    bool Lookup =
        m_Host.m_State.m_Entry.m_Class == catalogue::ServiceClass::Lookup;
    check(Lookup || Executions == 1, "money runs once");
  }
  m_Attempts[Action.m_Attempt] = Sent;
}

void World::carryOut(const CancelAttempt &Action) {
  Attempt &Known = m_Attempts.at(Action.m_Attempt);
  if (Known.m_End == AttemptEnd::Shed)
    return;
  Known.m_End = AttemptEnd::Cancelled;
  Known.m_EndsAt = std::min(Known.m_EndsAt, m_Host.m_Now + 1ms);
}

void World::closeCall(CallId Call) {
  check(m_Calls.erase(Call) == 1, "a call ends once");
}

void World::carryOut(const FinishCall &Action) {
  check(!m_Attempts.contains(Action.m_Attempt),
        "a call finishes with an attempt that has ended");
  closeCall(Action.m_Call);
}

void World::carryOut(const RefuseCall &Action) {
  check(m_Calls.at(Action.m_Call).m_Executions == 0,
        "a refused call has not run");
  check(m_Calls.at(Action.m_Call).m_Deadline >= m_Host.m_Now,
        "a call is refused by its deadline");
  check(Action.m_RetryAfter > 0ns, "a refusal says when to come back");
  closeCall(Action.m_Call);
}

void World::carryOut(const HandOverCall &Action) {
  check(m_Calls.at(Action.m_Call).m_Executions == 0,
        "a call that is handed over has not run");
  closeCall(Action.m_Call);
}

void World::carryOut(const SendProbe &Action) {
  std::vector<TimePoint> &Probes = m_Servers.at(Action.m_Server).m_Probes;
  Probes.push_back(m_Host.m_Now);
  double Budget = m_Host.m_State.m_Entry.m_Limits.m_ProbesPerSecond;
  auto InLastSecond =
      std::count_if(Probes.begin(), Probes.end(), [this](TimePoint Time) {
        return m_Host.m_Now - Time < 1s;
      });
  check(static_cast<double>(InLastSecond) <= Budget,
        "probes stay within the budget");
  m_ProbesRunning[Action.m_Server] = m_Host.m_Now + 1ms;
}

void World::carryOut(const KeepConnections &Action) {
  check(Action.m_Count <= m_Host.m_State.m_Entry.m_Limits.m_Connections,
        "connections stay within their limit");
}

void World::carryOut(const AskPull &Action) {
  uint32_t Slots = ServerCount * m_Host.m_State.m_Entry.m_Limits.m_Slots;
  check(Action.m_FreeSlots > 0 && Action.m_FreeSlots <= Slots,
        "an offer names slots that exist");
}

LoadReport World::report(const FakeServer &Server) const {
  LoadReport Report;
  Report.m_InFlight = Server.m_Running;
  Report.m_Draining = Server.m_Draining;
  Report.m_BootId = "boot" + std::to_string(Server.m_Boot);
  return Report;
}

FakeServer &World::pick(uint8_t Number) {
  return m_Servers.at("s" + std::to_string(Number % ServerCount + 1));
}

void World::arrive(uint8_t Count, uint8_t Allowed) {
  for (int Index = 0; Index <= Count % 4; ++Index) {
    CallArrived Event;
    Event.m_Call = ++m_LastCall;
    Event.m_Deadline =
        m_Host.m_Now + std::chrono::milliseconds(1 + Allowed * 4);
    Event.m_ShareKey = std::string(1, static_cast<char>('a' + Allowed % 3));
    Event.m_HandedOver = Allowed % 7 == 0;
    Event.m_Depth = Allowed % 5 == 0 ? 3 : 1;
    m_Calls[m_LastCall].m_Deadline = Event.m_Deadline;
    apply(Event);
  }
}

void World::listServers() {
  ServersListed Event;
  for (const auto &[Id, Server] : m_Servers)
    Event.m_Servers.push_back({Id, Server.m_ListedLeaving});
  apply(Event);
}

void World::toggleLeaving(uint8_t Number) {
  FakeServer &Server = pick(Number);
  Server.m_ListedLeaving = !Server.m_ListedLeaving;
  const ServerState &Known =
      m_Host.m_State.m_Servers.at("s" + std::to_string(Number % 4 + 1));
  bool Current = Known.m_BootId == report(Server).m_BootId;
  if (Server.m_ListedLeaving && Current)
    Server.m_LeavingBoot = Server.m_Boot;
  listServers();
}

void World::takeOver(uint8_t Bits) {
  TookOver Event;
  Event.m_Until = m_Host.m_Now + 50ms;
  for (const auto &[Id, Server] : m_Servers) {
    bool Warm = Bits % 2 != 0;
    Bits /= 2;
    Event.m_Digest.push_back({Id, report(Server).m_BootId, Warm, false, 2, 1});
  }
  apply(Event);
}

} // namespace hyssopcross::balancing::tests
