#include "WireCodec.h"

namespace hyssopcross::entry {

namespace wire = peer::wire;

namespace {

wire::Vm toWire(const membership::VmInfo &Info) {
  wire::Vm Vm;
  Vm.name = Info.m_Name;
  Vm.incarnation = static_cast<int64_t>(Info.m_Incarnation);
  Vm.dataCentre = Info.m_DataCentre;
  Vm.region = Info.m_Region;
  Vm.address = Info.m_Address;
  Vm.peerAddress = Info.m_PeerAddress;
  return Vm;
}

membership::VmInfo fromWire(const wire::Vm &Vm) {
  return {Vm.name,       static_cast<uint64_t>(Vm.incarnation),
          Vm.dataCentre, Vm.region,
          Vm.address,    Vm.peerAddress};
}

wire::VmEntry toWire(const membership::DigestEntry &Entry) {
  wire::VmEntry Message;
  Message.vm = toWire(Entry.m_Info);
  Message.counter = static_cast<int64_t>(Entry.m_Counter);
  Message.status = static_cast<int8_t>(Entry.m_Status);
  return Message;
}

/// Reads an enumeration whose last value is Last.
template <typename Enum> Result<Enum> readEnum(int8_t Value, Enum Last) {
  if (Value < 0 || Value > static_cast<int8_t>(Last))
    return fail(ErrorCode::Protocol,
                "a peer sent the unknown value " + std::to_string(Value));
  return static_cast<Enum>(Value);
}

wire::VmRecord toWire(const store::VmRecord &Record) {
  wire::VmRecord Message;
  Message.name = Record.m_Name;
  Message.role = static_cast<int8_t>(Record.m_Role);
  Message.state = static_cast<int8_t>(Record.m_State);
  Message.dataCentre = Record.m_DataCentre;
  Message.address = Record.m_Address;
  Message.peerAddress = Record.m_PeerAddress;
  Message.serviceName = Record.m_Service;
  return Message;
}

Result<store::VmRecord> fromWire(const wire::VmRecord &Message) {
  auto Role = readEnum(Message.role, store::VmRole::Backend);
  if (!Role)
    return fail(Role.error().m_Code, Role.error().m_Message);
  auto State = readEnum(Message.state, store::VmState::Leaving);
  if (!State)
    return fail(State.error().m_Code, State.error().m_Message);
  return store::VmRecord{Message.name,       Role.value(),
                         State.value(),      Message.dataCentre,
                         Message.address,    Message.peerAddress,
                         Message.serviceName};
}

Result<membership::Heartbeat> readHeartbeat(const wire::Heartbeat &Message) {
  if (auto Checked = checkCounts({Message.sender.incarnation, Message.counter});
      !Checked)
    return fail(Checked.error().m_Code, Checked.error().m_Message);
  membership::Heartbeat Heartbeat;
  Heartbeat.m_From = fromWire(Message.sender);
  Heartbeat.m_Counter = static_cast<uint64_t>(Message.counter);
  Heartbeat.m_Leaving = Message.leaving;
  Heartbeat.m_ViewHash = static_cast<uint64_t>(Message.viewHash);
  for (const wire::Beat &Each : Message.beats) {
    if (auto Checked = checkCounts({Each.beat}); !Checked)
      return fail(Checked.error().m_Code, Checked.error().m_Message);
    Heartbeat.m_Beats.push_back(
        {Each.dataCentre, static_cast<uint64_t>(Each.beat)});
  }
  for (const wire::VmEntry &Each : Message.entries) {
    auto Status = readEnum(Each.status, membership::VmStatus::Dead);
    if (!Status)
      return fail(Status.error().m_Code, Status.error().m_Message);
    if (auto Checked = checkCounts({Each.vm.incarnation, Each.counter});
        !Checked)
      return fail(Checked.error().m_Code, Checked.error().m_Message);
    Heartbeat.m_Entries.push_back({fromWire(Each.vm),
                                   static_cast<uint64_t>(Each.counter),
                                   Status.value()});
  }
  return Heartbeat;
}

} // namespace

Result<void> checkCounts(std::initializer_list<int64_t> Counts) {
  for (int64_t Each : Counts)
    if (Each < 0)
      return fail(ErrorCode::Protocol,
                  "a peer sent the negative count " + std::to_string(Each));
  return boost::outcome_v2::success();
}

wire::Pool toWire(const balancing::PoolId &Pool) {
  wire::Pool Message;
  Message.serviceName = Pool.m_Service;
  Message.dataCentre = Pool.m_DataCentre;
  return Message;
}

balancing::PoolId fromWire(const wire::Pool &Pool) {
  return {Pool.serviceName, Pool.dataCentre};
}

wire::Heartbeat toWire(const HeartbeatBundle &Bundle) {
  wire::Heartbeat Message;
  const membership::Heartbeat &Heartbeat = Bundle.m_Heartbeat;
  Message.sender = toWire(Heartbeat.m_From);
  Message.counter = static_cast<int64_t>(Heartbeat.m_Counter);
  Message.leaving = Heartbeat.m_Leaving;
  Message.viewHash = static_cast<int64_t>(Heartbeat.m_ViewHash);
  for (const membership::DataCentreBeat &Each : Heartbeat.m_Beats) {
    wire::Beat Beat;
    Beat.dataCentre = Each.m_DataCentre;
    Beat.beat = static_cast<int64_t>(Each.m_Beat);
    Message.beats.push_back(std::move(Beat));
  }
  for (const membership::DigestEntry &Each : Heartbeat.m_Entries)
    Message.entries.push_back(toWire(Each));
  for (const addresses::OwnerEntry &Each : Bundle.m_Owners) {
    wire::Owner Owner;
    Owner.pool = toWire(Each.m_Pool);
    Owner.owner = Each.m_Owner;
    Owner.epoch = static_cast<int64_t>(Each.m_Epoch);
    Message.owners.push_back(std::move(Owner));
  }
  for (const catalogue::VmVersion &Each : Bundle.m_Versions) {
    wire::VmVersion Version;
    Version.vm = Each.m_Vm;
    Version.version = static_cast<int64_t>(Each.m_Version);
    Message.versions.push_back(std::move(Version));
  }
  return Message;
}

Result<HeartbeatBundle> fromWire(const wire::Heartbeat &Message) {
  auto Heartbeat = readHeartbeat(Message);
  if (!Heartbeat)
    return fail(Heartbeat.error().m_Code, Heartbeat.error().m_Message);
  HeartbeatBundle Bundle;
  Bundle.m_Heartbeat = std::move(Heartbeat.value());
  for (const wire::Owner &Each : Message.owners) {
    if (auto Checked = checkCounts({Each.epoch}); !Checked)
      return fail(Checked.error().m_Code, Checked.error().m_Message);
    Bundle.m_Owners.push_back(
        {fromWire(Each.pool), Each.owner, static_cast<uint64_t>(Each.epoch)});
  }
  for (const wire::VmVersion &Each : Message.versions) {
    if (auto Checked = checkCounts({Each.version}); !Checked)
      return fail(Checked.error().m_Code, Checked.error().m_Message);
    Bundle.m_Versions.push_back({Each.vm, static_cast<uint64_t>(Each.version)});
  }
  return Bundle;
}

wire::VmListRequest toWire(const membership::VmListRequest &Message) {
  wire::VmListRequest Wire;
  Wire.sender = Message.m_From;
  Wire.hash = static_cast<int64_t>(Message.m_Hash);
  return Wire;
}

membership::VmListRequest fromWire(const wire::VmListRequest &Message) {
  return {Message.sender, static_cast<uint64_t>(Message.hash)};
}

wire::VmListAnswer toWire(const membership::VmListAnswer &Message) {
  wire::VmListAnswer Wire;
  Wire.sender = Message.m_From;
  Wire.hash = static_cast<int64_t>(Message.m_Hash);
  if (!Message.m_Records)
    return Wire;
  std::vector<wire::VmRecord> Records;
  for (const store::VmRecord &Each : *Message.m_Records)
    Records.push_back(toWire(Each));
  Wire.__set_records(Records);
  return Wire;
}

Result<membership::VmListAnswer> fromWire(const wire::VmListAnswer &Message) {
  membership::VmListAnswer Answer;
  Answer.m_From = Message.sender;
  Answer.m_Hash = static_cast<uint64_t>(Message.hash);
  if (!Message.__isset.records)
    return Answer;
  Answer.m_Records.emplace();
  for (const wire::VmRecord &Each : Message.records) {
    auto Record = fromWire(Each);
    if (!Record)
      return fail(Record.error().m_Code, Record.error().m_Message);
    Answer.m_Records->push_back(std::move(Record.value()));
  }
  return Answer;
}

} // namespace hyssopcross::entry
