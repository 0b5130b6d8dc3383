#ifndef HYSSOPCROSS_LOAD_CALLER_H
#define HYSSOPCROSS_LOAD_CALLER_H

#include "hyssopcross/load/AddressBook.h"
#include "hyssopcross/load/Exchange.h"

namespace hyssopcross::load {

/// How callers behave.
struct CallerOptions {
  /// The time that each attempt allows the system.
  std::chrono::milliseconds m_Timeout{2000};
  /// Repeats money calls that may have run under the same idempotency key,
  /// through another address.
  bool m_RetryMoney = false;
  /// Keeps the correlation ids and keys of runs apart.
  std::string m_RunName;
};

/// Makes calls as the system's callers do: asks for addresses, calls there,
/// and tries again elsewhere where the class allows it. Safe from any thread;
/// the references outlive it.
class Caller {
public:
  Caller(CallerOptions Options, AddressBook &Addresses,
         httpclient::Client &Client)
      : m_Options(std::move(Options)), m_Addresses(Addresses),
        m_Client(Client) {}

  /// Makes one call with all of its attempts. The latency is left to the host.
  CallRecord run(const PlannedCall &Call);

private:
  AttemptRecord attempt(const PlannedCall &Call, const CallRequest &Request,
                        size_t Number, std::string &Address,
                        Duration &RetryAfter);
  bool triesAgain(const PlannedCall &Call, const CallRecord &Record) const;

  const CallerOptions m_Options;
  AddressBook &m_Addresses;
  httpclient::Client &m_Client;
};

} // namespace hyssopcross::load

#endif
