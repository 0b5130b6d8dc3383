#include "hyssopcross/faultsoak/Soak.h"
#include <csignal>
#include <cstdio>
#include <deque>

namespace hyssopcross::faultsoak {

using boost::beast::http::verb;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

constexpr uint16_t FirstVmPort = 18680;
constexpr uint16_t StorePort = 18690;
constexpr uint16_t ServerPort = 18700;
/// Third numbers of loopback addresses, one for each kind.
constexpr uint32_t VmNet = 11;
constexpr uint32_t CallersNet = 12;
constexpr uint32_t StoreNet = 13;
constexpr uint32_t StoreProxyNet = 14;
constexpr uint32_t ServerNet = 15;
constexpr uint32_t ServerProxyNet = 16;

constexpr Duration TickInterval = 5ms;
/// Between two requests of all callers.
constexpr Duration RequestInterval = 12ms;
/// Callers keep an answer of the directory for so long.
constexpr Duration AddressAge = 2s;
constexpr auto CallerDeadline = 1500ms;
/// A calm stretch of the users' pages: bounds hold again so long after a
/// disturbance.
constexpr Duration ContactTime = 3s;
/// Bounds of the users' pages, from the store's acknowledgement.
constexpr Duration DrainBound = 2s;
constexpr Duration OutBound = 5s;
constexpr Duration ConfigurationBound = 2s;
/// Requests that a server with a limit gets in this time from all VMs, from the
/// contact time after it has named the limit: half as many again as the limit
/// allows, and some more.
constexpr Duration LimitWindow = 4s;
constexpr double LimitFactor = 1.5;
constexpr size_t LimitSlack = 5;
/// Separates the draws of limits from those of faults, which seeds that failed
/// depend on.
constexpr uint32_t LimitSeed = 0x4c494d;
/// The same for returns of the store from older copies.
constexpr uint32_t ReturnSeed = 0x455241;
/// Age of the copy, time for which the store is away, and time until what it
/// has lost is written again.
constexpr Duration MaxCopyAge = 3s;
constexpr Duration MaxAwayTime = 1s;
constexpr Duration MaxWriteAgainTime = 1500ms;
/// From SIGTERM to the end of a process, and what a busy machine may add.
constexpr auto StopGrace = std::chrono::seconds(2);
constexpr Duration StopSlack = 1s;
/// Faults of a round begin and end within this time, one about every gap.
constexpr Duration FaultTime = 6s;
constexpr Duration FaultGap = 500ms;
/// Servers fail, refuse or hang one request in so many, each.
constexpr uint32_t OddAnswerOneIn = 40;

std::string bodyOf(const std::string &Id) { return "body of " + Id; }

} // namespace

struct Soak::Vm {
  Vm(std::vector<std::string> Arguments, std::string LogFile)
      : m_Process(std::move(Arguments), std::move(LogFile)) {}
  uint32_t m_Index = 0;
  VmProcess m_Process;
  std::unique_ptr<Proxy> m_Callers;
  std::unique_ptr<Proxy> m_Store;
  bool m_IsPaused = false;
  /// Number of starts of the process after the first one.
  uint32_t m_Restarts = 0;
  /// Was told to end, or was killed, by this run.
  bool m_MayEnd = false;
  TimePoint m_StopAt{};
  bool m_WillRestart = false;
};

struct Soak::Backend {
  std::unique_ptr<test::FakeServer> m_Server;
  std::unique_ptr<Proxy> m_Link;
  TimePoint m_LeavingAt{};
  bool m_IsRegistered = true;
  /// Requests per second that it names in its answers; zero for none.
  double m_Limit = 0;
  TimePoint m_LimitedSince{};
  /// Arrivals since it has named the limit, for up to one window.
  std::deque<TimePoint> m_LimitedArrivals;
};

enum class Soak::Fault : uint32_t {
  KillVm,
  StopVm,
  PauseVm,
  HangupVm,
  CallersDelayed,
  CallersReset,
  ServerDelayed,
  ServerReset,
  ServerRefusing,
  ServerCutForward,
  ServerCutBackward,
  ServerSilent,
  StoreDown,
  StoreDelayed,
  StoreSilent,
  StoreRefusing,
  StoreForgets,
  Configuration,
  DataCentreOut,
  ServerReplaced,
  Count,
};

