#include "hyssopcross/fleet/Datagram.h"
#include "fleet_types.h"
#include <algorithm>
#include <limits>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace hyssopcross::fleet {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// Nothing in a message is longer than the largest snapshot of a table.
constexpr int32_t MaxBytes = 16 * 1024 * 1024;

/// Counts of servers and requests are small; larger ones are cut to what the
/// message can hold.
int16_t toSmall(uint32_t Count) {
  return static_cast<int16_t>(std::min<uint32_t>(Count, INT16_MAX));
}

uint32_t fromSmall(int16_t Count) {
  return static_cast<uint32_t>(std::max<int16_t>(0, Count));
}

/// Whole milliseconds, cut to what the message can hold.
int32_t toMillis32(Duration Length) {
  auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(Length);
  return static_cast<int32_t>(
      std::min<int64_t>(Millis.count(), std::numeric_limits<int32_t>::max()));
}

wire::Vm toWire(const VmInfo &Info) {
  wire::Vm Made;
  Made.name = Info.m_Name;
  Made.host = Info.m_Host;
  Made.dataCentre = Info.m_DataCentre;
  Made.incarnation = Info.m_Incarnation;
  Made.ready = Info.m_Ready;
  Made.leaving = Info.m_Leaving;
  Made.milliCores = static_cast<int32_t>(Info.m_MilliCores);
  return Made;
}

wire::Report toWire(const ServerReport &From) {
  wire::Report Made;
  Made.server = static_cast<int32_t>(From.m_Server);
  Made.health = static_cast<int8_t>(From.m_Load.m_Health);
  Made.running = toSmall(From.m_Load.m_Running);
  Made.waiting = toSmall(From.m_Load.m_Waiting);
  Made.slowdownPercent = toSmall(From.m_Load.m_SlowdownPercent);
  auto Cold = std::chrono::duration_cast<std::chrono::milliseconds>(
      From.m_Load.m_ColdFor);
  if (Cold.count() > 0)
    Made.__set_coldMillis(static_cast<int32_t>(Cold.count()));
  if (From.m_LeavingIncarnation)
    Made.__set_leavingIncarnation(*From.m_LeavingIncarnation);
  if (From.m_Holds > Duration(0))
    Made.__set_holdsMillis(
        toSmall(static_cast<uint32_t>(toMillis32(From.m_Holds))));
  return Made;
}

ServerReport fromWire(const wire::Report &From) {
  ServerReport Made;
  Made.m_Server = static_cast<uint32_t>(From.server);
  Made.m_Load.m_Health = static_cast<dispatch::LoadReport::Health>(
      std::clamp<int8_t>(From.health, 0, 2));
  Made.m_Load.m_Running =
      static_cast<uint32_t>(std::max<int16_t>(0, From.running));
  Made.m_Load.m_Waiting =
      static_cast<uint32_t>(std::max<int16_t>(0, From.waiting));
  Made.m_Load.m_SlowdownPercent =
      static_cast<uint32_t>(std::max<int16_t>(1, From.slowdownPercent));
  if (From.__isset.coldMillis)
    Made.m_Load.m_ColdFor = std::chrono::milliseconds(From.coldMillis);
  if (From.__isset.leavingIncarnation)
    Made.m_LeavingIncarnation = From.leavingIncarnation;
  if (From.__isset.holdsMillis)
    Made.m_Holds = std::chrono::milliseconds(fromSmall(From.holdsMillis));
  return Made;
}

ServerInFlight fromWire(const wire::InFlight &From) {
  ServerInFlight Made;
  Made.m_Server = static_cast<uint32_t>(From.server);
  Made.m_Count = fromSmall(From.count);
  Made.m_Succeeded = fromSmall(From.succeeded);
  Made.m_Failed = fromSmall(From.failed);
  if (From.__isset.beganBeside && From.__isset.stretchPercent) {
    Made.m_Stretch.emplace();
    Made.m_Stretch->m_InFlight = fromSmall(From.beganBeside);
    Made.m_Stretch->m_Ratio = fromSmall(From.stretchPercent) / 100.0;
  }
  return Made;
}

