#ifndef HYSSOPCROSS_REVIEW_STANDINS_DEPLOYMENT_H
#define HYSSOPCROSS_REVIEW_STANDINS_DEPLOYMENT_H

#include "Http.h"
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review {

/// record.txt of a case: what was sent, answered and run, with the seconds
/// since the start.
class Record {
public:
  explicit Record(const std::string &Path) : m_File(Path) {}
  void note(const std::string &Line);
  double now() const;

private:
  std::mutex m_Mutex;
  std::ofstream m_File;
  Time m_Start = Clock::now();
};

/// The platform's metadata store: reads, watches and transactions.
class Store {
public:
  Store(const Address &At, Record &Notes);
  void put(const std::string &Table, const std::string &Key,
           const nlohmann::json &Value);
  void stop();

private:
  struct Row {
    std::string m_Value;
    uint64_t m_Version = 0;
    bool m_Removed = false;
  };
  void serve(Connection &With);
  nlohmann::json rows(const std::string &Table, uint64_t After,
                      bool WithRemoved, const std::string &From);
  std::string answer(const Message &Asked);

  Record &m_Notes;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  bool m_Ended = false;
  uint64_t m_Version = 10;
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::unique_ptr<Server> m_Server;
};

/// A run of a request at an upstream.
struct Run {
  std::string m_Id;
  std::string m_Upstream;
  std::string m_Method;
  std::string m_Target;
  std::string m_Body;
  /// The upstream wrote its whole answer.
  bool m_Answered = false;
};

/// An upstream: two slots by default, a short queue, health checks that answer
/// at once and state the load.
class Upstream {
public:
  Upstream(std::string Id, std::string Service, std::string Zone,
           const Address &At, Record &Notes);
  nlohmann::json entry() const;
  const std::string &id() const { return m_Id; }
  std::vector<Run> runs() const;

  /// How long the work of a request takes.
  std::atomic<double> m_WorkSeconds{0.06};
  std::atomic<int> m_Slots{2};

private:
  void serve(Connection &With);
  bool work(Connection &With, const Message &Asked);
  std::string load();

  std::string m_Id;
  std::string m_Service;
  std::string m_Zone;
  Address m_At;
  Record &m_Notes;
  mutable std::mutex m_Mutex;
  std::condition_variable m_Freed;
  int m_Running = 0;
  int m_Waiting = 0;
  std::vector<Run> m_Runs;
  std::unique_ptr<Server> m_Server;
};

/// One process of the system on a machine of its own: a loopback address.
class Entry {
public:
  Entry(std::string Name, std::string Host, std::string Zone)
      : m_Name(std::move(Name)), m_Host(std::move(Host)),
        m_Zone(std::move(Zone)) {}
  std::string m_Name;
  std::string m_Host;
  std::string m_Zone;
  pid_t m_Process = -1;

  bool isRunning();
  /// Resident memory in bytes; 0 if the process has ended.
  uint64_t memory() const;
  void signal(int Which) const;
  /// Waits for the end; kills the process at the latest at a time.
  void awaitEnd(Time Until);
};

/// What a case needs of one route.
struct RouteOptions {
  std::string m_Name;
  std::string m_Kind = "safe";
  std::string m_Service;
  double m_Timeout = 1.2;
  double m_Objective = 0.6;
};

/// A small deployment on loopback addresses: store, upstreams and entry VMs.
class Deployment {
public:
  /// Folder is that of the case, for record.txt.
  Deployment(const std::string &Folder, int Entries);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  Upstream &addUpstream(const std::string &Service);
  void configure(const std::vector<RouteOptions> &Routes,
                 uint32_t MaxHeaderBytes = 16384);
  /// Writes a row of the store as the operator or an upstream does.
  void put(const std::string &Table, const std::string &Key,
           const nlohmann::json &Value) {
    m_Store->put(Table, Key, Value);
  }
  /// Starts all entry VMs and waits until each says it is ready.
  bool start();
  void startEntry(Entry &Which, bool IsFirst);
  bool awaitReady(Entry &Which, double Seconds);
  Address callersOf(const Entry &Which) const {
    return {Which.m_Host, m_CallersPort};
  }
  std::vector<Run> runs() const;

  Record m_Record;
  std::vector<std::unique_ptr<Entry>> m_Entries;
  std::vector<std::unique_ptr<Upstream>> m_Upstreams;

private:
  uint16_t freePort();

  std::string m_Temporary;
  uint16_t m_NextPort = 0;
  uint16_t m_CallersPort = 0;
  uint16_t m_ReadyPort = 0;
  uint16_t m_DirectoryPort = 0;
  uint16_t m_FleetPort = 0;
  uint16_t m_InternalPort = 0;
  Address m_StoreAddress;
  std::unique_ptr<Store> m_Store;
};

/// The bytes of a client's request.
std::string request(const std::string &Method, const std::string &Route,
                    const std::string &Id, int DeadlineMillis,
                    const std::string &Body = "");

/// Whether the environment asks for the run with the disruption.
bool hasTrouble();

constexpr int RuleBroken = 1;
constexpr int RuleHeld = 0;
constexpr int CouldNotRun = 2;

} // namespace review

#endif
