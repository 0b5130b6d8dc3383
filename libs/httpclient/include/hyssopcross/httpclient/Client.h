#ifndef HYSSOPCROSS_HTTPCLIENT_CLIENT_H
#define HYSSOPCROSS_HTTPCLIENT_CLIENT_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Error.h"
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross::httpclient {

/// A header of a request.
struct Header {
  std::string m_Name;
  std::string m_Value;
};

/// One HTTP request.
struct Request {
  std::string m_Method = "GET";
  /// http://IPv4:PORT/PATH.
  std::string m_Url;
  /// Host is that of the URL unless it stands here.
  std::vector<Header> m_Headers;
  /// Not copied; outlives the call. A GET sends none.
  std::string_view m_Body;
  /// From the start of the call to the end of the answer.
  Duration m_Timeout = std::chrono::seconds(2);
  /// A kept connection that turns out to be closed is replaced and the request
  /// sent again. Only for requests that may run twice.
  bool m_MayResend = false;
};

/// One whole HTTP answer.
struct Response {
  int m_Status = 0;
  /// Header names in lower case.
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;

  /// The value of a header by its name in any case; empty if absent.
  std::string_view header(std::string_view Name) const;
};

/// Sends HTTP requests over kept connections and waits for the answers, for
/// code off the data path. Any number of threads may send at once; each uses an
/// event loop of its own from a pool. Loops beyond IdleHandles are closed when
/// they come back.
class Client {
public:
  explicit Client(size_t IdleHandles = 16, size_t MaxAnswerBytes = 64U << 20U);
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  /// Sends a request and waits for the whole answer. Fails with Unavailable if
  /// no byte of the request was sent, and with Unknown if it was sent and no
  /// whole answer arrived in time. Answers of any status are values.
  Result<Response> send(const Request &Request);

private:
  struct State;
  std::unique_ptr<State> m_State;
};

/// Text as one path segment or query value of a URL.
std::string escapeUrl(std::string_view Text);

} // namespace hyssopcross::httpclient

#endif
