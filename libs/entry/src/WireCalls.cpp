#include "WireCodec.h"

namespace hyssopcross::entry {

namespace wire = peer::wire;

namespace {

std::vector<wire::Header> toWire(const HeaderList &Headers) {
  std::vector<wire::Header> Wire;
  for (const auto &[Name, Value] : Headers) {
    wire::Header Header;
    Header.name = Name;
    Header.value = Value;
    Wire.push_back(std::move(Header));
  }
  return Wire;
}

HeaderList fromWire(const std::vector<wire::Header> &Wire) {
  HeaderList Headers;
  for (const wire::Header &Each : Wire)
    Headers.emplace_back(Each.name, Each.value);
  return Headers;
}

} // namespace

wire::ForwardedCall toWire(const IncomingCall &Call,
                           const balancing::PoolId &Pool) {
  wire::ForwardedCall Wire;
  Wire.pool = toWire(Pool);
  Wire.method = Call.m_Method;
  Wire.target = Call.m_Target;
  Wire.body = std::string(Call.m_Body);
  Wire.headers = toWire(Call.m_Headers);
  Wire.correlationId = Call.m_CorrelationId;
  Wire.deadlineMicros = std::chrono::duration_cast<std::chrono::microseconds>(
                            Call.m_Deadline.time_since_epoch())
                            .count();
  Wire.shareKey = Call.m_ShareKey;
  Wire.attempts = static_cast<int32_t>(Call.m_Attempts);
  Wire.depth = static_cast<int32_t>(Call.m_Depth);
  Wire.hops = static_cast<int32_t>(Call.m_Hops);
  Wire.handedOver = Call.m_HandedOver;
  Wire.idempotencyKey = Call.m_IdempotencyKey;
  Wire.contentDigest = Call.m_ContentDigest;
  Wire.traceParent = Call.m_TraceParent;
  return Wire;
}

IncomingCall fromWire(const wire::ForwardedCall &Message) {
  IncomingCall Call;
  Call.m_Service = Message.pool.serviceName;
  Call.m_Method = Message.method;
  Call.m_Target = Message.target;
  Call.m_Body = Message.body;
  Call.m_Headers = fromWire(Message.headers);
  Call.m_CorrelationId = Message.correlationId;
  Call.m_Deadline = WallTime(std::chrono::microseconds(Message.deadlineMicros));
  Call.m_ShareKey = Message.shareKey;
  Call.m_Attempts = static_cast<uint32_t>(Message.attempts);
  Call.m_Depth = static_cast<uint32_t>(Message.depth);
  Call.m_Hops = static_cast<uint32_t>(Message.hops);
  Call.m_HandedOver = Message.handedOver;
  Call.m_IdempotencyKey = Message.idempotencyKey;
  Call.m_ContentDigest = Message.contentDigest;
  Call.m_TraceParent = Message.traceParent;
  return Call;
}

wire::ForwardedAnswer toWire(CallerAnswer Answer) {
  wire::ForwardedAnswer Wire;
  Wire.outcome = protocol::outcomeName(Answer.m_Outcome);
  Wire.status = static_cast<int32_t>(Answer.m_Status);
  Wire.code = Answer.m_Code;
  Wire.headers = toWire(Answer.m_Headers);
  Wire.body = std::move(Answer.m_Body);
  return Wire;
}

Result<CallerAnswer> fromWire(const wire::ForwardedAnswer &Message) {
  auto Outcome = protocol::parseOutcome(Message.outcome);
  if (!Outcome)
    return fail(Outcome.error().m_Code, Outcome.error().m_Message);
  CallerAnswer Answer;
  Answer.m_Outcome = Outcome.value();
  Answer.m_Status = static_cast<unsigned>(Message.status);
  Answer.m_Code = Message.code;
  Answer.m_Headers = fromWire(Message.headers);
  Answer.m_Body = Message.body;
  return Answer;
}

} // namespace hyssopcross::entry
