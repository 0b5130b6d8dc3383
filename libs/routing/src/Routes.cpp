#include "hyssopcross/routing/Routes.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>
#include <numeric>

namespace hyssopcross::routing {

const char *requestKindName(RequestKind Kind) {
  switch (Kind) {
  case RequestKind::Idempotent:
    return "idempotent";
  case RequestKind::AtMostOnce:
    return "once";
  case RequestKind::Upload:
    return "upload";
  }
  return "unknown";
}

RouteTable::RouteTable(const Configuration &Source) {
  for (const Route &Each : Source.m_Routes)
    m_ByHost[Each.m_Host][Each.m_Prefix] = &Each;
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  auto Routes = m_ByHost.find(std::string(Host));
  if (Routes == m_ByHost.end())
    return nullptr;
  // Every prefix ends with a slash, so only those ends need to be tried.
  size_t End = Path.rfind('/');
  while (End != std::string_view::npos) {
    auto Found = Routes->second.find(std::string(Path.substr(0, End + 1)));
    if (Found != Routes->second.end())
      return Found->second;
    if (End == 0)
      break;
    End = Path.rfind('/', End - 1);
  }
  return nullptr;
}

size_t selectPart(const Route &Of, SplitState &Turns) {
  HYSSOPCROSS_INVARIANT(!Of.m_Parts.empty(), "a route names a service");
  Turns.m_CurrentWeights.resize(Of.m_Parts.size(), 0.0);
  double Total = 0;
  for (size_t I = 0; I < Of.m_Parts.size(); ++I) {
    Turns.m_CurrentWeights[I] += Of.m_Parts[I].m_Weight;
    Total += Of.m_Parts[I].m_Weight;
  }
  size_t Best = 0;
  for (size_t I = 1; I < Of.m_Parts.size(); ++I)
    if (Of.m_Parts[I].m_Weight > 0 &&
        (Turns.m_CurrentWeights[I] > Turns.m_CurrentWeights[Best] ||
         Of.m_Parts[Best].m_Weight == 0))
      Best = I;
  Turns.m_CurrentWeights[Best] -= Total;
  return Best;
}

} // namespace hyssopcross::routing
