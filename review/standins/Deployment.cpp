#include "Deployment.h"
#include <boost/beast/core/detail/base64.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using Json = nlohmann::json;
namespace base64 = boost::beast::detail::base64;

constexpr int QueueLength = 4;
/// Traffic starts this long after the machines do.
constexpr double TrafficStartSeconds = 8;

std::string encode64(const std::string &Bytes) {
  std::string Text(base64::encoded_size(Bytes.size()), '\0');
  Text.resize(base64::encode(Text.data(), Bytes.data(), Bytes.size()));
  return Text;
}

/// The settings of a process: the template of the deploy file, filled in. A
/// section {{#X}}...{{/X}} remains only if X has a value.
std::string fillTemplate(const std::map<std::string, std::string> &Values) {
  std::ifstream File("deploy/settings.flags");
  std::stringstream Text;
  Text << File.rdbuf();
  std::string Filled = Text.str();
  for (size_t At = 0; (At = Filled.find("{{", At)) != std::string::npos;) {
    size_t End = Filled.find("}}", At);
    std::string Name = Filled.substr(At + 2, End - At - 2);
    if (Name.starts_with('#') && !Values.count(Name.substr(1))) {
      std::string Close = "{{/" + Name.substr(1) + "}}";
      Filled.erase(At, Filled.find(Close, End) + Close.size() - At);
      continue;
    }
    auto Known = Values.find(Name);
    Filled.replace(At, End + 2 - At,
                   Known == Values.end() ? "" : Known->second);
  }
  return Filled;
}

} // namespace

void Record::note(const std::string &Line) {
  std::lock_guard Guard(m_Mutex);
  m_File << now() << " " << Line << std::endl;
}

double Record::now() const {
  return std::chrono::duration<double>(Clock::now() - m_Start).count();
}

Store::Store(const Address &At, Record &Notes)
    : m_Notes(Notes), m_Server(std::make_unique<Server>(
                          At, [this](Connection &With) { serve(With); })) {}

void Store::stop() {
  {
    std::lock_guard Guard(m_Mutex);
    m_Ended = true;
  }
  m_Changed.notify_all();
  m_Server.reset();
}

void Store::put(const std::string &Table, const std::string &Key,
                const Json &Value) {
  std::lock_guard Guard(m_Mutex);
  m_Tables[Table][Key] = {Value.dump(), ++m_Version, false};
  m_Notes.note("store " + Table + "/" + Key + " " + Value.dump());
  m_Changed.notify_all();
}

Json Store::rows(const std::string &Table, uint64_t After, bool WithRemoved,
                 const std::string &From) {
  std::vector<std::pair<uint64_t, Json>> Found;
  for (const auto &[Key, Each] : m_Tables[Table]) {
    if (Each.m_Version <= After || Key < From ||
        (Each.m_Removed && !WithRemoved))
      continue;
    Json Made = {
        {"Table", Table}, {"part", ""}, {"Key", Key}, {"Ver", Each.m_Version}};
    if (Each.m_Removed)
      Made["Tombstone"] = true;
    else
      Made["Value"] = encode64(Each.m_Value);
    Found.emplace_back(Each.m_Version, std::move(Made));
  }
  // Reads are in the order of keys, watches in that of versions.
  if (WithRemoved)
    std::sort(Found.begin(), Found.end(),
              [](const auto &A, const auto &B) { return A.first < B.first; });
  Json List = Json::array();
  for (auto &[Version, Each] : Found)
    List.push_back(std::move(Each));
  return List;
}

std::string Store::answer(const Message &Asked) {
  std::string Target = Asked.target();
  std::string Path = Target.substr(0, Target.find('?'));
  std::string Table = queryParameter(Target, "Table");
  std::unique_lock Guard(m_Mutex);
  Json Body = {{"NowS", m_Notes.now()}};
  if (Path == "/api/rows-get") {
    Body["Rows"] = rows(Table, 0, false, queryParameter(Target, "From"));
    Body["HasMore"] = false;
  } else if (Path == "/api/rows-feed") {
    uint64_t After = std::stoull(queryParameter(Target, "after"));
    double Wait = std::stod(queryParameter(Target, "WaitMs")) / 1000;
    m_Changed.wait_until(Guard, after(Wait), [&] {
      return m_Ended || !rows(Table, After, true, "").empty();
    });
    Body["Rows"] = rows(Table, After, true, "");
  } else if (Path == "/api/rows-tx") {
    Json Given = Json::parse(Asked.m_Body);
    for (const Json &Each : Given["Writes"]) {
      std::string Value = Each["Value"];
      std::string Bytes(base64::decoded_size(Value.size()), '\0');
      Bytes.resize(
          base64::decode(Bytes.data(), Value.data(), Value.size()).first);
      m_Tables[Each["Table"]][Each["Key"]] = {Bytes, m_Version + 1, false};
    }
    ++m_Version;
    m_Changed.notify_all();
  } else {
    return response(404, "", "");
  }
  Body["Ver"] = m_Version;
  return response(200, "Content-Type: application/json\r\nStore-Era: 1\r\n",
                  Body.dump());
}

