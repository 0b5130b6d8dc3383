#include "hyssopcross/fleet/Datagram.h"
#include "fleet_types.h"
#include <algorithm>
#include <cmath>
#include <limits>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace hyssopcross::fleet {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// Limit on the size of any part of a message: that of the largest table
/// snapshot.
constexpr int32_t MaxBytes = 16 * 1024 * 1024;

/// Converts a count to the 16 bits of the wire format. Counts of servers and
/// requests are small; larger values are clamped.
int16_t toInt16(uint32_t Count) {
  return static_cast<int16_t>(std::min<uint32_t>(Count, INT16_MAX));
}

uint32_t fromInt16(int16_t Count) {
  return static_cast<uint32_t>(std::max<int16_t>(0, Count));
}

/// Converts to whole milliseconds, clamped to 32 bits.
int32_t toMillis32(Duration Length) {
  auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(Length);
  return static_cast<int32_t>(
      std::min<int64_t>(Millis.count(), std::numeric_limits<int32_t>::max()));
}

wire::Vm toWire(const VmInfo &Info) {
  wire::Vm Output;
  Output.name = Info.m_Name;
  Output.host = Info.m_Host;
  Output.dataCentre = Info.m_DataCentre;
  Output.incarnation = Info.m_Incarnation;
  Output.ready = Info.m_Ready;
  Output.leaving = Info.m_Leaving;
  Output.milliCores = static_cast<int32_t>(Info.m_MilliCores);
  return Output;
}

wire::Report toWire(const ServerReport &From) {
  wire::Report Output;
  Output.server = static_cast<int32_t>(From.m_Server);
  Output.health = static_cast<int8_t>(From.m_Load.m_Health);
  Output.running = toInt16(From.m_Load.m_Running);
  Output.waiting = toInt16(From.m_Load.m_Waiting);
  Output.slowdownPercent = toInt16(From.m_Load.m_SlowdownPercent);
  auto Cold = std::chrono::duration_cast<std::chrono::milliseconds>(
      From.m_Load.m_ColdFor);
  if (Cold.count() > 0)
    Output.__set_coldMillis(static_cast<int32_t>(Cold.count()));
  if (From.m_Load.m_HasEnded)
    Output.__set_ended(true);
  if (From.m_LeavingIncarnation)
    Output.__set_leavingIncarnation(*From.m_LeavingIncarnation);
  if (From.m_ValidFor > Duration(0))
    Output.__set_holdsMillis(
        toInt16(static_cast<uint32_t>(toMillis32(From.m_ValidFor))));
  return Output;
}

ServerReport fromWire(const wire::Report &From) {
  ServerReport Output;
  Output.m_Server = static_cast<uint32_t>(From.server);
  using Health = dispatch::LoadReport::Health;
  Output.m_Load.m_Health =
      static_cast<Health>(std::clamp<int8_t>(From.health, 0, 2));
  Output.m_Load.m_HasEnded =
      From.ended && Output.m_Load.m_Health == Health::Unreachable;
  Output.m_Load.m_Running =
      static_cast<uint32_t>(std::max<int16_t>(0, From.running));
  Output.m_Load.m_Waiting =
      static_cast<uint32_t>(std::max<int16_t>(0, From.waiting));
  Output.m_Load.m_SlowdownPercent =
      static_cast<uint32_t>(std::max<int16_t>(1, From.slowdownPercent));
  if (From.__isset.coldMillis)
    Output.m_Load.m_ColdFor = std::chrono::milliseconds(From.coldMillis);
  if (From.__isset.leavingIncarnation)
    Output.m_LeavingIncarnation = From.leavingIncarnation;
  if (From.__isset.holdsMillis)
    Output.m_ValidFor = std::chrono::milliseconds(fromInt16(From.holdsMillis));
  return Output;
}

wire::InFlight toWire(const ServerInFlight &From) {
  wire::InFlight Output;
  Output.server = static_cast<int32_t>(From.m_Server);
  Output.count = toInt16(From.m_Count);
  if (From.m_Succeeded > 0)
    Output.__set_succeeded(toInt16(From.m_Succeeded));
  if (From.m_Failed > 0)
    Output.__set_failed(toInt16(From.m_Failed));
  if (From.m_Stretch) {
    Output.__set_beganBeside(toInt16(From.m_Stretch->m_InFlight));
    Output.__set_stretchPercent(
        toInt16(static_cast<uint32_t>(From.m_Stretch->m_Ratio * 100)));
  }
  if (From.m_LimitedSends > 0)
    Output.__set_limitedSends(static_cast<int32_t>(From.m_LimitedSends));
  return Output;
}

