#ifndef HYSSOPCROSS_OWNERSHIP_LEASEROW_H
#define HYSSOPCROSS_OWNERSHIP_LEASEROW_H

#include "hyssopcross/balancing/Events.h"
#include "hyssopcross/base/Error.h"
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace hyssopcross::ownership {

using balancing::PoolId;

/// What a lease row says about the owner that it names.
enum class RowState {
  /// The owner holds the lease and renews it.
  Held,
  /// The previous owner has released the lease to the named one, which holds
  /// it from its first own write.
  Offered,
  /// Nobody holds the lease; the owner is empty.
  Free,
};

/// One run of a VM that may take a lease soon after it has lapsed. Another run
/// of the same VM is not meant: it knows nothing of this one's promises.
struct Elector {
  std::string m_Name;
  uint64_t m_Incarnation = 0;

  friend bool operator==(const Elector &, const Elector &) = default;
  friend bool operator<(const Elector &A, const Elector &B) {
    return std::tie(A.m_Name, A.m_Incarnation) <
           std::tie(B.m_Name, B.m_Incarnation);
  }
};

/// The value of a pool's row in the platform's table. A row is never deleted,
/// so that its epoch never goes back.
struct LeaseRow {
  RowState m_State = RowState::Held;
  std::string m_Owner;
  uint64_t m_Incarnation = 0;
  /// Grows by one whenever the owner changes.
  uint64_t m_Epoch = 0;
  /// Grows with each write of the same owner and epoch.
  uint64_t m_Renewal = 0;
  /// Differs for each attempt to write, so that a writer that has lost the
  /// answer recognises its own write.
  uint64_t m_Nonce = 0;
  std::string m_PeerAddress;
  /// The time to live and the longest time that the owner goes on by promises,
  /// as the writer has them set.
  std::chrono::milliseconds m_TimeToLive{};
  std::chrono::milliseconds m_Extension{};
  /// Who may take the lease when the row stood unchanged for the time to live;
  /// all others wait for the extension as well.
  std::vector<Elector> m_Electors;

  friend bool operator==(const LeaseRow &, const LeaseRow &) = default;
};

/// The key of a pool's row: lease/<service>/<data centre>.
std::string leaseKey(const PoolId &Pool);

/// The value of a row as JSON.
std::string encodeLeaseRow(const LeaseRow &Row);

/// Parses the value of a row; fails with Protocol.
Result<LeaseRow> parseLeaseRow(std::string_view Text);

} // namespace hyssopcross::ownership

#endif
