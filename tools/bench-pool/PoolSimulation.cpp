#include "PoolSimulation.h"
#include <algorithm>
#include <cmath>
#include <queue>

namespace hyssopcross::bench {

namespace {

using namespace balancing;

constexpr Duration SlowPeriod = std::chrono::milliseconds(300);
constexpr Duration SlowTime = std::chrono::milliseconds(100);
constexpr Duration ShedTime = std::chrono::microseconds(500);

enum class DueKind { Arrival, Served, Report, Wake };

struct Due {
  TimePoint m_At;
  uint64_t m_Order = 0;
  DueKind m_Kind = DueKind::Arrival;
  AttemptId m_Attempt = 0;
  ServerId m_Server;

  bool operator>(const Due &Other) const {
    return m_At != Other.m_At ? m_At > Other.m_At : m_Order > Other.m_Order;
  }
};

struct SimulatedServer {
  uint32_t m_Index = 0;
  uint32_t m_Busy = 0;
  std::deque<AttemptId> m_Waiting;
};

struct SimulatedAttempt {
  ServerId m_Server;
  bool m_Cancelled = false;
  bool m_Serving = false;
};

class Simulation {
public:
  explicit Simulation(const SimulationOptions &Options)
      : m_Options(Options), m_Random(Options.m_Seed),
        m_State({"service", "dc"}, makeEntry(), Options.m_Policy,
                Options.m_Seed) {}

  SimulationResult run();

private:
  catalogue::ServiceEntry makeEntry() const;
  void start();
  void handle(const Due &Next);
  void apply(const Event &Event);
  void carryOut(const SendAttempt &Action);
  void carryOut(const CancelAttempt &Action);
  void carryOut(const FinishCall &Action);
  void carryOut(const RefuseCall &Action);
  void carryOut(const SendProbe &Action);
  void carryOut(const WakeAt &Action);
  template <typename Other> void carryOut(const Other &) {}
  void serve(SimulatedServer &Server, AttemptId Attempt);
  void endAttempt(AttemptId Id);
  TimePoint finishTime(uint32_t Server, Duration Work);
  bool isSlow(uint32_t Server, TimePoint Time) const;
  LoadReport report(const SimulatedServer &Server) const;
  void schedule(Due Next, TimePoint At);
  void arrive();
  Duration drawExponential(Duration Mean);

