#include "CatalogueWorld.h"
#include "hyssopcross/catalogue/Codec.h"
#include <set>

namespace hyssopcross::catalogue::testing {

namespace {

std::string vmName(size_t Index) { return "vm" + std::to_string(Index); }
size_t vmIndex(const std::string &Name) { return std::stoul(Name.substr(2)); }

} // namespace

CatalogueWorld::CatalogueWorld(uint64_t Seed, Faults Rates, EditorPolicy Edits,
                               FollowerPolicy Follows)
    : m_Time(Seed), m_Store(m_Time), m_Rates(Rates), m_Edits(Edits),
      m_Follows(Follows), m_Vms(Vms) {
  Catalogue First;
  First.m_Version = 1;
  for (size_t I = 0; I < Services; ++I) {
    std::string Name = "s" + std::to_string(I);
    First.m_Services[Name] = {Name, "owner", ServiceClass::Lookup, {}};
  }
  m_Store.apply({{versionRowKey(1), 0, writeVersionRow({"c0", "", {}, First})},
                 {HeadRowKey, 0, writeHeadRow(1)}});
  m_Store.m_LostPercent = Rates.m_LostPercent;
}

void CatalogueWorld::restart(size_t Index) {
  Vm &Of = m_Vms[Index];
  Of.m_Incarnation++;
  Of.m_Highest = 0;
  Of.m_Takes = false;
  Of.m_State.emplace(m_Follows, m_Time.below(1U << 30U));
  std::vector<VmName> Neighbours;
  for (size_t Step : {1, 2, 5})
    Neighbours.push_back(vmName((Index + Step) % Vms));
  uint64_t Incarnation = Of.m_Incarnation;
  feed(Index, Incarnation, NeighboursChanged{Neighbours});
  feed(Index, Incarnation, PollerChanged{Index % PollerEvery == 0});
}

bool CatalogueWorld::connected(size_t Left, size_t Right) const {
  return m_Vms[Left].m_Group == m_Vms[Right].m_Group;
}

void CatalogueWorld::feed(size_t Index, uint64_t Incarnation,
                          const FollowerEvent &Event) {
  Vm &Of = m_Vms[Index];
  if (Of.m_Incarnation != Incarnation)
    return;
  std::vector<FollowerAction> Actions;
  step(*Of.m_State, Event, m_Time.now(), Actions);
  for (const FollowerAction &Next : Actions)
    perform(Index, Next);
  checkAlone(Index);
}

/// A VM that hears nobody takes no new work after the bound.
void CatalogueWorld::checkAlone(size_t Index) {
  const Vm &Of = m_Vms[Index];
  bool Alone = Of.m_CutFromStore && Of.m_Group == Index + 1;
  Duration Since = m_Time.now().m_Now - Of.m_AloneSince;
  if (Alone && Of.m_Takes && Since > m_Follows.m_ConfirmBound + 50ms)
    wrong("takes work though cut off");
}

void CatalogueWorld::perform(size_t Index, const FollowerAction &Action) {
  Vm &Of = m_Vms[Index];
  uint64_t Incarnation = Of.m_Incarnation;
  auto Reply = [=, this](const FollowerEvent &Event) {
    feed(Index, Incarnation, Event);
  };
  if (auto *Install = std::get_if<InstallCatalogue>(&Action)) {
    if (Install->m_Catalogue->m_Version < Of.m_Highest)
      wrong("went back");
    Of.m_Highest = Install->m_Catalogue->m_Version;
  } else if (auto *Take = std::get_if<TakeWork>(&Action))
    Of.m_Takes = Take->m_Take;
  else if (auto *Tell = std::get_if<AnnounceVersion>(&Action)) {
    m_Announced++;
    tell(Index, vmIndex(Tell->m_Peer), Tell->m_Version);
  } else if (auto *Fetch = std::get_if<FetchFromPeer>(&Action)) {
    m_Fetched++;
    size_t Peer = vmIndex(Fetch->m_Peer);
    m_Time.in(m_Time.between(1ms, 5ms), [=, this] {
      if (connected(Index, Peer))
        Reply(PeerCatalogue{vmName(Peer), m_Vms[Peer].m_State->m_Current});
    });
  } else if (auto *Wake = std::get_if<FollowerWakeAt>(&Action))
    m_Time.in(Wake->m_Time - m_Time.now().m_Now,
              [=] { Reply(FollowerWoke{}); });
  else if (auto *Read = std::get_if<records::ReadRow>(&Action)) {
    if (Of.m_CutFromStore)
      m_Time.in(20ms, [=, Request = Read->m_Request] {
        Reply(records::RowRead{Request, false, {}});
      });
    else
      m_Store.perform(*Read, Reply);
  }
}

void CatalogueWorld::tell(size_t From, size_t To, uint64_t Version) {
  m_Time.in(m_Time.between(1ms, 4ms), [=, this] {
    if (connected(From, To))
      feed(To, m_Vms[To].m_Incarnation, PeerVersion{vmName(From), Version});
  });
}

void CatalogueWorld::heartbeat(size_t Index) {
  for (const VmName &Peer : m_Vms[Index].m_State->m_Neighbours)
    tell(Index, vmIndex(Peer), currentVersion(*m_Vms[Index].m_State));
  m_Time.in(Heartbeat, [=, this] { heartbeat(Index); });
}

void CatalogueWorld::change(const std::string &Service, uint32_t Slots) {
  auto Head = m_Store.m_Rows.at(HeadRowKey);
  uint64_t Base = readHeadRow(Head.m_Value).value();
  auto Record = readVersionRow(m_Store.m_Rows.at(versionRowKey(Base)).m_Value);
  Catalogue Proposed = Record.value().m_Catalogue;
  Proposed.m_Services.at(Service).m_Limits.m_Slots = Slots;
  size_t Index = m_Operators.size();
  ChangeRequest Request{"c" + std::to_string(Index + 1), "op",
                        ReplaceDocument{Base, Proposed}};
  m_Operators.push_back({EditorState(Request, m_Edits), Service, Slots});
  follow(Index, startEditor(*m_Operators[Index].m_State, m_Time.now()));
}

void CatalogueWorld::follow(size_t Index, const EditorAction &Action) {
  auto Reply = [=, this](const auto &Event) {
    follow(Index, step(*m_Operators[Index].m_State, Event, m_Time.now()));
  };
  if (auto *Read = std::get_if<records::ReadRow>(&Action))
    m_Store.perform(*Read, Reply);
  else if (auto *Commit = std::get_if<records::CommitRows>(&Action))
    m_Store.perform(*Commit, Reply);
  else if (auto *Pause = std::get_if<EditorPause>(&Action))
    m_Time.in(Pause->m_For, [=, this] {
      follow(Index, editorWoke(*m_Operators[Index].m_State, m_Time.now()));
    });
  else
    ended(Index, std::get<ChangeResult>(Action));
}

void CatalogueWorld::ended(size_t Index, const ChangeResult &Result) {
  const std::string &Id = m_Operators[Index].m_State->m_Change.m_ChangeId;
  if (Result.m_End == ChangeEnd::Accepted)
    m_Accepted[Id] = Result.m_Version;
  else if (Result.m_End != ChangeEnd::Unknown)
    m_Refused.insert(Id);
  // The operator talks to VM 0, which has then reached the store itself.
  bool Reached = !m_Vms[0].m_CutFromStore && !m_EditorDies;
  if (Result.m_End == ChangeEnd::Accepted && Result.m_Record && Reached)
    feed(0, m_Vms[0].m_Incarnation,
         VersionAccepted{
             std::make_shared<const Catalogue>(Result.m_Record->m_Catalogue)});
}

void CatalogueWorld::part() {
  size_t Index = m_Time.below(Vms);
  Vm &Of = m_Vms[Index];
  uint64_t Kind = m_Time.below(3);
  Of.m_CutFromStore = Kind != 0;
  Of.m_Group = Kind != 1 ? static_cast<uint32_t>(Index + 1) : 0;
  Of.m_AloneSince = m_Time.now().m_Now;
  m_Time.in(m_Time.between(500ms, 8s), [=, this] {
    m_Vms[Index].m_CutFromStore = false;
    m_Vms[Index].m_Group = 0;
  });
}

void CatalogueWorld::planFaults() {
  for (uint32_t I = 0; I < m_Rates.m_Partitions; ++I)
    m_Time.in(m_Time.between({}, Span), [this] { part(); });
  for (uint32_t I = 0; I < m_Rates.m_Restarts; ++I)
    m_Time.in(m_Time.between({}, Span), [this] { restart(m_Time.below(Vms)); });
  for (uint32_t I = 0; I < m_Rates.m_Outages; ++I)
    m_Time.in(m_Time.between({}, Span), [this] {
      m_Store.m_Down = true;
      m_Time.in(m_Time.between(100ms, 5s), [this] { m_Store.m_Down = false; });
    });
  for (uint32_t I = 0; I < m_Rates.m_SlowStore; ++I)
    m_Time.in(m_Time.between({}, Span), [this] {
      m_Store.m_SlowBy = m_Time.between(100ms, 700ms);
      m_Time.in(5s, [this] { m_Store.m_SlowBy = {}; });
    });
  for (uint32_t I = 0; I < m_Rates.m_Races; ++I)
    m_Time.in(m_Time.between({}, Span), [this, I] {
      size_t Service = m_Time.below(Services);
      size_t Other = m_Time.chance(50) ? Service : (Service + 1) % Services;
      change("s" + std::to_string(Service), 10 + 2 * I);
      change("s" + std::to_string(Other), 11 + 2 * I);
    });
}

/// What was accepted is a version for good, and later ones build on it.
void CatalogueWorld::checkAccepted() {
  std::map<std::string, uint64_t> Committed;
  uint64_t Head = readHeadRow(m_Store.m_Rows.at(HeadRowKey).m_Value).value();
  std::map<std::string, uint32_t> Slots;
  for (uint64_t Version = 2; Version <= Head; ++Version) {
    auto Row = m_Store.m_Rows.find(versionRowKey(Version));
    if (Row == m_Store.m_Rows.end()) {
      wrong("a version is missing");
      return;
    }
    VersionRecord Record = readVersionRow(Row->second.m_Value).value();
    if (!Committed.emplace(Record.m_ChangeId, Version).second)
      wrong("a change was committed twice");
    const Operator &By =
        m_Operators[std::stoul(Record.m_ChangeId.substr(1)) - 1];
    Slots[By.m_Service] = By.m_Slots;
    for (const auto &[Service, Value] : Slots)
      if (Record.m_Catalogue.m_Services.at(Service).m_Limits.m_Slots != Value)
        wrong("an accepted change was lost");
  }
  for (const auto &[Id, Version] : m_Accepted)
    if (!Committed.contains(Id) || Committed[Id] != Version)
      wrong("an accepted change is not a version");
  for (const std::string &Id : m_Refused)
    if (Committed.contains(Id))
      wrong("a refused change was committed");
}

/// With all connected, a change is in force everywhere within 3 s.
void CatalogueWorld::checkSpread() {
  m_Store.m_Down = false;
  m_Store.m_LostPercent = 0;
  m_Store.m_SlowBy = {};
  // The VM that commits dies before it tells anyone.
  m_EditorDies = true;
  m_Announced = m_Fetched = 0;
  size_t Refused = m_Refused.size();
  change("s0", 98);
  change("s1", 99);
  m_Time.run(100ms);
  if (m_Refused.size() > Refused)
    wrong("edits of different entries were refused");
  uint64_t Head = readHeadRow(m_Store.m_Rows.at(HeadRowKey).m_Value).value();
  for (m_LastSpread = 100ms; m_LastSpread <= 3s; m_LastSpread += 20ms) {
    bool All = true;
    for (const Vm &Of : m_Vms)
      All = All && currentVersion(*Of.m_State) == Head && Of.m_Takes;
    if (All)
      return;
    m_Time.run(20ms);
  }
  wrong("not in force everywhere within 3 s");
}

std::string CatalogueWorld::run() {
  for (size_t I = 0; I < Vms; ++I) {
    restart(I);
    m_Time.in(m_Time.between({}, Heartbeat), [=, this] { heartbeat(I); });
  }
  m_Time.run(2s);
  planFaults();
  m_Time.run(Span + 15s);
  checkSpread();
  checkAccepted();
  return m_Wrong;
}

} // namespace hyssopcross::catalogue::testing
