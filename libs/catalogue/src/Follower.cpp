#include "hyssopcross/catalogue/Follower.h"
#include "hyssopcross/base/Invariant.h"
#include "hyssopcross/catalogue/Editor.h"

namespace hyssopcross::catalogue {

namespace {

struct Context {
  FollowerState &m_State;
  TimePoint m_Now;
  std::vector<FollowerAction> &m_Actions;
};

/// The version was the current one at an instant no earlier than At.
void confirm(Context &Ctx, TimePoint At) {
  std::optional<TimePoint> &Confirmed = Ctx.m_State.m_ConfirmedAt;
  Confirmed = Confirmed ? std::max(*Confirmed, At) : At;
}

void announce(Context &Ctx) {
  const FollowerState &State = Ctx.m_State;
  if (!State.m_Policy.m_AnnounceToPeers)
    return;
  size_t Count =
      std::min(State.m_Neighbours.size(), State.m_Policy.m_MaxFanOut);
  for (size_t I = 0; I < Count; ++I)
    Ctx.m_Actions.push_back(
        AnnounceVersion{State.m_Neighbours[I], currentVersion(State)});
}

/// Puts a version in force unless it is not newer than the one in force.
void install(Context &Ctx, CatalogueRef Offered) {
  FollowerState &State = Ctx.m_State;
  bool Newer =
      !State.m_Current || Offered->m_Version > State.m_Current->m_Version;
  if (!Newer && State.m_Policy.m_NeverGoBack)
    return;
  HYSSOPCROSS_INVARIANT(!State.m_Current ||
                            Offered->m_Version >= State.m_Current->m_Version,
                        "a VM never goes back to a lower version");
  State.m_Current = std::move(Offered);
  Ctx.m_Actions.push_back(InstallCatalogue{State.m_Current});
  announce(Ctx);
}

void handle(Context &Ctx, const NeighboursChanged &Event) {
  Ctx.m_State.m_Neighbours = Event.m_Neighbours;
}

void handle(Context &Ctx, const PollerChanged &Event) {
  Ctx.m_State.m_Poller = Event.m_Poll;
}

void handle(Context &Ctx, const PeerVersion &Event) {
  FollowerState &State = Ctx.m_State;
  uint64_t Own = currentVersion(State);
  if (Event.m_Version > Own) {
    State.m_SeenVersion = std::max(State.m_SeenVersion, Event.m_Version);
    State.m_SeenPeer = Event.m_Peer;
    return;
  }
  // A peer without a version knows nothing that could confirm this one.
  if (State.m_Current && Event.m_Version > 0)
    confirm(Ctx, Ctx.m_Now);
  if (Event.m_Version < Own && State.m_Policy.m_AnnounceToPeers)
    Ctx.m_Actions.push_back(AnnounceVersion{Event.m_Peer, Own});
}

void handle(Context &Ctx, const PeerCatalogue &Event) {
  FollowerState &State = Ctx.m_State;
  if (Event.m_Peer == State.m_FetchPeer)
    State.m_FetchPeer.clear();
  if (!Event.m_Catalogue || Event.m_Catalogue->m_Version == 0) {
    // Another peer will tell of the version again.
    State.m_SeenVersion = 0;
    return;
  }
  bool Current = Event.m_Catalogue->m_Version >= currentVersion(State);
  install(Ctx, Event.m_Catalogue);
  if (Current)
    confirm(Ctx, Ctx.m_Now);
}

void handle(Context &Ctx, const VersionAccepted &Event) {
  bool Current = Event.m_Catalogue->m_Version >= currentVersion(Ctx.m_State);
  install(Ctx, Event.m_Catalogue);
  if (Current)
    confirm(Ctx, Ctx.m_Now);
}

void handle(Context &, const FollowerWoke &) {}

void startRead(Context &Ctx, std::string Key) {
  FollowerState &State = Ctx.m_State;
  State.m_Read = ++State.m_LastRequest;
  State.m_ReadUntil = Ctx.m_Now + State.m_Policy.m_RequestTimeout;
  Ctx.m_Actions.push_back(records::ReadRow{State.m_Read, std::move(Key)});
}

/// The head row names this version.
void headRead(Context &Ctx, uint64_t Version) {
  FollowerState &State = Ctx.m_State;
  if (Version == 0 && !State.m_Current)
    install(Ctx, std::make_shared<const Catalogue>());
  uint64_t Own = currentVersion(State);
  if (Version == Own) {
    confirm(Ctx, Ctx.m_State.m_HeadReadAt);
    return;
  }
  if (Version < Own && State.m_Policy.m_NeverGoBack)
    return;
  State.m_ReadingHead = false;
  State.m_ReadingVersion = Version;
  startRead(Ctx, versionRowKey(Version));
}

void versionRead(Context &Ctx, const store::Row &Row) {
  auto Record = readVersionRow(Row.m_Value);
  if (!Record ||
      Record.value().m_Catalogue.m_Version != Ctx.m_State.m_ReadingVersion)
    return;
  auto Read =
      std::make_shared<const Catalogue>(std::move(Record).value().m_Catalogue);
  bool Current = Read->m_Version >= currentVersion(Ctx.m_State);
  install(Ctx, std::move(Read));
  if (Current)
    confirm(Ctx, Ctx.m_State.m_HeadReadAt);
}

void handle(Context &Ctx, const records::RowRead &Event) {
  FollowerState &State = Ctx.m_State;
  if (Event.m_Request != State.m_Read)
    return;
  State.m_Read = 0;
  if (!Event.m_Reached)
    return;
  if (!State.m_ReadingHead) {
    if (Event.m_Row)
      versionRead(Ctx, *Event.m_Row);
    return;
  }
  if (!Event.m_Row) {
    headRead(Ctx, 0);
    return;
  }
  auto Version = readHeadRow(Event.m_Row->m_Value);
  if (Version)
    headRead(Ctx, Version.value());
}

void start(Context &Ctx) {
  FollowerState &State = Ctx.m_State;
  if (State.m_Started)
    return;
  State.m_Started = true;
  State.m_NextPoll = Ctx.m_Now;
  Ctx.m_Actions.push_back(TakeWork{false});
}

void dropLateRequests(Context &Ctx) {
  FollowerState &State = Ctx.m_State;
  if (State.m_Read != 0 && Ctx.m_Now >= State.m_ReadUntil)
    State.m_Read = 0;
  if (State.m_FetchPeer.empty() || Ctx.m_Now < State.m_FetchUntil)
    return;
  State.m_FetchPeer.clear();
  State.m_SeenVersion = 0;
}

/// Whether this VM reads the head row: as a poller, or because neither the
/// store nor a peer has confirmed its version for a while.
bool shouldPoll(const FollowerState &State, TimePoint Now) {
  if (!State.m_Policy.m_PollHead || State.m_Read != 0)
    return false;
  bool Unsure = !State.m_ConfirmedAt ||
                Now - *State.m_ConfirmedAt >= State.m_Policy.m_SelfPollAfter;
  return Now >= State.m_NextPoll && (State.m_Poller || Unsure);
}

void poll(Context &Ctx) {
  FollowerState &State = Ctx.m_State;
  if (!shouldPoll(State, Ctx.m_Now))
    return;
  std::uniform_real_distribution<double> Jitter(0.5, 1.5);
  State.m_NextPoll =
      Ctx.m_Now + std::chrono::duration_cast<Duration>(
                      State.m_Policy.m_PollPause * Jitter(State.m_Random));
  State.m_ReadingHead = true;
  State.m_HeadReadAt = Ctx.m_Now;
  startRead(Ctx, HeadRowKey);
}

void fetch(Context &Ctx) {
  FollowerState &State = Ctx.m_State;
  bool Behind = State.m_SeenVersion > currentVersion(State);
  if (!Behind || !State.m_FetchPeer.empty())
    return;
  State.m_FetchPeer = State.m_SeenPeer;
  State.m_FetchUntil = Ctx.m_Now + State.m_Policy.m_RequestTimeout;
  Ctx.m_Actions.push_back(FetchFromPeer{State.m_SeenPeer});
}

void decideWork(Context &Ctx) {
  FollowerState &State = Ctx.m_State;
  bool Confirmed = State.m_ConfirmedAt && Ctx.m_Now - *State.m_ConfirmedAt <
                                              State.m_Policy.m_ConfirmBound;
  bool Take =
      State.m_Current && (Confirmed || !State.m_Policy.m_StopUnconfirmed);
  if (Take == State.m_TakesWork)
    return;
  State.m_TakesWork = Take;
  Ctx.m_Actions.push_back(TakeWork{Take});
}

void scheduleWake(Context &Ctx) {
  const FollowerState &State = Ctx.m_State;
  std::optional<TimePoint> Next;
  auto Consider = [&](TimePoint At) {
    if (At > Ctx.m_Now)
      Next = Next ? std::min(*Next, At) : At;
  };
  Consider(State.m_NextPoll);
  if (State.m_Read != 0)
    Consider(State.m_ReadUntil);
  if (!State.m_FetchPeer.empty())
    Consider(State.m_FetchUntil);
  if (State.m_ConfirmedAt) {
    Consider(*State.m_ConfirmedAt + State.m_Policy.m_ConfirmBound);
    Consider(*State.m_ConfirmedAt + State.m_Policy.m_SelfPollAfter);
  }
  if (Next)
    Ctx.m_Actions.push_back(FollowerWakeAt{*Next});
}

} // namespace

void step(FollowerState &State, const FollowerEvent &Event,
          const records::Instant &Now, std::vector<FollowerAction> &Actions) {
  Context Ctx{State, Now.m_Now, Actions};
  start(Ctx);
  std::visit([&](const auto &Value) { handle(Ctx, Value); }, Event);
  dropLateRequests(Ctx);
  poll(Ctx);
  fetch(Ctx);
  decideWork(Ctx);
  scheduleWake(Ctx);
}

uint64_t currentVersion(const FollowerState &State) {
  return State.m_Current ? State.m_Current->m_Version : 0;
}

} // namespace hyssopcross::catalogue
