#ifndef HYSSOPCROSS_ENTRY_WORKERS_H
#define HYSSOPCROSS_ENTRY_WORKERS_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace hyssopcross::entry {

/// A fixed number of threads that run short tasks in order. Destroying it
/// finishes the tasks that were posted.
class Workers {
public:
  explicit Workers(unsigned Threads);
  ~Workers();
  Workers(const Workers &) = delete;
  Workers &operator=(const Workers &) = delete;

  /// Queues a task. Safe from any thread. Returns false, without queueing, if
  /// Limit tasks wait already.
  bool post(std::function<void()> Task, size_t Limit = 4096);

private:
  void work();

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::deque<std::function<void()>> m_Tasks;
  bool m_Stopping = false;
  std::vector<std::thread> m_Threads;
};

} // namespace hyssopcross::entry

#endif
