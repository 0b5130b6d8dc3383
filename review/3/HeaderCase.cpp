// A request with a long header, within the limits of the configuration, beside
// requests of other clients on kept connections.
#include "../standins/Deployment.h"

namespace {

using namespace review;

/// The limit that the operator has set.
constexpr uint32_t MaxHeaderBytes = 131072;
constexpr size_t LongCookieBytes = 70000;
constexpr size_t UsualCookieBytes = 15000;
constexpr int DeadlineMillis = 2500;
constexpr double WorkSeconds = 0.24;
/// Other clients of each VM, each with a kept connection.
constexpr int OthersPerVm = 8;
/// Lost requests of one VM up to which the rule holds.
constexpr int MostLost = 3;

struct Other {
  Entry *m_Vm = nullptr;
  std::string m_Id;
  Connection m_Connection;
  std::string m_Unanswered;
};

std::string withCookie(const std::string &Id, size_t CookieBytes) {
  std::string Text = request("GET", "stock", Id, DeadlineMillis);
  return Text.substr(0, Text.size() - 2) +
         "Cookie: " + std::string(CookieBytes, 'c') + "\r\n\r\n";
}

/// Sends a request on the kept connection of a client. Returns whether it was
/// answered with success.
bool ask(Other &Own, const std::string &Id, Record &Notes) {
  Time Until = Clock::now() + std::chrono::milliseconds(DeadlineMillis);
  Notes.note("sent " + Id + " to " + Own.m_Vm->m_Name);
  Message Answer;
  bool IsAnswered =
      Own.m_Connection.write(request("GET", "stock", Id, DeadlineMillis)) &&
      Own.m_Connection.read(Answer, Until);
  bool IsInTime = Clock::now() < Until;
  Notes.note(IsAnswered ? "answer " + Id + " " + std::to_string(Answer.status())
                        : "connection of " + Id + " ended, no answer");
  if (!IsAnswered && IsInTime)
    Own.m_Unanswered = Id;
  return IsAnswered && Answer.status() == 200;
}

/// Sends the request with the cookie to one VM after the other until one
/// answers, as a client retries a safe request.
void askWithCookie(Deployment &In, size_t CookieBytes) {
  for (auto &Vm : In.m_Entries) {
    std::string Id = "long-at-" + Vm->m_Name;
    In.m_Record.note("sent " + Id + ", cookie of " +
                     std::to_string(CookieBytes) + " bytes");
    Connection Client;
    Message Answer;
    bool IsAnswered = Client.connect(In.callersOf(*Vm)) &&
                      Client.write(withCookie(Id, CookieBytes)) &&
                      Client.read(Answer, after(DeadlineMillis / 1000.0));
    In.m_Record.note(IsAnswered ? "answer " + Id + " " +
                                      std::to_string(Answer.status())
                                : "connection of " + Id + " ended, no answer");
    if (IsAnswered)
      return;
  }
}

int runCase(const std::string &Folder) {
  Deployment Small(Folder, 2);
  Small.configure({{"stock", "safe", "repuestos", 1.2, 0.6}}, MaxHeaderBytes);
  for (int I = 0; I < 9; ++I)
    Small.addUpstream("repuestos").m_WorkSeconds = WorkSeconds;
  if (!Small.start())
    return CouldNotRun;
  std::vector<std::unique_ptr<Other>> Others;
  for (auto &Vm : Small.m_Entries)
    for (int I = 0; I < OthersPerVm; ++I) {
      Others.push_back(std::make_unique<Other>());
      Others.back()->m_Vm = Vm.get();
      Others.back()->m_Id = Vm->m_Name + "-c" + std::to_string(I);
      // The first request makes the connection a kept one.
      if (!Others.back()->m_Connection.connect(Small.callersOf(*Vm)) ||
          !ask(*Others.back(), Others.back()->m_Id + "-first", Small.m_Record))
        return CouldNotRun;
    }
  std::vector<std::thread> Threads;
  Threads.reserve(Others.size());
  for (auto &Each : Others)
    Threads.emplace_back([&Small, Own = Each.get()] {
      ask(*Own, Own->m_Id + "-second", Small.m_Record);
    });
  // By now upstreams are at work on them.
  sleepFor(WorkSeconds / 3);
  askWithCookie(Small, hasTrouble() ? LongCookieBytes : UsualCookieBytes);
  for (std::thread &Each : Threads)
    Each.join();
  std::set<std::string> PassedOn;
  for (const Run &Each : Small.runs())
    PassedOn.insert(Each.m_Id);
  int Most = 0;
  for (auto &Vm : Small.m_Entries) {
    int Lost = 0;
    for (auto &Each : Others)
      if (Each->m_Vm == Vm.get() && PassedOn.count(Each->m_Unanswered))
        ++Lost;
    Most = std::max(Most, Lost);
    Small.m_Record.note(
        Vm->m_Name + (Vm->isRunning() ? " runs" : " has ended") + ", lost " +
        std::to_string(Lost) + " of " + std::to_string(OthersPerVm));
  }
  return Most > MostLost ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Argc, char **Argv) {
  return Argc == 2 ? runCase(Argv[1]) : CouldNotRun;
}