ServerInFlight fromWire(const wire::InFlight &From) {
  ServerInFlight Output;
  Output.m_Server = static_cast<uint32_t>(From.server);
  Output.m_Count = fromInt16(From.count);
  Output.m_Succeeded = fromInt16(From.succeeded);
  Output.m_Failed = fromInt16(From.failed);
  if (From.__isset.beganBeside && From.__isset.stretchPercent) {
    Output.m_Stretch.emplace();
    Output.m_Stretch->m_InFlight = fromInt16(From.beganBeside);
    Output.m_Stretch->m_Ratio = fromInt16(From.stretchPercent) / 100.0;
  }
  if (From.__isset.limitedSends)
    Output.m_LimitedSends = static_cast<uint32_t>(From.limitedSends);
  return Output;
}

wire::RequestLimit toWire(const ServerLimit &From) {
  wire::RequestLimit Output;
  Output.server = From.m_Server;
  Output.incarnation = From.m_Incarnation;
  if (From.m_PerSecond)
    Output.__set_perSecond(*From.m_PerSecond);
  Output.ageMillis = toMillis32(From.m_Age);
  return Output;
}

bool isRate(double PerSecond) {
  return std::isfinite(PerSecond) && PerSecond >= 0;
}

ServerLimit fromWire(const wire::RequestLimit &From) {
  ServerLimit Output;
  Output.m_Server = From.server;
  Output.m_Incarnation = From.incarnation;
  if (From.__isset.perSecond)
    Output.m_PerSecond = From.perSecond;
  Output.m_Age = std::chrono::milliseconds(std::max(0, From.ageMillis));
  return Output;
}

wire::Rows toWire(const TableRows &From) {
  wire::Rows Output;
  Output.table = static_cast<int8_t>(From.m_Table);
  Output.after = static_cast<int64_t>(From.m_After.m_Version);
  Output.at = static_cast<int64_t>(From.m_Batch.m_UpTo.m_Version);
  Output.__set_era(static_cast<int64_t>(From.m_Batch.m_UpTo.m_Era));
  Output.snapshot = From.m_Batch.m_IsSnapshot;
  for (const discovery::Row &Each : From.m_Batch.m_Rows) {
    wire::Row Row;
    Row.key = Each.m_Key;
    Row.value = Each.m_Value;
    Row.version = static_cast<int64_t>(Each.m_Version);
    Row.removed = Each.m_Removed;
    Output.rows.push_back(std::move(Row));
  }
  return Output;
}

/// Whether a number is a version or an era. A negative one would turn into one
/// that counts as newer than all others.
bool isCount(int64_t Number) { return Number >= 0; }

bool isValid(const wire::Rows &From) {
  return isCount(From.after) && isCount(From.at) && isCount(From.era) &&
         std::all_of(
             From.rows.begin(), From.rows.end(),
             [](const wire::Row &Each) { return isCount(Each.version); });
}

bool isValid(const wire::Following &From) {
  return std::all_of(From.versions.begin(), From.versions.end(), isCount) &&
         std::all_of(From.eras.begin(), From.eras.end(), isCount);
}

auto invalidNumber() {
  return fail(ErrorCode::Protocol,
              "invalid message from an entry VM: negative version or era");
}

TableRows fromWire(wire::Rows &From) {
  TableRows Output;
  Output.m_Table = static_cast<uint8_t>(std::max<int8_t>(0, From.table));
  auto Era = static_cast<uint64_t>(From.__isset.era ? From.era : 0);
  Output.m_After = {Era, static_cast<uint64_t>(From.after)};
  Output.m_Batch.m_UpTo = {Era, static_cast<uint64_t>(From.at)};
  Output.m_Batch.m_IsSnapshot = From.snapshot;
  for (wire::Row &Each : From.rows)
    Output.m_Batch.m_Rows.push_back({std::move(Each.key), std::move(Each.value),
                                     static_cast<uint64_t>(Each.version),
                                     Each.removed});
  return Output;
}

