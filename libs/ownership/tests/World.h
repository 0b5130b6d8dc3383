#ifndef HYSSOPCROSS_OWNERSHIP_TESTS_WORLD_H
#define HYSSOPCROSS_OWNERSHIP_TESTS_WORLD_H

#include "hyssopcross/ownership/Ownership.h"
#include <functional>
#include <memory>

namespace hyssopcross::ownership {

/// What a run injects. Times are in tenths of a second from its start.
enum class FaultKind {
  Pause,
  Kill,
  /// A new run of the VM starts; the old one ends.
  Restart,
  /// A new run of the VM starts while the old one is paused.
  Duplicate,
  StoreDown,
  /// The VM alone does not reach the store.
  StoreCut,
  /// The VM's writes take effect and their answers are lost.
  AnswersLost,
  /// The VM's writes fail or take effect late, without an answer.
  WritesLate,
  /// The VM's messages to and from others are lost.
  NetCut,
  /// The VM takes itself for the only candidate.
  ViewAlone,
  Stop,
};

struct Fault {
  FaultKind m_Kind = FaultKind::Pause;
  uint32_t m_Vm = 0;
  uint32_t m_At = 0;
  uint32_t m_Length = 0;
};

/// One run of a VM's process.
struct Process {
  std::unique_ptr<OwnershipState> m_State;
  TimePoint m_Start;
  double m_ClockRate = 1.0;
  TimePoint m_PausedUntil;
  bool m_Dead = false;
  bool m_Drained = false;
  std::vector<std::function<void()>> m_Backlog;
};

/// Several VMs' states against one table and one network, on a manual clock.
class World {
public:
  struct Setup {
    OwnershipPolicy m_Policy;
    uint64_t m_Seed = 1;
    /// The data centre of each VM.
    std::vector<std::string> m_Vms;
    std::vector<PoolId> m_Pools;
    /// Deviation of the VMs' clocks, alternating between fast and slow.
    double m_Drift = 0.01;
    /// A VM that starts later, in tenths of a second; zero for none.
    uint32_t m_LateVm = 0;
    uint32_t m_LateAt = 0;
  };

  explicit World(Setup Given);

  void inject(const Fault &Injected);
  /// Runs until this many tenths of a second after the start, and checks that
  /// no pool has two confirmed owners at any instant.
  void runUntil(uint32_t Tenths);

  /// The VMs whose newest run is confirmed for the pool.
  std::vector<std::string> confirmed(const PoolId &Pool);
  LeaseStatus status(uint32_t Vm, const PoolId &Pool);
  bool drained(uint32_t Vm) const;
  const OwnershipState &state(uint32_t Vm) const;
  TimePoint localNow(uint32_t Vm) const;
  std::optional<LeaseRow> row(const PoolId &Pool) const;
  void putRow(const PoolId &Pool, std::string Value);

  /// What went wrong; empty if nothing.
  std::string m_Broken;
  uint64_t m_RowWrites = 0;
  uint64_t m_Transactions = 0;
  uint64_t m_Reads = 0;
  uint64_t m_TakeOvers = 0;
  uint64_t m_MostHandOversAtOnce = 0;
  uint64_t m_MostPromiseRequests = 0;
  uint64_t m_RowsRejected = 0;

private:
  using Handler = std::function<void()>;

  struct Vm {
    std::string m_Name;
    std::string m_DataCentre;
    std::vector<std::shared_ptr<Process>> m_Runs;
    std::map<FaultKind, TimePoint> m_Faults;
  };

  bool faulty(const Vm &Subject, FaultKind Kind) const;
  void at(TimePoint When, Handler What);
  Duration delay(int MostMilliseconds);
  TimePoint local(const Process &Run) const;
  void start(Vm &Subject);
  void tell(Vm &Subject, const std::shared_ptr<Process> &Run,
            const Event &Happened);
  void tick(Vm &Subject, const std::shared_ptr<Process> &Run);
  void tellCandidates();
  void perform(Vm &Subject, const std::shared_ptr<Process> &Run,
               const Action &Wanted);
  void perform(Vm &, const std::shared_ptr<Process> &, const ReadLease &);
  void perform(Vm &, const std::shared_ptr<Process> &, const CommitLease &);
  void perform(Vm &, const std::shared_ptr<Process> &, const SendMessage &);
  CommitEnd commit(const std::vector<store::Write> &Writes);
  void check();

  Setup m_Setup;
  std::mt19937_64 m_Random;
  TimePoint m_Begin;
  TimePoint m_Now;
  TimePoint m_StoreDownUntil;
  std::multimap<TimePoint, Handler> m_Events;
  std::map<std::string, store::Row> m_Table;
  uint64_t m_Version = 0;
  uint64_t m_Incarnations = 0;
  std::vector<Vm> m_Vms;
  std::map<std::string, uint64_t> m_Epochs;
};

} // namespace hyssopcross::ownership

#endif
