#ifndef HYSSOPCROSS_ENTRY_TIMERS_H
#define HYSSOPCROSS_ENTRY_TIMERS_H

#include "hyssopcross/base/Clock.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <future>
#include <map>
#include <string>

namespace hyssopcross::entry {

/// Runs tasks on an event loop, in order, and timers when they are due. Safe
/// from any thread; destroyed when the loop no longer runs.
class Timers {
public:
  Timers(boost::asio::io_context &Loop, const Clock &Time)
      : m_Loop(Loop), m_Clock(Time) {}
  Timers(const Timers &) = delete;
  Timers &operator=(const Timers &) = delete;

  /// Runs Task on the loop's thread, after those posted before.
  void post(std::function<void()> Task);

  /// Asks on the loop's thread and waits for the answer, so not to be called on
  /// that thread.
  template <typename Function> auto ask(Function Question) {
    std::packaged_task<decltype(Question())()> Asked(std::move(Question));
    auto Answer = Asked.get_future();
    post([&Asked] { Asked(); });
    return Answer.get();
  }

  /// Runs Task on the loop's thread at Due. Replaces the timer of the same
  /// name that is still to come.
  void schedule(const std::string &Name, TimePoint Due,
                std::function<void()> Task);

private:
  boost::asio::io_context &m_Loop;
  const Clock &m_Clock;
  /// Touched on the loop's thread only.
  std::map<std::string, boost::asio::steady_timer> m_Timers;
};

} // namespace hyssopcross::entry

#endif
