#ifndef HYSSOPCROSS_FAULTSOAK_SOAK_H
#define HYSSOPCROSS_FAULTSOAK_SOAK_H

#include "FakePlatform.h"
#include "hyssopcross/faultsoak/Promises.h"
#include "hyssopcross/faultsoak/Proxy.h"
#include "hyssopcross/faultsoak/VmProcess.h"
#include <random>

namespace hyssopcross::faultsoak {

struct SoakSettings {
  /// The daemon's program.
  std::string m_Program;
  /// Folder of the VMs' logs.
  std::string m_LogFolder;
  uint32_t m_Seed = 1;
  uint32_t m_Vms = 4;
  uint32_t m_Servers = 6;
  /// Rounds of overlapping faults, each with a calm end.
  uint32_t m_Rounds = 2;
  /// Second number of all loopback addresses, 0 to 255: runs in lanes of their
  /// own do not meet.
  uint32_t m_Lane = 0;
};

/// Runs entry VMs as processes, with a store, servers and callers in this
/// process and proxies between them; injects faults from outside and holds what
/// callers and servers see against what is promised.
class Soak {
public:
  explicit Soak(SoakSettings Given);
  ~Soak();
  Soak(const Soak &) = delete;
  Soak &operator=(const Soak &) = delete;

  /// Plays all rounds. Fails if the VMs cannot be started or never serve.
  Result<void> run();
  const Promises &promises() const { return m_Promises; }
  uint64_t faultCount() const { return m_Faults; }

private:
  struct Vm;
  struct Backend;
  enum class Fault : uint32_t;

  Result<void> startAll();
  void pass(Duration Length);
  void tick();
  void sendOne();
  void send(Vm &To, const std::string &Target, bool RunsOnce, bool IsDirect,
            const std::function<void(unsigned)> &Done);
  void refreshAddresses();
  void reap();

  void injectOne(Duration Left);
  void harm(Proxy &Link, LinkState State, Duration Length,
            const std::string &What);
  void later(Duration After, std::function<void()> Action);
  void report(const std::string &What, Duration Length);
  void disturb(Duration Length);
  bool isCalm() const;
  bool isExcused(const Vm &Of, TimePoint SentAt) const;

  void restart(Vm &Of, Duration After);
  void stop(Vm &Of);
  void kill(Vm &Of);
  void changeConfiguration();
  void takeDataCentreOut(Duration Length);
  void replaceServer();
  void addServer();
  void serve(Backend &At, const std::shared_ptr<http::Exchange> &Asked);
  /// Lets another server name a request limit from now on.
  void limitServer();
  /// Holds an arrival against the limit that its server names.
  void countLimited(Backend &At);
  /// Lets the store return from an older copy of its contents in this round,
  /// once or twice.
  void scheduleReturns();
  void returnFromCopy(const test::FakeStore::Copy &Older, Duration Away);
  /// Writes again what the store has lost, in the state of now.
  void writeAgain();
  /// Checks that a VM that handles requests as the newest configuration says
  /// does not go back to the one before.
  void checkNoReversion(Vm &Of);
  void checkCalm();

  std::string hostIn(uint32_t Net, uint32_t Index) const;
  Duration draw(Duration From, Duration To);
  uint32_t below(uint32_t Limit);

  SoakSettings m_Settings;
  boost::asio::io_context m_Loop;
  SystemClock m_Clock;
  gateway::PlatformCodec m_Speech;
  std::mt19937 m_Random;
  std::mt19937 m_LimitRandom;
  std::mt19937 m_ReturnRandom;
  test::FakeStore m_Store;
  http::Client m_Client;
  Promises m_Promises;
  std::vector<std::unique_ptr<Vm>> m_Vms;
  std::vector<std::unique_ptr<Backend>> m_Backends;
  std::vector<std::string> m_Addresses;
  std::map<uint64_t, std::shared_ptr<boost::asio::steady_timer>> m_Later;
  uint64_t m_Timers = 0;
  uint64_t m_Requests = 0;
  uint64_t m_Faults = 0;
  uint32_t m_ServersMade = 0;
  uint64_t m_Version = 1;
  std::string m_Prefix = "/r1/";
  std::string m_OldPrefix;
  /// Until when a fault or its after-effects excuse what has a time bound.
  TimePoint m_DisturbedUntil{};
  TimePoint m_OutSince{};
  std::string m_OutDataCentre;
  TimePoint m_NextRequest{};
  TimePoint m_NextAddresses{};
};

} // namespace hyssopcross::faultsoak

#endif
