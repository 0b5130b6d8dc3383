// Some clients upload bodies within the configured limits and leave while a
// server works on them. The process must stay within the memory of its machine.
#include "Kit.h"

using namespace review;

namespace {

constexpr size_t LargeBytes = 32UL << 20;
constexpr size_t OrdinaryBytes = 60000;
constexpr int LargeClients = 2;
constexpr int LargeUploads = 16;
constexpr int OrdinaryUploads = 50;
constexpr int OrdinaryClients = 8;
constexpr double WorkS = 1;
/// How long a client waits for its answer before it leaves.
constexpr double PatienceS = 0.1;

struct Outcome {
  double m_PeakMb = 0;
  bool m_IsAlive = false;
  int m_LimitMb = 0;
  int m_LastStatus = 0;
};

void uploadLarge(const EntryVm &Vm, const std::string &Id,
                 const std::string &Body, Record &Log) {
  auto To = Connection::open(Vm.host(), Vm.callersPort());
  bool IsSent = To && To->send(request("POST", "shop.example", "/photo/" + Id,
                                       Id, 2500, Body));
  Log.line("large id=" + Id + (IsSent ? " sent" : " not sent"));
  if (!IsSent)
    return;
  auto Answer = To->read(hasTrouble() ? PatienceS : 3, true);
  Log.line("large id=" + Id +
           (Answer ? " status=" + std::to_string(Answer->status())
                   : std::string(" left")));
}

Outcome play(Record &Log, const Folder &Temporary) {
  Store Platform(Log);
  Json Routes = {{"r-upload", route("shop.example", "/photo/", "upload",
                                    "photos", 2.5, 1.5)}};
  Platform.put("op", "config", configuration(7, Routes, {"photos"}).dump());
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 1; I <= 8; ++I) {
    Server::Options Given;
    Given.m_Id = "i-photos-" + std::to_string(I);
    Given.m_Service = "photos";
    Given.m_Slots = 3;
    Given.m_WorkS = WorkS;
    Servers.push_back(std::make_unique<Server>(Given, Platform, Log));
  }
  EntryVm::Options Machine;
  EntryVm Vm(Machine, Platform.port(), Temporary.path(), Log);
  if (!Vm.awaitReady(10))
    finish(Log, "the VM is not ready", CouldNotRun);
  sleepFor(4);
  std::string Large(LargeBytes, 'p');
  std::string Ordinary(OrdinaryBytes, 'p');
  std::atomic<int> NextLarge = 0;
  std::atomic<int> NextOrdinary = 0;
  std::vector<std::thread> Clients;
  Clients.reserve(LargeClients + OrdinaryClients);
  for (int I = 0; I < LargeClients; ++I)
    Clients.emplace_back([&] {
      for (int Turn = NextLarge++; Turn < LargeUploads; Turn = NextLarge++)
        uploadLarge(Vm, "large-" + std::to_string(Turn), Large, Log);
    });
  for (int I = 0; I < OrdinaryClients; ++I)
    Clients.emplace_back([&] {
      for (int Turn = NextOrdinary++; Turn < OrdinaryUploads;
           Turn = NextOrdinary++) {
        std::string Id = "ordinary-" + std::to_string(Turn);
        int Status = ask(
            Vm,
            request("POST", "shop.example", "/photo/" + Id, Id, 2500, Ordinary),
            3);
        Log.line("ordinary id=" + Id + " status=" + std::to_string(Status));
      }
    });
  for (std::thread &Each : Clients)
    Each.join();
  sleepFor(3);
  int Last = ask(
      Vm, request("POST", "shop.example", "/photo/last", "last", 2500, "p"), 3);
  return {Vm.peakMb(), Vm.isAlive(), Machine.m_MemoryMb, Last};
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
             " last_status=" + std::to_string(Seen.m_LastStatus),
         IsBroken ? Broken : Held);
}
