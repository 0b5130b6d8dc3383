#ifndef HYSSOPCROSS_TESTBED_WORLD_H
#define HYSSOPCROSS_TESTBED_WORLD_H

#include "FakeEntry.h"
#include "hyssopcross/testbed/Fault.h"
#include <random>
#include <set>

namespace hyssopcross::testbed {

/// Where a caller can go: an entry VM, and the pool to ask for there.
struct Target {
  size_t m_Entry = 0;
  balancing::PoolId m_Pool;
};

/// A call that its caller waits for.
struct OpenCall {
  size_t m_Load = 0;
  uint32_t m_RetriesLeft = 0;
  /// The entry VMs that it went through, the caller's first.
  std::vector<size_t> m_Path;
  /// The pool that has it.
  balancing::PoolId m_Pool;
  uint32_t m_Attempts = 0;
};

/// Where the answer to a request goes.
struct Route {
  size_t m_Entry = 0;
  balancing::PoolId m_Pool;
  balancing::AttemptId m_Attempt = 0;
  balancing::ServerId m_Server;
  bool m_Arrived = false;
  bool m_Cancelled = false;
};

/// Callers of one service in one data centre.
struct Callers {
  LoadLayout m_Load;
  /// For arrivals and work, the same whatever the decisions are.
  std::mt19937_64 m_Random;
  /// For choices among addresses.
  std::mt19937_64 m_Choices;
  double m_Factor = 1.0;
  /// Changes when the rate changes, so that older arrivals are dropped.
  uint64_t m_Generation = 0;
  std::vector<Target> m_Targets;
  TimePoint m_TargetsUntil;
};

/// All parts of a run. Its functions are grouped by source file.
struct World {
  explicit World(Layout Layout);

  // World.cpp: parts, servers and messages to them.
  const ServiceLayout &service(const std::string &Name) const;
  FakeServer &server(const std::string &Name);
  FakeEntry *findEntry(const std::string &Name);
  Party party(const FakeServer &Server) const;
  void sendRequest(RequestId Id, const Request &Request, Duration Delay);
  void sendCancel(RequestId Id);
  void returnAnswer(RequestId Id, const Answer &Answer);
  void sendProbe(size_t Entry, const balancing::PoolId &Pool,
                 const balancing::ServerId &Server);
  std::vector<balancing::ServerRecord>
  listServers(const balancing::PoolId &Pool) const;
  catalogue::ServiceEntry entryFor(const std::string &Service) const;

  // Callers.cpp: arrivals and answers.
  void startCallers();
  void scheduleArrival(size_t Load);
  void issueCall(size_t Load, Duration Work, uint32_t RetriesLeft);
  void tryTarget(balancing::CallId Call, std::vector<Target> Targets);
  void hangUp(balancing::CallId Call, Told Told);
  void passBack(balancing::CallId Call, size_t Hop, Told Told,
                Duration RetryAfter, bool Mismatched);
  void close(balancing::CallId Call, Told Told, Duration RetryAfter,
             bool Mismatched);
  Duration drawWork(const std::string &Service);
  std::vector<Target> ownerTargets(const LoadLayout &Load) const;
  std::vector<Target> everyTarget(const LoadLayout &Load) const;
  std::vector<Target> targetsFor(Callers &Callers);

  // Owners.cpp: who decides for a pool.
  void startOwners();
  void startPool(size_t Entry, const balancing::PoolId &Pool,
                 balancing::TookOver TookOver);
  std::vector<balancing::ServerDigest>
  trueDigest(const balancing::PoolId &Pool) const;
  bool isInService(const balancing::PoolId &Pool) const;
  std::optional<size_t> ownerOf(const balancing::PoolId &Pool) const;
  std::vector<balancing::PoolId> poolsOf(const std::string &Service) const;
  std::vector<balancing::PoolId> peersOf(const balancing::PoolId &Pool) const;
  void stopEntry(size_t Entry);
  Duration longestTimeout() const;
  void loseEntry(size_t Entry);
  void takeOver(const balancing::PoolId &Pool, size_t Lost, TimePoint LostAt);
  std::optional<size_t> successor(const balancing::PoolId &Pool) const;
  void sendDigests();
  void reviveEntry(size_t Entry);
  void announceServers();
  void announceEntries();
  void setStoreUp(bool Up);

  // FaultHost.cpp: faults.
  void apply(const Fault &Fault);
  void applyToServer(FakeServer &Server, const Fault &Fault);
  void applyToEntry(size_t Entry, const Fault &Fault);
  void disturb(const Fault &Fault);
  void changeLoad(const Fault &Fault);
  void changeDataCentre(const Fault &Fault);
  void stopServer(FakeServer &Server);
  void restartCold(FakeServer &Server);
  void endLater(const Fault &Fault, std::function<void()> End);

  Layout m_Layout;
  EventQueue m_Queue;
  FakeNetwork m_Network;
  Ledger m_Ledger;
  std::map<std::string, std::unique_ptr<FakeServer>> m_Servers;
  std::vector<std::unique_ptr<FakeEntry>> m_Entries;
  std::vector<Callers> m_Callers;
  std::map<balancing::PoolId, size_t> m_Owners;
  /// The last digest that each owner sent about its pool.
  std::map<balancing::PoolId, std::vector<balancing::ServerDigest>> m_Digests;
  std::map<balancing::CallId, OpenCall> m_Open;
  std::map<RequestId, Route> m_Routes;
  /// For the work of attempts after the first.
  std::mt19937_64 m_AttemptRandom;
  RequestId m_LastRequest = 0;
  uint64_t m_LastWake = 0;
  std::set<std::string> m_DataCentresOut;
  /// Entry VMs that the addresses leave out.
  std::set<size_t> m_KnownLost;
  std::set<std::string> m_ListedLeaving;
  bool m_StoreUp = true;
  /// Counts outages and restarts, so that timers of earlier ones are dropped.
  uint64_t m_StoreChanges = 0;
  std::map<size_t, uint64_t> m_EntryChanges;
};

} // namespace hyssopcross::testbed

#endif
