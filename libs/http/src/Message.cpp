#include "hyssopcross/http/Message.h"
#include <array>
#include <charconv>
#include <string>
#include <vector>

#include <boost/beast/http/rfc7230.hpp>

namespace hyssopcross::http {

namespace {

constexpr std::array<std::string_view, 9> ConnectionHeaders = {
    "Connection",          "Keep-Alive", "Proxy-Connection",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Content-Length"};

} // namespace

std::string percentDecoded(std::string_view Text) {
  std::string Decoded;
  for (size_t I = 0; I < Text.size(); ++I) {
    unsigned Byte = 0;
    bool IsEscape = Text[I] == '%' && I + 2 < Text.size() &&
                    std::from_chars(&Text[I] + 1, &Text[I] + 3, Byte, 16).ptr ==
                        &Text[I] + 3;
    if (!IsEscape) {
      Decoded += Text[I];
      continue;
    }
    Decoded += static_cast<char>(Byte);
    I += 2;
  }
  return Decoded;
}

void removeConnectionHeaders(Fields &Headers) {
  std::vector<std::string> Listed;
  auto Range = Headers.equal_range(boost::beast::http::field::connection);
  for (auto Field = Range.first; Field != Range.second; ++Field)
    for (auto Token : boost::beast::http::token_list(Field->value()))
      Listed.emplace_back(Token.data(), Token.size());
  for (const std::string &Name : Listed)
    Headers.erase(toBoost(Name));
  for (std::string_view Name : ConnectionHeaders)
    Headers.erase(toBoost(Name));
}

Response makeResponse(unsigned Status, std::string_view Body,
                      std::string_view ContentType) {
  Response Made;
  Made.version(11);
  Made.result(Status);
  if (!Body.empty())
    Made.set(boost::beast::http::field::content_type, toBoost(ContentType));
  Made.body() = std::string(Body);
  Made.prepare_payload();
  return Made;
}

std::string queryParameter(std::string_view Target, std::string_view Name) {
  size_t Start = Target.find('?');
  while (Start != std::string_view::npos) {
    std::string_view Rest = Target.substr(Start + 1);
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name)
      return Equals == std::string_view::npos
                 ? std::string()
                 : percentDecoded(Pair.substr(Equals + 1));
    Start = Target.find('&', Start + 1);
  }
  return {};
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

} // namespace hyssopcross::http
