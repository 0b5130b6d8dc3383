#include "Context.h"
#include "hyssopcross/membership/Rendezvous.h"
#include <algorithm>
#include <xxhash.h>

namespace hyssopcross::membership {

namespace {

using Names = std::vector<std::string>;

/// The present VMs of a data centre, including this one if it belongs to it.
Names presentIn(const MembershipState &State, const std::string &DataCentre) {
  Names Present;
  for (const auto &[Name, Known] : State.m_Members)
    if (isPresent(Known) && Known.m_Info.m_DataCentre == DataCentre)
      Present.push_back(Name);
  if (State.m_Self.m_DataCentre == DataCentre)
    Present.push_back(State.m_Self.m_Name);
  return Present;
}

/// The receivers of each VM's heartbeats: on each ring, the next VM that an
/// earlier ring has not already selected.
std::map<std::string, Names> receiversOf(const Names &Present, uint32_t Rings) {
  std::map<std::string, Names> Receivers;
  for (uint32_t Ring = 0; Ring < Rings; ++Ring) {
    Names Order = rankByRendezvous("ring/" + std::to_string(Ring), Present,
                                   Present.size());
    for (size_t At = 0; At < Order.size(); ++At) {
      Names &Mine = Receivers[Order[At]];
      for (size_t Skip = 1; Skip < Order.size(); ++Skip) {
        const std::string &Next = Order[(At + Skip) % Order.size()];
        if (std::find(Mine.begin(), Mine.end(), Next) != Mine.end())
          continue;
        Mine.push_back(Next);
        break;
      }
    }
  }
  return Receivers;
}

void setWatched(Context &Step, std::set<std::string> Watched) {
  MembershipState &State = Step.m_State;
  Duration Grace = 2 * State.m_Policy.m_DetectionTime;
  for (const std::string &Name : Watched)
    if (!State.m_Watched.contains(Name))
      State.m_Members.at(Name).m_HeardAt = Step.m_Now + Grace;
  State.m_Watched = std::move(Watched);
}

void setNeighbours(Context &Step, Names Neighbours) {
  MembershipState &State = Step.m_State;
  TimePoint Until = Step.m_Now + 2 * State.m_Policy.m_DetectionTime;
  for (const std::string &Name : State.m_Neighbours)
    State.m_FormerNeighbours[Name] = Until;
  for (const std::string &Name : Neighbours)
    State.m_FormerNeighbours.erase(Name);
  State.m_Neighbours = std::move(Neighbours);
}

/// The key is the same for both directions between two data centres.
std::string relayKey(const std::string &One, const std::string &Other) {
  return "relay/" + std::min(One, Other) + "/" + std::max(One, Other);
}

void setRelayed(MembershipState &State, const Names &Present) {
  State.m_RelayedDataCentres.clear();
  const std::string &Own = State.m_Self.m_DataCentre;
  for (const auto &[Name, Known] : State.m_DataCentres) {
    if (Name == Own)
      continue;
    Names Relay = rankByRendezvous(relayKey(Own, Name), Present, 1);
    if (!Relay.empty() && Relay.front() == State.m_Self.m_Name)
      State.m_RelayedDataCentres.push_back(Name);
  }
}

uint64_t entryHash(const VmInfo &Info, VmStatus Status) {
  uint64_t Leaving = Status == VmStatus::Leaving ? 1 : 0;
  return XXH64(Info.m_Name.data(), Info.m_Name.size(),
               Info.m_Incarnation * 2 + Leaving);
}

/// The hash ignores suspicions, which are temporary, and dead members, which
/// VMs remove at different times, so that neither makes two views differ.
uint64_t viewHash(const MembershipState &State) {
  VmStatus Own = State.m_Leaving ? VmStatus::Leaving : VmStatus::Alive;
  uint64_t Hash = entryHash(State.m_Self, Own);
  for (const auto &[Name, Known] : State.m_Members)
    if (Known.m_Status != VmStatus::Dead)
      Hash ^= entryHash(Known.m_Info, Known.m_Status);
  return Hash;
}

} // namespace

void refreshTopology(Context &Step) {
  MembershipState &State = Step.m_State;
  if (!State.m_TopologyStale)
    return;
  State.m_TopologyStale = false;
  Names Present = presentIn(State, State.m_Self.m_DataCentre);
  auto Receivers = receiversOf(Present, State.m_Policy.m_Neighbours);
  std::set<std::string> Watched;
  for (const auto &[Name, Mine] : Receivers)
    if (std::find(Mine.begin(), Mine.end(), State.m_Self.m_Name) != Mine.end())
      Watched.insert(Name);
  setWatched(Step, std::move(Watched));
  setNeighbours(Step, std::move(Receivers[State.m_Self.m_Name]));
  setRelayed(State, Present);
  State.m_ViewHash = viewHash(State);
  Names Pollers = pollers(State);
  State.m_IsPoller = std::find(Pollers.begin(), Pollers.end(),
                               State.m_Self.m_Name) != Pollers.end();
}

const Member *relayTarget(const MembershipState &State,
                          const std::string &DataCentre) {
  Names Present = presentIn(State, DataCentre);
  if (Present.empty())
    return nullptr;
  std::string Key = relayKey(State.m_Self.m_DataCentre, DataCentre);
  Names Order = rankByRendezvous(Key, Present, Present.size());
  // The usual relay of an unreachable data centre may have been replaced, so
  // try its members in turn.
  size_t Turn = State.m_UnreachableDataCentres.contains(DataCentre)
                    ? State.m_RelayTurn
                    : 0;
  for (size_t Skip = 0; Skip < Order.size(); ++Skip) {
    const Member &Known =
        State.m_Members.at(Order[(Turn + Skip) % Order.size()]);
    if (Known.m_Status == VmStatus::Alive)
      return &Known;
  }
  return &State.m_Members.at(Order.front());
}

std::vector<std::string> pollers(const MembershipState &State) {
  Names Alive;
  for (const std::string &Name : presentIn(State, State.m_Self.m_DataCentre)) {
    auto Known = State.m_Members.find(Name);
    if (Known == State.m_Members.end() ||
        Known->second.m_Status == VmStatus::Alive)
      Alive.push_back(Name);
  }
  return rankByRendezvous("poller/" + State.m_Self.m_DataCentre, Alive,
                          State.m_Policy.m_PollersPerDataCentre);
}

} // namespace hyssopcross::membership
