#include "hyssopcross/addresses/OwnerTable.h"
#include "hyssopcross/membership/Membership.h"
#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>
#include <vector>

/// Prints what membership and the spread of owners cost for each VM at several
/// fleet sizes: bytes sent and processor time per second, and how long a change
/// takes to reach all. All VMs run in one process on a simulated clock; bytes
/// are the encoded sizes, without framing.

namespace {

using namespace hyssopcross;
using namespace hyssopcross::membership;
using namespace std::chrono_literals;

constexpr Duration Tick = 100ms;
constexpr Duration MessageDelay = 20ms;
constexpr Duration Warmup = 90s;
constexpr Duration Measured = 60s;
constexpr Duration ReplaceEvery = 20s;

/// Bytes of owners in each heartbeat.
constexpr size_t OwnerBytes = 80;

/// A fleet size to measure.
struct Size {
  int m_Vms;
  int m_DataCentres;
  int m_Services;
};

struct BenchVm {
  std::unique_ptr<MembershipState> m_State;
  addresses::OwnerTable m_Owners;
  bool m_Up = true;
  TimePoint m_WakeAt;
};

struct Delivery {
  TimePoint m_At;
  size_t m_To;
  Event m_Event;
  std::vector<addresses::OwnerEntry> m_Owners;
};

struct Totals {
  uint64_t m_HeartbeatBytes = 0;
  uint64_t m_OwnerBytes = 0;
  uint64_t m_ListBytes = 0;
  uint64_t m_Messages = 0;
  Duration m_Processor{};
};

Duration processorTime() {
  timespec Value{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Value);
  return std::chrono::seconds(Value.tv_sec) + Duration(Value.tv_nsec);
}

/// Plays a fleet of one size.
class Bench {
public:
  explicit Bench(Size Given) : m_Size(Given) {
    for (int Index = 0; Index < Given.m_Vms; ++Index)
      addVm(Index % Given.m_DataCentres);
    for (int Service = 0; Service < Given.m_Services; ++Service)
      for (int Centre = 0; Centre < Given.m_DataCentres; ++Centre)
        addresses::mergeOwner(
            m_Vms[static_cast<size_t>(Centre)].m_Owners,
            {{"service-" + std::to_string(Service), centreName(Centre)},
             m_Vms[static_cast<size_t>(Centre)].m_State->m_Self.m_Name,
             1},
            m_Now);
  }

  void run(Duration Length, bool Replace) {
    TimePoint End = m_Now + Length;
    TimePoint NextReplacement = m_Now + ReplaceEvery;
    while (m_Now < End) {
      m_Now += Tick;
      deliverDue();
      for (size_t Index = 0; Index < m_Vms.size(); ++Index)
        if (m_Vms[Index].m_WakeAt <= m_Now)
          tell(Index, Woke{});
      if (!Replace || m_Now < NextReplacement)
        continue;
      NextReplacement += ReplaceEvery;
      replaceOne();
    }
  }

  void print() {
    m_Totals = {};
    run(Measured, false);
    Totals Steady = m_Totals;
    m_Totals = {};
    run(Measured, true);
    Totals Busy = m_Totals;
    Duration Spread = spreadTime();
    double PerVm = 1.0 / (m_Size.m_Vms * 60.0);
    std::printf(
        "%5d %4d %6d %10.0f %8.0f %8.0f %9.2f %9.0f %10.0f %9.0f %8.1f\n",
        m_Size.m_Vms, m_Size.m_DataCentres, m_Size.m_Services,
        static_cast<double>(Steady.m_HeartbeatBytes) * PerVm,
        static_cast<double>(Steady.m_OwnerBytes) * PerVm,
        static_cast<double>(Steady.m_ListBytes) * PerVm,
        static_cast<double>(Steady.m_Messages) * PerVm,
        static_cast<double>(Steady.m_Processor.count()) * PerVm,
        static_cast<double>(Busy.m_HeartbeatBytes + Busy.m_OwnerBytes +
                            Busy.m_ListBytes) *
            PerVm,
        static_cast<double>(Busy.m_Processor.count()) * PerVm,
        std::chrono::duration<double>(Spread).count());
  }

private:
  static std::string centreName(int Centre) {
    return "dc-" + std::to_string(Centre);
  }

  void addVm(int Centre) {
    int Number = m_Started++;
    std::string Name = "entry-" + std::to_string(Number);
    VmInfo Self{Name,
                1'764'800'000'000'000U + static_cast<uint64_t>(Number),
                centreName(Centre),
                "region-" + std::to_string(Centre % 3),
                "10.0.0." + std::to_string(Number) + ":8080",
                "10.0.0." + std::to_string(Number) + ":8081"};
    m_Index[Name] = m_Vms.size();
    m_Vms.push_back(
        {std::make_unique<MembershipState>(Self, MembershipPolicy{}, m_Now),
         {},
         true,
         m_Now});
    m_List.push_back({Name, store::VmRole::Entry, store::VmState::Live,
                      Self.m_DataCentre, Self.m_Address, Self.m_PeerAddress,
                      ""});
  }

