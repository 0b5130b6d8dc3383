#ifndef HYSSOPCROSS_STORE_MEMORYSTORE_H
#define HYSSOPCROSS_STORE_MEMORYSTORE_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/store/Ports.h"
#include <functional>
#include <mutex>

namespace hyssopcross::store {

/// How many operations a platform has served. Refused ones do not count.
struct PlatformCounters {
  /// Reads, scans, gets and lists, and fetches of the list of VMs.
  uint64_t m_Reads = 0;
  /// Transactions, and puts and removals of objects. Lost answers count.
  uint64_t m_Writes = 0;
  /// Rows written by transactions that were committed.
  uint64_t m_RowsWritten = 0;
  /// Transactions that ended with a conflict.
  uint64_t m_Conflicts = 0;
};

/// The platform's table, object store and list of VMs in memory, with switches
/// for its faults. Safe to use from any thread; with one thread it is
/// deterministic. The clock outlives it and times only the lag of the list.
class MemoryStore final : public Table, public ObjectStore, public VmList {
public:
  /// What an operation does to the platform.
  enum class Access { Read, Write };

  /// Called at the start of each operation, without a lock held. It may block,
  /// which makes the platform slow; a failure that it returns becomes the
  /// result, and the operation has no effect.
  using Gate = std::function<Result<void>(Access)>;

  explicit MemoryStore(const Clock &Clock) : m_Clock(Clock) {}

  Result<std::optional<Row>> read(std::string_view Key) override;
  Result<std::map<std::string, Row>> scan(std::string_view Prefix,
                                          size_t Limit) override;
  /// Also fails with InvalidInput if two writes name the same row.
  Result<CommitResult> commit(std::span<const Write> Writes) override;

  Result<void> put(std::string_view Key, std::string_view Body) override;
  Result<std::string> get(std::string_view Key) override;
  Result<void> remove(std::string_view Key) override;
  Result<std::vector<std::string>> list(std::string_view Prefix,
                                        size_t Limit) override;

  Result<std::vector<VmRecord>> fetch() override;

  /// Adds a VM to the list or replaces the one of the same name.
  void setVm(VmRecord Vm);

  /// Removes a VM from the list; an absent one is ignored.
  void removeVm(std::string_view Name);

  /// The list shows each change this much later. Not negative.
  void setListLag(Duration Lag);

  /// While down, every operation fails with Unavailable.
  void setDown(bool Down);

  /// The next Count writes, in transactions or of objects, take effect and
  /// fail with Unknown.
  void loseAnswers(uint32_t Count);

  /// Installs the gate; an empty one lets everything pass. Operations that
  /// have started still use the previous one.
  void setGate(Gate Gate);

  PlatformCounters counters() const;

private:
  /// A change of the list of VMs; no record removes the VM.
  struct VmChange {
    TimePoint m_Time;
    std::string m_Name;
    std::optional<VmRecord> m_Record;
  };

  Result<void> pass(Access Access);
  Result<void> finishWrite();
  bool expectationsHold(std::span<const Write> Writes) const;
  void foldVmChanges(TimePoint Until);

  const Clock &m_Clock;
  mutable std::mutex m_Mutex;
  Gate m_Gate;
  bool m_Down = false;
  uint32_t m_AnswersToLose = 0;
  Duration m_ListLag{};
  /// Also the version of the row written last. Never reused, so that a row
  /// deleted and written again is not taken for the old one.
  uint64_t m_LastVersion = 0;
  std::map<std::string, Row, std::less<>> m_Rows;
  std::map<std::string, std::string, std::less<>> m_Objects;
  std::map<std::string, VmRecord, std::less<>> m_Vms;
  std::vector<VmChange> m_VmChanges;
  PlatformCounters m_Counters;
};

} // namespace hyssopcross::store

#endif
