#include "hyssopcross/load/Caller.h"
#include "hyssopcross/protocol/Headers.h"
#include <algorithm>
#include <charconv>
#include <thread>

namespace hyssopcross::load {

using catalogue::ServiceClass;

namespace {

/// How much longer than the system a caller waits, so that the system's own
/// answer at the deadline still arrives.
constexpr Duration Grace = std::chrono::milliseconds(500);
/// How long a caller that has no address waits before it asks again.
constexpr Duration NoAddressPause = std::chrono::milliseconds(100);
constexpr Duration LongestPause = std::chrono::seconds(1);
constexpr size_t MaxNotSent = 4;
constexpr size_t MaxLookupAttempts = 2;
constexpr size_t MaxUploadAttempts = 3;
constexpr size_t MaxMoneyAttempts = 5;

Duration readRetryAfter(const httpclient::Response &Answer) {
  std::string_view Text = Answer.header(protocol::RetryAfterMsHeader);
  int64_t Milliseconds = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  Duration Read = std::chrono::milliseconds(Milliseconds);
  return std::clamp(Read, Duration::zero(), LongestPause);
}

httpclient::Request buildHttp(const PlannedCall &Call,
                              const CallRequest &Request,
                              const std::string &Correlation,
                              const std::string &Address,
                              std::chrono::milliseconds Timeout) {
  httpclient::Request Http;
  Http.m_Method = Request.m_Method;
  Http.m_Url = "http://" + Address + "/call/" +
               httpclient::escapeUrl(Call.m_Service.m_Name) + Request.m_Target;
  Http.m_Headers = {{protocol::CorrelationHeader, Correlation},
                    {protocol::TimeoutHeader, std::to_string(Timeout.count())},
                    {protocol::ShareHeader, Call.m_DataCentre}};
  if (Call.m_Service.m_Class != ServiceClass::Lookup) {
    Http.m_Headers.push_back(
        {protocol::IdempotencyKeyHeader, Request.m_IdempotencyKey});
    Http.m_Headers.push_back({protocol::ContentDigestHeader, Request.m_Digest});
    Http.m_Headers.push_back({"Content-Type", "application/octet-stream"});
  }
  Http.m_Body = Request.m_Body;
  Http.m_Timeout = Timeout + Grace;
  return Http;
}

size_t countTold(const CallRecord &Record, Told Told) {
  return static_cast<size_t>(std::count_if(
      Record.m_Attempts.begin(), Record.m_Attempts.end(),
      [Told](const AttemptRecord &Attempt) { return Attempt.m_Told == Told; }));
}

} // namespace

CallRecord Caller::run(const PlannedCall &Call) {
  CallRequest Request = buildRequest(Call, m_Options.m_RunName);
  CallRecord Record;
  Record.m_Class = Call.m_Service.m_Class;
  Record.m_Service = Call.m_Service.m_Name;
  Record.m_IdempotencyKey = Request.m_IdempotencyKey;
  Record.m_Digest = Request.m_Digest;
  Record.m_Length = Request.m_Body.size();
  std::string Address;
  while (true) {
    Duration RetryAfter{};
    Record.m_Attempts.push_back(
        attempt(Call, Request, Record.m_Attempts.size(), Address, RetryAfter));
    if (!triesAgain(Call, Record))
      return Record;
    std::this_thread::sleep_for(RetryAfter);
  }
}

// Address is the one of the previous attempt, which is avoided, and becomes
// the one used.
AttemptRecord Caller::attempt(const PlannedCall &Call,
                              const CallRequest &Request, size_t Number,
                              std::string &Address, Duration &RetryAfter) {
  const std::string &Service = Call.m_Service.m_Name;
  std::string Correlation = m_Options.m_RunName + "-c" +
                            std::to_string(Call.m_Index) + "-" +
                            std::to_string(Number);
  auto Chosen = m_Addresses.choose(Service, Call.m_DataCentre, Address);
  if (!Chosen) {
    RetryAfter = NoAddressPause;
    return {std::move(Correlation), Told::NotSent, "", "", "no address"};
  }
  Address = Chosen.value();
  auto Answer = m_Client.send(
      buildHttp(Call, Request, Correlation, Address, m_Options.m_Timeout));
  if (!Answer) {
    m_Addresses.reportFailure(Address);
  } else {
    std::string_view Better =
        Answer.value().header(protocol::BetterAddressHeader);
    if (!Better.empty())
      m_Addresses.prefer(Service, Call.m_DataCentre, Better);
    RetryAfter = readRetryAfter(Answer.value());
  }
  return recordAttempt(Call, Request, std::move(Correlation), Answer);
}

// What was not sent may go elsewhere; what may have run is repeated only if
// that is harmless. A refusal is the caller's answer.
bool Caller::triesAgain(const PlannedCall &Call,
                        const CallRecord &Record) const {
  Told Last = Record.m_Attempts.back().m_Told;
  size_t NotSent = countTold(Record, Told::NotSent);
  if (Last == Told::NotSent)
    return NotSent < MaxNotSent;
  size_t Sent = Record.m_Attempts.size() - NotSent;
  bool MayHaveRun = callOutcome(Record) == CallOutcome::Unknown;
  switch (Call.m_Service.m_Class) {
  case ServiceClass::Lookup:
    return MayHaveRun && Last != Told::NotRun && Sent < MaxLookupAttempts;
  case ServiceClass::Money:
    return m_Options.m_RetryMoney && MayHaveRun && Sent < MaxMoneyAttempts;
  case ServiceClass::Upload:
    return MayHaveRun && Sent < MaxUploadAttempts;
  }
  return false;
}

} // namespace hyssopcross::load
