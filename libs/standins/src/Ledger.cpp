#include "hyssopcross/standins/Ledger.h"
#include "hyssopcross/base/Settings.h"
#include <nlohmann/json.hpp>

namespace hyssopcross::standins {

namespace {

using Json = nlohmann::json;

Json toJson(const LedgerEntry &Entry) {
  return {{"correlation", Entry.m_Correlation},
          {"key", Entry.m_IdempotencyKey},
          {"class", Entry.m_Class},
          {"target", Entry.m_Target},
          {"digest", Entry.m_Digest},
          {"length", Entry.m_Length},
          {"receipt", Entry.m_Receipt},
          {"start_us", Entry.m_StartUs},
          {"end_us", Entry.m_EndUs},
          {"cancelled", Entry.m_Cancelled}};
}

LedgerEntry toEntry(const Json &Value) {
  LedgerEntry Entry;
  Value.at("correlation").get_to(Entry.m_Correlation);
  Value.at("key").get_to(Entry.m_IdempotencyKey);
  Value.at("class").get_to(Entry.m_Class);
  Value.at("target").get_to(Entry.m_Target);
  Value.at("digest").get_to(Entry.m_Digest);
  Value.at("length").get_to(Entry.m_Length);
  Value.at("receipt").get_to(Entry.m_Receipt);
  Value.at("start_us").get_to(Entry.m_StartUs);
  Value.at("end_us").get_to(Entry.m_EndUs);
  Value.at("cancelled").get_to(Entry.m_Cancelled);
  return Entry;
}

} // namespace

size_t Ledger::begin(LedgerEntry Entry) {
  std::lock_guard Lock(m_Mutex);
  m_Entries.push_back(std::move(Entry));
  return m_Entries.size() - 1;
}

void Ledger::end(size_t Index, WallTime Now, bool Cancelled) {
  std::lock_guard Lock(m_Mutex);
  m_Entries.at(Index).m_EndUs = toMicroseconds(Now);
  m_Entries.at(Index).m_Cancelled = Cancelled;
}

std::string Ledger::toJsonLines() const {
  std::lock_guard Lock(m_Mutex);
  std::string Lines;
  for (const LedgerEntry &Entry : m_Entries) {
    Lines += toJson(Entry).dump(-1, ' ', false, Json::error_handler_t::replace);
    Lines += '\n';
  }
  return Lines;
}

Result<std::vector<LedgerEntry>> parseLedger(std::string_view Text) {
  std::vector<LedgerEntry> Entries;
  try {
    for (std::string_view Line : splitList(Text, '\n'))
      Entries.push_back(toEntry(Json::parse(Line)));
  } catch (const Json::exception &Failure) {
    return fail(ErrorCode::Protocol,
                std::string("unreadable ledger: ") + Failure.what());
  }
  return Entries;
}

int64_t toMicroseconds(WallTime Time) {
  return std::chrono::floor<std::chrono::microseconds>(Time.time_since_epoch())
      .count();
}

} // namespace hyssopcross::standins
