#include "hyssopcross/fleet/Membership.h"
#include <algorithm>
#include <iterator>

namespace hyssopcross::fleet {

namespace {

/// Mixes a 64-bit value for rendezvous hashing (the finalizer of SplitMix64).
uint64_t mix(uint64_t Value) {
  Value ^= Value >> 30;
  Value *= 0xbf58476d1ce4e5b9ULL;
  Value ^= Value >> 27;
  Value *= 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

/// Combines two keys into one hash value.
uint64_t mixKeys(uint32_t First, uint32_t Second) {
  return mix((static_cast<uint64_t>(First) << 32) | Second);
}

uint64_t dutyScore(uint32_t DutyKey, std::string_view Host) {
  return mixKeys(DutyKey, dispatch::serverKey(Host));
}

/// Position of a server on the ring of its service.
uint32_t ringPosition(const dispatch::Server &Target) {
  return static_cast<uint32_t>(mix(Target.m_Key) >> 32);
}

/// Whether Position is among the Wanted positions of a ring that follow Start.
bool isWithin(const std::vector<uint32_t> &Ring, uint32_t Start,
              uint32_t Position, size_t Wanted) {
  size_t Count = Ring.size();
  if (Count <= Wanted)
    return true;
  auto IndexOf = [&Ring](uint32_t Value) {
    return static_cast<size_t>(
        std::lower_bound(Ring.begin(), Ring.end(), Value) - Ring.begin());
  };
  return (IndexOf(Position) + Count - IndexOf(Start)) % Count < Wanted;
}

/// Order in which VMs are selected for a duty; the smallest is selected first.
struct DutyOrder {
  bool m_Leaving = false;
  bool m_Remote = false;
  /// Has less than half of the CPU allowance of the largest VM.
  bool m_Small = false;
  uint64_t m_Score = 0;

  bool operator<(const DutyOrder &Other) const {
    return std::tie(m_Leaving, m_Remote, m_Small, m_Score) <
           std::tie(Other.m_Leaving, Other.m_Remote, Other.m_Small,
                    Other.m_Score);
  }
};

uint32_t largestMilliCores(const Fleet &State) {
  uint32_t LargestMilliCores = State.m_Self.m_MilliCores;
  for (const auto &[Host, Known] : State.m_Peers)
    if (Known.m_Alive)
      LargestMilliCores =
          std::max(LargestMilliCores, Known.m_Info.m_MilliCores);
  return LargestMilliCores;
}

DutyOrder dutyOrder(const VmInfo &Vm, uint32_t DutyKey,
                    std::string_view DataCentre, uint32_t LargestMilliCores) {
  return {Vm.m_Leaving, Vm.m_DataCentre != DataCentre,
          Vm.m_MilliCores * 2 < LargestMilliCores,
          dutyScore(DutyKey, Vm.m_Host)};
}

bool isFreshFollower(const Peer &Candidate, const FleetPolicy &Policy,
                     TimePoint Now) {
  return Candidate.m_Alive && Candidate.m_StoreAnswers &&
         Now - Candidate.m_StoreConfirmedAt < Policy.m_ConfirmationAge;
}

/// Time without a message after which a VM counts as failed.
Duration failureTimeout(const Fleet &State, const FleetPolicy &Policy,
                        const VmInfo &Vm) {
  if (!isLarge(State, Policy))
    return Policy.m_FailureTimeout;
  if (Vm.m_DataCentre != State.m_Self.m_DataCentre)
    return Policy.m_RemoteFailureTimeout;
  return Policy.m_FailureTimeout * 3 / 2;
}

bool acceptsCallers(const VmInfo &Vm) { return Vm.m_Ready && !Vm.m_Leaving; }

} // namespace

VmKey vmKey(std::string_view Host) { return dispatch::serverKey(Host); }

bool addPeerAddress(Fleet &State, std::string_view Host, TimePoint Now) {
  if (Host == State.m_Self.m_Host || State.m_Peers.count(Host))
    return false;
  Peer &Known = State.m_Peers[std::string(Host)];
  Known.m_Info.m_Host = std::string(Host);
  Known.m_HeardAt = Now;
  return true;
}

PeerChange updatePeer(Fleet &State, const VmInfo &Info, TimePoint Now) {
  if (Info.m_Host == State.m_Self.m_Host)
    return PeerChange::Nothing;
  Peer &Known = State.m_Peers[Info.m_Host];
  // A lower incarnation means a late datagram, unless the VM has timed out: its
  // clock may have been set back before it restarted.
  if (Known.m_Alive && Info.m_Incarnation < Known.m_Info.m_Incarnation)
    return PeerChange::Nothing;
  PeerChange Change = PeerChange::Nothing;
  if (!Known.m_Heard || !Known.m_Alive)
    Change = PeerChange::Joined;
  else if (Info.m_Incarnation > Known.m_Info.m_Incarnation)
    Change = PeerChange::Restarted;
  else if (Info.m_Ready != Known.m_Info.m_Ready ||
           Info.m_Leaving != Known.m_Info.m_Leaving)
    Change = PeerChange::Changed;
  if (Info.m_Incarnation != Known.m_Info.m_Incarnation) {
    Known.m_Sequence = 0;
    Known.m_PassedOnSequence = 0;
    Known.m_PassedOnSeen = 0;
  }
  // Leaving is final for an incarnation, even if a late heartbeat reports
  // otherwise.
  bool Leaving =
      Info.m_Leaving || (Known.m_Info.m_Leaving &&
                         Known.m_Info.m_Incarnation == Info.m_Incarnation);
  Known.m_Info = Info;
  Known.m_Info.m_Leaving = Leaving;
  Known.m_HeardAt = Now;
  Known.m_Heard = true;
  Known.m_Alive = true;
  if (Change != PeerChange::Nothing)
    ++State.m_Version;
  return Change;
}

bool acceptSequence(Fleet &State, std::string_view Host, int64_t Incarnation,
                    int64_t Sequence, TimePoint Now) {
  auto Found = State.m_Peers.find(Host);
  if (Found == State.m_Peers.end() || !Found->second.m_Alive)
    return false;
  Peer &Known = Found->second;
  if (Known.m_Info.m_Incarnation != Incarnation || Sequence <= Known.m_Sequence)
    return false;
  Known.m_Sequence = Sequence;
  Known.m_HeardAt = Now;
  return true;
}

void noteRunning(RunTimes &State, const FleetPolicy &Policy, TimePoint Now) {
  if (Now - State.m_RanAt >= Policy.m_FreezeGap)
    State.m_ThawedAt = Now;
  State.m_RanAt = Now;
}

BroadcastAge acceptBroadcast(Fleet &State, std::string_view Origin,
                             int64_t Incarnation, int64_t Sequence) {
  auto Found = State.m_Peers.find(Origin);
  if (Found == State.m_Peers.end() || !Found->second.m_Alive ||
      Found->second.m_Info.m_Incarnation != Incarnation || Sequence <= 0)
    return BroadcastAge::Rejected;
  constexpr int64_t Window = 64;
  Peer &Known = Found->second;
  int64_t Newest = Known.m_PassedOnSequence;
  if (Sequence > Newest) {
    uint64_t Earlier = Sequence - Newest < Window
                           ? Known.m_PassedOnSeen << (Sequence - Newest)
                           : 0;
    Known.m_PassedOnSeen = Earlier | 1;
    Known.m_PassedOnSequence = Sequence;
    return BroadcastAge::Newest;
  }
  if (Newest - Sequence >= Window)
    return BroadcastAge::Rejected;
  uint64_t Bit = uint64_t(1) << (Newest - Sequence);
  if (Known.m_PassedOnSeen & Bit)
    return BroadcastAge::Rejected;
  Known.m_PassedOnSeen |= Bit;
  return BroadcastAge::Overtaken;
}

bool isLarge(const Fleet &State, const FleetPolicy &Policy) {
  return State.m_Peers.size() >= Policy.m_LargeFleetThreshold;
}

std::vector<std::string> expirePeers(Fleet &State, const FleetPolicy &Policy,
                                     TimePoint Now) {
  std::vector<std::string> Expired;
  for (auto Each = State.m_Peers.begin(); Each != State.m_Peers.end();) {
    Duration Silence = Now - Each->second.m_HeardAt;
    if (Each->second.m_Alive &&
        Silence > failureTimeout(State, Policy, Each->second.m_Info)) {
      Each->second.m_Alive = false;
      Expired.push_back(Each->first);
      ++State.m_Version;
    }
    Each = Silence > Policy.m_ForgetAfter ? State.m_Peers.erase(Each)
                                          : std::next(Each);
  }
  return Expired;
}

uint32_t quotaDivisor(const Fleet &State) {
  uint32_t Count = 1;
  for (const auto &[Host, Known] : State.m_Peers)
    Count += Known.m_Alive || !Known.m_Heard ? 1 : 0;
  return Count;
}

uint32_t dutyRank(const Fleet &State, std::string_view Duty,
                  std::string_view DataCentre) {
  uint32_t LargestMilliCores = largestMilliCores(State);
  uint32_t DutyKey = dispatch::serverKey(Duty);
  DutyOrder Own =
      dutyOrder(State.m_Self, DutyKey, DataCentre, LargestMilliCores);
  uint32_t Rank = 0;
  for (const auto &[Host, Known] : State.m_Peers)
    if (Known.m_Alive &&
        dutyOrder(Known.m_Info, DutyKey, DataCentre, LargestMilliCores) < Own)
      ++Rank;
  return Rank;
}

std::vector<std::string> dutyStandbys(const Fleet &State, std::string_view Duty,
                                      std::string_view DataCentre,
                                      size_t Count) {
  uint32_t LargestMilliCores = largestMilliCores(State);
  uint32_t DutyKey = dispatch::serverKey(Duty);
  std::vector<std::pair<DutyOrder, std::string_view>> Others;
  for (const auto &[Host, Known] : State.m_Peers)
    if (Known.m_Alive)
      Others.emplace_back(
          dutyOrder(Known.m_Info, DutyKey, DataCentre, LargestMilliCores),
          Host);
  size_t Kept = std::min(Count, Others.size());
  std::partial_sort(
      Others.begin(), Others.begin() + static_cast<std::ptrdiff_t>(Kept),
      Others.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<std::string> Hosts;
  for (size_t I = 0; I < Kept; ++I)
    Hosts.emplace_back(Others[I].second);
  return Hosts;
}

bool isFollower(const Fleet &State, const FleetPolicy &Policy) {
  if (State.m_Self.m_Leaving)
    return false;
  const uint32_t FollowKey = dispatch::serverKey("follow");
  // Data centres with live VMs, in an order common to all VMs.
  std::vector<std::pair<uint64_t, std::string_view>> DataCentres;
  auto AddDataCentre = [&](const VmInfo &Vm) {
    std::pair<uint64_t, std::string_view> Each(
        dutyScore(FollowKey, Vm.m_DataCentre), Vm.m_DataCentre);
    bool IsNew = std::find(DataCentres.begin(), DataCentres.end(), Each) ==
                 DataCentres.end();
    if (IsNew && !Vm.m_Leaving)
      DataCentres.push_back(Each);
  };
  AddDataCentre(State.m_Self);
  for (const auto &[Host, Known] : State.m_Peers)
    if (Known.m_Alive)
      AddDataCentre(Known.m_Info);
  std::sort(DataCentres.begin(), DataCentres.end());
  // Followers are assigned to the data centres round-robin.
  uint32_t Count = static_cast<uint32_t>(DataCentres.size());
  for (uint32_t I = 0; I < Count; ++I) {
    if (DataCentres[I].second != State.m_Self.m_DataCentre)
      continue;
    uint32_t Slots = (Policy.m_Followers + Count - 1 - I) / Count;
    return dutyRank(State, "follow", State.m_Self.m_DataCentre) < Slots;
  }
  return false;
}

Duration followTakeoverDelay(const Fleet &State, const FleetPolicy &Policy) {
  uint32_t Rank = dutyRank(State, "follow", State.m_Self.m_DataCentre);
  uint32_t FastSteps = std::min(Rank, Policy.m_FastTakeoverCount);
  return Policy.m_TakeoverStep * FastSteps +
         Policy.m_TakeoverSlowStep * (Rank - FastSteps);
}

bool hasFreshFollower(const Fleet &State, const FleetPolicy &Policy,
                      TimePoint Now) {
  for (const auto &[Host, Known] : State.m_Peers)
    if (isFreshFollower(Known, Policy, Now))
      return true;
  return false;
}

FollowerSlot followerSlot(const Fleet &State, const FleetPolicy &Policy,
                          TimePoint Now) {
  FollowerSlot Slot;
  for (const auto &[Host, Known] : State.m_Peers) {
    if (!isFreshFollower(Known, Policy, Now))
      continue;
    ++Slot.m_Count;
    Slot.m_Index += Host < State.m_Self.m_Host ? 1 : 0;
  }
  return Slot;
}

const Peer *selectSyncSource(const Fleet &State, SyncKind Kind,
                             double RandomFraction) {
  std::vector<const Peer *> Candidates;
  int HighestRank = 0;
  for (const auto &[Host, Known] : State.m_Peers) {
    if (!Known.m_Alive || !Known.m_Info.m_Ready)
      continue;
    bool IsLocal = Known.m_Info.m_DataCentre == State.m_Self.m_DataCentre;
    bool IsFirstHand = Kind == SyncKind::Changes && Known.m_StoreAnswers;
    int Rank = 1 + (IsFirstHand ? 2 : 0) + (IsLocal ? 1 : 0);
    if (Rank > HighestRank) {
      Candidates.clear();
      HighestRank = Rank;
    }
    if (Rank == HighestRank)
      Candidates.push_back(&Known);
  }
  if (Candidates.empty())
    return nullptr;
  auto Index = static_cast<size_t>(RandomFraction *
                                   static_cast<double>(Candidates.size()));
  return Candidates[std::min(Index, Candidates.size() - 1)];
}

RingsByService buildRings(const dispatch::ServerView &View) {
  RingsByService Rings;
  for (const auto &[Id, Target] : View.m_Servers) {
    ServiceRing &Ring = Rings[Target.m_Record.m_Service];
    if (!dispatch::isInService(View, Target))
      continue;
    uint32_t Position = ringPosition(Target);
    Ring.m_All.push_back(Position);
    Ring.m_InDataCentre[Target.m_Record.m_DataCentre].push_back(Position);
  }
  for (auto &[Service, Ring] : Rings) {
    std::sort(Ring.m_All.begin(), Ring.m_All.end());
    for (auto &[DataCentre, Positions] : Ring.m_InDataCentre) {
      std::sort(Positions.begin(), Positions.end());
      std::set_difference(Ring.m_All.begin(), Ring.m_All.end(),
                          Positions.begin(), Positions.end(),
                          std::back_inserter(Ring.m_Remote[DataCentre]));
    }
  }
  return Rings;
}

bool usesServer(std::string_view VmHost, std::string_view VmDataCentre,
                const dispatch::Server &Target, const ServiceRing &Ring,
                const FleetPolicy &Policy) {
  static const std::vector<uint32_t> NoPositions;
  auto Found = Ring.m_InDataCentre.find(VmDataCentre);
  const auto &Local =
      Found == Ring.m_InDataCentre.end() ? NoPositions : Found->second;
  uint64_t Start = mixKeys(dispatch::serverKey(VmHost),
                           dispatch::serverKey(Target.m_Record.m_Service));
  if (Target.m_Record.m_DataCentre == VmDataCentre)
    return isWithin(Local, static_cast<uint32_t>(Start >> 32),
                    ringPosition(Target), Policy.m_LocalServers);
  auto Others = Ring.m_Remote.find(VmDataCentre);
  const auto &Remote =
      Others == Ring.m_Remote.end() ? Ring.m_All : Others->second;
  size_t Missing = Policy.m_LocalServers -
                   std::min<size_t>(Local.size(), Policy.m_LocalServers);
  return isWithin(Remote, static_cast<uint32_t>(Start), ringPosition(Target),
                  Policy.m_RemoteServers + Missing);
}

CheckGroups groupServers(const dispatch::ServerView &View,
                         const FleetPolicy &Policy) {
  CheckGroups Groups;
  for (const auto &[Id, Target] : View.m_Servers)
    ++Groups
          .m_Listed[{Target.m_Record.m_DataCentre, Target.m_Record.m_Service}];
  for (const auto &[Group, Count] : Groups.m_Listed)
    if (Count <= Policy.m_LocalServers)
      Groups.m_FullyUsed[Group.first] += Count;
  return Groups;
}

std::string checkDuty(const dispatch::Server &Target, const CheckGroups &Groups,
                      const FleetPolicy &Policy) {
  const dispatch::ServerRecord &Record = Target.m_Record;
  auto GroupCountFor = [&Policy](uint32_t Servers) {
    return (Servers + Policy.m_ServersPerChecker - 1) /
           Policy.m_ServersPerChecker;
  };
  auto Known = Groups.m_Listed.find({Record.m_DataCentre, Record.m_Service});
  uint32_t Listed = Known == Groups.m_Listed.end() ? 0 : Known->second;
  if (Listed > Policy.m_LocalServers) {
    uint64_t Group =
        (static_cast<uint64_t>(ringPosition(Target)) * GroupCountFor(Listed)) >>
        32;
    return "check/" + Record.m_DataCentre + "/" + Record.m_Service + "/" +
           std::to_string(Group);
  }
  auto Common = Groups.m_FullyUsed.find(Record.m_DataCentre);
  uint32_t Count = Common == Groups.m_FullyUsed.end() ? 1 : Common->second;
  return "check/" + Record.m_DataCentre + "/" +
         std::to_string(Target.m_Key % GroupCountFor(Count));
}

bool mayCheck(bool UsesServer, Duration SinceStart, const FleetPolicy &Policy) {
  return UsesServer || SinceStart >= Policy.m_StartupGracePeriod;
}

std::vector<std::string> hostsForCaller(const Fleet &State,
                                        std::string_view DataCentre,
                                        size_t MinLocal, size_t Limit) {
  std::vector<std::string> Local;
  std::vector<std::string> Other;
  auto Classify = [&](const VmInfo &Vm) {
    if (!acceptsCallers(Vm))
      return;
    (Vm.m_DataCentre == DataCentre ? Local : Other).push_back(Vm.m_Host);
  };
  Classify(State.m_Self);
  for (const auto &[Host, Known] : State.m_Peers)
    if (Known.m_Alive)
      Classify(Known.m_Info);
  if (Local.size() < MinLocal)
    Local.insert(Local.end(), Other.begin(), Other.end());
  if (Local.size() > Limit)
    Local.resize(Limit);
  return Local;
}

} // namespace hyssopcross::fleet