wire::Digest toWire(const Digest &From) {
  wire::Digest Output;
  Output.dataCentre = From.m_DataCentre;
  if (!From.m_IsWhole)
    Output.__set_partial(true);
  for (const Member &Each : From.m_Members) {
    wire::Member Vm;
    Vm.host = Each.m_Info.m_Host;
    Vm.incarnation = Each.m_Info.m_Incarnation;
    Vm.ready = Each.m_Info.m_Ready;
    Vm.leaving = Each.m_Info.m_Leaving;
    Vm.milliCores = static_cast<int32_t>(Each.m_Info.m_MilliCores);
    Vm.silenceMillis = toMillis32(Each.m_Silence);
    Output.members.push_back(std::move(Vm));
  }
  return Output;
}

Digest fromWire(const wire::Digest &From) {
  Digest Output;
  Output.m_DataCentre = From.dataCentre;
  Output.m_IsWhole = !From.partial;
  for (const wire::Member &Each : From.members) {
    VmInfo Info;
    Info.m_Host = Each.host;
    Info.m_DataCentre = From.dataCentre;
    Info.m_Incarnation = Each.incarnation;
    Info.m_Ready = Each.ready;
    Info.m_Leaving = Each.leaving;
    Info.m_MilliCores = static_cast<uint32_t>(std::max(1, Each.milliCores));
    Output.m_Members.push_back(
        {std::move(Info),
         std::chrono::milliseconds(std::max(0, Each.silenceMillis))});
  }
  return Output;
}

wire::Suspect toWire(const SuspectReport &From) {
  wire::Suspect Output;
  Output.request = static_cast<int64_t>(From.m_Request);
  for (const ReportedCrash &Each : From.m_Crashes) {
    wire::Crash Seen;
    Seen.server = Each.m_Server;
    Seen.incarnation = Each.m_Incarnation;
    Seen.ageMillis = toMillis32(Each.m_Age);
    Output.crashes.push_back(std::move(Seen));
  }
  if (From.m_CompletedAge)
    Output.__set_completedAgeMillis(toMillis32(*From.m_CompletedAge));
  return Output;
}

SuspectReport fromWire(wire::Suspect &From) {
  SuspectReport Output;
  Output.m_Request = static_cast<uint64_t>(From.request);
  for (wire::Crash &Each : From.crashes)
    Output.m_Crashes.push_back(
        {std::move(Each.server), Each.incarnation,
         std::chrono::milliseconds(std::max(0, Each.ageMillis))});
  if (From.__isset.completedAgeMillis)
    Output.m_CompletedAge =
        std::chrono::milliseconds(std::max(0, From.completedAgeMillis));
  return Output;
}

wire::QuotaAsk toWire(const quota::Ask &From) {
  wire::QuotaAsk Output;
  Output.id = static_cast<int64_t>(From.m_Id);
  Output.organisation = From.m_Organisation;
  Output.origin = static_cast<int32_t>(From.m_Origin);
  Output.purpose = static_cast<int8_t>(From.m_Purpose);
  if (From.m_Hops > 0)
    Output.__set_hops(
        static_cast<int8_t>(std::min<uint32_t>(From.m_Hops, INT8_MAX)));
  return Output;
}

/// An ask with an unknown purpose, a negative number of hops or no organisation
/// is ignored: the sender must not get an answer to something else.
bool isValid(const wire::QuotaAsk &From) {
  return From.purpose >= 0 &&
         From.purpose <= static_cast<int8_t>(quota::Purpose::Release) &&
         (!From.__isset.hops || From.hops >= 0) && !From.organisation.empty();
}

quota::Ask fromWire(wire::QuotaAsk &From) {
  quota::Ask Output;
  Output.m_Id = static_cast<uint64_t>(From.id);
  Output.m_Organisation = std::move(From.organisation);
  Output.m_Origin = static_cast<uint32_t>(From.origin);
  Output.m_Purpose = static_cast<quota::Purpose>(From.purpose);
  if (From.__isset.hops)
    Output.m_Hops = static_cast<uint8_t>(From.hops);
  return Output;
}

