// A data centre is evacuated. Then the store is away for a moment and returns
// from a copy some seconds old, several times.
#include "Kit.h"
#include <set>

using namespace kit;

namespace {

constexpr int Vms = 2;
constexpr int Drills = 9;
/// No drill begins later, so that the case ends within 120 s.
constexpr int64_t LatestMs = 95000;
constexpr int64_t AwayMs = 1500;
/// Twice ContactS, after which all VMs are in touch again.
constexpr int64_t SettleMs = 6000;

struct Counts {
  int m_Sent = 0;
  int m_Answered = 0;
  int m_Refused = 0;
  int m_InEvacuated = 0;
};

} // namespace

int main(int, char **Arguments) {
  openRecord(Arguments[1]);
  Deployment On(Vms);
  std::mutex Guard;
  std::map<std::string, std::string> RunBy;
  auto Serve = [&](Upstream &At, Run &Started) {
    std::string Id = Started.m_Request.header("Attempt-Id");
    {
      std::lock_guard<std::mutex> Held(Guard);
      RunBy[Id] = At.id();
    }
    At.answer(Started, "body of " + Id);
  };
  auto Config = [](uint32_t Version, double Timeout) {
    return configurationText(Version, {{"r-size", "shop.example", "/size/",
                                        "safe", "sizer", Timeout, 2}});
  };
  On.store().put("op", "config", Config(7, 2));
  const char *Zones[] = {"aqp-a", "aqp-b", "aqp-c"};
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  Upstreams.reserve(9);
  for (int I = 0; I < 9; ++I)
    Upstreams.push_back(std::make_unique<Upstream>(
        On.store(), std::string("i-") + Zones[I % 3] + "-" + std::to_string(I),
        "sizer", Zones[I % 3], On.upstreamHost(I), 8080, Serve));
  On.start();
  sleepMs(3000);
  record("the operator evacuates aqp-c");
  On.store().put("op", "evacuate/aqp-c", "{}");
  sleepMs(6000);

  auto Ask = [&](const char *When) {
    Counts Seen;
    for (int I = 0; I < 60; ++I) {
      std::string Id = newId();
      Connection To(On.vm(I % Vms).host(), FrontPort);
      To.send("GET /size/" + std::to_string(I) +
              " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + Id +
              "\r\nDeadline-Ms: 2000\r\n\r\n");
      Message Answer = To.read(2100, true);
      ++Seen.m_Sent;
      Seen.m_Answered += Answer.status() == 200 ? 1 : 0;
      Seen.m_Refused += Answer.status() == 503 ? 1 : 0;
      std::lock_guard<std::mutex> Held(Guard);
      const std::string &By = RunBy[Id];
      record(On.vm(I % Vms).host() + " was sent " + Id + ": " +
             std::to_string(Answer.status()) + ", " +
             (By.empty() ? std::string("not run") : "run by " + By));
      Seen.m_InEvacuated +=
          RunBy[Id].find("aqp-c") != std::string::npos ? 1 : 0;
      sleepMs(5);
    }
    record(std::string(When) + ": " + std::to_string(Seen.m_Sent) +
           " requests, " + std::to_string(Seen.m_Answered) + " answered 200, " +
           std::to_string(Seen.m_Refused) + " refused with 503, " +
           std::to_string(Seen.m_InEvacuated) + " run in aqp-c");
    return Seen;
  };
  Ask("before");
  int Broken = 0;
  uint32_t Version = 8;
  for (int Drill = 0; Drill < Drills && Broken == 0 && nowMs() < LatestMs;
       ++Drill) {
    auto Older = On.store().copy();
    record("a copy of the store is made at version " +
           std::to_string(On.store().version()));
    sleepMs(500);
    On.store().put("op", "config", Config(++Version, 1.9));
    record("the operator writes a configuration, version " +
           std::to_string(On.store().version()));
    sleepMs(2000);
    if (hasTrouble()) {
      record("the store is away");
      On.store().setAway(true);
      sleepMs(AwayMs);
      On.store().restore(*Older);
      On.store().put("op", "config", Config(Version, 1.9));
      On.store().put("op", "config", Config(++Version, 2));
      On.store().setAway(false);
      record("the store is back in its next era, at version " +
             std::to_string(On.store().version()) +
             ", and what the operator wrote is written again");
    }
    sleepMs(SettleMs);
    Broken += Ask("6 s later").m_InEvacuated;
  }
  record(std::to_string(Broken) + " requests ran in the evacuated data centre");
  On.finish(Broken > 0 ? 1 : 0);
}
