#ifndef HYSSOPCROSS_BALANCING_TESTS_WORLD_H
#define HYSSOPCROSS_BALANCING_TESTS_WORLD_H

#include "Host.h"
#include <ostream>

namespace hyssopcross::balancing::tests {

/// Thrown when the world sees what must not happen.
struct Violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// One input of a random run; the numbers select a server, count or time.
struct Command {
  uint8_t m_Kind = 0;
  uint8_t m_A = 0;
  uint8_t m_B = 0;
};

inline std::ostream &operator<<(std::ostream &Out, const Command &Command) {
  return Out << '{' << int(Command.m_Kind) << ',' << int(Command.m_A) << ','
             << int(Command.m_B) << '}';
}

/// A backend server that sheds beyond its slots and while it drains.
struct FakeServer {
  uint32_t m_Boot = 1;
  uint32_t m_Running = 0;
  uint32_t m_SlowFactor = 1;
  bool m_Draining = false;
  bool m_Breaks = false;
  bool m_ReportsBoot = true;
  bool m_ListedLeaving = false;
  /// The process that was listed as leaving while the pool knew it.
  std::optional<uint32_t> m_LeavingBoot;
  std::vector<TimePoint> m_Probes;
};

/// A pool with fake servers around it, on a clock of its own. It carries out
/// the pool's actions and checks them against what the servers saw.
class World {
public:
  World(catalogue::ServiceEntry Entry, PoolPolicy Policy, uint64_t Seed);

  /// Applies one random input.
  void run(const Command &Command);

  /// Lets the time pass, with all that falls due.
  void advance(Duration Time);

  /// Lets everything end and checks that nothing is left behind.
  void finish();

  Host m_Host;

private:
  struct Attempt {
    CallId m_Call = 0;
    ServerId m_Server;
    AttemptEnd m_End = AttemptEnd::Completed;
    TimePoint m_EndsAt;
    bool m_Cancelled = false;
  };
  struct Call {
    TimePoint m_Deadline;
    uint32_t m_Executions = 0;
  };

  void apply(const Event &Event);
  void carryOut(const SendAttempt &Action);
  void carryOut(const CancelAttempt &Action);
  void carryOut(const FinishCall &Action);
  void carryOut(const RefuseCall &Action);
  void carryOut(const HandOverCall &Action);
  void carryOut(const SendProbe &Action);
  void carryOut(const KeepConnections &Action);
  void carryOut(const AnnounceQueueing &) {}
  void carryOut(const AskPull &Action);
  void carryOut(const WakeAt &Action) { m_WakeAt = Action.m_Time; }
  void closeCall(CallId Call);
  bool runNextUntil(TimePoint End);
  void endAttempt(AttemptId Id);
  LoadReport report(const FakeServer &Server) const;
  FakeServer &pick(uint8_t Number);
  void arrive(uint8_t Count, uint8_t Allowed);
  void listServers();
  void toggleLeaving(uint8_t Number);
  void takeOver(uint8_t Bits);

  std::map<ServerId, FakeServer> m_Servers;
  std::map<CallId, Call> m_Calls;
  std::map<AttemptId, Attempt> m_Attempts;
  std::map<ServerId, TimePoint> m_ProbesRunning;
  std::optional<TimePoint> m_WakeAt;
  CallId m_LastCall = 0;
};

} // namespace hyssopcross::balancing::tests

#endif
