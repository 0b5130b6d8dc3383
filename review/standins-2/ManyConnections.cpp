// Clients open as many connections as the process may have descriptors, and
// send nothing. A VM that says that it is ready must go on to take connections
// and to answer ordinary callers.
#include "Kit.h"
#include <algorithm>
#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

using namespace review;

namespace {

constexpr int Crowds = 6;
constexpr int ClientsOfCrowd = 750;
constexpr double CrowdS = 40;
constexpr int Callers = 8;
/// The bound ContactS.
constexpr double ContactS = 3;
constexpr double WatchS = 12;

/// Holds connections to a port from a process of its own, and opens each again
/// that is closed.
pid_t startCrowd(const std::string &Host, int Port) {
  pid_t Process = ::fork();
  if (Process != 0)
    return Process;
  std::vector<std::shared_ptr<Connection>> Open(ClientsOfCrowd);
  pid_t Parent = ::getppid();
  for (double Until = now() + CrowdS; now() < Until && ::getppid() == Parent;
       sleepFor(0.05))
    for (auto &Each : Open)
      if (!Each || Each->isEnded())
        Each = Connection::open(Host, Port);
  std::_Exit(0);
}

struct Outcome {
  int m_Asked = 0;
  int m_Answered = 0;
  /// Longest time in which no caller got an answer and the VM said that it is
  /// ready.
  double m_LongestS = 0;
  bool m_IsAlive = false;
  int m_LastStatus = 0;
};

/// Callers ask on new connections; the platform asks for readiness on one that
/// it keeps.
void watch(EntryVm &Vm, Connection &Platforms, Record &Log, Outcome &Into) {
  std::atomic<bool> Ended = false;
  std::atomic<int> Asked = 0;
  std::atomic<int> Answered = 0;
  std::atomic<double> AnsweredAt = now();
  std::vector<std::thread> Threads;
  Threads.reserve(Callers);
  for (int I = 0; I < Callers; ++I)
    Threads.emplace_back([&, I] {
      for (int Turn = 0; !Ended; ++Turn) {
        std::string Id = std::to_string(I) + "-" + std::to_string(Turn);
        ++Asked;
        int Status = ask(
            Vm, request("GET", "shop.example", "/lookup/" + Id, Id, 2000), 2);
        Log.line("answer id=" + Id + " status=" + std::to_string(Status));
        if (Status > 0) {
          ++Answered;
          AnsweredAt = now();
        }
        sleepFor(0.1);
      }
    });
  for (double Until = now() + WatchS; now() < Until; sleepFor(1)) {
    bool IsSent =
        Platforms.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    auto Answer = IsSent ? Platforms.read(1, true) : std::nullopt;
    bool IsReady = Answer && Answer->status() == 200;
    double Silent = now() - AnsweredAt;
    if (IsReady)
      Into.m_LongestS = std::max(Into.m_LongestS, Silent);
    Log.line("ready=" + std::to_string(IsReady) +
             " descriptors=" + std::to_string(Vm.openDescriptors()) +
             " without_answer_s=" + std::to_string(Silent));
  }
  Ended = true;
  for (std::thread &Each : Threads)
    Each.join();
  Into.m_Asked = Asked;
  Into.m_Answered = Answered;
}

Outcome play(Record &Log, const Folder &Temporary) {
  Store Platform(Log);
  Json Routes = {{"r-lookup", route("shop.example", "/lookup/", "safe",
                                    "lookups", 2, 0.5)}};
  Platform.put("op", "config", configuration(7, Routes, {"lookups"}).dump());
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 1; I <= 4; ++I) {
    Server::Options Given;
    Given.m_Id = "i-lookups-" + std::to_string(I);
    Given.m_Service = "lookups";
    Servers.push_back(std::make_unique<Server>(Given, Platform, Log));
  }
  EntryVm Vm({}, Platform.port(), Temporary.path(), Log);
  if (!Vm.awaitReady(10))
    finish(Log, "the VM is not ready", CouldNotRun);
  auto Platforms = Connection::open(Vm.host(), Vm.readinessPort());
  if (!Platforms)
    finish(Log, "no connection to the VM", CouldNotRun);
  sleepFor(4);
  std::vector<pid_t> Crowd;
  for (int I = 0; I < Crowds && hasTrouble(); ++I)
    Crowd.push_back(startCrowd(Vm.host(), Vm.callersPort()));
  sleepFor(2);
  Outcome Made;
  watch(Vm, *Platforms, Log, Made);
  Made.m_IsAlive = Vm.isAlive();
  for (pid_t Each : Crowd)
    ::kill(Each, SIGKILL);
  for (pid_t Each : Crowd)
    ::waitpid(Each, nullptr, 0);
  sleepFor(2);
  Made.m_LastStatus =
      ask(Vm, request("GET", "shop.example", "/lookup/last", "last", 2000), 3);
  return Made;
}

} // namespace

int main(int Count, char **Words) {
  Record Log(Count > 1 ? Words[1] : "record.txt");
  auto Temporary = std::make_unique<Folder>();
  Outcome Seen = play(Log, *Temporary);
  Temporary.reset();
  bool IsBroken = !Seen.m_IsAlive || Seen.m_LongestS > ContactS;
  finish(Log,
         "asked=" + std::to_string(Seen.m_Asked) +
             " answered=" + std::to_string(Seen.m_Answered) +
             " longest_without_answer_s=" + std::to_string(Seen.m_LongestS) +
             " alive=" + std::to_string(Seen.m_IsAlive) +
             " last_status=" + std::to_string(Seen.m_LastStatus),
         IsBroken ? Broken : Held);
}
