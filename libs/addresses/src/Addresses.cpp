#include "hyssopcross/addresses/Addresses.h"
#include "Routing.h"
#include "hyssopcross/base/Invariant.h"
#include "hyssopcross/membership/Rendezvous.h"
#include <algorithm>

namespace hyssopcross::addresses {

namespace {

/// Retry delay for a call to a service without an owner: approximately the time
/// needed to detect a dead owner and take over its lease.
constexpr Duration NoOwnerRetryAfter = std::chrono::seconds(1);

bool containsVm(const AddressAnswer &Answer, const std::string &Vm) {
  return std::any_of(
      Answer.m_Addresses.begin(), Answer.m_Addresses.end(),
      [&Vm](const AnswerAddress &Item) { return Item.m_Vm == Vm; });
}

void addAddress(const RoutingView &View, AddressAnswer &Answer,
                const std::string &Vm, const RoutingMember &Member,
                bool Owner) {
  if (Answer.m_Addresses.size() >= View.m_Policy.m_Addresses ||
      containsVm(Answer, Vm))
    return;
  Answer.m_Addresses.push_back(
      {Vm, Member.m_Address, Member.m_DataCentre, Owner});
}

/// Fills the answer with entry VMs that own no pool of the service and forward
/// its calls. VMs at equal latency are ordered by a hash of the service and the
/// VM, which spreads the forwarding load of different services.
void addForwarders(const RoutingView &View, AddressAnswer &Answer,
                   const std::string &Service, const std::string &From) {
  struct Forwarder {
    Duration m_Latency;
    uint64_t m_Weight;
    const std::string *m_Vm;
    const RoutingMember *m_Member;
  };
  std::vector<Forwarder> EligibleVms;
  for (const auto &[Vm, Member] : View.m_Members)
    if (isEligible(View, Vm, Member))
      EligibleVms.push_back(
          {latencyBetween(View, From, Member.m_DataCentre),
           membership::rendezvousWeight("forward/" + Service, Vm), &Vm,
           &Member});
  std::sort(EligibleVms.begin(), EligibleVms.end(),
            [](const Forwarder &A, const Forwarder &B) {
              if (A.m_Latency != B.m_Latency)
                return A.m_Latency < B.m_Latency;
              return A.m_Weight > B.m_Weight;
            });
  for (const Forwarder &Item : EligibleVms)
    addAddress(View, Answer, *Item.m_Vm, *Item.m_Member, false);
}

bool isChanging(const RoutingView &View, const std::string &Service,
                TimePoint Now) {
  TimePoint WindowStart = Now - View.m_Policy.m_ChangeWindow;
  if (!View.m_Current || View.m_ChangedAt > WindowStart)
    return true;
  return std::any_of(View.m_Owners.m_Owners.begin(),
                     View.m_Owners.m_Owners.end(), [&](const auto &Entry) {
                       return Entry.first.m_Service == Service &&
                              (Entry.second.m_UpdatedAt > WindowStart ||
                               Entry.second.m_Owner.empty());
                     });
}

Duration answerTimeToLive(const RoutingView &View, const std::string &Service,
                          TimePoint Now, double Random) {
  const AddressPolicy &Policy = View.m_Policy;
  bool Shortened =
      Policy.m_ShortenWhileChanging && isChanging(View, Service, Now);
  Duration BaseTimeToLive =
      Shortened ? Policy.m_TimeToLiveWhileChanging : Policy.m_TimeToLive;
  double Factor = 1.0 - Policy.m_Jitter * Random;
  return std::chrono::duration_cast<Duration>(BaseTimeToLive * Factor);
}

ForwardDecision refuse(const PoolId &Pool, ForwardRefusal Reason) {
  ForwardDecision Decision;
  Decision.m_Pool = Pool;
  Decision.m_Refusal = Reason;
  if (Reason == ForwardRefusal::NoOwner)
    Decision.m_RetryAfter = NoOwnerRetryAfter;
  return Decision;
}

ForwardDecision routeTo(const RoutingView &View, const OwnerRoute &Route) {
  ForwardDecision Decision;
  Decision.m_Pool = Route.m_Pool;
  Decision.m_Vm = Route.m_Vm;
  Decision.m_PeerAddress = Route.m_Member->m_PeerAddress;
  Decision.m_Kind =
      Route.m_Vm == View.m_Self ? ForwardKind::ServeHere : ForwardKind::Forward;
  return Decision;
}

} // namespace

void setMembers(RoutingView &View, const membership::View &Members) {
  View.m_Self = Members.m_Self;
  View.m_Current = Members.m_Fresh;
  View.m_Members.clear();
  for (const membership::MemberView &Item : Members.m_Members) {
    const membership::VmInfo &Info = Item.m_Info;
    View.m_Members[Info.m_Name] = {Info.m_DataCentre, Info.m_Address,
                                   Info.m_PeerAddress, Item.m_Status};
    if (Info.m_Name == Members.m_Self)
      View.m_DataCentre = Info.m_DataCentre;
  }
}

Result<AddressAnswer> addressesFor(const RoutingView &View,
                                   std::string_view Service,
                                   std::string_view CallerDataCentre,
                                   TimePoint Now, double Random) {
  HYSSOPCROSS_INVARIANT(Random >= 0.0 && Random < 1.0,
                        "Random must be in [0, 1)");
  std::string Name(Service);
  if (!View.m_Catalogue.m_Services.contains(Name))
    return fail(ErrorCode::NotFound,
                "service \"" + Name + "\" is not in the catalogue");
  std::string From(CallerDataCentre);
  AddressAnswer Answer;
  for (const OwnerRoute &Route :
       ownerRoutes(View, Name, From, RoutePurpose::Answer))
    addAddress(View, Answer, Route.m_Vm, *Route.m_Member, true);
  addForwarders(View, Answer, Name, From);
  Answer.m_TimeToLive = answerTimeToLive(View, Name, Now, Random);
  return Answer;
}

std::optional<PreferredAddress>
preferredAddress(const RoutingView &View, std::string_view Service,
                 std::string_view CallerDataCentre) {
  std::vector<OwnerRoute> Routes =
      ownerRoutes(View, std::string(Service), std::string(CallerDataCentre),
                  RoutePurpose::Answer);
  if (Routes.empty() || Routes.front().m_Vm == View.m_Self)
    return {};
  const OwnerRoute &Best = Routes.front();
  return PreferredAddress{Best.m_Vm, Best.m_Member->m_Address, Best.m_Pool};
}

ForwardDecision decideForward(const RoutingView &View, const PoolId &Pool,
                              uint32_t Hops) {
  if (!View.m_Catalogue.m_Services.contains(Pool.m_Service))
    return refuse(Pool, ForwardRefusal::UnknownService);
  std::vector<OwnerRoute> Routes =
      ownerRoutes(View, Pool.m_Service, Pool.m_DataCentre, RoutePurpose::Call);
  if (Routes.empty())
    return refuse(Pool, ForwardRefusal::NoOwner);
  bool MayForward =
      Hops < View.m_Policy.m_MaxHops || !View.m_Policy.m_LimitHops;
  if (MayForward)
    return routeTo(View, Routes.front());
  for (const OwnerRoute &Route : Routes)
    if (Route.m_Vm == View.m_Self)
      return routeTo(View, Route);
  return refuse(Pool, ForwardRefusal::TooManyHops);
}

} // namespace hyssopcross::addresses
