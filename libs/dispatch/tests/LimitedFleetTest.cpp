// Many VMs that share the request limits of servers under overload, without a
// network: messages between them take time and may be lost.
#include "hyssopcross/dispatch/Choice.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace hyssopcross;
using namespace hyssopcross::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 1ms;
constexpr Duration Work = 30ms;
constexpr Duration Objective = 200ms;
constexpr Duration Deadline = 1s;
/// Longest time between two VMs, and how often a VM repeats its counts.
constexpr Duration MaxMessageTime = 5ms;
constexpr Duration Heartbeat = 500ms;
/// Span of time in which a server's requests are counted, and from when on
/// after it has named its limit.
constexpr Duration Window = 4s;
constexpr Duration LearningTime = 500ms;

/// Overload of a service whose servers name limits.
struct LimitedLoad {
  const char *m_Name;
  uint32_t m_Vms;
  uint32_t m_Servers;
  uint32_t m_LimitedServers;
  /// Requests per second that a limited server takes.
  double m_Limit;
  /// Requests per second at all VMs.
  double m_Rate;
  /// Share of the messages that are lost.
  double m_Loss = 0;
};

/// A count that one VM tells another.
struct Message {
  size_t m_To;
  VmKey m_From;
  std::string m_Server;
  uint32_t m_Sends;
  double m_Limit;
  TimePoint m_SaidAt;
};

struct Response {
  TimePoint m_At;
  size_t m_Vm;
  std::string m_Server;
  TimePoint m_SentAt;
};

/// A request that waits in the queue of a VM.
struct WaitingRequest {
  TimePoint m_ArrivedAt;
  TimePoint m_RetryAt;
};

struct Vm {
  ServerView m_View;
  std::vector<WaitingRequest> m_Queue;
  TimePoint m_PromisedAt{};
};

class LimitedFleet {
public:
  LimitedFleet(const LimitedLoad &Load, const DispatchPolicy &Policy,
               uint32_t Seed)
      : m_Load(Load), m_Policy(Policy), m_Random(Seed), m_Vms(Load.m_Vms) {
    for (Vm &Each : m_Vms) {
      Each.m_View.m_OwnDataCentre = "here";
      for (uint32_t I = 0; I < Load.m_Servers; ++I)
        upsertServer(Each.m_View, makeRecord(I), m_Now);
    }
  }

  void simulate(Duration For) {
    for (TimePoint End = m_Now + For; m_Now < End; m_Now += Step) {
      Duration Passed = m_Now - m_Begin;
      if (Passed % 40ms == 0ms)
        runHealthChecks();
      if (Passed % Heartbeat == 0ms)
        for (size_t I = 0; I < m_Vms.size(); ++I)
          for (const auto &[Id, Target] : m_Vms[I].m_View.m_Servers)
            tell(I, Target);
      deliver();
      complete();
      double StepSeconds = std::chrono::duration<double>(Step).count();
      if (draw() < m_Load.m_Rate * StepSeconds)
        arrive();
      for (size_t I = 0; I < m_Vms.size(); ++I)
        reconsider(I);
    }
  }

  /// The most arrivals at a limited server in any window after the learning
  /// time.
  size_t mostInWindow() const {
    size_t Most = 0;
    for (const auto &[Id, Times] : m_Arrivals) {
      if (!isLimited(Id))
        continue;
      auto First =
          std::lower_bound(Times.begin(), Times.end(), m_Begin + LearningTime);
      for (; First != Times.end(); ++First)
        Most = std::max(
            Most,
            static_cast<size_t>(
                std::lower_bound(First, Times.end(), *First + Window) - First));
    }
    return Most;
  }

  /// Arrivals at limited servers as a share of what their limits admit.
  double limitUse() const {
    size_t Count = 0;
    for (const auto &[Id, Times] : m_Arrivals)
      Count += isLimited(Id) ? Times.size() : 0;
    double Seconds = std::chrono::duration<double>(m_Now - m_Begin).count();
    return static_cast<double>(Count) /
           (m_Load.m_Limit * m_Load.m_LimitedServers * Seconds);
  }