Soak::Soak(SoakSettings Given)
    : m_Settings(std::move(Given)), m_Speech(adapter::makeDialect()),
      m_Random(m_Settings.m_Seed), m_LimitRandom(m_Settings.m_Seed ^ LimitSeed),
      m_ReturnRandom(m_Settings.m_Seed ^ ReturnSeed), m_Store(m_Loop, m_Clock),
      m_Client(m_Loop, m_Clock, {}) {}

Soak::~Soak() = default;

std::string Soak::hostIn(uint32_t Net, uint32_t Index) const {
  return "127." + std::to_string(m_Settings.m_Lane) + "." +
         std::to_string(Net) + "." + std::to_string(Index + 1);
}

Duration Soak::draw(Duration From, Duration To) {
  return Duration(std::uniform_int_distribution<int64_t>(From.count(),
                                                         To.count())(m_Random));
}

uint32_t Soak::below(uint32_t Limit) {
  return std::uniform_int_distribution<uint32_t>(0, Limit - 1)(m_Random);
}

void Soak::report(const std::string &What, Duration Length) {
  ++m_Faults;
  auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(Length);
  std::printf("event=fault what=\"%s\" for_ms=%lld requests=%llu\n",
              What.c_str(), static_cast<long long>(Millis.count()),
              static_cast<unsigned long long>(m_Requests));
}

void Soak::disturb(Duration Length) {
  m_DisturbedUntil =
      std::max(m_DisturbedUntil, m_Clock.now() + Length + ContactTime);
}

bool Soak::isCalm() const { return m_Clock.now() >= m_DisturbedUntil; }

void Soak::later(Duration After, std::function<void()> Action) {
  uint64_t Key = ++m_Timers;
  auto Timer = std::make_shared<boost::asio::steady_timer>(m_Loop, After);
  m_Later[Key] = Timer;
  Timer->async_wait(
      [this, Key, Action = std::move(Action)](const error_code &Ended) {
        m_Later.erase(Key);
        if (!Ended)
          Action();
      });
}

Result<void> Soak::startAll() {
  m_Store.put("op", "config", test::configurationDocument(m_Version, m_Prefix));
  for (uint32_t I = 0; I < m_Settings.m_Servers; ++I)
    addServer();
  for (uint32_t I = 0; I < m_Settings.m_Vms; ++I) {
    std::string Host = hostIn(VmNet, I);
    auto At = [&](uint16_t Offset) {
      return Address{Host, static_cast<uint16_t>(FirstVmPort + Offset)}
          .toString();
    };
    Address StoreAt{hostIn(StoreProxyNet, I), StorePort};
    std::vector<std::string> Arguments = {
        m_Settings.m_Program,
        "--name=vm-" + std::to_string(I),
        "--host=" + Host,
        "--data_centre=" + std::string(I % 2 ? "there" : "here"),
        "--callers_address=" + At(0),
        "--readiness_address=" + At(1),
        "--directory_address=" + At(2),
        "--fleet_port=" + std::to_string(FirstVmPort + 3),
        "--internal_port=" + std::to_string(FirstVmPort + 4),
        "--seeds=" + At(0).replace(0, Host.size(), hostIn(VmNet, 0)),
        "--store_address=" + StoreAt.toString(),
        "--stop_grace_s=" + std::to_string(StopGrace.count()),
        "--repeat_slack=1000"};
    auto Made = std::make_unique<Vm>(std::move(Arguments),
                                     m_Settings.m_LogFolder + "/vm-" +
                                         std::to_string(I) + ".log");
    Made->m_Index = I;
    Made->m_Callers = std::make_unique<Proxy>(
        m_Loop, Address{hostIn(CallersNet, I), FirstVmPort},
        Address{Host, FirstVmPort});
    Address Door{hostIn(StoreNet, I), StorePort};
    m_Store.open(Door);
    Made->m_Store = std::make_unique<Proxy>(m_Loop, StoreAt, Door);
    for (Proxy *Each : {Made->m_Callers.get(), Made->m_Store.get()}) {
      auto Bound = Each->listen();
      if (!Bound)
        return Bound;
    }
    auto Started = Made->m_Process.start();
    if (!Started)
      return Started;
    m_Vms.push_back(std::move(Made));
  }
  return boost::outcome_v2::success();
}

