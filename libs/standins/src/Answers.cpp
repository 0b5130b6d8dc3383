#include "hyssopcross/standins/Answers.h"
#include "hyssopcross/protocol/Outcome.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::standins {

namespace {

using Json = nlohmann::ordered_json;

std::string write(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string lookupAnswer(std::string_view Service, std::string_view Target) {
  std::string Request = std::string(Service) + " " + std::string(Target);
  return write({{"service", Service},
                {"target", Target},
                {"digest", protocol::contentDigest(Request)}});
}

std::string moneyAnswer(std::string_view Service, std::string_view Key,
                        uint64_t Amount, std::string_view Receipt) {
  return write({{"service", Service},
                {"key", Key},
                {"amount", Amount},
                {"receipt", Receipt}});
}

std::string uploadAnswer(std::string_view Service, std::string_view Key,
                         std::string_view Digest, uint64_t Length) {
  return write({{"service", Service},
                {"key", Key},
                {"length", Length},
                {"receipt", Digest}});
}

std::string moneyRequest(uint64_t Amount) {
  return write({{"amount", Amount}});
}

Result<uint64_t> parseAmount(std::string_view Body) {
  try {
    return Json::parse(Body).at("amount").get<uint64_t>();
  } catch (const Json::exception &Failure) {
    return fail(ErrorCode::InvalidInput,
                std::string("unreadable money request: ") + Failure.what());
  }
}

Result<std::string> parseReceipt(std::string_view Body) {
  try {
    return Json::parse(Body).at("receipt").get<std::string>();
  } catch (const Json::exception &Failure) {
    return fail(ErrorCode::Protocol,
                std::string("unreadable receipt: ") + Failure.what());
  }
}

} // namespace hyssopcross::standins
