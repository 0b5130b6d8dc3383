#include "World.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>

namespace hyssopcross::ownership {

using namespace std::chrono_literals;

namespace {

constexpr Duration Tenth = 100ms;

} // namespace

World::World(Setup Given)
    : m_Setup(std::move(Given)), m_Random(m_Setup.m_Seed), m_Begin(1h),
      m_Now(m_Begin) {
  for (size_t Index = 0; Index < m_Setup.m_Vms.size(); ++Index)
    m_Vms.push_back(
        {"vm-" + std::to_string(Index), m_Setup.m_Vms[Index], {}, {}});
  for (size_t Index = 0; Index < m_Vms.size(); ++Index) {
    bool Late = m_Setup.m_LateAt != 0 && Index == m_Setup.m_LateVm;
    at(m_Begin + (Late ? m_Setup.m_LateAt : 0) * Tenth,
       [this, Index] { start(m_Vms[Index]); });
  }
  at(m_Begin, [this] { check(); });
}

bool World::faulty(const Vm &Subject, FaultKind Kind) const {
  auto Found = Subject.m_Faults.find(Kind);
  return Found != Subject.m_Faults.end() && m_Now < Found->second;
}

void World::at(TimePoint When, Handler What) {
  m_Events.emplace(When, std::move(What));
}

Duration World::delay(int MostMilliseconds) {
  std::uniform_int_distribution<int> Draw(1, MostMilliseconds);
  return std::chrono::milliseconds(Draw(m_Random));
}

TimePoint World::local(const Process &Run) const {
  auto Passed = static_cast<double>((m_Now - m_Begin).count());
  return TimePoint(24h) +
         Duration(static_cast<Duration::rep>(Passed * Run.m_ClockRate));
}

void World::start(Vm &Subject) {
  auto Run = std::make_shared<Process>();
  bool Fast = (&Subject - m_Vms.data()) % 2 == 0;
  Run->m_ClockRate = Fast ? 1.0 + m_Setup.m_Drift : 1.0 - m_Setup.m_Drift;
  Run->m_Start = m_Now;
  Identity Self{Subject.m_Name, ++m_Incarnations, Subject.m_DataCentre,
                "peer-of-" + Subject.m_Name};
  Run->m_State = std::make_unique<OwnershipState>(Self, m_Setup.m_Policy,
                                                  local(*Run), m_Random());
  Subject.m_Runs.push_back(Run);
  tell(Subject, Run, PoolsChanged{m_Setup.m_Pools});
  tick(Subject, Run);
  at(m_Now + delay(1000), [this] { tellCandidates(); });
}

void World::tick(Vm &Subject, const std::shared_ptr<Process> &Run) {
  if (Run->m_Dead)
    return;
  if (m_Now >= Run->m_PausedUntil)
    tell(Subject, Run, Woke{});
  at(m_Now + Tenth, [this, &Subject, Run] { tick(Subject, Run); });
}

void World::tell(Vm &Subject, const std::shared_ptr<Process> &Run,
                 const Event &Happened) {
  if (Run->m_Dead)
    return;
  if (m_Now < Run->m_PausedUntil) {
    at(Run->m_PausedUntil,
       [this, &Subject, Run, Happened] { tell(Subject, Run, Happened); });
    return;
  }
  std::vector<Action> Actions;
  step(*Run->m_State, Happened, local(*Run), Actions);
  for (const Action &Wanted : Actions)
    perform(Subject, Run, Wanted);
}

void World::tellCandidates() {
  CandidatesChanged All;
  for (const Vm &Subject : m_Vms) {
    if (Subject.m_Runs.empty() || Subject.m_Runs.back()->m_Dead ||
        m_Now < Subject.m_Runs.back()->m_PausedUntil ||
        Subject.m_Runs.back()->m_State->m_Stopping)
      continue;
    const Identity &Self = Subject.m_Runs.back()->m_State->m_Self;
    All.m_Candidates.push_back({Self.m_Name, Self.m_Incarnation,
                                Self.m_DataCentre, Self.m_PeerAddress});
  }
  for (Vm &Subject : m_Vms) {
    CandidatesChanged Seen = All;
    if (faulty(Subject, FaultKind::ViewAlone))
      std::erase_if(Seen.m_Candidates, [&](const Candidate &Known) {
        return Known.m_Name != Subject.m_Name;
      });
    for (const auto &Run : Subject.m_Runs)
      at(m_Now + delay(500),
         [this, &Subject, Run, Seen] { tell(Subject, Run, Seen); });
  }
}

void World::inject(const Fault &Injected) {
  at(m_Begin + Injected.m_At * Tenth, [this, Injected] {
    Vm &Subject = m_Vms.at(Injected.m_Vm % m_Vms.size());
    if (Subject.m_Runs.empty())
      return;
    Process &Run = *Subject.m_Runs.back();
    TimePoint Until = m_Now + Injected.m_Length * Tenth;
    switch (Injected.m_Kind) {
    case FaultKind::Duplicate:
      Run.m_PausedUntil = Until;
      start(Subject);
      break;
    case FaultKind::Pause:
      Run.m_PausedUntil = Until;
      break;
    case FaultKind::Restart:
      Run.m_Dead = true;
      start(Subject);
      break;
    case FaultKind::Kill:
      Run.m_Dead = true;
      break;
    case FaultKind::StoreDown:
      m_StoreDownUntil = Until;
      break;
    case FaultKind::Stop:
      tell(Subject, Subject.m_Runs.back(), StopRequested{});
      break;
    default:
      Subject.m_Faults[Injected.m_Kind] = Until;
    }
    at(m_Now + 3s, [this] { tellCandidates(); });
    at(Until + 1s, [this] { tellCandidates(); });
  });
}

void World::perform(Vm &Subject, const std::shared_ptr<Process> &Run,
                    const Action &Wanted) {
  if (const auto *Read = std::get_if<ReadLease>(&Wanted))
    perform(Subject, Run, *Read);
  else if (const auto *Commit = std::get_if<CommitLease>(&Wanted))
    perform(Subject, Run, *Commit);
  else if (const auto *Sent = std::get_if<SendMessage>(&Wanted))
    perform(Subject, Run, *Sent);
  else if (std::holds_alternative<TookOver>(Wanted))
    ++m_TakeOvers;
  else if (std::holds_alternative<Drained>(Wanted))
    Run->m_Drained = true;
  else if (std::holds_alternative<RowRejected>(Wanted))
    ++m_RowsRejected;
}

void World::perform(Vm &Subject, const std::shared_ptr<Process> &Run,
                    const ReadLease &Wanted) {
  ++m_Reads;
  at(m_Now + delay(20), [this, &Subject, Run, Wanted] {
    bool Reached =
        m_Now >= m_StoreDownUntil && !faulty(Subject, FaultKind::StoreCut);
    auto Found = m_Table.find(Wanted.m_Key);
    Event Answer = ReadFailed{Wanted.m_Request};
    if (Reached && Found == m_Table.end())
      Answer = ReadSucceeded{Wanted.m_Request, {}};
    else if (Reached)
      Answer = ReadSucceeded{Wanted.m_Request, Found->second};
    at(m_Now + delay(20),
       [this, &Subject, Run, Answer] { tell(Subject, Run, Answer); });
  });
}

void World::perform(Vm &Subject, const std::shared_ptr<Process> &Run,
                    const CommitLease &Wanted) {
  bool Late = faulty(Subject, FaultKind::WritesLate);
  bool AnswerLost = faulty(Subject, FaultKind::AnswersLost);
  bool Lost = Late || AnswerLost;
  if (Late && m_Random() % 2 == 0) {
    at(m_Now + delay(200), [this, &Subject, Run, Wanted] {
      tell(Subject, Run, CommitEnded{Wanted.m_Request, CommitEnd::Unknown});
    });
    return;
  }
  at(m_Now + delay(Late ? 8000 : 20), [this, &Subject, Run, Wanted, Lost,
                                       AnswerLost] {
    bool Reached =
        m_Now >= m_StoreDownUntil && !faulty(Subject, FaultKind::StoreCut);
    CommitEnd End = Reached ? commit(Wanted.m_Writes) : CommitEnd::Unavailable;
    if (Lost)
      End = CommitEnd::Unknown;
    // What is lost shows only when the connection times out.
    at(m_Now + delay(AnswerLost ? 2500 : 20),
       [this, &Subject, Run, Wanted, End] {
         tell(Subject, Run, CommitEnded{Wanted.m_Request, End});
       });
  });
}

CommitEnd World::commit(const std::vector<store::Write> &Writes) {
  for (const store::Write &Write : Writes) {
    auto Found = m_Table.find(Write.m_Key);
    uint64_t Version = Found == m_Table.end() ? 0 : Found->second.m_Version;
    if (Version != Write.m_ExpectedVersion)
      return CommitEnd::Conflict;
  }
  ++m_Transactions;
  for (const store::Write &Write : Writes) {
    ++m_RowWrites;
    m_Version += 1 + m_Random() % 5;
    m_Table[Write.m_Key] = {*Write.m_Value, m_Version};
    uint64_t Epoch = parseLeaseRow(*Write.m_Value).value().m_Epoch;
    if (Epoch < m_Epochs[Write.m_Key])
      m_Broken = "the epoch of " + Write.m_Key + " went back";
    m_Epochs[Write.m_Key] = Epoch;
  }
  return CommitEnd::Committed;
}

void World::perform(Vm &Subject, const std::shared_ptr<Process> &,
                    const SendMessage &Wanted) {
  auto To = std::find_if(m_Vms.begin(), m_Vms.end(), [&](const Vm &Known) {
    return Known.m_Name == Wanted.m_To;
  });
  if (To == m_Vms.end() || To->m_Runs.empty() || m_Random() % 20 == 0 ||
      faulty(Subject, FaultKind::NetCut) || faulty(*To, FaultKind::NetCut))
    return;
  if (const auto *Request = std::get_if<PromiseRequest>(&Wanted.m_Message))
    m_MostPromiseRequests =
        std::max<uint64_t>(m_MostPromiseRequests, Request->m_Pools.size());
  at(m_Now + delay(50), [this, To = &*To, Value = Wanted.m_Message] {
    tell(*To, To->m_Runs.back(), MessageArrived{Value});
  });
}

void World::runUntil(uint32_t Tenths) {
  TimePoint End = m_Begin + Tenths * Tenth;
  while (!m_Events.empty() && m_Events.begin()->first <= End &&
         m_Broken.empty()) {
    auto Next = m_Events.extract(m_Events.begin());
    m_Now = Next.key();
    Next.mapped()();
  }
  m_Now = std::max(m_Now, End);
}

void World::check() {
  for (const PoolId &Pool : m_Setup.m_Pools) {
    size_t Confirmed = 0;
    for (const Vm &Subject : m_Vms)
      for (const auto &Run : Subject.m_Runs)
        // A paused run counts: it may wake up now.
        if (!Run->m_Dead && leaseStatus(*Run->m_State, Pool, local(*Run)) ==
                                LeaseStatus::Confirmed)
          ++Confirmed;
    if (Confirmed > 1)
      m_Broken = "two confirmed owners of " + leaseKey(Pool) + " at " +
                 std::to_string((m_Now - m_Begin) / Tenth);
  }
  uint64_t UnderWay = 0;
  for (const Vm &Subject : m_Vms)
    if (!Subject.m_Runs.empty())
      for (const auto &[Pool, Lease] : Subject.m_Runs.back()->m_State->m_Pools)
        UnderWay += Lease.m_HandOver && !Lease.m_HandOver->m_Released ? 1 : 0;
  m_MostHandOversAtOnce = std::max(m_MostHandOversAtOnce, UnderWay);
  at(m_Now + 10ms, [this] { check(); });
}

std::vector<std::string> World::confirmed(const PoolId &Pool) {
  std::vector<std::string> Names;
  for (size_t Index = 0; Index < m_Vms.size(); ++Index)
    if (status(static_cast<uint32_t>(Index), Pool) == LeaseStatus::Confirmed)
      Names.push_back(m_Vms[Index].m_Name);
  return Names;
}

LeaseStatus World::status(uint32_t Vm, const PoolId &Pool) {
  if (m_Vms.at(Vm).m_Runs.empty() || m_Vms.at(Vm).m_Runs.back()->m_Dead)
    return LeaseStatus::NotOwner;
  return leaseStatus(state(Vm), Pool, localNow(Vm));
}

bool World::drained(uint32_t Vm) const {
  return m_Vms.at(Vm).m_Runs.back()->m_Drained;
}

const OwnershipState &World::state(uint32_t Vm) const {
  return *m_Vms.at(Vm).m_Runs.back()->m_State;
}

TimePoint World::localNow(uint32_t Vm) const {
  return local(*m_Vms.at(Vm).m_Runs.back());
}

std::optional<LeaseRow> World::row(const PoolId &Pool) const {
  auto Found = m_Table.find(leaseKey(Pool));
  if (Found == m_Table.end())
    return {};
  return parseLeaseRow(Found->second.m_Value).value();
}

void World::putRow(const PoolId &Pool, std::string Value) {
  m_Table[leaseKey(Pool)] = {std::move(Value), ++m_Version};
}

} // namespace hyssopcross::ownership
