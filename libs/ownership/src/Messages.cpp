#include "hyssopcross/ownership/Messages.h"
#include "hyssopcross/membership/Encoding.h"

namespace hyssopcross::ownership {

namespace {

using namespace membership;

/// The bytes that tell the kinds of messages apart.
constexpr size_t KindSize = 3;

size_t poolField(const PoolId &Pool) {
  return StructField + stringField(Pool.m_Service) +
         stringField(Pool.m_DataCentre) + StructEnd;
}

size_t poolList(const std::vector<PoolEpoch> &Pools) {
  size_t Size = listField(Pools.size());
  for (const PoolEpoch &Pool : Pools)
    Size += poolField(Pool.m_Pool) + integerField(Pool.m_Epoch) + StructEnd;
  return Size;
}

size_t digestList(const std::vector<balancing::ServerDigest> &Digest) {
  size_t Size = listField(Digest.size());
  for (const balancing::ServerDigest &Server : Digest)
    Size += stringField(Server.m_Server) + stringField(Server.m_BootId) +
            FlagField + FlagField + integerField(Server.m_Limit) +
            integerField(Server.m_InFlight) + StructEnd;
  return Size;
}

size_t bodySize(const PromiseRequest &Body) {
  return stringField(Body.m_From) + integerField(Body.m_Incarnation) +
         integerField(Body.m_Round) + poolList(Body.m_Pools);
}

size_t bodySize(const PromiseAnswer &Body) {
  return stringField(Body.m_From) + integerField(Body.m_Incarnation) +
         integerField(Body.m_Round) + poolList(Body.m_Granted);
}

size_t bodySize(const HandOverOffer &Body) {
  return stringField(Body.m_From) + integerField(Body.m_Incarnation) +
         poolField(Body.m_Pool) + integerField(Body.m_Epoch) +
         digestList(Body.m_Digest);
}

size_t bodySize(const HandOverAnswer &Body) {
  return stringField(Body.m_From) + integerField(Body.m_Incarnation) +
         poolField(Body.m_Pool) + integerField(Body.m_Epoch) + FlagField;
}

size_t bodySize(const HandOverReleased &Body) {
  return stringField(Body.m_From) + poolField(Body.m_Pool) +
         integerField(Body.m_Epoch);
}

size_t bodySize(const HandOverConfirmed &Body) {
  return stringField(Body.m_From) + poolField(Body.m_Pool) +
         integerField(Body.m_Epoch);
}

} // namespace

size_t encodedSize(const Message &Value) {
  return std::visit(
      [](const auto &Body) { return KindSize + bodySize(Body) + StructEnd; },
      Value);
}

} // namespace hyssopcross::ownership
