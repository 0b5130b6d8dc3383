#ifndef HYSSOPCROSS_HTTP_MESSAGE_H
#define HYSSOPCROSS_HTTP_MESSAGE_H

#include <utility>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string_view>

namespace hyssopcross::http {

/// A whole request or response. The body is held in memory: an answer is only
/// passed on when it is whole, and a request may have to be sent again.
using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
using Fields = boost::beast::http::fields;

/// The view that the standard library has of a Boost one.
inline std::string_view toView(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

/// The view that Boost has of a standard one.
inline boost::beast::string_view toBoost(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// The value of a header, or an empty view where it is absent.
inline std::string_view headerOf(const Fields &Headers, std::string_view Name) {
  auto Found = Headers.find(toBoost(Name));
  return Found == Headers.end() ? std::string_view() : toView(Found->value());
}

/// Removes what concerns one connection only: the headers that RFC 9110 names
/// and those that the Connection header lists. The framing of the body is
/// removed too; prepare_payload sets it anew.
void removeConnectionHeaders(Fields &Headers);

/// A response with an empty or plain-text body and its length set.
Response makeResponse(unsigned Status, std::string_view Body = {},
                      std::string_view ContentType = "text/plain");

/// Text with %XX decoded; a malformed sequence stays as it is.
std::string percentDecoded(std::string_view Text);

/// The value of a query parameter in a request target, percent-decoded; empty
/// where it is absent.
std::string queryParameter(std::string_view Target, std::string_view Name);

/// The path of a request target, without its query.
std::string_view pathOf(std::string_view Target);

} // namespace hyssopcross::http

#endif
