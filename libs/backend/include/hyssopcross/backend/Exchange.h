#ifndef HYSSOPCROSS_BACKEND_EXCHANGE_H
#define HYSSOPCROSS_BACKEND_EXCHANGE_H

#include "hyssopcross/balancing/Events.h"
#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssopcross::backend {

/// A request to a backend server. The views must stay valid until the exchange
/// has ended.
struct ServerRequest {
  std::string_view m_Method;
  /// Path and query.
  std::string_view m_Target;
  std::string_view m_Body;
  /// Headers to pass on, without Content-Length.
  std::vector<std::pair<std::string, std::string>> m_Headers;
  /// Must come back on the answer.
  std::string m_CorrelationId;
  /// Time until the caller's deadline.
  Duration m_Timeout{};
  /// Whether the request may be sent a second time if a kept connection turns
  /// out to be closed.
  bool m_Idempotent = false;
  /// Largest answer accepted, in bytes.
  size_t m_AnswerBytes = 4U << 20U;
};

/// What came of an exchange.
struct ServerAnswer {
  balancing::AttemptEnd m_End = balancing::AttemptEnd::NotSent;
  unsigned m_Status = 0;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  std::string m_Body;
  std::optional<balancing::LoadReport> m_Report;
  /// False if nothing was sent for a reason that is not the server's.
  bool m_ServerFault = true;
  /// Why the exchange did not complete; empty if it did.
  std::string m_Detail;
};

/// A kept connection to one backend server, used by one thread at a time.
class Channel {
public:
  explicit Channel(balancing::ServerId Server);
  ~Channel();
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  /// Sends the request and waits for the whole answer, for at most its
  /// timeout. An answer that is cut, oversized or carries another correlation
  /// id ends the exchange as Broken. Never throws.
  ServerAnswer exchange(const ServerRequest &Request);

  /// Ends the exchange that another thread runs on this channel; it returns
  /// Cancelled unless it ended before. Safe from any thread.
  void cancel();

  /// Whether the connection may carry another exchange.
  bool reusable() const;

private:
  struct Implementation;

  std::unique_ptr<Implementation> m_State;
};

/// Parses the value of the Server-Load header; no value if it is malformed.
std::optional<balancing::LoadReport> parseLoadReport(std::string_view Text);

} // namespace hyssopcross::backend

#endif
