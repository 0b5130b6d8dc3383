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

RouteTable::RouteTable(const Configuration &Config) {
  for (const Route &Each : Config.m_Routes)
    m_ByHost[Each.m_Host][Each.m_Prefix] = &Each;
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  auto Routes = m_ByHost.find(std::string(Host));
  if (Routes == m_ByHost.end())
    return nullptr;
  // Every prefix ends with a slash, so only the parts of the path that end with
  // a slash are looked up.
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

size_t selectPart(const Route &SplitRoute, SplitState &State) {
  HYSSOPCROSS_INVARIANT(!SplitRoute.m_Parts.empty(),
                        "a route must have at least one service");
  State.m_CurrentWeights.resize(SplitRoute.m_Parts.size(), 0.0);
  double Total = 0;
  for (size_t I = 0; I < SplitRoute.m_Parts.size(); ++I) {
    State.m_CurrentWeights[I] += SplitRoute.m_Parts[I].m_Weight;
    Total += SplitRoute.m_Parts[I].m_Weight;
  }
  size_t Selected = 0;
  for (size_t I = 1; I < SplitRoute.m_Parts.size(); ++I)
    if (SplitRoute.m_Parts[I].m_Weight > 0 &&
        (State.m_CurrentWeights[I] > State.m_CurrentWeights[Selected] ||
         SplitRoute.m_Parts[Selected].m_Weight == 0))
      Selected = I;
  State.m_CurrentWeights[Selected] -= Total;
  return Selected;
}

} // namespace hyssopcross::routing