wire::Rows toWire(const TableRows &From) {
  wire::Rows Made;
  Made.table = static_cast<int8_t>(From.m_Table);
  Made.after = static_cast<int64_t>(From.m_After);
  Made.at = static_cast<int64_t>(From.m_Batch.m_UpToVersion);
  Made.snapshot = From.m_Batch.m_IsSnapshot;
  for (const discovery::Row &Each : From.m_Batch.m_Rows) {
    wire::Row Row;
    Row.key = Each.m_Key;
    Row.value = Each.m_Value;
    Row.version = static_cast<int64_t>(Each.m_Version);
    Row.removed = Each.m_Removed;
    Made.rows.push_back(std::move(Row));
  }
  return Made;
}

TableRows fromWire(wire::Rows &From) {
  TableRows Made;
  Made.m_Table = static_cast<uint8_t>(std::max<int8_t>(0, From.table));
  Made.m_After = static_cast<uint64_t>(From.after);
  Made.m_Batch.m_UpToVersion = static_cast<uint64_t>(From.at);
  Made.m_Batch.m_IsSnapshot = From.snapshot;
  for (wire::Row &Each : From.rows)
    Made.m_Batch.m_Rows.push_back({std::move(Each.key), std::move(Each.value),
                                   static_cast<uint64_t>(Each.version),
                                   Each.removed});
  return Made;
}

wire::Digest toWire(const Digest &From) {
  wire::Digest Made;
  Made.dataCentre = From.m_DataCentre;
  if (!From.m_IsWhole)
    Made.__set_partial(true);
  for (const Member &Each : From.m_Members) {
    wire::Member Vm;
    Vm.host = Each.m_Info.m_Host;
    Vm.incarnation = Each.m_Info.m_Incarnation;
    Vm.ready = Each.m_Info.m_Ready;
    Vm.leaving = Each.m_Info.m_Leaving;
    Vm.milliCores = static_cast<int32_t>(Each.m_Info.m_MilliCores);
    Vm.silenceMillis = toMillis32(Each.m_Silence);
    Made.members.push_back(std::move(Vm));
  }
  return Made;
}

Digest fromWire(const wire::Digest &From) {
  Digest Made;
  Made.m_DataCentre = From.dataCentre;
  Made.m_IsWhole = !From.partial;
  for (const wire::Member &Each : From.members) {
    VmInfo Info;
    Info.m_Host = Each.host;
    Info.m_DataCentre = From.dataCentre;
    Info.m_Incarnation = Each.incarnation;
    Info.m_Ready = Each.ready;
    Info.m_Leaving = Each.leaving;
    Info.m_MilliCores = static_cast<uint32_t>(std::max(1, Each.milliCores));
    Made.m_Members.push_back(
        {std::move(Info),
         std::chrono::milliseconds(std::max(0, Each.silenceMillis))});
  }
  return Made;
}

/// Writes one message with the compact protocol.
template <typename Message> std::string encode(const Message &From) {
  auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> Protocol(Buffer);
  From.write(&Protocol);
  return Buffer->getBufferAsString();
}

/// Reads one message; Thrift's exceptions end here.
template <typename Message>
Result<Message> decode(std::span<const char> Bytes) {
  Message Read;
  try {
    auto Buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<uint8_t *>(const_cast<char *>(Bytes.data())),
        static_cast<uint32_t>(Bytes.size()));
    TCompactProtocolT<TMemoryBuffer> Protocol(Buffer, MaxBytes, MaxBytes);
    Read.read(&Protocol);
  } catch (const apache::thrift::TException &Failure) {
    return fail(ErrorCode::Protocol,
                std::string("not a message of an entry VM: ") + Failure.what());
  }
  return Read;
}

} // namespace

std::string encodeRows(const TableRows &Rows) { return encode(toWire(Rows)); }

Result<TableRows> decodeRows(std::span<const char> Bytes) {
  auto Read = decode<wire::Rows>(Bytes);
  if (!Read)
    return fail(Read.error().m_Code, Read.error().m_Message);
  return fromWire(Read.value());
}

