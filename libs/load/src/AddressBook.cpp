#include "hyssopcross/load/AddressBook.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace hyssopcross::load {

namespace {

constexpr int Ok = 200;
constexpr Duration AskTimeout = std::chrono::milliseconds(500);
constexpr Duration SuspectTime = std::chrono::seconds(3);

} // namespace

Result<AddressAnswer> parseAddressAnswer(std::string_view Json) {
  try {
    auto Value = nlohmann::json::parse(Json);
    AddressAnswer Answer;
    Answer.m_TimeToLive =
        std::chrono::milliseconds(Value.at("ttl_ms").get<int64_t>());
    for (const auto &Item : Value.at("addresses"))
      Answer.m_Addresses.push_back(Item.at("address").get<std::string>());
    return Answer;
  } catch (const nlohmann::json::exception &Failure) {
    return fail(ErrorCode::Protocol,
                std::string("unreadable addresses: ") + Failure.what());
  }
}

AddressBook::AddressBook(std::vector<Address> Entries,
                         httpclient::Client &Client, const Clock &Clock,
                         uint64_t Seed)
    : m_Entries(std::move(Entries)), m_Client(Client), m_Clock(Clock),
      m_Random(Seed) {}

bool AddressBook::isSuspectLocked(std::string_view Address,
                                  TimePoint Now) const {
  auto Found = m_SuspectUntil.find(Address);
  return Found != m_SuspectUntil.end() && Now < Found->second;
}

std::string AddressBook::findLocked(const Key &Key, std::string_view Avoid,
                                    TimePoint Now) {
  auto Found = m_Kept.find(Key);
  if (Found == m_Kept.end() || Now >= Found->second.m_Until)
    return "";
  for (const std::string &Address : Found->second.m_Addresses)
    if (Address != Avoid && !isSuspectLocked(Address, Now))
      return Address;
  return "";
}

// In random order, but those that failed lately come last.
std::vector<std::string> AddressBook::shuffledEntries() {
  std::vector<std::string> Entries;
  for (const Address &Entry : m_Entries)
    Entries.push_back(Entry.toString());
  TimePoint Now = m_Clock.now();
  std::lock_guard Lock(m_Mutex);
  std::shuffle(Entries.begin(), Entries.end(), m_Random);
  std::stable_partition(Entries.begin(), Entries.end(),
                        [this, Now](const std::string &Entry) {
                          return !isSuspectLocked(Entry, Now);
                        });
  return Entries;
}

Result<AddressAnswer> AddressBook::ask(const std::string &Entry,
                                       const Key &Key) {
  httpclient::Request Request;
  Request.m_Url = "http://" + Entry +
                  "/addresses?service=" + httpclient::escapeUrl(Key.first) +
                  "&data_centre=" + httpclient::escapeUrl(Key.second);
  Request.m_Timeout = AskTimeout;
  Request.m_MayResend = true;
  auto Answer = m_Client.send(Request);
  if (!Answer) {
    reportFailure(Entry);
    return Answer.as_failure();
  }
  if (Answer.value().m_Status != Ok)
    return fail(ErrorCode::Unavailable,
                Entry + " answered with status " +
                    std::to_string(Answer.value().m_Status));
  return parseAddressAnswer(Answer.value().m_Body);
}

Result<std::string> AddressBook::choose(const std::string &Service,
                                        const std::string &DataCentre,
                                        std::string_view Avoid) {
  Key Key{Service, DataCentre};
  {
    std::lock_guard Lock(m_Mutex);
    std::string Found = findLocked(Key, Avoid, m_Clock.now());
    if (!Found.empty())
      return Found;
  }
  std::string Why = "no entry VM is named";
  std::string Suspect;
  for (const std::string &Entry : shuffledEntries()) {
    auto Answer = ask(Entry, Key);
    if (!Answer) {
      Why = Answer.error().m_Message;
      continue;
    }
    TimePoint Now = m_Clock.now();
    std::vector<std::string> &Named = Answer.value().m_Addresses;
    if (!Named.empty())
      Suspect = Named.front() == Avoid ? Named.back() : Named.front();
    std::lock_guard Lock(m_Mutex);
    m_Kept[Key] = {std::move(Named), Now + Answer.value().m_TimeToLive};
    std::string Found = findLocked(Key, Avoid, Now);
    if (!Found.empty())
      return Found;
    Why = "no address is named for " + Service;
  }
  if (!Suspect.empty())
    return Suspect;
  return fail(ErrorCode::Unavailable, std::move(Why));
}

void AddressBook::prefer(const std::string &Service,
                         const std::string &DataCentre,
                         std::string_view Better) {
  std::lock_guard Lock(m_Mutex);
  auto Found = m_Kept.find({Service, DataCentre});
  if (Found == m_Kept.end())
    return;
  std::vector<std::string> &Addresses = Found->second.m_Addresses;
  std::erase(Addresses, Better);
  Addresses.insert(Addresses.begin(), std::string(Better));
}

void AddressBook::reportFailure(const std::string &Failed) {
  std::lock_guard Lock(m_Mutex);
  m_SuspectUntil[Failed] = m_Clock.now() + SuspectTime;
  std::erase_if(m_Kept, [&Failed](const auto &Item) {
    const std::vector<std::string> &Addresses = Item.second.m_Addresses;
    return std::find(Addresses.begin(), Addresses.end(), Failed) !=
           Addresses.end();
  });
}

} // namespace hyssopcross::load
