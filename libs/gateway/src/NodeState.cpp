#include "NodeState.h"

namespace hyssopcross::gateway {

void refreshCandidates(NodeState &State) {
  State.m_Rings = fleet::placeServers(State.m_Servers);
  const fleet::VmInfo &Self = State.m_Fleet.m_Self;
  for (auto &[Id, Of] : State.m_Servers.m_Servers)
    Of.m_IsCandidate = fleet::usesServer(Self.m_Host, Self.m_DataCentre, Of,
                                         State.m_Rings[Of.m_Record.m_Service],
                                         State.m_Settings.m_Fleeting);
  dispatch::listCandidatesFirst(State.m_Servers);
  ++State.m_RingsVersion;
}

void noteReport(NodeState &State, dispatch::Server &Of,
                const dispatch::LoadReport &Report) {
  bool WasInService = dispatch::isInService(State.m_Servers, Of);
  dispatch::noteReport(Of, Report, Duration(0), State.now());
  if (dispatch::isInService(State.m_Servers, Of) != WasInService)
    ++State.m_ServersVersion;
}

} // namespace hyssopcross::gateway
