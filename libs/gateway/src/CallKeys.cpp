// Keys of callers: which organisation a request belongs to, and whether it may
// be sent.
#include "CallDispatcher.h"

namespace hyssopcross::gateway {

namespace {

/// Retry-After of a request whose key may be in a configuration that this VM
/// has not received. Another VM or a later attempt may know the key.
constexpr Duration UnknownKeyRetryAfter = std::chrono::milliseconds(300);

} // namespace

bool CallDispatcher::refuseUnknownKey(
    const std::shared_ptr<http::Exchange> &Asked, const routing::Route &For,
    const CallMetadata &Head) {
  const ActiveConfiguration &InForce = *m_State.m_ActiveConfiguration;
  if (routing::decideKey(InForce.m_Configuration, InForce.m_Keys, &For,
                         Head.m_Key)
          .m_IsAllowed)
    return false;
  bool IsCurrent = m_State.mayRejectKeys();
  const char *Why = Head.m_Key.empty() ? "no_key" : "key_unknown";
  if (!IsCurrent)
    Why = Head.m_Key.empty() ? "no_key_unconfirmed" : "key_unknown_unconfirmed";
  m_State.m_Metrics.count(Why);
  answerEarly(Asked, Head.m_RequestId, IsCurrent ? 401 : 503, Why);
  return true;
}

bool CallDispatcher::checkKey(const CallRef &Of) {
  const auto &InForce = m_State.m_ActiveConfiguration;
  if (Of->m_KeyConfiguration == InForce)
    return Of->m_IsKeyAllowed;
  const routing::Route *Route = Of->m_Route;
  // The route may have become public, or no longer be so. A route that is gone
  // keeps its last state for the requests that it has accepted.
  if (Of->m_ActiveConfiguration != InForce) {
    std::string_view Host = http::headerOf(Of->m_Request->base(), "Host");
    const routing::Route *Known = InForce->m_Routes.find(
        Host.substr(0, Host.find(':')),
        http::pathOf(http::toView(Of->m_Request->target())));
    Route = Known ? Known : Route;
  }
  routing::KeyDecision Made = routing::decideKey(
      InForce->m_Configuration, InForce->m_Keys, Route, Of->m_Key);
  Of->m_IsKeyAllowed = Made.m_IsAllowed;
  // The organisation of a call that is refused stays known for the log.
  if (Made.m_Organisation || Made.m_IsAllowed) {
    Of->m_Organisation = Made.m_Organisation;
    Of->m_OrganisationConfiguration = InForce;
    Of->m_Priority =
        routing::effectivePriority(Made.m_Organisation, *Of->m_Route);
  }
  Of->m_KeyConfiguration = InForce;
  return Of->m_IsKeyAllowed;
}

void CallDispatcher::setOrganisationHeaders(const CallRef &Of) const {
  if (!Of->m_KeyConfiguration->m_Configuration.m_Organisations)
    return;
  const HeaderNames &Names = m_State.m_PlatformCodec.m_Headers;
  // Each call removes all fields of a name, in any letter case. The fields of
  // a trailer are among them.
  Of->m_Request->erase(http::toBoost(Names.m_Credential));
  Of->m_Request->erase(http::toBoost(Names.m_Organisation));
  if (Of->m_Organisation)
    Of->m_Request->set(Names.m_Organisation, Of->m_Organisation->m_Name);
}

bool CallDispatcher::endIfKeyWithdrawn(const CallRef &Of) {
  if (checkKey(Of))
    return false;
  if (Of->m_MayHaveRun) {
    m_State.m_Metrics.count("key_withdrawn");
    failCall(Of, 502, "key_withdrawn");
    return true;
  }
  bool IsCurrent = m_State.mayRejectKeys();
  const char *Why = IsCurrent ? "key_withdrawn" : "key_withdrawn_unconfirmed";
  m_State.m_Metrics.count(Why);
  refuse(Of, IsCurrent ? 401 : 503, Why, UnknownKeyRetryAfter);
  return true;
}

void CallDispatcher::endCallsWithWithdrawnKeys() {
  std::vector<CallRef> Known(m_Calls.begin(), m_Calls.end());
  for (const CallRef &Each : Known) {
    if (Each->m_Ended || checkKey(Each))
      continue;
    // A request that has left this VM is not called back; one whose connection
    // is still being opened is.
    for (const auto &Sent : Each->m_Attempts)
      if (!Sent->m_Ended && Sent->m_Call && !Sent->m_Call->mayBeSent()) {
        --Each->m_Arrivals;
        cancelAttempt(*Sent);
      }
    if (!hasActiveAttempt(Each))
      endIfKeyWithdrawn(Each);
  }
}

} // namespace hyssopcross::gateway
