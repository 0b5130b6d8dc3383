#ifndef HYSSOPCROSS_ENTRY_ROUTER_H
#define HYSSOPCROSS_ENTRY_ROUTER_H

#include "hyssopcross/entry/Call.h"
#include "hyssopcross/entry/ClaimsHost.h"
#include "hyssopcross/entry/Control.h"
#include "hyssopcross/entry/UploadsHost.h"
#include "hyssopcross/trace/Tracer.h"

namespace hyssopcross::entry {

/// What the router uses; all of it outlives the router.
struct RouterParts {
  const Clock &m_Clock;
  Control &m_Control;
  Pools &m_Pools;
  ClaimsHost &m_Claims;
  UploadsHost &m_Uploads;
  peer::PeerClients &m_Peers;
  trace::Tracer &m_Tracer;
};

/// Takes a call to the pool that serves it: here, or at the VM that owns it.
/// Safe from any thread; the calling thread waits for the answer.
class Router {
public:
  explicit Router(RouterParts Parts);

  /// Serves a call that a caller brought.
  CallerAnswer serve(const IncomingCall &Call);

  /// Serves a call that another VM sent on for a pool.
  CallerAnswer serveForwarded(const IncomingCall &Call,
                              const balancing::PoolId &Pool);

  /// Tells what became of an upload that was held.
  CallerAnswer receipt(const std::string &Service, const std::string &Key);

  /// Sends a held upload to a backend server of a pool that this VM owns.
  CallResult deliver(const uploads::DeliverUpload &Held);

private:
  CallerAnswer route(const IncomingCall &Call, const balancing::PoolId &Pool,
                     std::shared_ptr<const addresses::RoutingView> View);
  CallerAnswer serveHere(const IncomingCall &Call,
                         const catalogue::ServiceEntry &Entry,
                         const balancing::PoolId &Pool);
  CallerAnswer runHere(const IncomingCall &Call,
                       const catalogue::ServiceEntry &Entry, PoolHost &Host);
  CallerAnswer runMoney(const IncomingCall &Call, PoolHost &Host,
                        const CallRequest &Request);
  CallerAnswer runUpload(const IncomingCall &Call, PoolHost &Host,
                         const CallRequest &Request);
  CallerAnswer answerResult(const IncomingCall &Call, CallResult Result);
  CallerAnswer handOver(const IncomingCall &Call,
                        const balancing::PoolId &Pool);
  Result<CallerAnswer> forward(const IncomingCall &Call,
                               const balancing::PoolId &Pool,
                               const std::string &PeerAddress);
  CallRequest makeRequest(const IncomingCall &Call,
                          const catalogue::ServiceEntry &Entry) const;

  RouterParts m_Parts;
};

} // namespace hyssopcross::entry

#endif
