#include "hyssopcross/backend/Connections.h"
#include "hyssopcross/base/Invariant.h"

namespace hyssopcross::backend {

std::shared_ptr<Channel>
Connections::acquire(const balancing::ServerId &Server) {
  std::lock_guard Lock(m_Mutex);
  ServerChannels &Channels = m_Servers[Server];
  ++Channels.m_InUse;
  if (Channels.m_Idle.empty())
    return std::make_shared<Channel>(Server);
  std::shared_ptr<Channel> Idle = std::move(Channels.m_Idle.back());
  Channels.m_Idle.pop_back();
  return Idle;
}

void Connections::release(const balancing::ServerId &Server,
                          std::shared_ptr<Channel> Used) {
  std::lock_guard Lock(m_Mutex);
  ServerChannels &Channels = m_Servers[Server];
  HYSSOPCROSS_INVARIANT(Channels.m_InUse > 0, "a channel is released once");
  --Channels.m_InUse;
  if (Used->reusable() && Channels.m_Idle.size() < Channels.m_Keep)
    Channels.m_Idle.push_back(std::move(Used));
}

void Connections::keep(const balancing::ServerId &Server, uint32_t Count) {
  std::lock_guard Lock(m_Mutex);
  ServerChannels &Channels = m_Servers[Server];
  Channels.m_Keep = Count;
  if (Channels.m_Idle.size() > Count)
    Channels.m_Idle.resize(Count);
}

uint32_t Connections::open(const balancing::ServerId &Server) const {
  std::lock_guard Lock(m_Mutex);
  auto Found = m_Servers.find(Server);
  if (Found == m_Servers.end())
    return 0;
  return Found->second.m_InUse +
         static_cast<uint32_t>(Found->second.m_Idle.size());
}

} // namespace hyssopcross::backend
