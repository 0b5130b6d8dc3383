// A writer other than the server writes an entry in which a field is missing.
// The entry names no server to use, so a server of one service must not run the
// requests of another because of it.
#include "Kit.h"

using namespace review;

namespace {

constexpr int Turns = 3;
constexpr double TurnS = 2;
constexpr double RequestS = 0.05;

struct Count {
  int m_Own = 0;
  int m_Foreign = 0;
};

/// Writes the entry of a server as one of the service "deposits", without its
/// field Sequence.
void writeForeignEntry(Server &Named, Store &Platform, Record &Log) {
  Json Entry = Named.entry();
  Entry["Information"]["Service"] = "deposits";
  Entry["Status"].erase("Sequence");
  Platform.put("servers", Named.options().m_Id, Entry.dump());
  Log.line("entry of another writer key=" + Named.options().m_Id + " " +
           Entry.dump());
}

Count play(Record &Log, const Folder &Temporary) {
  Store Platform(Log);
  Json Routes = {{"r-lookup",
                  route("shop.example", "/lookup/", "safe", "lookups", 2, 0.5)},
                 {"r-deposit", route("shop.example", "/deposit/", "unsafe",
                                     "deposits", 2, 0.5)}};
  Platform.put("op", "config",
               configuration(7, Routes, {"lookups", "deposits"}).dump());
  std::vector<std::unique_ptr<Server>> Servers;
  for (const char *Service : {"lookups", "deposits"})
    for (int I = 1; I <= 3; ++I) {
      Server::Options Given;
      Given.m_Id = std::string("i-") + Service + "-" + std::to_string(I);
      Given.m_Service = Service;
      Servers.push_back(std::make_unique<Server>(Given, Platform, Log));
    }
  EntryVm Vm({}, Platform.port(), Temporary.path(), Log);
  if (!Vm.awaitReady(10))
    finish(Log, "the VM is not ready", CouldNotRun);
  sleepFor(TurnS);
  std::atomic<bool> Ended = false;
  std::atomic<int> Active = 0;
  std::thread Clients([&] {
    for (int I = 0; !Ended; ++I) {
      std::string Id = "d" + std::to_string(I);
      ++Active;
      std::thread([&Vm, &Log, &Active, Id] {
        std::string Text = request("POST", "shop.example", "/deposit/" + Id, Id,
                                   2000, "amount=10");
        Log.line("answer id=" + Id +
                 " status=" + std::to_string(ask(Vm, Text, 2.5)));
        --Active;
      }).detach();
      sleepFor(RequestS);
    }
  });
  for (int Turn = 0; Turn < Turns; ++Turn) {
    sleepFor(TurnS);
    if (hasTrouble())
      writeForeignEntry(*Servers.front(), Platform, Log);
  }
  sleepFor(TurnS);
  Ended = true;
  Clients.join();
  while (Active > 0)
    sleepFor(RequestS);
  Count Made;
  for (auto &Each : Servers)
    for (size_t I = Each->runs().size(); I > 0; --I)
      ++(Each->options().m_Service == "deposits" ? Made.m_Own : Made.m_Foreign);
  return Made;
}

} // namespace

int main(int Count, char **Words) {
  Record Log(Count > 1 ? Words[1] : "record.txt");
  auto Temporary = std::make_unique<Folder>();
  auto Seen = play(Log, *Temporary);
  Temporary.reset();
  int Code = Seen.m_Foreign > 0 ? Broken : Held;
  finish(Log,
         "deposits run by their service: " + std::to_string(Seen.m_Own) +
             ", by another service: " + std::to_string(Seen.m_Foreign),
         Seen.m_Own == 0 ? CouldNotRun : Code);
}
