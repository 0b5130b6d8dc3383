#include "hyssopcross/fleet/Membership.h"
#include <algorithm>
#include <iterator>

namespace hyssopcross::fleet {

namespace {

/// Mixes a 64-bit value well enough for rendezvous hashing (the finaliser of
/// SplitMix64).
uint64_t mix(uint64_t Value) {
  Value ^= Value >> 30;
  Value *= 0xbf58476d1ce4e5b9ULL;
  Value ^= Value >> 27;
  Value *= 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

/// Two keys as one well mixed value.
uint64_t mixed(uint32_t First, uint32_t Second) {
  return mix((static_cast<uint64_t>(First) << 32) | Second);
}

uint64_t dutyScore(uint32_t DutyKey, std::string_view Host) {
  return mixed(DutyKey, dispatch::serverKey(Host));
}

/// A server's place on its service's ring.
uint32_t ringPlace(const dispatch::Server &Of) {
  return static_cast<uint32_t>(mix(Of.m_Key) >> 32);
}

/// Whether Place is among the Wanted places of a ring that follow Start.
bool isWithin(const std::vector<uint32_t> &Ring, uint32_t Start, uint32_t Place,
              size_t Wanted) {
  size_t Count = Ring.size();
  if (Count <= Wanted)
    return true;
  auto IndexOf = [&Ring](uint32_t Value) {
    return static_cast<size_t>(
        std::lower_bound(Ring.begin(), Ring.end(), Value) - Ring.begin());
  };
  return (IndexOf(Place) + Count - IndexOf(Start)) % Count < Wanted;
}

/// Order in which VMs take on a duty; smaller goes first.
struct DutyOrder {
  bool m_Leaving = false;
  bool m_Elsewhere = false;
  /// Has under half of the processor time of the largest VM.
  bool m_Small = false;
  uint64_t m_Score = 0;

  bool operator<(const DutyOrder &Other) const {
    return std::tie(m_Leaving, m_Elsewhere, m_Small, m_Score) <
           std::tie(Other.m_Leaving, Other.m_Elsewhere, Other.m_Small,
                    Other.m_Score);
  }
};

uint32_t largestVm(const Fleet &Of) {
  uint32_t Largest = Of.m_Self.m_MilliCores;
  for (const auto &[Host, Known] : Of.m_Peers)
    if (Known.m_Alive)
      Largest = std::max(Largest, Known.m_Info.m_MilliCores);
  return Largest;
}

DutyOrder dutyOrder(const VmInfo &Vm, uint32_t DutyKey,
                    std::string_view DataCentre, uint32_t Largest) {
  return {Vm.m_Leaving, Vm.m_DataCentre != DataCentre,
          Vm.m_MilliCores * 2 < Largest, dutyScore(DutyKey, Vm.m_Host)};
}

bool isFreshFollower(const Peer &Of, const FleetPolicy &Policy, TimePoint Now) {
  return Of.m_Alive && Of.m_StoreAnswers &&
         Now - Of.m_StoreConfirmedAt < Policy.m_ConfirmationAge;
}

/// Silence after which a VM counts as gone.
Duration silenceLimit(const Fleet &Of, const FleetPolicy &Policy,
                      const VmInfo &Vm) {
  if (!isLarge(Of, Policy))
    return Policy.m_FailureTimeout;
  if (Vm.m_DataCentre != Of.m_Self.m_DataCentre)
    return Policy.m_RemoteFailureTimeout;
  return Policy.m_FailureTimeout * 3 / 2;
}

bool takesCallers(const VmInfo &Vm) { return Vm.m_Ready && !Vm.m_Leaving; }

} // namespace

VmKey vmKey(std::string_view Host) { return dispatch::serverKey(Host); }

bool addPeerAddress(Fleet &Of, std::string_view Host, TimePoint Now) {
  if (Host == Of.m_Self.m_Host || Of.m_Peers.count(Host))
    return false;
  Peer &Known = Of.m_Peers[std::string(Host)];
  Known.m_Info.m_Host = std::string(Host);
  Known.m_HeardAt = Now;
  return true;
}

PeerChange updatePeer(Fleet &Of, const VmInfo &Info, TimePoint Now) {
  if (Info.m_Host == Of.m_Self.m_Host)
    return PeerChange::Nothing;
  Peer &Known = Of.m_Peers[Info.m_Host];
  // An earlier start is a late datagram, unless the VM has been silent: its
  // clock may have been set back before it started again.
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
  if (Info.m_Incarnation != Known.m_Info.m_Incarnation)
    Known.m_Sequence = 0;
  // Leaving is final for an incarnation, whatever a late heartbeat says.
  bool Leaving =
      Info.m_Leaving || (Known.m_Info.m_Leaving &&
                         Known.m_Info.m_Incarnation == Info.m_Incarnation);
  Known.m_Info = Info;
  Known.m_Info.m_Leaving = Leaving;
  Known.m_HeardAt = Now;
  Known.m_Heard = true;
  Known.m_Alive = true;
  if (Change != PeerChange::Nothing)
    ++Of.m_Version;
  return Change;
}

bool acceptSequence(Fleet &Of, std::string_view Host, int64_t Incarnation,
                    int64_t Sequence, TimePoint Now) {
  auto Found = Of.m_Peers.find(Host);
  if (Found == Of.m_Peers.end() || !Found->second.m_Alive)
    return false;
  Peer &Known = Found->second;
  if (Known.m_Info.m_Incarnation != Incarnation || Sequence <= Known.m_Sequence)
    return false;
  Known.m_Sequence = Sequence;
  Known.m_HeardAt = Now;
  return true;
}

bool isLarge(const Fleet &Of, const FleetPolicy &Policy) {
  return Of.m_Peers.size() >= Policy.m_LargeFleetThreshold;
}

std::vector<std::string> expirePeers(Fleet &Of, const FleetPolicy &Policy,
                                     TimePoint Now) {
  std::vector<std::string> Silent;
  for (auto Each = Of.m_Peers.begin(); Each != Of.m_Peers.end();) {
    Duration Silence = Now - Each->second.m_HeardAt;
    if (Each->second.m_Alive &&
        Silence > silenceLimit(Of, Policy, Each->second.m_Info)) {
      Each->second.m_Alive = false;
      Silent.push_back(Each->first);
      ++Of.m_Version;
    }
    Each = Silence > Policy.m_ForgetAfter ? Of.m_Peers.erase(Each)
                                          : std::next(Each);
  }
  return Silent;
}

uint32_t quotaDivisor(const Fleet &Of) {
  uint32_t Count = 1;
  for (const auto &[Host, Known] : Of.m_Peers)
    Count += Known.m_Alive || !Known.m_Heard ? 1 : 0;
  return Count;
}

uint32_t dutyRank(const Fleet &Of, std::string_view Duty,
                  std::string_view DataCentre) {
  uint32_t Largest = largestVm(Of);
  uint32_t DutyKey = dispatch::serverKey(Duty);
  DutyOrder Own = dutyOrder(Of.m_Self, DutyKey, DataCentre, Largest);
  uint32_t Rank = 0;
  for (const auto &[Host, Known] : Of.m_Peers)
    if (Known.m_Alive &&
        dutyOrder(Known.m_Info, DutyKey, DataCentre, Largest) < Own)
      ++Rank;
  return Rank;
}

std::vector<std::string> dutyStandbys(const Fleet &Of, std::string_view Duty,
                                      std::string_view DataCentre,
                                      size_t Count) {
  uint32_t Largest = largestVm(Of);
  uint32_t DutyKey = dispatch::serverKey(Duty);
  std::vector<std::pair<DutyOrder, std::string_view>> Others;
  for (const auto &[Host, Known] : Of.m_Peers)
    if (Known.m_Alive)
      Others.emplace_back(dutyOrder(Known.m_Info, DutyKey, DataCentre, Largest),
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

bool isFollower(const Fleet &Of, const FleetPolicy &Policy) {
  if (Of.m_Self.m_Leaving)
    return false;
  const uint32_t FollowKey = dispatch::serverKey("follow");
  // The data centres with living VMs, in an order that all VMs share.
  std::vector<std::pair<uint64_t, std::string_view>> DataCentres;
  auto Note = [&](const VmInfo &Vm) {
    std::pair<uint64_t, std::string_view> Each(
        dutyScore(FollowKey, Vm.m_DataCentre), Vm.m_DataCentre);
    bool IsNew = std::find(DataCentres.begin(), DataCentres.end(), Each) ==
                 DataCentres.end();
    if (IsNew && !Vm.m_Leaving)
      DataCentres.push_back(Each);
  };
  Note(Of.m_Self);
  for (const auto &[Host, Known] : Of.m_Peers)
    if (Known.m_Alive)
      Note(Known.m_Info);
  std::sort(DataCentres.begin(), DataCentres.end());
  // Turns go around the data centres until all followers are placed.
  uint32_t Count = static_cast<uint32_t>(DataCentres.size());
  for (uint32_t I = 0; I < Count; ++I) {
    if (DataCentres[I].second != Of.m_Self.m_DataCentre)
      continue;
    uint32_t Turns = (Policy.m_Followers + Count - 1 - I) / Count;
    return dutyRank(Of, "follow", Of.m_Self.m_DataCentre) < Turns;
  }
  return false;
}

Duration followTakeoverDelay(const Fleet &Of, const FleetPolicy &Policy) {
  uint32_t Rank = dutyRank(Of, "follow", Of.m_Self.m_DataCentre);
  uint32_t Quick = std::min(Rank, Policy.m_FastTakeoverCount);
  return Policy.m_TakeoverStep * Quick +
         Policy.m_TakeoverSlowStep * (Rank - Quick);
}

bool hasFreshFollower(const Fleet &Of, const FleetPolicy &Policy,
                      TimePoint Now) {
  for (const auto &[Host, Known] : Of.m_Peers)
    if (isFreshFollower(Known, Policy, Now))
      return true;
  return false;
}

FollowerSlot followerSlot(const Fleet &Of, const FleetPolicy &Policy,
                          TimePoint Now) {
  FollowerSlot Turn;
  for (const auto &[Host, Known] : Of.m_Peers) {
    if (!isFreshFollower(Known, Policy, Now))
      continue;
    ++Turn.m_Count;
    Turn.m_Index += Host < Of.m_Self.m_Host ? 1 : 0;
  }
  return Turn;
}

const Peer *selectSyncSource(const Fleet &Of, SyncKind Need, double Draw) {
  std::vector<const Peer *> Best;
  int BestRank = 0;
  for (const auto &[Host, Known] : Of.m_Peers) {
    if (!Known.m_Alive || !Known.m_Info.m_Ready)
      continue;
    bool IsLocal = Known.m_Info.m_DataCentre == Of.m_Self.m_DataCentre;
    bool IsFirstHand = Need == SyncKind::Changes && Known.m_StoreAnswers;
    int Rank = 1 + (IsFirstHand ? 2 : 0) + (IsLocal ? 1 : 0);
    if (Rank > BestRank) {
      Best.clear();
      BestRank = Rank;
    }
    if (Rank == BestRank)
      Best.push_back(&Known);
  }
  if (Best.empty())
    return nullptr;
  auto Index = static_cast<size_t>(Draw * static_cast<double>(Best.size()));
  return Best[std::min(Index, Best.size() - 1)];
}

RingsByService buildRings(const dispatch::ServerView &View) {
  RingsByService Rings;
  for (const auto &[Id, Of] : View.m_Servers) {
    ServiceRing &Ring = Rings[Of.m_Record.m_Service];
    if (!dispatch::isInService(View, Of))
      continue;
    uint32_t Place = ringPlace(Of);
    Ring.m_All.push_back(Place);
    Ring.m_InDataCentre[Of.m_Record.m_DataCentre].push_back(Place);
  }
  for (auto &[Service, Ring] : Rings) {
    std::sort(Ring.m_All.begin(), Ring.m_All.end());
    for (auto &[DataCentre, Places] : Ring.m_InDataCentre) {
      std::sort(Places.begin(), Places.end());
      std::set_difference(Ring.m_All.begin(), Ring.m_All.end(), Places.begin(),
                          Places.end(),
                          std::back_inserter(Ring.m_Elsewhere[DataCentre]));
    }
  }
  return Rings;
}

bool usesServer(std::string_view VmHost, std::string_view VmDataCentre,
                const dispatch::Server &Of, const ServiceRing &Ring,
                const FleetPolicy &Policy) {
  static const std::vector<uint32_t> None;
  auto Found = Ring.m_InDataCentre.find(VmDataCentre);
  const auto &Local = Found == Ring.m_InDataCentre.end() ? None : Found->second;
  uint64_t Start = mixed(dispatch::serverKey(VmHost),
                         dispatch::serverKey(Of.m_Record.m_Service));
  if (Of.m_Record.m_DataCentre == VmDataCentre)
    return isWithin(Local, static_cast<uint32_t>(Start >> 32), ringPlace(Of),
                    Policy.m_LocalServers);
  auto Others = Ring.m_Elsewhere.find(VmDataCentre);
  const auto &Remote =
      Others == Ring.m_Elsewhere.end() ? Ring.m_All : Others->second;
  size_t Missing = Policy.m_LocalServers -
                   std::min<size_t>(Local.size(), Policy.m_LocalServers);
  return isWithin(Remote, static_cast<uint32_t>(Start), ringPlace(Of),
                  Policy.m_RemoteServers + Missing);
}

CheckGroups groupServers(const dispatch::ServerView &View,
                         const FleetPolicy &Policy) {
  CheckGroups Groups;
  for (const auto &[Id, Of] : View.m_Servers)
    ++Groups.m_Listed[{Of.m_Record.m_DataCentre, Of.m_Record.m_Service}];
  for (const auto &[Of, Count] : Groups.m_Listed)
    if (Count <= Policy.m_LocalServers)
      Groups.m_Common[Of.first] += Count;
  return Groups;
}

std::string checkDuty(const dispatch::Server &Of, const CheckGroups &Groups,
                      const FleetPolicy &Policy) {
  const dispatch::ServerRecord &Record = Of.m_Record;
  auto GroupsOf = [&Policy](uint32_t Servers) {
    return (Servers + Policy.m_ServersPerChecker - 1) /
           Policy.m_ServersPerChecker;
  };
  auto Known = Groups.m_Listed.find({Record.m_DataCentre, Record.m_Service});
  uint32_t Listed = Known == Groups.m_Listed.end() ? 0 : Known->second;
  if (Listed > Policy.m_LocalServers) {
    uint64_t Group =
        (static_cast<uint64_t>(ringPlace(Of)) * GroupsOf(Listed)) >> 32;
    return "check/" + Record.m_DataCentre + "/" + Record.m_Service + "/" +
           std::to_string(Group);
  }
  auto Common = Groups.m_Common.find(Record.m_DataCentre);
  uint32_t Count = Common == Groups.m_Common.end() ? 1 : Common->second;
  return "check/" + Record.m_DataCentre + "/" +
         std::to_string(Of.m_Key % GroupsOf(Count));
}

bool mayCheck(bool UsesServer, Duration SinceStart, const FleetPolicy &Policy) {
  return UsesServer || SinceStart >= Policy.m_StartupGracePeriod;
}

std::vector<std::string> hostsForCaller(const Fleet &Of,
                                        std::string_view DataCentre,
                                        size_t MinLocal, size_t Limit) {
  std::vector<std::string> Local;
  std::vector<std::string> Other;
  auto Sort = [&](const VmInfo &Vm) {
    if (!takesCallers(Vm))
      return;
    (Vm.m_DataCentre == DataCentre ? Local : Other).push_back(Vm.m_Host);
  };
  Sort(Of.m_Self);
  for (const auto &[Host, Known] : Of.m_Peers)
    if (Known.m_Alive)
      Sort(Known.m_Info);
  if (Local.size() < MinLocal)
    Local.insert(Local.end(), Other.begin(), Other.end());
  if (Local.size() > Limit)
    Local.resize(Limit);
  return Local;
}

} // namespace hyssopcross::fleet
