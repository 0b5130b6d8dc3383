// Upstreams answer long uploads before they have read them, keep the connection
// and read on later.
#include "Kit.h"

using namespace kit;

namespace {

struct Upload {
  size_t m_Bytes;
  /// Time after which the upstream reads on.
  int64_t m_PauseMs;
};

constexpr Upload Uploads[] = {{350000, 2000}, {350000, 2000}, {350000, 2000},
                              {8000000, 300}, {8000000, 300}, {8000000, 300}};
/// Time for the rest of a body to arrive.
constexpr int64_t ArrivalMs = 2000;

/// A body in which no part equals another.
std::string bodyOf(size_t Index, size_t Bytes) {
  std::string Made;
  while (Made.size() < Bytes)
    Made += std::to_string(Index) + ":" + std::to_string(Made.size()) + ";";
  Made.resize(Bytes);
  return Made;
}

} // namespace

int main(int, char **Arguments) {
  openRecord(Arguments[1]);
  Deployment On(3);
  std::mutex Guard;
  std::map<std::string, std::string> Read;
  int64_t PauseMs = 0;
  auto Serve = [&](Upstream &At, Run &Started) {
    std::string Id = Started.m_Request.header("Attempt-Id");
    record(At.id() + " has read all of " + Id + ": " +
           std::to_string(Started.m_Request.m_Body.size()) + " bytes");
    {
      std::lock_guard<std::mutex> Held(Guard);
      Read[Id] = Started.m_Request.m_Body;
    }
    if (!hasTrouble())
      At.answer(Started, "stored " + Id);
  };
  On.store().put("op", "config",
                 configurationText(7, {{"r-fit", "shop.example", "/fit/",
                                        "upload", "fitbox", 2.5, 2}}));
  const char *Zones[] = {"aqp-a", "aqp-b", "aqp-c"};
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  Upstreams.reserve(6);
  for (int I = 0; I < 6; ++I) {
    Upstreams.push_back(std::make_unique<Upstream>(
        On.store(), "i-" + std::to_string(I), "fitbox", Zones[I % 3],
        On.upstreamHost(I), 8080, Serve));
    Upstreams.back()->m_BeforeBody = [&](Upstream &At, Connection &With,
                                         const Message &Head) {
      std::string Id = Head.header("Attempt-Id");
      if (Id.empty() || !hasTrouble())
        return;
      record(At.id() + " begins to run " + Id +
             ", answers it and reads on later");
      Run Started{Head, With, true};
      At.answer(Started, "storing " + Id);
      sleepMs(PauseMs);
      record(At.id() + " reads on " + Id);
    };
  }
  On.start();
  sleepMs(4000);

  int Changed = 0;
  int Answered = 0;
  for (size_t I = 0; I < std::size(Uploads); ++I) {
    std::string Id = newId();
    std::string Body = bodyOf(I, Uploads[I].m_Bytes);
    PauseMs = Uploads[I].m_PauseMs;
    Connection To(On.vm(static_cast<int>(I % 3)).host(), FrontPort);
    record("the client sends " + Id + " with " + std::to_string(Body.size()) +
           " bytes");
    std::string Head = "POST /fit/" + std::to_string(I) +
                       " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + Id +
                       "\r\nDeadline-Ms: 2500\r\nContent-Length: " +
                       std::to_string(Body.size()) + "\r\n\r\n";
    To.send(Head.append(Body));
    Message Answer = To.read(2500, true);
    record("the client gets " + std::to_string(Answer.status()) + " for " + Id);
    Answered += Answer.status() == 200 ? 1 : 0;
    sleepMs(PauseMs + ArrivalMs);
    std::lock_guard<std::mutex> Held(Guard);
    if (Answer.status() != 200 || Read[Id] == Body)
      continue;
    ++Changed;
    record(Id + " was answered 200, and its upstream did not get its body");
  }
  record(std::to_string(Answered) + " of " +
         std::to_string(std::size(Uploads)) + " uploads were answered 200; " +
         std::to_string(Changed) + " of these ran with another body");
  if (Answered == 0)
    On.finish(2);
  On.finish(Changed > 0 ? 1 : 0);
}