void Store::serve(Connection &With) {
  Message Asked;
  while (With.read(Asked, after(3600))) {
    std::string Answer = answer(Asked);
    sleepFor(0.004);
    if (!With.write(Answer))
      return;
  }
}

Upstream::Upstream(std::string Id, std::string Service, std::string Zone,
                   const Address &At, Record &Notes)
    : m_Id(std::move(Id)), m_Service(std::move(Service)),
      m_Zone(std::move(Zone)), m_At(At), m_Notes(Notes),
      m_Server(std::make_unique<Server>(
          At, [this](Connection &With) { serve(With); })) {}

Json Upstream::entry() const {
  auto Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
  return {{"Address", m_At.toString()},
          {"born", Born},
          {"Information",
           {{"Service", m_Service},
            {"Version", "v1"},
            {"Zone", m_Zone},
            {"Slots", m_Slots.load()}}},
          {"Status",
           {{"State", "ready"}, {"Sequence", 1}, {"WarmupRemainingS", 0}}}};
}

std::vector<Run> Upstream::runs() const {
  std::lock_guard Guard(m_Mutex);
  return m_Runs;
}

std::string Upstream::load() {
  std::lock_guard Guard(m_Mutex);
  return "Server-Load: " + std::to_string(m_Running) + "," +
         std::to_string(m_Waiting) + "," + std::to_string(m_Slots) + ",100\r\n";
}

void Upstream::serve(Connection &With) {
  Message Asked;
  while (With.read(Asked, after(10))) {
    if (Asked.target() == "/health") {
      if (!With.write(
              response(200, "Instance-Id: " + m_Id + "\r\n" + load(), "")))
        return;
      continue;
    }
    if (Asked.header("target-instance") != m_Id) {
      if (!With.write(response(421, "Instance-Id: " + m_Id + "\r\n", "")))
        return;
      continue;
    }
    if (!work(With, Asked))
      return;
  }
}

bool Upstream::work(Connection &With, const Message &Asked) {
  std::string Id = Asked.header("attempt-id");
  std::string Echo = "Attempt-Id: " + Id + "\r\n";
  Time Deadline = after(std::stod(Asked.header("deadline-ms")) / 1000);
  size_t Index = 0;
  {
    std::unique_lock Guard(m_Mutex);
    bool IsFull = m_Waiting >= QueueLength;
    ++m_Waiting;
    bool HasSlot = !IsFull && m_Freed.wait_until(Guard, Deadline, [&] {
      return m_Running < m_Slots;
    });
    --m_Waiting;
    if (!HasSlot) {
      Guard.unlock();
      return With.write(response(503, Echo + "Not-Executed: 1\r\n", ""));
    }
    ++m_Running;
    Index = m_Runs.size();
    m_Runs.push_back(
        {Id, m_Id, Asked.method(), Asked.target(), Asked.m_Body, false});
  }
  m_Notes.note("run " + Id + " at " + m_Id + ": " + Asked.method() + " " +
               Asked.target() + ", body of " +
               std::to_string(Asked.m_Body.size()) + " bytes");
  // An upstream drops a request when its connection closes.
  Time Done = after(m_WorkSeconds);
  bool HasCaller = true;
  while (HasCaller && Clock::now() < std::min(Done, Deadline)) {
    sleepFor(0.002);
    HasCaller = !With.hasEnded();
  }
  bool InTime = Clock::now() >= Done;
  bool Written =
      HasCaller &&
      With.write(
          InTime
              ? response(200,
                         Echo + load() + "Response-Signature: s-" + Id + "\r\n",
                         "body of " + Id)
              : response(504,
                         Echo + load() + "Response-Signature: s-" + Id + "\r\n",
                         ""));
  m_Notes.note((Written ? "upstream answered " : "upstream dropped ") + Id);
  std::lock_guard Guard(m_Mutex);
  --m_Running;
  m_Runs[Index].m_Answered = Written;
  m_Freed.notify_one();
  return Written;
}