wire::QuotaGrant toWire(const quota::Grant &From) {
  wire::QuotaGrant Output;
  Output.id = static_cast<int64_t>(From.m_Id);
  Output.origin = static_cast<int32_t>(From.m_Origin);
  Output.granted = From.m_IsGranted;
  if (From.m_RetryAfter > Duration(0))
    Output.__set_retryAfterMillis(toMillis32(From.m_RetryAfter));
  if (From.m_Permit) {
    Output.__set_permit(*From.m_Permit);
    // Rounded down: an age must not seem longer than it is.
    Output.__set_otherAgeMillis(toMillis32(From.m_OtherAge));
    Output.__set_changeAgeMillis(toMillis32(From.m_ChangeAge));
  }
  return Output;
}

quota::Grant fromWire(wire::QuotaGrant &From) {
  quota::Grant Output;
  Output.m_Id = static_cast<uint64_t>(From.id);
  Output.m_Origin = static_cast<uint32_t>(From.origin);
  Output.m_IsGranted = From.granted;
  Output.m_RetryAfter =
      std::chrono::milliseconds(std::max(0, From.retryAfterMillis));
  if (From.__isset.permit)
    Output.m_Permit = std::move(From.permit);
  Output.m_OtherAge =
      std::chrono::milliseconds(std::max(0, From.otherAgeMillis));
  Output.m_ChangeAge =
      std::chrono::milliseconds(std::max(0, From.changeAgeMillis));
  return Output;
}

int32_t toInt32(uint32_t Count) {
  return static_cast<int32_t>(std::min<uint32_t>(Count, INT32_MAX));
}

wire::RolloutCounts toWire(const RolloutCounts &From) {
  wire::RolloutCounts Output;
  Output.serviceName = From.m_Service;
  Output.version = From.m_Version;
  Output.ageMillis = toMillis32(From.m_Age);
  Output.received = toInt32(From.m_Received);
  Output.sent = toInt32(From.m_Sent);
  Output.oldInFlight = toInt32(From.m_OldInFlight);
  Output.step = toInt32(From.m_Step);
  for (const RolloutRoute &Each : From.m_Routes) {
    wire::RolloutRoute Route;
    Route.route = static_cast<int32_t>(Each.m_Route);
    Route.old = Each.m_IsOld;
    Route.answers = toInt32(Each.m_Answers);
    Route.failures = toInt32(Each.m_Failures);
    Route.timed = toInt32(Each.m_Timed);
    Route.logSum = Each.m_LogSum;
    Route.logSquares = Each.m_LogSquares;
    Output.routes.push_back(Route);
  }
  return Output;
}

/// Whether sums can be those of this many answers, each of which has a bounded
/// logarithm. Others would decide about a version by themselves.
bool isValid(const wire::RolloutRoute &From) {
  constexpr double MaxLog = 3;
  return From.answers >= 0 && From.failures >= 0 && From.timed >= 0 &&
         From.failures <= From.answers && From.timed <= From.answers &&
         std::isfinite(From.logSum) && std::isfinite(From.logSquares) &&
         std::abs(From.logSum) <= MaxLog * From.timed && From.logSquares >= 0 &&
         From.logSquares <= MaxLog * MaxLog * From.timed;
}

/// Greatest number of a step, far above those in use.
constexpr int32_t MaxRolloutStep = 100;

bool isValid(const wire::RolloutCounts &From) {
  return From.received >= 0 && From.sent >= 0 && From.oldInFlight >= 0 &&
         From.step >= 0 && From.step <= MaxRolloutStep &&
         From.routes.size() <= MaxRolloutRoutes &&
         std::all_of(
             From.routes.begin(), From.routes.end(),
             [](const wire::RolloutRoute &Each) { return isValid(Each); });
}

RolloutCounts fromWire(wire::RolloutCounts &From) {
  RolloutCounts Output;
  Output.m_Service = std::move(From.serviceName);
  Output.m_Version = std::move(From.version);
  Output.m_Age = std::chrono::milliseconds(std::max(0, From.ageMillis));
  Output.m_Received = static_cast<uint32_t>(From.received);
  Output.m_Sent = static_cast<uint32_t>(From.sent);
  Output.m_OldInFlight = static_cast<uint32_t>(From.oldInFlight);
  Output.m_Step = static_cast<uint32_t>(From.step);
  for (const wire::RolloutRoute &Each : From.routes)
    Output.m_Routes.push_back({static_cast<uint32_t>(Each.route), Each.old,
                               static_cast<uint32_t>(Each.answers),
                               static_cast<uint32_t>(Each.failures),
                               static_cast<uint32_t>(Each.timed), Each.logSum,
                               Each.logSquares});
  return Output;
}

