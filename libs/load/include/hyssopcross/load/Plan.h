#ifndef HYSSOPCROSS_LOAD_PLAN_H
#define HYSSOPCROSS_LOAD_PLAN_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Error.h"
#include "hyssopcross/base/Settings.h"
#include "hyssopcross/catalogue/Types.h"
#include <random>
#include <string>
#include <vector>

namespace hyssopcross::load {

/// The load on one service.
struct ServiceLoad {
  std::string m_Name;
  catalogue::ServiceClass m_Class = catalogue::ServiceClass::Lookup;
  double m_CallsPerSecond = 0;
};

/// Parses name:class:rate,name:class:rate,... with at least one service.
/// Fails with InvalidInput and names the part that is wrong.
Result<std::vector<ServiceLoad>> parseServices(std::string_view Text);

/// Parses a list of names, at least one; What names the list in the error.
Result<std::vector<std::string>> parseNames(std::string_view Text,
                                            std::string_view What);

/// Parses a list of addresses; What names the list in the error. May be empty.
Result<std::vector<Address>> parseAddresses(std::string_view Text,
                                            std::string_view What);

/// The calls to make.
struct PlanOptions {
  std::vector<ServiceLoad> m_Services;
  std::vector<std::string> m_DataCentres;
  Duration m_Length{};
  uint64_t m_Seed = 1;
  /// The largest body of an upload.
  uint64_t m_UploadBytes = 64U << 10U;
};

/// One call to make. Its request follows from these values alone.
struct PlannedCall {
  uint64_t m_Index = 0;
  /// When it is due, from the start of the run.
  Duration m_Due{};
  ServiceLoad m_Service;
  std::string m_DataCentre;
  /// What it looks up, or the amount of money.
  uint64_t m_Number = 0;
  /// The length of an upload's body.
  uint64_t m_BodyBytes = 0;
};

/// Draws all calls of a run, in the order in which they are due. Each service
/// is a Poisson process; data centres are drawn evenly. The same options give
/// the same calls.
std::vector<PlannedCall> drawPlan(const PlanOptions &Options);

} // namespace hyssopcross::load

#endif
