// Stand-ins for the scripts of review/6 to review/10: the platform's store,
// backend servers, clients, and the processes of entry VMs. Blocking sockets
// and one thread a connection, so that each stays a few lines.
#ifndef HYSSOPCROSS_REVIEW_STANDINS2_KIT_H
#define HYSSOPCROSS_REVIEW_STANDINS2_KIT_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review {

using Json = nlohmann::json;
using Millis = std::chrono::milliseconds;

/// Exit codes of a script.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/// Seconds since the program started.
double now();
void sleepFor(double Seconds);
/// False if the environment says TROUBLE=0.
bool hasTrouble();

/// Writes lines with their time to the file record.txt.
class Record {
public:
  explicit Record(const std::string &Path);
  void line(const std::string &Text);

private:
  std::mutex m_Mutex;
  std::unique_ptr<std::FILE, int (*)(std::FILE *)> m_File;
};

/// A message of HTTP/1.1 as it was read.
struct Message {
  std::string m_StartLine;
  /// Names in lower case.
  std::multimap<std::string, std::string> m_Fields;
  std::string m_Body;

  std::string field(const std::string &Name) const;
  /// Of a response; zero if there is none.
  int status() const;
  /// Of a request.
  std::string method() const;
  std::string target() const;
  std::string path() const;
  std::string parameter(const std::string &Name) const;
};

/// A connection with a buffer for what has been read and not used.
class Connection {
public:
  explicit Connection(int Socket) : m_Socket(Socket) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Opens a connection to a loopback address; null if it fails. ReceiveBytes
  /// sets the size of the receive buffer, if it is not zero.
  static std::shared_ptr<Connection> open(const std::string &Host, int Port,
                                          int ReceiveBytes = 0);
  bool send(std::string_view Bytes);
  /// Reads one message; nothing if the connection ends before, or the time is
  /// over. IsResponse: a body without a length ends with the connection.
  std::optional<Message> read(double TimeoutS, bool IsResponse);
  /// Whether the peer has ended the connection or reset it.
  bool isEnded();
  void close();
  /// Ends the connection in both directions, from any thread.
  void shutdown();

private:
  bool readSome(double Until);

  int m_Socket;
  std::string m_Buffer;
  bool m_Ended = false;
};

/// Listens on a port of a loopback address and runs a handler for each
/// connection on a thread of its own.
class Listener {
public:
  using Handler = std::function<void(const std::shared_ptr<Connection> &)>;
  Listener(const std::string &Host, Handler Handle);
  ~Listener();
  int port() const { return m_Port; }

private:
  struct Session {
    std::shared_ptr<Connection> m_From;
    std::thread m_Thread;
  };
  void accept(const Handler &Handle);

  int m_Socket = -1;
  int m_Port = 0;
  std::thread m_Thread;
  std::atomic<bool> m_Ended = false;
  std::vector<Session> m_Sessions;
};

std::string response(int Status, const std::string &Fields,
                     std::string_view Body);

/// The platform's store, with the calls that an entry VM makes: reads, feeds
/// and transactions of tables without parts.
class Store {
public:
  explicit Store(Record &Log);
  ~Store();
  int port() const { return m_Listener.port(); }
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);

private:
  struct Row {
    std::string m_Value;
    uint64_t m_Version = 0;
    bool m_Removed = false;
  };
  void serve(const std::shared_ptr<Connection> &From);
  std::string answer(const Message &Asked);
  Json rows(const std::string &Table, const std::string &From, uint64_t After,
            bool WithRemoved) const;

  Record &m_Record;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::pair<std::string, std::string>, Row> m_Rows;
  uint64_t m_Version = 10;
  bool m_Ended = false;
  Listener m_Listener;
};

/// One backend server. Registers itself in the store and renews its entry.
class Server {
public:
  struct Options {
    std::string m_Id;
    std::string m_Service;
    std::string m_DataCentre = "dc-a";
    int m_Slots = 2;
    /// Requests beyond the slots that wait for one.
    int m_Queue = 4;
    /// How long a request runs, and how much longer for each MiB of its body.
    double m_WorkS = 0.06;
    double m_WorkPerMibS = 0;
    size_t m_AnswerBytes = 400;
    double m_HeartbeatS = 1.5;
  };
  /// One request that began to run.
  struct Run {
    double m_At = 0;
    std::string m_Request;
    std::string m_Target;
  };

  Server(Options Given, Store &Platform, Record &Log);
  ~Server();
  const Options &options() const { return m_Options; }
  std::string address() const;
  std::vector<Run> runs();
  /// The entry as the server writes it.
  Json entry();

private:
  void serve(const std::shared_ptr<Connection> &From);
  std::string answer(const Message &Asked);
  void beat();

