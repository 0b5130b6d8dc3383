#include "hyssopcross/standins/Process.h"
#include <csignal>

namespace hyssopcross::standins {

namespace {

sigset_t stopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGINT);
  sigaddset(&Set, SIGTERM);
  return Set;
}

} // namespace

void blockStopSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t Set = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
}

void waitForStopSignal() {
  sigset_t Set = stopSignals();
  int Signal = 0;
  sigwait(&Set, &Signal);
}

} // namespace hyssopcross::standins