void Soak::addServer() {
  uint32_t Index = m_ServersMade++;
  auto Made = std::make_unique<Backend>();
  Made->m_Server = std::make_unique<test::FakeServer>(
      m_Loop, m_Clock, "s-" + std::to_string(Index),
      Address{hostIn(ServerNet, Index), ServerPort});
  Made->m_Server->m_ListedAddress = {hostIn(ServerProxyNet, Index), ServerPort};
  Made->m_Server->m_DataCentre = Index % 2 ? "there" : "here";
  Backend *At = Made.get();
  Made->m_Server->m_Handler = [this, At](const auto &Asked) {
    serve(*At, Asked);
  };
  Made->m_Link = std::make_unique<Proxy>(
      m_Loop, Made->m_Server->m_ListedAddress, Made->m_Server->m_ListenAddress);
  auto Bound = Made->m_Link->listen();
  if (!Bound)
    m_Promises.violate("no address for a server: " + Bound.error().m_Message);
  m_Store.put("servers", Made->m_Server->m_Id,
              test::serverDocument(*Made->m_Server));
  m_Backends.push_back(std::move(Made));
}

void Soak::serve(Backend &At, const std::shared_ptr<http::Exchange> &Asked) {
  std::string Id(
      http::headerOf(Asked->m_Request.base(), m_Speech.m_Headers.m_RequestId));
  TimePoint Now = m_Clock.now();
  bool IsCalm = isCalm();
  if (IsCalm && At.m_LeavingAt != TimePoint{} &&
      Now - At.m_LeavingAt > DrainBound)
    m_Promises.violate("a server that leaves got " + Id);
  if (IsCalm && At.m_Server->m_DataCentre == m_OutDataCentre &&
      Now - m_OutSince > OutBound)
    m_Promises.violate("a data centre that is out got " + Id);
  countLimited(At);
  uint32_t Odd = below(OddAnswerOneIn);
  if (Odd == 0)
    return Asked->answer(At.m_Server->notExecutedResponse(Asked->m_Request));
  m_Promises.noteRun(Id);
  if (Odd == 1)
    return Asked->answer(
        At.m_Server->signedResponse(Asked->m_Request, 500, "error"));
  later(draw(3ms, Odd == 2 ? 2500ms : 60ms), [&At, Asked, Id] {
    if (Asked->hasPeer())
      Asked->answer(
          At.m_Server->signedResponse(Asked->m_Request, 200, bodyOf(Id)));
  });
}

void Soak::countLimited(Backend &At) {
  if (At.m_Limit <= 0)
    return;
  TimePoint Now = m_Clock.now();
  // Any window that begins within the contact time is excused.
  if (Now - At.m_LimitedSince < ContactTime)
    return;
  At.m_LimitedArrivals.push_back(Now);
  while (Now - At.m_LimitedArrivals.front() >= LimitWindow)
    At.m_LimitedArrivals.pop_front();
  auto Allowed = static_cast<size_t>(
      LimitFactor * At.m_Limit *
          std::chrono::duration<double>(LimitWindow).count() +
      LimitSlack);
  if (At.m_LimitedArrivals.size() <= Allowed)
    return;
  m_Promises.violate(
      At.m_Server->m_Id + " named a limit of " + std::to_string(At.m_Limit) +
      " a second and got " + std::to_string(At.m_LimitedArrivals.size()) +
      " requests in 4 s, " + std::to_string(Allowed) + " allowed");
  At.m_LimitedArrivals.clear();
}

void Soak::limitServer() {
  for (const auto &Each : m_Backends) {
    Each->m_Limit = 0;
    Each->m_Server->m_LimitHeader.clear();
    Each->m_LimitedArrivals.clear();
  }
  Backend &Of = *m_Backends[m_LimitRandom() % m_Backends.size()];
  Of.m_Limit = std::uniform_real_distribution<double>(1, 6)(m_LimitRandom);
  Of.m_LimitedSince = m_Clock.now();
  Of.m_Server->m_LimitHeader = std::to_string(Of.m_Limit);
  Of.m_Server->m_ChecksNameLimit = m_LimitRandom() % 2 == 0;
  report("limit of " + std::to_string(Of.m_Limit) + " a second at " +
             Of.m_Server->m_Id,
         0s);
}

