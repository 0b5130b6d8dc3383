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
  deliverEvent(Name, state(Name).m_Self.m_Incarnation, StopRequested{});
}

void Fleet::listLeaving(const std::string &Name) {
  m_List.at(Name).m_State = store::VmState::Leaving;
}

void Fleet::partition(
    std::function<bool(const VmInfo &, const VmInfo &)> Partition,
    Duration Length) {
  m_Partition = std::move(Partition);
  m_PartitionUntil = m_Now + Length;
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
    deliverEvent(Name, Incarnation, Woke{});
  at(m_Now + 100ms, [this, Name, Incarnation] { tick(Name, Incarnation); });
}

void Fleet::deliverEvent(const std::string &Name, uint64_t Incarnation,
                         const Event &Incoming) {
  Vm &Receiver = m_Vms.at(Name);
  if (!Receiver.m_Up || Receiver.m_State->m_Self.m_Incarnation != Incarnation)
    return;
  if (m_Now < Receiver.m_FrozenUntil) {
    if (std::holds_alternative<HeartbeatArrived>(Incoming))
      return;
    at(Receiver.m_FrozenUntil, [this, Name, Incarnation, Incoming] {
      deliverEvent(Name, Incarnation, Incoming);
    });
    return;
  }
  std::vector<Action> Actions;
  step(*Receiver.m_State, Incoming, m_Now, Actions);
  for (const Action &Requested : Actions)
    perform(Receiver.m_State->m_Self, Requested);
}

void Fleet::perform(const VmInfo &From, const Action &Requested) {
  if (const auto *Sent = std::get_if<SendHeartbeat>(&Requested)) {
    m_BytesSent[From.m_Name] += encodedSize(Sent->m_Message);
    deliver(From, Sent->m_To, HeartbeatArrived{Sent->m_Message});
  } else if (const auto *Asked = std::get_if<SendVmListRequest>(&Requested)) {
    m_BytesSent[From.m_Name] += encodedSize(Asked->m_Message);
    deliver(From, Asked->m_To, VmListRequested{Asked->m_Message});
  } else if (const auto *Answered = std::get_if<SendVmListAnswer>(&Requested)) {
    m_BytesSent[From.m_Name] += encodedSize(Answered->m_Message);
    deliver(From, Answered->m_To, VmListAnswered{Answered->m_Message});
  } else if (std::holds_alternative<PollVmList>(Requested)) {
    ++m_ListFetches;
    VmListFetched Answer{std::vector<store::VmRecord>{}};
    for (const auto &[Name, Record] : m_List)
      Answer.m_Records->push_back(Record);
    at(m_Now + 20ms, [this, From, Answer] {
      deliverEvent(From.m_Name, From.m_Incarnation, Answer);
    });
  }
}

void Fleet::deliver(const VmInfo &From, const std::string &To,
                    const Event &Incoming) {
  auto Found = m_Vms.find(To);
  if (Found == m_Vms.end() || !Found->second.m_Up || m_Random() % 100 < m_Loss)
    return;
  const VmInfo &Target = Found->second.m_State->m_Self;
  if (m_Partition && m_Now < m_PartitionUntil && m_Partition(From, Target))
    return;
  at(m_Now + std::chrono::milliseconds(1 + m_Random() % 40),
     [this, To, Incarnation = Target.m_Incarnation, Incoming] {
       deliverEvent(To, Incarnation, Incoming);
     });
}

VmStatus Fleet::observedStatus(const std::string &By,
                               const std::string &Of) const {
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
      bool Alive = observedStatus(By, Of) == VmStatus::Alive;
      bool Expected = Observed.m_Up && !Observed.m_State->m_Leaving;
      if (Alive != Expected)
        return std::string(By)
            .append(" sees ")
            .append(Of)
            .append(" as ")
            .append(vmStatusName(observedStatus(By, Of)));
    }
  }
  return "";
}

} // namespace hyssopcross::membership
