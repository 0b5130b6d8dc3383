/// Starts the built hyssopcross-entry on loopback addresses and sends it bytes
/// that no proper client sends. Checks only what does not depend on speed: the
/// process stays alive, its resident memory and open descriptors stay under a
/// bound, and an ordinary request is answered afterwards.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "FakePlatform.h"
#include "hyssopcross/faultsoak/VmProcess.h"
#include <boost/asio/buffer.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>

using namespace hyssopcross;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr const char *Host = "127.0.0.1";
constexpr uint16_t FirstPort = 18760;
const Address StoreAddress{Host, 18767};

/// Memory limit that the process is started with.
constexpr uint64_t MemoryMiB = 64;
/// Bound of the highest resident memory: the memory of the VM.
constexpr uint64_t MaxResidentKiB = MemoryMiB * 1024;
/// Bound of the descriptors that are open after a case: those of the process
/// itself and some for the connections of the case.
constexpr size_t MaxDescriptors = 64;
constexpr uint64_t MaxBodyBytes = 15ULL << 20;
/// Clients of a case, and the bytes that each one sends at most.
constexpr size_t Clients = 4;
constexpr size_t EndlessBytes = 48ULL << 20;
/// A test that does not progress ends after this time; no check depends on it.
constexpr Duration Patience = 20s;

/// A client that writes its bytes as they are and collects what arrives.
class RawClient {
public:
  RawClient(boost::asio::io_context &Loop, std::string Bytes,
            std::string Repeated = {}, size_t RepeatedBytes = 0)
      : m_Socket(Loop), m_Left(std::move(Bytes)),
        m_Repeated(std::move(Repeated)), m_RepeatedLeft(RepeatedBytes) {
    m_Socket.connect({boost::asio::ip::make_address_v4(Host), FirstPort});
    m_Socket.non_blocking(true);
  }

  /// Sends and receives what is possible now.
  void advance() {
    boost::system::error_code Failure;
    while (!Failure && !m_IsEnded) {
      if (m_Left.empty() && m_RepeatedLeft > 0) {
        m_Left = m_Repeated;
        m_RepeatedLeft -= std::min(m_RepeatedLeft, m_Repeated.size());
      }
      if (m_Left.empty())
        break;
      size_t Sent = m_Socket.write_some(boost::asio::buffer(m_Left), Failure);
      m_Left.erase(0, Sent);
    }
    if (Failure && Failure != boost::asio::error::would_block)
      m_Left.clear(), m_RepeatedLeft = 0;
    Failure = {};
    char Input[65536];
    while (size_t Bytes =
               m_Socket.read_some(boost::asio::buffer(Input), Failure))
      m_Received.append(Input, Bytes);
    if (Failure && Failure != boost::asio::error::would_block)
      m_IsEnded = true;
  }

  bool isDone() const {
    return m_IsEnded || (m_Left.empty() && m_RepeatedLeft == 0);
  }
  bool isEnded() const { return m_IsEnded; }
  const std::string &received() const { return m_Received; }

  /// Number of answers that have begun to arrive.
  size_t answerCount() const {
    size_t Count = 0;
    for (size_t At = 0;
         (At = m_Received.find("HTTP/1.1 ", At)) != std::string::npos; ++At)
      ++Count;
    return Count;
  }

private:
  tcp::socket m_Socket;
  std::string m_Left;
  std::string m_Repeated;
  size_t m_RepeatedLeft;
  std::string m_Received;
  bool m_IsEnded = false;
};

/// One VM as a process, with the stand-ins of its store and of two backend
/// servers.
class Deployment {
public:
  explicit Deployment(uint32_t MaxHeaderBytes = 16384,
                      Duration RouteTimeout = 2s)
      : m_Process(arguments(), logFile()) {
    nlohmann::json Configuration = test::configurationDocument(1);
    Configuration["Routes"]["plain"]["TimeoutS"] =
        std::chrono::duration<double>(RouteTimeout).count();
    Configuration["Limits"] = {{"MaxHeaderBytes", MaxHeaderBytes},
                               {"MaxBodyBytes", MaxBodyBytes},
                               {"HeaderTimeoutS", 3},
                               {"IdleTimeoutS", 15}};
    m_Store.open(StoreAddress);
    m_Store.put("op", "config", Configuration);
    for (test::FakeServer *Each : {&m_A, &m_B}) {
      m_Store.put("servers", Each->m_Id, test::serverDocument(*Each));
      Each->m_Handler = [this, Each](const auto &Asked) {
        m_Run.emplace_back(
            http::headerOf(Asked->m_Request.base(), "Attempt-Id"));
        if (m_HoldsUploads && Asked->m_Request.body().size() > 1024)
          return m_Held.push_back(Asked);
        Asked->answer(Each->signedResponse(Asked->m_Request, 200, "ok"));
      };
    }
    REQUIRE(m_Process.start());
    REQUIRE(waitUntil([this] { return isServed(); }));
  }

  bool waitUntil(const std::function<bool()> &Holds) {
    return test::runUntil(m_Loop, Holds, Patience);
  }