wire::RolloutVerdict toWire(const RolloutVerdict &From) {
  wire::RolloutVerdict Output;
  Output.serviceName = From.m_Service;
  Output.version = From.m_Version;
  Output.state = static_cast<int8_t>(From.m_State);
  Output.step = toInt32(From.m_Step);
  Output.sharePermille =
      static_cast<int16_t>(std::clamp(From.m_Share, 0.0, 1.0) * 1000);
  Output.ageMillis = toMillis32(From.m_Age);
  if (From.m_IsStored)
    Output.__set_stored(true);
  return Output;
}

bool isValid(const wire::RolloutVerdict &From) {
  constexpr int8_t LastState = 2;
  return From.state >= 0 && From.state <= LastState && From.step >= 0 &&
         From.step <= MaxRolloutStep && From.sharePermille >= 0 &&
         From.sharePermille <= 1000;
}

RolloutVerdict fromWire(wire::RolloutVerdict &From) {
  return {std::move(From.serviceName),
          std::move(From.version),
          static_cast<uint32_t>(From.state),
          static_cast<uint32_t>(From.step),
          From.sharePermille / 1000.0,
          std::chrono::milliseconds(std::max(0, From.ageMillis)),
          From.__isset.stored && From.stored};
}

/// Encodes a message with the compact protocol.
template <typename Message> std::string encode(const Message &From) {
  auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> Protocol(Buffer);
  From.write(&Protocol);
  return Buffer->getBufferAsString();
}

/// Decodes a message and converts Thrift exceptions to errors.
template <typename Message>
Result<Message> decode(std::span<const char> Bytes) {
  Message Read;
  try {
    auto Buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<uint8_t *>(const_cast<char *>(Bytes.data())),
        static_cast<uint32_t>(Bytes.size()));
    // Each entry of a list takes a byte at least. Thrift makes room for as many
    // entries as a list claims before it reads the first one.
    auto MaxEntries = static_cast<int32_t>(
        std::min<size_t>(Bytes.size(), static_cast<size_t>(MaxBytes)));
    TCompactProtocolT<TMemoryBuffer> Protocol(Buffer, MaxBytes,
                                              std::max(1, MaxEntries));
    Read.read(&Protocol);
  } catch (const apache::thrift::TException &Failure) {
    return fail(ErrorCode::Protocol,
                std::string("invalid message from an entry VM: ") +
                    Failure.what());
  }
  return Read;
}

} // namespace

std::string_view kindName(DatagramKind Kind) {
  switch (Kind) {
  case DatagramKind::Greeting:
    return "greeting";
  case DatagramKind::GreetingAnswer:
    return "greeting_answer";
  case DatagramKind::Heartbeat:
    return "heartbeat";
  case DatagramKind::Digest:
    return "digest";
  case DatagramKind::Checks:
    return "checks";
  case DatagramKind::CheckChanges:
    return "check_changes";
  case DatagramKind::InFlight:
    return "in_flight";
  case DatagramKind::Rows:
    return "rows";
  case DatagramKind::Confirmation:
    return "confirmation";
  case DatagramKind::Announcement:
    return "announcement";
  case DatagramKind::Leaving:
    return "leaving";
  case DatagramKind::Suspects:
    return "suspects";
  case DatagramKind::Rollouts:
    return "rollouts";
  case DatagramKind::PassedOn:
    return "passed_on";
  case DatagramKind::Quota:
    return "quota";
  }
  return "unknown";
}

size_t maxEncodedSize(const SuspectReport &From) {
  // Bytes of numbers and of the headers of fields and lists.
  constexpr size_t ReportBytes = 24;
  constexpr size_t CrashBytes = 24;
  size_t Bytes = ReportBytes;
  for (const ReportedCrash &Each : From.m_Crashes)
    Bytes += CrashBytes + Each.m_Server.size();
  return Bytes;
}

std::string encodeRows(const TableRows &Rows) { return encode(toWire(Rows)); }