void Soak::send(Vm &To, const std::string &Target, bool RunsOnce, bool IsDirect,
                const std::function<void(unsigned)> &Done) {
  std::string Id = "q-" + std::to_string(++m_Requests);
  auto Asked = std::make_shared<http::Request>(
      RunsOnce ? verb::post : verb::get, Target, 11);
  Asked->set(boost::beast::http::field::host, "h.example");
  Asked->set(m_Speech.m_Headers.m_RequestId, Id);
  Asked->set(m_Speech.m_Headers.m_DeadlineMillis,
             std::to_string(CallerDeadline.count()));
  if (RunsOnce)
    Asked->body() = "money";
  Asked->prepare_payload();
  m_Promises.noteSent(Id, RunsOnce);
  TimePoint SentAt = m_Clock.now();
  auto Call = std::make_shared<std::shared_ptr<http::ClientCall>>();
  auto Finished = std::make_shared<bool>(false);
  *Call = m_Client.send(
      {hostIn(IsDirect ? VmNet : CallersNet, To.m_Index), FirstVmPort}, Asked,
      3s, [](const http::Response &) { return true; },
      [this, Id, Done, Call, Finished, SentAt,
       &To](const http::ExchangeResult &Ended) {
        *Finished = true;
        Call->reset();
        if (Ended.m_End == http::ExchangeEnd::Answered) {
          unsigned Status = Ended.m_Answer.result_int();
          bool IsMatching = Ended.m_Answer.body() == bodyOf(Id) &&
                            !http::headerOf(Ended.m_Answer.base(),
                                            m_Speech.m_Headers.m_Signature)
                                 .empty();
          m_Promises.noteAnswer(Id, Status, IsMatching);
          return Done(Status);
        }
        bool IsPlanned =
            isCalm() && To.m_StopAt != TimePoint{} && !isExcused(To, SentAt);
        if (Ended.m_End != http::ExchangeEnd::NotSent)
          m_Promises.noteBroken(Id, IsPlanned);
        Done(0);
      });
  // Callers leave once their deadline is over.
  later(CallerDeadline + 100ms, [Call, Finished, Done] {
    if (*Finished || !*Call)
      return;
    (*Call)->cancel();
    Call->reset();
    Done(0);
  });
}

/// Whether a stop may cut a request: one that was sent in the first half of the
/// grace time, to a server that still works in its last sixth.
bool Soak::isExcused(const Vm &Of, TimePoint SentAt) const {
  return SentAt - Of.m_StopAt <= StopGrace / 2 &&
         m_Clock.now() - Of.m_StopAt >= Duration(StopGrace) * 5 / 6;
}

void Soak::sendOne() {
  if (m_Addresses.empty())
    return;
  const std::string &Host =
      m_Addresses[below(static_cast<uint32_t>(m_Addresses.size()))];
  for (const auto &Each : m_Vms)
    if (hostIn(VmNet, Each->m_Index) == Host) {
      bool RunsOnce = below(2) == 0;
      send(*Each, RunsOnce ? "/once/x" : m_Prefix + "x", RunsOnce, false,
           [](unsigned) {});
      return;
    }
}

void Soak::refreshAddresses() {
  Vm &Asked = *m_Vms[below(m_Settings.m_Vms)];
  m_Client.send(
      {hostIn(VmNet, Asked.m_Index), FirstVmPort + 2},
      std::make_shared<http::Request>(
          test::makeDirectoryRequest(below(2) ? "here" : "there")),
      3s, [](const http::Response &) { return true; },
      [this](const http::ExchangeResult &Ended) {
        if (Ended.m_End != http::ExchangeEnd::Answered)
          return;
        auto Hosts = test::parseHosts(Ended.m_Answer);
        if (!Hosts.empty())
          m_Addresses = Hosts;
      });
}

void Soak::reap() {
  for (const auto &Each : m_Vms) {
    Vm &Of = *Each;
    TimePoint Now = m_Clock.now();
    auto Status = Of.m_Process.takeEnd();
    if (Status) {
      if (!Of.m_MayEnd)
        m_Promises.violate("vm-" + std::to_string(Of.m_Index) +
                           " ended by itself, status " +
                           std::to_string(*Status));
      Of.m_StopAt = {};
      if (!Of.m_WillRestart)
        restart(Of, draw(100ms, 1500ms));
    }
    if (Of.m_Process.isRunning() && Of.m_StopAt != TimePoint{} &&
        !Of.m_IsPaused && Now - Of.m_StopAt > StopGrace + StopSlack) {
      if (isCalm())
        m_Promises.violate("vm-" + std::to_string(Of.m_Index) +
                           " outlived its grace time");
      kill(Of);
    }
  }
}

