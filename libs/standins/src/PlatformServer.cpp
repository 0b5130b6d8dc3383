#include "hyssopcross/standins/PlatformServer.h"
#include "hyssopcross/store/Wire.h"
#include <nlohmann/json.hpp>
#include <thread>

namespace hyssopcross::standins {

using namespace store;

namespace {

constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int NoContent = 204;
constexpr int ServiceUnavailable = 503;
constexpr uint64_t MaxListed = 10000;
constexpr uint64_t MaxDelayMs = 600000;
constexpr uint64_t MaxLostAnswers = 1000000;

/// The answer for a failed operation. An answer that was lost breaks the
/// connection.
ServerAnswer failureAnswer(const Error &Failure) {
  ServerAnswer Answer;
  switch (Failure.m_Code) {
  case ErrorCode::Unknown:
    Answer.m_Lost = true;
    return Answer;
  case ErrorCode::NotFound:
    return errorAnswer(NotFound, Failure);
  case ErrorCode::Unavailable:
    return errorAnswer(ServiceUnavailable, Failure);
  default:
    return errorAnswer(BadRequest, Failure);
  }
}

ServerAnswer unknownPath(const ServerRequest &Request) {
  return errorAnswer(
      NotFound, {ErrorCode::NotFound, std::string(Request.m_Method) + " " +
                                          Request.m_Path + " does not exist"});
}

ServerAnswer done() {
  ServerAnswer Answer;
  Answer.m_Status = NoContent;
  return Answer;
}

template <typename Value, typename Encoder>
ServerAnswer answerWith(const Result<Value> &Got, Encoder Encode) {
  if (!Got)
    return failureAnswer(Got.error());
  return jsonAnswer(200, Encode(Got.value()));
}

ServerAnswer answerDone(const Result<void> &Got) {
  return Got ? done() : failureAnswer(Got.error());
}

bool is(const ServerRequest &Request, std::string_view Method,
        std::string_view Path) {
  return Request.m_Method == Method && Request.m_Path == Path;
}

} // namespace

PlatformServer::PlatformServer(const PlatformServerOptions &Options,
                               const Clock &Clock)
    : m_Clock(Clock), m_Memory(Clock), m_Reads(Options.m_MaxReadsPerSecond),
      m_Writes(Options.m_MaxWritesPerSecond) {
  m_Memory.setListLag(Options.m_ListLag);
  m_Memory.setGate(
      [this](MemoryStore::Access Access) { return admit(Access); });
}

Result<std::unique_ptr<PlatformServer>>
PlatformServer::start(const PlatformServerOptions &Options,
                      const Clock &Clock) {
  std::unique_ptr<PlatformServer> Server(new PlatformServer(Options, Clock));
  auto Http = HttpServer::start(
      Options.m_Http, [Raw = Server.get()](const ServerRequest &Request) {
        return Raw->serve(Request);
      });
  if (!Http)
    return Http.as_failure();
  Server->m_Http = std::move(Http.value());
  return Server;
}

Result<void> PlatformServer::admit(MemoryStore::Access Access) {
  std::this_thread::sleep_for(std::chrono::milliseconds(m_LatencyMs));
  bool Write = Access == MemoryStore::Access::Write;
  RateLimit &Limit = Write ? m_Writes : m_Reads;
  if (Limit.take(m_Clock.now()))
    return boost::outcome_v2::success();
  ++m_Throttled;
  return fail(ErrorCode::Unavailable, Write ? "too many writes per second"
                                            : "too many reads per second");
}

ServerAnswer PlatformServer::serve(const ServerRequest &Request) {
  const std::string &Path = Request.m_Path;
  if (Path.starts_with("/table/"))
    return serveTable(Request);
  if (Path == "/objects")
    return serveObjects(Request);
  if (Path == "/object")
    return serveObject(Request);
  if (is(Request, "GET", "/vms"))
    return answerWith(m_Memory.fetch(), [](const std::vector<VmRecord> &Vms) {
      return encodeVms(Vms);
    });
  if (Path.starts_with("/control/"))
    return serveControl(Request);
  if (is(Request, "GET", "/counters"))
    return showCounters();
  return unknownPath(Request);
}

ServerAnswer PlatformServer::serveTable(const ServerRequest &Request) {
  if (is(Request, "GET", "/table/row")) {
    auto Got = m_Memory.read(Request.m_Query("key"));
    if (!Got)
      return failureAnswer(Got.error());
    if (!Got.value())
      return errorAnswer(NotFound, {ErrorCode::NotFound, "no such row"});
    return jsonAnswer(200, encodeRow(*Got.value()));
  }
  if (is(Request, "GET", "/table/rows")) {
    auto Limit = readNumber(Request, "limit", MaxListed, UINT64_MAX);
    if (!Limit)
      return errorAnswer(BadRequest, Limit.error());
    return answerWith(m_Memory.scan(Request.m_Query("prefix"),
                                    std::min(Limit.value(), MaxListed)),
                      encodeRows);
  }
  if (!is(Request, "POST", "/table/commit"))
    return unknownPath(Request);
  auto Writes = decodeWrites(Request.m_Body);
  if (!Writes)
    return errorAnswer(BadRequest, Writes.error());
  return answerWith(m_Memory.commit(Writes.value()), encodeCommitResult);
}

ServerAnswer PlatformServer::serveObjects(const ServerRequest &Request) {
  auto Limit = readNumber(Request, "limit", MaxListed, UINT64_MAX);
  if (!Limit)
    return errorAnswer(BadRequest, Limit.error());
  auto Keys = m_Memory.list(Request.m_Query("prefix"),
                            std::min(Limit.value(), MaxListed));
  return answerWith(Keys, [](const std::vector<std::string> &Listed) {
    return encodeKeys(Listed);
  });
}

ServerAnswer PlatformServer::serveObject(const ServerRequest &Request) {
  std::string_view Key = Request.m_Query("key");
  if (Key.empty())
    return errorAnswer(BadRequest,
                       {ErrorCode::InvalidInput, "parameter key is missing"});
  if (Request.m_Method == "PUT")
    return answerDone(m_Memory.put(Key, Request.m_Body));
  if (Request.m_Method == "DELETE")
    return answerDone(m_Memory.remove(Key));
  if (Request.m_Method != "GET")
    return unknownPath(Request);
  auto Got = m_Memory.get(Key);
  if (!Got)
    return failureAnswer(Got.error());
  ServerAnswer Answer;
  Answer.m_Headers["Content-Type"] = "application/octet-stream";
  Answer.m_Body = std::move(Got.value());
  return Answer;
}

ServerAnswer PlatformServer::serveControl(const ServerRequest &Request) {
  if (Request.m_Path == "/control/vms")
    return changeVms(Request);
  if (Request.m_Method != "POST")
    return unknownPath(Request);
  auto Down = readNumber(Request, "down", 0, 1);
  auto Ms = readNumber(Request, "ms", 0, MaxDelayMs);
  auto Count = readNumber(Request, "count", 0, MaxLostAnswers);
  for (const Result<uint64_t> *Read : {&Down, &Ms, &Count})
    if (!*Read)
      return errorAnswer(BadRequest, Read->error());
  if (Request.m_Path == "/control/outage")
    m_Memory.setDown(Down.value() == 1);
  else if (Request.m_Path == "/control/latency")
    m_LatencyMs = Ms.value();
  else if (Request.m_Path == "/control/list-lag")
    m_Memory.setListLag(std::chrono::milliseconds(Ms.value()));
  else if (Request.m_Path == "/control/lose-answers")
    m_Memory.loseAnswers(static_cast<uint32_t>(Count.value()));
  else
    return unknownPath(Request);
  return done();
}

ServerAnswer PlatformServer::changeVms(const ServerRequest &Request) {
  if (Request.m_Method == "DELETE") {
    m_Memory.removeVm(Request.m_Query("name"));
    return done();
  }
  if (Request.m_Method != "POST")
    return unknownPath(Request);
  auto Vm = decodeVm(Request.m_Body);
  if (!Vm)
    return errorAnswer(BadRequest, Vm.error());
  m_Memory.setVm(std::move(Vm.value()));
  return done();
}

ServerAnswer PlatformServer::showCounters() {
  PlatformCounters Counters = m_Memory.counters();
  nlohmann::json Json{{"reads", Counters.m_Reads},
                      {"writes", Counters.m_Writes},
                      {"rows_written", Counters.m_RowsWritten},
                      {"conflicts", Counters.m_Conflicts},
                      {"throttled", throttled()},
                      {"connections", m_Http->connectionsAccepted()}};
  return jsonAnswer(200, Json.dump());
}

} // namespace hyssopcross::standins
