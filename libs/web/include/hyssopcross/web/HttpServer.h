#ifndef HYSSOPCROSS_WEB_HTTPSERVER_H
#define HYSSOPCROSS_WEB_HTTPSERVER_H

#include "hyssopcross/base/Error.h"
#include "hyssopcross/base/Settings.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssopcross::web {

/// A request as it arrived. The views stay valid until the handler returns.
struct HttpRequest {
  std::string_view m_Method;
  /// Path and query as the client sent them.
  std::string_view m_Target;
  std::string_view m_Body;
  /// Name and value of each header.
  std::vector<std::pair<std::string_view, std::string_view>> m_Headers;

  /// The path without the query.
  std::string_view path() const;

  /// The query without the question mark; empty if there is none.
  std::string_view query() const;

  /// The value of a header, whatever the case of its name.
  std::optional<std::string_view> header(std::string_view Name) const;

  /// The value of a parameter of the query, without percent-decoding.
  std::optional<std::string_view> parameter(std::string_view Name) const;
};

/// An answer to send.
struct HttpAnswer {
  unsigned m_Status = 200;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  std::string m_Body;
};

/// Answers one request; called from many threads at once.
using HttpHandler = std::function<HttpAnswer(const HttpRequest &)>;

/// Limits of a server.
struct HttpServerLimits {
  /// Largest request body, in bytes; a larger one reaches the handler cut to
  /// one byte more than this.
  size_t m_BodyBytes = 4U << 20U;
  /// Connections served at once; each has a thread.
  unsigned m_Connections = 512;
  /// Idle time after which a connection is closed, in seconds.
  unsigned m_IdleSeconds = 120;
};

/// An HTTP server with a thread for each connection. Destroying it stops it
/// and waits for handlers that still run.
class HttpServer {
public:
  /// Starts to listen. Fails if the address can't be bound.
  static Result<std::unique_ptr<HttpServer>>
  start(const Address &Listen, HttpHandler Handler, HttpServerLimits Limits);

  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Takes no further connections; open ones are served on.
  void stopAccepting();

  /// Number of handlers that run now.
  size_t runningHandlers() const;

private:
  struct Implementation;
  explicit HttpServer(std::unique_ptr<Implementation> State);

  std::unique_ptr<Implementation> m_State;
};

} // namespace hyssopcross::web

#endif