  uint32_t m_Refused = 0;
  Duration m_LongestWait{};

private:
  ServerRecord makeRecord(uint32_t Index) const {
    ServerRecord Record;
    Record.m_Id = "s" + std::to_string(Index);
    Record.m_Service = "service";
    Record.m_DataCentre = "here";
    Record.m_Slots = 4;
    Record.m_Incarnation = 1;
    return Record;
  }

  bool isLimited(const std::string &Id) const {
    return std::stoul(Id.substr(1)) < m_Load.m_LimitedServers;
  }

  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }

  void runHealthChecks() {
    for (Vm &Each : m_Vms)
      for (auto &[Id, Target] : Each.m_View.m_Servers)
        recordReport(Target, LoadReport(), 0ms, m_Now);
  }

  /// Tells the other VMs what one has sent to a limited server.
  void tell(size_t From, const Server &Of) {
    const RequestLimit *Limit = activeLimitOf(Of);
    if (!Limit)
      return;
    for (size_t To = 0; To < m_Vms.size(); ++To)
      if (To != From && draw() >= m_Load.m_Loss)
        m_Messages.emplace(m_Now + scale(MaxMessageTime, draw()),
                           Message{To, static_cast<VmKey>(From),
                                   Of.m_Record.m_Id, Limit->m_OwnSends,
                                   *Limit->m_PerSecond, Limit->m_SaidAt});
  }

  void deliver() {
    while (!m_Messages.empty() && m_Messages.begin()->first <= m_Now) {
      const Message &Told = m_Messages.begin()->second;
      ServerView &View = m_Vms[Told.m_To].m_View;
      recordPeerLimit(View, Told.m_Server, 1, Told.m_Limit, Told.m_SaidAt,
                      m_Now);
      countPeerSends(*limitOf(View.m_Servers.at(Told.m_Server)), Told.m_From,
                     Told.m_Sends, m_Policy, m_Now);
      m_Messages.erase(m_Messages.begin());
    }
  }

  void complete() {
    std::erase_if(m_Responses, [this](const Response &Each) {
      if (Each.m_At > m_Now)
        return false;
      ServerView &View = m_Vms[Each.m_Vm].m_View;
      Server &At = View.m_Servers.at(Each.m_Server);
      recordAttemptEnd(At, m_Policy, AttemptEnd::Answered, Work, Work, m_Now);
      std::optional<double> Named;
      if (isLimited(Each.m_Server))
        Named = m_Load.m_Limit;
      recordLimit(View, Each.m_Server, 1, {Named, false, true, Each.m_SentAt},
                  m_Now);
      tell(Each.m_Vm, At);
      return true;
    });
  }

  void arrive() {
    auto Index =
        static_cast<size_t>(draw() * static_cast<double>(m_Vms.size()));
    decide(std::min(Index, m_Vms.size() - 1), {m_Now, TimePoint::max()});
  }

  void reconsider(size_t Index) {
    std::vector<WaitingRequest> Waiting;
    std::swap(Waiting, m_Vms[Index].m_Queue);
    for (const WaitingRequest &Each : Waiting)
      if (m_Now >= std::min(Each.m_RetryAt, queueUntil(Each)))
        decide(Index, Each);
      else
        m_Vms[Index].m_Queue.push_back(Each);
  }

  TimePoint queueUntil(const WaitingRequest &Of) const {
    return Of.m_ArrivedAt + scale(Objective - Work, m_Policy.m_QueueShare);
  }

  void decide(size_t Index, WaitingRequest Of) {
    Vm &At = m_Vms[Index];
    CallInputs Call;
    Call.m_Service = "service";
    Call.m_ObjectiveAt = Of.m_ArrivedAt + Objective;
    Call.m_EndAt = Of.m_ArrivedAt + Deadline;
    Call.m_QueueUntil = queueUntil(Of);
    Call.m_Work = Work;
    Call.m_Objective = Objective;
    Call.m_QueueLength = At.m_Queue.size();
    Call.m_VmCount = static_cast<uint32_t>(m_Vms.size());
    Call.m_PromisedAt = At.m_PromisedAt;
    Choice Made = choose(
        At.m_View, m_Policy, Call, [](const Server &) { return true; }, 6.7,
        m_Random, m_Now);
    if (Made.m_PromisedAt != TimePoint{})
      At.m_PromisedAt = Made.m_PromisedAt;
    if (Made.m_Verdict == Verdict::Send)
      return send(Index, *Made.m_Server);
    if (Made.m_Verdict == Verdict::Wait) {
      Of.m_RetryAt = TimePoint::max();
      if (Made.m_RetryAt != TimePoint{})
        Of.m_RetryAt = std::max(Made.m_RetryAt, m_Now) +
                       scale(m_Policy.m_SlotClaimJitter, draw());
      At.m_Queue.push_back(Of);
      return;
    }
    ++m_Refused;
    m_LongestWait = std::max(m_LongestWait, m_Now - Of.m_ArrivedAt);
  }

  void send(size_t Index, Server &To) {
    recordSend(To, m_Policy, m_Now);
    tell(Index, To);
    m_Arrivals[To.m_Record.m_Id].push_back(m_Now);
    m_Responses.push_back({m_Now + Work, Index, To.m_Record.m_Id, m_Now});
  }

  const LimitedLoad m_Load;
  const DispatchPolicy m_Policy;
  std::mt19937 m_Random;
  const TimePoint m_Begin{1h};
  TimePoint m_Now = m_Begin;
  std::vector<Vm> m_Vms;
  std::multimap<TimePoint, Message> m_Messages;
  std::vector<Response> m_Responses;
  std::map<std::string, std::vector<TimePoint>> m_Arrivals;
};

