#include "Warmup.h"
#include "Latency.h"
#include <algorithm>

namespace hyssopcross::balancing {

namespace {

/// Failures in a row beyond which the spacing no longer doubles.
constexpr uint32_t MaxSpacingDoublings = 6;

uint32_t coldAllowance(const PoolState &State) {
  uint32_t Slots = std::max(State.m_Entry.m_Limits.m_Slots, 1U);
  return std::clamp(State.m_Policy.m_ColdAllowance, 1U, Slots);
}

void startStep(Context &Step, ServerState &Server, ServerStage Stage,
               uint32_t Limit) {
  Server.m_Stage = Stage;
  Server.m_Limit = Limit;
  Server.m_StepCompletions = 0;
  Server.m_StepLatency = Duration::zero();
  Server.m_StepSince = Step.m_Now;
}

/// Whether the completions of the step took longer than a warm server's would.
/// False as long as no warm server is known.
bool isStillSlow(const Context &Step, const ServerState &Server) {
  Duration Warm = Step.m_State.m_Latency.m_WarmMean;
  return Warm > Duration::zero() &&
         Server.m_StepLatency > scale(Warm * Server.m_StepCompletions,
                                      Step.policy().m_StepLatencyFactor);
}

} // namespace

void makeCold(Context &Step, ServerState &Server) {
  startStep(Step, Server, ServerStage::Cold, coldAllowance(Step.m_State));
}

void dropToAllowance(Context &Step, ServerState &Server) {
  if (!Step.switches().m_DropOnTrouble)
    return;
  ++Server.m_Failures;
  ++Step.m_State.m_Counters.m_Drops;
  ServerStage Stage = Server.m_Stage == ServerStage::Warm ? ServerStage::Suspect
                                                          : ServerStage::Cold;
  startStep(Step, Server, Stage, coldAllowance(Step.m_State));
}

void recordGoodCompletion(Context &Step, ServerState &Server,
                          Duration Latency) {
  Server.m_Failures = 0;
  ++Server.m_StepCompletions;
  Server.m_StepLatency += Latency;
  if (Server.m_Stage == ServerStage::Warm)
    return;
  const PoolPolicy &Policy = Step.policy();
  bool Cold = Server.m_Stage == ServerStage::Cold;
  uint32_t Needed =
      Cold ? Policy.m_ColdCompletions : Policy.m_SuspectCompletions;
  Duration Least = Cold ? Policy.m_ColdStep : Policy.m_SuspectStep;
  if (Server.m_StepCompletions < Needed ||
      Step.m_Now - Server.m_StepSince < Least)
    return;
  if (isStillSlow(Step, Server)) {
    restartStep(Step, Server);
    return;
  }
  if (Server.m_Limit < Step.slots()) {
    startStep(Step, Server, Server.m_Stage, Server.m_Limit + 1);
    return;
  }
  startStep(Step, Server, ServerStage::Warm, Server.m_Limit);
  Server.m_RecentLatency =
      std::min(Server.m_RecentLatency, Server.m_UsualLatency);
}

void restartStep(Context &Step, ServerState &Server) {
  startStep(Step, Server, Server.m_Stage, Server.m_Limit);
}

void clampLimit(Context &Step, ServerState &Server) {
  uint32_t Slots = Step.slots();
  if (Server.m_Stage == ServerStage::Warm && Server.m_Limit < Slots)
    Server.m_Stage = ServerStage::Suspect;
  Server.m_Limit =
      std::clamp(Server.m_Limit, coldAllowance(Step.m_State), Slots);
}

uint32_t concurrencyLimit(const PoolState &State, const ServerState &Server) {
  if (!State.m_Policy.m_Switches.m_RampCold)
    return std::max(State.m_Entry.m_Limits.m_Slots, 1U);
  return Server.m_Limit;
}

Duration sendSpacing(const PoolState &State, const ServerState &Server) {
  if (!State.m_Policy.m_Switches.m_RampCold)
    return Duration::zero();
  if (Server.m_Stage != ServerStage::Cold && Server.m_Failures < 2)
    return Duration::zero();
  uint32_t Doublings = std::min(Server.m_Failures, MaxSpacingDoublings);
  return State.m_Policy.m_ColdSpacing * (1U << Doublings) / Server.m_Limit;
}

} // namespace hyssopcross::balancing