  void replaceOne() {
    auto Old = std::find_if(m_Vms.begin(), m_Vms.end(),
                            [](const BenchVm &Vm) { return Vm.m_Up; });
    Old->m_Up = false;
    std::string Name = Old->m_State->m_Self.m_Name;
    std::erase_if(
        m_List, [&Name](const auto &Record) { return Record.m_Name == Name; });
    addVm(std::stoi(Old->m_State->m_Self.m_DataCentre.substr(3)));
  }

  void deliverDue() {
    std::vector<Delivery> Due;
    Due.swap(m_Queue);
    for (Delivery &Sent : Due) {
      if (Sent.m_At > m_Now) {
        m_Queue.push_back(std::move(Sent));
        continue;
      }
      Duration Before = processorTime();
      for (const addresses::OwnerEntry &Entry : Sent.m_Owners)
        addresses::mergeOwner(m_Vms[Sent.m_To].m_Owners, Entry, m_Now);
      m_Totals.m_Processor += processorTime() - Before;
      tell(Sent.m_To, Sent.m_Event);
    }
  }

  void tell(size_t Index, const Event &Happened) {
    BenchVm &Vm = m_Vms[Index];
    if (!Vm.m_Up)
      return;
    std::vector<Action> Actions;
    Duration Before = processorTime();
    step(*Vm.m_State, Happened, m_Now, Actions);
    m_Totals.m_Processor += processorTime() - Before;
    for (const Action &Wanted : Actions)
      perform(Index, Wanted);
  }

  void send(const std::string &To, Event Sent,
            std::vector<addresses::OwnerEntry> Owners = {}) {
    ++m_Totals.m_Messages;
    auto Found = m_Index.find(To);
    if (Found != m_Index.end())
      m_Queue.push_back({m_Now + MessageDelay, Found->second, std::move(Sent),
                         std::move(Owners)});
  }

  void perform(size_t From, const Action &Wanted) {
    if (const auto *Wake = std::get_if<WakeAt>(&Wanted)) {
      m_Vms[From].m_WakeAt = Wake->m_Time;
    } else if (const auto *Sent = std::get_if<SendHeartbeat>(&Wanted)) {
      m_Totals.m_HeartbeatBytes += encodedSize(Sent->m_Message);
      Duration Before = processorTime();
      auto Owners =
          addresses::nextOwnerDigest(m_Vms[From].m_Owners, OwnerBytes);
      m_Totals.m_Processor += processorTime() - Before;
      for (const addresses::OwnerEntry &Entry : Owners)
        m_Totals.m_OwnerBytes += addresses::encodedSize(Entry);
      send(Sent->m_To, HeartbeatArrived{Sent->m_Message}, std::move(Owners));
    } else if (const auto *Asked = std::get_if<SendVmListRequest>(&Wanted)) {
      m_Totals.m_ListBytes += encodedSize(Asked->m_Message);
      send(Asked->m_To, VmListRequested{Asked->m_Message});
    } else if (const auto *Answer = std::get_if<SendVmListAnswer>(&Wanted)) {
      m_Totals.m_ListBytes += encodedSize(Answer->m_Message);
      send(Answer->m_To, VmListAnswered{Answer->m_Message});
    } else if (std::holds_alternative<PollVmList>(Wanted)) {
      m_Queue.push_back(
          {m_Now + MessageDelay, From, VmListFetched{m_List}, {}});
    }
  }

  /// Kills a VM and waits until no live one holds it for alive.
  Duration spreadTime() {
    auto Victim = std::find_if(m_Vms.begin(), m_Vms.end(),
                               [](const BenchVm &Vm) { return Vm.m_Up; });
    Victim->m_Up = false;
    std::string Name = Victim->m_State->m_Self.m_Name;
    TimePoint Begin = m_Now;
    auto Believes = [&](const BenchVm &Vm) {
      return Vm.m_Up && statusOf(*Vm.m_State, Name, m_Now) == VmStatus::Alive;
    };
    while (std::any_of(m_Vms.begin(), m_Vms.end(), Believes) &&
           m_Now < Begin + 120s)
      run(Tick, false);
    return m_Now - Begin;
  }

  Size m_Size;
  int m_Started = 0;
  TimePoint m_Now{1h};
  std::vector<BenchVm> m_Vms;
  std::map<std::string, size_t> m_Index;
  std::vector<store::VmRecord> m_List;
  std::vector<Delivery> m_Queue;
  Totals m_Totals;

public:
  void warmUp() { run(Warmup, false); }
};

} // namespace

int main() {
  const Size Sizes[] = {
      {6, 3, 4}, {12, 3, 4}, {18, 3, 4}, {100, 11, 24}, {300, 11, 24}};
  std::printf("per VM and second; replaced: one VM every 20 s; spread: until "
              "no VM holds a killed one for alive, at most 120 s\n");
  std::printf("%5s %4s %6s %10s %8s %8s %9s %9s %10s %9s %8s\n", "vms", "dcs",
              "svcs", "heartbeatB", "ownersB", "listB", "messages", "cpu_ns",
              "replacedB", "cpu_ns", "spread_s");
  for (const Size &Given : Sizes) {
    Bench Fleet(Given);
    Fleet.warmUp();
    Fleet.print();
    std::fflush(stdout);
  }
}
