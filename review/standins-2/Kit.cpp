#include "Kit.h"
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const auto Start = std::chrono::steady_clock::now();

sockaddr_in toAddress(const std::string &Host, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Host.c_str(), &Address.sin_addr);
  return Address;
}

std::string toLower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Each) { return std::tolower(Each); });
  return Text;
}

std::string trimmed(const std::string &Text) {
  size_t First = Text.find_first_not_of(" \t");
  size_t Last = Text.find_last_not_of(" \t");
  return First == std::string::npos ? std::string()
                                    : Text.substr(First, Last - First + 1);
}

std::string encode64(std::string_view Bytes) {
  static constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (size_t I = 0; I < Bytes.size(); I += 3) {
    uint32_t Group = 0;
    size_t Count = std::min<size_t>(3, Bytes.size() - I);
    for (size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (J < Count ? static_cast<unsigned char>(Bytes[I + J]) : 0U);
    for (size_t J = 0; J < 4; ++J)
      Text += J <= Count ? Digits[Group >> (18 - 6 * J) & 63] : '=';
  }
  return Text;
}

std::string percentDecoded(const std::string &Text) {
  std::string Decoded;
  for (size_t I = 0; I < Text.size(); ++I)
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Decoded +=
          static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      Decoded += Text[I];
    }
  return Decoded;
}

} // namespace

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

bool hasTrouble() {
  const char *Given = std::getenv("TROUBLE");
  return !Given || std::string_view(Given) != "0";
}

Record::Record(const std::string &Path)
    : m_File(std::fopen(Path.c_str(), "w"), std::fclose) {}

void Record::line(const std::string &Text) {
  std::lock_guard Lock(m_Mutex);
  if (!m_File)
    return;
  std::fprintf(m_File.get(), "%9.3f %s\n", now(), Text.c_str());
  std::fflush(m_File.get());
}

std::string Message::field(const std::string &Name) const {
  auto Found = m_Fields.find(Name);
  return Found == m_Fields.end() ? std::string() : Found->second;
}

int Message::status() const {
  return m_StartLine.size() > 12 ? std::atoi(m_StartLine.c_str() + 9) : 0;
}

std::string Message::method() const {
  return m_StartLine.substr(0, m_StartLine.find(' '));
}

std::string Message::target() const {
  size_t First = m_StartLine.find(' ');
  size_t Last = m_StartLine.rfind(' ');
  return First == Last ? std::string()
                       : m_StartLine.substr(First + 1, Last - First - 1);
}

std::string Message::path() const {
  std::string Target = target();
  return Target.substr(0, Target.find('?'));
}

std::string Message::parameter(const std::string &Name) const {
  std::string Target = target();
  size_t At = Target.find('?');
  std::istringstream Query(At == std::string::npos ? std::string()
                                                   : Target.substr(At + 1));
  for (std::string Pair; std::getline(Query, Pair, '&');)
    if (Pair.substr(0, Pair.find('=')) == Name)
      return percentDecoded(Pair.substr(Pair.find('=') + 1));
  return {};
}

Connection::~Connection() { close(); }

std::shared_ptr<Connection> Connection::open(const std::string &Host, int Port,
                                             int ReceiveBytes) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return nullptr;
  if (ReceiveBytes > 0)
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                 sizeof(ReceiveBytes));
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  timeval Limit{1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  auto Made = std::make_shared<Connection>(Socket);
  sockaddr_in At = toAddress(Host, Port);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0)
    return nullptr;
  Limit.tv_sec = 10;
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  return Made;
}

bool Connection::send(std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Sent = ::send(m_Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<size_t>(Sent));
  }
  return true;
}

bool Connection::readSome(double Until) {
  if (m_Ended)
    return false;
  pollfd Waiting{m_Socket, POLLIN, 0};
  double Left = Until - now();
  if (Left <= 0 || ::poll(&Waiting, 1, static_cast<int>(Left * 1000) + 1) <= 0)
    return false;
  char Part[65536];
  ssize_t Got = ::recv(m_Socket, Part, sizeof(Part), 0);
  if (Got <= 0) {
    m_Ended = true;
    return false;
  }
  m_Buffer.append(Part, static_cast<size_t>(Got));
  return true;
}

