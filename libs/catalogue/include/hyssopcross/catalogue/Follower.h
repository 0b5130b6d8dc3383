#ifndef HYSSOPCROSS_CATALOGUE_FOLLOWER_H
#define HYSSOPCROSS_CATALOGUE_FOLLOWER_H

#include "hyssopcross/catalogue/Types.h"
#include "hyssopcross/records/Store.h"
#include <memory>
#include <random>
#include <variant>

namespace hyssopcross::catalogue {

/// Names a VM.
using VmName = std::string;

/// A whole catalogue, shared and never changed.
using CatalogueRef = std::shared_ptr<const Catalogue>;

// Events, from the host. The store's answers are records::RowRead.

/// The peers that this VM tells of a new version: a few neighbours by
/// rendezvous rank and the relay to other data centres, bounded by the host.
struct NeighboursChanged {
  std::vector<VmName> m_Neighbours;
};

/// Whether this VM polls the head row for its data centre. The host names two
/// VMs of each data centre.
struct PollerChanged {
  bool m_Poll = false;
};

/// A peer has told its version, in a heartbeat or an announcement; zero if it
/// has none.
struct PeerVersion {
  VmName m_Peer;
  uint64_t m_Version = 0;
};

/// A peer has answered FetchFromPeer; no catalogue if it did not, or did not
/// have one.
struct PeerCatalogue {
  VmName m_Peer;
  CatalogueRef m_Catalogue;
};

/// This VM has itself committed a version.
struct VersionAccepted {
  CatalogueRef m_Catalogue;
};

/// The time named by the last WakeAt action has come; sent once at the start.
struct FollowerWoke {};

using FollowerEvent =
    std::variant<NeighboursChanged, PollerChanged, PeerVersion, PeerCatalogue,
                 VersionAccepted, FollowerWoke, records::RowRead>;

// Actions, to the host.

/// This version is in force on this VM from now on.
struct InstallCatalogue {
  CatalogueRef m_Catalogue;
};

/// Tell a peer this VM's version at once; a message of a few bytes.
struct AnnounceVersion {
  VmName m_Peer;
  uint64_t m_Version = 0;
};

/// Ask a peer for its whole catalogue. Answered with PeerCatalogue.
struct FetchFromPeer {
  VmName m_Peer;
};

/// Whether this VM may take new work. The first is sent with the first event;
/// without it, a VM takes none.
struct TakeWork {
  bool m_Take = false;
};

/// Send FollowerWoke at this time. Replaces an earlier WakeAt.
struct FollowerWakeAt {
  TimePoint m_Time;
};

using FollowerAction =
    std::variant<InstallCatalogue, AnnounceVersion, FetchFromPeer, TakeWork,
                 FollowerWakeAt, records::ReadRow>;

/// Settings of the decisions, the same on every VM. The bool fields switch a
/// mechanism off; only tests set them.
struct FollowerPolicy {
  /// Mean pause between two polls of the head row by a poller; jittered by
  /// half in both directions. Two pollers in each of 11 data centres make 22
  /// reads per second.
  Duration m_PollPause = std::chrono::seconds(1);
  /// A VM that could not confirm its version for this long takes no new work.
  Duration m_ConfirmBound = std::chrono::seconds(3);
  /// A VM that is no poller reads the head row itself once its version has
  /// been unconfirmed for this long.
  Duration m_SelfPollAfter = std::chrono::milliseconds(1500);
  /// How long an unanswered request to a peer or the store is waited for.
  Duration m_RequestTimeout = std::chrono::seconds(1);
  /// Neighbours told of a new version.
  size_t m_MaxFanOut = 4;

  bool m_NeverGoBack = true;
  bool m_AnnounceToPeers = true;
  bool m_PollHead = true;
  bool m_StopUnconfirmed = true;
};

/// What one VM knows of the catalogue. Owned by the host, changed only by
/// step(). Bounded: one catalogue and one outstanding request each to the
/// store and to a peer.
struct FollowerState {
  FollowerState(FollowerPolicy Policy, uint64_t Seed)
      : m_Policy(Policy), m_Random(Seed) {}

  FollowerPolicy m_Policy;
  std::mt19937_64 m_Random;
  /// The version in force; none until the first one is installed. An empty
  /// store counts as version zero.
  CatalogueRef m_Current;
  std::vector<VmName> m_Neighbours;
  bool m_Poller = false;
  bool m_Started = false;
  bool m_TakesWork = false;
  /// When the version was last confirmed by the store or a peer.
  std::optional<TimePoint> m_ConfirmedAt;
  TimePoint m_NextPoll;
  records::RequestId m_LastRequest = 0;
  /// The outstanding read, whether it is of the head row, and its time limit.
  records::RequestId m_Read = 0;
  bool m_ReadingHead = false;
  uint64_t m_ReadingVersion = 0;
  /// When the last read of the head row was asked for.
  TimePoint m_HeadReadAt;
  TimePoint m_ReadUntil;
  /// The outstanding fetch from a peer; no name if none.
  VmName m_FetchPeer;
  TimePoint m_FetchUntil;
  /// The highest version that a peer has told of, and that peer.
  uint64_t m_SeenVersion = 0;
  VmName m_SeenPeer;
};

/// Applies one event and appends the actions that follow from it.
/// Deterministic. Not thread-safe for one state.
///
/// A new version reaches every VM by announcements of a few bytes to at most
/// MaxFanOut neighbours each, and one fetch of the document for each VM.
void step(FollowerState &State, const FollowerEvent &Event,
          const records::Instant &Now, std::vector<FollowerAction> &Actions);

/// The version in force on this VM, for heartbeats; zero if none.
uint64_t currentVersion(const FollowerState &State);

} // namespace hyssopcross::catalogue

#endif