bool Entry::isRunning() {
  if (m_Process < 0)
    return false;
  int Status = 0;
  if (::waitpid(m_Process, &Status, WNOHANG) == 0)
    return true;
  m_Process = -1;
  return false;
}

uint64_t Entry::memory() const {
  std::ifstream File("/proc/" + std::to_string(m_Process) + "/statm");
  uint64_t Total = 0;
  uint64_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<uint64_t>(::sysconf(_SC_PAGESIZE));
}

void Entry::signal(int Which) const {
  if (m_Process > 0)
    ::kill(m_Process, Which);
}

void Entry::awaitEnd(Time Until) {
  while (isRunning()) {
    if (Clock::now() >= Until)
      signal(SIGKILL);
    sleepFor(0.005);
  }
}

Deployment::Deployment(const std::string &Folder, int Entries)
    : m_Record(Folder + "/record.txt") {
  std::string Name =
      (std::filesystem::temp_directory_path() / "hyssopcross-review-XXXXXX")
          .string();
  m_Temporary = ::mkdtemp(Name.data());
  m_NextPort = static_cast<uint16_t>(20000 + ::getpid() % 10000);
  for (int I = 0; I < Entries; ++I)
    m_Entries.push_back(
        std::make_unique<Entry>("front-a-" + std::to_string(I + 1),
                                "127.0.1." + std::to_string(I + 1), "zone-a"));
  m_CallersPort = freePort();
  m_ReadyPort = freePort();
  m_DirectoryPort = freePort();
  m_FleetPort = freePort();
  m_InternalPort = freePort();
  m_StoreAddress = {"127.0.0.1", freePort()};
  m_Store = std::make_unique<Store>(m_StoreAddress, m_Record);
}

Deployment::~Deployment() {
  for (auto &Each : m_Entries)
    Each->signal(SIGKILL);
  for (auto &Each : m_Entries)
    Each->awaitEnd(Clock::now());
  m_Store->stop();
  m_Upstreams.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(m_Temporary, Ignored);
}

uint16_t Deployment::freePort() {
  std::vector<std::string> Hosts = {"127.0.0.1"};
  for (const auto &Each : m_Entries)
    Hosts.push_back(Each->m_Host);
  // The port has to be free on each loopback address of the deployment.
  while (true) {
    uint16_t Port = m_NextPort++;
    bool IsFree = true;
    for (const std::string &Host : Hosts) {
      int Socket = listenAt({Host, Port});
      IsFree = IsFree && Socket >= 0;
      if (Socket >= 0)
        ::close(Socket);
    }
    if (IsFree)
      return Port;
  }
}

Upstream &Deployment::addUpstream(const std::string &Service) {
  std::string Id = "i-" + std::to_string(m_Upstreams.size() + 1);
  m_Upstreams.push_back(std::make_unique<Upstream>(
      Id, Service, "zone-a", Address{"127.0.0.1", freePort()}, m_Record));
  m_Store->put("servers", Id, m_Upstreams.back()->entry());
  return *m_Upstreams.back();
}

void Deployment::configure(const std::vector<RouteOptions> &Routes,
                           uint32_t MaxHeaderBytes) {
  Json Config = {{"Version", "00000007"},
                 {"Routes", Json::object()},
                 {"Services", Json::object()},
                 {"Limits",
                  {{"MaxHeaderBytes", MaxHeaderBytes},
                   {"MaxBodyBytes", 67108864},
                   {"HeaderTimeoutS", 3},
                   {"IdleTimeoutS", 15}}}};
  for (const RouteOptions &Each : Routes) {
    Config["Routes"][Each.m_Name] = {{"Host", "shop.example"},
                                     {"Prefix", "/" + Each.m_Name + "/"},
                                     {"Kind", Each.m_Kind},
                                     {"TimeoutS", Each.m_Timeout},
                                     {"TargetLatencyS", Each.m_Objective},
                                     {"Priority", 1},
                                     {"Service", Each.m_Service},
                                     {"Attempts", 2}};
    Config["Services"][Each.m_Service] = {{"HealthCheckPath", "/health"},
                                          {"MaxConnections", 220},
                                          {"Protocol", "h1"},
                                          {"Tls", false},
                                          {"WarmupS", 3.0},
                                          {"WarmupPerS", 6.7}};
  }
  m_Store->put("op", "config", Config);
}

