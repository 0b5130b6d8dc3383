#include "hyssopcross/dispatch/Policy.h"
#include <array>
#include <utility>

namespace hyssopcross::dispatch {

namespace {

using Switch = std::pair<std::string_view, bool DispatchPolicy::*>;

constexpr std::array Switches = {
    Switch{"tell_changes_only", &DispatchPolicy::m_TellChangesOnly},
    Switch{"learn_servers", &DispatchPolicy::m_LearnServers},
    Switch{"queue", &DispatchPolicy::m_Queue},
    Switch{"refuse_hopeless", &DispatchPolicy::m_RefuseHopeless},
    Switch{"serve_late", &DispatchPolicy::m_ServeLate},
    Switch{"hedge", &DispatchPolicy::m_Hedge},
    Switch{"hedge_in_time", &DispatchPolicy::m_HedgeInTime},
    Switch{"hedge_slow_starts", &DispatchPolicy::m_HedgeSlowStarts},
    Switch{"eject", &DispatchPolicy::m_Eject},
    Switch{"share_in_flight", &DispatchPolicy::m_ShareInFlight},
    Switch{"reserve_for_fresh", &DispatchPolicy::m_ReserveForFresh},
    Switch{"newest_first", &DispatchPolicy::m_NewestFirst},
    Switch{"avoid_failing", &DispatchPolicy::m_AvoidFailing},
    Switch{"retry_shed_soon", &DispatchPolicy::m_RetryShedSoon},
    Switch{"keep_request_limits", &DispatchPolicy::m_KeepRequestLimits},
    Switch{"quarantine_crashers", &DispatchPolicy::m_QuarantineCrashers},
};

} // namespace

Result<void> disableMechanism(DispatchPolicy &Policy,
                              std::string_view Mechanism) {
  for (const auto &[Name, Member] : Switches)
    if (Name == Mechanism) {
      Policy.*Member = false;
      return boost::outcome_v2::success();
    }
  std::string Known;
  for (const auto &[Name, Member] : Switches)
    Known += (Known.empty() ? "" : ", ") + std::string(Name);
  return fail(ErrorCode::InvalidInput, "unknown mechanism '" +
                                           std::string(Mechanism) +
                                           "'; valid names: " + Known);
}

} // namespace hyssopcross::dispatch
