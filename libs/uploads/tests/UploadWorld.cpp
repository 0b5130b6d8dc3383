#include "UploadWorld.h"

namespace hyssopcross::uploads::testing {

namespace {

std::string digestOf(const std::string &Body) { return "digest of " + Body; }

bool isNotRun(AnswerKind Kind) {
  return Kind == AnswerKind::Refused || Kind == AnswerKind::DeadlinePassed;
}

} // namespace

UploadWorld::UploadWorld(uint64_t Seed, Faults Rates, UploadPolicy Policy)
    : m_Time(Seed), m_Store(m_Time), m_Rates(Rates), m_Policy(Policy) {
  m_Store.m_LostPercent = Rates.m_LostPercent;
}

void UploadWorld::restart(size_t Index) {
  Process &Of = m_Processes[Index];
  Of.m_Incarnation++;
  Of.m_State.emplace("vm" + std::to_string(Index) + "-" +
                         std::to_string(Of.m_Incarnation),
                     m_Policy, m_Time.below(1U << 30U));
  // Two processes believe that they deliver.
  feed(Index, Of.m_Incarnation, DelivererChanged{"fotos", Index < 2});
}

void UploadWorld::feed(size_t Index, uint64_t Incarnation, const Event &Event) {
  Process &Of = m_Processes[Index];
  if (Of.m_Incarnation != Incarnation)
    return;
  std::vector<Action> Actions;
  step(*Of.m_State, Event, m_Time.now(), Actions);
  for (const Action &Next : Actions) {
    perform(Index, Next);
    if (m_Time.below(1000) < m_Rates.m_StepCrashes) {
      restart(Index);
      return;
    }
  }
}

void UploadWorld::perform(size_t Index, const Action &Action) {
  uint64_t Incarnation = m_Processes[Index].m_Incarnation;
  auto Reply = [=, this](const Event &Event) {
    feed(Index, Incarnation, Event);
  };
  if (auto *Send = std::get_if<SendUpload>(&Action)) {
    const Call &Of = m_Calls[Send->m_Call];
    serve(Of.m_Key, Send->m_Identity, Of.m_Body, Send->m_Call,
          [Reply, Id = Send->m_Call](SendEnd End, const ServerAnswer &Answer,
                                     Duration RetryAfter) {
            Reply(SendEnded{Id, End, Answer, RetryAfter});
          });
  } else if (auto *Deliver = std::get_if<DeliverUpload>(&Action))
    serve(Deliver->m_Head.m_Key, Deliver->m_Identity, Deliver->m_Body,
          holderOf(Index, Deliver->m_Delivery),
          [Reply, Id = Deliver->m_Delivery](
              SendEnd End, const ServerAnswer &Answer, Duration) {
            Reply(DeliveryEnded{Id, End, Answer});
          });
  else if (auto *Hold = std::get_if<HoldBody>(&Action)) {
    m_Holders[Hold->m_ObjectKey] = Hold->m_Call;
    m_Store.perform(records::PutObject{Hold->m_Request, Hold->m_ObjectKey,
                                       m_Calls[Hold->m_Call].m_Body},
                    Reply);
  } else if (auto *Said = std::get_if<Answer>(&Action))
    said(*Said);
  else if (auto *Wake = std::get_if<WakeAt>(&Action))
    m_Time.in(std::max(Duration(), Wake->m_Time - m_Time.now().m_Now),
              [=] { Reply(Woke{}); });
  else if (auto *Read = std::get_if<records::ReadRow>(&Action))
    m_Store.perform(*Read, Reply);
  else if (auto *Scan = std::get_if<records::ScanRows>(&Action))
    m_Store.perform(*Scan, Reply);
  else if (auto *Commit = std::get_if<records::CommitRows>(&Action))
    m_Store.perform(*Commit, Reply);
  else if (auto *Get = std::get_if<records::GetObject>(&Action))
    m_Store.perform(*Get, Reply);
  else if (auto *Remove = std::get_if<records::RemoveObject>(&Action))
    m_Store.perform(*Remove);
}

/// The call whose body is being delivered.
CallId UploadWorld::holderOf(size_t Index, DeliveryId Delivery) {
  const auto &Deliveries = m_Processes[Index].m_State->m_Deliveries;
  return m_Holders.at(Deliveries.at(Delivery).m_Receipt.m_ObjectKey);
}

template <typename End>
void UploadWorld::serve(const std::string &Key, const std::string &Identity,
                        const std::string &Body, CallId Call, End Ended) {
  auto Later = [=, this](SendEnd How, const ServerAnswer &Answer,
                         Duration RetryAfter = {}) {
    m_Time.in(m_Time.between(2ms, 120ms),
              [=] { Ended(How, Answer, RetryAfter); });
  };
  if (m_ServerDown || m_Time.chance(m_Rates.m_RefusedPercent)) {
    Later(SendEnd::NotRun, {}, m_Time.chance(50) ? 100ms : Duration());
    return;
  }
  bool Broken = m_Time.chance(m_Rates.m_BrokenPercent);
  if (Broken && m_Time.chance(50)) {
    Later(SendEnd::Broken, {});
    return;
  }
  // A body that was cut on the way is answered with what did arrive.
  bool Cut = m_Time.chance(m_Rates.m_CutPercent);
  std::string Arrived = Cut ? Body.substr(0, Body.size() / 2) : Body;
  if (!Cut) {
    m_Stored.emplace(Identity, Body);
    m_Identities[Key].insert(Identity);
    if (m_Calls[Call].m_Said && isNotRun(*m_Calls[Call].m_Said))
      wrong("stored after not-run");
    m_Calls[Call].m_Stored = true;
  }
  ServerAnswer Answer{201, "text/plain", "ok", digestOf(Arrived),
                      Arrived.size()};
  if (!Cut && m_Stored[Identity] != Body)
    Answer = {422, "text/plain", "another body", "", 0};
  Later(Broken ? SendEnd::Broken : SendEnd::Answered, Answer);
}

void UploadWorld::said(const Answer &Answer) {
  Call &Of = m_Calls[Answer.m_Call];
  if (Of.m_Said)
    wrong("answered twice");
  Of.m_Said = Answer.m_Kind;
  Of.m_Status = Answer.m_Answer.m_Status;
  if (isNotRun(Answer.m_Kind) && Of.m_Stored)
    wrong("not-run of an upload that was stored");
  m_SaidHeld += Answer.m_Kind == AnswerKind::Held ? 1 : 0;
  bool Retry =
      isNotRun(Answer.m_Kind) || Answer.m_Kind == AnswerKind::Unresolved;
  if (!Retry || Of.m_Try >= 6)
    return;
  m_Time.in(Answer.m_RetryAfter + 1ms,
            [this, Key = Of.m_Key, Body = Of.m_Body, Try = Of.m_Try] {
              arrive(Key, Body, Try + 1);
            });
}

void UploadWorld::arrive(const std::string &Key, const std::string &Body,
                         uint32_t Try) {
  CallId Id = ++m_LastCall;
  Call &Of = m_Calls[Id];
  Of.m_Key = Key;
  Of.m_Body = Body;
  Of.m_Process = m_Time.below(Processes);
  Of.m_Incarnation = m_Processes[Of.m_Process].m_Incarnation;
  Of.m_Try = Try;
  UploadHead Head{"fotos",        Key,        "POST", "/photo", "image/png",
                  digestOf(Body), Body.size()};
  feed(Of.m_Process, Of.m_Incarnation,
       UploadArrived{Id, Head,
                     m_Time.now().m_Wall + m_Time.between(50ms, 2500ms)});
}

void UploadWorld::plan() {
  for (uint32_t I = 0; I < m_Rates.m_Crashes; ++I)
    m_Time.in(m_Time.between({}, Span),
              [this] { restart(m_Time.below(Processes)); });
  for (uint32_t I = 0; I < m_Rates.m_Outages; ++I)
    m_Time.in(m_Time.between({}, Span), [this] {
      m_Store.m_Down = true;
      m_Time.in(m_Time.between(10ms, 2s), [this] { m_Store.m_Down = false; });
    });
  for (uint32_t I = 0; I < m_Rates.m_ServerOutages; ++I)
    m_Time.in(m_Time.between({}, Span), [this] {
      m_ServerDown = true;
      m_Time.in(m_Time.between(100ms, 4s), [this] { m_ServerDown = false; });
    });
  for (size_t I = 0; I < Keys; ++I) {
    std::string Name = "key" + std::to_string(I);
    Duration At = m_Time.between({}, Span);
    m_Time.in(At, [=, this] { arrive(Name, "photo " + Name, 0); });
    if (m_Time.chance(30))
      m_Time.in(At + m_Time.between(0ms, 50ms),
                [=, this] { arrive(Name, "photo " + Name, 0); });
    if (m_Time.chance(20))
      m_Time.in(At + m_Time.between(0ms, 900ms),
                [=, this] { arrive(Name, "other of " + Name, 9); });
  }
}

bool UploadWorld::isStored(const Call &Of) const {
  auto Identities = m_Identities.find(Of.m_Key);
  if (Identities == m_Identities.end())
    return false;
  for (const std::string &Identity : Identities->second)
    if (m_Stored.at(Identity) == Of.m_Body)
      return true;
  return false;
}

/// The receipt says that the server refused this very body for good.
bool UploadWorld::isRejected(const Call &Of) const {
  auto Row = m_Store.m_Rows.find(rowKey("fotos", Of.m_Key));
  if (Row == m_Store.m_Rows.end())
    return false;
  const std::string &Value = Row->second.m_Value;
  return Value.find(R"("state":"rejected")") != std::string::npos &&
         Value.find(digestOf(Of.m_Body)) != std::string::npos;
}

/// With all well again, what was acknowledged is stored whole and once.
void UploadWorld::checkEnd() {
  m_Store.m_Down = m_ServerDown = false;
  m_Store.m_LostPercent = 0;
  m_Rates = {0, 0, 0, 0, 0, 0, 0, 0};
  m_Time.run(120s);
  for (const auto &[Id, Of] : m_Calls) {
    bool Alive = Of.m_Incarnation == m_Processes[Of.m_Process].m_Incarnation;
    if (!Of.m_Said && Alive)
      wrong("a call was not answered");
    bool Answered = Of.m_Said == AnswerKind::Answered && Of.m_Status < 300;
    bool Held = Of.m_Said == AnswerKind::Held && !isRejected(Of);
    if ((Answered || Held) && !isStored(Of))
      wrong("an acknowledged upload was lost: " + Of.m_Key);
  }
  for (const auto &[Key, Identities] : m_Identities)
    if (Identities.size() > 1)
      wrong("stored twice: " + Key);
  for (const auto &[Key, Row] : m_Store.m_Rows)
    if (Row.m_Value.find(R"("state":"held")") != std::string::npos)
      wrong("a held upload was not delivered");
}

std::string UploadWorld::run() {
  for (size_t I = 0; I < Processes; ++I)
    restart(I);
  plan();
  m_Time.run(Span + 10s);
  checkEnd();
  return m_Wrong;
}

} // namespace hyssopcross::uploads::testing
