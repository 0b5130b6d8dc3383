#include "hyssopcross/entry/Loop.h"
#include <algorithm>

namespace hyssopcross::entry {

namespace {

/// Longest wait without a timer.
constexpr Duration IdleWait = std::chrono::seconds(1);

} // namespace

Loop::Loop(const Clock &Time) : m_Clock(Time), m_Thread([this] { work(); }) {}

Loop::~Loop() {
  {
    std::lock_guard Lock(m_Mutex);
    m_Stopping = true;
  }
  m_Changed.notify_all();
  m_Thread.join();
}

void Loop::post(std::function<void()> Task) {
  {
    std::lock_guard Lock(m_Mutex);
    m_Tasks.push_back(std::move(Task));
  }
  m_Changed.notify_one();
}

void Loop::schedule(const std::string &Name, TimePoint Due,
                    std::function<void()> Task) {
  {
    std::lock_guard Lock(m_Mutex);
    m_Timers[Name] = {Due, std::move(Task)};
  }
  m_Changed.notify_one();
}

std::function<void()> Loop::takeDueLocked() {
  if (!m_Tasks.empty()) {
    std::function<void()> Task = std::move(m_Tasks.front());
    m_Tasks.pop_front();
    return Task;
  }
  TimePoint Now = m_Clock.now();
  auto Due =
      std::find_if(m_Timers.begin(), m_Timers.end(), [Now](const auto &Each) {
        return Each.second.m_Due <= Now;
      });
  if (Due == m_Timers.end())
    return nullptr;
  std::function<void()> Task = std::move(Due->second.m_Task);
  m_Timers.erase(Due);
  return Task;
}

void Loop::waitLocked(std::unique_lock<std::mutex> &Lock) {
  TimePoint Next = m_Clock.now() + IdleWait;
  for (const auto &[Name, Each] : m_Timers)
    Next = std::min(Next, Each.m_Due);
  m_Changed.wait_until(Lock, Next);
}

void Loop::work() {
  std::unique_lock Lock(m_Mutex);
  while (!m_Stopping) {
    std::function<void()> Task = takeDueLocked();
    if (!Task) {
      waitLocked(Lock);
      continue;
    }
    Lock.unlock();
    Task();
    Lock.lock();
  }
}

} // namespace hyssopcross::entry