Result<TableRows> decodeRows(std::span<const char> Bytes) {
  auto Read = decode<wire::Rows>(Bytes);
  if (!Read)
    return fail(Read.error().m_Code, Read.error().m_Message);
  if (!isValid(Read.value()))
    return invalidNumber();
  return fromWire(Read.value());
}

Datagram makePassedOn(const Datagram &Received, std::string_view Host) {
  Datagram Passed;
  Passed.m_Origin = {std::string(Host), Received.m_Incarnation,
                     Received.m_Sequence};
  Passed.m_Following = Received.m_Following;
  Passed.m_Rows = Received.m_Rows;
  Passed.m_Reports = Received.m_Reports;
  Passed.m_Limits = Received.m_Limits;
  return Passed;
}

std::string encodeDatagram(const Datagram &Message) {
  wire::Datagram Output;
  Output.sender = static_cast<int32_t>(Message.m_Sender);
  Output.incarnation = Message.m_Incarnation;
  Output.sequence = Message.m_Sequence;
  if (Message.m_Self)
    Output.__set_description(toWire(*Message.m_Self));
  if (Message.m_IsGreeting)
    Output.__set_greeting(true);
  if (!Message.m_Reports.empty()) {
    Output.__isset.reports = true;
    for (const ServerReport &Each : Message.m_Reports)
      Output.reports.push_back(toWire(Each));
  }
  if (!Message.m_InFlight.empty()) {
    Output.__isset.inFlight = true;
    for (const ServerInFlight &Each : Message.m_InFlight)
      Output.inFlight.push_back(toWire(Each));
  }
  if (!Message.m_KnownHosts.empty())
    Output.__set_known(Message.m_KnownHosts);
  if (Message.m_Following) {
    wire::Following State;
    State.storeAnswers = Message.m_Following->m_StoreAnswers;
    State.__isset.eras = true;
    for (const discovery::Revision &Each : Message.m_Following->m_LastChanges) {
      State.versions.push_back(static_cast<int64_t>(Each.m_Version));
      State.eras.push_back(static_cast<int64_t>(Each.m_Era));
    }
    State.__set_confirmedAgeMillis(
        toMillis32(Message.m_Following->m_ConfirmedAge));
    Output.__set_following(State);
  }
  if (!Message.m_Rows.empty()) {
    Output.__isset.rows = true;
    for (const TableRows &Each : Message.m_Rows)
      Output.rows.push_back(toWire(Each));
  }
  if (!Message.m_Digests.empty()) {
    Output.__isset.digests = true;
    for (const Digest &Each : Message.m_Digests)
      Output.digests.push_back(toWire(Each));
  }
  if (!Message.m_Limits.empty()) {
    Output.__isset.limits = true;
    for (const ServerLimit &Each : Message.m_Limits)
      Output.limits.push_back(toWire(Each));
  }
  if (!Message.m_Leaving.empty()) {
    Output.__isset.leaving = true;
    for (const ServerLeaving &Each : Message.m_Leaving) {
      wire::Leaving Server;
      Server.server = Each.m_Server;
      Server.incarnation = Each.m_Incarnation;
      Output.leaving.push_back(std::move(Server));
    }
  }
  if (!Message.m_Suspects.empty()) {
    Output.__isset.suspects = true;
    for (const SuspectReport &Each : Message.m_Suspects)
      Output.suspects.push_back(toWire(Each));
  }
  if (Message.m_Origin) {
    wire::PassOn Passed;
    Passed.__set_origin(Message.m_Origin->m_Host);
    Passed.__set_incarnation(Message.m_Origin->m_Incarnation);
    Passed.__set_sequence(Message.m_Origin->m_Sequence);
    Output.__set_passOn(Passed);
  } else if (Message.m_ShouldPassOn) {
    Output.__set_passOn(wire::PassOn());
  }
  if (!Message.m_QuotaAsks.empty()) {
    Output.__isset.quotaAsks = true;
    for (const quota::Ask &Each : Message.m_QuotaAsks)
      Output.quotaAsks.push_back(toWire(Each));
  }
  if (!Message.m_QuotaGrants.empty()) {
    Output.__isset.quotaGrants = true;
    for (const quota::Grant &Each : Message.m_QuotaGrants)
      Output.quotaGrants.push_back(toWire(Each));
  }
  if (!Message.m_RolloutCounts.empty()) {
    Output.__isset.rolloutCounts = true;
    for (const RolloutCounts &Each : Message.m_RolloutCounts)
      Output.rolloutCounts.push_back(toWire(Each));
  }
  if (!Message.m_RolloutVerdicts.empty()) {
    Output.__isset.rolloutVerdicts = true;
    for (const RolloutVerdict &Each : Message.m_RolloutVerdicts)
      Output.rolloutVerdicts.push_back(toWire(Each));
  }
  return encode(Output);
}

