#include "WireCodec.h"

namespace hyssopcross::entry {

namespace wire = peer::wire;

std::vector<wire::ServerDigest>
toWire(const std::vector<balancing::ServerDigest> &Digest) {
  std::vector<wire::ServerDigest> Servers;
  for (const balancing::ServerDigest &Each : Digest) {
    wire::ServerDigest Server;
    Server.server = Each.m_Server;
    Server.bootId = Each.m_BootId;
    Server.warm = Each.m_Warm;
    Server.leaving = Each.m_Leaving;
    Server.limit = static_cast<int32_t>(Each.m_Limit);
    Server.inFlight = static_cast<int32_t>(Each.m_InFlight);
    Servers.push_back(std::move(Server));
  }
  return Servers;
}

Result<std::vector<balancing::ServerDigest>>
fromWire(const std::vector<wire::ServerDigest> &Servers) {
  std::vector<balancing::ServerDigest> Digest;
  for (const wire::ServerDigest &Each : Servers) {
    if (auto Checked = checkCounts({Each.limit, Each.inFlight}); !Checked)
      return fail(Checked.error().m_Code, Checked.error().m_Message);
    balancing::ServerDigest Server;
    Server.m_Server = Each.server;
    Server.m_BootId = Each.bootId;
    Server.m_Warm = Each.warm;
    Server.m_Leaving = Each.leaving;
    Server.m_Limit = static_cast<uint32_t>(Each.limit);
    Server.m_InFlight = static_cast<uint32_t>(Each.inFlight);
    Digest.push_back(std::move(Server));
  }
  return Digest;
}

namespace {

std::vector<wire::PoolEpoch>
writeEpochs(const std::vector<ownership::PoolEpoch> &Epochs) {
  std::vector<wire::PoolEpoch> Wire;
  for (const ownership::PoolEpoch &Each : Epochs) {
    wire::PoolEpoch Epoch;
    Epoch.pool = toWire(Each.m_Pool);
    Epoch.epoch = static_cast<int64_t>(Each.m_Epoch);
    Wire.push_back(std::move(Epoch));
  }
  return Wire;
}

std::vector<ownership::PoolEpoch>
readEpochs(const std::vector<wire::PoolEpoch> &Wire) {
  std::vector<ownership::PoolEpoch> Epochs;
  Epochs.reserve(Wire.size());
  for (const wire::PoolEpoch &Each : Wire)
    Epochs.push_back({fromWire(Each.pool), static_cast<uint64_t>(Each.epoch)});
  return Epochs;
}

/// Checks the counts of the member of the union that is set.
Result<void> checkOwnership(const wire::OwnershipMessage &Message) {
  auto CheckPromise = [](const auto &Wire, const auto &Pools) {
    auto Checked = checkCounts({Wire.incarnation, Wire.round});
    for (const wire::PoolEpoch &Each : Pools)
      if (Checked)
        Checked = checkCounts({Each.epoch});
    return Checked;
  };
  if (Message.__isset.promiseRequest)
    return CheckPromise(Message.promiseRequest, Message.promiseRequest.pools);
  if (Message.__isset.promiseAnswer)
    return CheckPromise(Message.promiseAnswer, Message.promiseAnswer.granted);
  if (Message.__isset.offer)
    return checkCounts({Message.offer.incarnation, Message.offer.epoch});
  if (Message.__isset.offerAnswer)
    return checkCounts(
        {Message.offerAnswer.incarnation, Message.offerAnswer.epoch});
  if (Message.__isset.released)
    return checkCounts({Message.released.epoch});
  if (Message.__isset.confirmed)
    return checkCounts({Message.confirmed.epoch});
  return fail(ErrorCode::Protocol,
              "a peer sent an ownership message of an unknown kind");
}

/// Fills in the member of the union for each kind of message.
struct OwnershipWriter {
  wire::OwnershipMessage &m_Wire;

  void operator()(const ownership::PromiseRequest &Message) const {
    wire::PromiseRequest Wire;
    Wire.sender = Message.m_From;
    Wire.incarnation = static_cast<int64_t>(Message.m_Incarnation);
    Wire.round = static_cast<int64_t>(Message.m_Round);
    Wire.pools = writeEpochs(Message.m_Pools);
    m_Wire.__set_promiseRequest(Wire);
  }

