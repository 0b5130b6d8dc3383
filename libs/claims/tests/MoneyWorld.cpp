#include "MoneyWorld.h"

namespace hyssopcross::claims::testing {

namespace {

bool isNotRun(AnswerKind Kind) {
  return Kind == AnswerKind::StoreDown || Kind == AnswerKind::Refused ||
         Kind == AnswerKind::DeadlinePassed;
}

} // namespace

void MoneyWorld::restart(size_t Index) {
  Process &Of = m_Processes[Index];
  Of.m_Incarnation++;
  Of.m_State.emplace("vm" + std::to_string(Index) + "-" +
                         std::to_string(Of.m_Incarnation),
                     m_Policy, m_Time.below(1U << 30U));
}

void MoneyWorld::crash(size_t Index) {
  for (const auto &[Id, Claim] : m_Processes[Index].m_State->m_Claims) {
    bool SaidNotRun = m_Calls[Id].m_Said && isNotRun(*m_Calls[Id].m_Said);
    if (!SaidNotRun)
      m_Keys[Claim.m_Arrival.m_Key].m_Orphaned = true;
  }
  restart(Index);
}

void MoneyWorld::feed(size_t Index, uint64_t Incarnation, const Event &Event) {
  Process &Of = m_Processes[Index];
  if (Of.m_Incarnation != Incarnation)
    return;
  records::Instant Now = m_Time.now();
  if (Of.m_FrozenUntil > Now.m_Now) {
    m_Time.in(Of.m_FrozenUntil - Now.m_Now,
              [=, this] { feed(Index, Incarnation, Event); });
    return;
  }
  std::vector<Action> Actions;
  step(*Of.m_State, Event, Now, Actions);
  for (const Action &Next : Actions) {
    perform(Index, Next);
    if (m_Time.below(1000) < m_Rates.m_StepCrashes) {
      crash(Index);
      return;
    }
  }
}

void MoneyWorld::perform(size_t Index, const Action &Action) {
  uint64_t Incarnation = m_Processes[Index].m_Incarnation;
  auto Reply = [=, this](const Event &Event) {
    feed(Index, Incarnation, Event);
  };
  auto Later = [=, this](Duration Delay, const Event &Event) {
    m_Time.in(Delay, [=, this] { feed(Index, Incarnation, Event); });
  };
  if (auto *Start = std::get_if<StartCall>(&Action)) {
    if (m_Time.chance(m_Rates.m_RefusedPercent))
      Later(m_Time.between(0ms, 20ms), CallRefused{Start->m_Call, 100ms});
    else
      Later(m_Time.between(0ms, 20ms), SendAsked{Start->m_Call});
  } else if (auto *Allow = std::get_if<AllowSend>(&Action))
    send(Index, Allow->m_Call);
  else if (auto *Said = std::get_if<Answer>(&Action))
    said(*Said);
  else if (auto *Wake = std::get_if<WakeAt>(&Action))
    Later(std::max(Duration(), Wake->m_Time - m_Time.now().m_Now), Woke{});
  else if (auto *Read = std::get_if<records::ReadRow>(&Action))
    m_Store.perform(*Read, Reply);
  else if (auto *Scan = std::get_if<records::ScanRows>(&Action))
    m_Store.perform(*Scan, Reply);
  else if (auto *Commit = std::get_if<records::CommitRows>(&Action))
    m_Store.perform(*Commit, Reply);
  else if (auto *Put = std::get_if<records::PutObject>(&Action))
    m_Store.perform(*Put, Reply);
  else if (auto *Get = std::get_if<records::GetObject>(&Action))
    m_Store.perform(*Get, Reply);
  else if (auto *Remove = std::get_if<records::RemoveObject>(&Action))
    m_Store.perform(*Remove);
}

void MoneyWorld::send(size_t Index, CallId Id) {
  Call &Of = m_Calls[Id];
  uint64_t Incarnation = m_Processes[Index].m_Incarnation;
  auto End = [=, this](Duration Delay, SendEnd End) {
    m_Time.in(Delay, [=, this] {
      RecordedAnswer Answer{200, "text/plain",
                            m_Keys[m_Calls[Id].m_Key].m_Body};
      feed(Index, Incarnation, SendEnded{Id, End, Answer});
    });
  };
  if (m_Time.now().m_Wall >= Of.m_Deadline)
    wrong("sent after the deadline");
  if (m_Time.chance(m_Rates.m_ShedPercent)) {
    End(3ms, SendEnd::NotRun);
    m_Time.in(8ms, [=, this] { feed(Index, Incarnation, SendAsked{Id}); });
    return;
  }
  bool Broken = m_Time.chance(m_Rates.m_BrokenPercent);
  if (!Broken || m_Time.chance(50))
    execute(Of);
  End(m_Time.between(5ms, 400ms),
      Broken ? SendEnd::Broken : SendEnd::Completed);
}

void MoneyWorld::execute(Call &Of) {
  Key &Target = m_Keys[Of.m_Key];
  Target.m_ExecutedAt = m_Time.now().m_Now;
  Target.m_Body = "ran " + Of.m_Digest + std::string(Of.m_Digest.size(), 'x');
  m_Executions++;
  Of.m_Executions++;
  if (++Target.m_Executions > 1)
    wrong("ran twice: " + Of.m_Key);
  if (Of.m_Said && isNotRun(*Of.m_Said))
    wrong("ran after not-run");
}

void MoneyWorld::said(const Answer &Answer) {
  Call &Of = m_Calls[Answer.m_Call];
  const Key &Target = m_Keys[Of.m_Key];
  m_AnswersSaid++;
  if (Of.m_Said)
    wrong("answered twice");
  Of.m_Said = Answer.m_Kind;
  if (isNotRun(Answer.m_Kind) && Of.m_Executions > 0)
    wrong("not-run of a call that ran");
  bool RanBefore =
      Target.m_Executions > 0 && Target.m_ExecutedAt < Of.m_Arrived;
  if (isNotRun(Answer.m_Kind) && Of.m_Repeat && RanBefore)
    wrong("not-run of a repeated key that ran");
  bool HasAnswer = Answer.m_Kind == AnswerKind::Completed ||
                   Answer.m_Kind == AnswerKind::Recorded;
  if (HasAnswer && (Target.m_Executions == 0 ||
                    !Answer.m_Answer.m_Body.starts_with("ran " + Of.m_Digest)))
    wrong("answer of another request");
  if (HasAnswer || Answer.m_Kind == AnswerKind::OtherRequest || Of.m_Try >= 5)
    return;
  m_Time.in(Answer.m_RetryAfter + 1ms,
            [this, KeyName = Of.m_Key, Digest = Of.m_Digest, Try = Of.m_Try] {
              arrive(KeyName, Digest, Try + 1, true, drawTimeout());
            });
}

void MoneyWorld::arrive(const std::string &KeyName, const std::string &Digest,
                        uint32_t Try, bool Repeat, Duration Allowed) {
  CallId Id = ++m_LastCall;
  Call &Of = m_Calls[Id];
  Of.m_Key = KeyName;
  Of.m_Digest = Digest;
  Of.m_Process = m_Time.below(Processes);
  Of.m_Incarnation = m_Processes[Of.m_Process].m_Incarnation;
  Of.m_Arrived = m_Time.now().m_Now;
  Of.m_Deadline = m_Time.now().m_Wall + Allowed;
  Of.m_Repeat = Repeat;
  Of.m_Try = Try;
  feed(Of.m_Process, m_Processes[Of.m_Process].m_Incarnation,
       MoneyArrived{Id, "caja", KeyName, Digest, Of.m_Deadline, Repeat});
}

void MoneyWorld::planFaults() {
  for (uint32_t I = 0; I < m_Rates.m_Crashes; ++I)
    m_Time.in(m_Time.between({}, Span),
              [this] { crash(m_Time.below(Processes)); });
  for (uint32_t I = 0; I < m_Rates.m_Freezes; ++I)
    m_Time.in(m_Time.between({}, Span), [this] {
      m_Processes[m_Time.below(Processes)].m_FrozenUntil =
          m_Time.now().m_Now + m_Time.between(50ms, 2000ms);
    });
  for (uint32_t I = 0; I < m_Rates.m_Outages; ++I)
    m_Time.in(m_Time.between({}, Span), [this] {
      m_Store.m_Down = true;
      m_Time.in(m_Time.between(10ms, 1500ms),
                [this] { m_Store.m_Down = false; });
    });
}

void MoneyWorld::planCallers() {
  for (size_t I = 0; I < Keys; ++I) {
    std::string Name = "key" + std::to_string(I);
    // Some answers outgrow the row and go to the object store.
    std::string Digest(I % 5 == 0 ? 4000 : 8, 'a');
    Duration At = m_Time.between({}, Span);
    m_Time.in(At, [=, this] { arrive(Name, Digest, 0, false, drawTimeout()); });
    if (m_Time.chance(40))
      m_Time.in(At + m_Time.between(0ms, 30ms),
                [=, this] { arrive(Name, Digest, 0, false, drawTimeout()); });
    if (m_Time.chance(20))
      m_Time.in(At + m_Time.between(0ms, 900ms),
                [=, this] { arrive(Name, "other", 5, false, drawTimeout()); });
  }
}

/// With all well again, a key that never ran and whose claims were all
/// withdrawn can run.
void MoneyWorld::checkRefusedKeysRun() {
  m_Store.m_Down = false;
  m_Store.m_LostPercent = 0;
  m_Rates = NoFaults;
  m_Time.run(30s);
  for (auto &[Name, Target] : m_Keys) {
    if (Target.m_Orphaned || Target.m_Executions > 0)
      continue;
    bool Sure = true;
    std::string Digest;
    for (const auto &[Id, Of] : m_Calls) {
      if (Of.m_Key != Name)
        continue;
      Digest = Digest.empty() ? Of.m_Digest : Digest;
      Sure = Sure && Of.m_Said && *Of.m_Said != AnswerKind::Broken &&
             *Of.m_Said != AnswerKind::TimedOut &&
             *Of.m_Said != AnswerKind::OtherRequest && Of.m_Digest == Digest;
    }
    if (!Sure)
      continue;
    arrive(Name, Digest, 5, true, 5s);
    CallId Id = m_LastCall;
    m_Time.run(5s);
    if (m_Calls[Id].m_Said != AnswerKind::Completed)
      wrong("a key that was refused cannot run: " + Name);
  }
}

std::string MoneyWorld::run() {
  planFaults();
  planCallers();
  m_Time.run(Span + 10s);
  for (const auto &[Id, Of] : m_Calls)
    if (!Of.m_Said &&
        Of.m_Incarnation == m_Processes[Of.m_Process].m_Incarnation)
      wrong("a call was not answered");
  checkRefusedKeysRun();
  for (const auto &[Name, Target] : m_Keys)
    if (Target.m_Executions > 1)
      wrong("ran twice");
  return m_Wrong;
}

} // namespace hyssopcross::claims::testing
