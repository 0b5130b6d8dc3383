#include "hyssopcross/fleet/Relay.h"
#include <algorithm>
#include <map>

namespace hyssopcross::fleet {

namespace {

constexpr std::string_view RelayDuty = "relay";

/// Applies the entry of one VM of another data centre.
void applyMember(Fleet &State, const FleetPolicy &Policy,
                 const Member &Received, TimePoint Now,
                 DigestChanges &Changes) {
  const std::string &Host = Received.m_Info.m_Host;
  if (Received.m_Silence >= Policy.m_RemoteFailureTimeout)
    return;
  TimePoint HeardAt = Now - Received.m_Silence;
  auto Found = State.m_Peers.find(Host);
  bool IsKnown = Found != State.m_Peers.end() && Found->second.m_Heard;
  // Only a newer incarnation or a more recent message is a change.
  if (IsKnown &&
      Received.m_Info.m_Incarnation <= Found->second.m_Info.m_Incarnation &&
      HeardAt <= Found->second.m_HeardAt)
    return;
  PeerChange Change = updatePeer(State, Received.m_Info, HeardAt);
  if (Change == PeerChange::Joined)
    Changes.m_Joined.push_back(Host);
  else if (Change == PeerChange::Restarted)
    Changes.m_Restarted.push_back(Host);
}

/// Hosts of other data centres: those alive or, for data centres without any,
/// all that were ever heard there.
std::map<std::string_view, std::vector<std::string>>
remoteHosts(const Fleet &State) {
  std::map<std::string_view, std::vector<std::string>> Alive;
  std::map<std::string_view, std::vector<std::string>> Silent;
  for (const auto &[Host, Known] : State.m_Peers)
    if (Known.m_Heard && Known.m_Info.m_DataCentre != State.m_Self.m_DataCentre)
      (Known.m_Alive ? Alive : Silent)[Known.m_Info.m_DataCentre].push_back(
          Host);
  for (auto &[DataCentre, Hosts] : Silent)
    Alive.try_emplace(DataCentre, std::move(Hosts));
  return Alive;
}

} // namespace

Digest makeLocalDigest(const Fleet &State, TimePoint Now) {
  Digest Output;
  Output.m_DataCentre = State.m_Self.m_DataCentre;
  Output.m_Members.push_back({State.m_Self, Duration(0)});
  for (const auto &[Host, Known] : State.m_Peers)
    if (Known.m_Alive && Known.m_Info.m_DataCentre == Output.m_DataCentre)
      Output.m_Members.push_back({Known.m_Info, Now - Known.m_HeardAt});
  return Output;
}

std::vector<Digest> selectContacts(const Fleet &State,
                                   const FleetPolicy &Policy,
                                   std::string_view DataCentre,
                                   std::mt19937 &Random, TimePoint Now) {
  std::vector<Digest> Output;
  for (auto &[Other, Hosts] : remoteHosts(State)) {
    if (Other == DataCentre)
      continue;
    Digest Contacts;
    Contacts.m_DataCentre = std::string(Other);
    Contacts.m_IsWhole = false;
    std::shuffle(Hosts.begin(), Hosts.end(), Random);
    for (const std::string &Host : Hosts) {
      const Peer &Known = State.m_Peers.find(Host)->second;
      if (Known.m_Alive && Contacts.m_Members.size() < Policy.m_Contacts)
        Contacts.m_Members.push_back({Known.m_Info, Now - Known.m_HeardAt});
    }
    Output.push_back(std::move(Contacts));
  }
  return Output;
}

bool needsContacts(const Fleet &State, const FleetPolicy &Policy,
                   const VmInfo &From, bool HasDigests) {
  return isLarge(State, Policy) && !HasDigests &&
         From.m_DataCentre != State.m_Self.m_DataCentre;
}

DigestChanges applyDigest(Fleet &State, const FleetPolicy &Policy,
                          const Digest &Received, TimePoint Now) {
  DigestChanges Changes;
  // A VM relies on direct heartbeats for its own data centre.
  if (Received.m_DataCentre == State.m_Self.m_DataCentre)
    return Changes;
  if (Received.m_IsWhole) {
    auto [Heard, IsFirst] =
        State.m_DigestHeardAt.try_emplace(Received.m_DataCentre);
    Changes.m_ShouldForward =
        IsFirst || Now - Heard->second >= Policy.m_DigestForwardInterval;
    Heard->second = Now;
  }
  for (const Member &Each : Received.m_Members)
    applyMember(State, Policy, Each, Now, Changes);
  return Changes;
}

bool isRelay(const Fleet &State, const FleetPolicy &Policy) {
  return dutyRank(State, RelayDuty, State.m_Self.m_DataCentre) <
         Policy.m_Relays;
}

HeartbeatRecipients selectHeartbeatRecipients(const Fleet &State,
                                              const FleetPolicy &Policy,
                                              bool IsDigestDue,
                                              std::mt19937 &Random,
                                              TimePoint Now) {
  HeartbeatRecipients Recipients;
  bool SendsToAll = !isLarge(State, Policy);
  for (const auto &[Host, Known] : State.m_Peers)
    if (SendsToAll || !Known.m_Heard ||
        Known.m_Info.m_DataCentre == State.m_Self.m_DataCentre)
      Recipients.m_Heartbeat.push_back(Host);
  if (SendsToAll)
    return Recipients;
  bool SendsDigest = IsDigestDue && isRelay(State, Policy);
  for (auto &[DataCentre, Hosts] : remoteHosts(State)) {
    // Digests go to random VMs of the data centre, so an outdated view of its
    // relays does no harm: any VM that receives a digest from another data
    // centre forwards it.
    std::shuffle(Hosts.begin(), Hosts.end(), Random);
    if (SendsDigest)
      Recipients.m_Digest.insert(
          Recipients.m_Digest.end(), Hosts.begin(),
          Hosts.begin() + static_cast<std::ptrdiff_t>(std::min(
                              Hosts.size(), size_t(Policy.m_DigestReceivers))));
    auto Heard = State.m_DigestHeardAt.find(DataCentre);
    if (Heard == State.m_DigestHeardAt.end() ||
        Now - Heard->second >= Policy.m_DigestTimeout)
      Recipients.m_Greeting.push_back(Hosts.front());
  }
  return Recipients;
}

BroadcastRecipients selectBroadcastRecipients(const Fleet &State,
                                              const FleetPolicy &Policy,
                                              std::mt19937 &Random) {
  BroadcastRecipients Recipients;
  bool SendsToAll = !isLarge(State, Policy);
  std::map<std::string_view, std::vector<const Peer *>> Remote;
  for (const auto &[Host, Known] : State.m_Peers) {
    if (!Known.m_Alive)
      continue;
    if (SendsToAll || Known.m_Info.m_DataCentre == State.m_Self.m_DataCentre)
      Recipients.m_Direct.push_back(Host);
    else
      Remote[Known.m_Info.m_DataCentre].push_back(&Known);
  }
  for (auto &[DataCentre, Peers] : Remote) {
    std::shuffle(Peers.begin(), Peers.end(), Random);
    std::stable_partition(Peers.begin(), Peers.end(), [](const Peer *Each) {
      return !Each->m_Info.m_Leaving;
    });
    size_t Count = std::min<size_t>(Peers.size(), Policy.m_PassOnReceivers);
    for (size_t I = 0; I < Count; ++I)
      Recipients.m_PassOn.push_back(Peers[I]->m_Info.m_Host);
  }
  return Recipients;
}

bool mustPassOn(const Fleet &State, const FleetPolicy &Policy,
                const ReceivedBroadcast &Received) {
  return Received.m_ShouldPassOn && Received.m_Age != BroadcastAge::Rejected &&
         Received.m_SenderDataCentre != State.m_Self.m_DataCentre &&
         Received.m_SinceFreeze >= Policy.m_FreezePause;
}

std::vector<std::string> localHosts(const Fleet &State) {
  std::vector<std::string> Hosts;
  for (const auto &[Host, Known] : State.m_Peers)
    if (Known.m_Alive && Known.m_Info.m_DataCentre == State.m_Self.m_DataCentre)
      Hosts.push_back(Host);
  return Hosts;
}

std::vector<std::string> selectGossipHosts(const Fleet &State,
                                           std::string_view DataCentre,
                                           size_t Limit, std::mt19937 &Random) {
  std::vector<std::string> Hosts;
  for (const auto &[Host, Known] : State.m_Peers)
    if (Known.m_Alive &&
        (DataCentre.empty() || Known.m_Info.m_DataCentre == DataCentre))
      Hosts.push_back(Host);
  if (Hosts.size() <= Limit)
    return Hosts;
  auto Start = static_cast<std::ptrdiff_t>(Random() % Hosts.size());
  std::rotate(Hosts.begin(), Hosts.begin() + Start, Hosts.end());
  Hosts.resize(Limit);
  return Hosts;
}

} // namespace hyssopcross::fleet
