#include "hyssopcross/store/MemoryStore.h"
#include "hyssopcross/base/Invariant.h"
#include <set>

namespace hyssopcross::store {

namespace {

bool namesRowTwice(std::span<const Write> Writes) {
  std::set<std::string_view> Keys;
  for (const Write &Write : Writes)
    if (!Keys.insert(Write.m_Key).second)
      return true;
  return false;
}

} // namespace

Result<void> MemoryStore::pass(Access Access) {
  Gate Current;
  {
    std::lock_guard Lock(m_Mutex);
    Current = m_Gate;
  }
  if (Current) {
    auto Passed = Current(Access);
    if (!Passed)
      return Passed;
  }
  std::lock_guard Lock(m_Mutex);
  if (m_Down)
    return fail(ErrorCode::Unavailable, "the platform is down");
  return boost::outcome_v2::success();
}

Result<void> MemoryStore::finishWrite() {
  ++m_Counters.m_Writes;
  if (m_AnswersToLose == 0)
    return boost::outcome_v2::success();
  --m_AnswersToLose;
  return fail(ErrorCode::Unknown, "the answer was lost");
}

Result<std::optional<Row>> MemoryStore::read(std::string_view Key) {
  auto Passed = pass(Access::Read);
  if (!Passed)
    return Passed.as_failure();
  std::lock_guard Lock(m_Mutex);
  ++m_Counters.m_Reads;
  auto Found = m_Rows.find(Key);
  if (Found == m_Rows.end())
    return std::optional<Row>();
  return std::optional<Row>(Found->second);
}

Result<std::map<std::string, Row>> MemoryStore::scan(std::string_view Prefix,
                                                     size_t Limit) {
  auto Passed = pass(Access::Read);
  if (!Passed)
    return Passed.as_failure();
  std::lock_guard Lock(m_Mutex);
  ++m_Counters.m_Reads;
  std::map<std::string, Row> Found;
  for (auto Next = m_Rows.lower_bound(Prefix);
       Next != m_Rows.end() && Next->first.starts_with(Prefix); ++Next) {
    if (Found.size() == Limit)
      break;
    Found.insert(*Next);
  }
  return Found;
}

bool MemoryStore::expectationsHold(std::span<const Write> Writes) const {
  for (const Write &Write : Writes) {
    auto Found = m_Rows.find(Write.m_Key);
    uint64_t Version = Found == m_Rows.end() ? 0 : Found->second.m_Version;
    if (Version != Write.m_ExpectedVersion)
      return false;
  }
  return true;
}

Result<CommitResult> MemoryStore::commit(std::span<const Write> Writes) {
  if (namesRowTwice(Writes))
    return fail(ErrorCode::InvalidInput,
                "two writes of the transaction name the same row");
  auto Passed = pass(Access::Write);
  if (!Passed)
    return Passed.as_failure();
  std::lock_guard Lock(m_Mutex);
  CommitResult Ended = CommitResult::Conflict;
  if (expectationsHold(Writes)) {
    Ended = CommitResult::Committed;
    m_Counters.m_RowsWritten += Writes.size();
    for (const Write &Write : Writes) {
      if (Write.m_Value)
        m_Rows[Write.m_Key] = {*Write.m_Value, ++m_LastVersion};
      else
        m_Rows.erase(Write.m_Key);
    }
  } else {
    ++m_Counters.m_Conflicts;
  }
  auto Finished = finishWrite();
  if (!Finished)
    return Finished.as_failure();
  return Ended;
}

Result<void> MemoryStore::put(std::string_view Key, std::string_view Body) {
  auto Passed = pass(Access::Write);
  if (!Passed)
    return Passed;
  std::lock_guard Lock(m_Mutex);
  m_Objects[std::string(Key)] = std::string(Body);
  return finishWrite();
}

Result<std::string> MemoryStore::get(std::string_view Key) {
  auto Passed = pass(Access::Read);
  if (!Passed)
    return Passed.as_failure();
  std::lock_guard Lock(m_Mutex);
  ++m_Counters.m_Reads;
  auto Found = m_Objects.find(Key);
  if (Found == m_Objects.end())
    return fail(ErrorCode::NotFound,
                "object \"" + std::string(Key) + "\" does not exist");
  return Found->second;
}

Result<void> MemoryStore::remove(std::string_view Key) {
  auto Passed = pass(Access::Write);
  if (!Passed)
    return Passed;
  std::lock_guard Lock(m_Mutex);
  auto Found = m_Objects.find(Key);
  if (Found != m_Objects.end())
    m_Objects.erase(Found);
  return finishWrite();
}

Result<std::vector<std::string>> MemoryStore::list(std::string_view Prefix,
                                                   size_t Limit) {
  auto Passed = pass(Access::Read);
  if (!Passed)
    return Passed.as_failure();
  std::lock_guard Lock(m_Mutex);
  ++m_Counters.m_Reads;
  std::vector<std::string> Keys;
  for (auto Next = m_Objects.lower_bound(Prefix);
       Next != m_Objects.end() && Next->first.starts_with(Prefix); ++Next) {
    if (Keys.size() == Limit)
      break;
    Keys.push_back(Next->first);
  }
  return Keys;
}

Result<std::vector<VmRecord>> MemoryStore::fetch() {
  auto Passed = pass(Access::Read);
  if (!Passed)
    return Passed.as_failure();
  std::lock_guard Lock(m_Mutex);
  ++m_Counters.m_Reads;
  foldVmChanges(m_Clock.now() - m_ListLag);
  std::vector<VmRecord> Vms;
  for (const auto &[Name, Vm] : m_Vms)
    Vms.push_back(Vm);
  return Vms;
}

// Applies the changes that have become visible, oldest first.
void MemoryStore::foldVmChanges(TimePoint Until) {
  auto Next = m_VmChanges.begin();
  for (; Next != m_VmChanges.end() && Next->m_Time <= Until; ++Next) {
    if (Next->m_Record)
      m_Vms[Next->m_Name] = *Next->m_Record;
    else
      m_Vms.erase(Next->m_Name);
  }
  m_VmChanges.erase(m_VmChanges.begin(), Next);
}

void MemoryStore::setVm(VmRecord Vm) {
  std::lock_guard Lock(m_Mutex);
  std::string Name = Vm.m_Name;
  m_VmChanges.push_back({m_Clock.now(), std::move(Name), std::move(Vm)});
}

void MemoryStore::removeVm(std::string_view Name) {
  std::lock_guard Lock(m_Mutex);
  m_VmChanges.push_back({m_Clock.now(), std::string(Name), std::nullopt});
}

void MemoryStore::setListLag(Duration Lag) {
  HYSSOPCROSS_INVARIANT(Lag >= Duration::zero(), "a lag is not negative");
  std::lock_guard Lock(m_Mutex);
  m_ListLag = Lag;
}

void MemoryStore::setDown(bool Down) {
  std::lock_guard Lock(m_Mutex);
  m_Down = Down;
}

void MemoryStore::loseAnswers(uint32_t Count) {
  std::lock_guard Lock(m_Mutex);
  m_AnswersToLose = Count;
}

void MemoryStore::setGate(Gate Gate) {
  std::lock_guard Lock(m_Mutex);
  m_Gate = std::move(Gate);
}

PlatformCounters MemoryStore::counters() const {
  std::lock_guard Lock(m_Mutex);
  return m_Counters;
}

} // namespace hyssopcross::store
