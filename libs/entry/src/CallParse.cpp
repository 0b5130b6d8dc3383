#include "hyssopcross/entry/Call.h"
#include "hyssopcross/protocol/Headers.h"
#include <algorithm>
#include <array>
#include <charconv>

namespace hyssopcross::entry {

namespace {

constexpr std::string_view CallPrefix = "/call/";

/// Longest correlation id, idempotency key or share key, in bytes.
constexpr size_t MaxIdentifierBytes = 200;

/// Forwards between entry VMs that a request may name; more than any VM makes.
constexpr uint32_t MaxHops = 8;

/// Deepest nesting of calls.
constexpr uint32_t MaxDepth = 8;

constexpr std::array HopHeaders = {"Connection",
                                   "Content-Length",
                                   "Host",
                                   "Keep-Alive",
                                   "TE",
                                   "Trailer",
                                   "Transfer-Encoding",
                                   "Upgrade",
                                   "Expect",
                                   "Proxy-Connection"};

/// Headers that the entry VM sets anew on each hop.
constexpr std::array OwnHeaders = {
    protocol::CorrelationHeader, protocol::DeadlineHeader,
    protocol::TimeoutHeader,     protocol::DepthHeader,
    protocol::AttemptsHeader,    protocol::TraceParentHeader,
    protocol::HopsHeader,        protocol::PoolHeader,
    protocol::HandedOverHeader};

template <typename Names>
bool isOneOf(const Names &Listed, std::string_view Name) {
  return std::any_of(Listed.begin(), Listed.end(), [&](const char *Each) {
    return boost::beast::iequals(Each, http::toBoost(Name));
  });
}

bool isIdentifier(std::string_view Text) {
  return Text.size() <= MaxIdentifierBytes &&
         std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C < 0x7f; });
}

Result<std::string> readIdentifier(const http::Request &Request,
                                   const char *Name) {
  std::string_view Text = http::headerOf(Request, Name);
  if (!isIdentifier(Text))
    return fail(ErrorCode::InvalidInput,
                std::string("header ") + Name +
                    " must be at most 200 printable characters without spaces");
  return std::string(Text);
}

template <typename Number>
Result<Number> readNumber(const http::Request &Request, const char *Name,
                          Number Default, Number Least, Number Most) {
  auto Found = Request.find(Name);
  if (Found == Request.end())
    return Default;
  std::string_view Text = http::toView(Found->value());
  Number Value{};
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Failure != std::errc() || End != Text.data() + Text.size() ||
      Value < Least || Value > Most)
    return fail(ErrorCode::InvalidInput,
                std::string("header ") + Name + " must be a number from " +
                    std::to_string(Least) + " to " + std::to_string(Most));
  return Value;
}

void copyHeaders(const http::Request &Request, IncomingCall &Call) {
  for (const auto &Field : Request) {
    std::string_view Name = http::toView(Field.name_string());
    if (!isHopHeader(Name) && !isOneOf(OwnHeaders, Name))
      Call.m_Headers.emplace_back(Name, http::toView(Field.value()));
  }
}

Result<void> readIdentifiers(const http::Request &Request, IncomingCall &Call) {
  struct Field {
    const char *m_Name;
    std::string &m_Target;
  };
  const Field Fields[] = {
      {protocol::CorrelationHeader, Call.m_CorrelationId},
      {protocol::IdempotencyKeyHeader, Call.m_IdempotencyKey},
      {protocol::ContentDigestHeader, Call.m_ContentDigest},
      {protocol::TraceParentHeader, Call.m_TraceParent},
      {protocol::ShareHeader, Call.m_ShareKey},
      {protocol::PoolHeader, Call.m_PoolDataCentre}};
  for (const Field &Each : Fields) {
    auto Value = readIdentifier(Request, Each.m_Name);
    if (!Value)
      return fail(Value.error().m_Code, Value.error().m_Message);
    Each.m_Target = std::move(Value.value());
  }
  return boost::outcome_v2::success();
}

