#include "hyssopcross/entry/Call.h"
#include "hyssopcross/protocol/Headers.h"

namespace hyssopcross::entry {

namespace {

/// Set anew on each hop.
bool isAnswerHopHeader(std::string_view Name) {
  auto Is = [Name](const char *Other) {
    return boost::beast::iequals(http::toBoost(Name), Other);
  };
  return isHopHeader(Name) || Is(protocol::CorrelationHeader) ||
         Is(protocol::OutcomeHeader);
}

} // namespace

HeaderList hopHeaders(const IncomingCall &Call, uint32_t Attempts,
                      std::string_view TraceParent) {
  auto Micros = std::chrono::duration_cast<std::chrono::microseconds>(
      Call.m_Deadline.time_since_epoch());
  HeaderList Headers = Call.m_Headers;
  Headers.emplace_back(protocol::DeadlineHeader,
                       std::to_string(Micros.count()));
  Headers.emplace_back(protocol::DepthHeader, std::to_string(Call.m_Depth));
  Headers.emplace_back(protocol::AttemptsHeader, std::to_string(Attempts));
  if (!TraceParent.empty())
    Headers.emplace_back(protocol::TraceParentHeader, TraceParent);
  return Headers;
}

std::shared_ptr<const http::Request>
forwardedRequest(const IncomingCall &Call, const balancing::PoolId &Pool,
                 uint32_t Hops, std::string_view TraceParent) {
  HeaderList Headers = hopHeaders(Call, Call.m_Attempts, TraceParent);
  Headers.emplace_back(protocol::HopsHeader, std::to_string(Hops));
  Headers.emplace_back(protocol::PoolHeader, Pool.m_DataCentre);
  Headers.emplace_back(protocol::HandedOverHeader,
                       Call.m_HandedOver ? "1" : "0");
  return backend::makeMessage(
      Call.m_Method, "/call/" + Call.m_Service + Call.m_Target, Call.m_Service,
      Headers, Call.m_CorrelationId, Call.m_Body);
}

Result<CallerAnswer> readForwardedAnswer(http::Response Answer) {
  auto Outcome =
      protocol::parseOutcome(http::headerOf(Answer, protocol::OutcomeHeader));
  if (!Outcome)
    return fail(ErrorCode::Protocol, Outcome.error().m_Message);
  CallerAnswer Read;
  Read.m_Outcome = Outcome.value();
  Read.m_Status = Answer.result_int();
  for (const auto &Field : Answer) {
    std::string Name(http::toView(Field.name_string()));
    if (!isAnswerHopHeader(Name))
      Read.m_Headers.emplace_back(std::move(Name), http::toView(Field.value()));
  }
  Read.m_Body = std::move(Answer.body());
  return Read;
}

http::Response toResponse(CallerAnswer Answer, std::string_view CorrelationId) {
  http::Response Made;
  Made.result(Answer.m_Status);
  for (const auto &[Name, Value] : Answer.m_Headers)
    if (!isAnswerHopHeader(Name))
      Made.insert(Name, Value);
  Made.set(protocol::CorrelationHeader, http::toBoost(CorrelationId));
  Made.set(protocol::OutcomeHeader, protocol::outcomeName(Answer.m_Outcome));
  Made.body() = std::move(Answer.m_Body);
  Made.prepare_payload();
  return Made;
}

} // namespace hyssopcross::entry
