#include "hyssopcross/load/Run.h"
#include <atomic>
#include <boost/outcome/try.hpp>
#include <thread>

namespace hyssopcross::load {

namespace {

constexpr int Ok = 200;
constexpr Duration LedgerTimeout = std::chrono::seconds(10);

} // namespace

std::vector<CallRecord> runPlan(std::span<const PlannedCall> Plan,
                                uint32_t Threads, Caller &Caller,
                                const Clock &Clock) {
  std::vector<CallRecord> Records(Plan.size());
  std::atomic<size_t> Next{0};
  TimePoint Start = Clock.now();
  auto Work = [&] {
    for (size_t I = Next++; I < Plan.size(); I = Next++) {
      TimePoint Due = Start + Plan[I].m_Due;
      Duration Early = Due - Clock.now();
      if (Early > Duration::zero())
        std::this_thread::sleep_for(Early);
      Records[I] = Caller.run(Plan[I]);
      Records[I].m_Latency = Clock.now() - Due;
    }
  };
  std::vector<std::jthread> Workers;
  for (uint32_t I = 0; I < Threads; ++I)
    Workers.emplace_back(Work);
  Workers.clear();
  return Records;
}

Result<std::vector<standins::LedgerEntry>>
readLedgers(std::span<const Address> Servers, httpclient::Client &Client) {
  std::vector<standins::LedgerEntry> All;
  for (const Address &Server : Servers) {
    httpclient::Request Request;
    Request.m_Url = "http://" + Server.toString() + "/ledger";
    Request.m_Timeout = LedgerTimeout;
    Request.m_MayResend = true;
    BOOST_OUTCOME_TRY(Answer, Client.send(Request));
    if (Answer.m_Status != Ok)
      return fail(ErrorCode::Unavailable, Request.m_Url +
                                              " answered with status " +
                                              std::to_string(Answer.m_Status));
    BOOST_OUTCOME_TRY(Entries, standins::parseLedger(Answer.m_Body));
    All.insert(All.end(), Entries.begin(), Entries.end());
  }
  return All;
}

} // namespace hyssopcross::load
