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
  boost::asio::io_context &m_Loop;
  Control &m_Control;
  Pools &m_Pools;
  ClaimsHost &m_Claims;
  UploadsHost &m_Uploads;
  trace::Tracer &m_Tracer;
};

/// Called once with the final answer to a call.
using CallerCallback = std::function<void(CallerAnswer)>;

/// Lets whoever began a call give it up when its caller has left. What may run
/// only once, or is kept on record, runs on.
class CallWatch {
public:
  /// Ends what can be ended; the callback of the call is then not called.
  void abandon() {
    if (auto End = std::exchange(m_End, nullptr))
      End();
  }

  /// Sets how the call is ended from now on; null if it must run on.
  void setEnd(std::function<void()> End) { m_End = std::move(End); }

private:
  std::function<void()> m_End;
};

/// Takes a call to the pool that serves it: here, or at the VM that owns it.
/// Lives on the event loop, whose thread makes all calls and is never blocked.
class Router {
public:
  explicit Router(RouterParts Parts);

  /// Serves a call that a caller brought or another VM sent on for a pool.
  std::shared_ptr<CallWatch> serve(IncomingCall Call, CallerCallback Done);

  /// Tells what became of an upload that was held.
  void receipt(const std::string &Service, const std::string &Key,
               CallerCallback Done);

  /// Sends a held upload to a backend server of a pool that this VM owns.
  void deliver(const uploads::DeliverUpload &Held, ResultCallback Done);

  /// Closes connections to other VMs that have been idle for too long. The
  /// owner calls it a few times a second.
  void sweep() { m_Peers.sweep(); }

private:
  /// A call on its way, shared by the steps that it takes.
  struct Job {
    IncomingCall m_Call;
    catalogue::ServiceEntry m_Entry;
    balancing::PoolId m_Pool;
    /// Without the VMs that could not be reached.
    std::shared_ptr<const addresses::RoutingView> m_View;
    unsigned m_Tries = 0;
    CallerCallback m_Done;
    std::shared_ptr<CallWatch> m_Watch;
  };
  using JobRef = std::shared_ptr<Job>;
  using ForwardCallback = std::function<void(Result<CallerAnswer>)>;

  void route(const JobRef &Call);
  void forwardToOwner(const JobRef &Call,
                      const addresses::ForwardDecision &Decision);
  void serveHere(const JobRef &Call, const balancing::PoolId &Pool);
  void runHere(const JobRef &Call, const std::shared_ptr<PoolHost> &Host);
  void runLookup(const JobRef &Call, const std::shared_ptr<PoolHost> &Host,
                 CallRequest Request);
  void runMoney(const JobRef &Call, const std::shared_ptr<PoolHost> &Host,
                CallRequest Request);
  void runUpload(const JobRef &Call, const std::shared_ptr<PoolHost> &Host,
                 CallRequest Request);
  void answerResult(const JobRef &Call, CallResult Result);
  void handOver(const JobRef &Call, const balancing::PoolId &Pool);
  void forward(const JobRef &Call, const balancing::PoolId &Pool,
               const std::string &Address, ForwardCallback Done);
  CallRequest makeRequest(const IncomingCall &Call,
                          const catalogue::ServiceEntry &Entry,
                          std::string_view TraceParent) const;

  RouterParts m_Parts;
  http::Client m_Peers;
};

} // namespace hyssopcross::entry

#endif
