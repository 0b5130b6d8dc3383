// Clients pipeline requests and do not read the answers. The process must stay
// within the memory of its machine.
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

struct Outcome {
  double m_PeakMb = 0;
  bool m_IsAlive = false;
  int m_LimitMb = 0;
  int m_LastStatus = 0;
  int m_Read = 0;
};

Outcome play(Record &Log, const Folder &Temporary) {
  Store Platform(Log);
  Json Routes = {{"r-photo", route("shop.example", "/photo/", "safe", "photos",
                                   2.5, 0.4)}};
  Platform.put("op", "config", configuration(7, Routes, {"photos"}).dump());
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 1; I <= 9; ++I) {
    Server::Options Given;
    Given.m_Id = "i-photos-" + std::to_string(I);
    Given.m_Service = "photos";
    Given.m_Slots = 3;
    Given.m_AnswerBytes = AnswerBytes;
    Servers.push_back(std::make_unique<Server>(Given, Platform, Log));
  }
  EntryVm::Options Machine;
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
  std::atomic<int> Read = 0;
  std::vector<std::thread> Readers;
  if (!hasTrouble())
    for (auto &Each : Open)
      Readers.emplace_back([&Read, Each] {
        for (int I = 0; I < RequestsOfClient; ++I)
          if (auto Got = Each->read(5, true); Got && Got->status() == 200)
            ++Read;
      });
  for (int Turn = 0; Turn < RequestsOfClient; ++Turn)
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
  Outcome Made{Vm.peakMb(), Vm.isAlive(), Machine.m_MemoryMb, 0, Read};
  Open.clear();
  sleepFor(2);
  Made.m_LastStatus =
      ask(Vm, request("GET", "shop.example", "/photo/last", "last", 2500), 3);
  return Made;
}

} // namespace

int main(int Count, char **Words) {
  Record Log(Count > 1 ? Words[1] : "record.txt");
  auto Temporary = std::make_unique<Folder>();
  Outcome Seen = play(Log, *Temporary);
  Temporary.reset();
  bool IsBroken = !Seen.m_IsAlive || Seen.m_PeakMb > Seen.m_LimitMb;
  finish(Log,
         "peak_mb=" + std::to_string(Seen.m_PeakMb) +
             " memory_mb=" + std::to_string(Seen.m_LimitMb) +
             " alive=" + std::to_string(Seen.m_IsAlive) +
             " answers_read=" + std::to_string(Seen.m_Read) +
             " last_status=" + std::to_string(Seen.m_LastStatus),
         IsBroken ? Broken : Held);
}
