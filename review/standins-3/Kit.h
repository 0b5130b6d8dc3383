// Stand-ins for the cases 11 to 15: a client's connection, the platform's
// store, upstreams, and the processes of a small deployment. Blocking sockets
// and one thread for each connection, so that a case reads as a sequence.
#ifndef HYSSOPCROSS_REVIEW_STANDINS3_KIT_H
#define HYSSOPCROSS_REVIEW_STANDINS3_KIT_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

/// Milliseconds since the start of the program.
int64_t nowMs();
void sleepMs(int64_t Millis);

/// Writes one line to record.txt and to the standard output.
void record(const std::string &Line);
void openRecord(const std::string &Path);

/// A request or an answer as it was read.
struct Message {
  std::string m_Start;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  std::string m_Body;
  /// Read to its end: its stated length, or the end of its chunks.
  bool m_IsWhole = false;

  /// Value of a header, in any letter case; empty if there is none.
  std::string header(std::string_view Name) const;
  /// Status of an answer; 0 if nothing was read.
  int status() const;
  std::string method() const;
  std::string target() const;
};

/// One TCP connection on loopback.
class Connection {
public:
  explicit Connection(int Socket) : m_Socket(Socket) {}
  Connection(const std::string &Host, uint16_t Port);
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool isOpen() const { return m_Socket >= 0; }
  /// False if the peer does not take the bytes.
  bool send(const std::string &Bytes);
  /// Reads the next message. Not whole if the peer ends or the time passes.
  Message read(int64_t TimeoutMs, bool IsAnswer);
  /// True once the peer has ended its side, or after a failure.
  bool isEnded() const { return m_Ended; }
  /// Waits up to this time for the peer's end; true if it came.
  bool waitForEnd(int64_t TimeoutMs);
  void close();
  /// Ends the connection with a reset.
  void reset();
  /// Reads no faster than this from now on, as behind a link of that bandwidth.
  void limitRate(int64_t BytesPerMs);
  /// Called with a head before the body after it is read.
  std::function<void(const Message &)> m_BeforeBody;

private:
  bool fill(int64_t UntilMs);

  int m_Socket = -1;
  bool m_Ended = false;
  int64_t m_BytesPerMs = 0;
  int64_t m_ReadSince = 0;
  int64_t m_ReadBytes = 0;
  std::string m_Buffer;
};

/// Accepts connections and serves each on a thread of its own.
class Server {
public:
  using Handler = std::function<void(Connection &)>;
  Server(const std::string &Host, uint16_t Port, Handler Serve);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  bool isListening() const { return m_Listener >= 0; }

private:
  void accept();

  Handler m_Serve;
  int m_Listener = -1;
  std::atomic<bool> m_Stopping{false};
  std::thread m_Acceptor;
};

/// The platform's store: rows, reads, watches and transactions.
class Store {
public:
  Store(const std::string &Host, uint16_t Port);

  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);
  /// Keys of the rows of a table.
  std::vector<std::string> keys(const std::string &Table);
  /// While the store is away, it answers 503 and does nothing.
  void setAway(bool IsAway) { m_IsAway = IsAway; }
  /// The contents at one moment.
  struct Copy;
  std::shared_ptr<const Copy> copy();
  /// Returns to an older copy. Versions after that of the copy are given out
  /// again, and the era rises by one.
  void restore(const Copy &From);
  uint64_t version();

private:
  struct Row {
    std::string m_Value;
    uint64_t m_Version = 0;
    bool m_Removed = false;
  };

  void serve(Connection &With);
  std::string answer(const Message &Asked);
  std::string rowsText(const std::string &Table, uint64_t After,
                       const std::string &From, bool IsFeed, bool &IsEmpty);
  std::string transact(const std::string &Body);

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  uint64_t m_Version = 10;
  uint64_t m_Era = 1;
  std::atomic<bool> m_IsAway{false};
  std::unique_ptr<Server> m_Server;
};

/// What an upstream does with one request.
struct Run {
  const Message &m_Request;
  Connection &m_With;
  /// Set to false if the connection ends after this request.
  bool m_KeepOpen = true;
};

