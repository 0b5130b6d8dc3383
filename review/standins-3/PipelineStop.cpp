// A machine is stopped with SIGTERM while a client's pipelined requests are at
// upstreams.
#include "Kit.h"
#include <csignal>
#include <set>

using namespace kit;

namespace {

constexpr int Clients = 4;
constexpr int RequestsEach = 3;
constexpr int64_t WorkMs = 500;

struct Sent {
  std::string m_Id;
  bool m_IsAnswered = false;
};

} // namespace

int main(int, char **Arguments) {
  openRecord(Arguments[1]);
  Deployment On(3);
  std::mutex Guard;
  std::set<std::string> Begun;
  auto Serve = [&](Upstream &At, Run &Started) {
    std::string Id = Started.m_Request.header("Attempt-Id");
    {
      std::lock_guard<std::mutex> Held(Guard);
      Begun.insert(Id);
    }
    record(At.id() + " begins " + Id);
    // Most upstreams drop a request when its connection closes.
    if (Started.m_With.waitForEnd(WorkMs)) {
      record(At.id() + " drops " + Id + ": its connection has ended");
      Started.m_KeepOpen = false;
      return;
    }
    At.answer(Started, "body of " + Id);
    record(At.id() + " has answered " + Id);
  };
  On.store().put("op", "config",
                 configurationText(7, {{"r-look", "shop.example", "/look/",
                                        "safe", "sizer", 2, 2}}));
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  Upstreams.reserve(6);
  const char *Zones[] = {"aqp-a", "aqp-b", "aqp-c"};
  for (int I = 0; I < 6; ++I)
    Upstreams.push_back(std::make_unique<Upstream>(
        On.store(), "i-" + std::to_string(I), "sizer", Zones[I % 3],
        On.upstreamHost(I), 8080, Serve));
  On.start();
  sleepMs(4000);

  std::vector<std::unique_ptr<Connection>> Open;
  Open.reserve(Clients);
  std::vector<std::vector<Sent>> Asked(Clients);
  for (int I = 0; I < Clients; ++I) {
    Open.push_back(std::make_unique<Connection>(On.vm(0).host(), FrontPort));
    std::string Text;
    for (int J = 0; J < RequestsEach; ++J) {
      Asked[I].push_back({newId()});
      Text += "GET /look/" + std::to_string(J) +
              " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " +
              Asked[I].back().m_Id + "\r\nDeadline-Ms: 2000\r\n\r\n";
      record("client " + std::to_string(I) + " sends " + Asked[I].back().m_Id);
    }
    Open[I]->send(Text);
  }
  sleepMs(200);
  if (hasTrouble()) {
    record("SIGTERM to " + On.vm(0).host());
    On.vm(0).signal(SIGTERM);
  }
  int Lost = 0;
  for (int I = 0; I < Clients; ++I)
    for (Sent &Each : Asked[I]) {
      Message Answer = Open[I]->read(2500, true);
      Each.m_IsAnswered = Answer.m_IsWhole;
      record("client " + std::to_string(I) + ", " + Each.m_Id + ": " +
             (Answer.m_IsWhole
                  ? std::to_string(Answer.status()) + " for " +
                        Answer.header("Attempt-Id") +
                        ", Connection: " + Answer.header("Connection")
                  : std::string("the connection ends without an answer")));
      std::lock_guard<std::mutex> Held(Guard);
      Lost += !Answer.m_IsWhole && Begun.count(Each.m_Id) ? 1 : 0;
    }
  record(std::to_string(Lost) + " of " +
         std::to_string(Clients * RequestsEach) +
         " requests were passed on to an upstream and got no answer");
  On.finish(Lost > 0 ? 1 : 0);
}
