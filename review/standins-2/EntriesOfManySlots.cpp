// A writer other than the servers leaves entries in which a field is missing
// and the number of slots is large. They name no server to use, and the
// requests to the servers of the service must go on to be answered in time.
#include "Kit.h"
#include <algorithm>

using namespace review;

namespace {

constexpr int Entries = 60;
constexpr int Slots = 1000000;
constexpr int Requests = 400;
/// The entries are written when so many requests have been sent.
constexpr int RequestsBefore = 100;
constexpr double RequestS = 0.02;
/// The route's TimeoutS, and the half second after it that the rule allows.
constexpr double TimeoutS = 1.2;
constexpr double LateS = TimeoutS + 0.5;
constexpr int DeadlineMs = 2500;
/// How long a client goes on to wait, to measure.
constexpr double WatchS = 10;
/// Fewer requests than this beyond TimeoutS are no matter of the rule.
constexpr int LeastLate = 8;

struct Outcome {
  int m_Good = 0;
  /// Without an answer at TimeoutS, and half a second later.
  int m_AtTimeout = 0;
  int m_Late = 0;
  double m_LongestS = 0;
};

void writeEntries(Store &Platform, Server &Like, int SilentPort, Record &Log) {
  Json Entry = Like.entry();
  Entry["Address"] = "127.0.0.1:" + std::to_string(SilentPort);
  Entry["Information"]["Slots"] = Slots;
  Entry["Status"].erase("Sequence");
  for (int I = 0; I < Entries; ++I)
    Platform.put("servers", "i-left-" + std::to_string(I), Entry.dump());
  Log.line("entries of another writer: " + std::to_string(Entries) + " " +
           Entry.dump());
}

Outcome play(Record &Log, const Folder &Temporary) {
  Store Platform(Log);
  Json Routes = {{"r-stock", route("shop.example", "/stock/", "safe", "stock",
                                   TimeoutS, 0.6)}};
  Platform.put("op", "config", configuration(7, Routes, {"stock"}).dump());
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 1; I <= 6; ++I) {
    Server::Options Given;
    Given.m_Id = "i-stock-" + std::to_string(I);
    Given.m_Service = "stock";
    Servers.push_back(std::make_unique<Server>(Given, Platform, Log));
  }
  // Takes connections and answers nothing.
  Listener Silent("127.0.0.1", [](const std::shared_ptr<Connection> &From) {
    while (From->read(WatchS, false)) {
    }
  });
  EntryVm Vm({}, Platform.port(), Temporary.path(), Log);
  if (!Vm.awaitReady(10))
    finish(Log, "the VM is not ready", CouldNotRun);
  sleepFor(4);
  Outcome Made;
  std::mutex Mutex;
  std::vector<std::thread> Clients;
  Clients.reserve(Requests);
  for (int I = 0; I < Requests; ++I) {
    if (I == RequestsBefore && hasTrouble())
      writeEntries(Platform, *Servers.front(), Silent.port(), Log);
    Clients.emplace_back([&, I] {
      std::string Id = "s" + std::to_string(I);
      double Start = now();
      int Status = ask(
          Vm, request("GET", "shop.example", "/stock/" + Id, Id, DeadlineMs),
          WatchS);
      double Took = now() - Start;
      Log.line("answer id=" + Id + " status=" + std::to_string(Status) +
               " took_s=" + std::to_string(Took));
      std::lock_guard Lock(Mutex);
      Made.m_Good += Status == 200;
      Made.m_AtTimeout += Took > TimeoutS;
      Made.m_Late += Took > LateS;
      Made.m_LongestS = std::max(Made.m_LongestS, Took);
    });
    sleepFor(RequestS);
  }
  for (std::thread &Each : Clients)
    Each.join();
  return Made;
}

} // namespace

int main(int Count, char **Words) {
  Record Log(Count > 1 ? Words[1] : "record.txt");
  auto Temporary = std::make_unique<Folder>();
  Outcome Seen = play(Log, *Temporary);
  Temporary.reset();
  bool IsBroken =
      Seen.m_Late >= LeastLate && 2 * Seen.m_Late > Seen.m_AtTimeout;
  int Code = IsBroken ? Broken : Held;
  finish(Log,
         "requests=" + std::to_string(Requests) +
             " answered_200=" + std::to_string(Seen.m_Good) +
             " unanswered_at_timeout=" + std::to_string(Seen.m_AtTimeout) +
             " unanswered_half_a_second_later=" + std::to_string(Seen.m_Late) +
             " longest_s=" + std::to_string(Seen.m_LongestS),
         Seen.m_Good == 0 ? CouldNotRun : Code);
}
