#ifndef HYSSOPCROSS_DISPATCH_REQUESTLIMIT_H
#define HYSSOPCROSS_DISPATCH_REQUESTLIMIT_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/dispatch/Policy.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace hyssopcross::dispatch {

/// Identifies an entry VM in messages: a hash of its name and address.
using VmKey = uint32_t;

/// Requests that another VM has sent to a limited server since that VM started.
struct PeerSends {
  VmKey m_Vm = 0;
  uint32_t m_Count = 0;
};

/// Limit on the rate of requests that an incarnation of a server takes from all
/// VMs together, as named in its responses, and the requests counted against
/// it. VMs tell each other how many requests they have sent, so each can use
/// what the others leave. Two VMs may send at the same moment; both requests
/// are then counted and postpone the next one.
struct RequestLimit {
  /// Requests per second; empty if the server names no limit.
  std::optional<double> m_PerSecond;
  /// When the server last named the limit or stopped naming one; zero before
  /// the first time.
  TimePoint m_SaidAt{};
  /// Health checks have named the present limit too, not only answers to
  /// requests.
  bool m_IsNamedByChecks = false;
  /// End of the time that the counted requests use up at the limited rate.
  TimePoint m_UsedUntil{};
  /// Requests that this VM has sent while a limit was named.
  uint32_t m_OwnSends = 0;
  std::vector<PeerSends> m_PeerSends;
};

/// What one response shows of a server's limit.
struct LimitObservation {
  /// Requests per second; empty if the response names no limit.
  std::optional<double> m_PerSecond;
  /// The response is that of a health check.
  bool m_IsCheck = false;
  /// The server has handled the request, so it would have named a limit.
  bool m_IsComplete = false;
  TimePoint m_SentAt{};
};

/// Applies what a response shows. One without a limit lifts it only if it is
/// complete, was sent after the limit was last named, and is of a kind that
/// names limits. Returns whether the rate has changed.
bool observeLimit(RequestLimit &Limit, const LimitObservation &Seen,
                  TimePoint Now);

/// Applies what another VM has learned of a server's limit at SaidAt. Ignored
/// if it is older than what is known. Returns whether the rate has changed.
bool applyLimit(RequestLimit &Limit, std::optional<double> PerSecond,
                TimePoint SaidAt);

/// When the limit admits the next request; in the past if it does now. The
/// limit must name a rate.
TimePoint admitsAt(const RequestLimit &Limit, const DispatchPolicy &Policy);

/// Counts a request that this VM sends.
void countOwnSend(RequestLimit &Limit, const DispatchPolicy &Policy,
                  TimePoint Now);

/// Counts the requests that another VM has sent since its last report. Total is
/// the number since that VM started, so a lost report is made up for by the
/// next one.
void countPeerSends(RequestLimit &Limit, VmKey Vm, uint32_t Total,
                    const DispatchPolicy &Policy, TimePoint Now);

/// Removes the count of a VM that has left the fleet or restarted.
void forgetPeerSends(RequestLimit &Limit, VmKey Vm);

} // namespace hyssopcross::dispatch

#endif
