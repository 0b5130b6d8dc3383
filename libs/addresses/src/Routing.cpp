#include "Routing.h"
#include <algorithm>

namespace hyssopcross::addresses {

namespace {

std::string regionOf(const RoutingView &View, const std::string &DataCentre) {
  auto Found = View.m_Catalogue.m_DataCentres.find(DataCentre);
  return Found == View.m_Catalogue.m_DataCentres.end() ? std::string()
                                                       : Found->second.m_Region;
}

std::optional<Duration> configuredLatency(const RoutingView &View,
                                          const std::string &From,
                                          const std::string &To) {
  auto Found = View.m_Distances.find({From, To});
  if (Found == View.m_Distances.end())
    Found = View.m_Distances.find({To, From});
  if (Found == View.m_Distances.end())
    return {};
  return Found->second;
}

const RoutingMember *findMember(const RoutingView &View,
                                const std::string &Vm) {
  auto Found = View.m_Members.find(Vm);
  return Found == View.m_Members.end() ? nullptr : &Found->second;
}

} // namespace

bool isInService(const RoutingView &View, const std::string &DataCentre) {
  if (!View.m_Policy.m_ExcludeOutOfService)
    return true;
  auto Found = View.m_Catalogue.m_DataCentres.find(DataCentre);
  return Found == View.m_Catalogue.m_DataCentres.end() ||
         Found->second.m_InService;
}

bool isEligible(const RoutingView &View, const std::string &Vm,
                const RoutingMember &Member) {
  if (View.m_Policy.m_ExcludeOutOfService &&
      View.m_Catalogue.m_VmsOut.contains(Vm))
    return false;
  if (!isInService(View, Member.m_DataCentre))
    return false;
  if (!View.m_Policy.m_ExcludeUnavailable)
    return true;
  if (Vm == View.m_Self && !View.m_Current)
    return false;
  return Member.m_Status == membership::VmStatus::Alive;
}

Duration latencyBetween(const RoutingView &View, const std::string &From,
                        const std::string &To) {
  if (From == To)
    return Duration::zero();
  if (auto Configured = configuredLatency(View, From, To))
    return *Configured;
  std::string Region = regionOf(View, From);
  bool SameRegion = !Region.empty() && Region == regionOf(View, To);
  return SameRegion ? View.m_Policy.m_SameRegionLatency
                    : View.m_Policy.m_CrossRegionLatency;
}

std::vector<OwnerRoute> ownerRoutes(const RoutingView &View,
                                    const std::string &Service,
                                    const std::string &From,
                                    RoutePurpose Purpose) {
  struct RankedRoute {
    Duration m_Latency;
    OwnerRoute m_Route;
  };
  std::vector<RankedRoute> Found;
  auto It = View.m_Owners.m_Owners.lower_bound(PoolId{Service, ""});
  for (; It != View.m_Owners.m_Owners.end() && It->first.m_Service == Service;
       ++It) {
    const std::string &Vm = It->second.m_Owner;
    const RoutingMember *Member = findMember(View, Vm);
    bool IsSelf = Purpose == RoutePurpose::Call && Vm == View.m_Self;
    // The pool's backend servers are in the pool's data centre, even if its
    // owner is elsewhere.
    if (!Member || !isInService(View, It->first.m_DataCentre) ||
        !(IsSelf || isEligible(View, Vm, *Member)))
      continue;
    Found.push_back({latencyBetween(View, From, It->first.m_DataCentre),
                     {It->first, Vm, Member}});
  }
  if (View.m_Policy.m_NearestFirst)
    std::stable_sort(Found.begin(), Found.end(),
                     [](const RankedRoute &A, const RankedRoute &B) {
                       return A.m_Latency < B.m_Latency;
                     });
  std::vector<OwnerRoute> Routes;
  Routes.reserve(Found.size());
  for (RankedRoute &Entry : Found)
    Routes.push_back(std::move(Entry.m_Route));
  return Routes;
}

} // namespace hyssopcross::addresses
