#include "Fleet.h"

namespace hyssopcross::membership {

using namespace std::chrono_literals;

void Fleet::start(const std::string &Name, const std::string &DataCentre,
                  Duration ListLag) {
  VmInfo Self{Name,       ++m_Incarnations, DataCentre,
              "region-1", Name + ":80",     Name + ":81"};
  Vm &Started = m_Vms[Name];
  Started.m_Up = true;
  Started.m_FrozenUntil = {};
  Started.m_State = std::make_unique<MembershipState>(Self, m_Policy, m_Now);
  at(m_Now + ListLag, [this, Self] {
    m_List[Self.m_Name] = {Self.m_Name,
                           store::VmRole::Entry,
                           store::VmState::Live,
                           Self.m_DataCentre,
                           Self.m_Address,
                           Self.m_PeerAddress,
                           ""};
  });
  tick(Name, Self.m_Incarnation);
}

void Fleet::kill(const std::string &Name, Duration ListLag) {
  m_Vms.at(Name).m_Up = false;
  at(m_Now + ListLag, [this, Name] { m_List.erase(Name); });
}

void Fleet::restart(const std::string &Name, Duration ListLag) {
  std::string DataCentre = state(Name).m_Self.m_DataCentre;
  start(Name, DataCentre, ListLag);
}

void Fleet::freeze(const std::string &Name, Duration Length) {
  m_Vms.at(Name).m_FrozenUntil = m_Now + Length;
}

void Fleet::stop(const std::string &Name) {
  tell(Name, state(Name).m_Self.m_Incarnation, StopRequested{});
}

void Fleet::listLeaving(const std::string &Name) {
  m_List.at(Name).m_State = store::VmState::Leaving;
}

void Fleet::cut(std::function<bool(const VmInfo &, const VmInfo &)> Cut,
                Duration Length) {
  m_Cut = std::move(Cut);
  m_CutUntil = m_Now + Length;
}

void Fleet::run(Duration Length) {
  TimePoint End = m_Now + Length;
  while (!m_Events.empty() && m_Events.begin()->first <= End) {
    auto Next = m_Events.extract(m_Events.begin());
    m_Now = Next.key();
    Next.mapped()();
  }
  m_Now = End;
}

void Fleet::tick(const std::string &Name, uint64_t Incarnation) {
  Vm &Ticking = m_Vms.at(Name);
  if (!Ticking.m_Up || Ticking.m_State->m_Self.m_Incarnation != Incarnation)
    return;
  if (m_Now >= Ticking.m_FrozenUntil)
    tell(Name, Incarnation, Woke{});
  at(m_Now + 100ms, [this, Name, Incarnation] { tick(Name, Incarnation); });
}

void Fleet::tell(const std::string &Name, uint64_t Incarnation,
                 const Event &Happened) {
  Vm &Told = m_Vms.at(Name);
  if (!Told.m_Up || Told.m_State->m_Self.m_Incarnation != Incarnation)
    return;
  if (m_Now < Told.m_FrozenUntil) {
    if (std::holds_alternative<HeartbeatArrived>(Happened))
      return;
    at(Told.m_FrozenUntil, [this, Name, Incarnation, Happened] {
      tell(Name, Incarnation, Happened);
    });
    return;
  }
  std::vector<Action> Actions;
  step(*Told.m_State, Happened, m_Now, Actions);
  for (const Action &Wanted : Actions)
    perform(Told.m_State->m_Self, Wanted);
}

void Fleet::perform(const VmInfo &From, const Action &Wanted) {
  if (const auto *Sent = std::get_if<SendHeartbeat>(&Wanted)) {
    m_BytesSent[From.m_Name] += encodedSize(Sent->m_Message);
    deliver(From, Sent->m_To, HeartbeatArrived{Sent->m_Message});
  } else if (const auto *Asked = std::get_if<SendVmListRequest>(&Wanted)) {
    m_BytesSent[From.m_Name] += encodedSize(Asked->m_Message);
    deliver(From, Asked->m_To, VmListRequested{Asked->m_Message});
  } else if (const auto *Answered = std::get_if<SendVmListAnswer>(&Wanted)) {
    m_BytesSent[From.m_Name] += encodedSize(Answered->m_Message);
    deliver(From, Answered->m_To, VmListAnswered{Answered->m_Message});
  } else if (std::holds_alternative<PollVmList>(Wanted)) {
    ++m_ListFetches;
    VmListFetched Answer{std::vector<store::VmRecord>{}};
    for (const auto &[Name, Record] : m_List)
      Answer.m_Records->push_back(Record);
    at(m_Now + 20ms,
       [this, From, Answer] { tell(From.m_Name, From.m_Incarnation, Answer); });
  }
}

void Fleet::deliver(const VmInfo &From, const std::string &To,
                    const Event &Happened) {
  auto Found = m_Vms.find(To);
  if (Found == m_Vms.end() || !Found->second.m_Up || m_Random() % 100 < m_Loss)
    return;
  const VmInfo &Target = Found->second.m_State->m_Self;
  if (m_Cut && m_Now < m_CutUntil && m_Cut(From, Target))
    return;
  at(m_Now + std::chrono::milliseconds(1 + m_Random() % 40),
     [this, To, Incarnation = Target.m_Incarnation, Happened] {
       tell(To, Incarnation, Happened);
     });
}

VmStatus Fleet::seen(const std::string &By, const std::string &Of) const {
  return statusOf(state(By), Of, m_Now);
}

const MembershipState &Fleet::state(const std::string &Name) const {
  return *m_Vms.at(Name).m_State;
}

View Fleet::viewOf(const std::string &Name) const {
  return view(state(Name), m_Now);
}

std::string Fleet::disagreement() const {
  for (const auto &[By, Observer] : m_Vms) {
    if (!Observer.m_Up)
      continue;
    for (const auto &[Of, Observed] : m_Vms) {
      bool Alive = seen(By, Of) == VmStatus::Alive;
      bool Expected = Observed.m_Up && !Observed.m_State->m_Leaving;
      if (Alive != Expected)
        return std::string(By)
            .append(" sees ")
            .append(Of)
            .append(" as ")
            .append(vmStatusName(seen(By, Of)));
    }
  }
  return "";
}

} // namespace hyssopcross::membership
