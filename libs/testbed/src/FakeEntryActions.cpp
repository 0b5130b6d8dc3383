#include "FakeEntry.h"
#include "World.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::testbed {

using namespace balancing;

namespace {

Told toldFor(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Completed:
    return Told::Completed;
  case AttemptEnd::Shed:
  case AttemptEnd::NotSent:
    return Told::NotRun;
  case AttemptEnd::Broken:
  case AttemptEnd::Cancelled:
    return Told::Unknown;
  }
  return Told::Unknown;
}

} // namespace

void FakeEntry::act(HostedPool &Pool, const SendAttempt &Action) {
  CallRecord &Call = m_World.m_Ledger.m_Calls[Action.m_Call];
  TimePoint Deadline = Call.m_Deadline;
  auto Open = m_World.m_Open.find(Action.m_Call);
  Duration Work = Call.m_Work;
  if (Open != m_World.m_Open.end() && Open->second.m_Attempts++ > 0 &&
      m_World.m_Layout.m_IndependentAttempts)
    Work = m_World.drawWork(Call.m_Service);
  RequestId Id = ++m_World.m_LastRequest;
  const PoolId &PoolName = Pool.m_State.m_Id;
  Pool.m_Attempts[Action.m_Attempt] = {
      Id, Action.m_Call, Action.m_Server, {}, false};
  m_World.m_Routes[Id] = {m_Index,         PoolName, Action.m_Attempt,
                          Action.m_Server, false,    false};
  HostedConnections &Kept = Pool.m_Connections[Action.m_Server];
  Duration Connect{};
  if (++Kept.m_Busy > Kept.m_Open) {
    ++Kept.m_Open;
    Connect = m_World.m_Layout.m_Timing.m_Connect;
    m_World.m_Queue.after(
        Connect, [this, PoolName, Action, Open = Kept.m_Open] {
          deliver(PoolName, ConnectionsChanged{Action.m_Server, Open});
        });
  }
  FakeServer &Server = m_World.server(Action.m_Server);
  auto Delay = m_World.m_Network.delay(party(), m_World.party(Server));
  if (Delay)
    m_World.sendRequest(Id, {Id, Action.m_Call, Work, Deadline},
                        *Delay + Connect);
  constexpr Duration Grace = std::chrono::milliseconds(5);
  m_World.m_Queue.at(Deadline + Grace,
                     [this, PoolName, Attempt = Action.m_Attempt, Id] {
                       if (!m_World.m_Routes.contains(Id))
                         return;
                       m_World.sendCancel(Id);
                       endAttempt(PoolName, Attempt, AttemptEnd::Broken, {});
                     });
}

void FakeEntry::act(HostedPool &Pool, const CancelAttempt &Action) {
  const HostedAttempt &Known = Pool.m_Attempts.at(Action.m_Attempt);
  if (!Known.m_End)
    m_World.sendCancel(Known.m_Request);
}

void FakeEntry::act(HostedPool &Pool, const FinishCall &Action) {
  const HostedAttempt &Known = Pool.m_Attempts.at(Action.m_Attempt);
  HYSSOPCROSS_INVARIANT(Known.m_End.has_value(),
                        "a call finishes with an attempt that has ended");
  auto Open = m_World.m_Open.find(Action.m_Call);
  if (Open == m_World.m_Open.end())
    return;
  constexpr Duration RetryAfter = std::chrono::milliseconds(100);
  Told Told = toldFor(*Known.m_End);
  m_World.passBack(Action.m_Call, Open->second.m_Path.size() - 1, Told,
                   Told == Told::NotRun ? RetryAfter : Duration::zero(),
                   Known.m_Mismatched && Told == Told::Completed);
}

void FakeEntry::act(HostedPool &, const RefuseCall &Action) {
  auto Open = m_World.m_Open.find(Action.m_Call);
  if (Open != m_World.m_Open.end())
    m_World.passBack(Action.m_Call, Open->second.m_Path.size() - 1,
                     Told::NotRun, Action.m_RetryAfter, false);
}