size_t allowedInWindow(double Limit) {
  return static_cast<size_t>(
      1.5 * Limit * std::chrono::duration<double>(Window).count() + 5);
}

const LimitedLoad Loads[] = {
    {"one server of nine", 12, 9, 1, 1.7, 60},
    {"most servers", 12, 9, 7, 2.3, 120},
    {"all servers", 12, 9, 9, 3, 120},
    {"all servers, messages lost", 12, 9, 9, 3, 120, 0.05},
    {"a very low limit", 12, 4, 4, 0.3, 60},
    {"many VMs", 40, 13, 13, 2, 400},
    {"many VMs, high limits", 40, 13, 13, 20, 800},
    {"a single VM", 1, 3, 3, 5, 60},
};

/// Loads that the limits of all servers just admit, but not evenly.
const LimitedLoad LoadsWithinLimits[] = {
    {"nine tenths of the limits", 12, 9, 9, 3, 24},
    {"nine tenths of the limits, many VMs", 40, 13, 13, 3, 35},
};

} // namespace

// Guards against VMs that each keep a server's limit alone, and against those
// that send at the same moment once it admits a request.
TEST_CASE("VMs keep the request limits of servers together and use them") {
  for (const LimitedLoad &Each : Loads)
    for (uint32_t Seed : {1U, 2U, 3U}) {
      CAPTURE(std::string(Each.m_Name));
      CAPTURE(Seed);
      LimitedFleet Fleet(Each, DispatchPolicy(), Seed);
      Fleet.simulate(15s);
      CHECK(Fleet.mostInWindow() <= allowedInWindow(Each.m_Limit));
      // Otherwise callers don't depend on the limited servers.
      if (Each.m_LimitedServers == Each.m_Servers) {
        CHECK(Fleet.limitUse() >= 0.8);
        CHECK(Fleet.m_Refused > 0);
        CHECK(Fleet.m_LongestWait <= Objective);
      }
    }
}

// Guards against refusals of requests that arrive a little closer together than
// the named rate.
TEST_CASE("a load within the limits is hardly refused") {
  for (const LimitedLoad &Each : LoadsWithinLimits)
    for (uint32_t Seed : {1U, 2U, 3U}) {
      CAPTURE(std::string(Each.m_Name));
      CAPTURE(Seed);
      LimitedFleet Fleet(Each, DispatchPolicy(), Seed);
      Fleet.simulate(30s);
      CHECK(Fleet.mostInWindow() <= allowedInWindow(Each.m_Limit));
      CHECK(Fleet.m_Refused <= Each.m_Rate * 30 * 0.02);
    }
}

TEST_CASE("without the mechanism, servers get more than they named") {
  DispatchPolicy Policy;
  REQUIRE(disableMechanism(Policy, "keep_request_limits"));
  LimitedFleet Fleet(Loads[0], Policy, 1);
  Fleet.simulate(15s);
  CHECK(Fleet.mostInWindow() > allowedInWindow(Loads[0].m_Limit));
}
