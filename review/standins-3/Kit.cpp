#include "Kit.h"
#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace kit {

using Json = nlohmann::json;

namespace {

/// Time that the store takes for an answer.
constexpr int64_t AnswerMs = 4;

std::mutex RecordMutex;
std::ofstream RecordFile;

sockaddr_in addressOf(const std::string &Host, uint16_t Port) {
  sockaddr_in Made{};
  Made.sin_family = AF_INET;
  Made.sin_port = htons(Port);
  inet_pton(AF_INET, Host.c_str(), &Made.sin_addr);
  return Made;
}

bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(), [](char X, char Y) {
           return std::tolower(static_cast<unsigned char>(X)) ==
                  std::tolower(static_cast<unsigned char>(Y));
         });
}

std::string toBase64(const std::string &Bytes) {
  constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (size_t I = 0; I < Bytes.size(); I += 3) {
    uint32_t Group = 0;
    for (size_t J = 0; J < 3; ++J)
      Group = (Group << 8) |
              (I + J < Bytes.size() ? static_cast<uint8_t>(Bytes[I + J]) : 0U);
    for (size_t J = 0; J < 4; ++J)
      Text += I + J > Bytes.size() ? '=' : Digits[(Group >> (18 - 6 * J)) & 63];
  }
  return Text;
}

std::string fromBase64(const std::string &Text) {
  std::string Bytes;
  uint32_t Group = 0;
  int Bits = 0;
  for (char Each : Text) {
    auto Byte = static_cast<unsigned char>(Each);
    int Digit = std::isupper(Byte)   ? Byte - 'A'
                : std::islower(Byte) ? Byte - 'a' + 26
                : std::isdigit(Byte) ? Byte - '0' + 52
                : Byte == '+'        ? 62
                : Byte == '/'        ? 63
                                     : -1;
    if (Digit < 0)
      break;
    Group = (Group << 6) | static_cast<uint32_t>(Digit);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Bytes += static_cast<char>((Group >> Bits) & 255);
    }
  }
  return Bytes;
}

std::string percentDecoded(const std::string &Text) {
  std::string Decoded;
  for (size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Decoded += static_cast<char>(
          std::strtol(Text.substr(I + 1, 2).c_str(), nullptr, 16));
      I += 2;
    } else {
      Decoded += Text[I];
    }
  }
  return Decoded;
}

std::string queryOf(const std::string &Target, const std::string &Name) {
  size_t At = Target.find('?');
  while (At != std::string::npos) {
    size_t End = Target.find('&', At + 1);
    std::string Pair = Target.substr(At + 1, End - At - 1);
    if (Pair.compare(0, Name.size() + 1, Name + "=") == 0)
      return percentDecoded(Pair.substr(Name.size() + 1));
    At = End;
  }
  return {};
}

std::string responseText(int Status, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Said\r\nContent-Type: " +
         "application/json\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

} // namespace

int64_t nowMs() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

void sleepMs(int64_t Millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
}

void openRecord(const std::string &Path) {
  nowMs();
  RecordFile.open(Path, std::ios::trunc);
}

void record(const std::string &Line) {
  std::lock_guard<std::mutex> Held(RecordMutex);
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%8.3f  ",
                static_cast<double>(nowMs()) / 1000);
  RecordFile << Time << Line << std::endl;
  std::printf("%s%s\n", Time, Line.c_str());
  std::fflush(stdout);
}

std::string Message::header(std::string_view Name) const {
  for (const auto &[Known, Value] : m_Headers)
    if (equalsIgnoringCase(Known, Name))
      return Value;
  return {};
}

int Message::status() const {
  size_t Space = m_Start.find(' ');
  return Space == std::string::npos ? 0 : std::atoi(&m_Start[Space + 1]);
}

std::string Message::method() const {
  return m_Start.substr(0, m_Start.find(' '));
}

std::string Message::target() const {
  size_t Begin = m_Start.find(' ');
  size_t End = m_Start.rfind(' ');
  return Begin == End ? std::string()
                      : m_Start.substr(Begin + 1, End - Begin - 1);
}