std::optional<Message> Connection::read(double TimeoutS, bool IsResponse) {
  double Until = now() + TimeoutS;
  size_t End;
  while ((End = m_Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!readSome(Until))
      return std::nullopt;
  Message Made;
  std::istringstream Head(m_Buffer.substr(0, End + 2));
  m_Buffer.erase(0, End + 4);
  std::getline(Head, Made.m_StartLine);
  if (!Made.m_StartLine.empty())
    Made.m_StartLine.pop_back();
  for (std::string Line; std::getline(Head, Line);) {
    size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    Made.m_Fields.emplace(toLower(Line.substr(0, Colon)),
                          trimmed(Line.substr(Colon + 1)));
  }
  std::string Length = Made.field("content-length");
  bool IsChunked = toLower(Made.field("transfer-encoding")) == "chunked";
  if (IsChunked) {
    while (true) {
      size_t Line;
      while ((Line = m_Buffer.find("\r\n")) == std::string::npos)
        if (!readSome(Until))
          return std::nullopt;
      size_t Bytes = std::stoul(m_Buffer.substr(0, Line), nullptr, 16);
      while (m_Buffer.size() < Line + 4 + Bytes)
        if (!readSome(Until))
          return std::nullopt;
      Made.m_Body += m_Buffer.substr(Line + 2, Bytes);
      m_Buffer.erase(0, Line + 4 + Bytes);
      if (Bytes == 0)
        return Made;
    }
  }
  if (!Length.empty()) {
    size_t Bytes = std::stoul(Length);
    while (m_Buffer.size() < Bytes)
      if (!readSome(Until))
        return std::nullopt;
    Made.m_Body = m_Buffer.substr(0, Bytes);
    m_Buffer.erase(0, Bytes);
    return Made;
  }
  if (!IsResponse || Made.status() == 204 || Made.status() == 304)
    return Made;
  while (readSome(Until)) {
  }
  if (!m_Ended)
    return std::nullopt;
  Made.m_Body = std::exchange(m_Buffer, {});
  return Made;
}

bool Connection::isEnded() {
  if (m_Ended)
    return true;
  char Byte = 0;
  ssize_t Got = ::recv(m_Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got == 0 || (Got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::shutdown() { ::shutdown(m_Socket, SHUT_RDWR); }

void Connection::close() {
  if (m_Socket >= 0)
    ::close(std::exchange(m_Socket, -1));
  m_Ended = true;
}

Listener::Listener(const std::string &Host, Handler Handle) {
  m_Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in At = toAddress(Host, 0);
  socklen_t Size = sizeof(At);
  if (::bind(m_Socket, reinterpret_cast<sockaddr *>(&At), Size) != 0 ||
      ::listen(m_Socket, 1024) != 0) {
    std::perror("listen");
    std::exit(CouldNotRun);
  }
  ::getsockname(m_Socket, reinterpret_cast<sockaddr *>(&At), &Size);
  m_Port = ntohs(At.sin_port);
  m_Thread = std::thread([this, Handle = std::move(Handle)] {
    while (!m_Ended) {
      pollfd Waiting{m_Socket, POLLIN, 0};
      if (::poll(&Waiting, 1, 100) > 0)
        accept(Handle);
    }
  });
}

void Listener::accept(const Handler &Handle) {
  int Socket = ::accept4(m_Socket, nullptr, nullptr, SOCK_CLOEXEC);
  if (Socket < 0)
    return;
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  timeval Limit{10, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  auto From = std::make_shared<Connection>(Socket);
  m_Sessions.push_back({From, std::thread([Handle, From] {
                          Handle(From);
                          From->shutdown();
                        })});
}

Listener::~Listener() {
  m_Ended = true;
  m_Thread.join();
  ::close(m_Socket);
  for (Session &Each : m_Sessions)
    Each.m_From->shutdown();
  for (Session &Each : m_Sessions)
    Each.m_Thread.join();
}

std::string response(int Status, const std::string &Fields,
                     std::string_view Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Fields +
                     "Content-Length: " + std::to_string(Body.size()) +
                     "\r\n\r\n";
  Text += Body;
  return Text;
}

Store::Store(Record &Log)
    : m_Record(Log),
      m_Listener("127.0.0.1", [this](const auto &From) { serve(From); }) {}

Store::~Store() {
  std::lock_guard Lock(m_Mutex);
  m_Ended = true;
  m_Changed.notify_all();
}

void Store::put(const std::string &Table, const std::string &Key,
                const std::string &Value) {
  std::lock_guard Lock(m_Mutex);
  m_Rows[{Table, Key}] = {Value, ++m_Version, false};
  m_Changed.notify_all();
}

void Store::remove(const std::string &Table, const std::string &Key) {
  std::lock_guard Lock(m_Mutex);
  m_Rows[{Table, Key}] = {"", ++m_Version, true};
  m_Changed.notify_all();
}

Json Store::rows(const std::string &Table, const std::string &From,
                 uint64_t After, bool WithRemoved) const {
  Json Rows = Json::array();
  for (const auto &[Name, Each] : m_Rows) {
    if (Name.first != Table || Name.second < From || Each.m_Version <= After ||
        (Each.m_Removed && !WithRemoved))
      continue;
    Json Row = {{"Table", Table},
                {"part", ""},
                {"Key", Name.second},
                {"Ver", Each.m_Version}};
    if (Each.m_Removed)
      Row["Tombstone"] = true;
    else
      Row["Value"] = encode64(Each.m_Value);
    Rows.push_back(Row);
  }
  std::sort(Rows.begin(), Rows.end(), [&](const Json &A, const Json &B) {
    return WithRemoved ? A["Ver"] < B["Ver"] : A["Key"] < B["Key"];
  });
  return Rows;
}

std::string Store::answer(const Message &Asked) {
  std::unique_lock Lock(m_Mutex);
  const std::string Fields =
      "Store-Era: 1\r\nContent-Type: application/json\r\n";
  std::string Table = Asked.parameter("Table");
  Json Made;
  if (Asked.path() == "/api/rows-get") {
    Made = {{"Rows", rows(Table, Asked.parameter("From"), 0, false)},
            {"HasMore", false}};
  } else if (Asked.path() == "/api/rows-feed") {
    uint64_t After = std::stoull(Asked.parameter("after"));
    Millis Wait(std::stoll(Asked.parameter("WaitMs")));
    m_Changed.wait_for(Lock, Wait, [&] {
      return m_Ended || !rows(Table, "", After, true).empty();
    });
    Made = {{"Rows", rows(Table, "", After, true)}};
  } else if (Asked.path() == "/api/rows-tx") {
    Json Body = Json::parse(Asked.m_Body, nullptr, false);
    ++m_Version;
    for (const Json &Each : Body["Writes"])
      m_Rows[{Each["Table"].get<std::string>(),
              Each["Key"].get<std::string>()}] = {"", m_Version, false};
    m_Changed.notify_all();
  } else {
    return response(404, Fields, "");
  }
  Made["Ver"] = m_Version;
  Made["NowS"] = now();
  return response(200, Fields, Made.dump());
}

void Store::serve(const std::shared_ptr<Connection> &From) {
  while (auto Asked = From->read(60, false))
    if (!From->send(answer(*Asked)))
      return;
}

Server::Server(Options Given, Store &Platform, Record &Log)
    : m_Options(std::move(Given)), m_Store(Platform), m_Record(Log),
      m_Born(std::chrono::duration_cast<Millis>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
      m_Listener("127.0.0.1", [this](const auto &From) { serve(From); }) {
  m_Beats = std::thread([this] { beat(); });
}

Server::~Server() {
  m_Ended = true;
  m_Beats.join();
}

std::string Server::address() const {
  return "127.0.0.1:" + std::to_string(m_Listener.port());
}

std::vector<Server::Run> Server::runs() {
  std::lock_guard Lock(m_Mutex);
  return m_Runs;
}

Json Server::entry() {
  return {{"Address", address()},
          {"Information",
           {{"Service", m_Options.m_Service},
            {"Version", "v1"},
            {"Zone", m_Options.m_DataCentre},
            {"Slots", m_Options.m_Slots}}},
          {"Status",
           {{"State", "ready"},
            {"Sequence", m_Sequence.load()},
            {"WarmupRemainingS", 0}}},
          {"born", m_Born}};
}

void Server::beat() {
  while (!m_Ended) {
    ++m_Sequence;
    m_Store.put("servers", m_Options.m_Id, entry().dump());
    for (double Until = now() + m_Options.m_HeartbeatS;
         now() < Until && !m_Ended;)
      sleepFor(0.05);
  }
}

std::string Server::answer(const Message &Asked) {
  std::string Load = "Server-Load: " + std::to_string(m_Running.load()) + "," +
                     std::to_string(m_Waiting.load()) + "," +
                     std::to_string(m_Options.m_Slots) + ",100\r\n";
  if (Asked.path() == "/health")
    return response(200, "Instance-Id: " + m_Options.m_Id + "\r\n" + Load, "");
  std::string Id = Asked.field("attempt-id");
  std::string Echo = "Attempt-Id: " + Id + "\r\n";
  if (Asked.field("target-instance") != m_Options.m_Id)
    return response(421, Echo + "Instance-Id: " + m_Options.m_Id + "\r\n", "");
  {
    std::unique_lock Lock(m_Mutex);
    if (m_Running >= m_Options.m_Slots && m_Waiting >= m_Options.m_Queue)
      return response(503, Echo + "Not-Executed: 1\r\n" + Load, "");
    ++m_Waiting;
    m_Freed.wait(Lock, [&] { return m_Running < m_Options.m_Slots; });
    --m_Waiting;
    ++m_Running;
    m_Runs.push_back({now(), Id, Asked.target()});
  }
  m_Record.line("run server=" + m_Options.m_Id +
                " service=" + m_Options.m_Service + " id=" + Id +
                " target=" + Asked.target() +
                " body=" + std::to_string(Asked.m_Body.size()));
  double Mib = static_cast<double>(Asked.m_Body.size()) / (1 << 20);
  sleepFor(m_Options.m_WorkS + m_Options.m_WorkPerMibS * Mib);
  {
    std::lock_guard Lock(m_Mutex);
    --m_Running;
  }
  m_Freed.notify_one();
  std::string Body(m_Options.m_AnswerBytes, 'x');
  return response(200,
                  Echo + "Response-Signature: by-" + m_Options.m_Id +
                      "\r\nKeep-Alive: timeout=10\r\n" + Load,
                  Body);
}

void Server::serve(const std::shared_ptr<Connection> &From) {
  while (auto Asked = From->read(10, false))
    if (!From->send(answer(*Asked)))
      return;
}

EntryVm::EntryVm(Options Given, int StorePort, const std::string &Folder,
                 Record &Log)
    : m_Options(std::move(Given)), m_Record(Log) {
  const std::string &Host = m_Options.m_Host;
  m_Callers = freePort(Host);
  m_Readiness = freePort(Host);
  m_Directory = freePort(Host);
  if (m_Options.m_FleetPort == 0)
    m_Options.m_FleetPort = freePort(Host);
  if (m_Options.m_InternalPort == 0)
    m_Options.m_InternalPort = freePort(Host);
  std::string File = Folder + "/" + m_Options.m_Name + ".flags";
  std::string Seeds;
  for (const std::string &Each : m_Options.m_Seeds)
    Seeds += (Seeds.empty() ? "" : ",") + Each + ":8649";
  auto At = [&](int Port) { return Host + ":" + std::to_string(Port) + "\n"; };
  // The lines of deploy/settings.flags with the values of a small deployment.
  std::ofstream(File)
      << "--name=" << m_Options.m_Name << "\n--host=" << Host
      << "\n--data_centre=" << m_Options.m_DataCentre
      << "\n--callers_address=" << At(m_Callers)
      << "--readiness_address=" << At(m_Readiness)
      << "--directory_address=" << At(m_Directory)
      << "--fleet_port=" << m_Options.m_FleetPort
      << "\n--internal_port=" << m_Options.m_InternalPort
      << "\n--seeds=" << Seeds << "\n--core_share=0.2\n--core_speed=1"
      << "\n--memory_mb=" << m_Options.m_MemoryMb
      << "\n--store_address=127.0.0.1:" << StorePort
      << "\n--first_start=true\n--stop_grace_s=6\n--configuration_bound_s=2"
      << "\n--directory_age_max_s=5\n--repeat_ratio=0.2\n--repeat_window_s=10"
      << "\n--repeat_slack=56\n--health_checks_per_s_max=60\n";
  std::string LogFile = Folder + "/" + m_Options.m_Name + ".log";
  if (const char *Kept = std::getenv("KEEP_LOGS"))
    LogFile = std::string(Kept) + "/" + m_Options.m_Name + ".log";
  std::string Setting = "HYSSOPCROSS_CONFIG=" + File;
  const char *Folders = std::getenv("PATH");
  std::string Path = std::string("PATH=") + (Folders ? Folders : "/usr/bin");
  m_Process = ::fork();
  if (m_Process == 0) {
    // However the script ends, the process ends with it.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    rlimit Limit{static_cast<rlim_t>(m_Options.m_Descriptors),
                 static_cast<rlim_t>(m_Options.m_Descriptors)};
    ::setrlimit(RLIMIT_NOFILE, &Limit);
    int Output = ::open(LogFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(Output, 1);
    ::dup2(Output, 2);
    char Program[] = "target/bin/hyssopcross-entry";
    char *Words[] = {Program, nullptr};
    char *Environment[] = {Setting.data(), Path.data(), nullptr};
    ::execve(Program, Words, Environment);
    ::_exit(CouldNotRun);
  }
  m_Record.line("start vm=" + m_Options.m_Name + " callers=" + Host + ":" +
                std::to_string(m_Callers));
  m_Sampler = std::thread([this] {
    for (int Turn = 0; !m_Ended; ++Turn) {
      double Held = heldMb();
      m_PeakMb = std::max<double>(m_PeakMb, Held);
      if (m_Options.m_IsKilledOverMemory && !m_WasKilled &&
          Held > m_Options.m_MemoryMb) {
        m_WasKilled = true;
        m_Record.line("the platform kills vm=" + m_Options.m_Name +
                      " held_mb=" + std::to_string(Held));
        signal(SIGKILL);
      }
      if (Turn % 20 == 0)
        m_Record.line("held_mb=" + std::to_string(Held));
      sleepFor(0.02);
    }
  });
}

EntryVm::~EntryVm() {
  m_Ended = true;
  m_Sampler.join();
  if (isAlive()) {
    signal(SIGKILL);
    awaitEnd(5);
  }
}

bool EntryVm::isReady() {
  auto To = Connection::open(host(), m_Readiness);
  if (!To || !To->send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n"))
    return false;
  auto Answer = To->read(1, true);
  return Answer && Answer->status() == 200;
}

bool EntryVm::awaitReady(double TimeoutS) {
  for (double Until = now() + TimeoutS; now() < Until; sleepFor(0.05))
    if (isReady())
      return true;
  return false;
}

void EntryVm::signal(int Number) {
  m_Record.line("signal vm=" + m_Options.m_Name +
                " number=" + std::to_string(Number));
  if (pid_t Process = m_Process; Process > 0)
    ::kill(Process, Number);
}

bool EntryVm::isAlive() {
  if (m_Process <= 0)
    return false;
  int Status = 0;
  if (::waitpid(m_Process, &Status, WNOHANG) != m_Process)
    return true;
  m_Process = -1;
  m_Record.line("end vm=" + m_Options.m_Name +
                " status=" + std::to_string(Status));
  return false;
}

bool EntryVm::awaitEnd(double TimeoutS) {
  for (double Until = now() + TimeoutS; now() < Until; sleepFor(0.02))
    if (!isAlive())
      return true;
  return false;
}

double EntryVm::heldMb() const {
  constexpr std::string_view Name = "RssAnon:";
  std::ifstream File("/proc/" + std::to_string(m_Process) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.rfind(Name, 0) == 0)
      return std::atof(Line.c_str() + Name.size()) / 1024;
  return 0;
}

int EntryVm::openDescriptors() const {
  std::error_code Ignored;
  int Count = 0;
  for (const auto &Each : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(m_Process) + "/fd", Ignored)) {
    static_cast<void>(Each);
    ++Count;
  }
  return Count;
}

int freePort(const std::string &Host) {
  // Below the ports that the kernel gives to outgoing connections.
  constexpr int First = 20000;
  constexpr int Count = 12000;
  constexpr int Stride = 64;
  static std::atomic<int> Next = ::getpid() * Stride;
  for (int Tries = 0; Tries < Count; ++Tries) {
    int Port = First + Next++ % Count;
    sockaddr_in At = toAddress(Host, Port);
    bool IsFree = true;
    for (int Kind : {SOCK_STREAM, SOCK_DGRAM}) {
      int Socket = ::socket(AF_INET, Kind | SOCK_CLOEXEC, 0);
      IsFree = IsFree && ::bind(Socket, reinterpret_cast<sockaddr *>(&At),
                                sizeof(At)) == 0;
      ::close(Socket);
    }
    if (IsFree)
      return Port;
  }
  std::exit(CouldNotRun);
}

Folder::Folder() {
  char Name[] = "/tmp/hyssopcross-review-XXXXXX";
  if (!::mkdtemp(Name))
    std::exit(CouldNotRun);
  m_Path = Name;
}

Folder::~Folder() {
  std::error_code Ignored;
  std::filesystem::remove_all(m_Path, Ignored);
}

Json route(const std::string &Host, const std::string &Prefix,
           const std::string &Kind, const std::string &Service, double TimeoutS,
           double TargetS) {
  return {{"Host", Host},
          {"Prefix", Prefix},
          {"Kind", Kind},
          {"TimeoutS", TimeoutS},
          {"TargetLatencyS", TargetS},
          {"Priority", 1},
          {"Service", Service},
          {"Attempts", 2}};
}

Json configuration(int Version, const Json &Routes,
                   const std::vector<std::string> &Services) {
  char Digits[9];
  std::snprintf(Digits, sizeof(Digits), "%08x", Version);
  Json Made = {{"Version", Digits},
               {"Routes", Routes},
               {"Services", Json::object()},
               {"Limits",
                {{"MaxHeaderBytes", 16384},
                 {"MaxBodyBytes", 67108864},
                 {"HeaderTimeoutS", 3},
                 {"IdleTimeoutS", 15}}}};
  for (const std::string &Each : Services)
    Made["Services"][Each] = {{"HealthCheckPath", "/health"},
                              {"MaxConnections", 220},
                              {"Protocol", "h1"},
                              {"Tls", false},
                              {"WarmupS", 3.0},
                              {"WarmupPerS", 6.7}};
  return Made;
}

std::string request(const std::string &Method, const std::string &Host,
                    const std::string &Target, const std::string &Id,
                    int DeadlineMs, std::string_view Body) {
  std::string Text = Method + " " + Target + " HTTP/1.1\r\nHost: " + Host +
                     "\r\nAttempt-Id: " + Id +
                     "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\n";
  if (Method != "GET")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Text += "\r\n";
  Text += Body;
  return Text;
}

int ask(const EntryVm &To, const std::string &Text, double TimeoutS) {
  auto Made = Connection::open(To.host(), To.callersPort());
  if (!Made || !Made->send(Text))
    return 0;
  auto Answer = Made->read(TimeoutS, true);
  return Answer ? Answer->status() : 0;
}

KeptCallers::KeptCallers(const EntryVm &To, const std::string &Host,
                         const std::string &Prefix, int Count, Record &Log) {
  m_Threads.reserve(Count);
  for (int I = 0; I < Count; ++I)
    m_Threads.emplace_back(
        [this, &To, Host, Prefix, I, &Log] { call(To, Host, Prefix, I, Log); });
}

KeptCallers::~KeptCallers() { end(); }

void KeptCallers::end() {
  m_Ended = true;
  for (std::thread &Each : std::exchange(m_Threads, {}))
    Each.join();
}

void KeptCallers::call(const EntryVm &To, const std::string &Host,
                       const std::string &Prefix, int Number, Record &Log) {
  constexpr int DeadlineMs = 2500;
  auto Kept = Connection::open(To.host(), To.callersPort());
  for (int Turn = 0; Kept && !m_Ended; ++Turn) {
    std::string Id =
        "kept-" + std::to_string(Number) + "-" + std::to_string(Turn);
    if (!Kept->send(request("GET", Host, Prefix + Id, Id, DeadlineMs)))
      return;
    auto Answer = Kept->read(DeadlineMs / 1000.0, true);
    Log.line("kept id=" + Id +
             (Answer ? " status=" + std::to_string(Answer->status())
                     : std::string(" connection ended without an answer")));
    if (Answer) {
      ++m_Answered;
      continue;
    }
    if (Turn > 0 && Kept->isEnded()) {
      std::lock_guard Lock(m_Mutex);
      m_Unanswered.push_back(Id);
    }
    return;
  }
}

std::vector<std::string> KeptCallers::unanswered() {
  std::lock_guard Lock(m_Mutex);
  return m_Unanswered;
}

int countRun(const std::vector<std::string> &Ids,
             const std::vector<std::unique_ptr<Server>> &Servers) {
  int Count = 0;
  for (const auto &Each : Servers)
    for (const Server::Run &Ran : Each->runs())
      Count +=
          static_cast<int>(std::count(Ids.begin(), Ids.end(), Ran.m_Request));
  return Count;
}

void finish(Record &Log, const std::string &Text, int Code) {
  Log.line(Text);
  std::puts(Text.c_str());
  std::fflush(stdout);
  // Threads of connections may still use what a regular exit would destroy.
  std::_Exit(Code);
}

} // namespace review
