#include "Names.h"
#include "hyssopcross/catalogue/Codec.h"
#include <cmath>
#include <nlohmann/json.hpp>

namespace hyssopcross::catalogue {

namespace {

constexpr double MaxTimeoutMs = 600000;
constexpr double MaxBodyBytes = 1ULL << 30U;

template <typename Type, Type ServiceLimits::*Member>
double getLimit(const ServiceLimits &Limits) {
  return static_cast<double>(Limits.*Member);
}

template <typename Type, Type ServiceLimits::*Member>
void setLimit(ServiceLimits &Limits, double Value) {
  Limits.*Member = static_cast<Type>(Value);
}

double getTimeout(const ServiceLimits &Limits) {
  return static_cast<double>(Limits.m_Timeout.count());
}

void setTimeout(ServiceLimits &Limits, double Value) {
  Limits.m_Timeout = std::chrono::milliseconds(static_cast<int64_t>(Value));
}

template <typename Type, Type ServiceLimits::*Member>
LimitField limit(const char *Name, double Low, double High) {
  return {Name, getLimit<Type, Member>,  setLimit<Type, Member>, Low,
          High, std::is_integral_v<Type>};
}

} // namespace

const char *serviceClassName(ServiceClass Class) {
  switch (Class) {
  case ServiceClass::Lookup:
    return "lookup";
  case ServiceClass::Money:
    return "money";
  case ServiceClass::Upload:
    return "upload";
  }
  return "lookup";
}

std::optional<ServiceClass> parseServiceClass(std::string_view Name) {
  for (ServiceClass Class :
       {ServiceClass::Lookup, ServiceClass::Money, ServiceClass::Upload})
    if (Name == serviceClassName(Class))
      return Class;
  return std::nullopt;
}

const std::vector<LimitField> &limitFields() {
  static const std::vector<LimitField> Fields = {
      limit<uint32_t, &ServiceLimits::m_Slots>("slots", 1, 1000),
      limit<uint32_t, &ServiceLimits::m_Connections>("connections", 1, 100000),
      limit<uint32_t, &ServiceLimits::m_Concurrency>("concurrency", 0, 1000000),
      limit<uint32_t, &ServiceLimits::m_Queue>("queue", 0, 100000),
      {"timeout_ms", getTimeout, setTimeout, 1, MaxTimeoutMs, true},
      limit<uint64_t, &ServiceLimits::m_BodyBytes>("body_bytes", 0,
                                                   MaxBodyBytes),
      limit<double, &ServiceLimits::m_ProbesPerSecond>("probes_per_second", 0,
                                                       1000),
  };
  return Fields;
}

std::string numberText(double Value) {
  if (std::floor(Value) == Value)
    return std::to_string(static_cast<int64_t>(Value));
  return nlohmann::json(Value).dump();
}

std::string entryLabel(std::string_view Kind, std::string_view Name) {
  return std::string(Kind) + " \"" + std::string(Name) + "\"";
}

} // namespace hyssopcross::catalogue
