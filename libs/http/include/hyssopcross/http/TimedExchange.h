#ifndef HYSSOPCROSS_HTTP_TIMEDEXCHANGE_H
#define HYSSOPCROSS_HTTP_TIMEDEXCHANGE_H

#include "hyssopcross/http/Client.h"
#include <boost/asio/steady_timer.hpp>

namespace hyssopcross::http {

/// A request and what may be done for it.
struct TimedRequest {
  std::shared_ptr<const Request> m_Request;
  /// From the send to the end of the answer, the connection included.
  Duration m_Timeout{};
  /// A request that broke on a kept connection is sent once more on a new one.
  /// Only for what may run twice.
  bool m_MayResend = false;
  AnswerFilter m_Filter;
  /// A kept connection that has been idle for longer is not used; the client's
  /// own limits hold besides.
  Duration m_MaxIdle = Duration::max();
};

/// One request that ends in time: answered, broken, or given up. Lives on the
/// client's loop, whose thread makes all calls; the client outlives it.
class TimedExchange : public std::enable_shared_from_this<TimedExchange> {
public:
  /// Sends Asked. Done is called exactly once, later, unless the exchange is
  /// cancelled. A timeout ends it as NotSent if nothing was sent, else as
  /// Broken.
  static std::shared_ptr<TimedExchange>
  start(boost::asio::io_context &Loop, Client &Through, const Address &Server,
        TimedRequest Asked, ExchangeCallback Done);

  /// Gives the exchange up; Done is not called any more.
  void cancel();

private:
  TimedExchange(boost::asio::io_context &Loop, Client &Through,
                const Address &Server, TimedRequest Asked,
                ExchangeCallback Done);

  void send(Duration MaxIdle);
  void ended(ExchangeResult Result);
  void timedOut();

  Client &m_Client;
  Address m_Server;
  TimedRequest m_Asked;
  ExchangeCallback m_Done;
  boost::asio::steady_timer m_Timer;
  std::shared_ptr<ClientCall> m_Call;
  bool m_Resent = false;
};

} // namespace hyssopcross::http

#endif