  /// Lets the clients send all they have, unless their connections end first.
  void play(std::vector<RawClient> &Group) {
    CHECK(waitUntil([&] {
      bool AllDone = true;
      for (RawClient &Each : Group) {
        Each.advance();
        AllDone = AllDone && Each.isDone();
      }
      return AllDone || hasEnded();
    }));
    // Time in which the process reads what is still in the kernel's buffers.
    test::runUntil(
        m_Loop, [this] { return hasEnded(); }, 500ms);
  }

  /// Waits until each client has its answers or its connection has ended.
  bool waitForAnswers(std::vector<RawClient> &Group, size_t Count) {
    return waitUntil([&] {
      bool All = true;
      for (RawClient &Each : Group) {
        Each.advance();
        All = All && Each.answerCount() >= Count;
      }
      return All || hasEnded();
    });
  }

  /// The checks that each case ends with.
  void checkIsSound() {
    REQUIRE_FALSE(hasEnded());
    CHECK(highestResidentKiB() < MaxResidentKiB);
    CHECK(descriptorCount() < MaxDescriptors);
    CHECK(waitUntil([this] { return hasEnded() || isServed(); }));
    CHECK_FALSE(hasEnded());
  }

  bool hasEnded() {
    m_HasEnded = m_HasEnded || m_Process.takeEnd().has_value();
    return m_HasEnded;
  }

  /// Sends an ordinary request and waits for its answer.
  bool isServed() {
    auto Asked = std::make_shared<http::Request>(boost::beast::http::verb::get,
                                                 "/p/x", 11);
    Asked->set("Host", "h.example");
    Asked->set("Attempt-Id", "ordinary-" + std::to_string(++m_LastId));
    Asked->set("Deadline-Ms", "3000");
    std::optional<http::ExchangeResult> Ended;
    auto Call = m_Client.send(
        {Host, FirstPort}, Asked, 1s, nullptr,
        [&Ended](http::ExchangeResult Result) { Ended = std::move(Result); });
    if (!test::runUntil(m_Loop, [&] { return Ended.has_value(); }))
      Call->cancel();
    return Ended && Ended->m_End == http::ExchangeEnd::Answered &&
           Ended->m_Answer.result_int() == 200;
  }

  /// Whether a request whose id contains a text has run.
  bool hasRun(std::string_view Text) const {
    return std::any_of(m_Run.begin(), m_Run.end(), [&](const std::string &Id) {
      return Id.find(Text) != std::string::npos;
    });
  }

  boost::asio::io_context m_Loop;
  /// Backend servers keep requests with a large body without an answer.
  bool m_HoldsUploads = false;

private:
  static std::vector<std::string> arguments() {
    auto At = [](int Offset) {
      return std::string(Host) + ":" + std::to_string(FirstPort + Offset);
    };
    return {ENTRY_PROGRAM,
            "--name=vm",
            std::string("--host=") + Host,
            "--data_centre=here",
            "--callers_address=" + At(0),
            "--readiness_address=" + At(1),
            "--directory_address=" + At(2),
            "--fleet_port=" + std::to_string(FirstPort + 3),
            "--internal_port=" + std::to_string(FirstPort + 4),
            "--store_address=" + StoreAddress.toString(),
            "--memory_mb=" + std::to_string(MemoryMiB),
            "--repeat_slack=1000"};
  }

  /// What the process writes, for a test that fails.
  static std::string logFile() {
    return (std::filesystem::temp_directory_path() /
            "hyssopcross-hostile-client.log")
        .string();
  }

  std::string processFolder() const {
    return "/proc/" + std::to_string(m_Process.id());
  }

  uint64_t highestResidentKiB() const {
    std::ifstream Status(processFolder() + "/status");
    for (std::string Line; std::getline(Status, Line);)
      if (Line.rfind("VmHWM:", 0) == 0)
        return std::stoull(Line.substr(6));
    return UINT64_MAX;
  }

  size_t descriptorCount() const {
    auto Files = std::filesystem::directory_iterator(processFolder() + "/fd");
    return static_cast<size_t>(std::distance(begin(Files), end(Files)));
  }

  SystemClock m_Clock;
  test::FakeStore m_Store{m_Loop, m_Clock};
  std::vector<std::shared_ptr<http::Exchange>> m_Held;
  std::vector<std::string> m_Run;
  test::FakeServer m_A{m_Loop, m_Clock, "a", {Host, 18768}};
  test::FakeServer m_B{m_Loop, m_Clock, "b", {Host, 18769}};
  http::Client m_Client{m_Loop, m_Clock, {}};
  faultsoak::VmProcess m_Process;
  bool m_HasEnded = false;
  uint32_t m_LastId = 0;
};

std::string head(const std::string &Method, const std::string &Id,
                 const std::string &Fields) {
  return Method + " /p/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + Id +
         "\r\nDeadline-Ms: 3000\r\n" + Fields + "\r\n";
}

const std::string Chunked = "Transfer-Encoding: chunked\r\n";

