#ifndef HYSSOPCROSS_BACKEND_EXCHANGE_H
#define HYSSOPCROSS_BACKEND_EXCHANGE_H

#include "hyssopcross/balancing/Events.h"
#include "hyssopcross/http/TimedExchange.h"
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssopcross::backend {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// A request to a backend server. The message is shared by all sends of it.
struct ServerRequest {
  std::shared_ptr<const http::Request> m_Message;
  /// Must come back on the answer.
  std::string m_CorrelationId;
  /// Time until the caller's deadline.
  Duration m_Timeout{};
  /// Whether the request may be sent a second time if a kept connection turns
  /// out to be closed.
  bool m_Idempotent = false;
};

/// What came of an exchange.
struct ServerAnswer {
  balancing::AttemptEnd m_End = balancing::AttemptEnd::NotSent;
  unsigned m_Status = 0;
  HeaderList m_Headers;
  std::string m_Body;
  std::optional<balancing::LoadReport> m_Report;
  /// False if nothing was sent for a reason that is not the server's.
  bool m_ServerFault = true;
  /// Why the exchange did not complete; empty if it did.
  std::string m_Detail;
};

/// The value of a header of an answer, whatever the case of its name; empty if
/// it is absent.
std::string_view findHeader(const ServerAnswer &Answer, std::string_view Name);

/// Builds the message of a request: Host names the service, and the
/// correlation id and the length of the body are added to Headers.
std::shared_ptr<const http::Request>
makeMessage(std::string_view Method, std::string_view Target,
            std::string_view Service, const HeaderList &Headers,
            std::string_view CorrelationId, std::string_view Body);

/// Called on the loop's thread with what came of an exchange.
using AnswerCallback = std::function<void(ServerAnswer)>;

/// Sends requests to backend servers over kept connections. Lives on one event
/// loop, whose thread makes all calls.
class Sender {
public:
  Sender(boost::asio::io_context &Loop, const Clock &Time);

  /// Sends a request. Done is called exactly once, later, unless the exchange
  /// is cancelled. An answer that is cut or oversized ends the exchange as
  /// Broken. One with another correlation id is no answer to this request: the
  /// next one is waited for until the timeout. Null if Server is no address;
  /// the exchange then ends as NotSent.
  std::shared_ptr<http::TimedExchange> send(const balancing::ServerId &Server,
                                            const ServerRequest &Request,
                                            AnswerCallback Done);

  /// Sets how many idle connections to keep to a server.
  void keep(const balancing::ServerId &Server, uint32_t Count);

  /// Connections to the server, idle or in use.
  uint32_t open(const balancing::ServerId &Server) const;

  /// Closes connections that have been idle for too long. The owner calls it a
  /// few times a second.
  void sweep() { m_Client.sweep(); }

private:
  boost::asio::io_context &m_Loop;
  http::Client m_Client;
};

/// Parses the value of the Server-Load header; no value if it is malformed.
std::optional<balancing::LoadReport> parseLoadReport(std::string_view Text);

} // namespace hyssopcross::backend

#endif