void Soak::restart(Vm &Of, Duration After) {
  Of.m_WillRestart = true;
  later(After, [this, &Of] {
    Of.m_WillRestart = false;
    Of.m_MayEnd = false;
    Of.m_IsPaused = false;
    ++Of.m_Restarts;
    disturb(0s);
    auto Started = Of.m_Process.start();
    if (!Started)
      m_Promises.violate(Started.error().m_Message);
  });
}

void Soak::kill(Vm &Of) {
  Of.m_MayEnd = true;
  disturb(0s);
  Of.m_Process.signal(SIGKILL);
}

void Soak::stop(Vm &Of) {
  if (!Of.m_Process.isRunning() || Of.m_StopAt != TimePoint{})
    return;
  Of.m_MayEnd = true;
  Of.m_StopAt = m_Clock.now();
  Of.m_Process.signal(SIGTERM);
}

void Soak::harm(Proxy &Link, LinkState State, Duration Length,
                const std::string &What) {
  report(What, Length);
  disturb(Length);
  Link.setState(State, draw(20ms, 300ms));
  later(Length, [&Link] { Link.setState(LinkState::Whole); });
}

void Soak::changeConfiguration() {
  report("configuration", 0s);
  ++m_Version;
  m_OldPrefix = m_Prefix;
  m_Prefix = "/r" + std::to_string(m_Version) + "/";
  m_Store.put("op", "config", test::configurationDocument(m_Version, m_Prefix));
}

void Soak::takeDataCentreOut(Duration Length) {
  if (!m_OutDataCentre.empty())
    return;
  report("data centre out", Length);
  m_OutDataCentre = below(2) ? "here" : "there";
  m_OutSince = m_Clock.now();
  m_Store.put("op", "evacuate/" + m_OutDataCentre, nlohmann::json::object());
  later(Length, [this] {
    m_Store.remove("op", "evacuate/" + m_OutDataCentre);
    m_OutDataCentre.clear();
  });
}

void Soak::replaceServer() {
  Backend &Leaving =
      *m_Backends[below(static_cast<uint32_t>(m_Backends.size()))];
  if (Leaving.m_LeavingAt != TimePoint{})
    return;
  report("server replaced", 0s);
  addServer();
  Leaving.m_LeavingAt = m_Clock.now();
  m_Store.put("servers", Leaving.m_Server->m_Id,
              test::serverDocument(*Leaving.m_Server, "draining"));
  later(DrainBound + 1500ms, [this, &Leaving] {
    Leaving.m_IsRegistered = false;
    m_Store.remove("servers", Leaving.m_Server->m_Id);
  });
}

void Soak::scheduleReturns() {
  auto Draw = [this](Duration Most) {
    return Duration(std::uniform_int_distribution<int64_t>(0, Most.count())(
        m_ReturnRandom));
  };
  uint32_t Returns = 1 + m_ReturnRandom() % 2;
  for (uint32_t I = 0; I < Returns; ++I) {
    Duration CopyAfter = Draw(FaultTime - MaxCopyAge - MaxAwayTime);
    Duration Age = Draw(MaxCopyAge);
    Duration Away = Draw(MaxAwayTime);
    later(CopyAfter, [this, Age, Away] {
      later(Age, [this, Away, Older = m_Store.copy()] {
        returnFromCopy(Older, Away);
      });
    });
  }
}

void Soak::returnFromCopy(const test::FakeStore::Copy &Older, Duration Away) {
  Duration WriteAfter(std::uniform_int_distribution<int64_t>(
      0, MaxWriteAgainTime.count())(m_ReturnRandom));
  report("store returns from a copy", Away + WriteAfter);
  disturb(Away + WriteAfter);
  m_Store.m_IsDown = true;
  bool EndsWatches = m_ReturnRandom() % 2 == 0;
  later(Away, [this, Older, EndsWatches] {
    m_Store.restore(Older, EndsWatches);
    m_Store.m_IsDown = false;
  });
  later(Away + WriteAfter, [this] { writeAgain(); });
  for (Duration After = Away; After < Away + ContactTime; After += 250ms)
    later(After, [this] {
      for (const auto &Each : m_Vms)
        checkNoReversion(*Each);
    });
}

