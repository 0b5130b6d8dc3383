#include "Waiting.h"
#include <random>

namespace hyssopcross::tool {

namespace {

using namespace std::chrono_literals;

constexpr Duration TryPause = 500ms;
constexpr Duration StatusPause = 200ms;
constexpr int ChangeTries = 5;
constexpr long Success = 200;
constexpr long ServerFault = 500;

std::string newChangeId() {
  static constexpr char Digits[] = "0123456789abcdef";
  constexpr size_t Length = 32;
  std::random_device Random;
  std::string Id;
  for (size_t I = 0; I < Length; ++I)
    Id += Digits[Random() % 16];
  return Id;
}

int reportUnresolved(const Run &On, const std::string &ChangeId,
                     std::string_view Why) {
  return report(On, Unreachable, "unresolved",
                "the change may or may not be accepted (" + std::string(Why) +
                    "); run the same command with --change_id=" + ChangeId +
                    " to learn which");
}

/// The answer that settles the change, or the exit code after having printed
/// why there is none.
std::optional<Json> settle(const Run &On, const std::string &Path,
                           const Json &Body, int &Code) {
  std::string ChangeId = textOf(Body, "change_id");
  std::string Why;
  for (int Try = 0; Try < ChangeTries; ++Try) {
    if (Try > 0)
      On.m_Around.m_Pause(TryPause);
    auto Answer = On.m_Around.m_Client->send("POST", Path, Body.dump());
    if (!Answer) {
      Why = Answer.error().m_Message;
      continue;
    }
    Json Parsed = Json::parse(Answer.value().m_Body, nullptr, false);
    if (Answer.value().m_Status == Success && Parsed.is_object())
      return Parsed;
    if (Answer.value().m_Status < ServerFault) {
      Code = reportAnswer(On, Answer.value());
      return std::nullopt;
    }
    Why = Parsed.is_object() ? textOf(Parsed, "message") : "no explanation";
  }
  Code = reportUnresolved(On, ChangeId, Why);
  return std::nullopt;
}

std::string countText(const Json &Status) {
  size_t Confirmed = Status["vms_confirmed"].size();
  size_t All = Confirmed + Status["vms_missing"].size();
  return std::to_string(Confirmed) + " of " + std::to_string(All) +
         " entry VMs";
}

/// The last status seen before the change was in force or the time was up.
Json waitUntilInForce(const Run &On, uint64_t Version) {
  const Surroundings &Around = On.m_Around;
  TimePoint Until = Around.m_Clock->now() + On.m_With.m_WaitFor;
  std::string Path =
      "/admin/catalogue/status?version=" + std::to_string(Version);
  Json Last = {{"version", Version},
               {"in_force", false},
               {"vms_confirmed", Json::array()},
               {"vms_missing", Json::array()}};
  while (true) {
    auto Answer = Around.m_Client->send("GET", Path, "");
    if (Answer && Answer.value().m_Status == Success) {
      Json Parsed = Json::parse(Answer.value().m_Body, nullptr, false);
      if (Parsed.is_object() && Parsed.contains("vms_missing"))
        Last = Parsed;
    }
    if (Last["in_force"] == true || Around.m_Clock->now() >= Until)
      return Last;
    Around.m_Pause(StatusPause);
  }
}

void printAccepted(const Run &On, const Json &Accepted, const Json &Status) {
  if (On.wantsJson()) {
    Json Both = Accepted;
    Both["status"] = Status;
    On.out(Both.dump() + "\n");
    return;
  }
  On.out("accepted as version " +
         std::to_string(numberOf(Accepted, "version")) + " (change " +
         textOf(Accepted, "change_id") + ")\n");
  if (!Status.is_null())
    printInForce(On, Status);
}

} // namespace

void printInForce(const Run &On, const Json &Status) {
  bool InForce = Status["in_force"] == true;
  On.out("version " + std::to_string(numberOf(Status, "version")) +
         (InForce ? " is in force on " : " is not in force everywhere: ") +
         countText(Status) + "\n");
  for (const char *List : {"vms_confirmed", "vms_missing"})
    for (const Json &Vm : Status[List])
      On.out("  " + textOf(Vm, "vm") + " has version " +
             std::to_string(numberOf(Vm, "version")) +
             (std::string_view(List) == "vms_missing" ? " (missing)\n" : "\n"));
}

int sendChange(const Run &On, const std::string &Path, Json Body) {
  Body["change_id"] =
      On.m_With.m_ChangeId.empty() ? newChangeId() : On.m_With.m_ChangeId;
  Body["author"] = On.m_With.m_Author;
  int Code = Done;
  auto Accepted = settle(On, Path, Body, Code);
  if (!Accepted)
    return Code;
  if (!On.m_With.m_Wait) {
    printAccepted(On, *Accepted, Json());
    return Done;
  }
  Json Status = waitUntilInForce(On, numberOf(*Accepted, "version"));
  printAccepted(On, *Accepted, Status);
  return Status["in_force"] == true ? Done : NotInForce;
}

} // namespace hyssopcross::tool