Result<Datagram> decodeDatagram(std::span<const char> Bytes) {
  auto Decoded = decode<wire::Datagram>(Bytes);
  if (!Decoded)
    return fail(Decoded.error().m_Code, Decoded.error().m_Message);
  wire::Datagram &Read = Decoded.value();
  bool IsValid =
      (!Read.__isset.following || isValid(Read.following)) &&
      std::all_of(Read.rows.begin(), Read.rows.end(),
                  [](const wire::Rows &Each) { return isValid(Each); });
  if (!IsValid)
    return invalidNumber();
  Datagram Output;
  Output.m_Sender = static_cast<uint32_t>(Read.sender);
  Output.m_Incarnation = Read.incarnation;
  Output.m_Sequence = Read.sequence;
  if (Read.__isset.description)
    Output.m_Self =
        VmInfo{Read.description.name,
               Read.description.host,
               Read.description.dataCentre,
               Read.description.incarnation,
               Read.description.ready,
               Read.description.leaving,
               static_cast<uint32_t>(std::max(1, Read.description.milliCores))};
  Output.m_IsGreeting = Read.greeting;
  for (const wire::Report &Each : Read.reports)
    Output.m_Reports.push_back(fromWire(Each));
  for (const wire::InFlight &Each : Read.inFlight)
    Output.m_InFlight.push_back(fromWire(Each));
  Output.m_KnownHosts = std::move(Read.known);
  if (Read.__isset.following) {
    Output.m_Following.emplace();
    Output.m_Following->m_StoreAnswers = Read.following.storeAnswers;
    const std::vector<int64_t> &Eras = Read.following.eras;
    for (size_t I = 0; I < Read.following.versions.size(); ++I)
      Output.m_Following->m_LastChanges.push_back(
          {I < Eras.size() ? static_cast<uint64_t>(Eras[I]) : 0,
           static_cast<uint64_t>(Read.following.versions[I])});
    Output.m_Following->m_ConfirmedAge = std::chrono::milliseconds(
        std::max(0, Read.following.confirmedAgeMillis));
  }
  for (wire::Rows &Each : Read.rows)
    Output.m_Rows.push_back(fromWire(Each));
  for (const wire::Digest &Each : Read.digests)
    Output.m_Digests.push_back(fromWire(Each));
  for (const wire::RequestLimit &Each : Read.limits)
    if (!Each.__isset.perSecond || isRate(Each.perSecond))
      Output.m_Limits.push_back(fromWire(Each));
  for (wire::Leaving &Each : Read.leaving)
    Output.m_Leaving.push_back({std::move(Each.server), Each.incarnation});
  for (wire::Suspect &Each : Read.suspects)
    Output.m_Suspects.push_back(fromWire(Each));
  if (Read.__isset.passOn && Read.passOn.__isset.origin)
    Output.m_Origin = {std::move(Read.passOn.origin), Read.passOn.incarnation,
                       Read.passOn.sequence};
  else
    Output.m_ShouldPassOn = Read.__isset.passOn;
  for (wire::QuotaAsk &Each : Read.quotaAsks)
    if (isValid(Each))
      Output.m_QuotaAsks.push_back(fromWire(Each));
  for (wire::QuotaGrant &Each : Read.quotaGrants)
    Output.m_QuotaGrants.push_back(fromWire(Each));
  for (wire::RolloutCounts &Each : Read.rolloutCounts)
    if (isValid(Each))
      Output.m_RolloutCounts.push_back(fromWire(Each));
  for (wire::RolloutVerdict &Each : Read.rolloutVerdicts)
    if (isValid(Each))
      Output.m_RolloutVerdicts.push_back(fromWire(Each));
  return Output;
}

} // namespace hyssopcross::fleet
