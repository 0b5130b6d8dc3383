#include "hyssopcross/entry/UploadsHost.h"
#include "hyssopcross/base/Invariant.h"
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace hyssopcross::entry {

using balancing::AttemptEnd;

namespace {

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
  Made.m_ContentType = backend::findHeader(Answer, "Content-Type");
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
                         uint64_t Seed, const Clock &Time,
                         boost::asio::io_context &Loop, StoreAccess &Store,
                         Timers &Wakes, Deliver Delivery)
    : m_Clock(Time), m_Loop(Loop), m_Store(Store), m_Timers(Wakes),
      m_Deliver(std::move(Delivery)),
      m_State(std::move(Process), Policy, Seed) {}

void UploadsHost::run(const uploads::UploadHead &Head,
                      std::shared_ptr<const std::string> Body,
                      WallTime Deadline, SendCall Send, AnswerCallback Done) {
  std::lock_guard Lock(m_Mutex);
  uploads::CallId Call = ++m_LastCall;
  m_Calls[Call] = {std::move(Body), std::move(Send), std::move(Done)};
  stepLocked(uploads::UploadArrived{Call, Head, Deadline});
}

void UploadsHost::receipt(const std::string &Service, const std::string &Key,
                          AnswerCallback Done) {
  std::lock_guard Lock(m_Mutex);
  uploads::CallId Call = ++m_LastCall;
  m_Calls[Call].m_Done = std::move(Done);
  stepLocked(uploads::ReceiptAsked{Call, Service, Key});
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
  const SendCall &Send = m_Calls.at(Action.m_Call).m_Send;
  boost::asio::post(m_Loop, [this, Action, Send] {
    Send(Action.m_Identity,
         [this, Call = Action.m_Call](const CallResult &Result) {
           uploads::SendEnded Ended;
           Ended.m_Call = Call;
           fill(Result, Ended);
           if (const auto *Refused = std::get_if<CallRefused>(&Result))
             Ended.m_RetryAfter = Refused->m_RetryAfter;
           apply(Ended);
         });
  });
}

void UploadsHost::carryOut(const uploads::HoldBody &Action) {
  request(records::PutObject{Action.m_Request, Action.m_ObjectKey,
                             *m_Calls.at(Action.m_Call).m_Body});
}

void UploadsHost::carryOut(const uploads::DeliverUpload &Action) {
  boost::asio::post(m_Loop, [this, Action] {
    m_Deliver(Action,
              [this, Delivery = Action.m_Delivery](const CallResult &Result) {
                uploads::DeliveryEnded Ended;
                Ended.m_Delivery = Delivery;
                fill(Result, Ended);
                apply(Ended);
              });
  });
}

void UploadsHost::carryOut(const uploads::Answer &Action) {
  auto Known = m_Calls.find(Action.m_Call);
  HYSSOPCROSS_INVARIANT(Known != m_Calls.end(), "a call is answered once");
  boost::asio::post(m_Loop, [Done = std::move(Known->second.m_Done), Action] {
    Done(Action);
  });
  m_Calls.erase(Known);
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
