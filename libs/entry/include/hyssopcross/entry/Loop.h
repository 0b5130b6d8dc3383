#ifndef HYSSOPCROSS_ENTRY_LOOP_H
#define HYSSOPCROSS_ENTRY_LOOP_H

#include "hyssopcross/base/Clock.h"
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace hyssopcross::entry {

/// One thread that runs tasks in order and timers when they are due.
/// Destroying it ends the task that runs and drops the others.
class Loop {
public:
  explicit Loop(const Clock &Time);
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  /// Runs Task on the loop's thread, after those posted before.
  void post(std::function<void()> Task);

  /// Runs Task on the loop's thread at Due. Replaces the timer of the same
  /// name that is still to come.
  void schedule(const std::string &Name, TimePoint Due,
                std::function<void()> Task);

private:
  struct Timer {
    TimePoint m_Due;
    std::function<void()> m_Task;
  };

  void work();
  std::function<void()> takeDueLocked();
  void waitLocked(std::unique_lock<std::mutex> &Lock);

  const Clock &m_Clock;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::deque<std::function<void()>> m_Tasks;
  std::map<std::string, Timer> m_Timers;
  bool m_Stopping = false;
  std::thread m_Thread;
};

} // namespace hyssopcross::entry

#endif
