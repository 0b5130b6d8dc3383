// Some clients upload bodies within the configured limits and leave while a
// server works on them. A process that exceeds the memory of its machine is
// killed, and other callers must not lose their requests by that.
#include "Kit.h"

using namespace review;

namespace {

constexpr size_t LargeBytes = 32UL << 20;
constexpr size_t OrdinaryBytes = 60000;
constexpr int LargeUploads = 20;
/// One large upload begins in each such time: 895 Mbit/s, where the link of a
/// machine takes 1,000.
constexpr double LargeIntervalS = 0.3;
constexpr int OrdinaryUploads = 50;
constexpr double OrdinaryIntervalS = 0.12;
constexpr double WorkS = 0.11;
/// A server works 3 s on a large upload.
constexpr double WorkPerMibS = 0.09;
constexpr int DeadlineMs = 8000;
/// How long a client waits for its answer before it leaves.
constexpr double PatienceS = 0.1;

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
};

/// Uploads on a new connection. PatienceS is how long the client waits for its
/// answer.
void upload(const EntryVm &Vm, const std::string &Id, const std::string &Body,
            double PatienceS, Record &Log) {
  auto To = Connection::open(Vm.host(), Vm.callersPort());
  bool IsSent = To && To->send(request("POST", "shop.example", "/photo/" + Id,
                                       Id, DeadlineMs, Body));
  Log.line("upload id=" + Id + (IsSent ? " sent" : " not sent"));
  if (!IsSent)
    return;
  auto Answer = To->read(PatienceS, true);
  Log.line("upload id=" + Id +
           (Answer ? " status=" + std::to_string(Answer->status())
                   : std::string(" left")));
}

Outcome play(Record &Log, const Folder &Temporary) {
  Store Platform(Log);
  Json Routes = {
      {"r-upload", route("shop.example", "/photo/", "upload", "photos", 8, 4)},
      {"r-stock", route("shop.example", "/stock/", "safe", "stock", 1.2, 0.6)}};
  Platform.put("op", "config",
               configuration(7, Routes, {"photos", "stock"}).dump());
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 1; I <= 6; ++I) {
    Server::Options Given;
    Given.m_Id = "i-photos-" + std::to_string(I);
    Given.m_Service = "photos";
    Given.m_Slots = 3;
    Given.m_WorkS = WorkS;
    Given.m_WorkPerMibS = WorkPerMibS;
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
  std::string Large(LargeBytes, 'p');
  std::string Ordinary(OrdinaryBytes, 'p');
  KeptCallers Kept(Vm, "shop.example", "/stock/", KeptClients, Log);
  double Start = now();
  double LargePatienceS = hasTrouble() ? PatienceS : DeadlineMs / 1000.0;
  std::vector<std::thread> Clients;
  Clients.reserve(LargeUploads + OrdinaryUploads);
  for (int I = 0; I < LargeUploads; ++I)
    Clients.emplace_back([&, I] {
      sleepFor(Start + I * LargeIntervalS - now());
      upload(Vm, "large-" + std::to_string(I), Large, LargePatienceS, Log);
    });
  for (int I = 0; I < OrdinaryUploads; ++I)
    Clients.emplace_back([&, I] {
      sleepFor(Start + I * OrdinaryIntervalS - now());
      upload(Vm, "ordinary-" + std::to_string(I), Ordinary, DeadlineMs / 1000.0,
             Log);
    });
  for (std::thread &Each : Clients)
    Each.join();
  Kept.end();
  return {Vm.peakMb(), Machine.m_MemoryMb, Vm.wasKilledOverMemory(),
          Kept.answered(), countRun(Kept.unanswered(), Servers)};
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
             " passed_on_and_lost=" + std::to_string(Seen.m_Lost),
         Seen.m_Answered == 0 ? CouldNotRun : Code);
}
