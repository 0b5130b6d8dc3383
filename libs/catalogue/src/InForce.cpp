#include "hyssopcross/catalogue/InForce.h"

namespace hyssopcross::catalogue {

void setLive(InForceState &State, std::set<std::string> Live) {
  State.m_Live = std::move(Live);
  std::erase_if(State.m_Seen, [&](const auto &Entry) {
    return !State.m_Live.contains(Entry.first);
  });
}

void forgetVm(InForceState &State, const std::string &Vm) {
  State.m_Seen.erase(Vm);
}

void observe(InForceState &State, const VmVersion &Seen, TimePoint Now) {
  if (!State.m_Live.contains(Seen.m_Vm))
    return;
  SeenVersion &Known = State.m_Seen[Seen.m_Vm];
  if (Seen.m_Version >= Known.m_Version)
    Known = {Seen.m_Version, Now};
}

std::vector<VmVersion> versionsToPass(InForceState &State, size_t Max) {
  std::vector<VmVersion> Passed;
  if (State.m_Seen.empty())
    return Passed;
  size_t Count = std::min(Max, State.m_Seen.size());
  auto Next = State.m_Seen.upper_bound(State.m_Cursor);
  while (Passed.size() < Count) {
    if (Next == State.m_Seen.end())
      Next = State.m_Seen.begin();
    Passed.push_back({Next->first, Next->second.m_Version});
    ++Next;
  }
  State.m_Cursor = Passed.back().m_Vm;
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
