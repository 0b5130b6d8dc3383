#ifndef HYSSOPCROSS_OVERFLOW_PLAN_H
#define HYSSOPCROSS_OVERFLOW_PLAN_H

#include "hyssopcross/base/Clock.h"
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross::overflow {

/// Settings of the plan and of the decision for a request, the same on every
/// VM. Shares are shares of the demand of the own data centre.
struct OverflowPolicy {
  /// Age at which a report or a plan is no longer used. Relays report at least
  /// once a second, so three in a row were lost.
  Duration m_MaxAge = std::chrono::seconds(3);
  /// Shortage at which overflow begins and below which it ends. The gap is
  /// wider than the noise of a demand that is counted over a second; the first
  /// is well under 0.03, which a plan may lose against the best one.
  double m_BeginShortage = 0.015;
  double m_EndShortage = 0.005;
  /// A planned share is left as it is while the target differs by less.
  double m_MinChange = 0.003;
  /// Largest increase and decrease of a share in a second. Demand rises by less
  /// than 0.1 a second; a whole demand (1.0) must be back within 2 s, including
  /// half a second until the next plan.
  double m_MaxIncrease = 0.4;
  double m_MaxDecrease = 0.75;
  /// Longest time between two plans for which the step grows. A VM that was
  /// suspended must not change its whole plan in one step.
  Duration m_MaxStepTime = std::chrono::seconds(1);
  /// Share of the reported spare capacity that is used; the rest covers the
  /// growth of the demand there while the report is on its way.
  double m_RoomUse = 0.97;
  /// Cost of a megabyte between data centres, and of a lateness as long as the
  /// latency objective, in requests of ordinary value. The first is that of
  /// DispatchPolicy::m_RemoteCostPerMegabyte.
  double m_CostPerMegabyte = 5.0;
  double m_LatenessCost = 1.0;
  /// Requests that a VM may send at once to a data centre, and how many must be
  /// unused before a large request or one that may run only once leaves.
  double m_MaxBurst = 8;
  double m_ReserveForSmall = 2;
  /// Bytes of request and response from which a request counts as large.
  /// 64 KiB cost about a third of an ordinary request.
  uint64_t m_LargeBytes = 65536;
};

/// Load that a data centre receives from another one, in requests per second.
struct ReceivedLoad {
  std::string m_DataCentre;
  double m_Rate = 0;
};

/// What a data centre reports about a service.
struct ServiceReport {
  std::string m_DataCentre;
  /// Requests per second of the callers of this data centre, wherever they are
  /// served. Requests received from other data centres are not included, so
  /// that a report does not depend on the plans.
  double m_Demand = 0;
  /// Requests per second that its servers complete in time, less m_Demand.
  /// Negative while the data centre is short of capacity.
  double m_Room = 0;
  TimePoint m_ReportedAt{};
  /// The data centre is in service, and its servers are warm.
  bool m_IsInService = true;
  bool m_IsWarm = true;
  /// Data centres that it has heard within the maximum age.
  std::vector<std::string> m_Hears;
  /// Load received from others. Shows the overflow of data centres that hear
  /// this one but not each other.
  std::vector<ReceivedLoad> m_Received;
};

/// Load of one data centre that is served by another, in requests per second.
struct Flow {
  std::string_view m_From;
  std::string_view m_To;
  double m_Rate = 0;
};

/// Whether a data centre can serve requests of others at all, apart from its
/// spare capacity: its report is recent, and it is in service and warm.
bool isUsable(const ServiceReport &Report, const OverflowPolicy &Policy,
              TimePoint Now);

/// Distributes the shortages of all data centres over the spare capacity of the
/// others. All VMs compute the same flows from the same reports, so the spare
/// capacity of a data centre is given away only once. The names in the result
/// refer to Reports.
std::vector<Flow> distribute(std::span<const ServiceReport> Reports,
                             const OverflowPolicy &Policy, TimePoint Now);

/// The plan of a service on a VM.
struct OverflowPlan {
  /// Share of the own demand that is sent to each other data centre.
  std::map<std::string, double, std::less<>> m_Shares;
  bool m_IsActive = false;
  /// Zero until the first update.
  TimePoint m_UpdatedAt{};
};

/// Moves the plan of the data centre Own towards what Reports, one for each
/// data centre, require now. Called once or twice a second.
void updatePlan(OverflowPlan &Plan, std::span<const ServiceReport> Reports,
                std::string_view Own, const OverflowPolicy &Policy,
                TimePoint Now);

} // namespace hyssopcross::overflow

#endif
