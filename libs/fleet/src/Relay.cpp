#include "hyssopcross/fleet/Relay.h"
#include <algorithm>
#include <map>

namespace hyssopcross::fleet {

namespace {

constexpr std::string_view RelayDuty = "relay";

/// Takes in one VM of another data centre.
void takeMember(Fleet &Of, const FleetPolicy &Policy, const Member &Told,
                TimePoint Now, DigestChanges &News) {
  const std::string &Host = Told.m_Info.m_Host;
  if (Told.m_Silence >= Policy.m_RemoteFailureTimeout)
    return;
  TimePoint HeardAt = Now - Told.m_Silence;
  auto Found = Of.m_Peers.find(Host);
  bool IsKnown = Found != Of.m_Peers.end() && Found->second.m_Heard;
  // Only a later start or a later sign of life is news.
  if (IsKnown &&
      Told.m_Info.m_Incarnation <= Found->second.m_Info.m_Incarnation &&
      HeardAt <= Found->second.m_HeardAt)
    return;
  PeerChange Change = updatePeer(Of, Told.m_Info, HeardAt);
  if (Change == PeerChange::Joined)
    News.m_Joined.push_back(Host);
  else if (Change == PeerChange::Restarted)
    News.m_Restarted.push_back(Host);
}

/// The hosts of other data centres: those alive and, for data centres without
/// any, all that were ever heard there.
std::map<std::string_view, std::vector<std::string>>
hostsElsewhere(const Fleet &Of) {
  std::map<std::string_view, std::vector<std::string>> Alive;
  std::map<std::string_view, std::vector<std::string>> Silent;
  for (const auto &[Host, Known] : Of.m_Peers)
    if (Known.m_Heard && Known.m_Info.m_DataCentre != Of.m_Self.m_DataCentre)
      (Known.m_Alive ? Alive : Silent)[Known.m_Info.m_DataCentre].push_back(
          Host);
  for (auto &[DataCentre, Hosts] : Silent)
    Alive.try_emplace(DataCentre, std::move(Hosts));
  return Alive;
}

} // namespace

Digest makeLocalDigest(const Fleet &Of, TimePoint Now) {
  Digest Made;
  Made.m_DataCentre = Of.m_Self.m_DataCentre;
  Made.m_Members.push_back({Of.m_Self, Duration(0)});
  for (const auto &[Host, Known] : Of.m_Peers)
    if (Known.m_Alive && Known.m_Info.m_DataCentre == Made.m_DataCentre)
      Made.m_Members.push_back({Known.m_Info, Now - Known.m_HeardAt});
  return Made;
}

std::vector<Digest> selectContacts(const Fleet &Of, const FleetPolicy &Policy,
                                   std::string_view DataCentre,
                                   std::mt19937 &Random, TimePoint Now) {
  std::vector<Digest> Made;
  for (auto &[Other, Hosts] : hostsElsewhere(Of)) {
    if (Other == DataCentre)
      continue;
    Digest Few;
    Few.m_DataCentre = std::string(Other);
    Few.m_IsWhole = false;
    std::shuffle(Hosts.begin(), Hosts.end(), Random);
    for (const std::string &Host : Hosts) {
      const Peer &Known = Of.m_Peers.find(Host)->second;
      if (Known.m_Alive && Few.m_Members.size() < Policy.m_Contacts)
        Few.m_Members.push_back({Known.m_Info, Now - Known.m_HeardAt});
    }
    Made.push_back(std::move(Few));
  }
  return Made;
}

bool needsContacts(const Fleet &Of, const FleetPolicy &Policy,
                   const VmInfo &From, bool HasDigests) {
  return isLarge(Of, Policy) && !HasDigests &&
         From.m_DataCentre != Of.m_Self.m_DataCentre;
}

DigestChanges applyDigest(Fleet &Of, const FleetPolicy &Policy,
                          const Digest &Told, TimePoint Now) {
  DigestChanges News;
  // Of its own data centre a VM believes only what it hears itself.
  if (Told.m_DataCentre == Of.m_Self.m_DataCentre)
    return News;
  if (Told.m_IsWhole) {
    auto [Heard, IsFirst] = Of.m_DigestHeardAt.try_emplace(Told.m_DataCentre);
    News.m_ShouldForward =
        IsFirst || Now - Heard->second >= Policy.m_DigestForwardInterval;
    Heard->second = Now;
  }
  for (const Member &Each : Told.m_Members)
    takeMember(Of, Policy, Each, Now, News);
  return News;
}

bool isRelay(const Fleet &Of, const FleetPolicy &Policy) {
  return dutyRank(Of, RelayDuty, Of.m_Self.m_DataCentre) < Policy.m_Relays;
}

HeartbeatRecipients selectHeartbeatRecipients(const Fleet &Of,
                                              const FleetPolicy &Policy,
                                              bool IsDigestDue,
                                              std::mt19937 &Random,
                                              TimePoint Now) {
  HeartbeatRecipients To;
  bool IsForAll = !isLarge(Of, Policy);
  for (const auto &[Host, Known] : Of.m_Peers)
    if (IsForAll || !Known.m_Heard ||
        Known.m_Info.m_DataCentre == Of.m_Self.m_DataCentre)
      To.m_Heartbeat.push_back(Host);
  if (IsForAll)
    return To;
  bool Tells = IsDigestDue && isRelay(Of, Policy);
  for (auto &[DataCentre, Hosts] : hostsElsewhere(Of)) {
    // Spread over the VMs there, so that a stale view of who relays there does
    // no harm: whoever hears a digest from outside passes it on.
    std::shuffle(Hosts.begin(), Hosts.end(), Random);
    if (Tells)
      To.m_Digest.insert(
          To.m_Digest.end(), Hosts.begin(),
          Hosts.begin() + static_cast<std::ptrdiff_t>(std::min(
                              Hosts.size(), size_t(Policy.m_DigestReceivers))));
    auto Heard = Of.m_DigestHeardAt.find(DataCentre);
    if (Heard == Of.m_DigestHeardAt.end() ||
        Now - Heard->second >= Policy.m_DigestTimeout)
      To.m_Greeting.push_back(Hosts.front());
  }
  return To;
}

std::vector<std::string> selectGossipHosts(const Fleet &Of,
                                           std::string_view DataCentre,
                                           size_t Limit, std::mt19937 &Random) {
  std::vector<std::string> Hosts;
  for (const auto &[Host, Known] : Of.m_Peers)
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
