#ifndef HYSSOPCROSS_LOAD_ADDRESSBOOK_H
#define HYSSOPCROSS_LOAD_ADDRESSBOOK_H

#include "hyssopcross/base/Settings.h"
#include "hyssopcross/httpclient/Client.h"
#include <mutex>
#include <random>

namespace hyssopcross::load {

/// What an entry VM answered when asked which addresses to use.
struct AddressAnswer {
  std::vector<std::string> m_Addresses;
  std::chrono::milliseconds m_TimeToLive{};
};

/// Parses {"service":S,"addresses":[{"address":A,...},...],"ttl_ms":N}; fails
/// with Protocol.
Result<AddressAnswer> parseAddressAnswer(std::string_view Json);

/// The addresses that callers use, as the entry VMs answered them, kept for as
/// long as the answers allow. Safe from any thread; the client and the clock
/// outlive it.
class AddressBook {
public:
  AddressBook(std::vector<Address> Entries, httpclient::Client &Client,
              const Clock &Clock, uint64_t Seed);

  /// The address to use for a service by a caller in a data centre: the first
  /// of the answer that has not failed lately and is not Avoid. Asks an entry
  /// VM if no answer is kept, and falls back to an address that has failed if
  /// no other is named. Fails with Unavailable if none answers with an address.
  Result<std::string> choose(const std::string &Service,
                             const std::string &DataCentre,
                             std::string_view Avoid);

  /// Uses Better first from now on, until the kept answer expires.
  void prefer(const std::string &Service, const std::string &DataCentre,
              std::string_view Better);

  /// Leaves the address out for a while, and forgets the answers naming it.
  void reportFailure(const std::string &Failed);

private:
  struct Kept {
    std::vector<std::string> m_Addresses;
    TimePoint m_Until;
  };
  using Key = std::pair<std::string, std::string>;

  bool isSuspectLocked(std::string_view Address, TimePoint Now) const;
  std::string findLocked(const Key &Key, std::string_view Avoid, TimePoint Now);
  std::vector<std::string> shuffledEntries();
  Result<AddressAnswer> ask(const std::string &Entry, const Key &Key);

  const std::vector<Address> m_Entries;
  httpclient::Client &m_Client;
  const Clock &m_Clock;
  std::mutex m_Mutex;
  std::mt19937_64 m_Random;
  std::map<Key, Kept> m_Kept;
  std::map<std::string, TimePoint, std::less<>> m_SuspectUntil;
};

} // namespace hyssopcross::load

#endif
