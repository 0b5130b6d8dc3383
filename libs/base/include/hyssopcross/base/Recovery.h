#ifndef HYSSOPCROSS_BASE_RECOVERY_H
#define HYSSOPCROSS_BASE_RECOVERY_H

namespace hyssopcross {

/// Runs Act. If it throws, runs Recover and passes the exception on. Handlers
/// that schedule their own next run use it, so that an exception that the event
/// loop survives does not end the series.
template <typename Action, typename Recovery>
void runWithRecovery(Action Act, Recovery Recover) {
  try {
    Act();
  } catch (...) {
    Recover();
    throw;
  }
}

} // namespace hyssopcross

#endif
