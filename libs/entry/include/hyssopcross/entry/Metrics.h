#ifndef HYSSOPCROSS_ENTRY_METRICS_H
#define HYSSOPCROSS_ENTRY_METRICS_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/protocol/Outcome.h"
#include <memory>
#include <string>
#include <string_view>

namespace hyssopcross::entry {

/// The figures of an entry VM, in the Prometheus text format. Safe from any
/// thread.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// Counts a call and the time from its arrival to its answer.
  void countCall(std::string_view Service, protocol::Outcome Outcome,
                 Duration Taken);

  /// Sets a gauge by name, with at most one label.
  void setGauge(const std::string &Name, const std::string &Help, double Value,
                const std::string &LabelName = {},
                const std::string &LabelValue = {});

  /// All figures as text.
  std::string serialize() const;

private:
  struct Implementation;

  std::unique_ptr<Implementation> m_State;
};

} // namespace hyssopcross::entry

#endif
