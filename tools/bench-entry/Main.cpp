/// Measures what hyssopcross-entry adds to a call, as ratios to the same call
/// sent directly, and the processor time that it takes for each call. All on
/// loopback: one entry VM on a thread of its own, the store's and a backend
/// server's stand-ins on another. Calls through the VM and direct ones
/// alternate, so that both meet the same machine.

#include "FakePlatform.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/httpclient/Client.h"
#include "hyssopcross/statistics/Sample.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <ctime>
#include <gflags/gflags.h>
#include <optional>
#include <pthread.h>
#include <thread>

DEFINE_int32(calls, 4000, "calls of each kind");

namespace {

using namespace hyssopcross;

const Address StoreAddress{"127.0.0.1", 18560};
const Address ServerAddress{"127.0.0.1", 18561};
const Address EntryAddress{"127.0.0.1", 18562};
constexpr Duration Patience = std::chrono::seconds(3);
/// Calls before the measurement, so that connections are open.
constexpr int WarmUpCalls = 200;

/// An event loop on a thread of its own.
class LoopThread {
public:
  LoopThread() : m_Thread([this] { m_Loop.run(); }) {}
  ~LoopThread() { end(); }
  LoopThread(const LoopThread &) = delete;
  LoopThread &operator=(const LoopThread &) = delete;

  /// Ends the thread; what lives on the loop may then be destroyed.
  void end() {
    m_Loop.stop();
    if (m_Thread.joinable())
      m_Thread.join();
  }

  /// Processor time of the thread so far.
  Duration processorTime() {
    clockid_t Clock{};
    timespec Time{};
    if (pthread_getcpuclockid(m_Thread.native_handle(), &Clock) != 0 ||
        clock_gettime(Clock, &Time) != 0)
      return Duration::zero();
    return std::chrono::seconds(Time.tv_sec) +
           std::chrono::nanoseconds(Time.tv_nsec);
  }

  boost::asio::io_context m_Loop;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_StayIdle = boost::asio::make_work_guard(m_Loop);
  std::thread m_Thread;
};

/// Sends calls one after the other and waits for each.
class Caller {
public:
  /// How long the call took; none if it got no success.
  std::optional<Duration> call(const Address &To) {
    httpclient::Request Asked;
    Asked.m_Url = "http://" + To.toString() + "/p/x";
    Asked.m_Headers = {{"Host", "h.example"},
                       {"Attempt-Id", std::to_string(++m_Ids)},
                       {"Deadline-Ms", "3000"}};
    Asked.m_Timeout = Patience;
    TimePoint Begin = m_Clock.now();
    auto Answer = m_Client.send(Asked);
    bool IsServed = Answer && Answer.value().m_Status == 200;
    return IsServed ? std::optional(m_Clock.now() - Begin) : std::nullopt;
  }

private:
  SystemClock m_Clock;
  httpclient::Client m_Client{/*IdleHandles=*/1};
  uint64_t m_Ids = 0;
};

double micros(std::optional<Duration> Time) {
  return statistics::toMilliseconds(Time) * 1000;
}

/// Settings of a VM on ports that no test uses.
gateway::Settings settings() {
  gateway::Settings Made =
      test::makeSettings(EntryAddress.m_Host, StoreAddress);
  uint16_t Port = EntryAddress.m_Port;
  for (Address *Each : {&Made.m_Callers, &Made.m_Readiness, &Made.m_Directory,
                        &Made.m_Fleet, &Made.m_Internal})
    Each->m_Port = Port++;
  return Made;
}

/// Calls until the entry VM has served some; false if it does not come to it.
bool warmUp(Caller &From) {
  constexpr int MaxTries = 50 * WarmUpCalls;
  int Served = 0;
  for (int I = 0; I < MaxTries && Served < WarmUpCalls; ++I) {
    From.call(ServerAddress);
    if (From.call(EntryAddress))
      ++Served;
    else
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return Served == WarmUpCalls;
}

int measure(Caller &From, LoopThread &Entry) {
  statistics::Sample Direct;
  statistics::Sample Through;
  Duration Before = Entry.processorTime();
  for (int I = 0; I < FLAGS_calls; ++I) {
    auto Straight = From.call(ServerAddress);
    auto Served = From.call(EntryAddress);
    if (!Straight || !Served) {
      std::fprintf(stderr, "bench-entry: call %d was not served\n", I);
      return 1;
    }
    Direct.add(*Straight);
    Through.add(*Served);
  }
  Duration Used = Entry.processorTime() - Before;
  double DirectP50 = micros(Direct.percentile(0.5));
  double DirectP99 = micros(Direct.percentile(0.99));
  double ThroughP50 = micros(Through.percentile(0.5));
  double ThroughP99 = micros(Through.percentile(0.99));
  std::printf("calls=%d ratio_p50=%.2f ratio_p99=%.2f added_p50_us=%.0f "
              "added_p99_us=%.0f entry_cpu_us_per_call=%.1f\n",
              FLAGS_calls, ThroughP50 / DirectP50, ThroughP99 / DirectP99,
              ThroughP50 - DirectP50, ThroughP99 - DirectP99,
              micros(Used) / FLAGS_calls);
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, /*remove_flags=*/true);
  auto Log = initialiseLog("error", LogTarget::BoundedStandardOutput);
  if (!Log) {
    std::fprintf(stderr, "bench-entry: %s\n", Log.error().m_Message.c_str());
    return 1;
  }
  SystemClock Clock;
  gateway::PlatformCodec Speech = adapter::makeDialect();
  // The stand-ins are built before their loop's thread works on them.
  boost::asio::io_context Outside;
  test::FakeStore Store(Outside, Clock);
  Store.open(StoreAddress);
  test::FakeServer Server(Outside, Clock, "a", ServerAddress);
  Store.put("op", "config", test::configurationDocument(1));
  Store.put("servers", "a", test::serverDocument(Server));
  std::jthread OutsideThread([&Outside] { Outside.run(); });
  LoopThread Entry;
  std::optional<gateway::Node> Node;
  boost::asio::post(Entry.m_Loop, [&] {
    Node.emplace(Entry.m_Loop, Clock, settings(), Speech);
    if (!Node->start())
      std::fprintf(stderr, "bench-entry: the entry VM did not start\n");
  });
  Caller From;
  int Exit = warmUp(From) ? measure(From, Entry) : 1;
  Entry.end();
  Node.reset();
  Outside.stop();
  return Exit;
}
