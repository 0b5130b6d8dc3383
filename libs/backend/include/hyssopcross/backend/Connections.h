#ifndef HYSSOPCROSS_BACKEND_CONNECTIONS_H
#define HYSSOPCROSS_BACKEND_CONNECTIONS_H

#include "hyssopcross/backend/Exchange.h"
#include <map>
#include <mutex>

namespace hyssopcross::backend {

/// The connections of this process to backend servers. Safe from any thread.
class Connections {
public:
  /// Takes an idle channel to the server, or opens one.
  std::shared_ptr<Channel> acquire(const balancing::ServerId &Server);

  /// Gives a channel back after its exchange. It is kept if it is reusable and
  /// fewer than the number to keep are idle.
  void release(const balancing::ServerId &Server,
               std::shared_ptr<Channel> Used);

  /// Sets how many idle connections to keep to a server.
  void keep(const balancing::ServerId &Server, uint32_t Count);

  /// Channels to the server, idle or in use.
  uint32_t open(const balancing::ServerId &Server) const;

private:
  struct ServerChannels {
    std::vector<std::shared_ptr<Channel>> m_Idle;
    uint32_t m_InUse = 0;
    uint32_t m_Keep = 4;
  };

  mutable std::mutex m_Mutex;
  std::map<balancing::ServerId, ServerChannels> m_Servers;
};

} // namespace hyssopcross::backend

#endif