  Options m_Options;
  Store &m_Store;
  Record &m_Record;
  std::atomic<int> m_Running = 0;
  std::atomic<int> m_Waiting = 0;
  std::atomic<int> m_Sequence = 0;
  int64_t m_Born;
  std::mutex m_Mutex;
  std::condition_variable m_Freed;
  std::vector<Run> m_Runs;
  std::atomic<bool> m_Ended = false;
  Listener m_Listener;
  std::thread m_Beats;
};

/// A process of the deploy file on a loopback address.
class EntryVm {
public:
  struct Options {
    std::string m_Name = "entry-1";
    std::string m_Host = "127.0.0.1";
    std::string m_DataCentre = "dc-a";
    std::vector<std::string> m_Seeds;
    int m_FleetPort = 0;
    int m_InternalPort = 0;
    int m_MemoryMb = 260;
    int m_Descriptors = 4100;
    /// The platform kills a process that exceeds its memory.
    bool m_IsKilledOverMemory = false;
  };
  EntryVm(Options Given, int StorePort, const std::string &Folder, Record &Log);
  ~EntryVm();
  const std::string &host() const { return m_Options.m_Host; }
  int callersPort() const { return m_Callers; }
  int readinessPort() const { return m_Readiness; }
  /// Waits until the readiness address answers 200.
  bool awaitReady(double TimeoutS);
  bool isReady();
  /// Does nothing once the process has been waited for.
  void signal(int Number);
  /// Whether the process has not ended.
  bool isAlive();
  /// Waits for the end of the process.
  bool awaitEnd(double TimeoutS);
  /// Memory that the process holds itself, without code and shared files, in
  /// MB; and the highest value seen. Both are zero if unknown.
  double heldMb() const;
  double peakMb() const { return m_PeakMb; }
  bool wasKilledOverMemory() const { return m_WasKilled; }
  int openDescriptors() const;

private:
  Options m_Options;
  Record &m_Record;
  int m_Callers = 0;
  int m_Readiness = 0;
  int m_Directory = 0;
  /// Not positive once the process has been waited for.
  std::atomic<pid_t> m_Process = -1;
  std::atomic<double> m_PeakMb = 0;
  std::atomic<bool> m_WasKilled = false;
  std::atomic<bool> m_Ended = false;
  std::thread m_Sampler;
};

/// A port of a loopback address that is free for TCP and UDP.
int freePort(const std::string &Host);
/// A temporary folder that is removed at the end of the program.
class Folder {
public:
  Folder();
  ~Folder();
  const std::string &path() const { return m_Path; }

private:
  std::string m_Path;
};

/// A route and a service of a configuration, with the limits of the pages'
/// example.
Json route(const std::string &Host, const std::string &Prefix,
           const std::string &Kind, const std::string &Service, double TimeoutS,
           double TargetS);
Json configuration(int Version, const Json &Routes,
                   const std::vector<std::string> &Services);

/// A request of a client.
std::string request(const std::string &Method, const std::string &Host,
                    const std::string &Target, const std::string &Id,
                    int DeadlineMs, std::string_view Body = {});

/// Sends one request on a new connection. The status of the answer, or zero if
/// there is none.
int ask(const EntryVm &To, const std::string &Text, double TimeoutS);

/// Clients of which each sends one safe request after the other on a connection
/// that it keeps, until it ends or the time is over.
class KeptCallers {
public:
  KeptCallers(const EntryVm &To, const std::string &Host,
              const std::string &Prefix, int Count, Record &Log);
  ~KeptCallers();
  /// Ends the clients once their last request is answered.
  void end();
  /// Ids of the requests that were sent after an answered one on the same
  /// connection, and whose connection ended without an answer.
  std::vector<std::string> unanswered();
  int answered() const { return m_Answered; }

private:
  void call(const EntryVm &To, const std::string &Host,
            const std::string &Prefix, int Number, Record &Log);

  std::atomic<bool> m_Ended = false;
  std::atomic<int> m_Answered = 0;
  std::mutex m_Mutex;
  std::vector<std::string> m_Unanswered;
  std::vector<std::thread> m_Threads;
};

/// How many of some requests have run at one of the servers.
int countRun(const std::vector<std::string> &Ids,
             const std::vector<std::unique_ptr<Server>> &Servers);

/// Prints and records a line, and ends the program with an exit code.
[[noreturn]] void finish(Record &Log, const std::string &Text, int Code);

} // namespace review

#endif