void Soak::writeAgain() {
  m_Store.put("op", "config", test::configurationDocument(m_Version, m_Prefix));
  for (const char *Each : {"here", "there"})
    if (m_OutDataCentre == Each)
      m_Store.put("op", std::string("evacuate/") + Each,
                  nlohmann::json::object());
    else
      m_Store.remove("op", std::string("evacuate/") + Each);
  for (const auto &Each : m_Backends) {
    const test::FakeServer &Server = *Each->m_Server;
    bool IsLeaving = Each->m_LeavingAt != TimePoint{};
    if (Each->m_IsRegistered)
      m_Store.put(
          "servers", Server.m_Id,
          test::serverDocument(Server, IsLeaving ? "draining" : "ready"));
    else
      m_Store.remove("servers", Server.m_Id);
  }
}

void Soak::checkNoReversion(Vm &Of) {
  if (!Of.m_Process.isRunning() || m_OldPrefix.empty())
    return;
  uint32_t Incarnation = Of.m_Restarts;
  std::string Old = m_OldPrefix + "x";
  send(Of, m_Prefix + "x", false, true,
       [this, &Of, Incarnation, Old](unsigned Status) {
         if (Status != 200 || Of.m_Restarts != Incarnation)
           return;
         send(Of, Old, false, true, [this, &Of, Incarnation](unsigned Second) {
           if (Second == 200 && Of.m_Restarts == Incarnation)
             m_Promises.violate("vm-" + std::to_string(Of.m_Index) +
                                " went back to an older configuration");
         });
       });
}

void Soak::injectOne(Duration Left) {
  Vm &OneVm = *m_Vms[below(m_Settings.m_Vms)];
  Backend &OneServer =
      *m_Backends[below(static_cast<uint32_t>(m_Backends.size()))];
  Duration Length = std::min(draw(200ms, 3s), Left);
  std::string VmName = " of vm-" + std::to_string(OneVm.m_Index);
  std::string ServerName = " of " + OneServer.m_Server->m_Id;
  switch (static_cast<Fault>(below(static_cast<uint32_t>(Fault::Count)))) {
  case Fault::KillVm:
    report("kill" + VmName, 0s);
    return kill(OneVm);
  case Fault::StopVm:
    report("stop" + VmName, 0s);
    return stop(OneVm);
  case Fault::PauseVm:
    if (OneVm.m_IsPaused)
      return;
    report("pause" + VmName, Length);
    disturb(Length);
    OneVm.m_IsPaused = true;
    OneVm.m_Process.signal(SIGSTOP);
    return later(Length, [&OneVm] {
      OneVm.m_IsPaused = false;
      OneVm.m_Process.signal(SIGCONT);
    });
  case Fault::HangupVm:
    report("hangup" + VmName, 0s);
    return OneVm.m_Process.signal(SIGHUP);
  case Fault::CallersDelayed:
    return harm(*OneVm.m_Callers, LinkState::Delayed, Length,
                "delay callers" + VmName);
  case Fault::CallersReset:
    report("reset callers" + VmName, 0s);
    disturb(0s);
    return OneVm.m_Callers->resetAll();
  case Fault::ServerDelayed:
    return harm(*OneServer.m_Link, LinkState::Delayed, Length,
                "delay link" + ServerName);
  case Fault::ServerReset:
    report("reset link" + ServerName, 0s);
    disturb(0s);
    return OneServer.m_Link->resetAll();
  case Fault::ServerRefusing:
    return harm(*OneServer.m_Link, LinkState::Refusing, Length,
                "refuse link" + ServerName);
  case Fault::ServerCutForward:
    return harm(*OneServer.m_Link, LinkState::CutForward, Length,
                "cut requests" + ServerName);
  case Fault::ServerCutBackward:
    return harm(*OneServer.m_Link, LinkState::CutBackward, Length,
                "cut answers" + ServerName);
  case Fault::ServerSilent:
    return harm(*OneServer.m_Link, LinkState::Silent, Length,
                "silence link" + ServerName);
  case Fault::StoreDown:
    report("store down", Length);
    disturb(Length);
    m_Store.m_IsDown = true;
    return later(Length, [this] { m_Store.m_IsDown = false; });
  case Fault::StoreDelayed:
    return harm(*OneVm.m_Store, LinkState::Delayed, Length,
                "delay store" + VmName);
  case Fault::StoreSilent:
    return harm(*OneVm.m_Store, LinkState::Silent, Length,
                "silence store" + VmName);
  case Fault::StoreRefusing:
    return harm(*OneVm.m_Store, LinkState::Refusing, Length,
                "refuse store" + VmName);
  case Fault::StoreForgets:
    report("store forgets its history", 0s);
    m_Store.m_HistoryLossesToReport += 1 + below(3);
    return disturb(0s);
  case Fault::Configuration:
    return changeConfiguration();
  case Fault::DataCentreOut:
    return takeDataCentreOut(Length);
  case Fault::ServerReplaced:
    return replaceServer();
  case Fault::Count:
    break;
  }
}

