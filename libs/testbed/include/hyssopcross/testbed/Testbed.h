#ifndef HYSSOPCROSS_TESTBED_TESTBED_H
#define HYSSOPCROSS_TESTBED_TESTBED_H

#include "hyssopcross/testbed/Fault.h"
#include "hyssopcross/testbed/Layout.h"
#include "hyssopcross/testbed/Ledger.h"
#include <memory>

namespace hyssopcross::testbed {

struct World;

/// Hosts the decisions of all entry VMs on a manual clock, with fakes for
/// backend servers, the network, callers and the lease. The same layout and
/// faults give the same run. Not thread-safe; separate testbeds are
/// independent.
class Testbed {
public:
  explicit Testbed(Layout Layout);
  ~Testbed();
  Testbed(const Testbed &) = delete;
  Testbed &operator=(const Testbed &) = delete;

  /// The instant at which the run began.
  TimePoint start() const { return m_Start; }

  /// Adds a fault for an instant, counted from the start of the run.
  void at(Duration SinceStart, Fault Fault);

  /// Runs until an instant, counted from the start of the run.
  void runUntil(Duration SinceStart);

  /// What has been recorded so far. Valid as long as the testbed.
  const Ledger &ledger() const;

  /// Slots of the service's servers that are up, warm and in a data centre in
  /// service right now.
  uint32_t warmSlots(const std::string &Service) const;

  /// The entry VM that owns a pool right now; empty if none does.
  std::string ownerOf(const balancing::PoolId &Pool) const;

private:
  std::unique_ptr<World> m_World;
  TimePoint m_Start;
};

} // namespace hyssopcross::testbed

#endif
