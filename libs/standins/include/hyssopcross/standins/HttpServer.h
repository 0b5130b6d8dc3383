#ifndef HYSSOPCROSS_STANDINS_HTTPSERVER_H
#define HYSSOPCROSS_STANDINS_HTTPSERVER_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Settings.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace hyssopcross::standins {

/// The connection that a request arrived on.
class Peer {
public:
  explicit Peer(int Socket) : m_Socket(Socket) {}

  /// Waits for Time or until the client closes the connection; returns true
  /// if it closed. Without a known socket it only waits.
  bool closesWithin(Duration Time) const;

  /// Breaks the connection at once, so that no answer arrives.
  void abort() const;

private:
  int m_Socket = -1;
};

/// One request as the server received it. The views end with the handler.
struct ServerRequest {
  std::string_view m_Method;
  /// Without the query.
  std::string m_Path;
  /// Path and query as they were sent.
  std::string_view m_Target;
  std::string_view m_Body;
  std::function<std::string_view(const char *)> m_Header;
  std::function<std::string_view(const char *)> m_Query;
  Peer m_Peer{-1};
};

/// One answer.
struct ServerAnswer {
  int m_Status = 200;
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;
  /// Closes the connection after half of the body.
  bool m_Cut = false;
  /// Closes the connection without an answer.
  bool m_Lost = false;
};

/// Settings of a server.
struct HttpServerOptions {
  Address m_Listen;
  /// Time spent on the thread of each new connection before it is served.
  Duration m_ConnectCost{};
  uint32_t m_MaxConnections = 250;
  size_t m_MaxBodyBytes = 64U << 20U;
};

/// An HTTP server on ulfius with a thread for each connection. The handler is
/// called on these threads.
class HttpServer {
public:
  using Handler = std::function<ServerAnswer(const ServerRequest &)>;

  /// Starts to serve; port zero takes a free one. Fails with Unavailable if
  /// the address cannot be bound.
  static Result<std::unique_ptr<HttpServer>> start(HttpServerOptions Options,
                                                   Handler Handler);

  /// Ends the running handlers' connections and stops.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// The address that is served, with the port taken.
  const Address &address() const;

  /// How many connections have been accepted since the start.
  uint64_t connectionsAccepted() const;

private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> State);
  std::unique_ptr<State> m_State;
};

/// A query value that is a whole number from zero to Max; Fallback if absent.
Result<uint64_t> readNumber(const ServerRequest &Request, const char *Name,
                            uint64_t Fallback, uint64_t Max);

/// An answer of a status with a JSON body.
ServerAnswer jsonAnswer(int Status, std::string Json);

/// An answer with {"error": code, "message": sentence}.
ServerAnswer errorAnswer(int Status, const Error &Failure);

} // namespace hyssopcross::standins

#endif
