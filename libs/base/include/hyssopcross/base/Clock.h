#ifndef HYSSOPCROSS_BASE_CLOCK_H
#define HYSSOPCROSS_BASE_CLOCK_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace hyssopcross {

/// A length of time, in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// A length of time multiplied by a factor that is not negative; saturates.
inline Duration scale(Duration Length, double Factor) {
  double Scaled = static_cast<double>(Length.count()) * Factor;
  constexpr double Most = 9.0e18;
  return Scaled >= Most ? Duration::max()
                        : Duration(static_cast<int64_t>(Scaled));
}

/// An instant on this VM's monotonic clock. Comparable only with other
/// instants of the same process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock,
                                          std::chrono::nanoseconds>;

/// An instant of the calendar clock. Sent between VMs as an absolute deadline;
/// subject to the skew between their clocks.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::nanoseconds>;

/// The source of time for everything outside the decision code, which receives
/// the current instant as an argument. Implementations are safe to call from
/// any thread.
class Clock {
public:
  virtual ~Clock() = default;

  /// The current instant of the monotonic clock.
  virtual TimePoint now() const = 0;

  /// The current instant of the calendar clock.
  virtual WallTime wallNow() const = 0;
};

/// The clocks of the machine. Stateless.
class SystemClock final : public Clock {
public:
  /// Counts the time in which the VM was suspended, which the steady clock of
  /// the standard library leaves out: what ran out meanwhile has run out.
  /// Timers of the event loop are therefore set by lengths of time, not by
  /// instants.
  TimePoint now() const override {
    timespec Since{};
    clock_gettime(CLOCK_BOOTTIME, &Since);
    return TimePoint(std::chrono::seconds(Since.tv_sec) +
                     std::chrono::nanoseconds(Since.tv_nsec));
  }
  WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

/// A clock that moves only when told to. For tests and deterministic hosts;
/// not safe for use from more than one thread.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return m_Now; }
  WallTime wallNow() const override { return m_WallNow; }

  /// Moves both clocks forward by Step, which is not negative.
  void advance(Duration Step) {
    m_Now += Step;
    m_WallNow += Step;
  }

private:
  TimePoint m_Now{std::chrono::hours(1)};
  WallTime m_WallNow{std::chrono::hours(24)};
};

} // namespace hyssopcross

#endif
