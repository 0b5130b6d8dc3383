#include "Spill.h"
#include "Admission.h"
#include "Calls.h"
#include "Choice.h"
#include "Latency.h"
#include "Queue.h"
#include <algorithm>

namespace hyssopcross::balancing {

namespace {

/// Lapsed offers beyond which the wait no longer doubles.
constexpr uint32_t MaxLapsedOffers = 5;

bool spills(const Context &Step) {
  return Step.switches().m_Spill && !Step.isBaseline();
}

/// A listed pool, in turn, and one that doesn't queue where there is one.
std::optional<PoolId> chooseOtherPool(Context &Step) {
  SpillState &Spill = Step.m_State.m_Spill;
  std::vector<const PoolId *> Idle;
  std::vector<const PoolId *> Queueing;
  for (const auto &[Pool, Peer] : Spill.m_Peers) {
    if (!Peer.m_Listed)
      continue;
    bool Queues = Peer.m_QueueingUntil && *Peer.m_QueueingUntil > Step.m_Now;
    (Queues ? Queueing : Idle).push_back(&Pool);
  }
  const auto &Choices = Idle.empty() ? Queueing : Idle;
  if (Choices.empty())
    return std::nullopt;
  return *Choices[Spill.m_NextPeer++ % Choices.size()];
}

void tell(Context &Step, bool Queueing) {
  SpillState &Spill = Step.m_State.m_Spill;
  Spill.m_Announced = Queueing;
  Spill.m_AnnouncedAt = Step.m_Now;
  Step.m_Actions.emplace_back(AnnounceQueueing{Queueing});
}

bool isLong(const Context &Step) {
  size_t Queued = Step.m_State.m_Queue.size();
  return Queued > 0 && expectedWait(Step.m_State, Step.m_Now, Queued - 1) >
                           Step.policy().m_AnnounceWait;
}

bool mayHandOver(const CallState &Call) {
  return Call.m_Sent == 0 && !Call.m_Arrival.m_HandedOver;
}

/// Whether a call with so many before it is served sooner elsewhere.
bool wouldGain(const Context &Step, const CallState &Call, size_t Ahead) {
  Duration Crossing = Step.policy().m_CrossingTime;
  if (expectedWait(Step.m_State, Step.m_Now, Ahead) <= Crossing)
    return false;
  TimePoint Earliest = Step.m_Now + Crossing + meanServiceTime(Step.m_State);
  return Earliest <= Call.m_Arrival.m_Deadline;
}

bool mayOffer(const Context &Step, const PeerState &Peer) {
  return Peer.m_QueueingUntil && *Peer.m_QueueingUntil > Step.m_Now &&
         Peer.m_Offered == 0 && Peer.m_NextOffer <= Step.m_Now;
}

/// Takes back offers whose time is over. One of which nothing was used makes
/// the next one wait for twice as long.
void expireOffers(Context &Step) {
  Duration Life = Step.policy().m_OfferLife;
  for (auto &[Pool, Peer] : Step.m_State.m_Spill.m_Peers) {
    if (Peer.m_Offered == 0 || Peer.m_OfferedUntil > Step.m_Now)
      continue;
    Peer.m_Offered = 0;
    Peer.m_LapsedOffers = std::min(Peer.m_LapsedOffers + 1, MaxLapsedOffers);
    Peer.m_NextOffer = Step.m_Now + Life * ((1 << Peer.m_LapsedOffers) - 2);
  }
}

void resetOffers(PeerState &Peer) {
  Peer.m_LapsedOffers = 0;
  Peer.m_NextOffer = TimePoint::min();
}

void forgetQuietPeers(Context &Step) {
  std::erase_if(Step.m_State.m_Spill.m_Peers, [&Step](const auto &Entry) {
    const PeerState &Peer = Entry.second;
    bool Queues = Peer.m_QueueingUntil && *Peer.m_QueueingUntil > Step.m_Now;
    return !Peer.m_Listed && !Queues && Peer.m_Offered == 0;
  });
}

} // namespace

bool isServing(const PoolState &State) {
  return State.m_InService && !State.m_Released;
}

void turnAway(Context &Step, CallId Call) {
  PoolState &State = Step.m_State;
  if (mayHandOver(State.m_Calls.at(Call))) {
    if (State.m_Released && State.m_InService) {
      handOverCall(Step, Call, State.m_Id);
      return;
    }
    if (std::optional<PoolId> Pool = chooseOtherPool(Step)) {
      handOverCall(Step, Call, *Pool);
      return;
    }
  }
  refuseCall(Step, Call, RefusalReason::OutOfService);
}

void turnAwayQueue(Context &Step) {
  for (CallId Call : oldestFirst(Step.m_State))
    turnAway(Step, Call);
}

void applyPeers(Context &Step, const PeersListed &Event) {
  auto &Peers = Step.m_State.m_Spill.m_Peers;
  for (auto &[Pool, Peer] : Peers)
    Peer.m_Listed = false;
  for (const PoolId &Pool : Event.m_Pools)
    if (Pool != Step.m_State.m_Id)
      Peers[Pool].m_Listed = true;
  forgetQuietPeers(Step);
}

void applyPeerQueueing(Context &Step, const PeerQueueing &Event) {
  if (Event.m_Pool == Step.m_State.m_Id)
    return;
  PeerState &Peer = Step.m_State.m_Spill.m_Peers[Event.m_Pool];
  if (!Event.m_Queueing) {
    Peer.m_QueueingUntil.reset();
  } else {
    if (!Peer.m_QueueingUntil || *Peer.m_QueueingUntil <= Step.m_Now)
      resetOffers(Peer);
    Peer.m_QueueingUntil = Step.m_Now + Step.policy().m_PeerQueueingLife;
  }
  forgetQuietPeers(Step);
}

void answerPull(Context &Step, const PullAsked &Event) {
  if (!spills(Step))
    return;
  uint32_t Left = Event.m_FreeSlots;
  size_t Ahead = 0;
  for (CallId Id : oldestFirst(Step.m_State)) {
    if (Left == 0)
      return;
    const CallState &Call = Step.m_State.m_Calls.at(Id);
    if (!mayHandOver(Call) || !wouldGain(Step, Call, Ahead)) {
      ++Ahead;
      continue;
    }
    handOverCall(Step, Id, Event.m_Pool);
    --Left;
  }
}

void useOffer(Context &Step) {
  PeerState *Oldest = nullptr;
  for (auto &[Pool, Peer] : Step.m_State.m_Spill.m_Peers)
    if (Peer.m_Offered > 0 &&
        (!Oldest || Peer.m_OfferedUntil < Oldest->m_OfferedUntil))
      Oldest = &Peer;
  if (!Oldest)
    return;
  --Oldest->m_Offered;
  resetOffers(*Oldest);
}

void announce(Context &Step) {
  if (!spills(Step))
    return;
  const SpillState &Spill = Step.m_State.m_Spill;
  const PoolPolicy &Policy = Step.policy();
  Duration Since =
      Spill.m_AnnouncedAt ? Step.m_Now - *Spill.m_AnnouncedAt : Duration::max();
  if (Since < Policy.m_AnnounceInterval)
    return;
  bool Empty = Step.m_State.m_Queue.size() == 0;
  bool Ended = Spill.m_Announced && Empty;
  bool Started = !Spill.m_Announced && isLong(Step);
  bool Repeat = Spill.m_Announced && Since >= Policy.m_AnnounceRefresh;
  if (Ended || Started || Repeat)
    tell(Step, !Ended);
}

void offerSlots(Context &Step) {
  PoolState &State = Step.m_State;
  if (State.m_Spill.m_Peers.empty() || !spills(Step))
    return;
  expireOffers(Step);
  bool Wanted = std::any_of(
      State.m_Spill.m_Peers.begin(), State.m_Spill.m_Peers.end(),
      [&Step](const auto &Entry) { return mayOffer(Step, Entry.second); });
  if (!Wanted || !isServing(State) || State.m_Queue.size() > 0)
    return;
  uint32_t Free = freeSlots(State, Step.m_Now);
  for (const auto &[Pool, Peer] : State.m_Spill.m_Peers)
    Free -= std::min(Free, Peer.m_Offered);
  for (auto &[Pool, Peer] : State.m_Spill.m_Peers) {
    uint32_t Offer = std::min(Free, Step.policy().m_MaxOffer);
    if (Offer == 0)
      return;
    if (!mayOffer(Step, Peer))
      continue;
    Peer.m_Offered = Offer;
    Peer.m_OfferedUntil = Step.m_Now + Step.policy().m_OfferLife;
    Free -= Offer;
    Step.m_Actions.emplace_back(AskPull{Pool, Offer});
  }
}

std::optional<TimePoint> nextSpillTime(const PoolState &State, TimePoint Now) {
  const SpillState &Spill = State.m_Spill;
  std::optional<TimePoint> Next;
  if (Spill.m_Announced) {
    Duration After = State.m_Queue.size() == 0
                         ? State.m_Policy.m_AnnounceInterval
                         : State.m_Policy.m_AnnounceRefresh;
    keepEarlier(Next, *Spill.m_AnnouncedAt + After);
  }
  for (const auto &[Pool, Peer] : Spill.m_Peers) {
    if (!Peer.m_QueueingUntil)
      continue;
    TimePoint Due = Peer.m_Offered > 0 ? Peer.m_OfferedUntil : Peer.m_NextOffer;
    if (Due > Now)
      keepEarlier(Next, Due);
  }
  return Next;
}

} // namespace hyssopcross::balancing