void Soak::tick() {
  TimePoint Now = m_Clock.now();
  reap();
  if (Now >= m_NextRequest) {
    m_NextRequest = Now + RequestInterval;
    sendOne();
  }
  if (Now >= m_NextAddresses) {
    m_NextAddresses = Now + AddressAge;
    refreshAddresses();
  }
}

void Soak::pass(Duration Length) {
  TimePoint End = m_Clock.now() + Length;
  while (m_Clock.now() < End) {
    tick();
    m_Loop.restart();
    m_Loop.run_for(
        std::chrono::duration_cast<std::chrono::milliseconds>(TickInterval));
  }
}

/// In a calm stretch, each VM handles requests as the newest configuration
/// says, and nearly all are served.
void Soak::checkCalm() {
  constexpr uint32_t Asks = 20;
  std::string Prefix = m_Prefix;
  std::string Old = m_OldPrefix;
  auto Served = std::make_shared<uint32_t>(0);
  uint32_t Asked = 0;
  for (const auto &Each : m_Vms) {
    Vm &Of = *Each;
    std::string Name = "vm-" + std::to_string(Of.m_Index);
    for (uint32_t I = 0; I < Asks; ++I) {
      ++Asked;
      send(Of, Prefix + "x", false, true, [=, this](unsigned Status) {
        *Served += Status == 200 ? 1 : 0;
        if (Status == 404)
          m_Promises.violate(Name + " denied a route of configuration " +
                             std::to_string(m_Version));
      });
      pass(15ms);
    }
    if (!Old.empty())
      send(Of, Old + "x", false, true, [=, this](unsigned Status) {
        if (Status == 200)
          m_Promises.violate(Name + " served a route that was removed");
      });
  }
  pass(CallerDeadline + 200ms);
  // Servers fail or hang on purpose in 2 of 40; a tenth is generous.
  if (*Served * 10 < Asked * 9)
    m_Promises.violate("calm, and " + std::to_string(*Served) + " of " +
                       std::to_string(Asked) + " requests were served");
}

Result<void> Soak::run() {
  auto Started = startAll();
  if (!Started)
    return Started;
  pass(2s);
  for (uint32_t Round = 0; Round < m_Settings.m_Rounds; ++Round) {
    std::printf("event=round number=%u seed=%u\n", Round + 1,
                m_Settings.m_Seed);
    limitServer();
    scheduleReturns();
    TimePoint End = m_Clock.now() + FaultTime;
    while (m_Clock.now() < End) {
      injectOne(End - m_Clock.now());
      pass(draw(0s, 2 * FaultGap));
    }
    // Faults are over; stopped VMs end, killed ones are back, and their time
    // to be in touch has passed.
    pass(500ms);
    while (!isCalm())
      pass(100ms);
    // A planned stop and a change among calm VMs.
    stop(*m_Vms[below(m_Settings.m_Vms)]);
    changeConfiguration();
    pass(ConfigurationBound);
    while (!isCalm())
      pass(100ms);
    pass(2s);
    while (!isCalm())
      pass(100ms);
    checkCalm();
  }
  return boost::outcome_v2::success();
}

} // namespace hyssopcross::faultsoak