  void operator()(const ownership::PromiseAnswer &Message) const {
    wire::PromiseAnswer Wire;
    Wire.sender = Message.m_From;
    Wire.incarnation = static_cast<int64_t>(Message.m_Incarnation);
    Wire.round = static_cast<int64_t>(Message.m_Round);
    Wire.granted = writeEpochs(Message.m_Granted);
    m_Wire.__set_promiseAnswer(Wire);
  }

  void operator()(const ownership::HandOverOffer &Message) const {
    wire::HandOverOffer Wire;
    Wire.sender = Message.m_From;
    Wire.incarnation = static_cast<int64_t>(Message.m_Incarnation);
    Wire.pool = toWire(Message.m_Pool);
    Wire.epoch = static_cast<int64_t>(Message.m_Epoch);
    Wire.digest = toWire(Message.m_Digest);
    m_Wire.__set_offer(Wire);
  }

  void operator()(const ownership::HandOverAnswer &Message) const {
    wire::HandOverAnswer Wire;
    Wire.sender = Message.m_From;
    Wire.incarnation = static_cast<int64_t>(Message.m_Incarnation);
    Wire.pool = toWire(Message.m_Pool);
    Wire.epoch = static_cast<int64_t>(Message.m_Epoch);
    Wire.accepted = Message.m_Accepted;
    m_Wire.__set_offerAnswer(Wire);
  }

  void operator()(const ownership::HandOverReleased &Message) const {
    wire::HandOverReleased Wire;
    Wire.sender = Message.m_From;
    Wire.pool = toWire(Message.m_Pool);
    Wire.epoch = static_cast<int64_t>(Message.m_Epoch);
    m_Wire.__set_released(Wire);
  }

  void operator()(const ownership::HandOverConfirmed &Message) const {
    wire::HandOverConfirmed Wire;
    Wire.sender = Message.m_From;
    Wire.pool = toWire(Message.m_Pool);
    Wire.epoch = static_cast<int64_t>(Message.m_Epoch);
    m_Wire.__set_confirmed(Wire);
  }
};

} // namespace

wire::OwnershipMessage toWire(const ownership::Message &Message) {
  wire::OwnershipMessage Wire;
  std::visit(OwnershipWriter{Wire}, Message);
  return Wire;
}

Result<ownership::Message> fromWire(const wire::OwnershipMessage &Message) {
  if (auto Checked = checkOwnership(Message); !Checked)
    return fail(Checked.error().m_Code, Checked.error().m_Message);
  auto Unsigned = [](int64_t Value) { return static_cast<uint64_t>(Value); };
  if (Message.__isset.promiseRequest) {
    const wire::PromiseRequest &Wire = Message.promiseRequest;
    return ownership::Message(ownership::PromiseRequest{
        Wire.sender, Unsigned(Wire.incarnation), Unsigned(Wire.round),
        readEpochs(Wire.pools)});
  }
  if (Message.__isset.promiseAnswer) {
    const wire::PromiseAnswer &Wire = Message.promiseAnswer;
    return ownership::Message(ownership::PromiseAnswer{
        Wire.sender, Unsigned(Wire.incarnation), Unsigned(Wire.round),
        readEpochs(Wire.granted)});
  }
  if (Message.__isset.offer) {
    const wire::HandOverOffer &Wire = Message.offer;
    auto Digest = fromWire(Wire.digest);
    if (!Digest)
      return fail(Digest.error().m_Code, Digest.error().m_Message);
    return ownership::Message(ownership::HandOverOffer{
        Wire.sender, Unsigned(Wire.incarnation), fromWire(Wire.pool),
        Unsigned(Wire.epoch), std::move(Digest.value())});
  }
  if (Message.__isset.offerAnswer) {
    const wire::HandOverAnswer &Wire = Message.offerAnswer;
    return ownership::Message(ownership::HandOverAnswer{
        Wire.sender, Unsigned(Wire.incarnation), fromWire(Wire.pool),
        Unsigned(Wire.epoch), Wire.accepted});
  }
  if (Message.__isset.released) {
    const wire::HandOverReleased &Wire = Message.released;
    return ownership::Message(ownership::HandOverReleased{
        Wire.sender, fromWire(Wire.pool), Unsigned(Wire.epoch)});
  }
  const wire::HandOverConfirmed &Wire = Message.confirmed;
  return ownership::Message(ownership::HandOverConfirmed{
      Wire.sender, fromWire(Wire.pool), Unsigned(Wire.epoch)});
}

} // namespace hyssopcross::entry
