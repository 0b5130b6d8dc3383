#include "Transitions.h"

namespace hyssopcross::claims {

namespace {

constexpr size_t MaxPrefix = 16;

std::string servicePrefix(std::string_view Service) {
  return "claim/" + std::string(Service) + "/";
}

/// The prefix that follows in order without going deeper; empty after the
/// last.
std::string nextPrefix(std::string Prefix) {
  while (!Prefix.empty() && Prefix.back() == 'f')
    Prefix.pop_back();
  if (Prefix.empty())
    return Prefix;
  char &Last = Prefix.back();
  Last = Last == '9' ? 'a' : static_cast<char>(Last + 1);
  return Prefix;
}

/// Moves to the next rows. A scan that filled its limit has left rows out:
/// scan its sixteen parts instead.
void advance(Context &Ctx, SweepState &Sweep, bool Full) {
  const ClaimPolicy &Policy = Ctx.m_State.m_Policy;
  Sweep.m_NextScan = Ctx.m_Now.m_Now + Policy.m_SweepPause;
  if (Full && Sweep.m_HashPrefix.size() < MaxPrefix) {
    Sweep.m_HashPrefix += '0';
    return;
  }
  Sweep.m_HashPrefix = nextPrefix(std::move(Sweep.m_HashPrefix));
  if (Sweep.m_HashPrefix.empty())
    Sweep.m_NextScan = Ctx.m_Now.m_Now + Policy.m_SweepCyclePause;
}

/// Collects the removal of a row if it has expired.
void collectExpired(Context &Ctx, SweepState &Sweep, const std::string &Key,
                    const store::Row &Row, records::CommitRows &Commit) {
  auto Value = readRow(Row.m_Value);
  if (!Value || Value.value().m_Deadline + Ctx.m_State.m_Policy.m_Retention >
                    Ctx.m_Now.m_Wall)
    return;
  if (Commit.m_Writes.size() >= Ctx.m_State.m_Policy.m_SweepDeletes) {
    Sweep.m_Again = true;
    return;
  }
  Commit.m_Writes.push_back({Key, Row.m_Version, std::nullopt});
  if (!Value.value().m_ObjectKey.empty())
    Sweep.m_Objects.push_back(Value.value().m_ObjectKey);
}

void removeExpired(Context &Ctx, SweepState &Sweep,
                   const records::RowsScanned &Scanned) {
  records::CommitRows Commit;
  Sweep.m_Objects.clear();
  Sweep.m_Again = false;
  for (const auto &[Key, Row] : Scanned.m_Rows)
    collectExpired(Ctx, Sweep, Key, Row, Commit);
  if (!Sweep.m_Again)
    advance(Ctx, Sweep,
            Scanned.m_Rows.size() >= Ctx.m_State.m_Policy.m_SweepRows);
  if (Commit.m_Writes.empty())
    return;
  Commit.m_Request = ++Ctx.m_State.m_LastRequest;
  Sweep.m_Request = Commit.m_Request;
  Ctx.m_State.m_Counters.m_Transactions++;
  Ctx.m_State.m_Counters.m_RowWrites += Commit.m_Writes.size();
  Ctx.m_Actions.push_back(std::move(Commit));
}

SweepState *findSweep(ClaimState &State, records::RequestId Request) {
  for (auto &[Service, Sweep] : State.m_Sweeps)
    if (Sweep.m_Request == Request)
      return &Sweep;
  return nullptr;
}

} // namespace

void changeSweeper(Context &Ctx, const SweeperChanged &Change) {
  if (!Change.m_Sweep) {
    Ctx.m_State.m_Sweeps.erase(Change.m_Service);
    return;
  }
  auto [Entry, New] = Ctx.m_State.m_Sweeps.try_emplace(Change.m_Service);
  if (New)
    Entry->second.m_NextScan =
        Ctx.m_Now.m_Now + Ctx.m_State.m_Policy.m_SweepPause;
}

void startScans(Context &Ctx) {
  for (auto &[Service, Sweep] : Ctx.m_State.m_Sweeps) {
    if (Sweep.m_Request != 0 || Sweep.m_NextScan > Ctx.m_Now.m_Now)
      continue;
    Sweep.m_Request = ++Ctx.m_State.m_LastRequest;
    Ctx.m_State.m_Counters.m_Reads++;
    Ctx.m_Actions.push_back(records::ScanRows{
        Sweep.m_Request, servicePrefix(Service) + Sweep.m_HashPrefix,
        Ctx.m_State.m_Policy.m_SweepRows});
  }
}

bool sweepScanned(Context &Ctx, const records::RowsScanned &Scanned) {
  SweepState *Sweep = findSweep(Ctx.m_State, Scanned.m_Request);
  if (!Sweep)
    return false;
  Sweep->m_Request = 0;
  Sweep->m_NextScan = Ctx.m_Now.m_Now + Ctx.m_State.m_Policy.m_SweepPause;
  if (Scanned.m_Reached)
    removeExpired(Ctx, *Sweep, Scanned);
  else
    Sweep->m_NextScan = Ctx.m_Now.m_Now + Ctx.m_State.m_Policy.m_RetryPauseMax;
  return true;
}

bool sweepCommitted(Context &Ctx, const records::CommitEnded &Ended) {
  SweepState *Sweep = findSweep(Ctx.m_State, Ended.m_Request);
  if (!Sweep)
    return false;
  Sweep->m_Request = 0;
  if (Ended.m_End == records::CommitEnd::Committed)
    for (std::string &Key : Sweep->m_Objects)
      Ctx.m_Actions.push_back(records::RemoveObject{std::move(Key)});
  Sweep->m_Objects.clear();
  return true;
}

std::optional<TimePoint> nextScan(const ClaimState &State) {
  std::optional<TimePoint> Next;
  for (const auto &[Service, Sweep] : State.m_Sweeps)
    if (Sweep.m_Request == 0)
      Next = Next ? std::min(*Next, Sweep.m_NextScan) : Sweep.m_NextScan;
  return Next;
}

} // namespace hyssopcross::claims
