#include "hyssopcross/faultsoak/Promises.h"

namespace hyssopcross::faultsoak {

namespace {

/// Whether a status says that a request has not run and never will.
bool isRefusal(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

void Promises::violate(std::string What) {
  m_Violations.push_back(std::move(What));
}

void Promises::noteSent(const std::string &Id, bool RunsOnce) {
  ++m_Totals.m_Sent;
  m_Requests[Id].m_RunsOnce = RunsOnce;
}

void Promises::noteRun(const std::string &Id) {
  auto Found = m_Requests.find(Id);
  if (Found == m_Requests.end())
    return violate("a server got a request that no caller sent: " + Id);
  RequestRecord &Of = Found->second;
  ++Of.m_Runs;
  if (!Of.m_RunsOnce)
    return;
  if (Of.m_Runs > 1)
    violate("a request that runs once ran again: " + Id);
  if (Of.m_Refusal != 0)
    violate("a request ran after it was refused: " + Id);
}

void Promises::noteAnswer(const std::string &Id, unsigned Status,
                          bool IsMatching) {
  RequestRecord &Of = m_Requests[Id];
  if (Status >= 200 && Status < 300) {
    ++m_Totals.m_Answered;
    if (!IsMatching)
      violate("an answer is not the one made for its request: " + Id);
    return;
  }
  if (!isRefusal(Status)) {
    ++m_Totals.m_Unknown;
    return;
  }
  ++m_Totals.m_Refused;
  Of.m_Refusal = Status;
  if (Of.m_RunsOnce && Of.m_Runs > 0)
    violate("a request was refused though it ran: " + Id);
}

void Promises::noteBroken(const std::string &Id, bool IsPlanned) {
  ++m_Totals.m_Unknown;
  // One that crossed the close and was not passed on may be sent again.
  if (IsPlanned && m_Requests[Id].m_Runs > 0)
    violate("a planned stop cut a request: " + Id);
}

} // namespace hyssopcross::faultsoak
