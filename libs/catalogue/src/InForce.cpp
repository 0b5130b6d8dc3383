#include "hyssopcross/catalogue/InForce.h"
#include <algorithm>

namespace hyssopcross::catalogue {

namespace {

/// How long a version that rose is passed on before others.
constexpr Duration RecentFor = std::chrono::seconds(10);

/// Appends the versions of the VMs that follow the cursor, until Max are
/// passed or each is.
void passInTurn(const InForceState &State, const std::vector<std::string> &Vms,
                std::string &Cursor, size_t Max,
                std::vector<VmVersion> &Passed) {
  auto Next = std::upper_bound(Vms.begin(), Vms.end(), Cursor);
  for (size_t Left = Vms.size(); Left > 0 && Passed.size() < Max; --Left) {
    if (Next == Vms.end())
      Next = Vms.begin();
    Passed.push_back({*Next, State.m_Seen.at(*Next).m_Version});
    Cursor = *Next;
    ++Next;
  }
}

} // namespace

void setLive(InForceState &State, std::set<std::string> Live) {
  State.m_Live = std::move(Live);
  std::erase_if(State.m_Seen, [&](const auto &Entry) {
    return !State.m_Live.contains(Entry.first);
  });
  auto Gone = [&](const auto &Entry) {
    return !State.m_Live.contains(Entry.first);
  };
  std::erase_if(State.m_RecentCursors, Gone);
  std::erase_if(State.m_Cursors, Gone);
}

void forgetVm(InForceState &State, const std::string &Vm) {
  State.m_Seen.erase(Vm);
}

void observe(InForceState &State, const VmVersion &Seen, TimePoint Now) {
  if (!State.m_Live.contains(Seen.m_Vm))
    return;
  auto [Known, Added] =
      State.m_Seen.try_emplace(Seen.m_Vm, SeenVersion{Seen.m_Version, Now});
  if (!Added && Seen.m_Version > Known->second.m_Version)
    Known->second = {Seen.m_Version, Now};
}

std::vector<VmVersion> versionsToPass(InForceState &State,
                                      const std::string &Receiver, size_t Max,
                                      TimePoint Now) {
  std::vector<std::string> Recent;
  std::vector<std::string> Others;
  for (const auto &[Vm, Seen] : State.m_Seen)
    (Now - Seen.m_At < RecentFor ? Recent : Others).push_back(Vm);
  std::vector<VmVersion> Passed;
  passInTurn(State, Recent, State.m_RecentCursors[Receiver], Max, Passed);
  passInTurn(State, Others, State.m_Cursors[Receiver], Max, Passed);
  return Passed;
}

InForceStatus inForce(const InForceState &State, uint64_t Version) {
  InForceStatus Status;
  for (const std::string &Vm : State.m_Live) {
    auto Seen = State.m_Seen.find(Vm);
    uint64_t Known = Seen == State.m_Seen.end() ? 0 : Seen->second.m_Version;
    bool Has = Seen != State.m_Seen.end() && Known >= Version;
    (Has ? Status.m_Confirmed : Status.m_Missing).push_back({Vm, Known});
  }
  Status.m_InForce = !State.m_Live.empty() && Status.m_Missing.empty();
  return Status;
}

} // namespace hyssopcross::catalogue