  SimulationOptions m_Options;
  std::mt19937_64 m_Random;
  PoolState m_State;
  TimePoint m_Now{std::chrono::hours(1)};
  std::priority_queue<Due, std::vector<Due>, std::greater<>> m_Due;
  std::map<ServerId, SimulatedServer> m_Servers;
  std::map<AttemptId, SimulatedAttempt> m_Attempts;
  std::map<CallId, TimePoint> m_Arrived;
  std::vector<Duration> m_Latencies;
  SimulationResult m_Result;
  Duration m_StepTime{};
  uint64_t m_Order = 0;
  CallId m_LastCall = 0;
};

catalogue::ServiceEntry Simulation::makeEntry() const {
  catalogue::ServiceEntry Entry;
  Entry.m_Limits.m_Slots = m_Options.m_Slots;
  Entry.m_Limits.m_Queue = 4 * m_Options.m_Servers;
  return Entry;
}

Duration Simulation::drawExponential(Duration Mean) {
  double Unit = std::uniform_real_distribution<>(1e-12, 1.0)(m_Random);
  return Duration(static_cast<int64_t>(-std::log(Unit) *
                                       static_cast<double>(Mean.count())));
}

bool Simulation::isSlow(uint32_t Server, TimePoint Time) const {
  if (m_Options.m_SlowFactor <= 1.0)
    return false;
  auto Period = static_cast<uint64_t>(Time.time_since_epoch() / SlowPeriod);
  Duration Into = Time.time_since_epoch() % SlowPeriod;
  uint64_t Mixed = (Period + m_Options.m_Seed) * 0x9E3779B97F4A7C15U;
  return Into < SlowTime && (Mixed >> 33U) % m_Options.m_Servers == Server;
}

/// When a server that starts now has done the work, at the speed of each
/// moment.
TimePoint Simulation::finishTime(uint32_t Server, Duration Work) {
  TimePoint Time = m_Now;
  while (true) {
    Duration Into = Time.time_since_epoch() % SlowPeriod;
    Duration Segment = Into < SlowTime ? SlowTime - Into : SlowPeriod - Into;
    double Factor = isSlow(Server, Time) ? m_Options.m_SlowFactor : 1.0;
    Duration Needed(
        static_cast<int64_t>(static_cast<double>(Work.count()) * Factor));
    if (Needed <= Segment)
      return Time + Needed;
    Work -= Duration(
        static_cast<int64_t>(static_cast<double>(Segment.count()) / Factor));
    Time += Segment;
  }
}

void Simulation::schedule(Due Next, TimePoint At) {
  Next.m_At = At;
  Next.m_Order = ++m_Order;
  m_Due.push(std::move(Next));
}

LoadReport Simulation::report(const SimulatedServer &Server) const {
  LoadReport Report;
  Report.m_InFlight = Server.m_Busy;
  Report.m_Queued = static_cast<uint32_t>(Server.m_Waiting.size());
  Report.m_BootId = "boot";
  return Report;
}

void Simulation::apply(const Event &Event) {
  std::vector<Action> Actions;
  auto Before = std::chrono::steady_clock::now();
  step(m_State, Event, m_Now, Actions);
  m_StepTime += std::chrono::steady_clock::now() - Before;
  ++m_Result.m_Steps;
  for (const Action &Action : Actions)
    std::visit([this](const auto &Known) { carryOut(Known); }, Action);
}

void Simulation::serve(SimulatedServer &Server, AttemptId Attempt) {
  ++Server.m_Busy;
  m_Attempts.at(Attempt).m_Serving = true;
  Due Next;
  Next.m_Kind = DueKind::Served;
  Next.m_Attempt = Attempt;
  schedule(Next, finishTime(Server.m_Index,
                            drawExponential(m_Options.m_MeanService)));
}

void Simulation::carryOut(const SendAttempt &Action) {
  SimulatedServer &Server = m_Servers.at(Action.m_Server);
  m_Attempts[Action.m_Attempt].m_Server = Action.m_Server;
  if (Server.m_Busy < m_Options.m_Slots)
    serve(Server, Action.m_Attempt);
  else
    Server.m_Waiting.push_back(Action.m_Attempt);
}

void Simulation::carryOut(const CancelAttempt &Action) {
  m_Attempts.at(Action.m_Attempt).m_Cancelled = true;
  Due Next;
  Next.m_Kind = DueKind::Served;
  Next.m_Attempt = Action.m_Attempt;
  schedule(Next, m_Now + ShedTime);
}

void Simulation::endAttempt(AttemptId Id) {
  auto Known = m_Attempts.find(Id);
  if (Known == m_Attempts.end())
    return;
  SimulatedAttempt Ended = Known->second;
  m_Attempts.erase(Known);
  SimulatedServer &Server = m_Servers.at(Ended.m_Server);
  if (Ended.m_Serving)
    --Server.m_Busy;
  else
    std::erase(Server.m_Waiting, Id);
  if (Server.m_Busy < m_Options.m_Slots && !Server.m_Waiting.empty()) {
    AttemptId Next = Server.m_Waiting.front();
    Server.m_Waiting.pop_front();
    serve(Server, Next);
  }
  AttemptEnd End =
      Ended.m_Cancelled ? AttemptEnd::Cancelled : AttemptEnd::Completed;
  apply(AttemptEnded{Id, End, report(Server)});
}

void Simulation::carryOut(const FinishCall &Action) {
  m_Latencies.push_back(m_Now - m_Arrived.at(Action.m_Call));
  m_Arrived.erase(Action.m_Call);
  ++m_Result.m_Completed;
}

void Simulation::carryOut(const RefuseCall &Action) {
  m_Arrived.erase(Action.m_Call);
  ++m_Result.m_Refused;
}

void Simulation::carryOut(const SendProbe &Action) {
  Due Next;
  Next.m_Kind = DueKind::Report;
  Next.m_Server = Action.m_Server;
  schedule(Next, m_Now + ShedTime);
}

void Simulation::carryOut(const WakeAt &Action) {
  Due Next;
  Next.m_Kind = DueKind::Wake;
  schedule(Next, Action.m_Time);
}

void Simulation::arrive() {
  CallArrived Event;
  Event.m_Call = ++m_LastCall;
  Event.m_Deadline = m_Now + m_Options.m_Allowed;
  m_Arrived[m_LastCall] = m_Now;
  apply(Event);
  double Busy = m_Options.m_Load * m_Options.m_Servers * m_Options.m_Slots;
  Duration Mean(static_cast<int64_t>(
      static_cast<double>(m_Options.m_MeanService.count()) / Busy));
  schedule({}, m_Now + drawExponential(Mean));
}

void Simulation::handle(const Due &Next) {
  switch (Next.m_Kind) {
  case DueKind::Arrival:
    arrive();
    break;
  case DueKind::Served:
    endAttempt(Next.m_Attempt);
    break;
  case DueKind::Report:
    apply(ProbeEnded{Next.m_Server, report(m_Servers.at(Next.m_Server))});
    break;
  case DueKind::Wake:
    // Only the last WakeAt counts.
    if (m_State.m_WakeAt == Next.m_At)
      apply(Woke{});
    break;
  }
}

void Simulation::start() {
  ServersListed List;
  TookOver Digest;
  Digest.m_Exact = true;
  for (uint32_t Index = 0; Index < m_Options.m_Servers; ++Index) {
    ServerId Id = "127.0.0.1:" + std::to_string(10000 + Index);
    m_Servers[Id].m_Index = Index;
    List.m_Servers.push_back({Id, false});
    Digest.m_Digest.push_back({Id, "boot", true, false, m_Options.m_Slots, 0});
  }
  apply(List);
  apply(Digest);
  schedule({}, m_Now);
}

Duration quantile(std::vector<Duration> &Sorted, double Share) {
  if (Sorted.empty())
    return Duration::zero();
  auto Rank =
      static_cast<size_t>(Share * static_cast<double>(Sorted.size() - 1));
  return Sorted[Rank];
}

SimulationResult Simulation::run() {
  start();
  uint64_t WarmUp = m_Options.m_Calls / 10;
  while (m_LastCall < m_Options.m_Calls + WarmUp) {
    Due Next = m_Due.top();
    m_Due.pop();
    m_Now = Next.m_At;
    bool Counted = m_LastCall > WarmUp;
    handle(Next);
    if (!Counted) {
      m_Latencies.clear();
      m_Result = {};
      m_StepTime = {};
    }
  }
  std::sort(m_Latencies.begin(), m_Latencies.end());
  m_Result.m_P50 = quantile(m_Latencies, 0.5);
  m_Result.m_P99 = quantile(m_Latencies, 0.99);
  m_Result.m_P999 = quantile(m_Latencies, 0.999);
  m_Result.m_Hedges = m_State.m_Counters.m_Hedges;
  m_Result.m_NanosecondsPerStep = static_cast<double>(m_StepTime.count()) /
                                  static_cast<double>(m_Result.m_Steps);
  return m_Result;
}

} // namespace

SimulationResult simulate(const SimulationOptions &Options) {
  return Simulation(Options).run();
}

} // namespace hyssopcross::bench