void FakeEntry::act(HostedPool &, const HandOverCall &Action) {
  auto Open = m_World.m_Open.find(Action.m_Call);
  if (Open == m_World.m_Open.end())
    return;
  std::optional<size_t> Owner = m_World.ownerOf(Action.m_Pool);
  size_t Here = Open->second.m_Path.size() - 1;
  constexpr Duration RetryAfter = std::chrono::milliseconds(100);
  if (!Owner || !m_World.m_Entries[*Owner]->isUp())
    return m_World.passBack(Action.m_Call, Here, Told::NotRun, RetryAfter,
                            false);
  FakeEntry &Peer = *m_World.m_Entries[*Owner];
  Open->second.m_Path.push_back(*Owner);
  ++m_World.m_Ledger.m_HandOvers;
  auto Delay = m_World.m_Network.delay(party(), Peer.party());
  if (!Delay)
    return;
  m_World.m_Queue.after(*Delay, [&Peer, Action] {
    Peer.takeCall(Action.m_Pool, Action.m_Call, true);
  });
}

void FakeEntry::act(HostedPool &Pool, const SendProbe &Action) {
  m_World.sendProbe(m_Index, Pool.m_State.m_Id, Action.m_Server);
}

void FakeEntry::act(HostedPool &Pool, const KeepConnections &Action) {
  PoolId Name = Pool.m_State.m_Id;
  m_World.m_Queue.after(
      m_World.m_Layout.m_Timing.m_Connect, [this, Name, Action] {
        whenAwake([this, Name, Action] {
          HostedPool *Hosted = find(Name);
          if (!Hosted || !m_World.server(Action.m_Server).isUp())
            return;
          HostedConnections &Kept = Hosted->m_Connections[Action.m_Server];
          Kept.m_Open = std::max(Action.m_Count, Kept.m_Busy);
          apply(*Hosted, ConnectionsChanged{Action.m_Server, Kept.m_Open});
        });
      });
}

void FakeEntry::act(HostedPool &Pool, const AnnounceQueueing &Action) {
  PoolId Self = Pool.m_State.m_Id;
  for (const PoolId &Other : m_World.poolsOf(Self.m_Service)) {
    std::optional<size_t> Owner = m_World.ownerOf(Other);
    if (Other == Self || !Owner)
      continue;
    ++m_World.m_Ledger.m_PeerMessages;
    FakeEntry &Peer = *m_World.m_Entries[*Owner];
    PeerQueueing Event{Self, Action.m_Queueing};
    if (auto Delay = m_World.m_Network.delay(party(), Peer.party()))
      m_World.m_Queue.after(
          *Delay, [&Peer, Other, Event] { Peer.deliver(Other, Event); });
  }
}

void FakeEntry::act(HostedPool &Pool, const AskPull &Action) {
  std::optional<size_t> Owner = m_World.ownerOf(Action.m_Pool);
  if (!Owner)
    return;
  ++m_World.m_Ledger.m_PeerMessages;
  FakeEntry &Peer = *m_World.m_Entries[*Owner];
  PullAsked Event{Pool.m_State.m_Id, Action.m_FreeSlots};
  if (auto Delay = m_World.m_Network.delay(party(), Peer.party()))
    m_World.m_Queue.after(*Delay, [&Peer, To = Action.m_Pool, Event] {
      Peer.deliver(To, Event);
    });
}

void FakeEntry::act(HostedPool &Pool, const WakeAt &Action) {
  uint64_t Wake = ++m_World.m_LastWake;
  Pool.m_LastWake = Wake;
  m_World.m_Queue.at(Action.m_Time, [this, Name = Pool.m_State.m_Id, Wake] {
    whenAwake([this, Name, Wake] {
      HostedPool *Hosted = find(Name);
      if (Hosted && Hosted->m_LastWake == Wake)
        apply(*Hosted, Woke{});
    });
  });
}

} // namespace hyssopcross::testbed
