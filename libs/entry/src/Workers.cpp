#include "hyssopcross/entry/Workers.h"

namespace hyssopcross::entry {

Workers::Workers(unsigned Threads) {
  for (unsigned I = 0; I < Threads; ++I)
    m_Threads.emplace_back([this] { work(); });
}

Workers::~Workers() {
  {
    std::lock_guard Lock(m_Mutex);
    m_Stopping = true;
  }
  m_Changed.notify_all();
  for (std::thread &Thread : m_Threads)
    Thread.join();
}

bool Workers::post(std::function<void()> Task, size_t Limit) {
  {
    std::lock_guard Lock(m_Mutex);
    if (m_Tasks.size() >= Limit)
      return false;
    m_Tasks.push_back(std::move(Task));
  }
  m_Changed.notify_one();
  return true;
}

void Workers::work() {
  std::unique_lock Lock(m_Mutex);
  while (true) {
    m_Changed.wait(Lock, [this] { return m_Stopping || !m_Tasks.empty(); });
    if (m_Tasks.empty())
      return;
    std::function<void()> Task = std::move(m_Tasks.front());
    m_Tasks.pop_front();
    Lock.unlock();
    Task();
    Lock.lock();
  }
}

} // namespace hyssopcross::entry