/// One upstream. Registers itself in the store.
class Upstream {
public:
  using Handler = std::function<void(Upstream &, Run &)>;
  Upstream(Store &In, std::string Id, std::string Service, std::string Zone,
           std::string Host, uint16_t Port, Handler Serve);

  /// Answers a request with 200, the signature and a body.
  void answer(const Run &To, const std::string &Body,
              const std::string &MoreHeaders = "") const;
  const std::string &id() const { return m_Id; }
  /// Called with a head before the body after it is read.
  std::function<void(Upstream &, Connection &, const Message &)> m_BeforeBody;
  /// Writes the entry of this upstream.
  void registerAs(const std::string &State);

private:
  void serve(Connection &With);

  Store &m_Store;
  std::string m_Id;
  std::string m_Service;
  std::string m_Zone;
  std::string m_Host;
  uint16_t m_Port;
  int64_t m_Born;
  Handler m_Handler;
  std::unique_ptr<Server> m_Server;
};

/// Settings of one entry VM, as the deploy file's template has them.
struct VmSettings {
  std::string m_Name;
  std::string m_Zone = "aqp-a";
  std::string m_Host;
  std::string m_StoreHost;
  std::string m_Seeds;
  bool m_FirstStart = true;
  int m_GraceS = 6;
};

constexpr uint16_t FrontPort = 18641;
constexpr uint16_t ReadyPort = 18640;
constexpr uint16_t DirectoryPort = 18644;
constexpr uint16_t FleetPort = 17620;
constexpr uint16_t InternalPort = 17635;
constexpr uint16_t StorePort = 18700;

/// One process of the project.
class Vm {
public:
  Vm(VmSettings Given, std::string Folder);
  ~Vm();
  Vm(const Vm &) = delete;
  Vm &operator=(const Vm &) = delete;

  void start();
  void signal(int Number) const;
  /// Waits for the end of the process; true if it ended in time.
  bool waitForEnd(int64_t TimeoutMs);
  bool isRunning();
  /// Waits until the readiness address answers 200.
  bool waitForReadiness(int64_t TimeoutMs) const;
  const std::string &host() const { return m_Settings.m_Host; }
  pid_t pid() const { return m_Pid; }
  /// Memory that the process holds itself, without code and shared files, in
  /// MB.
  int64_t ownMb() const;
  std::string logPath() const;

private:
  VmSettings m_Settings;
  std::string m_Folder;
  pid_t m_Pid = -1;
  int m_Starts = 0;
};

/// Entry VMs of one deployment, and its store.
class Deployment {
public:
  /// Prepares this number of VMs, in the data centres aqp-a, aqp-b and aqp-c by
  /// turns. Seeds are the first three.
  explicit Deployment(int Vms);

  /// Starts all VMs and waits until each is ready; exits with 2 if one is not.
  void start();
  Vm &vm(int Index) { return *m_Vms[Index]; }
  Store &store() { return *m_Store; }
  /// Address of an upstream.
  std::string upstreamHost(int Index) const;
  const std::string &folder() const { return m_Folder; }
  const std::string &network() const { return m_Network; }
  /// Settings of a further VM.
  VmSettings settingsOf(int Index) const;
  /// Ends all processes, removes the folder and exits.
  [[noreturn]] void finish(int Status);

private:
  std::string m_Network;
  std::string m_Folder;
  int m_Count;
  std::unique_ptr<Store> m_Store;
  std::vector<std::unique_ptr<Vm>> m_Vms;
};

/// A free part of the loopback network: 127.A.B.0. Exits with 2 if there is
/// none.
std::string freeNetwork();
/// A random id, as clients use them.
std::string newId();
/// True unless TROUBLE=0.
bool hasTrouble();

/// A configuration with one route for each entry: host, prefix, kind, service,
/// timeout.
struct RouteText {
  std::string m_Name;
  std::string m_Host;
  std::string m_Prefix;
  std::string m_Kind;
  std::string m_Service;
  double m_TimeoutS = 10;
  int m_Attempts = 2;
};
std::string configurationText(uint32_t Version,
                              const std::vector<RouteText> &Routes,
                              const std::string &More = "");

} // namespace kit

#endif
