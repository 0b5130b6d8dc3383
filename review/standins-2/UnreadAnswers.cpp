// Clients pipeline requests and do not read the answers. A process that exceeds
// the memory of its machine is killed, and other callers must not lose their
// requests by that.
#include "Kit.h"

using namespace review;

namespace {

constexpr size_t AnswerBytes = 256UL << 10;
constexpr int Clients = 80;
constexpr int RequestsOfClient = 32;
constexpr int ReceiveBytes = 4096;
/// Clients that send a request at the same time, and the pause after them: some
/// 250 requests a second.
constexpr int Group = 10;
constexpr double PauseS = 0.04;

/// Ordinary callers on kept connections, and how long a server works for them.
constexpr int KeptClients = 10;
constexpr double KeptWorkS = 0.24;
/// The rule counts more lost requests than these.
constexpr int LostAllowed = 3;

struct Outcome {
  double m_PeakMb = 0;
  int m_LimitMb = 0;
  bool m_WasKilled = false;
  int m_Answered = 0;
  int m_Lost = 0;
  /// Answers of the pipelined requests that were read.
  int m_Read = 0;
};

Outcome play(Record &Log, const Folder &Temporary) {
  Store Platform(Log);
  Json Routes = {
      {"r-photo", route("shop.example", "/photo/", "safe", "photos", 2.5, 0.4)},
      {"r-stock", route("shop.example", "/stock/", "safe", "stock", 1.2, 0.6)}};
  Platform.put("op", "config",
               configuration(7, Routes, {"photos", "stock"}).dump());
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 1; I <= 9; ++I) {
    Server::Options Given;
    Given.m_Id = "i-photos-" + std::to_string(I);
    Given.m_Service = "photos";
    Given.m_Slots = 3;
    Given.m_AnswerBytes = AnswerBytes;
    Servers.push_back(std::make_unique<Server>(Given, Platform, Log));
  }
  for (int I = 1; I <= 6; ++I) {
    Server::Options Given;
    Given.m_Id = "i-stock-" + std::to_string(I);
    Given.m_Service = "stock";
    Given.m_Slots = 3;
    Given.m_WorkS = KeptWorkS;
    Servers.push_back(std::make_unique<Server>(Given, Platform, Log));
  }
  EntryVm::Options Machine;
  Machine.m_IsKilledOverMemory = true;
  EntryVm Vm(Machine, Platform.port(), Temporary.path(), Log);
  if (!Vm.awaitReady(10))
    finish(Log, "the VM is not ready", CouldNotRun);
  sleepFor(4);
  std::vector<std::shared_ptr<Connection>> Open;
  for (int I = 0; I < Clients; ++I) {
    Open.push_back(Connection::open(Vm.host(), Vm.callersPort(), ReceiveBytes));
    if (!Open.back())
      finish(Log, "no connection to the VM", CouldNotRun);
  }
  KeptCallers Kept(Vm, "shop.example", "/stock/", KeptClients, Log);
  std::atomic<int> Read = 0;
  std::vector<std::thread> Readers;
  if (!hasTrouble())
    for (auto &Each : Open)
      Readers.emplace_back([&Read, Each] {
        for (int I = 0; I < RequestsOfClient; ++I)
          if (auto Got = Each->read(5, true); Got && Got->status() == 200)
            ++Read;
      });
  for (int Turn = 0; Turn < RequestsOfClient && Vm.isAlive(); ++Turn)
    for (int I = 0; I < Clients; ++I) {
      std::string Id = std::to_string(I) + "-" + std::to_string(Turn);
      Open[I]->send(request("GET", "shop.example", "/photo/" + Id, Id, 2500));
      if (I % Group == 0)
        sleepFor(PauseS);
    }
  Log.line("sent requests: " + std::to_string(Clients * RequestsOfClient));
  sleepFor(1);
  for (std::thread &Each : Readers)
    Each.join();
  Kept.end();
  return {Vm.peakMb(),
          Machine.m_MemoryMb,
          Vm.wasKilledOverMemory(),
          Kept.answered(),
          countRun(Kept.unanswered(), Servers),
          Read};
}

} // namespace

int main(int Count, char **Words) {
  Record Log(Count > 1 ? Words[1] : "record.txt");
  auto Temporary = std::make_unique<Folder>();
  Outcome Seen = play(Log, *Temporary);
  Temporary.reset();
  int Code = Seen.m_Lost > LostAllowed ? Broken : Held;
  finish(Log,
         "peak_mb=" + std::to_string(Seen.m_PeakMb) +
             " memory_mb=" + std::to_string(Seen.m_LimitMb) +
             " killed=" + std::to_string(Seen.m_WasKilled) +
             " kept_answered=" + std::to_string(Seen.m_Answered) +
             " passed_on_and_lost=" + std::to_string(Seen.m_Lost) +
             " answers_read=" + std::to_string(Seen.m_Read),
         Seen.m_Answered == 0 ? CouldNotRun : Code);
}
