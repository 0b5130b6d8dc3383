// Requests with a long header, within the limits of the configuration.
#include "../standins/Deployment.h"

namespace {

using namespace review;

/// The limit that the operator has set.
constexpr uint32_t MaxHeaderBytes = 131072;
constexpr size_t LongCookieBytes = 70000;
constexpr size_t UsualCookieBytes = 15000;
constexpr int DeadlineMillis = 2500;
constexpr int RequestCount = 3;
/// Ends of a VM's processes from which the rule is broken, and on how many VMs.
constexpr int EndsInDay = 3;
constexpr int EndedVms = 2;
/// How long after its end the platform starts a process again.
constexpr double RestartDelaySeconds = 0.5;
constexpr double CalmSeconds = 3;

/// Sends one client attempt. Returns the status of its answer, or 0.
int attempt(Deployment &In, Entry &To, const std::string &Id,
            size_t CookieBytes) {
  In.m_Record.note("sent " + Id + " to " + To.m_Name + ", cookie of " +
                   std::to_string(CookieBytes) + " bytes");
  Connection Client;
  Message Answer;
  bool IsAnswered =
      Client.connect(In.callersOf(To)) &&
      Client.write("GET /stock/" + Id +
                   " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + Id +
                   "\r\nDeadline-Ms: " + std::to_string(DeadlineMillis) +
                   "\r\nCookie: " + std::string(CookieBytes, 'c') +
                   "\r\n\r\n") &&
      Client.read(Answer, after(DeadlineMillis / 1000.0));
  int Status = IsAnswered ? Answer.status() : 0;
  In.m_Record.note(IsAnswered ? "answer " + Id + " " + std::to_string(Status)
                              : "connection of " + Id + " ended, no answer");
  return Status;
}

int runCase(const std::string &Folder) {
  Deployment Small(Folder, 2);
  Small.configure({{"stock", "safe", "repuestos", 1.2, 0.6}}, MaxHeaderBytes);
  for (int I = 0; I < 4; ++I)
    Small.addUpstream("repuestos");
  if (!Small.start())
    return CouldNotRun;
  size_t CookieBytes = hasTrouble() ? LongCookieBytes : UsualCookieBytes;
  std::map<std::string, int> Ends;
  int Served = 0;
  for (int I = 0; I < RequestCount; ++I) {
    // A client retries a safe request once, at another VM.
    for (size_t Try = 0; Try < Small.m_Entries.size(); ++Try) {
      std::string Id = "r" + std::to_string(I) + "t" + std::to_string(Try);
      if (attempt(Small, *Small.m_Entries[Try], Id, CookieBytes) == 200) {
        ++Served;
        break;
      }
    }
    sleepFor(RestartDelaySeconds);
    for (auto &Vm : Small.m_Entries)
      if (!Vm->isRunning()) {
        ++Ends[Vm->m_Name];
        Small.m_Record.note("the process of " + Vm->m_Name +
                            " has ended by itself");
        Small.startEntry(*Vm, false);
      }
    for (auto &Vm : Small.m_Entries)
      if (!Small.awaitReady(*Vm, 10))
        return CouldNotRun;
    sleepFor(CalmSeconds);
  }
  int Ended = 0;
  for (const auto &[Name, Count] : Ends)
    Ended += Count >= EndsInDay ? 1 : 0;
  Small.m_Record.note("served " + std::to_string(Served) + " of " +
                      std::to_string(RequestCount) + ", VMs that ended " +
                      std::to_string(EndsInDay) + " times " +
                      std::to_string(Ended));
  if (!hasTrouble() && Served == 0)
    return CouldNotRun;
  return Ended >= EndedVms ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Argc, char **Argv) {
  return Argc == 2 ? runCase(Argv[1]) : CouldNotRun;
}
