#ifndef HYSSOPCROSS_STANDINS_PROCESS_H
#define HYSSOPCROSS_STANDINS_PROCESS_H

namespace hyssopcross::standins {

/// Blocks SIGINT and SIGTERM in this thread and those it starts later, and
/// ignores SIGPIPE. Call before threads start.
void blockStopSignals();

/// Waits until SIGINT or SIGTERM arrives.
void waitForStopSignal();

} // namespace hyssopcross::standins

#endif
