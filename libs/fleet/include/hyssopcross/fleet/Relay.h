#ifndef HYSSOPCROSS_FLEET_RELAY_H
#define HYSSOPCROSS_FLEET_RELAY_H

#include "hyssopcross/fleet/Membership.h"
#include <random>
#include <string>
#include <vector>

namespace hyssopcross::fleet {

/// A VM as another one describes it.
struct Member {
  VmInfo m_Info;
  /// Since the describing VM last heard it.
  Duration m_Silence{};
};

/// The living VMs of a data centre, as one of them sees it. In a large fleet
/// these travel between data centres in place of everyone's heartbeats.
struct Digest {
  std::string m_DataCentre;
  std::vector<Member> m_Members;
  /// All living VMs are named; otherwise a few, to make the first contact.
  bool m_IsWhole = true;
};

/// The living VMs of this VM's data centre, itself included.
Digest makeLocalDigest(const Fleet &State, TimePoint Now);

/// A few living VMs of each data centre but the own one and that of the VM
/// which is told: data centres without a seed find each other through these.
std::vector<Digest> selectContacts(const Fleet &State,
                                   const FleetPolicy &Policy,
                                   std::string_view DataCentre,
                                   std::mt19937 &Random, TimePoint Now);

/// What a digest changed.
struct DigestChanges {
  /// Hosts that were not known to be alive.
  std::vector<std::string> m_Joined;
  /// Hosts that have started again.
  std::vector<std::string> m_Restarted;
  /// Nothing was heard of the data centre for a while: if the digest came from
  /// outside, the VMs of this data centre are to get it too.
  bool m_ShouldForward = false;
};

/// Whether a datagram with a VM's description of itself shows that the VM does
/// not know how large the fleet is: a heartbeat that crosses data centres.
bool needsContacts(const Fleet &State, const FleetPolicy &Policy,
                   const VmInfo &From, bool HasDigests);

/// Takes in a digest of another data centre. What is known first-hand, and is
/// newer, stays.
DigestChanges applyDigest(Fleet &State, const FleetPolicy &Policy,
                          const Digest &Received, TimePoint Now);

/// Whether this VM is one of those that tell other data centres of its own.
bool isRelay(const Fleet &State, const FleetPolicy &Policy);

/// Whom a VM sends what to at one heartbeat.
struct HeartbeatRecipients {
  /// A heartbeat: in a large fleet, VMs of its own data centre and those not
  /// heard yet; else all.
  std::vector<std::string> m_Heartbeat;
  /// A digest of its own data centre: a few VMs of each other one.
  std::vector<std::string> m_Digest;
  /// A greeting, which is answered with a digest: one VM of each data centre
  /// of which no digest has arrived for too long.
  std::vector<std::string> m_Greeting;
};

/// Whom to send to now; digests and greetings only in a large fleet.
/// IsDigestDue says whether relays send their digest with this heartbeat.
HeartbeatRecipients selectHeartbeatRecipients(const Fleet &State,
                                              const FleetPolicy &Policy,
                                              bool IsDigestDue,
                                              std::mt19937 &Random,
                                              TimePoint Now);

/// Hosts of living VMs of a data centre, or of all if it is empty, to name to
/// another VM: a stretch of the sorted list that starts anywhere. At most
/// Limit.
std::vector<std::string> selectGossipHosts(const Fleet &State,
                                           std::string_view DataCentre,
                                           size_t Limit, std::mt19937 &Random);

} // namespace hyssopcross::fleet

#endif