Result<void> readCounts(const http::Request &Request, IncomingCall &Call) {
  auto Attempts =
      readNumber<uint32_t>(Request, protocol::AttemptsHeader, 0, 0, UINT32_MAX);
  if (!Attempts)
    return fail(Attempts.error().m_Code, Attempts.error().m_Message);
  auto Depth =
      readNumber<uint32_t>(Request, protocol::DepthHeader, 1, 1, MaxDepth);
  if (!Depth)
    return fail(Depth.error().m_Code, Depth.error().m_Message);
  auto Hops =
      readNumber<uint32_t>(Request, protocol::HopsHeader, 0, 0, MaxHops);
  if (!Hops)
    return fail(Hops.error().m_Code, Hops.error().m_Message);
  auto HandedOver =
      readNumber<uint32_t>(Request, protocol::HandedOverHeader, 0, 0, 1);
  if (!HandedOver)
    return fail(HandedOver.error().m_Code, HandedOver.error().m_Message);
  Call.m_HandedOver = HandedOver.value() != 0;
  Call.m_Attempts = Attempts.value();
  Call.m_Depth = Depth.value();
  Call.m_Hops = Hops.value();
  return boost::outcome_v2::success();
}

Result<void> readDeadline(const http::Request &Request, WallTime Now,
                          Duration DefaultTimeout, IncomingCall &Call) {
  constexpr int64_t MaxTimeoutMs = 3'600'000;
  auto DefaultMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(DefaultTimeout);
  auto Timeout = readNumber<int64_t>(Request, protocol::TimeoutHeader,
                                     DefaultMs.count(), 1, MaxTimeoutMs);
  if (!Timeout)
    return fail(Timeout.error().m_Code, Timeout.error().m_Message);
  Call.m_Deadline = Now + std::chrono::milliseconds(Timeout.value());
  auto Absolute = readNumber<int64_t>(Request, protocol::DeadlineHeader, 0, 1,
                                      INT64_MAX / 1000);
  if (!Absolute)
    return fail(Absolute.error().m_Code, Absolute.error().m_Message);
  if (Absolute.value() != 0)
    Call.m_Deadline = std::min(
        Call.m_Deadline, WallTime(std::chrono::microseconds(Absolute.value())));
  return boost::outcome_v2::success();
}

} // namespace

bool isHopHeader(std::string_view Name) { return isOneOf(HopHeaders, Name); }

Result<IncomingCall> parseCall(http::Request &Request, WallTime Now,
                               Duration DefaultTimeout) {
  std::string_view Rest = http::toView(Request.target());
  if (Rest.substr(0, CallPrefix.size()) != CallPrefix)
    return fail(ErrorCode::InvalidInput, "the path must be /call/SERVICE/...");
  Rest.remove_prefix(CallPrefix.size());
  size_t End = std::min(Rest.find_first_of("/?"), Rest.size());
  IncomingCall Call;
  Call.m_Service = std::string(Rest.substr(0, End));
  Rest.remove_prefix(End);
  Call.m_Target =
      Rest.starts_with('/') ? std::string(Rest) : "/" + std::string(Rest);
  Call.m_Method = std::string(http::toView(Request.method_string()));
  auto Identifiers = readIdentifiers(Request, Call);
  if (!Identifiers)
    return fail(Identifiers.error().m_Code, Identifiers.error().m_Message);
  auto Counts = readCounts(Request, Call);
  if (!Counts)
    return fail(Counts.error().m_Code, Counts.error().m_Message);
  auto Deadline = readDeadline(Request, Now, DefaultTimeout, Call);
  if (!Deadline)
    return fail(Deadline.error().m_Code, Deadline.error().m_Message);
  copyHeaders(Request, Call);
  Call.m_Body = std::move(Request.body());
  return Call;
}

} // namespace hyssopcross::entry
