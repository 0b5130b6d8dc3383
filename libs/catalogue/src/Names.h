#ifndef HYSSOPCROSS_CATALOGUE_NAMES_H
#define HYSSOPCROSS_CATALOGUE_NAMES_H

#include "hyssopcross/catalogue/Types.h"
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross::catalogue {

/// The class that a document's name stands for.
std::optional<ServiceClass> parseServiceClass(std::string_view Name);

/// One limit as documents write it: its name, how to read and write it, and
/// the range in which it must lie.
struct LimitField {
  const char *m_Name;
  double (*m_Get)(const ServiceLimits &);
  void (*m_Set)(ServiceLimits &, double);
  double m_Low;
  double m_High;
  bool m_Whole;
};

/// All limits of a service, in the order in which documents write them.
const std::vector<LimitField> &limitFields();

/// A number as documents write it: without a fraction if it has none.
std::string numberText(double Value);

/// `service "caja"` and the like, for messages.
std::string entryLabel(std::string_view Kind, std::string_view Name);

} // namespace hyssopcross::catalogue

#endif
