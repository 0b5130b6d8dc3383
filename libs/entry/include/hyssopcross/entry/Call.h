#ifndef HYSSOPCROSS_ENTRY_CALL_H
#define HYSSOPCROSS_ENTRY_CALL_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/entry/PoolHost.h"
#include "hyssopcross/protocol/Outcome.h"
#include <string>
#include <utility>
#include <vector>

namespace hyssopcross::entry {

using backend::HeaderList;

/// A caller's request, as it came from the caller or from another entry VM.
struct IncomingCall {
  std::string m_Service;
  std::string m_Method;
  /// Path and query at the backend server.
  std::string m_Target;
  std::string m_Body;
  /// Headers to pass on to the backend server.
  HeaderList m_Headers;
  std::string m_CorrelationId;
  std::string m_IdempotencyKey;
  /// Digest of the body as the caller states it; empty if it does not.
  std::string m_ContentDigest;
  std::string m_TraceParent;
  std::string m_ShareKey;
  WallTime m_Deadline;
  uint32_t m_Attempts = 0;
  uint32_t m_Depth = 1;
  /// Forwards between entry VMs so far.
  uint32_t m_Hops = 0;
  /// Set if another pool's owner gave the call up to this VM.
  bool m_HandedOver = false;
  /// Data centre of the pool that the sending VM chose; empty if a caller sent
  /// the call.
  std::string m_PoolDataCentre;
};

/// The answer to a caller's request.
struct CallerAnswer {
  protocol::Outcome m_Outcome = protocol::Outcome::NotRun;
  unsigned m_Status = 500;
  /// Stable code of an answer that the system itself gives; else empty.
  std::string m_Code;
  HeaderList m_Headers;
  std::string m_Body;
};

/// Reads a request whose path is /call/SERVICE/REST and moves its body out. The
/// deadline is the earlier of the caller's absolute and relative ones, or
/// DefaultTimeout from now. Fails with InvalidInput and a sentence that names
/// the header.
Result<IncomingCall> parseCall(http::Request &Request, WallTime Now,
                               Duration DefaultTimeout);

/// The call's headers and those that are set anew on each hop. TraceParent is
/// left out if it is empty.
HeaderList hopHeaders(const IncomingCall &Call, uint32_t Attempts,
                      std::string_view TraceParent);

/// The request that sends a call on to the VM that owns a pool of its service;
/// parseCall reads it there. Hops counts this forward.
std::shared_ptr<const http::Request>
forwardedRequest(const IncomingCall &Call, const balancing::PoolId &Pool,
                 uint32_t Hops, std::string_view TraceParent);

/// The answer that another entry VM gave to a forwarded call. Fails with
/// Protocol if it names no outcome.
Result<CallerAnswer> readForwardedAnswer(http::Response Answer);

/// An answer as it goes out to a caller.
http::Response toResponse(CallerAnswer Answer, std::string_view CorrelationId);

/// Headers between two hops only, which are never passed on.
bool isHopHeader(std::string_view Name);

/// An answer that the system itself gives: JSON with a stable code and a
/// sentence.
CallerAnswer originatedAnswer(unsigned Status, protocol::Outcome Outcome,
                              std::string_view Code, std::string_view Message);

/// The same with Retry-After, for a refusal.
CallerAnswer refusedAnswer(unsigned Status, std::string_view Code,
                           std::string_view Message, Duration RetryAfter);

/// The answer for a call that the pool refused.
CallerAnswer answerRefusal(const CallRefused &Refused);

/// The answer for a call whose attempt has ended. DeadlinePassed tells an
/// answer that came too late from a broken one.
CallerAnswer answerAttempt(backend::ServerAnswer Answer, bool DeadlinePassed);

} // namespace hyssopcross::entry

#endif