Connection::Connection(const std::string &Host, uint16_t Port) {
  m_Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in To = addressOf(Host, Port);
  if (::connect(m_Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0)
    close();
  int One = 1;
  ::setsockopt(m_Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
}

Connection::~Connection() { close(); }

void Connection::close() {
  if (m_Socket >= 0)
    ::close(m_Socket);
  m_Socket = -1;
}

void Connection::reset() {
  linger Now{1, 0};
  ::setsockopt(m_Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  close();
}

bool Connection::send(const std::string &Bytes) {
  size_t Sent = 0;
  while (m_Socket >= 0 && Sent < Bytes.size()) {
    ssize_t Count =
        ::send(m_Socket, &Bytes[Sent], Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<size_t>(Count);
  }
  return m_Socket >= 0;
}

void Connection::limitRate(int64_t BytesPerMs) {
  m_BytesPerMs = BytesPerMs;
  m_ReadSince = nowMs();
  int Bytes = 65536;
  ::setsockopt(m_Socket, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
}

bool Connection::fill(int64_t UntilMs) {
  if (m_Socket < 0 || m_Ended)
    return false;
  if (m_BytesPerMs > 0)
    sleepMs(std::max<int64_t>(0, m_ReadSince + m_ReadBytes / m_BytesPerMs -
                                     nowMs()));
  pollfd Watched{m_Socket, POLLIN, 0};
  int64_t Left = std::max<int64_t>(0, UntilMs - nowMs());
  if (::poll(&Watched, 1, static_cast<int>(Left)) <= 0)
    return false;
  char Bytes[65536];
  ssize_t Count = ::recv(m_Socket, Bytes, sizeof(Bytes), 0);
  if (Count <= 0) {
    m_Ended = true;
    return false;
  }
  m_Buffer.append(Bytes, static_cast<size_t>(Count));
  m_ReadBytes += Count;
  return true;
}

bool Connection::waitForEnd(int64_t TimeoutMs) {
  int64_t Until = nowMs() + TimeoutMs;
  while (!m_Ended && nowMs() < Until)
    fill(Until);
  return m_Ended;
}

Message Connection::read(int64_t TimeoutMs, bool IsAnswer) {
  int64_t Until = nowMs() + TimeoutMs;
  Message Made;
  size_t HeadEnd = 0;
  while ((HeadEnd = m_Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill(Until))
      return Made;
  std::istringstream Head(m_Buffer.substr(0, HeadEnd));
  m_Buffer.erase(0, HeadEnd + 4);
  std::string Line;
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    if (Made.m_Start.empty()) {
      Made.m_Start = Line;
      continue;
    }
    size_t Colon = Line.find(':');
    size_t Value = Line.find_first_not_of(" \t", Colon + 1);
    Made.m_Headers.emplace_back(
        Line.substr(0, Colon),
        Value == std::string::npos ? std::string() : Line.substr(Value));
  }
  if (m_BeforeBody)
    m_BeforeBody(Made);
  std::string Length = Made.header("Content-Length");
  if (equalsIgnoringCase(Made.header("Transfer-Encoding"), "chunked")) {
    while (true) {
      size_t End = 0;
      while ((End = m_Buffer.find("\r\n")) == std::string::npos)
        if (!fill(Until))
          return Made;
      size_t Size = std::strtoul(m_Buffer.c_str(), nullptr, 16);
      while (m_Buffer.size() < End + 2 + Size + 2)
        if (!fill(Until))
          return Made;
      Made.m_Body += m_Buffer.substr(End + 2, Size);
      m_Buffer.erase(0, End + 2 + Size + 2);
      if (Size == 0)
        break;
    }
  } else if (!Length.empty()) {
    size_t Size = std::strtoul(Length.c_str(), nullptr, 10);
    while (m_Buffer.size() < Size && fill(Until)) {
    }
    Made.m_Body = m_Buffer.substr(0, Size);
    m_Buffer.erase(0, Made.m_Body.size());
    if (Made.m_Body.size() < Size)
      return Made;
  } else if (IsAnswer && Made.status() != 204 && Made.status() != 304 &&
             Made.status() >= 200) {
    while (fill(Until)) {
    }
    Made.m_Body = std::exchange(m_Buffer, {});
    Made.m_IsWhole = m_Ended;
    return Made;
  }
  Made.m_IsWhole = true;
  return Made;
}

Server::Server(const std::string &Host, uint16_t Port, Handler Serve)
    : m_Serve(std::move(Serve)) {
  m_Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  ::setsockopt(m_Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in At = addressOf(Host, Port);
  bool IsBound =
      ::bind(m_Listener, reinterpret_cast<sockaddr *>(&At), sizeof(At)) == 0 &&
      ::listen(m_Listener, 1024) == 0;
  if (!IsBound) {
    ::close(m_Listener);
    m_Listener = -1;
    record("cannot listen on " + Host + ":" + std::to_string(Port));
    std::_Exit(2);
  }
  m_Acceptor = std::thread([this] { accept(); });
}

Server::~Server() {
  m_Stopping = true;
  ::shutdown(m_Listener, SHUT_RDWR);
  if (m_Acceptor.joinable())
    m_Acceptor.join();
  ::close(m_Listener);
}

void Server::accept() {
  while (!m_Stopping) {
    int Socket = ::accept4(m_Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    int One = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    std::thread([this, Socket] {
      Connection With(Socket);
      m_Serve(With);
    }).detach();
  }
}

Store::Store(const std::string &Host, uint16_t Port) {
  m_Server = std::make_unique<Server>(
      Host, Port, [this](Connection &With) { serve(With); });
}

void Store::put(const std::string &Table, const std::string &Key,
                const std::string &Value) {
  std::lock_guard<std::mutex> Held(m_Mutex);
  m_Tables[Table][Key] = {Value, ++m_Version, false};
  m_Changed.notify_all();
}

void Store::remove(const std::string &Table, const std::string &Key) {
  std::lock_guard<std::mutex> Held(m_Mutex);
  m_Tables[Table][Key] = {"", ++m_Version, true};
  m_Changed.notify_all();
}

std::vector<std::string> Store::keys(const std::string &Table) {
  std::lock_guard<std::mutex> Held(m_Mutex);
  std::vector<std::string> Found;
  for (const auto &[Key, Each] : m_Tables[Table])
    if (!Each.m_Removed)
      Found.push_back(Key);
  return Found;
}

struct Store::Copy {
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  uint64_t m_Version = 0;
};

std::shared_ptr<const Store::Copy> Store::copy() {
  std::lock_guard<std::mutex> Held(m_Mutex);
  return std::make_shared<const Copy>(Copy{m_Tables, m_Version});
}

void Store::restore(const Copy &From) {
  std::lock_guard<std::mutex> Held(m_Mutex);
  m_Tables = From.m_Tables;
  m_Version = From.m_Version;
  ++m_Era;
  m_Changed.notify_all();
}

uint64_t Store::version() {
  std::lock_guard<std::mutex> Held(m_Mutex);
  return m_Version;
}

void Store::serve(Connection &With) {
  while (true) {
    Message Asked = With.read(3600000, false);
    if (!Asked.m_IsWhole)
      return;
    sleepMs(AnswerMs);
    std::string Answer = m_IsAway ? responseText(503, "{}") : answer(Asked);
    // A watch that waited when the store went away is not answered either.
    if (m_IsAway)
      Answer = responseText(503, "{}");
    std::string Era;
    {
      std::lock_guard<std::mutex> Held(m_Mutex);
      Era = "Store-Era: " + std::to_string(m_Era) + "\r\n";
    }
    Answer.insert(Answer.find("\r\n") + 2, Era);
    if (!With.send(Answer))
      return;
  }
}

std::string Store::rowsText(const std::string &Table, uint64_t After,
                            const std::string &From, bool IsFeed,
                            bool &IsEmpty) {
  std::vector<std::pair<uint64_t, Json>> Rows;
  for (const auto &[Key, Each] : m_Tables[Table]) {
    if (IsFeed ? Each.m_Version <= After : Each.m_Removed || Key < From)
      continue;
    Json Row = {
        {"Table", Table}, {"part", ""}, {"Key", Key}, {"Ver", Each.m_Version}};
    if (Each.m_Removed)
      Row["Tombstone"] = true;
    else
      Row["Value"] = toBase64(Each.m_Value);
    Rows.emplace_back(IsFeed ? Each.m_Version : 0, std::move(Row));
  }
  std::stable_sort(Rows.begin(), Rows.end(), [](const auto &A, const auto &B) {
    return A.first < B.first;
  });
  Json Listed = Json::array();
  for (auto &[Order, Each] : Rows)
    Listed.push_back(std::move(Each));
  IsEmpty = Listed.empty();
  Json Body = {{"Rows", std::move(Listed)},
               {"Ver", m_Version},
               {"NowS", static_cast<double>(nowMs()) / 1000}};
  if (!IsFeed)
    Body["HasMore"] = false;
  return Body.dump();
}

std::string Store::transact(const std::string &Body) {
  Json Asked = Json::parse(Body, nullptr, false);
  if (!Asked.is_object())
    return responseText(400, "{}");
  for (const Json &Each : Asked["Precondition"]) {
    const Row &Known = m_Tables[Each["Table"].get<std::string>()]
                               [Each["Key"].get<std::string>()];
    uint64_t Has = Known.m_Removed ? 0 : Known.m_Version;
    if (Has != Each["Ver"].get<uint64_t>())
      return responseText(412, "{\"Rows\":[]}");
  }
  ++m_Version;
  for (const Json &Each : Asked["Writes"])
    m_Tables[Each["Table"].get<std::string>()][Each["Key"].get<std::string>()] =
        {fromBase64(Each["Value"].get<std::string>()), m_Version, false};
  m_Changed.notify_all();
  return responseText(200, "{\"Ver\":" + std::to_string(m_Version) +
                               ",\"NowS\":1.0}");
}

std::string Store::answer(const Message &Asked) {
  std::string Target = Asked.target();
  std::string Path = Target.substr(0, Target.find('?'));
  std::unique_lock<std::mutex> Held(m_Mutex);
  bool IsEmpty = false;
  if (Path == "/api/rows-tx")
    return transact(Asked.m_Body);
  std::string Table = queryOf(Target, "Table");
  if (Path == "/api/rows-get")
    return responseText(
        200, rowsText(Table, 0, queryOf(Target, "From"), false, IsEmpty));
  if (Path != "/api/rows-feed")
    return responseText(404, "{}");
  uint64_t After = std::strtoull(queryOf(Target, "after").c_str(), nullptr, 10);
  int64_t Until = nowMs() + std::atoll(queryOf(Target, "WaitMs").c_str());
  while (true) {
    // A read from a version that the store does not have.
    if (After > m_Version)
      return responseText(410, "{}");
    std::string Text = rowsText(Table, After, "", true, IsEmpty);
    if (!IsEmpty || nowMs() >= Until || m_IsAway)
      return responseText(200, Text);
    m_Changed.wait_for(
        Held, std::chrono::milliseconds(std::max<int64_t>(1, Until - nowMs())));
  }
}

Upstream::Upstream(Store &In, std::string Id, std::string Service,
                   std::string Zone, std::string Host, uint16_t Port,
                   Handler Serve)
    : m_Store(In), m_Id(std::move(Id)), m_Service(std::move(Service)),
      m_Zone(std::move(Zone)), m_Host(std::move(Host)), m_Port(Port),
      m_Born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
      m_Handler(std::move(Serve)) {
  m_Server = std::make_unique<Server>(
      m_Host, m_Port, [this](Connection &With) { serve(With); });
  registerAs("ready");
}

void Upstream::registerAs(const std::string &State) {
  Json Entry = {
      {"Address", m_Host + ":" + std::to_string(m_Port)},
      {"born", m_Born},
      {"Information",
       {{"Service", m_Service},
        {"Version", "v1"},
        {"Zone", m_Zone},
        {"Slots", 8}}},
      {"Status", {{"State", State}, {"Sequence", 1}, {"WarmupRemainingS", 0}}}};
  m_Store.put("servers", m_Id, Entry.dump());
}

void Upstream::serve(Connection &With) {
  With.m_BeforeBody = [this, &With](const Message &Head) {
    if (m_BeforeBody)
      m_BeforeBody(*this, With, Head);
  };
  while (true) {
    Message Asked = With.read(15000, false);
    if (!Asked.m_IsWhole) {
      if (!Asked.m_Start.empty())
        record(m_Id + " got only " + std::to_string(Asked.m_Body.size()) +
               " bytes of " + Asked.header("Attempt-Id"));
      return;
    }
    if (Asked.target() == "/health") {
      if (!With.send("HTTP/1.1 200 OK\r\nInstance-Id: " + m_Id +
                     "\r\nServer-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n"))
        return;
      continue;
    }
    if (Asked.header("Target-Instance") != m_Id) {
      With.send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + m_Id +
                "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    Run Started{Asked, With, true};
    m_Handler(*this, Started);
    if (!Started.m_KeepOpen)
      return;
  }
}

void Upstream::answer(const Run &To, const std::string &Body,
                      const std::string &MoreHeaders) const {
  To.m_With.send(
      "HTTP/1.1 200 OK\r\nAttempt-Id: " + To.m_Request.header("Attempt-Id") +
      "\r\nResponse-Signature: " + m_Id + ".1\r\nServer-Load: " + "0,0,8\r\n" +
      MoreHeaders + "Content-Length: " + std::to_string(Body.size()) +
      "\r\n\r\n" + Body);
}

Vm::Vm(VmSettings Given, std::string Folder)
    : m_Settings(std::move(Given)), m_Folder(std::move(Folder)) {}

Vm::~Vm() {
  if (m_Pid <= 0)
    return;
  ::kill(m_Pid, SIGCONT);
  ::kill(m_Pid, SIGKILL);
  ::waitpid(m_Pid, nullptr, 0);
}

std::string Vm::logPath() const {
  return m_Folder + "/" + m_Settings.m_Name + ".log";
}

void Vm::start() {
  const std::string &Host = m_Settings.m_Host;
  std::string Path = m_Folder + "/" + m_Settings.m_Name + ".flags";
  auto At = [&Host](uint16_t Port) {
    return Host + ":" + std::to_string(Port);
  };
  std::ofstream(Path)
      << "--name=" << m_Settings.m_Name << "\n--host=" << Host
      << "\n--data_centre=" << m_Settings.m_Zone
      << "\n--callers_address=" << At(FrontPort)
      << "\n--readiness_address=" << At(ReadyPort)
      << "\n--directory_address=" << At(DirectoryPort)
      << "\n--fleet_port=" << FleetPort << "\n--internal_port=" << InternalPort
      << "\n--seeds=" << m_Settings.m_Seeds
      << "\n--core_share=0.2\n--core_speed=1\n--memory_mb=260"
      << "\n--store_address=" << m_Settings.m_StoreHost << ":" << StorePort
      << "\n--first_start="
      << (m_Settings.m_FirstStart && m_Starts == 0 ? "true" : "false")
      << "\n--stop_grace_s=" << m_Settings.m_GraceS
      << "\n--configuration_bound_s=2\n--directory_age_max_s=5"
      << "\n--repeat_ratio=0.2\n--repeat_window_s=10\n--repeat_slack=56"
      << "\n--health_checks_per_s_max=60\n";
  ++m_Starts;
  std::string Log = logPath();
  std::string Setting = "HYSSOPCROSS_CONFIG=" + Path;
  m_Pid = ::fork();
  if (m_Pid != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  char Program[] = "target/bin/hyssopcross-entry";
  char *Arguments[] = {Program, nullptr};
  char *Environment[] = {Setting.data(), nullptr};
  ::execve(Program, Arguments, Environment);
  ::_exit(127);
}

void Vm::signal(int Number) const { ::kill(m_Pid, Number); }

bool Vm::isRunning() {
  if (m_Pid <= 0)
    return false;
  if (::waitpid(m_Pid, nullptr, WNOHANG) != m_Pid)
    return true;
  m_Pid = -1;
  return false;
}

bool Vm::waitForEnd(int64_t TimeoutMs) {
  int64_t Until = nowMs() + TimeoutMs;
  while (isRunning() && nowMs() < Until)
    sleepMs(10);
  return !isRunning();
}

bool Vm::waitForReadiness(int64_t TimeoutMs) const {
  int64_t Until = nowMs() + TimeoutMs;
  while (nowMs() < Until) {
    Connection To(host(), ReadyPort);
    if (To.isOpen() &&
        To.send("GET /api/readiness HTTP/1.1\r\nHost: " + host() +
                "\r\n\r\n") &&
        To.read(500, true).status() == 200)
      return true;
    sleepMs(50);
  }
  return false;
}

int64_t Vm::ownMb() const {
  std::ifstream Status("/proc/" + std::to_string(m_Pid) + "/status");
  std::string Line;
  while (std::getline(Status, Line))
    if (Line.compare(0, 8, "RssAnon:") == 0)
      return std::atoll(&Line[8]) / 1024;
  return 0;
}

std::string freeNetwork() {
  std::mt19937 Random(std::random_device{}());
  for (int Try = 0; Try < 50; ++Try) {
    std::string Network = "127." + std::to_string(20 + Random() % 200) + "." +
                          std::to_string(1 + Random() % 250) + ".";
    int Probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in At = addressOf(Network + "1", FrontPort);
    bool IsFree =
        ::bind(Probe, reinterpret_cast<sockaddr *>(&At), sizeof(At)) == 0;
    ::close(Probe);
    if (IsFree)
      return Network;
  }
  record("no loopback network is free");
  std::_Exit(2);
}

Deployment::Deployment(int Vms) : m_Network(freeNetwork()), m_Count(Vms) {
  char Name[] = "/tmp/hyssopcross-review-XXXXXX";
  m_Folder = ::mkdtemp(Name) ? Name : "/tmp";
  m_Store = std::make_unique<Store>(m_Network + "200", StorePort);
  for (int I = 0; I < Vms; ++I)
    m_Vms.push_back(std::make_unique<Vm>(settingsOf(I), m_Folder));
}

VmSettings Deployment::settingsOf(int Index) const {
  const char *Zones[] = {"aqp-a", "aqp-b", "aqp-c"};
  VmSettings Made;
  Made.m_Name = "entry-" + std::to_string(Index + 1);
  Made.m_Zone = Zones[Index % 3];
  Made.m_Host = m_Network + std::to_string(Index + 1);
  Made.m_StoreHost = m_Network + "200";
  for (int I = 0; I < std::min(3, m_Count); ++I)
    Made.m_Seeds += (I > 0 ? "," : "") + m_Network + std::to_string(I + 1) +
                    ":" + std::to_string(DirectoryPort);
  return Made;
}

std::string Deployment::upstreamHost(int Index) const {
  return m_Network + std::to_string(100 + Index);
}

void Deployment::start() {
  for (auto &Each : m_Vms)
    Each->start();
  for (auto &Each : m_Vms)
    if (!Each->waitForReadiness(10000)) {
      record("not ready: " + Each->host());
      finish(2);
    }
}

void Deployment::finish(int Status) {
  m_Vms.clear();
  std::error_code Ignored;
  if (!std::getenv("KEEP_LOGS"))
    std::filesystem::remove_all(m_Folder, Ignored);
  std::_Exit(Status);
}

std::string newId() {
  static std::mutex Guard;
  static std::mt19937_64 Random(std::random_device{}());
  std::lock_guard<std::mutex> Held(Guard);
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Random()));
  return Text;
}

bool hasTrouble() {
  const char *Given = std::getenv("TROUBLE");
  return !Given || std::string_view(Given) != "0";
}

std::string configurationText(uint32_t Version,
                              const std::vector<RouteText> &Routes,
                              const std::string &More) {
  char Number[16];
  std::snprintf(Number, sizeof(Number), "%08x", Version);
  Json Made = {{"Version", Number},
               {"Limits",
                {{"MaxHeaderBytes", 16384},
                 {"MaxBodyBytes", 67108864},
                 {"HeaderTimeoutS", 3},
                 {"IdleTimeoutS", 15}}}};
  for (const RouteText &Each : Routes) {
    Made["Routes"][Each.m_Name] = {
        {"Host", Each.m_Host},       {"Prefix", Each.m_Prefix},
        {"Kind", Each.m_Kind},       {"TimeoutS", Each.m_TimeoutS},
        {"TargetLatencyS", 0.25},    {"Priority", 1},
        {"Service", Each.m_Service}, {"Attempts", Each.m_Attempts}};
    Made["Services"][Each.m_Service] = {{"HealthCheckPath", "/health"},
                                        {"MaxConnections", 220},
                                        {"Protocol", "h1"},
                                        {"Tls", false},
                                        {"WarmupS", 3.0},
                                        {"WarmupPerS", 6.7}};
  }
  if (!More.empty())
    Made.update(Json::parse(More));
  return Made.dump();
}

} // namespace kit
