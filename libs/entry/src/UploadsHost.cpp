#include "hyssopcross/entry/UploadsHost.h"
#include <nlohmann/json.hpp>
#include <strings.h>

namespace hyssopcross::entry {

using balancing::AttemptEnd;

namespace {

/// Threads that deliver held uploads.
constexpr unsigned DeliveryThreads = 2;

/// Reads what the server confirms to have stored; a body that is no receipt
/// confirms nothing.
void readReceipt(const std::string &Body, uploads::ServerAnswer &Answer) {
  nlohmann::json Document =
      nlohmann::json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Document.is_object())
    return;
  auto Receipt = Document.find("receipt");
  auto Length = Document.find("length");
  if (Receipt != Document.end() && Receipt->is_string())
    Answer.m_StoredDigest = Receipt->get<std::string>();
  if (Length != Document.end() && Length->is_number_unsigned())
    Answer.m_StoredLength = Length->get<uint64_t>();
}

uploads::ServerAnswer toUploads(const backend::ServerAnswer &Answer) {
  uploads::ServerAnswer Made;
  Made.m_Status = static_cast<uint16_t>(Answer.m_Status);
  Made.m_Body = Answer.m_Body;
  for (const auto &[Name, Value] : Answer.m_Headers)
    if (strcasecmp(Name.c_str(), "Content-Type") == 0)
      Made.m_ContentType = Value;
  readReceipt(Answer.m_Body, Made);
  return Made;
}

uploads::SendEnd toSendEnd(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Completed:
    return uploads::SendEnd::Answered;
  case AttemptEnd::Shed:
  case AttemptEnd::NotSent:
    return uploads::SendEnd::NotRun;
  case AttemptEnd::Broken:
  case AttemptEnd::Cancelled:
    break;
  }
  return uploads::SendEnd::Broken;
}

/// Fills in how a send or a delivery ended.
template <typename Ended> void fill(const CallResult &Result, Ended &Event) {
  Event.m_End = uploads::SendEnd::NotRun;
  const auto *Answered = std::get_if<CallAnswered>(&Result);
  if (!Answered)
    return;
  Event.m_End = toSendEnd(Answered->m_Answer.m_End);
  if (Event.m_End == uploads::SendEnd::Answered)
    Event.m_Answer = toUploads(Answered->m_Answer);
}

} // namespace

UploadsHost::UploadsHost(std::string Process, uploads::UploadPolicy Policy,
                         uint64_t Seed, const Clock &Time, StoreAccess &Store,
                         Loop &Timers, Deliver Delivery)
    : m_Clock(Time), m_Store(Store), m_Timers(Timers),
      m_Deliver(std::move(Delivery)), m_State(std::move(Process), Policy, Seed),
      m_Deliveries(std::make_unique<Workers>(DeliveryThreads)) {}

uploads::Answer
UploadsHost::run(const uploads::UploadHead &Head, std::string_view Body,
                 WallTime Deadline,
                 const std::function<CallResult(const std::string &)> &Send) {
  WaitingCall Waiting;
  Waiting.m_Body = Body;
  std::unique_lock Lock(m_Mutex);
  uploads::CallId Call = ++m_LastCall;
  m_Waiting[Call] = &Waiting;
  stepLocked(uploads::UploadArrived{Call, Head, Deadline});
  while (!Waiting.m_Answer) {
    Waiting.m_Changed.wait(
        Lock, [&Waiting] { return Waiting.m_Answer || Waiting.m_Send; });
    if (!Waiting.m_Send)
      continue;
    std::string Identity = std::move(*Waiting.m_Send);
    Waiting.m_Send.reset();
    Lock.unlock();
    CallResult Result = Send(Identity);
    Lock.lock();
    uploads::SendEnded Ended;
    Ended.m_Call = Call;
    fill(Result, Ended);
    if (const auto *Refused = std::get_if<CallRefused>(&Result))
      Ended.m_RetryAfter = Refused->m_RetryAfter;
    stepLocked(Ended);
  }
  m_Waiting.erase(Call);
  return std::move(*Waiting.m_Answer);
}

uploads::Answer UploadsHost::receipt(const std::string &Service,
                                     const std::string &Key) {
  WaitingCall Waiting;
  std::unique_lock Lock(m_Mutex);
  uploads::CallId Call = ++m_LastCall;
  m_Waiting[Call] = &Waiting;
  stepLocked(uploads::ReceiptAsked{Call, Service, Key});
  Waiting.m_Changed.wait(Lock,
                         [&Waiting] { return Waiting.m_Answer.has_value(); });
  m_Waiting.erase(Call);
  return std::move(*Waiting.m_Answer);
}

void UploadsHost::setDeliverer(const std::string &Service, bool Delivers) {
  apply(uploads::DelivererChanged{Service, Delivers});
}

uploads::UploadCounters UploadsHost::counters() {
  std::lock_guard Lock(m_Mutex);
  return m_State.m_Counters;
}

void UploadsHost::apply(const uploads::Event &Event) {
  std::lock_guard Lock(m_Mutex);
  stepLocked(Event);
}

void UploadsHost::stepLocked(const uploads::Event &Event) {
  std::vector<uploads::Action> Actions;
  step(m_State, Event, {m_Clock.now(), m_Clock.wallNow()}, Actions);
  for (const uploads::Action &Next : Actions)
    std::visit([this](const auto &Known) { carryOut(Known); }, Next);
}

void UploadsHost::carryOut(const uploads::SendUpload &Action) {
  WaitingCall &Call = *m_Waiting.at(Action.m_Call);
  Call.m_Send = Action.m_Identity;
  Call.m_Changed.notify_one();
}

void UploadsHost::carryOut(const uploads::HoldBody &Action) {
  std::string Body(m_Waiting.at(Action.m_Call)->m_Body);
  request(records::PutObject{Action.m_Request, Action.m_ObjectKey,
                             std::move(Body)});
}

void UploadsHost::carryOut(const uploads::DeliverUpload &Action) {
  bool Posted = m_Deliveries->post([this, Action] {
    uploads::DeliveryEnded Ended;
    Ended.m_Delivery = Action.m_Delivery;
    fill(m_Deliver(Action), Ended);
    apply(Ended);
  });
  if (Posted)
    return;
  m_Timers.post([this, Delivery = Action.m_Delivery] {
    apply(uploads::DeliveryEnded{Delivery, uploads::SendEnd::NotRun, {}});
  });
}

void UploadsHost::carryOut(const uploads::Answer &Action) {
  WaitingCall &Call = *m_Waiting.at(Action.m_Call);
  Call.m_Answer = Action;
  Call.m_Changed.notify_one();
}

void UploadsHost::carryOut(const uploads::WakeAt &Action) {
  m_Timers.schedule("uploads", Action.m_Time,
                    [this] { apply(uploads::Woke{}); });
}

void UploadsHost::carryOut(const records::RemoveObject &Action) {
  m_Store.run(Action);
}

template <typename Request> void UploadsHost::carryOut(const Request &Action) {
  request(Action);
}

template <typename Request> void UploadsHost::request(const Request &Action) {
  // A refused request is answered at once, on this thread, which holds the
  // lock; so every answer goes through the timers' thread.
  m_Store.run(Action, [this](auto Answer) {
    m_Timers.post([this, Answer = std::move(Answer)] { apply(Answer); });
  });
}

} // namespace hyssopcross::entry
