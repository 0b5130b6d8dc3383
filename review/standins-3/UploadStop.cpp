// A machine is stopped with SIGTERM while upstreams are at work on uploads that
// they have not yet read to the end.
#include "Kit.h"
#include <csignal>
#include <set>

using namespace kit;

namespace {

constexpr int Clients = 6;
constexpr size_t BodyBytes = 350000;
/// How long an upstream works on the first part of an upload before it reads
/// on.
constexpr int64_t WorkMs = 1600;

} // namespace

int main(int, char **Arguments) {
  openRecord(Arguments[1]);
  Deployment On(3);
  std::mutex Guard;
  std::set<std::string> Begun;
  auto Serve = [&](Upstream &At, Run &Started) {
    std::string Id = Started.m_Request.header("Attempt-Id");
    record(At.id() + " has read all of " + Id + " (" +
           std::to_string(Started.m_Request.m_Body.size()) + " bytes)");
    At.answer(Started, "stored " + Id);
  };
  On.store().put("op", "config",
                 configurationText(7, {{"r-fit", "shop.example", "/fit/",
                                        "upload", "catalog", 2.5, 2}}));
  const char *Zones[] = {"aqp-a", "aqp-b", "aqp-c"};
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  Upstreams.reserve(6);
  for (int I = 0; I < 6; ++I) {
    Upstreams.push_back(std::make_unique<Upstream>(
        On.store(), "i-" + std::to_string(I), "catalog", Zones[I % 3],
        On.upstreamHost(I), 8080, Serve));
    Upstreams.back()->m_BeforeBody = [&](Upstream &At, Connection &,
                                         const Message &Head) {
      std::string Id = Head.header("Attempt-Id");
      if (Id.empty())
        return;
      {
        std::lock_guard<std::mutex> Held(Guard);
        Begun.insert(Id);
      }
      record(At.id() + " begins to run " + Id + " and works on its first part");
      sleepMs(WorkMs);
      record(At.id() + " reads on " + Id);
    };
  }
  On.start();
  sleepMs(4000);

  std::vector<std::thread> Threads;
  Threads.reserve(Clients);
  std::atomic<int> Broken{0};
  for (int I = 0; I < Clients; ++I)
    Threads.emplace_back([&, I] {
      std::string Id = newId();
      Connection To(On.vm(0).host(), FrontPort);
      record("client " + std::to_string(I) + " sends " + Id);
      To.send("POST /fit/" + std::to_string(I) +
              " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + Id +
              "\r\nDeadline-Ms: 2500\r\nContent-Length: " +
              std::to_string(BodyBytes) + "\r\n\r\n" +
              std::string(BodyBytes, 'p'));
      Message Answer = To.read(7000, true);
      record("client " + std::to_string(I) + ", " + Id + ": " +
             (Answer.m_IsWhole ? std::to_string(Answer.status())
                               : std::string("no answer")));
      std::lock_guard<std::mutex> Held(Guard);
      if (Begun.count(Id) && Answer.status() != 200)
        ++Broken;
    });
  sleepMs(400);
  if (hasTrouble()) {
    record("SIGTERM to " + On.vm(0).host());
    On.vm(0).signal(SIGTERM);
  }
  for (auto &Each : Threads)
    Each.join();
  sleepMs(500);
  record(std::to_string(Broken) + " of " + std::to_string(Clients) +
         " uploads were broken off while their upstream had them" +
         (hasTrouble() ? "" : ", without a SIGTERM: the rule counts none"));
  On.finish(hasTrouble() && Broken > 0 ? 1 : 0);
}
