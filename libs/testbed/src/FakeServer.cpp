#include "hyssopcross/testbed/FakeServer.h"
#include <algorithm>
#include <cmath>

namespace hyssopcross::testbed {

namespace {

Duration scale(Duration Length, double Factor) {
  double Scaled = static_cast<double>(Length.count()) * Factor;
  return Duration(std::llround(Scaled));
}

} // namespace

FakeServer::FakeServer(const ServerLayout &Server, const ServiceLayout &Service,
                       EventQueue &Queue, Ledger &Ledger, AnswerSink Sink)
    : m_Layout(Server), m_Service(Service), m_Queue(Queue), m_Ledger(Ledger),
      m_Sink(std::move(Sink)) {
  if (Server.m_Cold)
    turnCold();
}

balancing::LoadReport FakeServer::report() const {
  balancing::LoadReport Report;
  Report.m_InFlight = static_cast<uint32_t>(m_Running.size());
  Report.m_Queued = static_cast<uint32_t>(m_Backlog.size());
  Report.m_Draining = m_Draining;
  Report.m_BootId = m_Layout.m_Name + "#" + std::to_string(m_Boot);
  return Report;
}

double FakeServer::slowness() const {
  return m_Slowness * (m_Cold ? m_Service.m_ColdFactor : 1.0);
}

bool FakeServer::shouldShed() const {
  size_t Held = m_Running.size() + m_Backlog.size();
  size_t Slots = m_Service.m_Entry.m_Limits.m_Slots;
  size_t Bearable =
      m_Cold ? m_Service.m_ColdAllowance : Slots + m_Service.m_Backlog;
  return Held >= Bearable;
}

void FakeServer::receive(const Request &Request) {
  bool Shed = shouldShed() || Request.m_Deadline <= m_Queue.now();
  size_t Held = m_Running.size() + m_Backlog.size() + 1;
  m_Ledger.m_Arrivals[m_Layout.m_Name].push_back({m_Queue.now(), Request.m_Call,
                                                  static_cast<uint32_t>(Held),
                                                  m_Cold, Shed});
  if (m_FailingFast)
    return answer(Request, AnswerKind::Reset);
  if (Shed)
    return answer(Request, AnswerKind::Shed);
  if (m_Running.size() < m_Service.m_Entry.m_Limits.m_Slots)
    begin(Request);
  else
    m_Backlog.push_back(Request);
}

void FakeServer::begin(const Request &Request) {
  ++m_Ledger.m_Calls[Request.m_Call].m_Runs;
  Running &Run = m_Running[Request.m_Id];
  Run = {Request, Request.m_Work, m_Queue.now(), 0};
  schedule(Run);
}

void FakeServer::schedule(Running &Run) {
  Run.m_Timer = ++m_LastTimer;
  Run.m_Since = m_Queue.now();
  RequestId Id = Run.m_Request.m_Id;
  m_Queue.after(scale(Run.m_Left, slowness()), [this, Id, Timer = Run.m_Timer] {
    auto Found = m_Running.find(Id);
    if (Found != m_Running.end() && Found->second.m_Timer == Timer)
      finish(Id);
  });
}

void FakeServer::settle() {
  double Speed = 1.0 / slowness();
  for (auto &[Id, Run] : m_Running) {
    Duration Done = scale(m_Queue.now() - Run.m_Since, Speed);
    Run.m_Left = std::max(Run.m_Left - Done, Duration::zero());
    Run.m_Since = m_Queue.now();
  }
}

void FakeServer::reschedule() {
  for (auto &[Id, Run] : m_Running)
    schedule(Run);
}

void FakeServer::setSlowness(double Factor) {
  settle();
  m_Slowness = Factor;
  reschedule();
}

void FakeServer::turnCold() {
  settle();
  m_Cold = true;
  m_WarmUpLeft = m_Service.m_WarmAfter;
  reschedule();
}

void FakeServer::turnWarm() {
  settle();
  m_Cold = false;
  reschedule();
}

void FakeServer::finish(RequestId Id) {
  Request Done = m_Running.at(Id).m_Request;
  m_Running.erase(Id);
  if (m_Cold && --m_WarmUpLeft == 0)
    turnWarm();
  if (m_Crossing)
    answerCrossed(Done);
  else
    answer(Done, m_Cutting ? AnswerKind::CutShort : AnswerKind::Whole);
  beginQueued();
}

void FakeServer::beginQueued() {
  size_t Slots = m_Service.m_Entry.m_Limits.m_Slots;
  while (!m_Backlog.empty() && m_Running.size() < Slots) {
    Request Next = m_Backlog.front();
    m_Backlog.pop_front();
    if (Next.m_Deadline <= m_Queue.now())
      answer(Next, AnswerKind::Shed);
    else
      begin(Next);
  }
}

void FakeServer::answer(const Request &Request, AnswerKind Kind) {
  Answer Answer{Kind, Request.m_Call, report()};
  if (m_Lateness == Duration::zero())
    return m_Sink(Request.m_Id, Answer);
  m_Queue.after(m_Lateness,
                [this, Id = Request.m_Id, Answer] { m_Sink(Id, Answer); });
}

void FakeServer::answerCrossed(const Request &Request) {
  if (!m_Crossed) {
    m_Crossed = Request;
    return;
  }
  m_Sink(Request.m_Id, {AnswerKind::Whole, m_Crossed->m_Call, report()});
  m_Sink(m_Crossed->m_Id, {AnswerKind::Whole, Request.m_Call, report()});
  m_Crossed.reset();
}

void FakeServer::setCrossing(bool Crossing) {
  m_Crossing = Crossing;
  if (!m_Crossed)
    return;
  answer(*m_Crossed, AnswerKind::Whole);
  m_Crossed.reset();
}

void FakeServer::cancel(RequestId Id) {
  auto Run = m_Running.find(Id);
  if (Run != m_Running.end()) {
    Request Stopped = Run->second.m_Request;
    m_Running.erase(Run);
    answer(Stopped, AnswerKind::Cancelled);
    beginQueued();
    return;
  }
  auto Queued = std::ranges::find(m_Backlog, Id, &Request::m_Id);
  if (Queued == m_Backlog.end())
    return;
  Request Stopped = *Queued;
  m_Backlog.erase(Queued);
  answer(Stopped, AnswerKind::Cancelled);
}

void FakeServer::stop() {
  m_Up = false;
  m_Crossed.reset();
  std::vector<Request> Held(m_Backlog.begin(), m_Backlog.end());
  for (auto &[Id, Run] : m_Running)
    Held.push_back(Run.m_Request);
  m_Backlog.clear();
  m_Running.clear();
  for (const Request &Request : Held)
    m_Sink(Request.m_Id, {AnswerKind::Reset, Request.m_Call, report()});
}

void FakeServer::start(bool Cold) {
  m_Up = true;
  ++m_Boot;
  m_Draining = false;
  m_Cold = false;
  if (Cold)
    turnCold();
}

} // namespace hyssopcross::testbed