/// Sends the same from each client of the group: Bytes, and then Repeated until
/// the bound on the bytes of a client.
void playGroup(Deployment &On, const std::string &Bytes,
               const std::string &Repeated = {}) {
  std::vector<RawClient> Group;
  for (size_t I = 0; I < Clients; ++I)
    Group.emplace_back(On.m_Loop, Bytes, Repeated,
                       Repeated.empty() ? 0 : EndlessBytes);
  On.play(Group);
  On.checkIsSound();
}

std::string repeat(const std::string &Text, size_t Count) {
  std::string Made;
  for (size_t I = 0; I < Count; ++I)
    Made += Text;
  return Made;
}

} // namespace

TEST_CASE("process: endless trailers do not exhaust the memory") {
  Deployment On;
  playGroup(On, head("POST", "t", Chunked) + "1\r\na\r\n0\r\n",
            repeat("X-Trailer: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 400));
}

TEST_CASE("process: an endless chunk extension does not exhaust the memory") {
  Deployment On;
  playGroup(On, head("POST", "e", Chunked) + "1;x=", std::string(16384, 'a'));
}

TEST_CASE("process: a trailer field of 66,000 bytes does not end it") {
  Deployment On;
  playGroup(On, head("POST", "f", Chunked) + "1\r\na\r\n0\r\nX: " +
                    std::string(66000, 'a') + "\r\n\r\n");
}

TEST_CASE("process: a header field of 70,000 bytes does not end it") {
  Deployment On(131072);
  playGroup(On, head("GET", "h", "X: " + std::string(70000, 'a') + "\r\n"));
}

TEST_CASE("process: TRACE with a body does not end it") {
  Deployment On;
  playGroup(On, head("TRACE", "trace", "Content-Length: 3\r\n") + "abc");
}

TEST_CASE("process: several large uploads do not exhaust the memory") {
  constexpr size_t Uploads = 6;
  Deployment On;
  On.m_HoldsUploads = true;
  for (bool IsChunked : {false, true}) {
    std::vector<RawClient> Group;
    // One after the other, so that each is read whole if it is not refused.
    for (size_t I = 0; I < Uploads; ++I) {
      std::string Body(MaxBodyBytes, 'a');
      char Size[32];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Body.size());
      std::string Bytes =
          IsChunked ? head("POST", "u", Chunked) + Size + Body + "\r\n0\r\n\r\n"
                    : head("POST", "u",
                           "Content-Length: " + std::to_string(Body.size()) +
                               "\r\n") +
                          Body;
      Group.emplace_back(On.m_Loop, std::move(Bytes));
      On.play(Group);
    }
    On.checkIsSound();
  }
}

// Guards against a bound on memory that also refuses what the limits allow.
TEST_CASE("process: one upload of the largest size is served") {
  // Nothing here depends on how long the upload takes.
  Deployment On(16384, Patience);
  const std::string Start = "POST /p/x HTTP/1.1\r\nHost: h.example\r\n"
                            "Attempt-Id: large\r\nDeadline-Ms: 20000\r\n";
  std::string Body(MaxBodyBytes, 'a');
  char Size[32];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Body.size());
  for (bool IsChunked : {false, true}) {
    CAPTURE(IsChunked);
    std::string Length =
        "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    std::string Bytes = Start + (IsChunked ? Chunked : Length) + "\r\n";
    Bytes += IsChunked ? Size + Body + "\r\n0\r\n\r\n" : Body;
    std::vector<RawClient> Group;
    Group.emplace_back(On.m_Loop, std::move(Bytes));
    CHECK(On.waitForAnswers(Group, 1));
    CHECK(Group.front().received().rfind("HTTP/1.1 200 ", 0) == 0);
  }
  On.checkIsSound();
}

TEST_CASE("process: each of 48 pipelined requests gets an answer") {
  constexpr size_t Pipelined = 48;
  Deployment On;
  std::string Bytes;
  for (size_t I = 0; I < Pipelined; ++I)
    Bytes += head("GET", "p" + std::to_string(I), "");
  std::vector<RawClient> Group;
  for (size_t I = 0; I < Clients; ++I)
    Group.emplace_back(On.m_Loop, Bytes);
  CHECK(On.waitForAnswers(Group, Pipelined));
  for (const RawClient &Each : Group)
    CHECK(Each.answerCount() == Pipelined);
  On.checkIsSound();
}

TEST_CASE("process: nothing inside an upload runs as a request") {
  Deployment On;
  for (const std::string Coding :
       {"gzip", "chunked, identity", "identity", "chunked;q=1", "xchunked",
        "Chunked, gzip"}) {
    CAPTURE(Coding);
    std::vector<RawClient> Group;
    for (size_t I = 0; I < Clients; ++I)
      Group.emplace_back(On.m_Loop, head("POST", "upload",
                                         "Transfer-Encoding: " +
                                             std::string(Coding) + "\r\n") +
                                        head("GET", "smuggled", ""));
    CHECK(On.waitForAnswers(Group, 1));
    On.play(Group);
    for (const RawClient &Each : Group)
      CHECK(Each.answerCount() == 1);
    CHECK_FALSE(On.hasRun("smuggled"));
  }
  On.checkIsSound();
}
