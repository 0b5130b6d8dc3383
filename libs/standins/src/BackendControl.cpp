#include "hyssopcross/standins/BackendServer.h"

namespace hyssopcross::standins {

namespace {

constexpr int NoContent = 204;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr uint64_t DefaultMs = 1000;
constexpr uint64_t MaxMs = 600000;
constexpr uint64_t DefaultFactor = 5;
constexpr uint64_t MaxFactor = 1000;
constexpr uint64_t MaxCount = 1000000;

} // namespace

ServerAnswer BackendServer::serveControl(const ServerRequest &Request) {
  auto Ms = readNumber(Request, "ms", DefaultMs, MaxMs);
  auto Factor = readNumber(Request, "factor", DefaultFactor, MaxFactor);
  auto Count = readNumber(Request, "count", 1, MaxCount);
  for (const Result<uint64_t> *Read : {&Ms, &Factor, &Count})
    if (!*Read)
      return errorAnswer(BadRequest, Read->error());
  TimePoint Now = m_Clock.now();
  Duration Time = std::chrono::milliseconds(Ms.value());
  auto Answers = static_cast<uint32_t>(Count.value());
  std::string_view Path = Request.m_Path;
  if (Request.m_Method != "POST")
    Path = "";
  if (Path == "/control/drain") {
    m_DrainTime = Now;
    m_Slots.drain();
  } else if (Path == "/control/slow") {
    m_Faults.slowDown(static_cast<double>(Factor.value()), Now + Time);
  } else if (Path == "/control/cold") {
    m_Slots.makeCold(Now, Time);
  } else if (Path == "/control/fail") {
    m_Faults.failFast(Now + Time);
  } else if (Path == "/control/cut") {
    m_Faults.cutAnswers(Answers);
  } else if (Path == "/control/cross") {
    m_Faults.crossAnswers(Answers);
  } else if (Path == "/control/late") {
    m_Faults.delayAnswers(Answers, Time);
  } else {
    return errorAnswer(NotFound, {ErrorCode::NotFound,
                                  std::string(Request.m_Method) + " " +
                                      Request.m_Path + " does not exist"});
  }
  ServerAnswer Answer;
  Answer.m_Status = NoContent;
  return Answer;
}

} // namespace hyssopcross::standins
