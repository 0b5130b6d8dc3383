#include "FakeEntry.h"
#include "World.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::testbed {

using namespace balancing;

HostedPool &FakeEntry::host(const PoolId &Pool) {
  uint64_t Seed = m_World.m_Layout.m_Seed * 1000 + m_Index;
  auto Hosted = std::make_unique<HostedPool>(
      Pool, m_World.entryFor(Pool.m_Service), m_World.m_Layout.m_Policy, Seed);
  m_Pools[Pool] = std::move(Hosted);
  return *m_Pools[Pool];
}

HostedPool *FakeEntry::find(const PoolId &Pool) {
  auto Found = m_Pools.find(Pool);
  return Found == m_Pools.end() ? nullptr : Found->second.get();
}

void FakeEntry::whenAwake(std::function<void()> Work) {
  if (!m_Up)
    return;
  if (m_Frozen)
    m_Held.push_back(std::move(Work));
  else
    Work();
}

void FakeEntry::deliver(const PoolId &Pool, Event Event) {
  whenAwake([this, Pool, Event = std::move(Event)] {
    if (HostedPool *Hosted = find(Pool))
      apply(*Hosted, Event);
  });
}

void FakeEntry::apply(HostedPool &Pool, const Event &Event) {
  std::vector<Action> Actions;
  step(Pool.m_State, Event, m_World.m_Queue.now(), Actions);
  for (const Action &Action : Actions)
    std::visit([this, &Pool](const auto &Known) { act(Pool, Known); }, Action);
}

void FakeEntry::takeCall(const PoolId &Pool, CallId Call, bool HandedOver) {
  whenAwake([this, Pool, Call, HandedOver] {
    auto Open = m_World.m_Open.find(Call);
    if (Open == m_World.m_Open.end())
      return;
    HostedPool *Hosted = find(Pool);
    if (!Hosted || Hosted->m_Deposed)
      return forward(Pool, Call);
    Open->second.m_Pool = Pool;
    CallArrived Arrival;
    Arrival.m_Call = Call;
    Arrival.m_Deadline = m_World.m_Ledger.m_Calls[Call].m_Deadline;
    Arrival.m_ShareKey = m_World.m_Ledger.m_Calls[Call].m_ShareKey;
    Arrival.m_PriorAttempts = Open->second.m_Attempts;
    Arrival.m_HandedOver = HandedOver;
    apply(*Hosted, Arrival);
  });
}

void FakeEntry::forward(const PoolId &Pool, CallId Call) {
  OpenCall &Open = m_World.m_Open.at(Call);
  std::optional<size_t> Owner = m_World.ownerOf(Pool);
  constexpr Duration RetryAfter = std::chrono::milliseconds(500);
  bool Forwarded = Open.m_Path.size() > 1;
  if (!Owner || *Owner == m_Index || Forwarded)
    return m_World.passBack(Call, Open.m_Path.size() - 1, Told::NotRun,
                            RetryAfter, false);
  FakeEntry &Peer = *m_World.m_Entries[*Owner];
  Open.m_Path.push_back(*Owner);
  auto Delay = m_World.m_Network.delay(party(), Peer.party());
  if (!Delay)
    return;
  m_World.m_Queue.after(
      *Delay, [&Peer, Pool, Call] { Peer.takeCall(Pool, Call, false); });
}

void FakeEntry::takeAnswer(RequestId Id, const PoolId &Pool, AttemptId Attempt,
                           const Answer &Answer) {
  whenAwake([this, Id, Pool, Attempt, Answer] {
    HostedPool *Hosted = find(Pool);
    if (!Hosted)
      return;
    auto Known = Hosted->m_Attempts.find(Attempt);
    if (Known == Hosted->m_Attempts.end() || Known->second.m_Request != Id)
      return;
    bool Crossed = Answer.m_Call != Known->second.m_Call;
    Known->second.m_Mismatched = Crossed;
    bool Accepted = !Crossed || !m_World.m_Layout.m_ChecksAnswers;
    switch (Answer.m_Kind) {
    case AnswerKind::Whole:
      return endOne(*Hosted, Attempt,
                    Accepted ? AttemptEnd::Completed : AttemptEnd::Broken,
                    Answer.m_Report);
    case AnswerKind::Shed:
      return endOne(*Hosted, Attempt, AttemptEnd::Shed, Answer.m_Report);
    case AnswerKind::Refused:
      return endOne(*Hosted, Attempt, AttemptEnd::NotSent, std::nullopt);
    case AnswerKind::Cancelled:
      return endOne(*Hosted, Attempt, AttemptEnd::Cancelled, std::nullopt);
    case AnswerKind::Reset:
    case AnswerKind::CutShort:
      return endOne(*Hosted, Attempt, AttemptEnd::Broken, std::nullopt);
    }
  });
}

void FakeEntry::endAttempt(const PoolId &Pool, AttemptId Attempt,
                           AttemptEnd End,
                           const std::optional<LoadReport> &Report) {
  whenAwake([this, Pool, Attempt, End, Report] {
    if (HostedPool *Hosted = find(Pool))
      endOne(*Hosted, Attempt, End, Report);
  });
}

void FakeEntry::endOne(HostedPool &Pool, AttemptId Attempt, AttemptEnd End,
                       std::optional<LoadReport> Report) {
  auto Known = Pool.m_Attempts.find(Attempt);
  if (Known == Pool.m_Attempts.end() || Known->second.m_End)
    return;
  Known->second.m_End = End;
  m_World.m_Routes.erase(Known->second.m_Request);
  ServerId Server = Known->second.m_Server;
  HostedConnections &Kept = Pool.m_Connections[Server];
  --Kept.m_Busy;
  bool Closed = End == AttemptEnd::Broken || End == AttemptEnd::Cancelled;
  if (Closed && Kept.m_Open > 0) {
    --Kept.m_Open;
    apply(Pool, ConnectionsChanged{Server, Kept.m_Open});
  }
  apply(Pool, AttemptEnded{Attempt, End, std::move(Report)});
  if (Pool.m_Attempts.size() > 4096)
    std::erase_if(Pool.m_Attempts, [this](const auto &Item) {
      return Item.second.m_End && !m_World.m_Open.contains(Item.second.m_Call);
    });
}

void FakeEntry::kill() {
  m_Up = false;
  m_Frozen = false;
  m_Held.clear();
  for (auto &[Id, Pool] : m_Pools)
    for (auto &[Attempt, Known] : Pool->m_Attempts)
      if (!Known.m_End)
        m_World.sendCancel(Known.m_Request);
  m_Pools.clear();
}

void FakeEntry::runHeld() {
  std::vector<std::function<void()>> Held;
  Held.swap(m_Held);
  for (auto &Work : Held)
    whenAwake(std::move(Work));
}

} // namespace hyssopcross::testbed
