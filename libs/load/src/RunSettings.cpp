#include "hyssopcross/load/RunSettings.h"
#include <boost/outcome/try.hpp>
#include <cmath>

namespace hyssopcross::load {

namespace {

constexpr double LongestSeconds = 86400;

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

Result<void> checkPositive(uint64_t Value, const char *Flag) {
  if (Value == 0)
    return fail(ErrorCode::InvalidInput, std::string(Flag) + " is zero");
  return boost::outcome_v2::success();
}

Result<void> checkNumbers(const RunFlags &Flags) {
  // Written so that not-a-number fails too.
  if (!(Flags.m_Seconds > 0 && Flags.m_Seconds <= LongestSeconds))
    return fail(ErrorCode::InvalidInput,
                "--seconds is not above zero and at most a day");
  if (!(Flags.m_SettleSeconds >= 0 && Flags.m_SettleSeconds <= LongestSeconds))
    return fail(ErrorCode::InvalidInput,
                "--settle_seconds is negative or more than a day");
  if (!std::isfinite(Flags.m_MaxAddedP99Ms))
    return fail(ErrorCode::InvalidInput, "--max_added_p99_ms is not a number");
  BOOST_OUTCOME_TRY(checkPositive(Flags.m_Threads, "--threads"));
  BOOST_OUTCOME_TRY(checkPositive(Flags.m_TimeoutMs, "--timeout_ms"));
  BOOST_OUTCOME_TRY(checkPositive(Flags.m_UploadBytes, "--upload_bytes"));
  return checkPositive(Flags.m_DirectPairs, "--direct_pairs");
}

Result<std::vector<Address>> readAddresses(const std::string &Text,
                                           const char *Flag) {
  BOOST_OUTCOME_TRY(Addresses, parseAddresses(Text, Flag));
  if (Addresses.empty())
    return fail(ErrorCode::InvalidInput, std::string(Flag) + " is empty");
  return std::move(Addresses);
}

Result<std::optional<AddedLatencyOptions>> readAdded(const RunFlags &Flags,
                                                     const PlanOptions &Plan) {
  if (Flags.m_Direct.empty())
    return std::optional<AddedLatencyOptions>();
  BOOST_OUTCOME_TRY(Direct, readAddresses(Flags.m_Direct, "--direct"));
  if (Direct.size() != 1)
    return fail(ErrorCode::InvalidInput, "--direct names more than one");
  for (const ServiceLoad &Service : Plan.m_Services)
    if (Service.m_Class == catalogue::ServiceClass::Lookup)
      return std::optional<AddedLatencyOptions>({Direct.front(), Service.m_Name,
                                                 Plan.m_DataCentres.front(),
                                                 Flags.m_DirectPairs});
  return fail(ErrorCode::InvalidInput,
              "--direct needs a service of the class lookup");
}

} // namespace

Result<RunSettings> checkRunFlags(const RunFlags &Flags) {
  BOOST_OUTCOME_TRY(checkNumbers(Flags));
  BOOST_OUTCOME_TRY(Services, parseServices(Flags.m_Services));
  BOOST_OUTCOME_TRY(DataCentres,
                    parseNames(Flags.m_DataCentres, "--data_centres"));
  RunSettings Run;
  Run.m_Plan = {std::move(Services), std::move(DataCentres),
                fromSeconds(Flags.m_Seconds), Flags.m_Seed,
                Flags.m_UploadBytes};
  BOOST_OUTCOME_TRY(Entries, readAddresses(Flags.m_Entries, "--entries"));
  BOOST_OUTCOME_TRY(Backends, readAddresses(Flags.m_Backends, "--backends"));
  BOOST_OUTCOME_TRY(Added, readAdded(Flags, Run.m_Plan));
  Run.m_Entries = std::move(Entries);
  Run.m_Backends = std::move(Backends);
  Run.m_Added = std::move(Added);
  Run.m_Caller.m_Timeout = std::chrono::milliseconds(Flags.m_TimeoutMs);
  Run.m_Caller.m_RetryMoney = Flags.m_RetryMoney;
  Run.m_Settle = fromSeconds(Flags.m_SettleSeconds);
  if (Flags.m_MaxAddedP99Ms >= 0)
    Run.m_MaxAddedP99 = fromSeconds(Flags.m_MaxAddedP99Ms / 1000);
  return Run;
}

} // namespace hyssopcross::load
