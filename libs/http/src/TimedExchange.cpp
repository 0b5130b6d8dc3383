#include "hyssopcross/http/TimedExchange.h"

namespace hyssopcross::http {

namespace {

/// No kept connection is this young, so a new one is opened.
constexpr Duration NewConnection = Duration(-1);

} // namespace

TimedExchange::TimedExchange(boost::asio::io_context &Loop, Client &Through,
                             const Address &Server, TimedRequest Asked,
                             ExchangeCallback Done)
    : m_Client(Through), m_Server(Server), m_Asked(std::move(Asked)),
      m_Done(std::move(Done)), m_Timer(Loop) {}

std::shared_ptr<TimedExchange>
TimedExchange::start(boost::asio::io_context &Loop, Client &Through,
                     const Address &Server, TimedRequest Asked,
                     ExchangeCallback Done) {
  std::shared_ptr<TimedExchange> Made(new TimedExchange(
      Loop, Through, Server, std::move(Asked), std::move(Done)));
  Made->m_Timer.expires_after(Made->m_Asked.m_Timeout);
  Made->m_Timer.async_wait([Made](const boost::system::error_code &Cancelled) {
    if (!Cancelled)
      Made->timedOut();
  });
  Made->send(Made->m_Asked.m_MaxIdle);
  return Made;
}

void TimedExchange::cancel() {
  m_Done = nullptr;
  m_Timer.cancel();
  m_Call->cancel();
}

void TimedExchange::send(Duration MaxIdle) {
  m_Call = m_Client.send(m_Server, m_Asked.m_Request, MaxIdle, m_Asked.m_Filter,
                         [Self = shared_from_this()](ExchangeResult Result) {
                           Self->ended(std::move(Result));
                         });
}

void TimedExchange::ended(ExchangeResult Result) {
  if (!m_Done)
    return;
  bool IsKeptBroken = Result.m_End == ExchangeEnd::Broken && Result.m_Reused;
  if (IsKeptBroken && m_Asked.m_MayResend && !m_Resent) {
    m_Resent = true;
    return send(NewConnection);
  }
  m_Timer.cancel();
  std::exchange(m_Done, nullptr)(std::move(Result));
}

void TimedExchange::timedOut() {
  if (!m_Done)
    return;
  ExchangeResult Result;
  bool MayHaveRun = m_Resent || m_Call->mayBeSent();
  Result.m_End = MayHaveRun ? ExchangeEnd::Broken : ExchangeEnd::NotSent;
  m_Call->cancel();
  std::exchange(m_Done, nullptr)(std::move(Result));
}

} // namespace hyssopcross::http
