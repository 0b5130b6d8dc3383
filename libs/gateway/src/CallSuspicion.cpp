// Calls whose request may crash backend servers.
#include "CallDispatcher.h"
#include "RequestFingerprint.h"

namespace hyssopcross::gateway {

dispatch::RequestFingerprint
CallDispatcher::fingerprintOfCall(const CallRef &Of) {
  if (!Of->m_Fingerprint)
    Of->m_Fingerprint = fingerprintOf(*Of->m_Request, Of->m_Caller);
  return *Of->m_Fingerprint;
}

bool CallDispatcher::isSuspect(const CallRef &Of) {
  // Bodies are hashed only while there are suspects.
  return !m_State.m_Suspects.m_Suspects.empty() &&
         dispatch::isSuspect(m_State.m_Suspects, fingerprintOfCall(Of));
}

bool CallDispatcher::endIfQuarantined(const CallRef &Of) {
  if (!isSuspect(Of))
    return false;
  TimePoint Until = dispatch::quarantinedUntil(
      m_State.m_Suspects, m_State.m_Settings.m_Dispatch, fingerprintOfCall(Of));
  if (m_State.now() >= Until)
    return false;
  if (Of->m_MayHaveRun)
    failCall(Of, 502, "crashes_servers");
  else
    refuse(Of, 503, "crashes_servers", Until - m_State.now());
  return true;
}

void CallDispatcher::noteSuspicion(const CallRef &Of, const Attempt &Which,
                                   const http::ExchangeResult &Result,
                                   bool HasRun) {
  TimePoint Now = m_State.now();
  if (Result.m_ClosedByServer)
    dispatch::recordCutOff(
        m_State.m_Suspects, m_State.m_Settings.m_Dispatch,
        {fingerprintOfCall(Of), {Which.m_Server, Which.m_Incarnation, Now}});
  bool IsComplete = Result.m_End == http::ExchangeEnd::Answered && HasRun;
  if (!IsComplete || !isSuspect(Of) ||
      !dispatch::clearSuspect(m_State.m_Suspects, fingerprintOfCall(Of), Now))
    return;
  noteSuspect(m_State, fingerprintOfCall(Of), "answer");
  m_Fleet.queueSuspect(fingerprintOfCall(Of));
}

void CallDispatcher::confirmCrashes() {
  const dispatch::DispatchPolicy &Policy = m_State.m_Settings.m_Dispatch;
  for (dispatch::RequestFingerprint Each : dispatch::confirmCrashes(
           m_State.m_Suspects, m_State.m_Servers, Policy, m_State.now())) {
    noteSuspect(m_State, Each, "attempt");
    m_Fleet.queueSuspect(Each);
  }
  dispatch::expireSuspects(m_State.m_Suspects, Policy, m_State.now());
  if (std::exchange(m_SuspectsVersion, m_State.m_SuspectsVersion) ==
      m_State.m_SuspectsVersion)
    return;
  std::vector<CallRef> Queued;
  for (const CallRef &Each : m_Calls)
    if (Each->m_IsQueued)
      Queued.push_back(Each);
  for (const CallRef &Each : Queued)
    endIfQuarantined(Each);
}

} // namespace hyssopcross::gateway
