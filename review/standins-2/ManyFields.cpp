// Clients send heads of many short fields, within the configured bytes, and
// bodies that do not end. The process must stay within the memory of its
// machine.
#include "Kit.h"

using namespace review;

namespace {

constexpr int Clients = 1400;
constexpr size_t HeadBytes = 16300;

struct Outcome {
  double m_PeakMb = 0;
  bool m_IsAlive = false;
  int m_LimitMb = 0;
  int m_LastStatus = 0;
};

/// A head of the same size in both variants: of many fields, or with a single
/// long one.
std::string unfinishedRequest() {
  std::string Text = "POST /photo/x HTTP/1.1\r\nHost: shop.example\r\n"
                     "Transfer-Encoding: chunked\r\nAttempt-Id: x\r\n";
  constexpr std::string_view Short = "a:\r\n";
  if (hasTrouble())
    while (Text.size() + Short.size() <= HeadBytes)
      Text += Short;
  else
    Text += "a:" + std::string(HeadBytes - Text.size() - Short.size(), 'a') +
            "\r\n";
  // The first chunk, and no end.
  return Text + "\r\n1\r\np\r\n";
}

Outcome play(Record &Log, const Folder &Temporary) {
  Store Platform(Log);
  Json Routes = {{"r-upload", route("shop.example", "/photo/", "upload",
                                    "photos", 2.5, 0.4)}};
  Platform.put("op", "config", configuration(7, Routes, {"photos"}).dump());
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 1; I <= 4; ++I) {
    Server::Options Given;
    Given.m_Id = "i-photos-" + std::to_string(I);
    Given.m_Service = "photos";
    Servers.push_back(std::make_unique<Server>(Given, Platform, Log));
  }
  EntryVm::Options Machine;
  EntryVm Vm(Machine, Platform.port(), Temporary.path(), Log);
  if (!Vm.awaitReady(10))
    finish(Log, "the VM is not ready", CouldNotRun);
  sleepFor(4);
  std::string Text = unfinishedRequest();
  Log.line("bytes of each client: " + std::to_string(Text.size()));
  std::vector<std::shared_ptr<Connection>> Open;
  for (int I = 0; I < Clients; ++I) {
    auto To = Connection::open(Vm.host(), Vm.callersPort());
    if (!To || !To->send(Text))
      Log.line("client " + std::to_string(I) + " is turned away");
    Open.push_back(std::move(To));
  }
  Log.line("all clients have sent");
  sleepFor(2);
  Outcome Made{Vm.peakMb(), Vm.isAlive(), Machine.m_MemoryMb, 0};
  Open.clear();
  sleepFor(2);
  Made.m_LastStatus = ask(
      Vm, request("POST", "shop.example", "/photo/last", "last", 2500, "p"), 3);
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
             " last_status=" + std::to_string(Seen.m_LastStatus),
         IsBroken ? Broken : Held);
}