void Deployment::startEntry(Entry &Which, bool IsFirst) {
  std::string Settings = m_Temporary + "/" + Which.m_Name + ".flags";
  std::string Seeds;
  for (const auto &Each : m_Entries)
    Seeds += (Seeds.empty() ? "" : ",") + Each->m_Host + ":1";
  auto At = [&](uint16_t Port) {
    return Which.m_Host + ":" + std::to_string(Port);
  };
  std::ofstream(Settings) << fillTemplate(
      {{"NodeName", Which.m_Name},
       {"Ip", Which.m_Host},
       {"Zone", Which.m_Zone},
       {"ListenAddresses.Front", At(m_CallersPort)},
       {"ListenAddresses.Ready", At(m_ReadyPort)},
       {"ListenAddresses.Directory", At(m_DirectoryPort)},
       {"InternalPortRange.0", std::to_string(m_FleetPort)},
       {"InternalPortRange.1", std::to_string(m_InternalPort)},
       {"SeedNodes", Seeds},
       {"Limits.CpuShare", "0.2"},
       {"Limits.CpuCores", "1"},
       {"Limits.MemoryMb", "260"},
       {"Platform.Address", m_StoreAddress.toString()},
       {"Bootstrap", IsFirst ? "true" : "false"},
       {"Bounds.GraceS", "6"},
       {"Bounds.ConfigApplyS", "2"},
       {"Bounds.ttl_max_s", "5"},
       {"Bounds.RetryBudgetRatio", "0.2"},
       {"Bounds.BudgetWindowS", "10"},
       {"Bounds.RetryBudgetSlack", "56"},
       {"Bounds.ProbesPerS", "60"}});
  std::string Log = m_Temporary + "/" + Which.m_Name + ".log";
  if (const char *Kept = std::getenv("KEEP_LOGS"))
    Log = std::string(Kept) + "/" + Which.m_Name + ".log";
  std::string Variable = "HYSSOPCROSS_CONFIG=" + Settings;
  std::string Program = "target/bin/hyssopcross-entry";
  char *Arguments[] = {Program.data(), nullptr};
  char *Environment[] = {Variable.data(), nullptr};
  Which.m_Process = ::fork();
  if (Which.m_Process == 0) {
    if (!std::freopen(Log.c_str(), "a", stdout) ||
        !std::freopen(Log.c_str(), "a", stderr))
      ::_exit(CouldNotRun);
    ::execve(Program.c_str(), Arguments, Environment);
    ::_exit(CouldNotRun);
  }
  m_Record.note("started " + Which.m_Name + " as process " +
                std::to_string(Which.m_Process));
}

bool Deployment::awaitReady(Entry &Which, double Seconds) {
  for (Time Until = after(Seconds); Clock::now() < Until; sleepFor(0.05)) {
    Connection Asked;
    Message Answer;
    if (Asked.connect({Which.m_Host, m_ReadyPort}) &&
        Asked.write("GET /api/readiness HTTP/1.1\r\nHost: p\r\n\r\n") &&
        Asked.read(Answer, after(1)) && Answer.status() == 200) {
      m_Record.note(Which.m_Name + " is ready");
      return true;
    }
  }
  return false;
}

bool Deployment::start() {
  Time TrafficAt = after(TrafficStartSeconds);
  for (auto &Each : m_Entries)
    startEntry(*Each, true);
  for (auto &Each : m_Entries)
    if (!awaitReady(*Each, 15))
      return false;
  std::this_thread::sleep_until(TrafficAt);
  return true;
}

std::vector<Run> Deployment::runs() const {
  std::vector<Run> All;
  for (const auto &Each : m_Upstreams)
    for (Run &One : Each->runs())
      All.push_back(std::move(One));
  return All;
}

std::string request(const std::string &Method, const std::string &Route,
                    const std::string &Id, int DeadlineMillis,
                    const std::string &Body) {
  std::string Text = Method + " /" + Route + "/" + Id +
                     " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + Id +
                     "\r\nDeadline-Ms: " + std::to_string(DeadlineMillis) +
                     "\r\n";
  if (Method != "GET")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string_view(Value) != "0";
}

} // namespace review
