#ifndef HYSSOPCROSS_FLEET_RELAY_H
#define HYSSOPCROSS_FLEET_RELAY_H

#include "hyssopcross/fleet/Membership.h"
#include <random>
#include <string>
#include <vector>

namespace hyssopcross::fleet {

/// A VM as described by another one.
struct Member {
  VmInfo m_Info;
  /// Time since the describing VM last heard from it.
  Duration m_Silence{};
};

/// The live VMs of a data centre as seen by one of them. In a large fleet,
/// digests are sent between data centres instead of heartbeats between all VMs.
struct Digest {
  std::string m_DataCentre;
  std::vector<Member> m_Members;
  /// Whether all live VMs are listed. Otherwise the digest lists only a few, as
  /// initial contacts.
  bool m_IsWhole = true;
};

/// Builds the digest of the live VMs of this VM's data centre, including
/// itself.
Digest makeLocalDigest(const Fleet &State, TimePoint Now);

/// Selects a few live VMs of each data centre except the local one and that of
/// the receiver. Data centres without a seed discover each other through them.
std::vector<Digest> selectContacts(const Fleet &State,
                                   const FleetPolicy &Policy,
                                   std::string_view DataCentre,
                                   std::mt19937 &Random, TimePoint Now);

/// Changes caused by a digest.
struct DigestChanges {
  /// Hosts that were not known to be alive.
  std::vector<std::string> m_Joined;
  /// Hosts that have restarted.
  std::vector<std::string> m_Restarted;
  /// No digest of the data centre was received for a while. If this one came
  /// from another data centre, it must be forwarded within the local one.
  bool m_ShouldForward = false;
};

/// Whether the sender of a datagram with its own description does not know that
/// the fleet is large, as shown by a heartbeat from another data centre.
bool needsContacts(const Fleet &State, const FleetPolicy &Policy,
                   const VmInfo &From, bool HasDigests);

/// Applies a digest of another data centre. Newer information received directly
/// from a VM is kept.
DigestChanges applyDigest(Fleet &State, const FleetPolicy &Policy,
                          const Digest &Received, TimePoint Now);

/// Whether this VM is selected to send digests of its data centre to the
/// others.
bool isRelay(const Fleet &State, const FleetPolicy &Policy);

/// Recipients of the messages that a VM sends at one heartbeat.
struct HeartbeatRecipients {
  /// Recipients of a heartbeat: in a large fleet, VMs of the local data centre
  /// and VMs not heard yet; otherwise all VMs.
  std::vector<std::string> m_Heartbeat;
  /// Recipients of a digest of the local data centre: a few VMs of each other
  /// one.
  std::vector<std::string> m_Digest;
  /// Recipients of a greeting, which is answered with a digest: one VM of each
  /// data centre from which no digest has arrived within the timeout.
  std::vector<std::string> m_Greeting;
};

/// Selects the recipients of this heartbeat. Digests and greetings are sent
/// only in a large fleet. IsDigestDue says whether relays send their digest
/// with this heartbeat.
HeartbeatRecipients selectHeartbeatRecipients(const Fleet &State,
                                              const FleetPolicy &Policy,
                                              bool IsDigestDue,
                                              std::mt19937 &Random,
                                              TimePoint Now);

/// Recipients of a message for all VMs.
struct BroadcastRecipients {
  /// VMs that receive it from this one: all live VMs or, in a large fleet,
  /// those of the local data centre.
  std::vector<std::string> m_Direct;
  /// VMs of other data centres that pass it on to the live VMs there.
  std::vector<std::string> m_PassOn;
};

/// Selects the recipients of a message for all VMs. Those that pass it on are
/// drawn anew each time, so one that is gone, frozen or cut off stands in the
/// way of few messages; VMs that are leaving are drawn last.
BroadcastRecipients selectBroadcastRecipients(const Fleet &State,
                                              const FleetPolicy &Policy,
                                              std::mt19937 &Random);

/// What a VM knows of a datagram for all VMs that it has received.
struct ReceivedBroadcast {
  /// Its sender asks for it to be passed on; not set in one that has been.
  bool m_ShouldPassOn = false;
  std::string_view m_SenderDataCentre;
  /// As acceptBroadcast returned it: if another VM has passed it on to this one
  /// before, it has passed it on to the others too.
  BroadcastAge m_Age = BroadcastAge::Rejected;
  /// Time since this VM last ran again after a freeze.
  Duration m_SinceFreeze{};
};

/// Whether to pass a datagram on to the live VMs of the local data centre.
bool mustPassOn(const Fleet &State, const FleetPolicy &Policy,
                const ReceivedBroadcast &Received);

/// Hosts of live VMs of the local data centre.
std::vector<std::string> localHosts(const Fleet &State);

/// Hosts of live VMs of a data centre, or of all data centres if it is empty,
/// to list to another VM: a contiguous part of the sorted list from a random
/// start. At most Limit.
std::vector<std::string> selectGossipHosts(const Fleet &State,
                                           std::string_view DataCentre,
                                           size_t Limit, std::mt19937 &Random);

} // namespace hyssopcross::fleet

#endif
