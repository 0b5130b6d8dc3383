#include "World.h"
#include <algorithm>
#include <cmath>

namespace hyssopcross::testbed {

using namespace balancing;

namespace {

constexpr Duration NoTargetRetryAfter = std::chrono::seconds(1);

Duration drawExponential(std::mt19937_64 &Random, double MeanNanoseconds) {
  std::exponential_distribution<double> Distribution(1.0 / MeanNanoseconds);
  return Duration(std::llround(Distribution(Random)));
}

} // namespace

void World::startCallers() {
  for (const LoadLayout &Load : m_Layout.m_Loads) {
    uint64_t Seed = m_Layout.m_Seed * 7919 + m_Callers.size();
    Callers &Added = m_Callers.emplace_back();
    Added.m_Load = Load;
    Added.m_Random.seed(Seed);
    Added.m_Choices.seed(~Seed);
    Duration Life = m_Layout.m_Timing.m_AddressLife;
    std::uniform_int_distribution<int64_t> Phase(0, Life.count());
    Added.m_TargetsUntil = m_Queue.now() + Duration(Phase(Added.m_Choices));
    size_t Index = m_Callers.size() - 1;
    Added.m_Targets = m_Layout.m_Deciders == Deciders::Owners
                          ? ownerTargets(Load)
                          : everyTarget(Load);
    scheduleArrival(Index);
  }
}

void World::scheduleArrival(size_t Load) {
  Callers &From = m_Callers[Load];
  double PerSecond = From.m_Load.m_CallsPerSecond * From.m_Factor;
  if (PerSecond <= 0)
    return;
  Duration Gap = drawExponential(From.m_Random, 1e9 / PerSecond);
  m_Queue.after(Gap, [this, Load, Generation = From.m_Generation] {
    Callers &From = m_Callers[Load];
    if (From.m_Generation != Generation)
      return;
    double Mean =
        static_cast<double>(service(From.m_Load.m_Service).m_MeanWork.count());
    Duration Work = drawExponential(From.m_Random, Mean);
    issueCall(Load, Work, From.m_Load.m_Retries);
    scheduleArrival(Load);
  });
}

Duration World::drawWork(const std::string &Service) {
  auto Mean = static_cast<double>(service(Service).m_MeanWork.count());
  return drawExponential(m_AttemptRandom, Mean);
}

std::vector<Target> World::ownerTargets(const LoadLayout &Load) const {
  std::vector<Target> Targets;
  auto Add = [&](const std::string &DataCentre) {
    PoolId Pool{Load.m_Service, DataCentre};
    auto Owner = m_Owners.find(Pool);
    bool Usable = Owner != m_Owners.end() &&
                  !m_KnownLost.contains(Owner->second) &&
                  !m_DataCentresOut.contains(DataCentre);
    if (Usable)
      Targets.push_back({Owner->second, Pool});
  };
  Add(Load.m_DataCentre);
  for (const std::string &DataCentre : m_Layout.m_DataCentres)
    if (DataCentre != Load.m_DataCentre)
      Add(DataCentre);
  return Targets;
}

std::vector<Target> World::everyTarget(const LoadLayout &Load) const {
  std::vector<Target> Targets;
  bool All = m_Layout.m_Deciders == Deciders::Everyone;
  for (size_t I = 0; I < m_Entries.size(); ++I) {
    const std::string &DataCentre = m_Entries[I]->layout().m_DataCentre;
    if (m_KnownLost.contains(I) || m_DataCentresOut.contains(DataCentre))
      continue;
    Targets.push_back({I, {Load.m_Service, All ? "all" : DataCentre}});
  }
  return Targets;
}

std::vector<Target> World::targetsFor(Callers &Callers) {
  bool Owners = m_Layout.m_Deciders == Deciders::Owners;
  if (Callers.m_TargetsUntil <= m_Queue.now()) {
    Callers.m_Targets =
        Owners ? ownerTargets(Callers.m_Load) : everyTarget(Callers.m_Load);
    Callers.m_TargetsUntil = m_Queue.now() + m_Layout.m_Timing.m_AddressLife;
  }
  std::vector<Target> Targets = Callers.m_Targets;
  if (Owners)
    return Targets;
  std::shuffle(Targets.begin(), Targets.end(), Callers.m_Choices);
  std::stable_partition(
      Targets.begin(), Targets.end(), [&](const Target &Known) {
        return m_Entries[Known.m_Entry]->layout().m_DataCentre ==
               Callers.m_Load.m_DataCentre;
      });
  return Targets;
}

void World::issueCall(size_t Load, Duration Work, uint32_t RetriesLeft) {
  Callers &From = m_Callers[Load];
  CallId Call = m_Ledger.m_Calls.size();
  CallRecord &Record = m_Ledger.m_Calls.emplace_back();
  Record.m_Service = From.m_Load.m_Service;
  Record.m_DataCentre = From.m_Load.m_DataCentre;
  Record.m_ShareKey = From.m_Load.m_ShareKey;
  Record.m_Class = service(From.m_Load.m_Service).m_Entry.m_Class;
  Record.m_Start = m_Queue.now();
  Record.m_Deadline = Record.m_Start + From.m_Load.m_Timeout;
  Record.m_Work = Work;
  m_Open[Call] = {Load, RetriesLeft, {}, {}, 0};
  tryTarget(Call, targetsFor(From));
  constexpr Duration Grace = std::chrono::milliseconds(20);
  m_Queue.at(Record.m_Deadline + Grace,
             [this, Call] { hangUp(Call, Told::TimedOut); });
  if (From.m_Load.m_AbandonAfter > Duration::zero())
    m_Queue.after(From.m_Load.m_AbandonAfter,
                  [this, Call] { hangUp(Call, Told::Abandoned); });
}

void World::tryTarget(CallId Call, std::vector<Target> Targets) {
  Duration Client = m_Layout.m_Timing.m_Client;
  if (Targets.empty()) {
    m_Queue.after(Client, [this, Call] {
      close(Call, Told::NotRun, NoTargetRetryAfter, false);
    });
    return;
  }
  m_Queue.after(Client, [this, Call, Targets = std::move(Targets)] {
    auto Open = m_Open.find(Call);
    if (Open == m_Open.end())
      return;
    const Target &First = Targets.front();
    FakeEntry &Entry = *m_Entries[First.m_Entry];
    if (Entry.isUp()) {
      Open->second.m_Path = {First.m_Entry};
      return Entry.takeCall(First.m_Pool, Call, false);
    }
    std::vector<Target> Rest(Targets.begin() + 1, Targets.end());
    m_Queue.after(m_Layout.m_Timing.m_Client,
                  [this, Call, Rest] { tryTarget(Call, Rest); });
  });
}

void World::hangUp(CallId Call, Told Told) {
  auto Open = m_Open.find(Call);
  if (Open == m_Open.end())
    return;
  PoolId Pool = Open->second.m_Pool;
  std::vector<size_t> Path = Open->second.m_Path;
  close(Call, Told, Duration::zero(), false);
  if (Path.empty() || Pool.m_Service.empty())
    return;
  FakeEntry &Last = *m_Entries[Path.back()];
  auto Delay = m_Network.delay(m_Entries[Path.front()]->party(), Last.party());
  if (!Delay)
    return;
  m_Queue.after(m_Layout.m_Timing.m_Client + *Delay, [&Last, Pool, Call] {
    Last.deliver(Pool, CallAbandoned{Call});
  });
}

void World::passBack(CallId Call, size_t Hop, Told Told, Duration RetryAfter,
                     bool Mismatched) {
  auto Open = m_Open.find(Call);
  if (Open == m_Open.end())
    return;
  if (Hop == 0) {
    m_Queue.after(m_Layout.m_Timing.m_Client,
                  [this, Call, Told, RetryAfter, Mismatched] {
                    close(Call, Told, RetryAfter, Mismatched);
                  });
    return;
  }
  FakeEntry &Here = *m_Entries[Open->second.m_Path[Hop]];
  FakeEntry &Before = *m_Entries[Open->second.m_Path[Hop - 1]];
  auto Delay = m_Network.delay(Here.party(), Before.party());
  if (!Delay)
    return;
  m_Queue.after(
      *Delay, [this, &Before, Call, Hop, Told, RetryAfter, Mismatched] {
        Before.whenAwake([this, Call, Hop, Told, RetryAfter, Mismatched] {
          passBack(Call, Hop - 1, Told, RetryAfter, Mismatched);
        });
      });
}

void World::close(CallId Call, Told Told, Duration RetryAfter,
                  bool Mismatched) {
  auto Open = m_Open.find(Call);
  if (Open == m_Open.end())
    return;
  size_t Load = Open->second.m_Load;
  uint32_t RetriesLeft = Open->second.m_RetriesLeft;
  m_Open.erase(Open);
  CallRecord &Record = m_Ledger.m_Calls[Call];
  Record.m_End = m_Queue.now();
  Record.m_Told = Told;
  Record.m_RetryAfter = RetryAfter;
  Record.m_Mismatched = Mismatched;
  if (Told != Told::NotRun || RetriesLeft == 0)
    return;
  Duration Work = Record.m_Work;
  m_Queue.after(RetryAfter, [this, Load, Work, RetriesLeft] {
    issueCall(Load, Work, RetriesLeft - 1);
  });
}

} // namespace hyssopcross::testbed