std::string encodeDatagram(const Datagram &Message) {
  wire::Datagram Made;
  Made.sender = static_cast<int32_t>(Message.m_Sender);
  Made.incarnation = Message.m_Incarnation;
  Made.sequence = Message.m_Sequence;
  if (Message.m_Self)
    Made.__set_description(toWire(*Message.m_Self));
  if (Message.m_IsGreeting)
    Made.__set_greeting(true);
  if (!Message.m_Reports.empty()) {
    Made.__isset.reports = true;
    for (const ServerReport &Each : Message.m_Reports)
      Made.reports.push_back(toWire(Each));
  }
  if (!Message.m_InFlight.empty()) {
    Made.__isset.inFlight = true;
    for (const ServerInFlight &Each : Message.m_InFlight) {
      wire::InFlight Count;
      Count.server = static_cast<int32_t>(Each.m_Server);
      Count.count = toSmall(Each.m_Count);
      if (Each.m_Succeeded > 0)
        Count.__set_succeeded(toSmall(Each.m_Succeeded));
      if (Each.m_Failed > 0)
        Count.__set_failed(toSmall(Each.m_Failed));
      if (Each.m_Stretch) {
        Count.__set_beganBeside(toSmall(Each.m_Stretch->m_InFlight));
        Count.__set_stretchPercent(
            toSmall(static_cast<uint32_t>(Each.m_Stretch->m_Ratio * 100)));
      }
      Made.inFlight.push_back(Count);
    }
  }
  if (!Message.m_KnownHosts.empty())
    Made.__set_known(Message.m_KnownHosts);
  if (Message.m_Following) {
    wire::Following State;
    State.storeAnswers = Message.m_Following->m_StoreAnswers;
    for (uint64_t Each : Message.m_Following->m_Versions)
      State.versions.push_back(static_cast<int64_t>(Each));
    State.__set_confirmedAgeMillis(
        toMillis32(Message.m_Following->m_ConfirmedAge));
    Made.__set_following(State);
  }
  if (!Message.m_Rows.empty()) {
    Made.__isset.rows = true;
    for (const TableRows &Each : Message.m_Rows)
      Made.rows.push_back(toWire(Each));
  }
  if (!Message.m_Digests.empty()) {
    Made.__isset.digests = true;
    for (const Digest &Each : Message.m_Digests)
      Made.digests.push_back(toWire(Each));
  }
  return encode(Made);
}

Result<Datagram> decodeDatagram(std::span<const char> Bytes) {
  auto Decoded = decode<wire::Datagram>(Bytes);
  if (!Decoded)
    return fail(Decoded.error().m_Code, Decoded.error().m_Message);
  wire::Datagram &Read = Decoded.value();
  Datagram Made;
  Made.m_Sender = static_cast<uint32_t>(Read.sender);
  Made.m_Incarnation = Read.incarnation;
  Made.m_Sequence = Read.sequence;
  if (Read.__isset.description)
    Made.m_Self =
        VmInfo{Read.description.name,
               Read.description.host,
               Read.description.dataCentre,
               Read.description.incarnation,
               Read.description.ready,
               Read.description.leaving,
               static_cast<uint32_t>(std::max(1, Read.description.milliCores))};
  Made.m_IsGreeting = Read.greeting;
  for (const wire::Report &Each : Read.reports)
    Made.m_Reports.push_back(fromWire(Each));
  for (const wire::InFlight &Each : Read.inFlight)
    Made.m_InFlight.push_back(fromWire(Each));
  Made.m_KnownHosts = std::move(Read.known);
  if (Read.__isset.following) {
    Made.m_Following.emplace();
    Made.m_Following->m_StoreAnswers = Read.following.storeAnswers;
    for (int64_t Each : Read.following.versions)
      Made.m_Following->m_Versions.push_back(static_cast<uint64_t>(Each));
    Made.m_Following->m_ConfirmedAge = std::chrono::milliseconds(
        std::max(0, Read.following.confirmedAgeMillis));
  }
  for (wire::Rows &Each : Read.rows)
    Made.m_Rows.push_back(fromWire(Each));
  for (const wire::Digest &Each : Read.digests)
    Made.m_Digests.push_back(fromWire(Each));
  return Made;
}

} // namespace hyssopcross::fleet
